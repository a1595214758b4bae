//! The hub's side of the connections to machines: what waits to be written to each, and the places they take.

use super::Inner;
use crate::decide::links::Need;
use crate::decide::silence::looks::Open;
use crate::placer::{MachineId, Seconds};
use crate::state::{Core, DepartureId};
use crate::wire::outbox::{Outbox, Sink, Tag};
use crate::wire::platform::node::{self, SetUp};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// A machine's connection, as seen from the hub.
pub struct NodeLink {
    /// Tells it from an earlier one to the same machine, whose task may not have ended yet.
    pub life: u64,
    pub address: String,
    pub outbox: Outbox,
    pub wake: Arc<Notify>,
    /// Something began for which the connection is looked at. Unlike `wake` it tells of no use of the connection.
    pub look: Arc<Notify>,
    /// Since when a test is out.
    pub probe: Option<Seconds>,
    pub(super) probes: u64,
}

/// The connection of a machine that left the list.
pub struct Leaving {
    pub departure: DepartureId,
    /// What was to be written to it still.
    pub outbox: Outbox,
}

/// Whether nothing is open on the connection to a box, not even a probe.
fn is_idle(nodes: &BTreeMap<MachineId, NodeLink>, core: &Core, machine: MachineId) -> bool {
    let free = nodes.get(&machine).is_some_and(|l| l.outbox.is_empty() && l.probe.is_none());
    free && !core.is_open_at(machine)
}

impl Inner {
    pub(super) fn connect(&mut self, machine: MachineId, address: String) {
        if let Some(link) = self.nodes.get_mut(&machine) {
            link.address = address;
            return link.wake.notify_one();
        }
        let life = self.next_link;
        self.next_link += 1;
        let link = NodeLink {
            life,
            address,
            outbox: Outbox::new(self.bounds.box_queue),
            wake: Arc::new(Notify::new()),
            look: Arc::new(Notify::new()),
            probe: None,
            probes: 0,
        };
        self.nodes.insert(machine, link);
        // The receiver lives as long as the program; once it is gone no connection is wanted.
        let _ = self.connects.send((machine, life));
    }

    /// Has the task of a machine that left the list end its connection.
    pub(super) fn disconnect(&mut self, now: Seconds, machine: MachineId, departure: DepartureId) {
        self.silent.remove(&machine);
        self.yield_place(now, machine);
        let Some(link) = self.nodes.remove(&machine) else { return };
        self.leaving.insert(link.life, Leaving { departure, outbox: link.outbox });
        link.wake.notify_one();
    }

    /// Writes what a machine that left the list is to hear still; false where the machine of that life has not left.
    pub fn write_last(&mut self, life: u64, sink: &impl Sink) -> bool {
        let Some(leaving) = self.leaving.get_mut(&life) else { return false };
        if let Err(error) = leaving.outbox.write_last(sink) {
            tracing::debug!(%error, "a machine that left does not hear its last words");
        }
        true
    }

    /// What is to be done about the connection of that life, where its machine left the list; told once.
    pub fn take_leaving(&mut self, life: u64) -> Option<Leaving> {
        self.leaving.remove(&life)
    }

    /// Takes a place for the connection to a box, or has it wait for one; the box's task is woken once it has it.
    pub fn want_place(&mut self, now: Seconds, machine: MachineId, need: Need) -> bool {
        let was_short = self.places.is_short();
        let had = self.places.want(now, machine, need);
        if !was_short && self.places.is_short() {
            self.look_for_places();
        }
        if !had {
            self.press(now);
        }
        had
    }

    /// Has all connections look for places as long as a machine waits for one: one that is of no use later is given
    /// back then.
    fn look_for_places(&self) {
        let held = |machine: &MachineId| self.places.is_held(*machine);
        self.nodes.iter().filter(|(machine, _)| held(machine)).for_each(|(_, link)| link.look.notify_one());
    }

    /// Has a machine's connection plan its next look anew.
    pub(super) fn look_anew(&self, machine: MachineId) {
        if let Some(link) = self.nodes.get(&machine) {
            link.look.notify_one();
        }
    }

    /// What of a connection the hub knows that may call for a look.
    pub fn open_on(&self, machine: MachineId, half_line_since: Option<Seconds>) -> Open {
        Open {
            test_since: self.nodes.get(&machine).and_then(|l| l.probe),
            half_line_since,
            holds_tasks: self.core.standing_at(machine) > 0,
            is_short: self.places.is_short(),
        }
    }

    /// Has connections of least use given back, as long as others wait for their places.
    pub fn press(&mut self, now: Seconds) {
        let Inner { places, nodes, core, .. } = self;
        while let Some(machine) = places.give_back(now, |machine| is_idle(nodes, core, machine)) {
            if let Some(link) = nodes.get(&machine) {
                link.wake.notify_one();
            }
        }
    }

    /// Whether the connection to a box is to be given back now; where something was opened on it meanwhile, another is.
    pub fn is_asked_back(&mut self, now: Seconds, machine: MachineId) -> bool {
        if !self.places.is_asked(machine) {
            return false;
        }
        if is_idle(&self.nodes, &self.core, machine) {
            return true;
        }
        self.places.keep(machine);
        self.press(now);
        false
    }

    /// The connection to a box is closed; its place goes to the next that waits.
    pub fn yield_place(&mut self, now: Seconds, machine: MachineId) {
        if let Some(next) = self.places.release(now, machine).and_then(|next| self.nodes.get(&next)) {
            next.wake.notify_one();
        }
    }

    /// What a connection to a box is wanted for.
    pub fn need(&self, machine: MachineId) -> Need {
        if self.nodes.get(&machine).is_some_and(|l| !l.outbox.is_empty()) {
            Need::Now
        } else if self.core.standing_at(machine) > 0 {
            Need::Visit
        } else {
            Need::Spare
        }
    }

    /// Whether closing the connection to a box would lose something: an attempt is open on it, or a message is not yet
    /// written whole.
    pub fn is_open_at(&self, machine: MachineId) -> bool {
        self.nodes.get(&machine).is_some_and(|l| !l.outbox.is_empty()) || self.core.is_open_at(machine)
    }

    /// Writes a box a word that is free and means nothing: where its process is gone, its host resets the connection.
    pub fn nudge_node(&mut self, machine: MachineId) {
        if let Some(job) = self.core.one_at(machine) {
            self.write_node(machine, node::progress(job), Tag::Plain);
        }
    }

    pub(super) fn write_set_up(&mut self, now: Seconds, machine: MachineId, set_up: SetUp) {
        let Some(link) = self.nodes.get_mut(&machine) else { return };
        if !link.outbox.push_set_up(now, set_up) {
            // Its time-out ends it; a machine this far behind is of no use.
            tracing::debug!(machine = machine.0, "a machine does not read; a set-up for it is dropped");
        }
        link.wake.notify_one();
    }

    pub(super) fn write_node(&mut self, machine: MachineId, bytes: Vec<u8>, tag: Tag) {
        let Some(link) = self.nodes.get_mut(&machine) else { return };
        if !link.outbox.push(bytes, tag) {
            tracing::debug!(machine = machine.0, "a box does not read; a message to it is dropped");
        }
        link.wake.notify_one();
    }
}

#[cfg(test)]
mod tests;
