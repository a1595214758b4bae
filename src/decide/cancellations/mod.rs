//! Orders to cancel attempts that were sent. An order that the network holds back may arrive seconds later. Once the
//! owner of the cancelled attempt has been answered and has waited, it may hand the task over to another planner, and
//! the order would stop it there. Resetting the connection does not take back what the network holds already. So an
//! order is written only where the connection has just been seen to deliver ([`kept_back`]), and a connection that has
//! not confirmed what was written on it is ended before the owner may act ([`unconfirmed`]). Pure: times and numbers come
//! in.
//!
//! The end of a connection harms no task that stands: a machine gives up only the set-ups that are open on it.

pub mod kept_back;
pub mod unconfirmed;

use crate::placer::Seconds;

/// Seconds kept free for the way of the answer to the owner, and of the order or the end of the connection to the machine.
const MARGIN_S: Seconds = 0.5;

/// How long a cancellation may stay unconfirmed before its connection is ended, where ending it takes up to
/// `closing_s`, and the owner of a task that may run waits `owner_wait_s` before it acts.
pub fn confirm_within_s(owner_wait_s: Seconds, closing_s: Seconds) -> Seconds {
    (owner_wait_s - closing_s - MARGIN_S).max(0.0)
}
