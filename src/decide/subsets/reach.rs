//! Beyond the part: which of the machines that a planner does not serve it borrows for a job that finds no place in its
//! part, how often it looks, and how many it may hold. Pure: candidates come in, in the planner's own order.
//!
//! - A cold machine is never borrowed: it is offered work by the planners that serve it alone, so that the sum of offers
//!   holds ([`super`]).
//! - A step looks at [`LOOKED_A_STEP`] machines and borrows [`BORROWED_A_STEP`] at most; steps are [`Pace`] apart.
//! - Of the machines looked at, the ones with the most listed room are taken. Every planner goes through them in an order
//!   of its own, so that planners in the same need do not reach for the same machines: the power of d choices
//!   (M. Mitzenmacher, IEEE Transactions on Parallel and Distributed Systems 2001).
//! - No more machines are borrowed than [`most_borrowed`], beside those on which tasks of this planner stand.

use crate::placer::{MachineId, Room, Seconds};

/// Count. Machines looked at in one step: some 50 microseconds, and 18,000 machines in some two seconds of steps.
pub const LOOKED_A_STEP: usize = 512;
/// Count. Machines looked at before it is asked whether there is a choice.
pub const LOOKED_AT_ONCE: usize = 32;
/// Count. Candidates with room for each machine wanted, among which the roomiest are taken.
pub const CHOICES: usize = 4;
/// Count. Machines looked at for a group of jobs that is to be placed whole.
pub const LOOKED_FOR_GROUP: usize = 4096;
/// Count. Machines borrowed in one step, for all jobs together.
pub const BORROWED_A_STEP: usize = 8;
/// Count. Machines borrowed for one job in one step.
pub const BORROWED_FOR_JOB: usize = 2;
/// Count. Machines borrowed before the module hears of an end that could leave a job without any.
pub const BORROWED_BEFORE_FAILING: usize = 4;
/// Count. Jobs for which one step looks.
pub const JOBS_A_STEP: usize = 16;
/// Seconds. Least and longest time between steps; it doubles while steps find nothing.
const PAUSE_S: (Seconds, Seconds) = (0.05, 0.4);
/// Seconds. A job that was refused for want of room is first tried again within the part: the module's own pause.
pub const AFTER_REFUSAL_S: Seconds = 0.2;
/// Seconds. A borrowed machine that broke off may have come up anew: so long the list has to tell of it, and nothing goes
/// there until then.
pub const BROKE_OFF_S: Seconds = 2.5;
/// Seconds. A borrowed machine on which nothing was open for so long is given back.
pub const IDLE_S: Seconds = 10.0;
/// Seconds. So long the module keeps its records of a machine that was given back: it counts as borrowed until then.
pub const REMEMBERED_S: Seconds = 60.0;
/// Seconds. A borrowed machine is kept so long for word of a copy that may run there.
pub const UNPROVED_S: Seconds = 60.0;
/// Count. Machines that may be borrowed where the part is small.
const LEAST_BORROWED: usize = 64;

/// How many machines a planner may borrow: as many again as it serves.
pub fn most_borrowed(part: usize) -> usize {
    part.max(LEAST_BORROWED)
}

/// A machine that could be borrowed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The machine.
    pub machine: MachineId,
    /// What it accepts beyond what the list says is asked for there.
    pub left: Room,
    /// What it accepts in all.
    pub limit: Room,
}

/// Of the candidates that have room for the task, the `wanted` ones with the most of it; where the list tells no room,
/// the first ones.
pub fn roomiest(candidates: impl Iterator<Item = Candidate>, room: Room, wanted: usize) -> Vec<MachineId> {
    let fits = |c: &Candidate| room.within(c.left);
    // The scarcer part counts: room for cores is of no use where there is none for memory.
    let spare = |c: &Candidate| {
        let left = c.left - room;
        (left.cores / c.limit.cores).min(left.memory / c.limit.memory)
    };
    let mut found: Vec<(f64, MachineId)> = candidates.filter(fits).map(|c| (spare(&c), c.machine)).collect();
    // Stable: equals stay in the planner's own order.
    found.sort_by(|a, b| b.0.total_cmp(&a.0));
    found.truncate(wanted);
    found.into_iter().map(|(_, machine)| machine).collect()
}

/// When the next step may come.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    not_before: Seconds,
    pause_s: Seconds,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { not_before: f64::NEG_INFINITY, pause_s: PAUSE_S.0 }
    }
}

impl Pace {
    /// The time of a step that is wanted then.
    pub fn next(&self, wanted: Seconds) -> Seconds {
        wanted.max(self.not_before)
    }

    /// A step was made; where it found nothing, the next ones come later.
    pub fn stepped(&mut self, now: Seconds, found: bool) {
        self.pause_s = if found { PAUSE_S.0 } else { (self.pause_s * 2.0).min(PAUSE_S.1) };
        self.not_before = now + self.pause_s;
    }
}

#[cfg(test)]
mod tests;
