//! The machines: updates of the machine list, and the consequences of a lost machine.

use super::*;
use crate::decide::machine_loss::notice_after_refusal;

/// Count. Names of former machines that are kept before unused names are removed.
const UNUSED_NAMES_KEPT: usize = 64;

/// The cause code of an order to stop a task of the REST front that counts as lost, or whose group is stopped.
pub(super) const CAUSE_CUT: u8 = 41;

impl Core {
    /// Assigns a new version to a machine and adds it to the history for watchers.
    pub(super) fn machine_changed(&mut self, id: MachineId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.version = version;
        if let Some(node) = self.nodes.get(id).filter(|_| self.bounds.history > 0) {
            let object = Object::Machine(Arc::new(self.machine_view(id, node)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }

    pub(super) fn apply_list(
        &mut self,
        now: Seconds,
        kind: ListKind,
        mut notices: Vec<MachineNotice>,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(kind, ListKind::Whole | ListKind::Persisted) {
            let named: BTreeSet<MachineId> = notices.iter().map(|n| n.entry.machine).collect();
            let missing = self.nodes.iter().filter(|(id, _)| !named.contains(id));
            notices.extend(missing.map(|(_, node)| gone(node)));
        }
        self.resolve_address_conflicts(&mut notices);
        let restarted: Vec<(MachineId, Seconds)> =
            notices.iter().filter_map(|n| self.update_machine(n, effects)).collect();
        let entries: Vec<Entry> = notices.into_iter().map(|n| n.entry).collect();
        let gone: Vec<MachineId> =
            entries.iter().filter(|e| e.standing == Standing::Gone).map(|e| e.machine).collect();
        // The placer is informed of drains first, so that the jobs they release are not placed there again.
        self.feed_placer(now, Event::List { kind, entries }, effects);
        for (machine, started) in restarted {
            // The machine's process restarted: tasks that ran there before are lost.
            self.lose_running_tasks(now, machine, |job| job.placed_at < started, effects);
            self.prove_all_gone(machine, ProcessEnd::Restarted { started });
            // Attempts in the send queue were decided for a warm machine. Sent by all planners at once, they
            // could overload a cold one.
            self.cancel_queued(now, machine, effects);
        }
        for machine in gone {
            self.begin_departure(now, machine, effects);
        }
        self.prune_names();
        for machine in self.nodes.not_ready() {
            self.cancel_queued(now, machine, effects);
        }
    }

    /// Cancels the attempts that are queued for a machine, so that the placer decides again.
    fn cancel_queued(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        for job in self.open_attempts_at(machine, |t| !t.sent) {
            effects.push(Effect::CancelAttempt { machine, job });
            self.end_attempt(now, job, Outcome::Moot, Reason::Unknown, None, effects);
        }
    }

    /// If two machines have the same address, the one that started later owns it. The other counts as gone,
    /// although the list does not say so yet: messages for it would reach its successor.
    pub(super) fn resolve_address_conflicts(&self, notices: &mut Vec<MachineNotice>) {
        let mut replaced = Vec::new();
        for notice in notices.iter_mut().filter(|n| n.entry.standing != Standing::Gone) {
            let Some(other) = self.nodes.other_at(&notice.address, notice.entry.machine) else { continue };
            if other.entry().started > notice.entry.started {
                notice.entry.standing = Standing::Gone;
            } else if notice.entry.standing == Standing::Ready {
                replaced.push(gone(other));
            }
        }
        let names: BTreeSet<MachineId> = replaced.iter().map(|n| n.entry.machine).collect();
        notices.retain(|n| !names.contains(&n.entry.machine));
        notices.splice(0..0, replaced);
    }

    /// Removes the names of machines to which nothing refers any more.
    pub(super) fn prune_names(&mut self) {
        if self.vocabulary.machines() > 2 * (self.nodes.len() + self.nodes.unlisted()) + UNUSED_NAMES_KEPT {
            let of_jobs = self.jobs.values().filter_map(|j| j.machine);
            let used: BTreeSet<MachineId> = self.nodes.iter().map(|(id, _)| id).chain(of_jobs).collect();
            self.vocabulary.keep_machines(|id| used.contains(&id));
        }
    }

    /// Applies the list's entry for one machine. Returns the machine's start time if it restarted under its
    /// former name.
    pub(super) fn update_machine(
        &mut self,
        notice: &MachineNotice,
        effects: &mut Vec<Effect>,
    ) -> Option<(MachineId, Seconds)> {
        let (entry, id) = (notice.entry, notice.entry.machine);
        let Some(node) = self.nodes.get_mut(id) else {
            if entry.standing != Standing::Gone {
                let address = notice.address.clone();
                effects.push(Effect::Connect { machine: id, address: address.clone() });
                self.nodes.insert(entry, address);
                self.machine_changed(id, ChangeKind::Added, effects);
            }
            return None;
        };
        let restarted = entry.started > node.entry().started;
        let moved = node.address() != notice.address;
        if entry.standing == Standing::Ready {
            node.refuses_since = None;
        }
        self.nodes.update(entry, &notice.address);
        if entry.standing == Standing::Gone {
            return None;
        }
        if moved {
            effects.push(Effect::Connect { machine: id, address: notice.address.clone() });
        }
        self.machine_changed(id, ChangeKind::Modified, effects);
        restarted.then_some((id, entry.started))
    }

    /// Ends those tasks that run at a machine and satisfy the predicate, as lost: their clients are told. A copy may
    /// run all the same.
    pub(super) fn lose_running_tasks(
        &mut self,
        now: Seconds,
        machine: MachineId,
        is_lost: impl Fn(&Job) -> bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(node) = self.nodes.get(machine) else { return };
        let is_lost = |id: &RequestId| self.jobs.get(id).is_some_and(&is_lost);
        let lost: Vec<RequestId> = node.running.iter().copied().filter(is_lost).collect();
        for job in lost {
            if self.is_to_be_stopped_after_loss(job) {
                // If the machine is only unreachable, its copy must not run on without the owner's knowledge.
                effects.push(Effect::Stop { machine, job, cause: CAUSE_CUT });
            }
            self.record_possible_copy(now, job, machine, Confirmation::Report);
            self.end_running_task(now, job, Outcome::Lost, Reason::Unknown, None, effects);
        }
    }

    /// Whether a task that counts as lost is ordered to stop, in case it runs on. The platform looks for its lost
    /// tasks, and hands those that run to any planner: an order of this one would stop a task that another planner
    /// has adopted. Nobody looks for tasks of the REST front and of groups.
    fn is_to_be_stopped_after_loss(&self, id: RequestId) -> bool {
        self.jobs.get(&id).is_some_and(|job| !matches!(job.owner, Owner::Link(_)))
    }

    /// Handles a refused connection, which shows nothing about the copies at the machine.
    pub(super) fn dial_refused(
        &mut self,
        now: Seconds,
        machine: MachineId,
        dial: RefusedDial,
        effects: &mut Vec<Effect>,
    ) {
        let Some(node) = self.nodes.get_mut(machine) else { return };
        let standing = node.entry().standing;
        let refused_s = match standing {
            Standing::Draining => now - *node.refuses_since.get_or_insert(now),
            Standing::Ready | Standing::Gone => 0.0,
        };
        let notice = notice_after_refusal(standing, refused_s, dial);
        self.machine_lost(now, machine, notice, effects);
    }

    /// Handles a machine that is out of reach: its tasks are reported lost as far as `notice` says, and what is queued
    /// for it goes elsewhere. Attempts that were sent end with their connection, and copies by evidence of their own.
    pub(super) fn machine_lost(
        &mut self,
        now: Seconds,
        machine: MachineId,
        notice: LossNotice,
        effects: &mut Vec<Effect>,
    ) {
        match notice {
            LossNotice::Nobody => {}
            LossNotice::PlatformClients => {
                self.lose_running_tasks(now, machine, |job| matches!(job.owner, Owner::Link(_)), effects);
            }
            LossNotice::Everyone => self.lose_running_tasks(now, machine, |_| true, effects),
        }
        self.end_attempts(now, machine, false, Reason::Unknown, effects);
    }

    /// Handles a machine's leaving the list: its running tasks count as lost, queued attempts never ran, and
    /// attempts that were sent are cancelled but stay open until the connection has ended.
    fn begin_departure(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        self.kept_back.forget_machine(machine);
        self.lose_running_tasks(now, machine, |_| true, effects);
        self.end_attempts(now, machine, false, Reason::Unknown, effects);
        let jobs = self.open_attempts_at(machine, |t| t.sent);
        self.machine_changed(machine, ChangeKind::Deleted, effects);
        let departure = self.departures.begin(machine, jobs.iter().copied().collect());
        for &job in &jobs {
            if let Some(open_attempt) = self.jobs.get_mut(&job).and_then(|j| j.open_attempt.as_mut()) {
                open_attempt.departure = Some(departure);
            }
            if let Some(node) = self.nodes.get_mut(machine) {
                node.open_attempts.remove(&job);
            }
        }
        for job in jobs {
            self.cancel_sent_attempt(now, job, effects);
        }
        if self.nodes.remove(machine).is_some() {
            effects.push(Effect::Disconnect { machine, departure });
        } else {
            self.departures.end(departure);
        }
    }

    /// Handles the end of the connection to a machine that left the list; its attempts end with it.
    pub(super) fn end_departure(
        &mut self,
        now: Seconds,
        departure: DepartureId,
        end: ConnectionEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(Departed { machine, jobs }) = self.departures.end(departure) else { return };
        for job in jobs {
            self.end_departed_attempt(now, job, end, effects);
        }
        // If the machine is listed again, copies recorded there may belong to its new process.
        if !self.nodes.contains(machine) {
            self.prove_all_gone(machine, ProcessEnd::LeftList);
        }
    }
}

/// The list update that marks a machine as gone.
fn gone(node: &Node) -> MachineNotice {
    MachineNotice {
        entry: Entry { standing: Standing::Gone, ..node.entry() },
        address: node.address().to_string(),
    }
}
