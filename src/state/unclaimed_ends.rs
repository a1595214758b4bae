//! Reported ends of tasks that this planner does not hold, or no longer. Such a task may be handed over later:
//! a machine reports an end on the first connection of a restarted planner, before the owner knows of the
//! restart; and a task that counted as lost is handed over only after its owner has waited. A machine does not
//! report an end again, so the report is kept until its task is claimed.

use crate::placer::{MachineId, Outcome, RequestId, Seconds};
use std::collections::{BTreeMap, VecDeque};

/// Seconds for which an end is kept: a planner may take 30 s to be ready, and its owners some seconds more to
/// notice.
pub(super) const RETENTION_S: Seconds = 45.0;

/// An end that nobody has claimed yet.
#[derive(Clone, Copy, Debug)]
struct UnclaimedEnd {
    reported_at: Seconds,
    outcome: Outcome,
}

type TaskAtMachine = (RequestId, MachineId);

/// The kept ends.
#[derive(Default)]
pub(super) struct UnclaimedEnds {
    ends: BTreeMap<TaskAtMachine, UnclaimedEnd>,
    /// The keys of all records, oldest first; some may have been claimed.
    order: VecDeque<(Seconds, TaskAtMachine)>,
}

impl UnclaimedEnds {
    /// Keeps the end of a task at a machine, and at most `capacity` ends in total, the newest ones.
    pub fn record(&mut self, now: Seconds, task: TaskAtMachine, outcome: Outcome, capacity: usize) {
        self.expire(now);
        if self.ends.contains_key(&task) {
            return; // Machines may report an end on two connections.
        }
        self.ends.insert(task, UnclaimedEnd { reported_at: now, outcome });
        self.order.push_back((now, task));
        self.drop_oldest_while(|_, count| count > capacity);
    }

    /// Removes and returns how a task ended at a machine, if that was reported.
    pub fn claim(&mut self, now: Seconds, task: TaskAtMachine) -> Option<Outcome> {
        self.expire(now);
        self.ends.remove(&task).map(|end| end.outcome)
    }

    /// Drops the ends that were kept for [`RETENTION_S`].
    pub fn expire(&mut self, now: Seconds) {
        self.drop_oldest_while(|at, _| now >= at + RETENTION_S);
    }

    /// The time at which [`UnclaimedEnds::expire`] has something to drop.
    pub fn next_expiry(&self) -> Option<Seconds> {
        self.order.front().map(|(at, _)| at + RETENTION_S)
    }

    /// Drops the oldest records as long as the time of the oldest one and the number of records fulfil a condition.
    fn drop_oldest_while(&mut self, condition: impl Fn(Seconds, usize) -> bool) {
        while let Some(&(at, task)) = self.order.front().filter(|(at, _)| condition(*at, self.order.len())) {
            self.order.pop_front();
            if self.ends.get(&task).is_some_and(|end| end.reported_at == at) {
                self.ends.remove(&task);
            }
        }
    }
}

#[cfg(test)]
mod tests;
