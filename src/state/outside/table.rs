//! What the list says of the machines that are not connected, with the indexes by which they are looked for.

use crate::placer::{CellId, Entry, MachineId, MachineKey, Room, Seconds, Standing, ZoneId};
use crate::state::Notice;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// A machine that is not connected: its entry without its number, and where it listens.
#[derive(Clone, Debug)]
pub struct Listed {
    key: MachineKey,
    cell: CellId,
    started: Seconds,
    free: Room,
    address: Box<str>,
    zone: ZoneId,
    kind: Option<u16>,
    standing: Standing,
}

/// Where a ready machine stands in the order in which this planner looks for one: no other planner has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    kind: u16,
    zone: ZoneId,
    draw: u32,
    machine: MachineId,
}

/// The machines that are not connected.
#[derive(Default)]
pub(in crate::state) struct Table {
    /// Makes the planner's order its own.
    pub salt: u64,
    machines: BTreeMap<MachineId, Listed>,
    /// The ready ones.
    order: BTreeSet<Position>,
    cells: BTreeSet<(CellId, MachineId)>,
    /// By a hash of their addresses.
    addresses: BTreeSet<(u32, MachineId)>,
    /// How many are ready of a kind in a zone, and where the next look begins.
    groups: BTreeMap<(u16, ZoneId), (usize, u32)>,
}

fn short_hash(value: impl Hash) -> u32 {
    let mut hash = SipHasher13::new();
    value.hash(&mut hash);
    hash.finish() as u32
}

impl Table {
    fn position(&self, machine: MachineId, listed: &Listed) -> Option<Position> {
        let kind = listed.kind.filter(|_| listed.standing == Standing::Ready)?;
        let draw = short_hash((self.salt, listed.key));
        Some(Position { kind, zone: listed.zone, draw, machine })
    }

    /// Takes a machine in, or what is new of it.
    pub fn insert(&mut self, notice: &Notice) {
        let (entry, machine) = (notice.entry, notice.entry.machine);
        let listed = Listed::new(&entry, &notice.address);
        if let Some(former) = self.machines.get_mut(&machine).filter(|former| former.is_found_as(&listed)) {
            *former = listed;
            return;
        }
        self.remove(machine);
        if let Some(position) = self.position(machine, &listed) {
            self.order.insert(position);
            self.groups.entry((position.kind, position.zone)).or_default().0 += 1;
        }
        self.cells.insert((listed.cell, machine));
        self.addresses.insert((short_hash(&*listed.address), machine));
        self.machines.insert(machine, listed);
    }

    /// Takes a machine out.
    pub fn remove(&mut self, machine: MachineId) -> Option<Notice> {
        let listed = self.machines.remove(&machine)?;
        if let Some(position) = self.position(machine, &listed) {
            self.order.remove(&position);
            if let Some((ready, _)) = self.groups.get_mut(&(position.kind, position.zone)) {
                *ready -= 1;
            }
        }
        self.cells.remove(&(listed.cell, machine));
        self.addresses.remove(&(short_hash(&*listed.address), machine));
        Some(Notice { entry: listed.entry(machine), address: listed.address.into() })
    }

    /// What the list says of a machine.
    pub fn entry(&self, machine: MachineId) -> Option<Entry> {
        self.machines.get(&machine).map(|listed| listed.entry(machine))
    }

    /// Whether a machine is here.
    pub fn contains(&self, machine: MachineId) -> bool {
        self.machines.contains_key(&machine)
    }

    /// Machines that are here.
    pub fn machines(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.machines.keys().copied()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Another machine at that address.
    pub fn at_address(&self, address: &str, except: MachineId) -> Option<Entry> {
        let hash = short_hash(address);
        let alike = self.addresses.range((hash, MachineId(0))..=(hash, MachineId(u32::MAX)));
        let same = |id: &MachineId| {
            *id != except && self.machines.get(id).is_some_and(|listed| *listed.address == *address)
        };
        alike.map(|(_, id)| *id).find(same).and_then(|id| self.entry(id))
    }

    /// How many machines of each kind are ready.
    pub fn ready_of_kinds(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.groups.iter().map(|(&(kind, _), &(ready, _))| (usize::from(kind), ready))
    }

    /// How many machines of a kind are ready in a zone.
    pub fn ready_of(&self, kind: u16, zone: ZoneId) -> usize {
        self.groups.get(&(kind, zone)).map_or(0, |(ready, _)| *ready)
    }

    /// The zones in which a machine of such a kind is ready.
    pub fn zones(&self, kind: Option<usize>) -> BTreeSet<ZoneId> {
        let of_kind = |of: u16| kind.is_none_or(|kind| kind == usize::from(of));
        let ready = self.groups.iter().filter(|((of, _), (ready, _))| *ready > 0 && of_kind(*of));
        ready.map(|((_, zone), _)| *zone).collect()
    }

    pub fn kinds_in(&self, zone: ZoneId, kind: Option<usize>) -> Vec<u16> {
        let of_kind = |of: u16| kind.is_none_or(|kind| kind == usize::from(of));
        self.groups.keys().filter(|(of, other)| *other == zone && of_kind(*of)).map(|(of, _)| *of).collect()
    }

    /// Goes on through the ready machines of a kind in a zone from where the last look ended, for so many at most; once
    /// around at most.
    pub fn look(&mut self, kind: u16, zone: ZoneId, most: usize) -> Vec<MachineId> {
        let Some((ready, next)) = self.groups.get_mut(&(kind, zone)) else { return Vec::new() };
        let at = |draw, machine| Position { kind, zone, draw, machine: MachineId(machine) };
        let (first, last) = (at(0, 0), at(u32::MAX, u32::MAX));
        let from = at(*next, 0);
        let around = self.order.range(from..=last).chain(self.order.range(first..from));
        let most = most.min(*ready);
        let mut found = Vec::with_capacity(most);
        let mut around = around.peekable();
        while found.len() < most {
            let Some(position) = around.next() else { break };
            found.push(position.machine);
        }
        *next = around.peek().map_or(0, |position| position.draw);
        found
    }

    pub fn in_cell(&self, cell: CellId, most: usize) -> Vec<MachineId> {
        let of_cell = self.cells.range((cell, MachineId(0))..=(cell, MachineId(u32::MAX)));
        of_cell.map(|(_, machine)| *machine).take(most).collect()
    }
}

impl Listed {
    fn new(entry: &Entry, address: &str) -> Listed {
        Listed {
            key: entry.key,
            cell: entry.cell,
            started: entry.started,
            free: entry.free,
            address: address.into(),
            zone: entry.zone,
            kind: entry.kind.and_then(|kind| u16::try_from(kind).ok()),
            standing: entry.standing,
        }
    }

    /// Whether the indexes tell the same of both.
    fn is_found_as(&self, other: &Listed) -> bool {
        let place = |of: &Listed| (of.key, of.cell, of.zone, of.kind, of.standing);
        place(self) == place(other) && self.address == other.address
    }

    fn entry(&self, machine: MachineId) -> Entry {
        Entry {
            machine,
            key: self.key,
            zone: self.zone,
            cell: self.cell,
            kind: self.kind.map(usize::from),
            standing: self.standing,
            free: self.free,
            started: self.started,
        }
    }
}
