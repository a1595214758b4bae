//! The machines beyond the planner's part ([`crate::decide::subsets`]): what the list says of each, and who is borrowed of
//! them. A machine in the table costs no connection, no entry in the module, no alarm and no test.
//!
//! Every machine of the list is in one of two places: among the nodes, if the planner serves it, has borrowed it, or has
//! work there; else in the table (`state/outside/tests.rs`, "table and nodes are the list").

mod table;

use super::*;
use crate::decide::subsets::reach::{self, Candidate, Pace};
use crate::decide::subsets::settings::Parts;
use crate::decide::subsets::Subsets;
pub(super) use table::Table;

/// Where a machine has to lie.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Within {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Machine(MachineId),
}

/// What is looked for beyond the part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    pub kind: Option<usize>,
    pub room: Room,
    pub within: Within,
}

/// How far a look may go.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds<'a> {
    /// Machines that may be looked at.
    pub look: usize,
    /// Machines wanted.
    pub wanted: usize,
    /// By how many zones the look is turned on from the planner's own.
    pub turn: usize,
    /// Machines that are taken already.
    pub except: &'a [MachineId],
}

/// A machine that is borrowed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    /// It may be cold: the module hears that it takes nothing.
    pub withdrawn: bool,
    /// When something was last open or stood there.
    pub used_at: Seconds,
}

/// A job for which a machine is looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seek {
    pub due: Seconds,
    pub steps: usize,
}

/// What the core keeps of the machines beyond the planner's part; nothing where it serves all.
#[derive(Default)]
pub(super) struct Outside {
    pub subsets: Option<Subsets>,
    pub table: Table,
    pub loans: BTreeMap<MachineId, Loan>,
    /// Machines given back of which the module still keeps records, and when they were.
    pub returned: VecDeque<(Seconds, MachineId)>,
    /// Machines that may be cold though the list does not say so, and until when they are not borrowed.
    pub barred: BTreeMap<MachineId, Seconds>,
    pub seeking: BTreeMap<RequestId, Seek>,
    pub pace: Pace,
    /// When the next step and the next look at what is borrowed are due, where they are.
    pub step_at: Option<Seconds>,
    pub tend_at: Option<Seconds>,
    /// Zones that the settings name come first.
    pub named_zones: u32,
    /// Machines that may be borrowed.
    pub most: usize,
}

/// How many machines are where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartView {
    /// Machines that the planner serves.
    pub served: usize,
    /// Machines that it borrows.
    pub borrowed: usize,
    /// Machines beyond.
    pub beyond: usize,
    /// Jobs for which a machine is looked for.
    pub seeking: usize,
}

impl Outside {
    /// Whether there is anything beyond the part.
    pub fn is_on(&self) -> bool {
        self.subsets.is_some()
    }

    /// Whether the planner serves a machine.
    pub fn serves(&self, machine: MachineKey) -> bool {
        self.subsets.as_ref().is_none_or(|subsets| subsets.serves(machine))
    }

    /// Whether a machine is borrowed and may be cold.
    pub fn is_withdrawn(&self, machine: MachineId) -> bool {
        self.loans.get(&machine).is_some_and(|loan| loan.withdrawn)
    }

    /// The machines that are borrowed and may be cold.
    pub fn withdrawn(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.loans.iter().filter(|(_, loan)| loan.withdrawn).map(|(&machine, _)| machine)
    }

    /// Machines that may still be borrowed.
    pub fn spare(&self) -> usize {
        self.most.saturating_sub(self.loans.len() + self.returned.len())
    }

    /// The machines of the table to borrow for a need: warm, ready, of its kind and place, with the most room of those
    /// looked at. Gives them, and how many were looked at.
    pub fn pick(
        &mut self,
        now: Seconds,
        settings: &Settings,
        need: &Need,
        bounds: Bounds<'_>,
    ) -> (Vec<MachineId>, usize) {
        let except = bounds.except;
        let mut look = Look { now, settings, need, except, looked: 0, fit: 0, candidates: Vec::new() };
        match need.within {
            Within::Machine(machine) => look.take(self, &[machine]),
            Within::Cell(cell) => look.take(self, &self.table.in_cell(cell, bounds.look)),
            Within::Anywhere | Within::Zone(_) => self.look_through_zones(&mut look, bounds),
        }
        (reach::roomiest(look.candidates.into_iter(), need.room, bounds.wanted), look.looked)
    }

    /// Looks through zone after zone until there is a choice.
    fn look_through_zones(&mut self, look: &mut Look<'_>, bounds: Bounds<'_>) {
        for zone in self.zone_order(look.settings, look.need, bounds.turn) {
            for kind in self.table.kinds_in(zone, look.need.kind) {
                let mut left = self.table.ready_of(kind, zone);
                while left > 0 && look.looked < bounds.look && look.fit < bounds.wanted * reach::CHOICES {
                    let most = reach::LOOKED_AT_ONCE.min(left).min(bounds.look - look.looked);
                    let machines = self.table.look(kind, zone, most);
                    left -= most;
                    look.take(self, &machines);
                }
            }
            if look.fit >= bounds.wanted || look.looked >= bounds.look {
                return;
            }
        }
    }

    /// The zones in which to look: the planner's own first, and with each turn the next one.
    fn zone_order(&self, settings: &Settings, need: &Need, turn: usize) -> Vec<ZoneId> {
        if let Within::Zone(zone) = need.within {
            return vec![zone];
        }
        let zones = self.table.zones(need.kind);
        let own = settings.zone.filter(|zone| zones.contains(zone));
        let others = zones.iter().copied().filter(|zone| Some(*zone) != own);
        let mut order: Vec<ZoneId> = own.into_iter().chain(others).collect();
        if !order.is_empty() {
            let turn = turn % order.len();
            order.rotate_left(turn);
        }
        order
    }

    fn candidate(
        &self,
        now: Seconds,
        settings: &Settings,
        need: &Need,
        machine: MachineId,
    ) -> Option<Candidate> {
        let entry = self.table.entry(machine)?;
        let kind = entry.kind.filter(|kind| need.kind.is_none_or(|wanted| wanted == *kind))?;
        let size = settings.kinds.get(kind)?.size;
        let is_barred = self.barred.get(&machine).is_some_and(|until| now < *until);
        if entry.standing != Standing::Ready || is_cold(now, &entry, settings) || is_barred {
            return None;
        }
        let limit = limit_of(size, settings);
        let asked = if settings.list_shows_room { size - entry.free } else { Room::default() };
        Some(Candidate { machine, left: limit - asked, limit })
    }
}

/// A look for machines, and what it found.
struct Look<'a> {
    now: Seconds,
    settings: &'a Settings,
    need: &'a Need,
    except: &'a [MachineId],
    looked: usize,
    /// Candidates that have room.
    fit: usize,
    candidates: Vec<Candidate>,
}

impl Look<'_> {
    fn take(&mut self, outside: &Outside, machines: &[MachineId]) {
        self.looked += machines.len();
        for &machine in machines.iter().filter(|machine| !self.except.contains(machine)) {
            let Some(candidate) = outside.candidate(self.now, self.settings, self.need, machine) else {
                continue;
            };
            self.fit += usize::from(self.need.room.within(candidate.left));
            self.candidates.push(candidate);
        }
    }
}

/// What a machine of that size accepts in all.
fn limit_of(size: Room, settings: &Settings) -> Room {
    let (cores, memory) = (settings.cores_multiple, settings.memory_multiple);
    Room { cores: size.cores * cores, memory: size.memory * memory }
}

/// Whether a machine is cold by what the list says: the module's own measure.
pub(super) fn is_cold(now: Seconds, entry: &Entry, settings: &Settings) -> bool {
    entry.started > 0.0 && now < entry.started + settings.warm_within_s
}

impl Core {
    /// Has the planner serve its part of the machines alone; before any list. The module is told of as many placers as send
    /// to the same machines: the tenants' quotas stay over all of them.
    pub fn serve_part(&mut self, subsets: Subsets, parts: Parts) {
        debug_assert!(self.nodes.len() == 0, "parts are settled before machines are known");
        let planners = subsets.planners();
        self.outside.table.salt = self.seed;
        self.outside.named_zones = self.words.zones().len() as u32;
        self.outside.most = reach::most_borrowed(parts.most(planners));
        self.settings.placers = subsets.replicas() as u32;
        if let Ok(placer) = Placer::new(self.settings.clone(), self.seed) {
            self.placer = placer;
        }
        self.outside.subsets = Some(subsets);
    }

    /// How many machines the planner serves, borrows, and only knows of; nothing where it serves all.
    pub fn part_view(&self) -> Option<PartView> {
        self.outside.is_on().then(|| PartView {
            served: self.nodes.len() - self.outside.loans.len(),
            borrowed: self.outside.loans.len(),
            beyond: self.outside.table.len(),
            seeking: self.outside.seeking.len(),
        })
    }

    /// Takes out of a list's notices those of machines that are neither served nor borrowed, and books them.
    pub(super) fn route(&mut self, now: Seconds, notices: &mut Vec<Notice>) {
        if !self.outside.is_on() {
            return;
        }
        let mut beyond = Vec::new();
        for notice in std::mem::take(notices) {
            if self.is_routed_in(now, &notice) {
                notices.push(notice);
            } else {
                beyond.push(notice);
            }
        }
        let mut ended = Vec::new();
        for notice in beyond {
            let (id, entry) = (notice.entry.machine, notice.entry);
            let before = self.outside.table.entry(id);
            let restarted = before.is_some_and(|before| entry.started > before.started);
            if entry.standing == Standing::Gone {
                self.outside.table.remove(id);
                self.outside.barred.remove(&id);
            } else {
                self.outside.table.insert(&notice);
            }
            if restarted || entry.standing == Standing::Gone {
                ended.push(id);
            }
        }
        self.ended_beyond(&ended);
    }

    /// Whether a notice is of a machine among the nodes, or of one that is to be there. A borrowed one that came up anew is
    /// cold: it is offered work by those that serve it alone.
    fn is_routed_in(&mut self, now: Seconds, notice: &Notice) -> bool {
        let (id, entry) = (notice.entry.machine, notice.entry);
        if let Some(node) = self.nodes.get(id) {
            let restarted = entry.started > node.entry().started;
            let cold = restarted || is_cold(now, &entry, &self.settings);
            if let Some(loan) = self.outside.loans.get_mut(&id) {
                loan.withdrawn |= cold;
            }
            return true;
        }
        // Whether it is served does not change: it is decided once.
        if self.outside.table.contains(id) {
            return false;
        }
        if self.outside.serves(entry.key) {
            return true;
        }
        if self.nodes.is_awaited(id) && entry.standing != Standing::Gone {
            let withdrawn = is_cold(now, &entry, &self.settings);
            self.outside.loans.insert(id, Loan { withdrawn, used_at: now });
            self.tend_by(now);
            return true;
        }
        false
    }

    /// Drops what a whole list does not name.
    pub(super) fn keep_named(&mut self, named: &BTreeSet<MachineId>) {
        let gone: Vec<MachineId> = self.outside.table.machines().filter(|id| !named.contains(id)).collect();
        for id in &gone {
            self.outside.table.remove(*id);
            self.outside.barred.remove(id);
        }
        self.ended_beyond(&gone);
    }

    /// Processes beyond the part are gone, with whatever copies ran there.
    fn ended_beyond(&mut self, machines: &[MachineId]) {
        if machines.is_empty() {
            return;
        }
        let booked = self.ghosts.machines();
        for machine in machines.iter().filter(|machine| booked.contains(machine)) {
            self.prove_all_gone(*machine);
        }
    }

    /// A machine's entry as the module hears it: one that is borrowed and may be cold takes nothing.
    pub(super) fn as_heard(&self, entry: Entry) -> Entry {
        match entry.standing {
            Standing::Ready if self.outside.is_withdrawn(entry.machine) => {
                Entry { standing: Standing::Draining, ..entry }
            }
            _ => entry,
        }
    }

    /// Whether a connected machine may be sent something new.
    pub(super) fn is_open(&self, entry: &Entry) -> bool {
        entry.standing == Standing::Ready && !self.outside.is_withdrawn(entry.machine)
    }

    /// What the ready machines beyond the part accept in all.
    pub(super) fn limit_beyond(&self) -> Room {
        let limit = |kind: usize| {
            self.settings.kinds.get(kind).map_or(Room::default(), |k| limit_of(k.size, &self.settings))
        };
        let of_kind = |(kind, ready): (usize, usize)| limit(kind) * ready as f64;
        self.outside.table.ready_of_kinds().map(of_kind).fold(Room::default(), |all, room| all + room)
    }
}

#[cfg(test)]
pub(super) mod tests;
