//! Copies that may run although their jobs are over, and the orders to stop those of group members, which are
//! repeated until the machines confirm them.

use super::*;
use crate::state::possible_copies::{PossibleCopy, RETENTION_S};

/// Count. Members' copies for which stop orders are repeated when their machines reconnect; the oldest are
/// dropped first.
const MAX_PENDING_CUTS: usize = 16_384;

/// A member's copy that was ordered to stop, with the machines that have not confirmed its end.
pub(super) struct PendingCut {
    pub of: (GroupId, usize),
    /// The machines, and the latest time at which each may have begun the copy.
    pub machines: BTreeMap<MachineId, Seconds>,
}

/// A job whose copies were ordered to stop.
pub(super) struct OrderedCut {
    since: Seconds,
    job: RequestId,
    of: (GroupId, usize),
}

impl Groups {
    /// The jobs of members whose copies at a machine are ordered to stop, which it has not confirmed.
    fn cuts_at(&self, machine: MachineId) -> impl Iterator<Item = RequestId> + '_ {
        self.cuts_begun_at(machine, Seconds::INFINITY)
    }

    /// As [`Groups::cuts_at`], for copies that were begun by the given time.
    fn cuts_begun_at(&self, machine: MachineId, by: Seconds) -> impl Iterator<Item = RequestId> + '_ {
        let is_begun =
            move |cut: &PendingCut| cut.machines.get(&machine).is_some_and(|begun_by| *begun_by <= by);
        self.pending_cuts.iter().filter(move |(_, cut)| is_begun(cut)).map(|(&job, _)| job)
    }

    /// Whether all machines have confirmed the stop orders of members' copies.
    #[cfg(test)]
    pub(in crate::state) fn is_all_confirmed(&self) -> bool {
        self.pending_cuts.is_empty()
    }

    /// Drops a pending stop order once all machines have confirmed it.
    fn settle_cut(&mut self, job: RequestId) {
        if self.pending_cuts.get(&job).is_some_and(|cut| cut.machines.is_empty()) {
            let of = self.pending_cuts.remove(&job).map(|cut| cut.of);
            self.cut_order.retain(|other| other.job != job);
            self.proved_gone.extend(of);
        }
    }

    /// Whether a member of a group still waits for the copies of that job.
    fn is_waited_for(&self, job: RequestId, (group, member): (GroupId, usize)) -> bool {
        let record = self.records.get(&group);
        record.and_then(|record| record.members.get(member)).is_some_and(|member| member.job == Some(job))
    }

    /// Drops the oldest pending stop order to make room. Its member, if one waits, goes on waiting for its time.
    fn drop_oldest_cut(&mut self) {
        let pending = |cut: &OrderedCut| self.pending_cuts.contains_key(&cut.job);
        let Some(at) = self.cut_order.iter().position(pending) else { return };
        let OrderedCut { job, of, .. } = self.cut_order[at];
        self.pending_cuts.remove(&job);
        if !self.is_waited_for(job, of) {
            self.cut_order.remove(at);
        }
    }
}

impl Core {
    /// Records that a copy of a job may run at a machine, until the machine reports its end. For a group
    /// member, the stop order is repeated whenever the machine reconnects.
    pub(in crate::state) fn record_possible_copy(
        &mut self,
        now: Seconds,
        id: RequestId,
        machine: MachineId,
        confirmation: Confirmation,
    ) {
        if !self.nodes.contains(machine) {
            return; // It has left the list: its process counts as gone.
        }
        let Some(job) = self.jobs.get(&id) else { return };
        // A member's copy is recorded after a reported error, too, and then the machine may have nothing to report any
        // more: without checks its key might never be free.
        let key = job.guarded_key().filter(|_| self.settings.probes || job.owner == Owner::Rest);
        let begun_by = if job.phase == Phase::Running { job.placed_at } else { now };
        self.possible_copies.record(now, id, key, PossibleCopy { machine, confirmation, begun_by });
        let Owner::Group { group, member } = job.owner else { return };
        let job = id;
        if !self.groups.pending_cuts.contains_key(&job) {
            if self.groups.pending_cuts.len() >= MAX_PENDING_CUTS {
                self.groups.drop_oldest_cut();
            }
            self.groups.cut_order.push_back(OrderedCut { since: now, job, of: (group, member) });
            self.set_forget_alarm();
        }
        let none = || PendingCut { of: (group, member), machines: BTreeMap::new() };
        let cut = self.groups.pending_cuts.entry(job).or_insert_with(none);
        cut.machines.insert(machine, begun_by);
    }

    /// Handles the end of a copy at a machine.
    pub(in crate::state) fn prove_gone(&mut self, job: RequestId, machine: MachineId, end: CopyEnd) {
        if self.possible_copies.may_run_at(job, machine) {
            self.possible_copies.prove_gone(job, machine);
            self.copies_gone.push(CopyGone { job, machine, end });
        }
        if let Some(cut) = self.groups.pending_cuts.get_mut(&job) {
            cut.machines.remove(&machine);
            self.groups.settle_cut(job);
        }
    }

    /// Handles the end of a machine's process, which took the copies with it that it had begun.
    pub(in crate::state) fn prove_all_gone(&mut self, machine: MachineId, end: ProcessEnd) {
        self.kept_back.forget_machine(machine);
        let begun_by = match end {
            ProcessEnd::LeftList => Seconds::INFINITY,
            // A copy that was begun later may run in the process that has started.
            ProcessEnd::Restarted { started } => started,
        };
        let copies = self.possible_copies.begun_at(machine, begun_by);
        let jobs: BTreeSet<RequestId> = copies.chain(self.groups.cuts_begun_at(machine, begun_by)).collect();
        jobs.into_iter().for_each(|job| self.prove_gone(job, machine, CopyEnd::Process(end)));
    }

    /// Sets the alarm that ends the longest wait of a member, unless it is set.
    fn set_forget_alarm(&mut self) {
        let Some(oldest) = self.groups.cut_order.front().filter(|_| !self.groups.is_forget_alarm_set) else {
            return;
        };
        let at = oldest.since + RETENTION_S;
        self.groups.is_forget_alarm_set = true;
        self.alarm(at, Alarm::ForgetCuts);
    }

    /// Stops waiting for the end of members' copies that nothing has confirmed for [`RETENTION_S`], also where the orders
    /// to stop them were dropped.
    pub(in crate::state) fn forget_cuts(&mut self, now: Seconds) {
        self.groups.is_forget_alarm_set = false;
        while let Some(&OrderedCut { since, job, of }) = self.groups.cut_order.front() {
            if now < since + RETENTION_S {
                break;
            }
            let machines =
                self.groups.pending_cuts.get(&job).map(|cut| cut.machines.keys().copied().collect());
            let machines: Vec<MachineId> = machines.unwrap_or_default();
            machines.into_iter().for_each(|machine| self.prove_gone(job, machine, CopyEnd::RetentionPassed));
            self.groups.cut_order.retain(|other| other.job != job);
            if self.groups.is_waited_for(job, of) {
                self.groups.proved_gone.push(of);
            }
        }
        self.set_forget_alarm();
    }

    /// A machine has reconnected: copies of group members, and those that keep a key from being used, are ordered to
    /// stop first, as nobody else ends them.
    pub(in crate::state) fn resend_cuts(&mut self, machine: MachineId, effects: &mut Vec<Effect>) {
        self.possible_copies.forget_fences(machine);
        let jobs: BTreeSet<RequestId> =
            self.possible_copies.keyed_at(machine).chain(self.groups.cuts_at(machine)).collect();
        if jobs.is_empty() {
            return;
        }
        effects.extend(jobs.iter().map(|&job| Effect::Stop { machine, job, cause: CAUSE_CUT }));
        let confirmation = self.confirm_stops(machine, effects);
        for job in jobs {
            self.possible_copies.confirm_by(job, machine, confirmation);
        }
    }

    /// Sends a connection check behind the orders to stop that were sent to a machine, where checks are allowed.
    pub(in crate::state) fn confirm_stops(
        &mut self,
        machine: MachineId,
        effects: &mut Vec<Effect>,
    ) -> Confirmation {
        if !self.settings.probes {
            return Confirmation::Report;
        }
        let check = self.next_fence();
        effects.push(Effect::SendFence { machine, ask: check });
        Confirmation::Fence(check)
    }

    /// Handles the answer to a connection check written behind orders to stop: the machine has received them.
    pub(in crate::state) fn stops_confirmed(&mut self, machine: MachineId, fence: u64) {
        for job in self.possible_copies.confirmed_by(machine, fence) {
            self.prove_gone(job, machine, CopyEnd::StopConfirmed);
        }
    }

    /// Whether a machine has to be reached because a copy there keeps a key from being used, or a member of a group from
    /// being placed anew.
    pub fn owes_stop_at(&self, machine: MachineId) -> bool {
        let keyed = self.possible_copies.keyed_at(machine).next();
        keyed.or_else(|| self.groups.cuts_at(machine).next()).is_some()
    }
}
