//! Ids of jobs that are over and of which a copy may still run: nobody proved the contrary. An id that comes again
//! while its first copy may run is not sent anew, as no machine could tell the two apart.

use crate::placer::{MachineId, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Count. Ids that are remembered, the newest ones: some 100 bytes each.
pub(super) const MOST_GHOSTS: usize = 4096;

/// The ids, and the machines that may hold a copy.
#[derive(Default)]
pub(super) struct Ghosts {
    machines: BTreeMap<RequestId, Vec<MachineId>>,
    order: VecDeque<RequestId>,
}

impl Ghosts {
    /// Books that a copy may be at a machine.
    pub fn book(&mut self, job: RequestId, machine: MachineId) {
        let at = self.machines.entry(job).or_default();
        if at.is_empty() {
            self.order.push_back(job);
        }
        if !at.contains(&machine) {
            at.push(machine);
        }
        while self.order.len() > MOST_GHOSTS {
            if let Some(oldest) = self.order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }

    /// A machine says that its copy is over.
    pub fn prove_gone(&mut self, job: RequestId, machine: MachineId) {
        let Some(at) = self.machines.get_mut(&job) else { return };
        at.retain(|other| *other != machine);
        if at.is_empty() {
            self.machines.remove(&job);
            self.order.retain(|other| *other != job);
        }
    }

    /// A machine's process is gone with all that it held.
    pub fn prove_all_gone(&mut self, machine: MachineId) {
        self.machines.retain(|_, at| {
            at.retain(|other| *other != machine);
            !at.is_empty()
        });
        let Ghosts { machines, order } = self;
        order.retain(|job| machines.contains_key(job));
    }

    /// The machines that may hold a copy of any job.
    pub fn machines(&self) -> BTreeSet<MachineId> {
        self.machines.values().flatten().copied().collect()
    }

    /// Whether a copy of that job may run.
    pub fn may_run(&self, job: RequestId) -> bool {
        self.machines.contains_key(&job)
    }
}

#[cfg(test)]
mod tests;
