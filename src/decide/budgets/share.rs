//! A budget of the whole fleet, divided among its planners: what each may use now, what it lends and what it has been
//! lent. Pure: times of the planner's own steady clock, and words of other planners, come in; words to others go out.
//!
//! The whole is split into one base for each listed planner, in whole units. A planner uses its base without hearing
//! anyone; what it does not need it lends to those who ask. The sum in use never exceeds the whole, whatever is lost,
//! late, doubled or out of order on the way, because (what fails without each stands in `docs/design/budgets.md`):
//! - a lender books what it grants before the grant leaves, and counts it as gone for [`Terms::lender_term`] of its own
//!   clock from then on;
//! - a borrower counts the loan from when its ask left, for the shorter [`Terms::borrower_term`], so that it lapses
//!   first even where the two clocks run apart by the most that the terms allow;
//! - a grant counts for the one ask that it names, the last that went to that lender;
//! - an ask that says that less is held is obeyed in the order in which it was made;
//! - a planner that has started counts its base as lent until every loan of an earlier life of it has lapsed;
//! - whoever uses something looks at the time first ([`Share::usable`] takes it), and takes in only what will be over
//!   before the loan that it counts on lapses ([`Share::admits`]).
//!
//! Method: leases by clocks that only need a bounded rate error (C. Gray and D. Cheriton, "Leases", SOSP 1989); the
//! escrow of units that are handed over and never made (P. O'Neil, "The Escrow Transactional Method", TODS 1986).

use std::collections::BTreeMap;

/// Microseconds on the planner's own steady clock.
pub type Micros = u64;
/// A planner, by its place in the fleet's list.
pub type Member = u16;
/// A life of a planner: drawn anew at each start.
pub type Life = u64;

/// Count. Planners of a fleet at most.
pub const MOST_MEMBERS: usize = 1024;

/// How loans run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Microseconds that a loan lasts.
    pub lease: Micros,
    /// Millionths by which a clock may run fast or slow.
    pub rate_error_ppm: u64,
    /// Microseconds between asks for more.
    pub ask_every: Micros,
}

impl Terms {
    /// So long a lender counts a loan as gone, from the grant on: longer than any clock's lease.
    pub fn lender_term(&self) -> Micros {
        self.lease + self.lease * self.rate_error_ppm / 1_000_000 + 1
    }

    /// So long a borrower counts a loan as its own, from the ask on: shorter than any clock's lease.
    pub fn borrower_term(&self) -> Micros {
        (self.lease - self.lease * self.rate_error_ppm / 1_000_000).saturating_sub(1)
    }
}

/// A word from one planner to another about one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// A planner wants `wants` units in all, and holds at most `holds` of that lender's now.
    Ask {
        /// The asker's life.
        life: Life,
        /// Counts this life's asks to that lender.
        number: u32,
        /// Units wanted.
        wants: u64,
        /// Units held until the answer.
        holds: u64,
        /// The whole that the asker knows.
        whole: u64,
    },
    /// The answer to that ask: so many units in all; nothing where none can be spared.
    Grant {
        /// The asker's life.
        life: Life,
        /// The ask.
        number: u32,
        /// Units.
        units: u64,
        /// The whole that the lender knows.
        whole: u64,
    },
}

/// Units until a time; several hold at once where a grant changed what was lent before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Loan(Vec<(u64, Micros)>);

impl Loan {
    /// The most that is lent at a time.
    fn at(&self, now: Micros) -> u64 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| *units).max().unwrap_or(0)
    }

    fn last(&self) -> Micros {
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
}

/// A loan to a life of another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lent {
    loan: Loan,
    /// The last ask that was obeyed.
    number: u32,
}

/// What is held of another planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    loan: Loan,
    /// Asks made.
    number: u32,
    /// When the last one left, until its answer.
    asked: Option<Micros>,
}

/// One planner's part in one budget.
#[derive(Clone, Debug)]
pub struct Share {
    me: Member,
    members: Member,
    life: Life,
    terms: Terms,
    salt: u64,
    whole: u64,
    /// The lowest whole that another told, and when.
    lower: Option<(u64, Micros)>,
    /// Until then the base may be lent by an earlier life.
    quiet_until: Micros,
    demand: u64,
    used: u64,
    /// When the last use in flight is over.
    used_until: Micros,
    lent: BTreeMap<(Member, Life), Lent>,
    held: BTreeMap<Member, Held>,
    /// Others who asked for more than they got, and when.
    wanting: BTreeMap<Member, Micros>,
    ask_at: Micros,
    /// Whom it asks next.
    turn: Member,
}

/// The base of a planner: the units of the whole that are its own. The rest that cannot be split evenly goes one unit
/// each to those whom the salt chooses, so that budgets smaller than the fleet do not all fall to the same planners.
pub fn base(whole: u64, members: Member, me: Member, salt: u64) -> u64 {
    let n = u64::from(members.max(1));
    let turn = (u64::from(me) + salt) % n;
    whole / n + u64::from(turn < whole % n)
}

impl Share {
    /// The part of the planner `me` of so many, in a life that begins now.
    pub fn new(
        (me, members): (Member, Member),
        life: Life,
        (whole, salt): (u64, u64),
        terms: Terms,
        now: Micros,
    ) -> Share {
        debug_assert!(me < members && usize::from(members) <= MOST_MEMBERS);
        Share {
            me,
            members,
            life,
            terms,
            salt,
            whole,
            lower: None,
            quiet_until: now + terms.lender_term(),
            demand: 0,
            used: 0,
            used_until: 0,
            lent: BTreeMap::new(),
            held: BTreeMap::new(),
            wanting: BTreeMap::new(),
            ask_at: now,
            turn: (life % u64::from(members)) as Member,
        }
    }

    /// The whole that holds here: the lower of its own and those that others told lately.
    pub fn whole(&self, now: Micros) -> u64 {
        match self.lower {
            Some((lower, at)) if now < at + 2 * self.terms.lease => self.whole.min(lower),
            _ => self.whole,
        }
    }

    /// Another whole, from a new operators' file. A lower one holds at once for the base; what was lent lapses.
    pub fn set_whole(&mut self, whole: u64) {
        self.whole = whole;
    }

    /// Units that this planner could use now, units that it does use, and when the last of these uses is over.
    pub fn set_need(&mut self, demand: u64, used: u64, used_until: Micros) {
        (self.demand, self.used, self.used_until) = (demand, used, used_until);
    }

    /// Units of the base that are not lent.
    fn own(&self, now: Micros) -> u64 {
        if now < self.quiet_until {
            return 0;
        }
        let base = base(self.whole(now), self.members, self.me, self.salt);
        let lent: u64 = self.lent.values().map(|l| l.loan.at(now)).sum();
        base.saturating_sub(lent)
    }

    /// Units that may be in use at that time, `now` or later.
    pub fn usable(&self, now: Micros) -> u64 {
        self.own(now) + self.held.values().map(|h| h.loan.at(now)).sum::<u64>()
    }

    /// What is left of a loan both now and at that time.
    fn firm(loan: &Loan, now: Micros, until: Micros) -> u64 {
        loan.at(now).min(loan.at(until.max(now)))
    }

    /// Whether one more unit may be used from now on for so long; whoever waits looks again.
    ///
    /// At any time each use in flight was taken in when all that were in flight then fitted into what lasts until its
    /// end; the last of them that was taken in saw all others, and of the base nothing in use is lent.
    pub fn admits(&self, now: Micros, lasting: Micros) -> bool {
        let until = self.used_until.max(now + lasting);
        let held = self.held.values().map(|h| Share::firm(&h.loan, now, until)).sum::<u64>();
        self.used < self.own(now) + held
    }

    /// When more may be had, for those who are turned away: the next ask, or the end of the quiet time.
    pub fn back_in(&self, now: Micros) -> Micros {
        let quiet = self.quiet_until.saturating_sub(now);
        quiet.max(self.ask_at.saturating_sub(now)).max(self.terms.ask_every)
    }

    fn hear_whole(&mut self, now: Micros, whole: u64) {
        if whole < self.whole && whole <= self.whole(now) {
            self.lower = Some((whole, now));
        }
    }

    /// Takes a word in; tells what is answered.
    pub fn hear(&mut self, now: Micros, from: Member, word: Word) -> Option<Word> {
        if from == self.me || from >= self.members {
            return None;
        }
        match word {
            Word::Ask { life, number, wants, holds, whole } => {
                self.hear_whole(now, whole);
                let units = self.lend(now, (from, life), number, wants, holds)?;
                let whole = self.whole(now);
                Some(Word::Grant { life, number, units, whole })
            }
            Word::Grant { life, number, units, whole } => {
                self.hear_whole(now, whole);
                let held = self.held.get_mut(&from)?;
                if life == self.life && number == held.number {
                    let asked = held.asked.take()?;
                    held.loan.put(now, units, asked + self.terms.borrower_term());
                }
                None
            }
        }
    }

    fn lend(&mut self, now: Micros, to: (Member, Life), number: u32, wants: u64, holds: u64) -> Option<u64> {
        self.lent.retain(|_, lent| now < lent.loan.last());
        let lent = self.lent.entry(to).or_default();
        if number <= lent.number {
            // A late or doubled ask: the grant that answered it, if any, is on its way or lost.
            return None;
        }
        lent.number = number;
        lent.loan.cap(holds);
        let before = lent.loan.at(now);
        let spare = self.own(now).saturating_sub(self.demand.max(self.used));
        // Where others want, too, what is spared goes round.
        self.wanting.retain(|_, at| now < *at + self.terms.lease);
        let others = self.wanting.keys().filter(|m| **m != to.0).count() as u64;
        let lent_out: u64 = self.lent.values().map(|l| l.loan.at(now)).sum();
        let fair = (spare + lent_out).div_ceil(others + 1);
        let units = wants.min(before + spare).min(if others > 0 { fair } else { u64::MAX });
        if units < wants {
            self.wanting.insert(to.0, now);
        } else {
            self.wanting.remove(&to.0);
        }
        let until = now + self.terms.lender_term();
        let lent = self.lent.entry(to).or_default();
        lent.loan.put(now, units, until);
        Some(units)
    }

    /// What is due: an ask for more, and asks that keep or give back what is held. At most one ask for more, and one
    /// for each loan, in [`Terms::ask_every`].
    pub fn tick(&mut self, now: Micros) -> Vec<(Member, Word)> {
        let mut asks = Vec::new();
        let (usable, wanted) = (self.usable(now), self.demand.max(self.used));
        let mut surplus = usable.saturating_sub(wanted);
        let (life, whole, terms, until) = (self.life, self.whole(now), self.terms, self.used_until);
        // What is left to the end of all uses in flight must go on to cover them.
        let firm: u64 = self.held.values().map(|h| Share::firm(&h.loan, now, until)).sum();
        let mut loose = (self.own(now) + firm).saturating_sub(self.used);
        for (&lender, held) in &mut self.held {
            let units = held.loan.at(now);
            let waits = held.asked.is_some_and(|at| now < at + terms.ask_every);
            if units == 0 || waits {
                continue;
            }
            let bound = Share::firm(&held.loan, now, until).saturating_sub(loose);
            let keeps = units.saturating_sub(surplus).max(bound);
            // A small surplus is kept, so that nothing goes to and fro.
            let keeps = if (units - keeps) * 4 >= units { keeps } else { units };
            let half = held.loan.last().saturating_sub(now) < terms.borrower_term() / 2;
            if half || keeps == 0 {
                let firm = Share::firm(&held.loan, now, until);
                held.loan.cap(keeps);
                loose -= firm - Share::firm(&held.loan, now, until);
                surplus -= units - keeps;
                held.number += 1;
                held.asked = Some(now);
                let word = Word::Ask { life, number: held.number, wants: keeps, holds: keeps, whole };
                asks.push((lender, word));
            }
        }
        if wanted > usable && now >= self.ask_at {
            if let Some(lender) = self.next_lender(now) {
                self.ask_at = now + terms.ask_every;
                let held = self.held.entry(lender).or_default();
                let holds = held.loan.at(now);
                held.number += 1;
                held.asked = Some(now);
                let wants = holds + wanted - usable;
                asks.push((lender, Word::Ask { life, number: held.number, wants, holds, whole }));
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

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
