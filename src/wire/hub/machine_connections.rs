//! The hub's side of the connections to machines: the queue of each link, and the limited number of
//! connection slots.

use super::Inner;
use crate::decide::cancellations::unconfirmed::UnconfirmedWrites;
use crate::decide::links::Need;
use crate::decide::silence::checks::Open;
use crate::placer::{MachineId, RequestId, Seconds};
use crate::state::{Core, DepartureId};
use crate::wire::outbox::{Outbox, Sink, Tag};
use crate::wire::platform::node::{self, SetUp};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// The link to a listed machine, as seen from the hub; its connection may be down.
pub struct MachineLink {
    /// Distinguishes the link from an earlier one to the same machine, whose link task may not have ended
    /// yet.
    pub link_id: u64,
    pub address: String,
    pub outbox: Outbox,
    /// Wakes the link task: something is to be written, or the connection is to be closed.
    pub wake: Arc<Notify>,
    /// Wakes the link task because its next periodic check may be due earlier. Unlike `wake`, it does not
    /// count as a use of the connection.
    pub check_wake: Arc<Notify>,
    /// When the unanswered probe (health check) was sent, if there is one.
    pub probe: Option<Seconds>,
    /// The number of the last probe.
    pub(super) probes: u64,
    /// What was written about cancellations on its connection and the machine is not known to have received.
    pub unconfirmed: UnconfirmedWrites,
}

/// The link of a machine that left the list.
pub struct DepartedLink {
    pub departure: DepartureId,
    /// What is still queued for it.
    pub outbox: Outbox,
}

/// Orders to cancel attempts, and the connection check behind them, if any.
pub(super) struct Cancellations {
    pub jobs: Vec<RequestId>,
    pub check: Option<u64>,
    /// When the first of them was decided.
    pub since: Seconds,
    /// The time after which they must not be written any more.
    pub write_by: Seconds,
}

impl Cancellations {
    /// The bytes of the orders and of the check. They form one queued message, so that the check is never written
    /// without the orders that it confirms.
    fn lines(&self) -> Vec<u8> {
        let mut lines: Vec<u8> =
            self.jobs.iter().flat_map(|job| node::stop(*job, node::cause::OVER)).collect();
        lines.extend(self.check.into_iter().flat_map(|check| node::check(node::FENCE_FLAG | check)));
        lines
    }
}

/// Whether nothing is queued or open on the connection to a machine, probes and cancellations included.
fn is_idle(machine_links: &BTreeMap<MachineId, MachineLink>, core: &Core, machine: MachineId) -> bool {
    let is_free =
        |l: &MachineLink| l.outbox.is_empty() && l.probe.is_none() && l.unconfirmed.since().is_none();
    let free = machine_links.get(&machine).is_some_and(is_free);
    free && !core.has_open_attempt_at(machine)
}

impl Inner {
    /// Creates the link to a listed machine and requests the start of its link task, or updates its address.
    pub(super) fn connect(&mut self, machine: MachineId, address: String) {
        if let Some(link) = self.machine_links.get_mut(&machine) {
            link.address = address;
            return link.wake.notify_one();
        }
        let link_id = self.next_link_id;
        self.next_link_id += 1;
        let link = MachineLink {
            link_id,
            address,
            outbox: Outbox::new(self.bounds.machine_queues.reserve, self.machine_budget.clone()),
            wake: Arc::new(Notify::new()),
            check_wake: Arc::new(Notify::new()),
            probe: None,
            probes: 0,
            unconfirmed: UnconfirmedWrites::default(),
        };
        self.machine_links.insert(machine, link);
        // The receiver exists as long as the program runs; afterwards no connection is needed.
        let _ = self.connect_requests.send((machine, link_id));
    }

    /// Has the link task of a machine that left the list close its connection.
    pub(super) fn disconnect(&mut self, now: Seconds, machine: MachineId, departure: DepartureId) {
        self.unreachable.remove(&machine);
        self.release_slot(now, machine);
        let Some(mut link) = self.machine_links.remove(&machine) else { return };
        // The end of the connection takes the place of orders to cancel that are not written yet.
        link.outbox.drop_late(Seconds::INFINITY);
        self.departed_links.insert(link.link_id, DepartedLink { departure, outbox: link.outbox });
        link.wake.notify_one();
    }

    /// Writes what is still queued for a machine that left the list; false where the machine of that link is
    /// still listed.
    pub fn write_final(&mut self, link_id: u64, sink: &impl Sink) -> bool {
        let Some(departed) = self.departed_links.get_mut(&link_id) else { return false };
        if let Err(error) = departed.outbox.write_final(sink) {
            tracing::debug!(%error, "last messages to a machine that left the list could not be written");
        }
        true
    }

    /// Removes and returns the record of a link whose machine left the list, if there is one.
    pub fn take_departed(&mut self, link_id: u64) -> Option<DepartedLink> {
        self.departed_links.remove(&link_id)
    }

    /// Takes a slot for the connection to a machine, or queues for one; returns whether the machine has a
    /// slot. The link task is woken once it gets the slot that it queued for.
    pub fn want_slot(&mut self, now: Seconds, machine: MachineId, need: Need) -> bool {
        let was_short = self.slots.is_short();
        let has_slot = self.slots.want(now, machine, need);
        if !was_short && self.slots.is_short() {
            self.wake_slot_holders();
        }
        if !has_slot {
            self.reclaim_slots(now);
        }
        has_slot
    }

    /// Wakes the link tasks that hold a slot. As long as a machine waits for a slot, they check periodically
    /// whether a connection has become idle and can give back its slot.
    fn wake_slot_holders(&self) {
        let held = |machine: &MachineId| self.slots.is_held(*machine);
        self.machine_links
            .iter()
            .filter(|(machine, _)| held(machine))
            .for_each(|(_, link)| link.check_wake.notify_one());
    }

    /// Has a machine's link reschedule its next periodic check.
    pub(super) fn reschedule_check(&self, machine: MachineId) {
        if let Some(link) = self.machine_links.get(&machine) {
            link.check_wake.notify_one();
        }
    }

    /// The state of a connection that its periodic check depends on, but for the time that its cancellations have left.
    pub fn open_on(&self, machine: MachineId, partial_line_since: Option<Seconds>) -> Open {
        Open {
            probe_since: self.machine_links.get(&machine).and_then(|l| l.probe),
            confirm_by: None,
            partial_line_since,
            holds_tasks: self.core.running_at(machine) > 0,
            is_short: self.slots.is_short(),
        }
    }

    /// When the oldest cancellation on the connection to a machine was decided that is not confirmed.
    pub fn unconfirmed_since(&self, machine: MachineId) -> Option<Seconds> {
        self.machine_links.get(&machine).and_then(|link| link.unconfirmed.since())
    }

    /// Whether nothing about cancellations is unconfirmed on the connection to a machine.
    pub fn is_all_confirmed(&self, machine: MachineId) -> bool {
        self.machine_links.get(&machine).is_none_or(|link| link.unconfirmed.is_empty())
    }

    /// Takes what is unconfirmed on a connection that ends or is replaced.
    pub fn take_unconfirmed(&mut self, machine: MachineId) -> UnconfirmedWrites {
        self.machine_links
            .get_mut(&machine)
            .map(|link| std::mem::take(&mut link.unconfirmed))
            .unwrap_or_default()
    }

    /// Asks the least recently used idle connections to give back their slots, as many as machines wait for
    /// one.
    pub fn reclaim_slots(&mut self, now: Seconds) {
        let Inner { slots, machine_links, core, .. } = self;
        while let Some(machine) = slots.give_back(now, |machine| is_idle(machine_links, core, machine)) {
            if let Some(link) = machine_links.get(&machine) {
                link.wake.notify_one();
            }
        }
    }

    /// Whether the connection to a machine is to give back its slot now. If it is in use again, it keeps the
    /// slot and another connection is asked instead.
    pub fn must_give_back(&mut self, now: Seconds, machine: MachineId) -> bool {
        if !self.slots.is_reclaimed(machine) {
            return false;
        }
        if is_idle(&self.machine_links, &self.core, machine) {
            return true;
        }
        self.slots.keep(machine);
        self.reclaim_slots(now);
        false
    }

    /// Whether the connection to a machine is to end now, which takes the place of an order to cancel an attempt: no
    /// check may prove that the connection delivers, and nothing else would be lost with it. A machine that drains may
    /// take no other connection.
    pub fn must_end_for_cancellation(&self, machine: MachineId) -> bool {
        let has_kept_back = self.machine_links.get(&machine).is_some_and(|l| l.unconfirmed.has_kept_back());
        has_kept_back
            && !self.core.settings().probes
            && self.core.is_ready(machine)
            && !self.core.has_open_attempt_at(machine)
    }

    /// Releases the slot of a closed connection; it goes to the next machine in the queue.
    pub fn release_slot(&mut self, now: Seconds, machine: MachineId) {
        if let Some(next) = self.slots.release(now, machine).and_then(|next| self.machine_links.get(&next)) {
            next.wake.notify_one();
        }
    }

    /// Why a connection to a machine is needed.
    pub fn need(&self, machine: MachineId) -> Need {
        let has_queued = self.machine_links.get(&machine).is_some_and(|l| !l.outbox.is_empty());
        if has_queued || self.core.has_order_for_next_connection(machine) {
            Need::Now
        } else if self.core.running_at(machine) > 0 || self.core.owes_stop_at(machine) {
            Need::Visit
        } else {
            Need::Spare
        }
    }

    /// Whether closing the connection to a machine would lose something: an attempt is open on it, or a
    /// message is not completely written.
    pub fn has_open_work_at(&self, machine: MachineId) -> bool {
        self.machine_links.get(&machine).is_some_and(|l| !l.outbox.is_empty())
            || self.core.has_open_attempt_at(machine)
    }

    /// Writes a message that the machine ignores: where its process is gone, the host answers with a reset.
    pub fn provoke_reset(&mut self, machine: MachineId) {
        if let Some(job) = self.core.any_task_at(machine) {
            self.write_to_machine(machine, node::progress(job), Tag::Plain);
        }
    }

    /// Queues a set-up for a machine; drops it where the queue is full.
    pub(super) fn write_set_up(&mut self, now: Seconds, machine: MachineId, set_up: SetUp) {
        let Some(link) = self.machine_links.get_mut(&machine) else { return };
        if !link.outbox.push_set_up(now, set_up) {
            // The attempt ends by its time-out; a machine that is this far behind could not run it anyway.
            tracing::debug!(machine = machine.0, "queue to a machine is full; set-up dropped");
        }
        link.wake.notify_one();
    }

    /// Queues orders to cancel attempts at a machine.
    pub(super) fn write_cancellations(&mut self, now: Seconds, machine: MachineId, orders: Cancellations) {
        let Some(link) = self.machine_links.get_mut(&machine) else { return };
        link.outbox.push_until(orders.lines(), orders.write_by);
        link.unconfirmed.orders_sent(now, orders.since, orders.jobs, orders.check);
        link.wake.notify_one();
    }

    /// Queues an order or a check for a machine. It is short, and there are no more of them than jobs: none is dropped,
    /// as an order that never arrives leaves a task running.
    pub(super) fn write_to_machine(&mut self, machine: MachineId, bytes: Vec<u8>, tag: Tag) {
        let Some(link) = self.machine_links.get_mut(&machine) else { return };
        link.outbox.push(bytes, tag);
        link.wake.notify_one();
    }
}

#[cfg(test)]
mod tests;
