//! Copies that may run although their jobs are over, and the orders to stop those of group members, which are
//! repeated until the machines confirm them.

use super::*;

/// Count. Members' copies for which stop orders are repeated when their machines reconnect; the oldest are
/// dropped first.
const MAX_PENDING_CUTS: usize = 16_384;

/// A member's copy that was ordered to stop, with the machines that have not confirmed its end.
pub(super) struct PendingCut {
    pub of: (GroupId, usize),
    pub machines: BTreeSet<MachineId>,
}

impl Groups {
    /// Drops a pending stop order once all machines have confirmed it.
    fn settle_cut(&mut self, job: RequestId) {
        if self.pending_cuts.get(&job).is_some_and(|cut| cut.machines.is_empty()) {
            let of = self.pending_cuts.remove(&job).map(|cut| cut.of);
            self.cut_order.retain(|other| *other != job);
            self.proved_gone.extend(of);
        }
    }
}

impl Core {
    /// Records that a copy of a job may run at a machine, until the machine reports its end. For a group
    /// member, the stop order is repeated whenever the machine reconnects.
    pub(in crate::state) fn record_possible_copy(&mut self, job: RequestId, machine: MachineId) {
        if !self.nodes.contains(machine) {
            return; // It has left the list: its process counts as gone.
        }
        self.possible_copies.record(job, machine);
        let Some(Owner::Group { group, member }) = self.jobs.get(&job).map(|j| j.owner) else { return };
        if !self.groups.pending_cuts.contains_key(&job) {
            if self.groups.cut_order.len() >= MAX_PENDING_CUTS {
                if let Some(oldest) = self.groups.cut_order.pop_front() {
                    self.groups.pending_cuts.remove(&oldest);
                }
            }
            self.groups.cut_order.push_back(job);
        }
        let none = || PendingCut { of: (group, member), machines: BTreeSet::new() };
        let cut = self.groups.pending_cuts.entry(job).or_insert_with(none);
        cut.machines.insert(machine);
    }

    /// Handles a machine's report that a copy is over.
    pub(in crate::state) fn prove_gone(&mut self, job: RequestId, machine: MachineId) {
        self.possible_copies.prove_gone(job, machine);
        if let Some(cut) = self.groups.pending_cuts.get_mut(&job) {
            cut.machines.remove(&machine);
            self.groups.settle_cut(job);
        }
    }

    /// Handles the proof that a machine's process is gone with all its copies.
    pub(in crate::state) fn prove_all_gone(&mut self, machine: MachineId) {
        self.possible_copies.prove_all_gone(machine);
        let here = |cut: &PendingCut| cut.machines.contains(&machine);
        let jobs: Vec<RequestId> =
            self.groups.pending_cuts.iter().filter(|(_, cut)| here(cut)).map(|(&job, _)| job).collect();
        jobs.into_iter().for_each(|job| self.prove_gone(job, machine));
    }

    /// A machine has reconnected: the stop orders that it has not confirmed are sent to it first.
    pub(in crate::state) fn resend_cuts(&mut self, machine: MachineId, effects: &mut Vec<Effect>) {
        let here = |(_, cut): &(&RequestId, &PendingCut)| cut.machines.contains(&machine);
        let jobs = self.groups.pending_cuts.iter().filter(here).map(|(&job, _)| job);
        effects.extend(jobs.map(|job| Effect::Stop { machine, job, cause: CAUSE_CUT }));
    }
}
