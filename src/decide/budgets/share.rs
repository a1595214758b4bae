//! One planner's share of one budget: the units it may use now, those it lends and those it borrows. The
//! invariants are listed in the documentation of the module [`crate::decide::budgets`].

use crate::decide::fleet::{Incarnation, Member, Micros, SlotLeases, Terms};
use std::collections::BTreeMap;

/// Divisor of the lease. A slot that expires within that fraction of a lease does not back new loans: they
/// would be too short to be useful.
const MIN_LOAN_DIVISOR: u64 = 4;
/// Divisor of the lease. A borrower asks again for a loan once one such part of the lease has passed, that
/// is, when less than three of four parts are left.
const RENEWAL_DIVISOR: u64 = 4;
/// Divisor of the lease. The longest interval between asks for more units; the interval grows with each ask
/// that yields nothing.
const MAX_ASK_PAUSE_DIVISOR: u64 = 16;

/// A planner's request to a lender: the total number of units that it wants to hold on loan from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// The incarnation of the asker.
    pub incarnation: Incarnation,
    /// Sequence number of this incarnation's asks to that lender.
    pub number: u32,
    /// Units wanted, those already borrowed included.
    pub wants: u64,
    /// The most units of that lender that the asker keeps using until the answer arrives; the lender may
    /// lower the loan to this at once.
    pub holds: u64,
    /// The budget's total in the asker's own file. What it has heard from others is not passed on: two
    /// planners would keep a lower total alive for each other.
    pub total: u64,
    /// The hold time in the asker's own file in microseconds, where it is the same for all uses; otherwise 0.
    pub hold: Micros,
}

/// The answer to an [`Ask`]: the units on loan in total; 0 where the lender can spare none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// The incarnation of the asker.
    pub incarnation: Incarnation,
    /// The number of the ask that is answered.
    pub number: u32,
    /// Units on loan.
    pub units: u64,
    /// Duration of the loan in microseconds.
    pub span: Micros,
    /// The budget's total in the lender's own file.
    pub total: u64,
    /// The hold time in the lender's own file in microseconds, where it is the same for all uses; otherwise 0.
    pub hold: Micros,
}

/// Units on loan, each entry with its end. There are several entries while a grant that changed an earlier
/// loan overlaps with it; the largest entry that has not expired counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Loan(Vec<(u64, Micros)>);

impl Loan {
    /// Units on loan at a time.
    pub(super) fn units_at(&self, now: Micros) -> u64 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| *units).max().unwrap_or(0)
    }

    pub(super) fn expiry(&self) -> Micros {
        self.0.iter().map(|(_, until)| *until).max().unwrap_or(0)
    }

    fn add(&mut self, now: Micros, units: u64, until: Micros) {
        // Drops entries that have expired or that the new one covers in both units and time.
        self.0.retain(|&(other, end)| now < end && (other > units || end > until));
        if units > 0 && now < until {
            self.0.push((units, until));
        }
    }

    fn cap(&mut self, most: u64) {
        self.0.iter_mut().for_each(|(units, _)| *units = (*units).min(most));
    }

    /// Units on loan both now and at `until`.
    fn units_through(&self, now: Micros, until: Micros) -> u64 {
        self.units_at(now).min(self.units_at(until.max(now)))
    }
}

/// A loan to one incarnation of another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lent {
    loan: Loan,
    /// The number of the last ask that was processed.
    number: u32,
}

/// Units borrowed from another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Borrowed {
    pub(super) loan: Loan,
    /// Number of asks sent to it.
    number: u32,
    /// When the last ask was sent, if it is still unanswered.
    pending_since: Option<Micros>,
}

/// A value that another planner reported, and when.
type PeerFigure = Option<(u64, Micros)>;

/// One planner's share of one budget.
#[derive(Clone, Debug)]
pub struct Share {
    me: Member,
    members: Member,
    incarnation: Incarnation,
    terms: Terms,
    floor_permille: u64,
    salt: u64,
    total: u64,
    hold: Micros,
    /// The lowest total that another planner reported.
    lowest_total: PeerFigure,
    /// The longest hold time that another planner reported.
    longest_hold: PeerFigure,
    demand: u64,
    used: u64,
    /// The latest end of any use in flight.
    used_until: Micros,
    lent: BTreeMap<(Member, Incarnation), Lent>,
    pub(super) borrowed: BTreeMap<Member, Borrowed>,
    /// Other planners that got less than they asked for, and when.
    underserved: BTreeMap<Member, Micros>,
    started: Micros,
    next_ask_at: Micros,
    /// The current interval between asks for more units.
    ask_pause: Micros,
    /// The planner that was asked last; planners are asked round-robin.
    last_lender: Member,
}

/// The base of a planner: its floor and the units tied to its slot. If the total does not divide evenly,
/// `salt` decides which planners get one unit more, so that several budgets smaller than the fleet do not all
/// go to the same planners.
pub fn base(total: u64, members: Member, me: Member, salt: u64) -> u64 {
    let n = u64::from(members.max(1));
    let rank = (u64::from(me) + salt % n) % n;
    total / n + u64::from(rank < total % n)
}

/// The part of a base that a planner may use without the consent of other planners.
pub fn floor(base: u64, floor_permille: u64) -> u64 {
    (base as u128 * u128::from(floor_permille.min(1000)) / 1000) as u64
}

impl Share {
    /// The share of planner `me` of `members`, in an incarnation started at `started`, of a budget of `total`
    /// units.
    pub fn new(
        (me, members): (Member, Member),
        incarnation: Incarnation,
        (total, salt): (u64, u64),
        (terms, floor_permille): (Terms, u64),
        started: Micros,
    ) -> Share {
        debug_assert!(me < members);
        Share {
            me,
            members,
            incarnation,
            terms,
            floor_permille,
            salt,
            total,
            hold: 0,
            lowest_total: None,
            longest_hold: None,
            demand: 0,
            used: 0,
            used_until: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            underserved: BTreeMap::new(),
            started,
            next_ask_at: started,
            ask_pause: terms.ask_every,
            last_lender: (incarnation % u64::from(members)) as Member,
        }
    }

    fn recent(figure: PeerFigure, now: Micros, terms: &Terms) -> Option<u64> {
        figure.filter(|(_, at)| now < at + 2 * terms.lease).map(|(value, _)| value)
    }

    /// The effective total: the lower of its own and those that other planners reported within two leases.
    pub fn total(&self, now: Micros) -> u64 {
        Share::recent(self.lowest_total, now, &self.terms)
            .map_or(self.total, |lowest_total| self.total.min(lowest_total))
    }

    /// The effective hold time in microseconds: the longer of its own and those that other planners reported
    /// within two leases.
    pub fn hold(&self, now: Micros) -> Micros {
        Share::recent(self.longest_hold, now, &self.terms)
            .map_or(self.hold, |longest_hold| self.hold.max(longest_hold))
    }

    /// Sets total and hold time from a new operators' file. A lower total applies to the base at once;
    /// outstanding loans run to their end.
    pub fn set_total(&mut self, total: u64, hold: Micros) {
        (self.total, self.hold) = (total, hold);
    }

    /// Sets the units that this planner could use, the units in use, and the latest end of these uses.
    pub fn set_need(&mut self, demand: u64, used: u64, used_until: Micros) {
        (self.demand, self.used, self.used_until) = (demand, used, used_until);
    }

    /// A planner's floor, and the units of its base tied to its slot.
    fn floor_and_slot_units(&self, now: Micros, member: Member) -> (u64, u64) {
        let base = base(self.total(now), self.members, member, self.salt);
        let floor = floor(base, self.floor_permille);
        (floor, base - floor)
    }

    /// Until then the floor may still be in use or on loan by an earlier incarnation: its loans may be
    /// outstanding, and so may uses with a fixed hold time.
    fn grace_until(&self, leases: &SlotLeases, now: Micros) -> Micros {
        leases.grace_until.max(self.started + self.terms.lender_span(self.hold(now)))
    }

    /// Units of floor and slots that are available from `now` through `until`.
    fn floor_and_slots(&self, leases: &SlotLeases, now: Micros, until: Micros) -> u64 {
        let floor =
            if now < self.grace_until(leases, now) { 0 } else { self.floor_and_slot_units(now, self.me).0 };
        let lasting = leases.slots.iter().filter(|(_, end)| until < *end);
        floor + lasting.map(|(slot, _)| self.floor_and_slot_units(now, *slot).1).sum::<u64>()
    }

    fn lent_out(&self, now: Micros) -> u64 {
        self.lent.values().map(|l| l.loan.units_at(now)).sum()
    }

    /// Units of floor and slots that are available from `now` through `until` and not lent. Loans that end
    /// before `until` are deducted all the same.
    fn unlent(&self, leases: &SlotLeases, now: Micros, until: Micros) -> u64 {
        self.floor_and_slots(leases, now, until).saturating_sub(self.lent_out(now))
    }

    /// Units that may be in use now.
    pub fn usable(&self, leases: &SlotLeases, now: Micros) -> u64 {
        self.unlent(leases, now, now) + self.borrowed.values().map(|b| b.loan.units_at(now)).sum::<u64>()
    }

    /// Whether one more unit may be taken for `lasting` microseconds from now; a caller that is refused tries
    /// again later.
    ///
    /// Each use was admitted when all uses in flight at that time fitted into the units that last until the
    /// latest of their ends, and units in use are not lent. The check at the last admission therefore covers
    /// all uses in flight at any time.
    pub fn admits(&self, leases: &SlotLeases, now: Micros, lasting: Micros) -> bool {
        let until = self.used_until.max(now + lasting);
        let borrowed = self.borrowed.values().map(|b| b.loan.units_through(now, until)).sum::<u64>();
        self.used < self.unlent(leases, now, until) + borrowed
    }

    /// Microseconds after which a refused caller should try again: until the next ask or the end of the grace
    /// period.
    pub fn retry_in(&self, leases: &SlotLeases, now: Micros) -> Micros {
        let grace =
            if leases.slots.is_empty() { self.grace_until(leases, now).saturating_sub(now) } else { 0 };
        grace.max(self.next_ask_at.saturating_sub(now)).max(self.terms.ask_every)
    }

    /// Whether a slot can be given back: all loans and uses are covered without it.
    pub fn can_spare(&self, leases: &SlotLeases, now: Micros, slot: Member) -> bool {
        let last =
            self.lent.values().map(|l| l.loan.expiry()).max().unwrap_or(0).max(self.used_until).max(now);
        let others = SlotLeases {
            grace_until: leases.grace_until,
            slots: leases.slots.iter().copied().filter(|(other, _)| *other != slot).collect(),
        };
        let borrowed =
            self.borrowed.values().map(|b| b.loan.units_through(now, self.used_until)).sum::<u64>();
        self.lent_out(now) + self.used.saturating_sub(borrowed) <= self.floor_and_slots(&others, now, last)
    }

    fn note_peer_figures(&mut self, now: Micros, total: u64, hold: Micros) {
        if total < self.total && total <= self.total(now) {
            self.lowest_total = Some((total, now));
        }
        if hold > self.hold && hold >= self.hold(now) {
            self.longest_hold = Some((hold, now));
        }
    }

    /// Processes an ask and returns the answer, if any.
    pub fn on_ask(&mut self, leases: &SlotLeases, now: Micros, from: Member, ask: Ask) -> Option<Grant> {
        if from == self.me || from >= self.members {
            return None;
        }
        self.note_peer_figures(now, ask.total, ask.hold);
        let (units, span) = self.lend(leases, now, from, ask)?;
        let (incarnation, number) = (ask.incarnation, ask.number);
        Some(Grant { incarnation, number, units, span, total: self.total, hold: self.hold })
    }

    /// Processes a grant.
    pub fn on_grant(&mut self, now: Micros, from: Member, grant: Grant) {
        self.note_peer_figures(now, grant.total, grant.hold);
        let Some(borrowed) = self.borrowed.get_mut(&from) else { return };
        if grant.incarnation == self.incarnation && grant.number == borrowed.number {
            let Some(pending_since) = borrowed.pending_since.take() else { return };
            let more = grant.units > borrowed.loan.units_at(now);
            borrowed.loan.add(
                now,
                grant.units,
                pending_since + self.terms.borrower_span(grant.span.min(self.terms.lease)),
            );
            if more {
                (self.ask_pause, self.next_ask_at) =
                    (self.terms.ask_every, self.next_ask_at.min(now + self.terms.ask_every));
            }
        }
    }

    /// The end of a loan that is made now: a full lease where floor and slots that last that long cover it,
    /// otherwise the earliest end of the slots that back loans.
    fn loan_end(&self, leases: &SlotLeases, now: Micros, wants: u64) -> Micros {
        let full_term = now + self.terms.lender_term();
        let reserved = self.demand.max(self.used) + self.lent_out(now);
        if self.floor_and_slots(leases, now, full_term) >= reserved.saturating_add(wants) {
            return full_term;
        }
        let min_end = now + self.terms.lease / MIN_LOAN_DIVISOR;
        // One microsecond before the slot expires.
        let ends = leases.slots.iter().filter(|(_, end)| *end > min_end).map(|(_, end)| *end - 1);
        ends.min().map_or(full_term, |end| end.min(full_term))
    }

    fn lend(&mut self, leases: &SlotLeases, now: Micros, to: Member, ask: Ask) -> Option<(u64, Micros)> {
        self.lent.retain(|_, lent| now < lent.loan.expiry());
        let key = (to, ask.incarnation);
        let lent = self.lent.entry(key).or_default();
        if ask.number <= lent.number {
            // A late or duplicate ask: the grant that answered it, if any, is in transit or lost.
            return None;
        }
        lent.number = ask.number;
        lent.loan.cap(ask.holds);
        let before = lent.loan.units_at(now);
        let until = self.loan_end(leases, now, ask.wants - before.min(ask.wants));
        // Not available: units that this planner uses or could use, and those lent to others, an earlier
        // incarnation of the asker included. The asker's present loan is part of the new one.
        let kept = self.demand.max(self.used) + self.lent_out(now) - before;
        let spare = self.floor_and_slots(leases, now, until).saturating_sub(kept);
        // Where other planners are underserved, too, the spare units are divided among them.
        self.underserved.retain(|_, at| now < *at + self.terms.lease);
        let others = self.underserved.keys().filter(|m| **m != to).count() as u64;
        let fair = (spare + self.lent_out(now) - before).div_ceil(others + 1);
        let units = ask.wants.min(spare).min(if others > 0 { fair } else { u64::MAX });
        if units < ask.wants {
            self.underserved.insert(to, now);
        } else {
            self.underserved.remove(&to);
        }
        let span = self.terms.borrower_span(until - now);
        debug_assert!(now + self.terms.lender_span(span) <= until + 2);
        self.lent.entry(key).or_default().loan.add(now, units, until);
        Some((units, span))
    }

    /// The part of the state by which the model checker compares states.
    #[cfg(test)]
    pub(super) fn key(&self) -> impl std::hash::Hash + PartialEq + '_ {
        let figures = (self.incarnation, self.demand, self.next_ask_at, self.ask_pause, self.last_lender);
        (figures, &self.lent, &self.borrowed, &self.underserved)
    }

    /// Units that this planner could use.
    #[cfg(test)]
    pub(super) fn demand(&self) -> u64 {
        self.demand
    }

    /// Returns the asks that are due: one for more units, and those that renew or give back loans. Within
    /// [`Terms::ask_every`] there is at most one ask for more, and one for each loan.
    pub fn tick(&mut self, leases: &SlotLeases, now: Micros) -> Vec<(Member, Ask)> {
        let mut asks = Vec::new();
        let (usable, wanted) = (self.usable(leases, now), self.demand.max(self.used));
        let mut surplus = usable.saturating_sub(wanted);
        let (incarnation, total, hold) = (self.incarnation, self.total, self.hold);
        let (terms, until) = (self.terms, self.used_until);
        // Units that last until the end of all uses in flight must still cover these uses after a loan is
        // reduced.
        let lasting_units: u64 = self.borrowed.values().map(|b| b.loan.units_through(now, until)).sum();
        let mut slack = (self.unlent(leases, now, until.max(now)) + lasting_units).saturating_sub(self.used);
        for (&lender, borrowed) in &mut self.borrowed {
            let units = borrowed.loan.units_at(now);
            let waits = borrowed.pending_since.is_some_and(|at| now < at + terms.ask_every);
            if units == 0 || waits {
                continue;
            }
            let bound = borrowed.loan.units_through(now, until).saturating_sub(slack);
            let keeps = units.saturating_sub(surplus).max(bound);
            // A small surplus is kept, to avoid moving units back and forth.
            let keeps = if (units - keeps) * 4 >= units { keeps } else { units };
            let left = borrowed.loan.expiry().saturating_sub(now);
            if left < terms.lease * (RENEWAL_DIVISOR - 1) / RENEWAL_DIVISOR || keeps == 0 {
                let lasting_units = borrowed.loan.units_through(now, until);
                borrowed.loan.cap(keeps);
                slack -= lasting_units - borrowed.loan.units_through(now, until);
                surplus -= units - keeps;
                borrowed.number += 1;
                borrowed.pending_since = Some(now);
                let (number, wants, holds) = (borrowed.number, keeps, keeps);
                asks.push((lender, Ask { incarnation, number, wants, holds, total, hold }));
            }
        }
        if wanted > usable && now >= self.next_ask_at {
            if let Some(lender) = self.next_lender(now) {
                self.next_ask_at = now + self.ask_pause;
                self.ask_pause =
                    (self.ask_pause * 3 / 2).min((terms.lease / MAX_ASK_PAUSE_DIVISOR).max(terms.ask_every));
                let borrowed = self.borrowed.entry(lender).or_default();
                let holds = borrowed.loan.units_at(now);
                borrowed.number += 1;
                borrowed.pending_since = Some(now);
                let wants = holds + wanted - usable;
                asks.push((lender, Ask { incarnation, number: borrowed.number, wants, holds, total, hold }));
            }
        }
        asks
    }

    /// The next planner to ask, round-robin; skips those that left an ask unanswered for less than a lease.
    fn next_lender(&mut self, now: Micros) -> Option<Member> {
        for _ in 0..self.members {
            self.last_lender = (self.last_lender + 1) % self.members;
            let pending_since = self.borrowed.get(&self.last_lender).and_then(|b| b.pending_since);
            if self.last_lender != self.me && pending_since.is_none_or(|at| now >= at + self.terms.lease) {
                return Some(self.last_lender);
            }
        }
        None
    }
}
