//! All budgets of a planner: what uses them here, how much each is in need, and the words that concern them.

use super::share::{base, floor, Ask, Grant, Share};
use crate::decide::fleet::{mixed, Claim, Fleet, Life, Member, Micros, Terms, Vote};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Share. Weight of a new sample in the mean time that a use lasts.
const HOLD_WEIGHT: f64 = 0.1;
/// Share of the need that is left when a lease has gone by without any: need is felt at once and forgotten slowly, so that
/// units do not go to and fro with each burst.
const NEED_KEPT: f64 = 0.4;
/// Share. Units beyond those in use that a planner wants to have at hand.
const AT_HAND: f64 = 1.15;

/// A budget, the same at every planner whose file has it.
pub type BudgetId = u64;

/// What a budget bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Jobs taken in and not yet answered.
    InFlight,
    /// Jobs taken in over time.
    Rate,
    /// Further tries that no first one pays for.
    RetryFloor,
}

impl Kind {
    /// Its name in the operators' file.
    pub fn word(self) -> &'static str {
        match self {
            Kind::InFlight => "inFlight",
            Kind::Rate => "ratePerS",
            Kind::RetryFloor => "retryFloor",
        }
    }

    /// The budget of that kind at a place of the operators' file.
    pub fn id(self, place: &str) -> BudgetId {
        mixed((place, self))
    }
}

/// A budget that the operators' file has.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// Its place in the file.
    pub place: Arc<str>,
    /// What it bounds.
    pub kind: Kind,
    /// Units of the whole fleet.
    pub whole: u64,
    /// Microseconds that a use lasts where all last alike; nought where a use ends by itself.
    pub hold: Micros,
}

/// A planner's place in its fleet and how the fleet is run, as the operators' file has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// This planner and how many there are.
    pub place: (Member, Member),
    /// Those that vote.
    pub voters: Vec<Member>,
    /// How leases run.
    pub terms: Terms,
}

/// A word from one planner to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// To a voter.
    Claim(Claim),
    /// A voter's answer.
    Vote(Vote),
    /// To a lender, about a budget.
    Ask(BudgetId, Ask),
    /// A lender's answer.
    Grant(BudgetId, Grant),
}

/// A use that is given back by [`Books::give_back`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    budget: BudgetId,
    until: Micros,
    number: u64,
    since: Micros,
}

/// A budget as it stands at this planner.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Its place in the file.
    pub place: Arc<str>,
    /// What it bounds.
    pub kind: Kind,
    /// Units of the whole fleet by this planner's file, and those that hold.
    pub whole: (u64, u64),
    /// Units that may be in use here.
    pub usable: u64,
    /// Units in use here.
    pub used: u64,
    /// Units that this planner could use.
    pub demand: u64,
}

/// One budget and what uses it here.
#[derive(Clone, Debug)]
struct Book {
    wanted: Wanted,
    share: Share,
    /// Uses that are not over: when they will be at the latest, and their numbers.
    ends: BTreeSet<(Micros, u64)>,
    /// The most uses at once, and those turned away, since the last look.
    peak: u64,
    turned: u64,
    /// Microseconds that a use lasts here.
    mean: f64,
    need: f64,
    looked_at: Micros,
    /// The file has it no more; it is kept until nothing that it lent is out.
    gone_at: Option<Micros>,
    /// The difference to another's file was told.
    told: bool,
}

impl Book {
    fn sweep(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(end, _)| *end <= now) {
            self.ends.pop_first();
        }
    }

    /// Tells the share how much is in use and wanted.
    fn tell(&mut self) {
        let used = self.ends.len() as u64;
        self.peak = self.peak.max(used);
        let until = self.ends.last().map_or(0, |(end, _)| *end);
        self.share.set_need((self.need.ceil() as u64).max(used), used, until);
    }

    /// Feels the need since the last look: the uses that there were, and those that there would have been (Little's law).
    fn look(&mut self, now: Micros, terms: &Terms) {
        let span = now.saturating_sub(self.looked_at);
        if span < terms.ask_every {
            return;
        }
        self.looked_at = now;
        let missed = self.turned as f64 * (self.mean / span as f64).min(1.0);
        let fresh = if self.peak + self.turned > 0 { self.peak as f64 * AT_HAND + missed } else { 0.0 };
        let kept = self.need * NEED_KEPT.powf(span as f64 / terms.lease as f64);
        self.need = fresh.max(kept).min(1e15);
        if self.need < 0.5 {
            self.need = 0.0;
        }
        (self.peak, self.turned) = (self.ends.len() as u64, 0);
    }
}

/// A planner's part in its fleet and in all budgets.
#[derive(Clone, Debug)]
pub struct Books {
    fleet: Fleet,
    books: BTreeMap<BudgetId, Book>,
    started: Micros,
    number: u64,
    lines: Vec<String>,
}

impl Books {
    /// A part in a life that begins now.
    pub fn new(plan: &Plan, life: Life, now: Micros) -> Books {
        let fleet = Fleet::new(plan.place, life, plan.voters.clone(), plan.terms, now);
        Books { fleet, books: BTreeMap::new(), started: now, number: 0, lines: Vec::new() }
    }

    /// Who is here.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The budgets that a new operators' file has. Those that it has no more stay until nothing that they lent is out.
    pub fn set(&mut self, now: Micros, wanted: impl IntoIterator<Item = Wanted>) {
        let mut all: BTreeMap<BudgetId, Wanted> =
            wanted.into_iter().map(|w| (w.kind.id(&w.place), w)).collect();
        for (id, book) in &mut self.books {
            match all.remove(id) {
                Some(wanted) => {
                    book.share.set_whole(wanted.whole, wanted.hold);
                    (book.wanted, book.gone_at, book.told) = (wanted, None, false);
                }
                None => _ = book.gone_at.get_or_insert(now),
            }
        }
        let (fleet, terms) = (&self.fleet, self.fleet.terms());
        for (id, wanted) in all {
            let floor = if wanted.kind == Kind::RetryFloor { 1000 } else { fleet.floor_permille() };
            let mut share =
                Share::new(fleet.place(), fleet.life(), (wanted.whole, id), (terms, floor), self.started);
            share.set_whole(wanted.whole, wanted.hold);
            // As long as a use may last, where the file does not say.
            let mean = if wanted.hold > 0 { wanted.hold as f64 } else { terms.lease as f64 / 4.0 };
            let book = Book {
                wanted,
                share,
                ends: BTreeSet::new(),
                peak: 0,
                turned: 0,
                mean,
                need: 0.0,
                looked_at: now,
                gone_at: None,
                told: false,
            };
            self.books.insert(id, book);
        }
    }

    /// Takes one unit for at most so long, or tells in how many microseconds to come back.
    ///
    /// # Errors
    /// Where no unit is to be had that long.
    pub fn take(&mut self, now: Micros, id: BudgetId, lasting: Micros) -> Result<Option<Use>, Micros> {
        let Some(book) = self.books.get_mut(&id) else { return Ok(None) };
        book.sweep(now);
        book.tell();
        let hold = book.share.hold(now);
        // Over by any clock, so that a rate is kept by true time, too.
        let lasting = if hold > 0 { self.fleet.terms().given_for(hold) } else { lasting };
        let ground = self.fleet.ground();
        if !book.share.admits(ground, now, lasting) {
            book.turned += 1;
            let usable = book.share.usable(ground, now).max(1);
            return Err(book.share.back_in(ground, now).max((book.mean / usable as f64) as Micros));
        }
        self.number += 1;
        let until = now + lasting;
        book.ends.insert((until, self.number));
        book.tell();
        Ok(Some(Use { budget: id, until, number: self.number, since: now }))
    }

    /// A use is over.
    pub fn give_back(&mut self, now: Micros, used: Use) {
        let Some(book) = self.books.get_mut(&used.budget) else { return };
        // What a rate lent to a job comes back with time alone.
        if book.wanted.hold == 0 && book.ends.remove(&(used.until, used.number)) {
            book.mean += HOLD_WEIGHT * (now.saturating_sub(used.since) as f64 - book.mean);
        }
        book.sweep(now);
        book.tell();
    }

    /// A use that was taken is not made after all.
    pub fn put_back(&mut self, used: Use) {
        if let Some(book) = self.books.get_mut(&used.budget) {
            book.ends.remove(&(used.until, used.number));
            book.tell();
        }
    }

    /// Units of its own that a budget has which is never lent; nothing in the time after a start in which an earlier life
    /// may have used them.
    pub fn floor(&self, now: Micros, id: BudgetId) -> u64 {
        let Some(book) = self.books.get(&id) else { return 0 };
        let (me, members) = self.fleet.place();
        if now < self.started + self.fleet.terms().given_for(book.wanted.hold) {
            return 0;
        }
        floor(base(book.share.whole(now), members, me, id), 1000)
    }

    /// Takes a word in, and appends what is answered.
    pub fn hear(
        &mut self,
        now: Micros,
        (from, life): (Member, Life),
        word: Word,
        out: &mut Vec<(Member, Word)>,
    ) {
        self.fleet.note(now, from, life);
        match word {
            Word::Claim(claim) => {
                out.extend(self.fleet.claimed(now, (from, life), claim).map(|vote| (from, Word::Vote(vote))));
            }
            Word::Vote(vote) => out.extend(words(self.fleet.voted(now, from, vote))),
            Word::Ask(id, ask) => {
                let leaving = self.fleet.is_leaving();
                let Some(book) = self.books.get_mut(&id) else { return };
                // Who leaves, or has no such budget any more, lends nothing new.
                if leaving || book.gone_at.is_some() || book.wanted.kind == Kind::RetryFloor {
                    return;
                }
                book.sweep(now);
                book.tell();
                let ground = self.fleet.ground();
                let grant = book.share.asked(ground, now, from, ask);
                out.extend(grant.map(|grant| (from, Word::Grant(id, grant))));
            }
            Word::Grant(id, grant) => {
                if let Some(book) = self.books.get_mut(&id) {
                    book.share.granted(now, from, grant);
                }
            }
        }
    }

    /// What is due by now; to be called each [`Terms::ask_every`] or so.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(Member, Word)>) {
        let claims = self.fleet.tick(now);
        out.extend(words(claims));
        let terms = self.fleet.terms();
        let lapse = terms.lender_term();
        self.books.retain(|_, book| {
            book.gone_at.is_none_or(|at| now < at + lapse + terms.given_for(book.wanted.hold))
        });
        for (&id, book) in &mut self.books {
            book.sweep(now);
            book.look(now, &terms);
            if self.fleet.is_leaving() || book.gone_at.is_some() {
                book.need = 0.0;
            }
            book.tell();
            let whole = book.share.whole(now);
            if whole < book.wanted.whole && !book.told {
                book.told = true;
                let (place, kind, own) = (&book.wanted.place, book.wanted.kind.word(), book.wanted.whole);
                self.lines.push(format!("budget {place}.{kind}: another planner's file says {whole}, this one's {own}; the lower holds"));
            }
            if book.wanted.kind != Kind::RetryFloor {
                let ground = self.fleet.ground();
                let asks = book.share.tick(ground, now);
                out.extend(asks.into_iter().map(|(to, ask)| (to, Word::Ask(id, ask))));
            }
        }
        for slot in self.fleet.giving() {
            let ground = self.fleet.ground();
            if self.books.values().all(|book| book.share.spares(ground, now, slot)) {
                let claims = self.fleet.give_back(now, slot);
                out.extend(words(claims));
            }
        }
    }

    /// The planner is about to stop: from now on it claims, asks and lends nothing, and gives back what it can.
    pub fn leave(&mut self) {
        self.fleet.leave();
    }

    /// Lines for the log since the last call.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// Units that may be in use here now.
    pub fn usable(&self, now: Micros, id: BudgetId) -> u64 {
        let Some(book) = self.books.get(&id) else { return 0 };
        if book.wanted.kind == Kind::RetryFloor {
            return self.floor(now, id);
        }
        let ground = self.fleet.ground();
        book.share.usable(ground, now)
    }

    /// All budgets as they stand.
    pub fn states(&self, now: Micros) -> Vec<State> {
        let state = |(&id, book): (&BudgetId, &Book)| State {
            place: book.wanted.place.clone(),
            kind: book.wanted.kind,
            whole: (book.wanted.whole, book.share.whole(now)),
            usable: self.usable(now, id),
            used: book.ends.iter().filter(|(end, _)| *end > now).count() as u64,
            demand: book.need.ceil() as u64,
        };
        self.books.iter().filter(|(_, book)| book.gone_at.is_none()).map(state).collect()
    }
}

fn words(claims: Vec<(Member, Claim)>) -> impl Iterator<Item = (Member, Word)> {
    claims.into_iter().map(|(to, claim)| (to, Word::Claim(claim)))
}
