//! What was written about cancellations on one connection and is not known to have arrived. A connection on which that
//! lasts too long delivers nothing, and is ended.
//!
//! - A written order is confirmed only by an answer to something that was written no earlier, or by the reported end of
//!   its job: bytes alone do not show that it arrived (`bytes_do_not_confirm_a_written_order`).
//! - Where no order that could harm is under way, any bytes of the machine keep the connection in use
//!   (`bytes_keep_a_connection_without_written_orders`).
//! - A connection ends before its orders can meet a task that another planner holds
//!   (`a_connection_ends_before_its_order_can_meet_another_planners_task`).

use super::kept_back::PROOF_VALID_S;
use crate::placer::{RequestId, Seconds};
use std::collections::VecDeque;

/// Seconds for which bytes of the machine may have been on their way when a cancellation was decided: what arrives
/// within this time says nothing about it.
const IN_FLIGHT_S: Seconds = 0.05;

/// What is unconfirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// An order that is kept back; `is_heard` once the machine sent bytes that it can only have sent later.
    KeptBack { is_heard: bool },
    /// A connection check, or an order for a task that nobody else can hold.
    Harmless,
    /// An order that would stop a task that its owner has handed over.
    Order,
}

/// A cancellation, or a connection check, that is not confirmed.
#[derive(Clone, Debug)]
struct Unconfirmed {
    kind: Kind,
    /// When the cancellation was decided.
    since: Seconds,
    written_at: Seconds,
    /// The jobs whose attempts are cancelled; empty for a check that concerns no particular job.
    jobs: Vec<RequestId>,
    check: Option<u64>,
}

/// All that is unconfirmed on one connection, in the order of writing; it ends with the connection.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedWrites {
    all: VecDeque<Unconfirmed>,
}

impl UnconfirmedWrites {
    /// Records that the order to cancel an attempt of a job is kept back until the machine answers `check`, or
    /// something else that is written from now on.
    pub fn kept_back(&mut self, now: Seconds, job: RequestId, check: Option<u64>) {
        self.push(now, Kind::KeptBack { is_heard: false }, vec![job], check);
    }

    /// Records that an order to cancel an attempt is written whose task nobody else can hold.
    pub fn cancelled(&mut self, now: Seconds, job: RequestId) {
        self.push(now, Kind::Harmless, vec![job], None);
    }

    /// Records that a connection check is written.
    pub fn check_sent(&mut self, now: Seconds, check: u64) {
        self.push(now, Kind::Harmless, Vec::new(), Some(check));
    }

    fn push(&mut self, now: Seconds, kind: Kind, jobs: Vec<RequestId>, check: Option<u64>) {
        self.all.push_back(Unconfirmed { kind, since: now, written_at: now, jobs, check });
    }

    /// Records that orders are written that were kept back, the first one since `since`, with a check behind them if
    /// checks are allowed.
    pub fn orders_sent(&mut self, now: Seconds, since: Seconds, jobs: Vec<RequestId>, check: Option<u64>) {
        self.all.push_back(Unconfirmed { kind: Kind::Order, since, written_at: now, jobs, check });
    }

    /// The machine answered the connection check with this number: it has received all that was written before.
    pub fn check_answered(&mut self, check: u64) {
        let is_answered = |write: &Unconfirmed| write.check.is_some_and(|own| own <= check);
        let Some(last) = self.all.iter().rposition(is_answered) else { return };
        self.all.drain(..=last);
    }

    /// The machine answered a set-up that was queued at this time, behind all that was queued earlier.
    pub fn delivered(&mut self, queued_at: Seconds) {
        self.all.retain(|write| write.written_at >= queued_at);
    }

    /// The machine reported the end of a job there: its cancellation can stop nothing any more.
    pub fn ended(&mut self, job: RequestId) {
        self.all.retain_mut(|write| {
            let concerned = write.jobs.contains(&job);
            write.jobs.retain(|own| *own != job);
            !(concerned && write.jobs.is_empty())
        });
    }

    /// Bytes of the machine arrived, no earlier than `arrived_at`. Orders that nothing can release any more are forgotten
    /// with them, so that a machine that answers nothing does not let them grow in number.
    pub fn received(&mut self, arrived_at: Seconds) {
        self.all.retain_mut(|write| {
            let is_later = write.written_at + IN_FLIGHT_S < arrived_at;
            match &mut write.kind {
                Kind::KeptBack { is_heard } => {
                    *is_heard |= is_later;
                    arrived_at <= write.written_at + PROOF_VALID_S
                }
                Kind::Harmless => !is_later,
                Kind::Order => true,
            }
        });
    }

    /// Whether everything is confirmed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether an order is kept back that nothing has released yet.
    pub fn has_kept_back(&self) -> bool {
        self.all.iter().any(|write| matches!(write.kind, Kind::KeptBack { .. }))
    }

    /// When the first cancellation was decided for which the connection may have to be ended.
    pub fn since(&self) -> Option<Seconds> {
        let waits = self.all.iter().filter(|write| write.kind != Kind::KeptBack { is_heard: true });
        waits.map(|write| write.since).min_by(f64::total_cmp)
    }
}

#[cfg(test)]
mod tests;
