//! The machines: what the list says of them, and what follows where one is lost.

use super::*;
use crate::decide::silence::LOST_S;

/// Seconds. So long a machine that drains and refuses connections is taken to hold what stands there. An end of
/// which no word came is to be told within 8 s.
const DRAIN_KEEPS_S: Seconds = 3.0;
/// Count. Names kept of machines that are no more, before they are gone through.
const OLD_NAMES: usize = 64;

/// The cause by which a machine is told to cut a task that counts as lost.
pub(super) const CUT: u8 = 41;

impl Core {
    /// Gives a machine a new version, which watchers see.
    pub(super) fn machine_changed(&mut self, id: MachineId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.version = version;
        if let Some(node) = self.nodes.get(id).filter(|_| self.keep.history > 0) {
            let object = Object::Machine(Arc::new(self.machine_view(id, node)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }

    pub(super) fn list(
        &mut self,
        now: Seconds,
        kind: ListKind,
        mut notices: Vec<Notice>,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(kind, ListKind::Whole | ListKind::Persisted) {
            let named: BTreeSet<MachineId> = notices.iter().map(|n| n.entry.machine).collect();
            let missing = self.nodes.iter().filter(|(id, _)| !named.contains(id));
            notices.extend(missing.map(|(_, node)| gone(node)));
        }
        self.replace(&mut notices);
        let restarted: Vec<(MachineId, Seconds)> =
            notices.iter().filter_map(|n| self.notice(n, effects)).collect();
        let entries: Vec<Entry> = notices.into_iter().map(|n| n.entry).collect();
        let gone: Vec<MachineId> =
            entries.iter().filter(|e| e.standing == Standing::Gone).map(|e| e.machine).collect();
        // The module hears of drains before what they set free is placed again.
        self.feed(now, Event::List { kind, entries }, effects);
        for (machine, started) in restarted {
            // Its process came up anew: what stood there before did not survive it.
            self.lose(now, machine, started, effects);
            self.prove_all_gone(machine);
            // What waits in its queue was decided for a warm machine: all planners' queues at once may push a cold one over.
            self.take_back_queued(now, machine, effects);
        }
        for machine in gone {
            self.depart(now, machine, effects);
        }
        self.forget_names();
        for machine in self.nodes.not_ready() {
            self.take_back_queued(now, machine, effects);
        }
    }

    /// What waits in a machine's queue is taken back and decided anew.
    fn take_back_queued(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        for job in self.tried(machine, |t| !t.left) {
            effects.push(Effect::GiveUp { machine, job });
            self.trial_over(now, job, Outcome::Moot, Reason::Unknown, None, effects);
        }
    }

    /// Where a machine is told of at the address of another, the one that started later has it. The other is gone,
    /// though the list does not say so yet: what is sent to it would reach its successor.
    pub(super) fn replace(&self, notices: &mut Vec<Notice>) {
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

    /// Forgets the names of machines that nothing refers to any more.
    pub(super) fn forget_names(&mut self) {
        if self.words.machines() > 2 * self.nodes.len() + OLD_NAMES {
            let of_jobs = self.jobs.values().filter_map(|j| j.machine);
            let used: BTreeSet<MachineId> = self.nodes.iter().map(|(id, _)| id).chain(of_jobs).collect();
            self.words.keep_machines(|id| used.contains(&id));
        }
    }

    /// Books what the list says of one machine; tells when it started if it came up anew under its old name.
    pub(super) fn notice(
        &mut self,
        notice: &Notice,
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

    /// Ends what stood at a machine since before that time.
    pub(super) fn lose(
        &mut self,
        now: Seconds,
        machine: MachineId,
        before: Seconds,
        effects: &mut Vec<Effect>,
    ) {
        let Some(node) = self.nodes.get(machine) else { return };
        let old = |id: &RequestId| self.jobs.get(id).is_some_and(|j| j.placed_at < before);
        let lost: Vec<RequestId> = node.standing.iter().copied().filter(old).collect();
        for job in lost {
            // Should the machine only have been cut off, its copy must not run on behind the owner's back.
            effects.push(Effect::Stop { machine, job, cause: CUT });
            self.unproved(job, machine);
            self.standing_over(now, job, Outcome::Lost, Reason::Unknown, None, effects);
        }
    }

    /// A process that is gone refuses connections, and so does one that drains. What stands at the latter goes on
    /// until the list calls it gone, or until its end, untold, would come to its owner too late.
    pub(super) fn dial_refused(
        &mut self,
        now: Seconds,
        machine: MachineId,
        quiet_s: Seconds,
        effects: &mut Vec<Effect>,
    ) {
        let drains = self.nodes.get_mut(machine).filter(|n| n.entry().standing == Standing::Draining);
        let since = drains.map(|node| *node.refuses_since.get_or_insert(now));
        if since.is_some_and(|since| now < since + DRAIN_KEEPS_S) && quiet_s < LOST_S {
            return self.break_trials(now, machine, false, Reason::Unknown, effects);
        }
        self.machine_lost(now, machine, true, effects);
    }

    /// A machine counts as lost with what stood there. What left for it is over only where that is proved: it may be out on
    /// a connection that is up.
    pub(super) fn machine_lost(
        &mut self,
        now: Seconds,
        machine: MachineId,
        proved: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.lose(now, machine, f64::INFINITY, effects);
        self.break_trials(now, machine, false, Reason::Unknown, effects);
        if proved {
            self.break_trials(now, machine, true, Reason::Unknown, effects);
            self.prove_all_gone(machine);
        }
    }

    /// A machine leaves the list: what stood there counts as lost, what is queued for it never ran, and what left for it is
    /// given up, and out until its connection has ended.
    fn depart(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        self.lose(now, machine, f64::INFINITY, effects);
        self.break_trials(now, machine, false, Reason::Unknown, effects);
        let jobs = self.tried(machine, |t| t.left);
        self.machine_changed(machine, ChangeKind::Deleted, effects);
        let departure = self.departures.begin(machine, jobs.iter().copied().collect());
        for &job in &jobs {
            if let Some(trial) = self.jobs.get_mut(&job).and_then(|j| j.trial.as_mut()) {
                trial.departure = Some(departure);
            }
            if let Some(node) = self.nodes.get_mut(machine) {
                node.trying.remove(&job);
            }
        }
        for job in jobs {
            self.give_up_left(now, job, effects);
        }
        if self.nodes.remove(machine).is_some() {
            effects.push(Effect::Disconnect { machine, departure });
        } else {
            self.departures.end(departure);
        }
    }

    /// The connection to a machine that left the list has ended, and its attempts with it.
    pub(super) fn departed(
        &mut self,
        now: Seconds,
        departure: DepartureId,
        proved: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(Departed { machine, jobs }) = self.departures.end(departure) else { return };
        for job in jobs {
            self.departure_ended(now, job, proved, effects);
        }
        // Should it be back already, what is booked there is of its new process, too.
        if !self.nodes.contains(machine) {
            self.prove_all_gone(machine);
        }
    }
}

/// The notice that a machine is gone.
fn gone(node: &Node) -> Notice {
    Notice { entry: Entry { standing: Standing::Gone, ..node.entry() }, address: node.address().to_string() }
}
