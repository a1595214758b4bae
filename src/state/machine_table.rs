//! The machines that the list names, with indexes by which the cost of an update of the list depends only on
//! what it changes, and not on the number of machines and jobs.
//!
//! - An entry and its address change only through [`MachineTable::insert`], [`MachineTable::update`] and
//!   [`MachineTable::remove`], so that the indexes always agree with the entries
//!   (`the_indexes_agree_with_a_full_search`).
//! - A running job is recorded at its machine, or among the jobs whose machine the list has not named
//!   (`a_task_of_an_unlisted_machine_is_found_once_it_is_listed`).
//! - The number of machines examined for one update does not grow with the number of machines
//!   (`an_update_examines_only_the_machines_concerned`).

use super::jobs::Location;
use super::*;
use std::cell::Cell;

/// A machine that the list names, with the jobs that run or have an open attempt there.
#[derive(Clone, Debug)]
pub(super) struct Node {
    entry: Entry,
    address: String,
    /// Jobs whose task runs there.
    pub running: BTreeSet<RequestId>,
    /// Jobs with an open attempt there, queued or sent.
    pub open_attempts: BTreeSet<RequestId>,
    /// The time since which it refuses connections while draining.
    pub refuses_since: Option<Seconds>,
    /// Version of the last change.
    pub version: u64,
}

impl Node {
    /// The machine's entry in the list.
    pub fn entry(&self) -> Entry {
        self.entry
    }

    /// The address on which it accepts connections.
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Entry {
    /// The machine's location.
    pub(super) fn location(&self) -> Location {
        Location { machine: self.machine, zone: self.zone, cell: self.cell }
    }
}

/// The situation at a machine when a running task is added there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunningAdded {
    /// It is the first running task at the machine.
    First,
    /// Other tasks already run at the machine.
    BesideOthers,
    /// The list has not named the machine.
    Unlisted,
}

/// All machines that the list names.
#[derive(Default)]
pub(super) struct MachineTable {
    nodes: BTreeMap<MachineId, Node>,
    /// The machines at each address, sorted; seldom more than one.
    by_address: BTreeMap<String, Vec<MachineId>>,
    /// The machines that accept no new work.
    not_ready: BTreeSet<MachineId>,
    /// Jobs reported as running at machines that the list has not named.
    unlisted: BTreeMap<MachineId, BTreeSet<RequestId>>,
    /// Count. Entries that this table's searches have examined so far; tests measure the cost of an update by
    /// it.
    examined: Cell<u64>,
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

    /// Number of machines that the list has not named, at which jobs were reported as running.
    pub fn unlisted(&self) -> usize {
        self.unlisted.len()
    }

    /// All machines, sorted by id; each counts as examined.
    pub fn iter(&self) -> impl Iterator<Item = (MachineId, &Node)> {
        self.nodes.iter().inspect(|_| self.count_examined()).map(|(&id, node)| (id, node))
    }

    /// The first other machine at an address.
    pub fn other_at(&self, address: &str, than: MachineId) -> Option<&Node> {
        let there = self.by_address.get(address)?;
        let other = there.iter().inspect(|_| self.count_examined()).find(|&&id| id != than)?;
        self.nodes.get(other)
    }

    /// The machines that accept no new work, sorted by id.
    pub fn not_ready(&self) -> Vec<MachineId> {
        self.not_ready.iter().inspect(|_| self.count_examined()).copied().collect()
    }

    /// Adds a machine that the list names for the first time, with the jobs that were reported as running
    /// there.
    pub fn insert(&mut self, entry: Entry, address: String) {
        let machine = entry.machine;
        self.remove(machine);
        let running = self.unlisted.remove(&machine).unwrap_or_default();
        self.index(&entry, &address);
        let (open_attempts, refuses_since, version) = (BTreeSet::new(), None, 0);
        self.nodes.insert(machine, Node { entry, address, running, open_attempts, refuses_since, version });
    }

    /// Updates a known machine with its new list entry.
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

    /// Removes a machine that is gone.
    pub fn remove(&mut self, machine: MachineId) -> Option<Node> {
        let node = self.nodes.remove(&machine)?;
        self.unindex(machine, &node.address);
        Some(node)
    }

    /// Records that a job's task runs at a machine.
    pub fn add_running(&mut self, machine: MachineId, job: RequestId) -> RunningAdded {
        let Some(node) = self.nodes.get_mut(&machine) else {
            self.unlisted.entry(machine).or_default().insert(job);
            return RunningAdded::Unlisted;
        };
        node.running.insert(job);
        if node.running.len() == 1 {
            RunningAdded::First
        } else {
            RunningAdded::BesideOthers
        }
    }

    /// Records that a job's task no longer runs at a machine.
    pub fn remove_running(&mut self, machine: MachineId, job: RequestId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.running.remove(&job);
        } else if let Entry_::Occupied(mut at) = self.unlisted.entry(machine) {
            at.get_mut().remove(&job);
            if at.get().is_empty() {
                at.remove();
            }
        }
    }

    fn count_examined(&self) {
        self.examined.set(self.examined.get() + 1);
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
