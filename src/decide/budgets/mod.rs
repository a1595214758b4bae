//! Budgets of the whole fleet, divided among its planners: what each may use now, what it lends and what it
//! borrows. Pure: times of the planner's own monotonic clock and messages from other planners come in;
//! messages to other planners go out.
//!
//! The total of a budget is split into one base for each listed planner, in integer units. A planner uses a
//! part of its base, the floor, without the consent of others. The rest is tied to a slot
//! ([`crate::decide::fleet`]) and is used by the incarnation that holds the slot: that of the planner itself,
//! or a caretaker's once that planner is gone. A planner lends units that it does not need to those that ask.
//! The sum in use never exceeds the total, even if messages are lost, delayed, duplicated or reordered,
//! because of these rules (`docs/design/budgets.md` shows what fails without each):
//! - A slot is held by one incarnation at a time, and no use and no loan that relies on it outlasts it.
//! - A lender records a grant before it sends it, and counts the units as lent for the span of the grant plus
//!   the largest error of its own clock over that span ([`Terms::lender_span`]).
//! - A borrower counts the loan from the time when its ask was sent, for the span minus that error
//!   ([`Terms::borrower_span`]). The loan thus ends at the borrower first, even if the two clocks diverge by
//!   the most that the terms allow.
//! - A grant is valid only for the ask that it names, which must be the last one sent to that lender.
//! - Asks that reduce a loan are applied in the order in which they were made.
//! - A planner that has started treats its floor as in use until every loan and every use of an earlier
//!   incarnation has ended.
//! - A planner checks the time before it admits a use, and admits only uses that end before the units that
//!   they rely on expire ([`Share::admits`]). A use that is not given back counts until its end.
//!
//! Jobs in flight are uses that end with their answer, at the latest at their deadline. A rate with a burst
//! is a budget of as many units as the burst has jobs; each job holds one unit for the time in which the rate
//! replenishes it. Then no span of time sees more starts than `burst + rate × span` in the whole fleet (a
//! leaky bucket with one drop per unit).
//!
//! Methods: leases by clocks that only need a bounded rate error (C. Gray and D. Cheriton, "Leases", SOSP
//! 1989); escrow, in which units are handed over and never created (P. O'Neil, "The Escrow Transactional
//! Method", TODS 1986).

mod ledger;
mod share;

pub use ledger::{BudgetId, BudgetLedger, BudgetSpec, Kind, PeerMessage, Plan, State, Use};
pub use share::{base, floor, Ask, Grant, Share};

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

#[cfg(doc)]
use crate::decide::fleet::Terms;
