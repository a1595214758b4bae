//! When machines came up, on this planner's own clock. The list tells it by the wall clock, which may step, here or where
//! the list is made. Pure: times come in.
//!
//! - While the clocks agree, what the list tells counts (`what_the_list_tells_counts_while_clocks_agree`).
//! - A start that the list tells live and that cannot be so by this planner's clock, or any after the wall clock stepped, counts
//!   from when it was heard: such a machine counts as cold too long rather than too short
//!   (`a_start_after_the_clock_stepped_counts_from_when_it_was_heard`).
//! - A machine of which another start is told came up anew, whichever way the clock stepped in between
//!   (`another_start_is_a_later_one`).

use crate::placer::{MachineId, Seconds};
use std::collections::BTreeMap;

/// Seconds. Two starts of a machine are apart by so much at least.
const APART_S: Seconds = 0.001;

#[derive(Clone, Copy, Debug)]
struct Start {
    /// By the wall clock of the list.
    told: Seconds,
    /// By this planner's clock.
    taken: Seconds,
}

/// What is known of a notice beside its words.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// The time by this planner's clock.
    pub now: Seconds,
    /// It was told as it happened: nothing older is told behind it.
    pub is_live: bool,
    /// The wall clock has stepped since this planner started.
    pub has_stepped: bool,
}

/// The starts of all machines that are listed.
#[derive(Debug)]
pub struct StartTimes {
    warm_within_s: Seconds,
    starts: BTreeMap<MachineId, Start>,
}

impl StartTimes {
    /// Machines are warm so long after their start.
    pub fn new(warm_within_s: Seconds) -> StartTimes {
        StartTimes { warm_within_s, starts: BTreeMap::new() }
    }

    /// When a machine came up, by this planner's clock; `told` is what the list says, not positive for long ago.
    pub fn take(&mut self, machine: MachineId, told: Seconds, heard: Heard) -> Seconds {
        if told <= 0.0 {
            return told;
        }
        let before = self.starts.get(&machine).copied();
        if let Some(known) = before.filter(|known| known.told == told) {
            return known.taken;
        }
        let earliest = before.map_or(0.0, |known| known.taken + APART_S);
        let taken = self.believed(told, heard).max(earliest);
        self.starts.insert(machine, Start { told, taken });
        taken
    }

    /// A machine has left the list.
    pub fn forget(&mut self, machine: MachineId) {
        self.starts.remove(&machine);
    }

    fn believed(&self, told: Seconds, heard: Heard) -> Seconds {
        let age = heard.now - told;
        let is_likely = age >= 0.0 && (!heard.is_live || age <= self.warm_within_s);
        if is_likely && !heard.has_stepped {
            told
        } else {
            heard.now
        }
    }
}

#[cfg(test)]
mod tests;
