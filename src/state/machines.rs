//! The machines: what the list says of them, and what follows where one is lost.

use super::jobs::Spot;
use super::*;
use crate::decide::silence::LOST_S;

/// Seconds. So long a machine that drains and refuses connections is taken to hold what stands there. An end of
/// which no word came is to be told within 8 s.
const DRAIN_KEEPS_S: Seconds = 3.0;
/// Count. Names kept of machines that are no more, before they are gone through.
const OLD_NAMES: usize = 64;
impl Entry {
    /// Where it lies.
    pub(super) fn spot(&self) -> Spot {
        Spot { machine: self.machine, zone: self.zone, cell: self.cell }
    }
}

/// The cause by which a machine is told to cut a task that counts as lost.
pub(super) const CUT: u8 = 41;

#[derive(Clone, Debug)]
pub(super) struct Node {
    pub entry: Entry,
    pub address: String,
    pub standing: BTreeSet<RequestId>,
    /// Jobs of which an attempt is out or queued there.
    pub trying: BTreeSet<RequestId>,
    /// Since when it refuses connections while it drains.
    pub refuses_since: Option<Seconds>,
    pub version: u64,
}

impl Node {
    fn new(entry: Entry, address: String, standing: BTreeSet<RequestId>) -> Node {
        let trying = BTreeSet::new();
        Node { entry, address, standing, trying, refuses_since: None, version: 0 }
    }
}

impl Core {
    /// Gives a machine a new version, which watchers see.
    pub(super) fn machine_changed(&mut self, id: MachineId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.version = version;
        if let Some(node) = self.nodes.get(&id).filter(|_| self.keep.history > 0) {
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
            self.keep_named(&named);
            let missing = self.nodes.iter().filter(|(id, _)| !named.contains(id));
            let gone = |n: &Node| Notice {
                entry: Entry { standing: Standing::Gone, ..n.entry },
                address: n.address.clone(),
            };
            notices.extend(missing.map(|(_, n)| gone(n)).collect::<Vec<_>>());
        }
        self.replace(&mut notices);
        self.route(now, &mut notices);
        let restarted: Vec<(MachineId, Seconds)> =
            notices.iter().filter_map(|n| self.notice(n, effects)).collect();
        let entries: Vec<Entry> = notices.into_iter().map(|n| self.as_heard(n.entry)).collect();
        let gone: Vec<MachineId> =
            entries.iter().filter(|e| e.standing == Standing::Gone).map(|e| e.machine).collect();
        // The module hears of drains before what they set free is placed again.
        self.feed(now, Event::List { kind, entries }, effects);
        for (machine, started) in restarted {
            // Its process came up anew: what stood there before did not survive it.
            self.lose(now, machine, started, effects);
            self.prove_all_gone(machine);
        }
        for machine in gone {
            self.machine_lost(now, machine, effects);
            self.prove_all_gone(machine);
            self.machine_changed(machine, ChangeKind::Deleted, effects);
            self.outside.loans.remove(&machine);
            if self.nodes.remove(&machine).is_some() {
                effects.push(Effect::Disconnect { machine });
            }
        }
        self.forget_names();
        let drains = |(&id, n): &(&MachineId, &Node)| !self.is_open(id, n);
        let drains: Vec<MachineId> = self.nodes.iter().filter(drains).map(|(&id, _)| id).collect();
        self.take_back_unsent(now, &drains, effects);
        if self.outside.is_on() {
            self.cover_zones(now, effects);
        }
    }

    /// Takes back what has not left for machines that take nothing more; it goes elsewhere.
    pub(super) fn take_back_unsent(
        &mut self,
        now: Seconds,
        machines: &[MachineId],
        effects: &mut Vec<Effect>,
    ) {
        let unsent = |&machine: &MachineId| {
            let jobs = self.tried(machine, |t| !t.left).into_iter();
            jobs.map(move |job| (job, machine)).collect::<Vec<_>>()
        };
        let drained: Vec<(RequestId, MachineId)> = machines.iter().flat_map(unsent).collect();
        for (job, machine) in drained {
            effects.push(Effect::GiveUp { machine, job });
            self.trial_over(now, job, Outcome::Moot, Reason::Unknown, None, effects);
        }
    }

    /// Where a machine is told of at the address of another, the one that started later has it. The other is gone,
    /// though the list does not say so yet: what is sent to it would reach its successor.
    pub(super) fn replace(&self, notices: &mut Vec<Notice>) {
        let mut gone = Vec::new();
        for notice in notices.iter_mut().filter(|n| n.entry.standing != Standing::Gone) {
            let Some(other) = self.at_address(&notice.address, notice.entry.machine) else { continue };
            if other.started > notice.entry.started {
                notice.entry.standing = Standing::Gone;
            } else if notice.entry.standing == Standing::Ready {
                let entry = Entry { standing: Standing::Gone, ..other };
                gone.push(Notice { entry, address: notice.address.clone() });
            }
        }
        notices.retain(|n| !gone.iter().any(|g| g.entry.machine == n.entry.machine));
        notices.splice(0..0, gone);
    }

    /// Another machine that listens there, connected or beyond the part.
    fn at_address(&self, address: &str, except: MachineId) -> Option<Entry> {
        let same = |(id, n): &(&MachineId, &Node)| **id != except && n.address == address;
        let connected = self.nodes.iter().find(same).map(|(_, node)| node.entry);
        connected.or_else(|| self.outside.table.at_address(address, except))
    }

    /// Forgets the names of machines that nothing refers to any more.
    pub(super) fn forget_names(&mut self) {
        let listed = self.nodes.len() + self.outside.table.len();
        if self.words.machines() > 2 * listed + OLD_NAMES {
            let of_jobs = self.jobs.values().filter_map(|j| j.machine);
            let used: BTreeSet<MachineId> = self.nodes.keys().copied().chain(of_jobs).collect();
            let used = |id| used.contains(&id) || self.outside.table.contains(id);
            self.words.keep_machines(used);
        }
    }

    /// Books what the list says of one machine; tells when it started if it came up anew under its old name.
    pub(super) fn notice(
        &mut self,
        notice: &Notice,
        effects: &mut Vec<Effect>,
    ) -> Option<(MachineId, Seconds)> {
        let (entry, id) = (notice.entry, notice.entry.machine);
        let Some(node) = self.nodes.get_mut(&id) else {
            if entry.standing != Standing::Gone {
                let held = |j: &Job| j.machine == Some(id) && !j.phase.is_over();
                let standing = self.jobs.iter().filter(|(_, j)| held(j)).map(|(&job, _)| job).collect();
                self.connect_node(notice, standing, effects);
            }
            return None;
        };
        let restarted = entry.started > node.entry.started;
        let moved = node.address != notice.address;
        (node.entry, node.address) = (entry, notice.address.clone());
        if entry.standing == Standing::Gone {
            return None;
        }
        if entry.standing == Standing::Ready {
            node.refuses_since = None;
        }
        if moved {
            effects.push(Effect::Connect { machine: id, address: notice.address.clone() });
        }
        self.machine_changed(id, ChangeKind::Modified, effects);
        restarted.then_some((id, entry.started))
    }

    /// Has a machine join those that are connected.
    pub(super) fn connect_node(
        &mut self,
        notice: &Notice,
        standing: BTreeSet<RequestId>,
        effects: &mut Vec<Effect>,
    ) {
        let (id, address) = (notice.entry.machine, notice.address.clone());
        effects.push(Effect::Connect { machine: id, address: address.clone() });
        self.nodes.insert(id, Node::new(notice.entry, address, standing));
        self.machine_changed(id, ChangeKind::Added, effects);
    }

    /// Ends what stood at a machine since before that time.
    pub(super) fn lose(
        &mut self,
        now: Seconds,
        machine: MachineId,
        before: Seconds,
        effects: &mut Vec<Effect>,
    ) {
        let Some(node) = self.nodes.get(&machine) else { return };
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
        let drains = self.nodes.get_mut(&machine).filter(|n| n.entry.standing == Standing::Draining);
        let since = drains.map(|node| *node.refuses_since.get_or_insert(now));
        if since.is_some_and(|since| now < since + DRAIN_KEEPS_S) && quiet_s < LOST_S {
            return self.break_trials(now, machine, false, Reason::Unknown, effects);
        }
        self.machine_lost(now, machine, effects);
        self.prove_all_gone(machine);
    }

    pub(super) fn machine_lost(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        self.lose(now, machine, f64::INFINITY, effects);
        self.break_trials(now, machine, false, Reason::Unknown, effects);
        self.break_trials(now, machine, true, Reason::Unknown, effects);
    }
}
