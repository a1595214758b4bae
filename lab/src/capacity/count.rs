//! Measures the cost of a piece of work: allocations and their bytes, which are the same in each run, and
//! processor time.

use cpu_time::ThreadTime;
use stats_alloc::{Region, INSTRUMENTED_SYSTEM};
use std::io;
use std::time::Duration;

/// Allocations of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    /// Allocations and reallocations.
    pub count: u64,
    /// Bytes that they requested.
    pub bytes: u64,
    /// Bytes allocated minus bytes freed: the growth of the heap. Negative if the work freed memory from
    /// before.
    pub held: i64,
}

/// The cost of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Its allocations.
    pub allocated: Allocated,
    /// Processor time of this thread, as the operating system counts it.
    pub processor: Duration,
}

impl Cost {
    /// Adds the cost of another piece of work.
    pub fn add(&mut self, other: Cost) {
        self.allocated.count += other.allocated.count;
        self.allocated.bytes += other.allocated.bytes;
        self.allocated.held += other.allocated.held;
        self.processor += other.processor;
    }

    /// Processor time divided by a number of items, in microseconds.
    pub fn microseconds_each(&self, of: usize) -> f64 {
        self.processor.as_secs_f64() * 1e6 / of as f64
    }

    /// Allocations divided by a number of items.
    pub fn allocations_each(&self, of: usize) -> f64 {
        self.allocated.count as f64 / of as f64
    }

    /// Bytes allocated, divided by a number of items.
    pub fn bytes_each(&self, of: usize) -> f64 {
        self.allocated.bytes as f64 / of as f64
    }
}

/// Runs a piece of work on this thread and returns its cost. Allocations are counted for the whole process,
/// so nothing else may run in it.
pub fn cost_of<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let from = ThreadTime::now();
    let done = work();
    let processor = from.elapsed();
    let change = region.change();
    let allocated = Allocated {
        count: (change.allocations + change.reallocations) as u64,
        bytes: change.bytes_allocated as u64,
        held: change.bytes_allocated as i64 - change.bytes_deallocated as i64,
    };
    (done, Cost { allocated, processor })
}

/// Checks that the process counts its allocations, for which its program has to use the counting allocator.
///
/// # Errors
/// If allocations are not counted.
pub fn require_counting_allocator() -> io::Result<()> {
    let (_kept, cost) = cost_of(|| std::hint::black_box(Box::new(0u64)));
    match cost.allocated.count {
        0 => Err(io::Error::other(
            "allocations are not counted: this program does not use the counting allocator",
        )),
        _ => Ok(()),
    }
}
