//! The machines that the list names, with the indexes by which one notice of the list costs what it changes and not
//! a look at every machine and every job.
//!
//! - An entry and its address change through [`MachineTable::insert`], [`MachineTable::update`] and
//!   [`MachineTable::remove`] alone, so that the indexes always tell what the entries do
//!   (`the_indexes_tell_what_a_plain_search_does`).
//! - A job that stands is booked at its machine, or as one whose machine the list has not named
//!   (`a_task_of_an_unlisted_machine_is_found_once_it_is_listed`).
//! - Machines looked at for one notice do not grow with the number of machines
//!   (`a_notice_looks_at_no_machine_that_it_does_not_concern`).

use super::jobs::Spot;
use super::*;
use std::cell::Cell;

/// A machine that the list names, and what is out or stands there.
#[derive(Clone, Debug)]
pub(super) struct Node {
    entry: Entry,
    address: String,
    /// Jobs that stand there.
    pub standing: BTreeSet<RequestId>,
    /// Jobs of which an attempt is out or queued there.
    pub trying: BTreeSet<RequestId>,
    /// Since when it refuses connections while it drains.
    pub refuses_since: Option<Seconds>,
    /// Version of its last change.
    pub version: u64,
}

impl Node {
    /// What the list says of it.
    pub fn entry(&self) -> Entry {
        self.entry
    }

    /// Where it takes connections.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Entry {
    /// Where it lies.
    pub(super) fn spot(&self) -> Spot {
        Spot { machine: self.machine, zone: self.zone, cell: self.cell }
    }
}

/// Beside what a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stands {
    /// Nothing stood at its machine.
    First,
    /// Others stand at its machine.
    BesideOthers,
    /// The list has not named its machine.
    Unlisted,
}

/// All machines that the list names.
#[derive(Default)]
pub(super) struct MachineTable {
    nodes: BTreeMap<MachineId, Node>,
    /// The machines at each address, in order; seldom more than one.
    by_address: BTreeMap<String, Vec<MachineId>>,
    /// The machines that take no new work.
    not_ready: BTreeSet<MachineId>,
    /// Jobs said to stand at machines that the list has not named.
    unlisted: BTreeMap<MachineId, BTreeSet<RequestId>>,
    /// Count. Entries looked at so far by the searches of this table, by which tests tell what a notice costs.
    looked_at: Cell<u64>,
}

impl MachineTable {
    pub fn get(&self, machine: MachineId) -> Option<&Node> {
        self.nodes.get(&machine)
    }

    pub fn get_mut(&mut self, machine: MachineId) -> Option<&mut Node> {
        self.nodes.get_mut(&machine)
    }

    pub fn contains(&self, machine: MachineId) -> bool {
        self.nodes.contains_key(&machine)
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Every machine, in order; each counts as looked at.
    pub fn iter(&self) -> impl Iterator<Item = (MachineId, &Node)> {
        self.nodes.iter().inspect(|_| self.count_look()).map(|(&id, node)| (id, node))
    }

    /// The first of the other machines at an address.
    pub fn other_at(&self, address: &str, than: MachineId) -> Option<&Node> {
        let there = self.by_address.get(address)?;
        let other = there.iter().inspect(|_| self.count_look()).find(|&&id| id != than)?;
        self.nodes.get(other)
    }

    /// The machines that take no new work, in order.
    pub fn not_ready(&self) -> Vec<MachineId> {
        self.not_ready.iter().inspect(|_| self.count_look()).copied().collect()
    }

    /// Takes in a machine that the list names for the first time, with the jobs that are said to stand there.
    pub fn insert(&mut self, entry: Entry, address: String) {
        let machine = entry.machine;
        self.remove(machine);
        let standing = self.unlisted.remove(&machine).unwrap_or_default();
        self.index(&entry, &address);
        let (trying, refuses_since, version) = (BTreeSet::new(), None, 0);
        self.nodes.insert(machine, Node { entry, address, standing, trying, refuses_since, version });
    }

    /// Books what the list says anew of a machine that it named before.
    pub fn update(&mut self, entry: Entry, address: &str) {
        let Some(node) = self.nodes.get_mut(&entry.machine) else { return };
        let moved = node.address != address;
        let former = std::mem::replace(&mut node.entry, entry);
        if !moved && former.standing == entry.standing {
            return;
        }
        let former_address = std::mem::replace(&mut node.address, address.to_string());
        self.unindex(entry.machine, &former_address);
        self.index(&entry, address);
    }

    /// Takes out a machine that is gone.
    pub fn remove(&mut self, machine: MachineId) -> Option<Node> {
        let node = self.nodes.remove(&machine)?;
        self.unindex(machine, &node.address);
        Some(node)
    }

    /// Books a job that stands at a machine.
    pub fn stands(&mut self, machine: MachineId, job: RequestId) -> Stands {
        let Some(node) = self.nodes.get_mut(&machine) else {
            self.unlisted.entry(machine).or_default().insert(job);
            return Stands::Unlisted;
        };
        node.standing.insert(job);
        if node.standing.len() == 1 {
            Stands::First
        } else {
            Stands::BesideOthers
        }
    }

    /// Whether jobs are said to stand at a machine that the list has not named.
    pub fn is_awaited(&self, machine: MachineId) -> bool {
        self.unlisted.contains_key(&machine)
    }

    /// A job stands at a machine no more.
    pub fn stands_no_more(&mut self, machine: MachineId, job: RequestId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.standing.remove(&job);
        } else if let Entry_::Occupied(mut at) = self.unlisted.entry(machine) {
            at.get_mut().remove(&job);
            if at.get().is_empty() {
                at.remove();
            }
        }
    }

    fn count_look(&self) {
        self.looked_at.set(self.looked_at.get() + 1);
    }

    fn index(&mut self, entry: &Entry, address: &str) {
        if entry.standing != Standing::Ready {
            self.not_ready.insert(entry.machine);
        }
        let there = self.by_address.entry(address.to_string()).or_insert_with(|| Vec::with_capacity(1));
        if let Err(at) = there.binary_search(&entry.machine) {
            there.insert(at, entry.machine);
        }
    }

    fn unindex(&mut self, machine: MachineId, address: &str) {
        self.not_ready.remove(&machine);
        let Some(there) = self.by_address.get_mut(address) else { return };
        there.retain(|&other| other != machine);
        if there.is_empty() {
            self.by_address.remove(address);
        }
    }
}

#[cfg(test)]
mod tests;
