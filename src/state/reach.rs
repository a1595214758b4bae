//! Reaching beyond the part: machines are borrowed for jobs that find no place, and given back. How far and how often is
//! [`crate::decide::subsets::reach`]'s; a borrowed machine goes the way of any other through the core and the module.
//!
//! What holds whatever happens (`state/outside/tests.rs`):
//! - a machine is borrowed only while it is ready, warm and not lately heard to have broken off;
//! - from the moment a borrowed machine may have come up anew it gets nothing more, and what waits for it is taken back;
//! - a borrowed machine on which an attempt is out, a task stands or a member's copy may run is not given back.

use super::alarms::Alarm;
use super::jobs::Spot;
use super::outside::{is_cold, Bounds, Loan, Need, Seek, Within};
use super::*;
use crate::decide::groups::fit;
use crate::decide::subsets::reach::{
    AFTER_REFUSAL_S, BORROWED_A_STEP, BORROWED_BEFORE_FAILING, BORROWED_FOR_JOB, BROKE_OFF_S, IDLE_S,
    JOBS_A_STEP, LOOKED_A_STEP, LOOKED_FOR_GROUP, REMEMBERED_S, UNPROVED_S,
};

/// Seconds. Time between looks at what is borrowed.
const TEND_S: Seconds = 0.5;
/// Seconds. Alarms are kept in whole microseconds: one may come by so much before its time.
const SLACK_S: Seconds = 1e-3;
/// Count. Machines that a job may still go to, below which others are borrowed before it could fail.
const FEW_OPEN: usize = 2;

impl Core {
    /// Looks beyond the part for a job that waits without an attempt out; `refused` for want of room, it first goes back
    /// to the part.
    pub(super) fn seek(&mut self, now: Seconds, id: RequestId, refused: bool) {
        if !self.outside.is_on() || !self.waits(id) {
            return;
        }
        let due = if refused { now + AFTER_REFUSAL_S } else { now };
        self.outside.seeking.insert(id, Seek { due, steps: 0 });
        self.step_by(due);
    }

    fn waits(&self, id: RequestId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.phase == Phase::Pending && job.trial.is_none())
    }

    /// Has the next step made no later than its pace allows after that time.
    fn step_by(&mut self, due: Seconds) {
        let at = self.outside.pace.next(due);
        if self.outside.step_at.is_none_or(|before| at < before) {
            self.outside.step_at = Some(at);
            self.alarm(at, Alarm::Reach);
        }
    }

    /// Has what is borrowed looked at.
    pub(super) fn tend_by(&mut self, now: Seconds) {
        if self.outside.tend_at.is_none() {
            self.outside.tend_at = Some(now + TEND_S);
            self.alarm(now + TEND_S, Alarm::Loans);
        }
    }

    /// One step: borrows for the jobs that have waited the longest.
    pub(super) fn reach(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        if !self.outside.step_at.is_some_and(|at| at <= now + SLACK_S) {
            return; // An earlier step took its place.
        }
        self.outside.step_at = None;
        let mut seeking = std::mem::take(&mut self.outside.seeking);
        seeking.retain(|&id, _| self.waits(id));
        let mut due: Vec<(Seconds, RequestId)> =
            seeking.iter().filter(|(_, seek)| seek.due <= now).map(|(&id, seek)| (seek.due, id)).collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        due.truncate(JOBS_A_STEP);
        let (mut look, mut borrowed) = (LOOKED_A_STEP, Vec::new());
        for (_, id) in &due {
            let spare = self.outside.spare().min(BORROWED_A_STEP).saturating_sub(borrowed.len());
            let wanted = BORROWED_FOR_JOB.min(spare);
            let Some(seek) = seeking.get_mut(id).filter(|_| look > 0 && wanted > 0) else { break };
            (seek.due, seek.steps) = (now, seek.steps + 1);
            let turn = seek.steps - 1;
            let Some(need) = self.need_of(*id) else { continue };
            let bounds = Bounds { look, wanted, turn, except: &borrowed };
            let (machines, looked) = self.outside.pick(now, &self.settings, &need, bounds);
            look = look.saturating_sub(looked);
            borrowed.extend(machines);
        }
        self.outside.pace.stepped(now, !borrowed.is_empty());
        self.borrow(now, &borrowed, effects);
        self.outside.seeking.append(&mut seeking);
        let next = self.outside.seeking.values().map(|seek| seek.due).min_by(f64::total_cmp);
        if let Some(next) = next {
            self.step_by(next);
        }
    }

    /// What a job needs of a machine; nothing where no other attempt of it may go out.
    fn need_of(&self, id: RequestId) -> Option<Need> {
        let job = self.jobs.get(&id)?;
        let class = self.settings.classes.get(job.task.class)?;
        let within = match (class.effect, job.risky_at) {
            (_, None) => Within::Anywhere,
            (_, Some(_)) if !job.task.limits.copies => return None,
            (Effect_::Once, Some(_)) => return None,
            (Effect_::Repeatable, Some(_)) => Within::Anywhere,
            (Effect_::Keyed { group, .. }, Some(first)) => within(group, first),
        };
        Some(Need { kind: class.kind, room: job.task.room, within })
    }

    /// An attempt that may have run is about to end: where its job could go to hardly any machine now, and the module
    /// would end it for good, others that it may go to are borrowed first.
    pub(super) fn reach_before_failing(&mut self, now: Seconds, id: RequestId, effects: &mut Vec<Effect>) {
        if !self.outside.is_on() {
            return;
        }
        let Some(need) = self.need_of(id) else { return };
        let tried: Vec<MachineId> =
            self.jobs.get(&id).map_or(vec![], |job| job.past.iter().map(|past| past.machine).collect());
        let lies = |machine: MachineId| match (need.within, self.nodes.get(machine)) {
            (_, None) => false,
            (Within::Anywhere, _) => true,
            (Within::Zone(zone), Some(node)) => node.entry().zone == zone,
            (Within::Cell(cell), Some(node)) => node.entry().cell == cell,
            (Within::Machine(only), _) => machine == only,
        };
        let of_kind = |kind: Option<usize>| need.kind.is_none() || need.kind == kind;
        let spaces = self.placer.spaces(now);
        let open =
            spaces.iter().filter(|s| of_kind(s.kind) && lies(s.machine) && !tried.contains(&s.machine));
        if open.count() >= FEW_OPEN {
            return;
        }
        let wanted = BORROWED_BEFORE_FAILING.min(self.outside.spare());
        let bounds = Bounds { look: LOOKED_A_STEP, wanted, turn: 0, except: &[] };
        let (machines, _) = self.outside.pick(now, &self.settings, &need, bounds);
        self.borrow(now, &machines, effects);
    }

    /// Borrows for a group that does not fit into what the module knows of; tells whether anything was borrowed.
    pub(super) fn borrow_for_group(
        &mut self,
        now: Seconds,
        needs: &[fit::Need],
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.outside.is_on() {
            return false;
        }
        let kinds: BTreeSet<Option<usize>> = needs.iter().map(|need| need.kind).collect();
        let look = LOOKED_FOR_GROUP / kinds.len().max(1);
        let mut borrowed = 0;
        for kind in kinds {
            let members: Vec<&fit::Need> = needs.iter().filter(|need| need.kind == kind).collect();
            let size = |need: &&&fit::Need| need.room.cores.max(need.room.memory);
            // One that takes the least of them is of use.
            let Some(least) = members.iter().min_by(|a, b| size(a).total_cmp(&size(b))) else { continue };
            let need = Need { kind, room: least.room, within: Within::Anywhere };
            let wanted = members.len().min(self.outside.spare());
            let (machines, _) =
                self.outside.pick(now, &self.settings, &need, Bounds { look, wanted, turn: 0, except: &[] });
            borrowed += machines.len();
            self.borrow(now, &machines, effects);
        }
        borrowed > 0
    }

    /// Has machines of the table join the nodes and the module.
    pub(super) fn borrow(&mut self, now: Seconds, machines: &[MachineId], effects: &mut Vec<Effect>) {
        let mut entries = Vec::new();
        for &machine in machines {
            let Some(notice) = self.outside.table.remove(machine) else { continue };
            let withdrawn = is_cold(now, &notice.entry, &self.settings);
            self.outside.loans.insert(machine, Loan { withdrawn, used_at: now });
            self.outside.returned.retain(|(_, other)| *other != machine);
            self.connect_node(&notice, effects);
            entries.push(self.as_heard(notice.entry));
        }
        if !entries.is_empty() {
            self.tend_by(now);
            self.feed(now, Event::List { kind: ListKind::Changes, entries }, effects);
        }
    }

    /// Nothing more goes to a borrowed machine that may have come up anew: its connection ended, or what stood there was
    /// lost. Once the list has had the time to tell of that and has not, it is taken for what it was.
    pub(super) fn withdraw(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        let Some(loan) = self.outside.loans.get_mut(&machine) else { return };
        self.outside.barred.insert(machine, now + BROKE_OFF_S);
        if std::mem::replace(&mut loan.withdrawn, true) {
            return;
        }
        let Some(entry) = self.nodes.get(machine).map(|node| node.entry()) else { return };
        let entries = vec![self.as_heard(entry)];
        self.feed(now, Event::List { kind: ListKind::Changes, entries }, effects);
        self.take_back_unsent(now, &[machine], effects);
    }

    /// Looks at what is borrowed: what is of no use any more is given back, and zones without a machine get one.
    pub(super) fn tend_loans(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        if !self.outside.tend_at.is_some_and(|at| at <= now + SLACK_S) {
            return;
        }
        self.outside.tend_at = None;
        while self.outside.returned.front().is_some_and(|(at, _)| now >= at + REMEMBERED_S) {
            self.outside.returned.pop_front();
        }
        self.outside.barred.retain(|_, until| now < *until);
        self.reopen(now, effects);
        let idle = self.idle_loans(now);
        self.give_back(now, &idle, effects);
        self.cover_zones(now, effects);
        if !self.outside.loans.is_empty()
            || !self.outside.returned.is_empty()
            || !self.outside.barred.is_empty()
        {
            self.tend_by(now);
        }
    }

    /// Lets the module hear again of borrowed machines that are warm: by the list, and by the time that it had to tell.
    fn reopen(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let mut warm = Vec::new();
        for (machine, loan) in &mut self.outside.loans {
            let Some(node) = self.nodes.get(*machine).filter(|_| loan.withdrawn) else { continue };
            let is_barred = self.outside.barred.contains_key(machine);
            if node.entry().standing == Standing::Ready
                && !is_barred
                && !is_cold(now, &node.entry(), &self.settings)
            {
                loan.withdrawn = false;
                warm.push(node.entry());
            }
        }
        if !warm.is_empty() {
            self.feed(now, Event::List { kind: ListKind::Changes, entries: warm }, effects);
        }
    }

    /// The borrowed machines that are of no use any more.
    fn idle_loans(&mut self, now: Seconds) -> Vec<MachineId> {
        let unproved = self.ghosts.machines();
        let cut = self.cut_machines();
        let mut in_zone = self.open_in_zones();
        let mut idle = Vec::new();
        for (&machine, loan) in &mut self.outside.loans {
            let Some(node) = self.nodes.get(machine) else { continue };
            if !node.standing.is_empty() || !node.trying.is_empty() {
                loan.used_at = now;
                continue;
            }
            let is_open = node.entry().standing == Standing::Ready && !loan.withdrawn;
            let rested = now - loan.used_at;
            let is_kept = cut.contains(&machine) || unproved.contains(&machine) && rested < UNPROVED_S;
            if is_kept || (is_open && rested < IDLE_S) {
                continue;
            }
            if let Some(open) = in_zone.get_mut(&node.entry().zone).filter(|_| is_open) {
                if *open == 1 && node.entry().zone.0 < self.outside.named_zones {
                    continue; // The planner's only one in its zone.
                }
                *open -= 1;
            }
            idle.push(machine);
        }
        idle
    }

    /// Returns machines to the table.
    fn give_back(&mut self, now: Seconds, machines: &[MachineId], effects: &mut Vec<Effect>) {
        if machines.is_empty() {
            return;
        }
        let rests = |node: &Node| Entry { standing: Standing::Draining, ..node.entry() };
        let entries = machines.iter().filter_map(|&id| self.nodes.get(id)).map(rests).collect();
        self.feed(now, Event::List { kind: ListKind::Changes, entries }, effects);
        for &machine in machines {
            self.machine_changed(machine, ChangeKind::Deleted, effects);
            let Some(node) = self.nodes.remove(machine) else { continue };
            debug_assert!(node.standing.is_empty() && node.trying.is_empty(), "work goes on there");
            self.outside.loans.remove(&machine);
            self.outside.returned.push_back((now, machine));
            self.outside.table.insert(&Notice { entry: node.entry(), address: node.address().to_string() });
            effects.push(Effect::Disconnect { machine });
        }
    }

    /// How many machines may be sent something in each zone.
    fn open_in_zones(&self) -> BTreeMap<ZoneId, usize> {
        let mut zones = BTreeMap::new();
        for (_, node) in self.nodes.iter().filter(|(_, node)| self.is_open(&node.entry())) {
            *zones.entry(node.entry().zone).or_insert(0) += 1;
        }
        zones
    }

    /// Borrows a machine of each zone that the settings name and of which none is open here.
    pub(super) fn cover_zones(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let open = self.open_in_zones();
        let bare: Vec<ZoneId> =
            (0..self.outside.named_zones).map(ZoneId).filter(|zone| !open.contains_key(zone)).collect();
        for zone in bare {
            let need = Need { kind: None, room: Room::default(), within: Within::Zone(zone) };
            let bounds = Bounds { look: LOOKED_A_STEP, wanted: 1, turn: 0, except: &[] };
            let (machines, _) = self.outside.pick(now, &self.settings, &need, bounds);
            self.borrow(now, &machines, effects);
            self.tend_by(now);
        }
    }
}

/// Where a further attempt of a keyed job may go.
fn within(group: Place, first: Spot) -> Within {
    match group {
        Place::All => Within::Anywhere,
        Place::Zone => Within::Zone(first.zone),
        Place::Cell => Within::Cell(first.cell),
        Place::Machine => Within::Machine(first.machine),
    }
}
