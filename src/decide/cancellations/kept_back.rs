//! Orders to cancel that are kept back until their connection is known to deliver. The proof is the machine's answer
//! to something that was written after the cancellation was decided: a connection check, a later set-up, or the close of
//! the connection, after which the order goes to the next one. Bytes of the machine alone prove only the other direction.
//!
//! - Nothing is released without such a proof, or by one that is older than [`PROOF_VALID_S`]
//!   (`an_order_is_released_only_by_a_recent_answer`).
//! - An order that takes as long as the proof did arrives before the owner may act, or is not released
//!   (`a_released_order_arrives_before_the_owner_may_act`).
//! - An order is kept for [`PROOF_VALID_S`] at most (`an_order_without_proof_is_forgotten`).

use super::MARGIN_S;
use crate::placer::{MachineId, RequestId, Seconds};
use std::collections::BTreeMap;

/// Seconds. An answer proves that the connection delivers if it arrives within this time of what it answers.
pub const PROOF_VALID_S: Seconds = 1.0;

/// An order that is kept back.
#[derive(Clone, Copy, Debug)]
struct KeptBack {
    cancelled_at: Seconds,
    /// The connection check that was written at that time, if checks are allowed.
    check: Option<u64>,
    /// Whether the machine has closed the connection of the attempt in answer to this planner's close.
    is_close_answered: bool,
}

/// Orders for one machine that are to be written now.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// The jobs whose attempts are cancelled.
    pub jobs: Vec<RequestId>,
    /// When the first of them was cancelled.
    pub since: Seconds,
    /// The time after which the orders must not be written any more.
    pub write_by: Seconds,
}

/// The orders that are kept back, by machine. There are no more of them than attempts that were sent.
#[derive(Debug, Default)]
pub struct KeptBackOrders {
    machines: BTreeMap<MachineId, BTreeMap<RequestId, KeptBack>>,
}

impl KeptBackOrders {
    /// Keeps the order for a job at a machine back; `check` is the connection check that is written now.
    pub fn keep(&mut self, now: Seconds, machine: MachineId, job: RequestId, check: Option<u64>) {
        let order = KeptBack { cancelled_at: now, check, is_close_answered: false };
        self.machines.entry(machine).or_default().entry(job).or_insert(order);
    }

    /// The connection check that is written to a machine at this time anyway, and serves further orders.
    pub fn check_at(&self, now: Seconds, machine: MachineId) -> Option<u64> {
        let mut orders = self.machines.get(&machine)?.values();
        orders.find(|order| order.cancelled_at == now).and_then(|order| order.check)
    }

    /// The machine answered a connection check; `owner_wait_s` is the time that owners wait before they act.
    pub fn check_answered(
        &mut self,
        now: Seconds,
        machine: MachineId,
        check: u64,
        owner_wait_s: Seconds,
    ) -> Option<Release> {
        let orders = self.machines.get(&machine)?.values();
        let answered = orders.filter(|order| order.check.is_some_and(|own| own <= check));
        let written_at = answered.map(|order| order.cancelled_at).max_by(f64::total_cmp)?;
        self.release(now, machine, (written_at, owner_wait_s), |order| order.cancelled_at <= written_at)
    }

    /// The machine answered a set-up that was queued for its connection at `queued_at`. Returns the orders that are to
    /// be written now.
    pub fn delivered(
        &mut self,
        now: Seconds,
        machine: MachineId,
        queued_at: Seconds,
        owner_wait_s: Seconds,
    ) -> Option<Release> {
        self.release(now, machine, (queued_at, owner_wait_s), |order| order.cancelled_at < queued_at)
    }

    /// The machine closed its connection in answer to this planner's close: its process is up, and gave up the set-ups
    /// that were open. The orders go to the next connection, in case that a task has started already.
    pub fn close_answered(&mut self, machine: MachineId) {
        let orders = self.machines.get_mut(&machine);
        orders.into_iter().flat_map(BTreeMap::values_mut).for_each(|order| order.is_close_answered = true);
    }

    /// A new connection to the machine came up. Returns the orders that are to be written on it now: the way to the
    /// machine and back, twice, has taken the time since they were kept back.
    pub fn connected(&mut self, now: Seconds, machine: MachineId, owner_wait_s: Seconds) -> Option<Release> {
        let orders = self.machines.get(&machine)?.values();
        let written_at = orders.map(|order| order.cancelled_at).max_by(f64::total_cmp)?;
        let release = self.release(now, machine, (written_at, owner_wait_s), |order| order.is_close_answered);
        self.forget_machine(machine);
        release
    }

    /// The connection to a machine ended: orders are dropped unless its end was the machine's answer.
    pub fn disconnected(&mut self, machine: MachineId) {
        if let Some(orders) = self.machines.get_mut(&machine) {
            orders.retain(|_, order| order.is_close_answered);
            if orders.is_empty() {
                self.machines.remove(&machine);
            }
        }
    }

    /// Whether an order waits for the next connection to a machine.
    pub fn waits_for_connection(&self, machine: MachineId) -> bool {
        self.machines.get(&machine).is_some_and(|orders| orders.values().any(|order| order.is_close_answered))
    }

    /// Takes the orders out that the answer to something written at `written_at` releases; those that could arrive when
    /// the owner may act are dropped.
    fn release(
        &mut self,
        now: Seconds,
        machine: MachineId,
        (written_at, owner_wait_s): (Seconds, Seconds),
        is_proved: impl Fn(&KeptBack) -> bool,
    ) -> Option<Release> {
        let took_s = now - written_at;
        if took_s > PROOF_VALID_S {
            return None;
        }
        let orders = self.machines.remove(&machine)?;
        let (proved, kept): (BTreeMap<_, _>, BTreeMap<_, _>) =
            orders.into_iter().partition(|(_, order)| is_proved(order));
        if !kept.is_empty() {
            self.machines.insert(machine, kept);
        }
        let latest = |order: &KeptBack| order.cancelled_at + owner_wait_s - MARGIN_S - took_s;
        let in_time: Vec<(RequestId, KeptBack)> =
            proved.into_iter().filter(|(_, order)| now <= latest(order)).collect();
        let since = in_time.iter().map(|(_, order)| order.cancelled_at).min_by(f64::total_cmp)?;
        let write_by =
            in_time.iter().map(|(_, order)| latest(order)).fold(written_at + PROOF_VALID_S, f64::min);
        Some(Release { jobs: in_time.into_iter().map(|(job, _)| job).collect(), since, write_by })
    }

    /// The attempt of a job at a machine is over: there is nothing to cancel.
    pub fn forget(&mut self, machine: MachineId, job: RequestId) {
        let Some(orders) = self.machines.get_mut(&machine) else { return };
        orders.remove(&job);
        if orders.is_empty() {
            self.machines.remove(&machine);
        }
    }

    /// The task of a job is held by this planner again: nothing may stop it.
    pub fn forget_job(&mut self, job: RequestId) {
        self.machines.retain(|_, orders| {
            orders.remove(&job);
            !orders.is_empty()
        });
    }

    /// The machine's process is gone, or its connection was replaced, and the set-ups open on it are given up.
    pub fn forget_machine(&mut self, machine: MachineId) {
        self.machines.remove(&machine);
    }

    /// Forgets the order for a job at a machine if it was kept for [`PROOF_VALID_S`].
    pub fn expire(&mut self, now: Seconds, machine: MachineId, job: RequestId) {
        let order = self.machines.get(&machine).and_then(|orders| orders.get(&job));
        if order.is_some_and(|order| now >= order.cancelled_at + PROOF_VALID_S) {
            self.forget(machine, job);
        }
    }
}

#[cfg(test)]
mod tests;
