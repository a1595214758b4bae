//! One budget at one planner: what may be used now, what is lent and what is borrowed. See the module's words for what
//! must hold.

use crate::decide::fleet::{Ground, Life, Member, Micros, Terms};
use std::collections::BTreeMap;

/// Parts of a lease. A slot that lapses sooner than that is not lent from: the loan would hardly be of use.
const LEAST_LOAN: u64 = 4;
/// Parts of a lease. What is borrowed is asked for again once it lasts no longer than three of them.
const ASK_AGAIN: u64 = 4;
/// Parts of a lease. The longest time between asks for more: it grows with each that brought nothing.
const LONGEST_PAUSE: u64 = 16;

/// A planner wants so many units of one that it asks in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// The asker's life.
    pub life: Life,
    /// Counts this life's asks to that lender.
    pub number: u32,
    /// Units wanted.
    pub wants: u64,
    /// Units of that lender held until the answer, at most.
    pub holds: u64,
    /// The whole that the asker knows.
    pub whole: u64,
    /// Microseconds that a use lasts at the asker, where all uses last alike.
    pub hold: Micros,
}

/// The answer to that ask: so many units in all; nothing where none can be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Grant {
    /// The asker's life.
    pub life: Life,
    /// The ask.
    pub number: u32,
    /// Units.
    pub units: u64,
    /// Microseconds that they are lent for.
    pub span: Micros,
    /// The whole that the lender knows.
    pub whole: u64,
    /// Microseconds that a use lasts at the lender, where all uses last alike.
    pub hold: Micros,
}

/// Units until a time; several hold at once where a grant changed what was lent before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Loan(Vec<(u64, Micros)>);

impl Loan {
    /// The most that is lent at a time.
    pub(super) fn at(&self, now: Micros) -> u64 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| *units).max().unwrap_or(0)
    }

    pub(super) fn last(&self) -> Micros {
        self.0.iter().map(|(_, until)| *until).max().unwrap_or(0)
    }

    fn put(&mut self, now: Micros, units: u64, until: Micros) {
        // What lapsed, and what the new one covers, tells nothing any more.
        self.0.retain(|&(other, end)| now < end && (other > units || end > until));
        if units > 0 && now < until {
            self.0.push((units, until));
        }
    }

    fn cap(&mut self, most: u64) {
        self.0.iter_mut().for_each(|(units, _)| *units = (*units).min(most));
    }

    /// What is left of it both now and at that time.
    fn firm(&self, now: Micros, until: Micros) -> u64 {
        self.at(now).min(self.at(until.max(now)))
    }
}

/// A loan to a life of another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Lent {
    loan: Loan,
    /// The last ask that was obeyed.
    number: u32,
}

/// What is held of another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Held {
    pub(super) loan: Loan,
    /// Asks made.
    number: u32,
    /// When the last one left, until its answer.
    asked: Option<Micros>,
}

/// A figure that another planner told, and when.
type Heard = Option<(u64, Micros)>;

/// One planner's part in one budget.
#[derive(Clone, Debug)]
pub struct Share {
    me: Member,
    members: Member,
    life: Life,
    terms: Terms,
    floor_permille: u64,
    salt: u64,
    whole: u64,
    hold: Micros,
    /// The lowest whole that another told.
    lower: Heard,
    /// The longest use that another told.
    longer: Heard,
    demand: u64,
    used: u64,
    /// When the last use in flight is over.
    used_until: Micros,
    lent: BTreeMap<(Member, Life), Lent>,
    pub(super) held: BTreeMap<Member, Held>,
    /// Others who asked for more than they got, and when.
    wanting: BTreeMap<Member, Micros>,
    started: Micros,
    ask_at: Micros,
    /// The time between asks for more now.
    pause: Micros,
    /// Whom it asks next.
    turn: Member,
}

/// The base of a planner: the units of the whole that are its slot's and its floor. The rest that cannot be split evenly
/// goes one unit each to those whom the salt chooses, so that budgets smaller than the fleet do not all fall to the same
/// planners.
pub fn base(whole: u64, members: Member, me: Member, salt: u64) -> u64 {
    let n = u64::from(members.max(1));
    let turn = (u64::from(me) + salt % n) % n;
    whole / n + u64::from(turn < whole % n)
}

/// Of a base, what its planner may use without hearing anyone.
pub fn floor(base: u64, floor_permille: u64) -> u64 {
    (base as u128 * u128::from(floor_permille.min(1000)) / 1000) as u64
}

impl Share {
    /// The part of the planner `me` of so many, in a life that began then, in a budget of `whole` units.
    pub fn new(
        (me, members): (Member, Member),
        life: Life,
        (whole, salt): (u64, u64),
        (terms, floor_permille): (Terms, u64),
        started: Micros,
    ) -> Share {
        debug_assert!(me < members);
        Share {
            me,
            members,
            life,
            terms,
            floor_permille,
            salt,
            whole,
            hold: 0,
            lower: None,
            longer: None,
            demand: 0,
            used: 0,
            used_until: 0,
            lent: BTreeMap::new(),
            held: BTreeMap::new(),
            wanting: BTreeMap::new(),
            started,
            ask_at: started,
            pause: terms.ask_every,
            turn: (life % u64::from(members)) as Member,
        }
    }

    fn told(heard: Heard, now: Micros, terms: &Terms) -> Option<u64> {
        heard.filter(|(_, at)| now < at + 2 * terms.lease).map(|(figure, _)| figure)
    }

    /// The whole that holds here: the lower of its own and those that others told lately.
    pub fn whole(&self, now: Micros) -> u64 {
        Share::told(self.lower, now, &self.terms).map_or(self.whole, |lower| self.whole.min(lower))
    }

    /// Microseconds that a use lasts, where all last alike: the longer of its own and what others told lately.
    pub fn hold(&self, now: Micros) -> Micros {
        Share::told(self.longer, now, &self.terms).map_or(self.hold, |longer| self.hold.max(longer))
    }

    /// Another whole and length of uses, from a new operators' file. A lower one holds at once for the base; what was
    /// lent lapses.
    pub fn set_whole(&mut self, whole: u64, hold: Micros) {
        (self.whole, self.hold) = (whole, hold);
    }

    /// Units that this planner could use now, units that it does use, and when the last of these uses is over.
    pub fn set_need(&mut self, demand: u64, used: u64, used_until: Micros) {
        (self.demand, self.used, self.used_until) = (demand, used, used_until);
    }

    /// Units of a planner's base, and of them those that hang on its slot.
    fn parts(&self, now: Micros, of: Member) -> (u64, u64) {
        let base = base(self.whole(now), self.members, of, self.salt);
        let floor = floor(base, self.floor_permille);
        (floor, base - floor)
    }

    /// Until then the floor may be in use or lent by an earlier life: its loans, and its uses where all last alike.
    fn quiet_until(&self, ground: &Ground, now: Micros) -> Micros {
        ground.quiet_until.max(self.started + self.terms.given_for(self.hold(now)))
    }

    /// Units of floor and slots that are there from now until then.
    fn ground(&self, ground: &Ground, now: Micros, until: Micros) -> u64 {
        let floor = if now < self.quiet_until(ground, now) { 0 } else { self.parts(now, self.me).0 };
        let lasting = ground.slots.iter().filter(|(_, end)| until < *end);
        floor + lasting.map(|(slot, _)| self.parts(now, *slot).1).sum::<u64>()
    }

    fn lent_out(&self, now: Micros) -> u64 {
        self.lent.values().map(|l| l.loan.at(now)).sum()
    }

    /// Units of its own, not lent, that last from now until then. Loans that lapse before are counted to its end.
    fn own(&self, ground: &Ground, now: Micros, until: Micros) -> u64 {
        self.ground(ground, now, until).saturating_sub(self.lent_out(now))
    }

    /// Units that may be in use now.
    pub fn usable(&self, ground: &Ground, now: Micros) -> u64 {
        self.own(ground, now, now) + self.held.values().map(|h| h.loan.at(now)).sum::<u64>()
    }

    /// Whether one more unit may be used from now on for so long; whoever waits looks again.
    ///
    /// At any time each use in flight was taken in when all that were in flight then fitted into what lasts until its
    /// end; the last of them that was taken in saw all others, and what is in use is not lent.
    pub fn admits(&self, ground: &Ground, now: Micros, lasting: Micros) -> bool {
        let until = self.used_until.max(now + lasting);
        let held = self.held.values().map(|h| h.loan.firm(now, until)).sum::<u64>();
        self.used < self.own(ground, now, until) + held
    }

    /// When more may be had, for those who are turned away: the next ask, or the end of the quiet time.
    pub fn back_in(&self, ground: &Ground, now: Micros) -> Micros {
        let quiet =
            if ground.slots.is_empty() { self.quiet_until(ground, now).saturating_sub(now) } else { 0 };
        quiet.max(self.ask_at.saturating_sub(now)).max(self.terms.ask_every)
    }

    /// Whether nothing counts on a slot: all that is lent and used is covered without it.
    pub fn spares(&self, ground: &Ground, now: Micros, slot: Member) -> bool {
        let last = self.lent.values().map(|l| l.loan.last()).max().unwrap_or(0).max(self.used_until).max(now);
        let others = Ground {
            quiet_until: ground.quiet_until,
            slots: ground.slots.iter().copied().filter(|(other, _)| *other != slot).collect(),
        };
        let held = self.held.values().map(|h| h.loan.firm(now, self.used_until)).sum::<u64>();
        self.lent_out(now) + self.used.saturating_sub(held) <= self.ground(&others, now, last)
    }

    fn hear_figures(&mut self, now: Micros, whole: u64, hold: Micros) {
        if whole < self.whole && whole <= self.whole(now) {
            self.lower = Some((whole, now));
        }
        if hold > self.hold && hold >= self.hold(now) {
            self.longer = Some((hold, now));
        }
    }

    /// Takes an ask in; tells what is answered.
    pub fn asked(&mut self, ground: &Ground, now: Micros, from: Member, ask: Ask) -> Option<Grant> {
        if from == self.me || from >= self.members {
            return None;
        }
        self.hear_figures(now, ask.whole, ask.hold);
        let (units, span) = self.lend(ground, now, from, ask)?;
        let (life, number) = (ask.life, ask.number);
        Some(Grant { life, number, units, span, whole: self.whole(now), hold: self.hold(now) })
    }

    /// Takes a grant in.
    pub fn granted(&mut self, now: Micros, from: Member, grant: Grant) {
        self.hear_figures(now, grant.whole, grant.hold);
        let Some(held) = self.held.get_mut(&from) else { return };
        if grant.life == self.life && grant.number == held.number {
            let Some(asked) = held.asked.take() else { return };
            let more = grant.units > held.loan.at(now);
            held.loan.put(now, grant.units, asked + self.terms.taken_for(grant.span.min(self.terms.lease)));
            if more {
                (self.pause, self.ask_at) =
                    (self.terms.ask_every, self.ask_at.min(now + self.terms.ask_every));
            }
        }
    }

    /// Until when a loan that is made now may run: a whole lease where floor alone covers it, else as long as most of
    /// what this planner holds does.
    fn loan_end(&self, ground: &Ground, now: Micros, wants: u64) -> Micros {
        let whole = now + self.terms.lender_term();
        let reserved = self.demand.max(self.used) + self.lent_out(now);
        if self.ground(ground, now, whole) >= reserved.saturating_add(wants) {
            return whole;
        }
        let least = now + self.terms.lease / LEAST_LOAN;
        // One microsecond before the slot lapses.
        let ends = ground.slots.iter().filter(|(_, end)| *end > least).map(|(_, end)| *end - 1);
        ends.min().map_or(whole, |end| end.min(whole))
    }

    fn lend(&mut self, ground: &Ground, now: Micros, to: Member, ask: Ask) -> Option<(u64, Micros)> {
        self.lent.retain(|_, lent| now < lent.loan.last());
        let key = (to, ask.life);
        let lent = self.lent.entry(key).or_default();
        if ask.number <= lent.number {
            // A late or doubled ask: the grant that answered it, if any, is on its way or lost.
            return None;
        }
        lent.number = ask.number;
        lent.loan.cap(ask.holds);
        let before = lent.loan.at(now);
        let until = self.loan_end(ground, now, ask.wants - before.min(ask.wants));
        // What it uses, or could use, it keeps; and what it lent to others, or to this one before, is in use there.
        let kept = self.demand.max(self.used) + self.lent_out(now) - before;
        let spare = self.ground(ground, now, until).saturating_sub(kept);
        // Where others want, too, what is spared goes round.
        self.wanting.retain(|_, at| now < *at + self.terms.lease);
        let others = self.wanting.keys().filter(|m| **m != to).count() as u64;
        let fair = (spare + self.lent_out(now) - before).div_ceil(others + 1);
        let units = ask.wants.min(spare).min(if others > 0 { fair } else { u64::MAX });
        if units < ask.wants {
            self.wanting.insert(to, now);
        } else {
            self.wanting.remove(&to);
        }
        let span = self.terms.taken_for(until - now);
        debug_assert!(now + self.terms.given_for(span) <= until + 2);
        self.lent.entry(key).or_default().loan.put(now, units, until);
        Some((units, span))
    }

    /// What a model tells states apart by.
    #[cfg(test)]
    pub(super) fn key(&self) -> impl std::hash::Hash + PartialEq + '_ {
        let figures = (self.life, self.demand, self.ask_at, self.pause, self.turn);
        (figures, &self.lent, &self.held, &self.wanting)
    }

    /// Units that this planner could use.
    #[cfg(test)]
    pub(super) fn demand(&self) -> u64 {
        self.demand
    }

    /// What is due: an ask for more, and asks that keep or give back what is held. At most one ask for more, and one
    /// for each loan, in [`Terms::ask_every`].
    pub fn tick(&mut self, ground: &Ground, now: Micros) -> Vec<(Member, Ask)> {
        let mut asks = Vec::new();
        let (usable, wanted) = (self.usable(ground, now), self.demand.max(self.used));
        let mut surplus = usable.saturating_sub(wanted);
        let (life, whole, hold) = (self.life, self.whole(now), self.hold(now));
        let (terms, until) = (self.terms, self.used_until);
        // What is left to the end of all uses in flight must go on to cover them.
        let firm: u64 = self.held.values().map(|h| h.loan.firm(now, until)).sum();
        let mut loose = (self.own(ground, now, until.max(now)) + firm).saturating_sub(self.used);
        for (&lender, held) in &mut self.held {
            let units = held.loan.at(now);
            let waits = held.asked.is_some_and(|at| now < at + terms.ask_every);
            if units == 0 || waits {
                continue;
            }
            let bound = held.loan.firm(now, until).saturating_sub(loose);
            let keeps = units.saturating_sub(surplus).max(bound);
            // A small surplus is kept, so that nothing goes to and fro.
            let keeps = if (units - keeps) * 4 >= units { keeps } else { units };
            let left = held.loan.last().saturating_sub(now);
            if left < terms.lease * (ASK_AGAIN - 1) / ASK_AGAIN || keeps == 0 {
                let firm = held.loan.firm(now, until);
                held.loan.cap(keeps);
                loose -= firm - held.loan.firm(now, until);
                surplus -= units - keeps;
                held.number += 1;
                held.asked = Some(now);
                let (number, wants, holds) = (held.number, keeps, keeps);
                asks.push((lender, Ask { life, number, wants, holds, whole, hold }));
            }
        }
        if wanted > usable && now >= self.ask_at {
            if let Some(lender) = self.next_lender(now) {
                self.ask_at = now + self.pause;
                self.pause = (self.pause * 3 / 2).min((terms.lease / LONGEST_PAUSE).max(terms.ask_every));
                let held = self.held.entry(lender).or_default();
                let holds = held.loan.at(now);
                held.number += 1;
                held.asked = Some(now);
                let wants = holds + wanted - usable;
                asks.push((lender, Ask { life, number: held.number, wants, holds, whole, hold }));
            }
        }
        asks
    }

    /// Whom to ask next: all in turn, but for those who left an ask of the last lease unanswered.
    fn next_lender(&mut self, now: Micros) -> Option<Member> {
        for _ in 0..self.members {
            self.turn = (self.turn + 1) % self.members;
            let asked = self.held.get(&self.turn).and_then(|h| h.asked);
            if self.turn != self.me && asked.is_none_or(|at| now >= at + self.terms.lease) {
                return Some(self.turn);
            }
        }
        None
    }
}
