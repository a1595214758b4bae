//! Start times of machines on this planner's own clock. The machine list gives them by the wall clock, which
//! may step, here or where the list is made. Pure: times come in.
//!
//! - While the clocks agree, the listed start time is used (`what_the_list_tells_counts_while_clocks_agree`).
//! - If a live notice lists a start time that is impossible by this planner's clock, or if the wall clock has
//!   stepped, the time at which the notice arrived is used instead. Such a machine is treated as cold for too
//!   long rather than too short a time (`a_start_after_the_clock_stepped_counts_from_when_it_was_heard`).
//! - A machine whose listed start time changes has restarted, whichever way the clock stepped in between
//!   (`another_start_is_a_later_one`).

use crate::placer::{MachineId, Seconds};
use std::collections::BTreeMap;

/// The least time between two starts of a machine, in seconds.
const APART_S: Seconds = 0.001;

#[derive(Clone, Copy, Debug)]
struct Start {
    /// By the wall clock, as listed.
    listed: Seconds,
    /// By this planner's clock.
    local: Seconds,
}

/// Circumstances in which a notice of the machine list arrived.
#[derive(Clone, Copy, Debug)]
pub struct NoticeContext {
    /// The time by this planner's clock.
    pub now: Seconds,
    /// The notice was sent as the event happened; it is not part of a replayed list of older events.
    pub is_live: bool,
    /// The wall clock has stepped since this planner started.
    pub has_stepped: bool,
}

/// The start times of all listed machines.
#[derive(Debug)]
pub struct StartTimes {
    warm_within_s: Seconds,
    starts: BTreeMap<MachineId, Start>,
}

impl StartTimes {
    /// `warm_within_s` is the time after its start within which a machine becomes warm.
    pub fn new(warm_within_s: Seconds) -> StartTimes {
        StartTimes { warm_within_s, starts: BTreeMap::new() }
    }

    /// Returns when a machine started, by this planner's clock; `listed` is the start time in the list, 0 or
    /// less for long ago.
    pub fn take(&mut self, machine: MachineId, listed: Seconds, notice: NoticeContext) -> Seconds {
        if listed <= 0.0 {
            return listed;
        }
        let before = self.starts.get(&machine).copied();
        if let Some(known) = before.filter(|known| known.listed == listed) {
            return known.local;
        }
        let earliest = before.map_or(0.0, |known| known.local + APART_S);
        let local = self.local_time(listed, notice).max(earliest);
        self.starts.insert(machine, Start { listed, local });
        local
    }

    /// Forgets a machine that has left the list.
    pub fn forget(&mut self, machine: MachineId) {
        self.starts.remove(&machine);
    }

    fn local_time(&self, listed: Seconds, notice: NoticeContext) -> Seconds {
        let age = notice.now - listed;
        let is_likely = age >= 0.0 && (!notice.is_live || age <= self.warm_within_s);
        if is_likely && !notice.has_stepped {
            listed
        } else {
            notice.now
        }
    }
}

#[cfg(test)]
mod tests;
