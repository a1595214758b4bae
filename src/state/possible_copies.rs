//! Ids of finished jobs of which a copy may still run, as no machine has confirmed its end. If such an id is
//! submitted again, the job is not sent, because no machine could tell the two apart.

use crate::placer::{MachineId, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Count. Maximum number of ids kept, the newest ones, at about 100 bytes each.
pub(super) const MAX_IDS: usize = 4096;

/// The ids, each with the machines that may hold a copy.
#[derive(Default)]
pub(super) struct PossibleCopies {
    machines: BTreeMap<RequestId, Vec<MachineId>>,
    order: VecDeque<RequestId>,
}

impl PossibleCopies {
    /// Records that a copy may run at a machine.
    pub fn record(&mut self, job: RequestId, machine: MachineId) {
        let at = self.machines.entry(job).or_default();
        if at.is_empty() {
            self.order.push_back(job);
        }
        if !at.contains(&machine) {
            at.push(machine);
        }
        while self.order.len() > MAX_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }

    /// Records that a machine reported the end of its copy.
    pub fn prove_gone(&mut self, job: RequestId, machine: MachineId) {
        let Some(at) = self.machines.get_mut(&job) else { return };
        at.retain(|other| *other != machine);
        if at.is_empty() {
            self.machines.remove(&job);
            self.order.retain(|other| *other != job);
        }
    }

    /// Records that a machine's process is gone with all its copies.
    pub fn prove_all_gone(&mut self, machine: MachineId) {
        self.machines.retain(|_, at| {
            at.retain(|other| *other != machine);
            !at.is_empty()
        });
        let PossibleCopies { machines, order } = self;
        order.retain(|job| machines.contains_key(job));
    }

    /// Whether a copy of the job may still run at a machine.
    pub fn may_run_at(&self, job: RequestId, machine: MachineId) -> bool {
        self.machines.get(&job).is_some_and(|machines| machines.contains(&machine))
    }

    /// Whether a copy of the job may still run.
    pub fn may_run(&self, job: RequestId) -> bool {
        self.machines.contains_key(&job)
    }
}

#[cfg(test)]
mod tests;
