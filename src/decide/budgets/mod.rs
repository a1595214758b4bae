//! Budgets of the whole fleet, divided among its planners: what each may use now, what it lends and what it has been lent.
//! Pure: times of the planner's own steady clock, and words of other planners, come in; words to others go out.
//!
//! A budget's whole is split into one base for each listed planner, in whole units. Of its base a planner uses the floor
//! without hearing anyone; the rest hangs on the base's slot ([`crate::decide::fleet`]) and is used by the life that holds
//! it: its planner, or a caretaker once that is gone. What a planner does not need it lends to those who ask. The sum in
//! use never exceeds the whole, whatever is lost, late, doubled or out of order on the way, because (what fails without
//! each stands in `docs/design/budgets.md`):
//! - a slot is held by one life at a time, and no use and no loan that counts on it outlasts it;
//! - a lender books what it grants before the grant leaves, and counts it as gone for the span of the grant by its own
//!   clock and what that may be off ([`Terms::given_for`]);
//! - a borrower counts the loan from when its ask left, for as much less ([`Terms::taken_for`]), so that it lapses first
//!   even where the two clocks run apart by the most that the terms allow;
//! - a grant counts for the one ask that it names, the last that went to that lender;
//! - an ask that says that less is held is obeyed in the order in which it was made;
//! - a planner that has started counts its floor as used until every loan and every use of an earlier life has lapsed;
//! - whoever uses something looks at the time first, and takes in only what will be over before what it counts on lapses
//!   ([`Share::admits`]); a use that is not given back counts until its end.
//!
//! Jobs in flight are uses that end with their answer, at the latest at their deadline. A rate with its burst is a budget
//! of as many units as the burst has jobs, of which each job holds one for as long as the rate takes to bring it again:
//! then no span of time sees more starts than `burst + rate × span`, wherever they were (the leaky bucket, one drop a unit).
//!
//! Methods: leases by clocks that only need a bounded rate error (C. Gray and D. Cheriton, "Leases", SOSP 1989); the
//! escrow of units that are handed over and never made (P. O'Neil, "The Escrow Transactional Method", TODS 1986).

mod books;
mod share;

pub use books::{Books, BudgetId, Kind, Plan, State, Use, Wanted, Word};
pub use share::{base, floor, Ask, Grant, Share};

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

#[cfg(doc)]
use crate::decide::fleet::Terms;
