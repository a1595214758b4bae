//! The memory that the output queues of many connections share. Each queue has a reserve of its own; what it needs
//! beyond that is borrowed here, so that a burst on one connection may use what the others leave.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The shared part of the memory for a set of queues.
#[derive(Debug)]
pub struct QueueBudget {
    capacity: AtomicUsize,
    borrowed: AtomicUsize,
}

impl QueueBudget {
    /// A budget of so many bytes.
    pub fn new(capacity: usize) -> QueueBudget {
        QueueBudget { capacity: AtomicUsize::new(capacity), borrowed: AtomicUsize::new(0) }
    }

    /// Bytes that can still be borrowed.
    pub fn available(&self) -> usize {
        self.capacity.load(Ordering::Relaxed).saturating_sub(self.borrowed())
    }

    /// Changes how many bytes may be borrowed; what is borrowed beyond that stays until it is written.
    pub fn set_capacity(&self, capacity: usize) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Bytes that all queues have borrowed.
    pub fn borrowed(&self) -> usize {
        self.borrowed.load(Ordering::Relaxed)
    }

    /// Changes what one queue has borrowed; a queue that must not drop a message may exceed the capacity.
    pub(super) fn change(&self, from: usize, to: usize) {
        if to >= from {
            self.borrowed.fetch_add(to - from, Ordering::Relaxed);
        } else {
            self.borrowed.fetch_sub(from - to, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
