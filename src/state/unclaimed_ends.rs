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
        if self.ends.contains_key(&task) {
            return; // Machines may report an end on two connections.
        }
        self.ends.insert(task, UnclaimedEnd { reported_at: now, outcome });
        self.order.push_back((now, task));
        while self.order.front().is_some_and(|&(at, _)| is_expired(now, at)) || self.order.len() > capacity {
            self.remove_oldest();
        }
    }

    /// Removes and returns how a task ended at a machine, if that was reported.
    pub fn claim(&mut self, now: Seconds, task: TaskAtMachine) -> Option<Outcome> {
        let end = self.ends.remove(&task)?;
        (!is_expired(now, end.reported_at)).then_some(end.outcome)
    }

    fn remove_oldest(&mut self) {
        let Some((at, task)) = self.order.pop_front() else { return };
        if self.ends.get(&task).is_some_and(|end| end.reported_at == at) {
            self.ends.remove(&task);
        }
    }
}

fn is_expired(now: Seconds, reported_at: Seconds) -> bool {
    now - reported_at > RETENTION_S
}

#[cfg(test)]
mod tests;
