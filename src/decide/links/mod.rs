//! Assigns connections to machines where there are more machines than file descriptors. Pure: times come in,
//! and the caller says which connections are idle.
//!
//! Each connection takes a connection slot. When all slots are taken, a machine that needs one waits;
//! machines with a message to be written go before machines that are only visited. The least recently used
//! slot whose connection is idle is reclaimed for a waiting machine. A machine that holds tasks but has no
//! connection is visited every few seconds: a connection is opened for a short time. The machine sends the
//! answers that it owes on the next connection that is opened, and the ends of its tasks must be reported
//! within the protocol's 8 s.

use crate::placer::{MachineId, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after its connection was reclaimed at which a machine that holds tasks is visited.
pub const VISIT_AFTER_S: Seconds = 3.0;
/// The least duration of a visit, in seconds; the machine sends the answers that it owes as soon as it is
/// connected.
pub const MIN_VISIT_S: Seconds = 0.2;

/// Why a connection is needed, in order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// A message waits to be written.
    Now,
    /// The machine holds tasks and may owe their ends.
    Visit,
    /// No particular need: the connection is kept while there is room.
    Spare,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    since: Seconds,
    last_used: Seconds,
    /// Its connection is to be closed, so that another machine gets the slot.
    reclaimed: bool,
}

/// The connection slots.
#[derive(Debug)]
pub struct ConnectionSlots {
    capacity: usize,
    held: BTreeMap<MachineId, Held>,
    waiting: BTreeMap<MachineId, (Need, u64)>,
    /// The waiting machines, in the order in which they get slots.
    queue: BTreeSet<(Need, u64, MachineId)>,
    requests: u64,
}

impl ConnectionSlots {
    /// Creates `capacity` slots, at least one.
    pub fn new(capacity: usize) -> ConnectionSlots {
        let (held, waiting, queue) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        ConnectionSlots { capacity: capacity.max(1), held, waiting, queue, requests: 0 }
    }

    /// Sets the number of slots. Those in excess are reclaimed as other machines request one.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Takes a slot or waits for one; returns whether the machine has a slot.
    pub fn want(&mut self, now: Seconds, machine: MachineId, need: Need) -> bool {
        if self.held.contains_key(&machine) {
            return true;
        }
        if self.held.len() < self.capacity {
            self.leave_queue(machine);
            self.held.insert(machine, Held { since: now, last_used: now, reclaimed: false });
            return true;
        }
        match self.waiting.get(&machine) {
            Some((before, _)) if *before <= need => {}
            _ => {
                self.leave_queue(machine);
                // A machine that does not need a slot does not wait for one.
                if need < Need::Spare {
                    self.requests += 1;
                    self.waiting.insert(machine, (need, self.requests));
                    self.queue.insert((need, self.requests, machine));
                }
            }
        }
        false
    }

    fn leave_queue(&mut self, machine: MachineId) {
        if let Some((need, request)) = self.waiting.remove(&machine) {
            self.queue.remove(&(need, request, machine));
        }
    }

    /// Whether a machine waits for a slot.
    pub fn is_short(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records that a message was written to the machine or arrived from it.
    pub fn used(&mut self, now: Seconds, machine: MachineId) {
        if let Some(held) = self.held.get_mut(&machine) {
            held.last_used = now;
        }
    }

    /// Selects the connection to be reclaimed now, if any: the least recently used one that is idle. At most
    /// as many are being reclaimed as machines wait.
    pub fn give_back(&mut self, now: Seconds, is_idle: impl Fn(MachineId) -> bool) -> Option<MachineId> {
        let reclaimed = self.held.values().filter(|h| h.reclaimed).count();
        if reclaimed >= self.waiting.len() {
            return None;
        }
        let reclaimable = |(&machine, h): &(&MachineId, &Held)| {
            !h.reclaimed && now >= h.since + MIN_VISIT_S && is_idle(machine)
        };
        let (machine, _) = self
            .held
            .iter()
            .filter(reclaimable)
            .min_by(|(_, a), (_, b)| a.last_used.total_cmp(&b.last_used))?;
        let machine = *machine;
        if let Some(held) = self.held.get_mut(&machine) {
            held.reclaimed = true;
        }
        Some(machine)
    }

    /// Withdraws the request to reclaim the slot: the connection is in use again.
    pub fn keep(&mut self, machine: MachineId) {
        if let Some(held) = self.held.get_mut(&machine) {
            held.reclaimed = false;
        }
    }

    /// Whether a machine's connection is being reclaimed.
    pub fn is_reclaimed(&self, machine: MachineId) -> bool {
        self.held.get(&machine).is_some_and(|h| h.reclaimed)
    }

    /// Frees the slot of a connection that was closed or is no longer needed; returns the machine that gets
    /// the slot.
    pub fn release(&mut self, now: Seconds, machine: MachineId) -> Option<MachineId> {
        self.leave_queue(machine);
        self.held.remove(&machine)?;
        if self.held.len() >= self.capacity {
            return None;
        }
        let (_, _, next) = self.queue.first().copied()?;
        self.leave_queue(next);
        self.held.insert(next, Held { since: now, last_used: now, reclaimed: false });
        Some(next)
    }

    /// Whether a machine has a slot.
    pub fn is_held(&self, machine: MachineId) -> bool {
        self.held.contains_key(&machine)
    }

    /// The number of slots taken.
    pub fn taken(&self) -> usize {
        self.held.len()
    }
}

#[cfg(test)]
mod tests;
