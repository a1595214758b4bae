//! Limits per route or class: which route a job takes, whether it is taken in, whether a further try is paid for, and
//! how long to stay away. Pure: time comes in, nothing goes out.
//!
//! What must hold, and what holds it:
//! - A job has the limits of the first route that matches, else of its class (`tests::an_index_finds_what_a_walk_finds`).
//! - A file only narrows the settings: never more attempts, a longer window or a copy that the class's effects forbid
//!   (`file`, `tests::what_is_resolved_never_exceeds_the_settings`, and the core's guards once more).
//! - A rate lets through at most `burst + rate × span` in any span (`tests::a_rate_has_no_edge`).
//! - A place in flight is given back once, whatever files came since (`tests::gauges_outlive_their_file_only_as_needed`).
//! - Further tries never exceed `floor + share × first tries` of ten seconds (`tests::a_budget_bounds_a_storm`).
//! - What a place with `scope: "fleet"` counts is divided among the planners, and none takes more than it holds
//!   ([`crate::decide::budgets`]; `tests::a_shared_place_takes_what_its_share_allows`).
//! - Gauges are kept for places in the file, and for those gone from it only while jobs hold them.

pub mod explain;
mod file;
mod gauges;
mod model;
mod table;

pub use file::{read, Context};
pub use gauges::{Budget, Rate};
pub use model::{Figures, Front, Matching, Model, Pattern, Route, Scope, SecondCopy};
pub use table::{resolve_chain, Chain, Origin, Resolved, Subject, Table};

use crate::decide::budgets::{Books, BudgetId, Kind, Use, Wanted};
use crate::decide::fleet::Micros;
use crate::placer::{Seconds, Settings};
use gauges::{FlightGauge, RateGauge, TriesGauge, BUDGET_SPAN};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The limit by which a job was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Too many came.
    Rate,
    /// Too many are in flight.
    InFlight,
    /// Further tries are spent.
    RetryBudget,
}

/// A job that is turned away by a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turned {
    /// Which limit.
    pub why: Why,
    /// Seconds after which to come back.
    pub retry_in_s: Seconds,
}

/// What a job that was taken in holds; given back by [`Limits::over`].
#[derive(Debug)]
pub struct Ticket {
    since: Seconds,
    flight: Option<usize>,
    budget: Option<(usize, Budget)>,
    /// Its unit of the fleet's jobs in flight.
    share: Option<Use>,
}

/// Seconds. A job is answered so long after its deadline at the latest, by the core's own guard.
const ANSWERED_WITHIN_S: Seconds = 0.1;

/// Microseconds of the planner's clock.
pub fn micros(at: Seconds) -> Micros {
    (at.max(0.0) * 1e6) as Micros
}

/// What a rate comes to where it is divided among planners under such a lease: units, and the microseconds that a job
/// holds one. The burst is the units, or fewer, so that each is free again within half a lease; nothing where not even one
/// is.
pub fn shared_rate(rate: Rate, lease_s: Seconds) -> Option<(u64, Micros)> {
    let units = rate.burst.min(rate.per_s * lease_s / 2.0).floor();
    (units >= 1.0).then(|| (units as u64, micros(units / rate.per_s).max(1)))
}

/// The fleet's budgets at a place.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    flight: Option<BudgetId>,
    rate: Option<BudgetId>,
    floor: Option<BudgetId>,
}

/// The gauges of one place.
#[derive(Debug)]
struct Gauge {
    /// The place by name, where a file in force names it.
    name: Option<Arc<str>>,
    rate: RateGauge,
    flight: FlightGauge,
    tries: TriesGauge,
    /// Tickets that name it.
    held: usize,
    /// What of it is divided among the planners.
    shares: Shares,
}

/// A place's gauges as they stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The place.
    pub name: Arc<str>,
    /// Jobs in flight.
    pub in_flight: u32,
    /// First tries of the last ten seconds.
    pub first_tries: u32,
    /// Further tries of the last ten seconds.
    pub further_tries: u32,
}

/// The limits in force and what is counted against them.
#[derive(Debug)]
pub struct Limits {
    table: Arc<Table>,
    gauges: Vec<Option<Gauge>>,
    free: Vec<usize>,
    by_name: BTreeMap<Arc<str>, usize>,
    /// Gauges by place of the table in force: the default's, the classes', the routes'.
    slots: Vec<Option<usize>>,
    classes: Arc<[String]>,
    books: Option<Books>,
}

impl Limits {
    /// No file: the settings alone. `classes` are the names of the classes, in their order.
    pub fn new(settings: &Settings, classes: Vec<String>) -> Limits {
        let table = Arc::new(Table::new(Model::default(), settings, None));
        let (gauges, free, by_name, slots) = Default::default();
        Limits { table, gauges, free, by_name, slots, classes: classes.into(), books: None }
    }

    /// The file in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Gauges that are kept, also for places that are gone.
    pub fn kept(&self) -> usize {
        self.gauges.len() - self.free.len()
    }

    /// Takes part in a fleet; to be told before the first file.
    pub fn join(&mut self, books: Books) {
        self.books = Some(books);
    }

    /// The planner's part in its fleet, where it is in one.
    pub fn books(&mut self) -> Option<&mut Books> {
        self.books.as_mut()
    }

    fn index(&self, origin: Origin) -> usize {
        match origin {
            Origin::Default => 0,
            Origin::Class(at) => 1 + at,
            Origin::Route(at) => 1 + self.classes.len() + at,
        }
    }

    fn slot(&self, origin: Origin) -> Option<usize> {
        self.slots.get(self.index(origin)).copied().flatten()
    }

    /// Puts a file in force. What is counted at places that it names goes on; the rest is let go once no job holds it.
    pub fn swap(&mut self, now: Seconds, table: Arc<Table>) {
        let mut names = std::mem::take(&mut self.by_name);
        let places = 1 + self.classes.len() + table.model().routes.len();
        self.slots = vec![None; places];
        let mut wanted = Vec::new();
        for origin in table.counted() {
            let name: Arc<str> = origin.name(table.model(), &self.classes).into();
            let shares =
                table.figures(origin).map(|f| self.shares(&name, f, &mut wanted)).unwrap_or_default();
            let slot = names.remove(&name).unwrap_or_else(|| self.book(name.clone()));
            let at = self.index(origin);
            self.slots[at] = Some(slot);
            if let Some(gauge) = self.gauge(slot) {
                gauge.shares = shares;
            }
            self.by_name.insert(name, slot);
        }
        for slot in names.into_values() {
            if let Some(gauge) = self.gauges[slot].as_mut() {
                gauge.name = None;
            }
            self.let_go(slot);
        }
        self.table = table;
        if let Some(books) = &mut self.books {
            books.set(micros(now), wanted);
        }
    }

    /// The budgets that a place divides among the planners.
    fn shares(&self, place: &Arc<str>, figures: &Figures, wanted: &mut Vec<Wanted>) -> Shares {
        let Some(books) = self.books.as_ref().filter(|_| figures.is_shared()) else {
            return Shares::default();
        };
        let lease_s = books.fleet().terms().lease as f64 / 1e6;
        let mut want = |kind: Kind, whole: u64, hold: Micros| {
            wanted.push(Wanted { place: place.clone(), kind, whole, hold });
            kind.id(place)
        };
        // A rate too slow for the lease in force is let through nowhere; the file's reader tells of it.
        let rate = figures.rate.map(|rate| shared_rate(rate, lease_s).unwrap_or((0, 1)));
        Shares {
            flight: figures.in_flight.map(|most| want(Kind::InFlight, u64::from(most), 0)),
            rate: rate.map(|(units, hold)| want(Kind::Rate, units, hold)),
            floor: figures
                .budget
                .map(|b| want(Kind::RetryFloor, u64::from(b.floor), micros(BUDGET_SPAN as f64))),
        }
    }

    fn book(&mut self, name: Arc<str>) -> usize {
        let (rate, flight, tries) = Default::default();
        let gauge = Some(Gauge { name: Some(name), rate, flight, tries, held: 0, shares: Shares::default() });
        match self.free.pop() {
            Some(slot) => {
                debug_assert!(self.gauges[slot].is_none(), "a free slot holds nothing");
                self.gauges[slot] = gauge;
                slot
            }
            None => {
                self.gauges.push(gauge);
                self.gauges.len() - 1
            }
        }
    }

    fn let_go(&mut self, slot: usize) {
        if self.gauges[slot].as_ref().is_some_and(|g| g.name.is_none() && g.held == 0) {
            self.gauges[slot] = None;
            self.free.push(slot);
        }
    }

    fn gauge(&mut self, slot: usize) -> Option<&mut Gauge> {
        self.gauges.get_mut(slot).and_then(Option::as_mut)
    }

    /// The limits of a job.
    pub fn resolve(&self, subject: &Subject<'_>) -> Option<Arc<Resolved>> {
        self.table.resolve(subject).cloned()
    }

    /// Takes a job in that is over by then, or turns it away: a place in flight first, as it is given back where the rate
    /// says no.
    ///
    /// # Errors
    /// The limit that turns it away.
    pub fn admit(&mut self, now: Seconds, of: &Resolved, until: Seconds) -> Result<Option<Ticket>, Turned> {
        if of.is_uncounted() {
            return Ok(None);
        }
        let flight = of.in_flight.and_then(|(origin, most)| Some((self.slot(origin)?, most)));
        let share = match flight {
            Some((slot, most)) => self.take_flight(now, slot, most, until)?,
            None => None,
        };
        if let Some((slot, rate)) = of.rate.and_then(|(origin, rate)| Some((self.slot(origin)?, rate))) {
            if let Err(retry_in_s) = self.take_rate(now, slot, rate) {
                if let Some(gauge) = flight.and_then(|(slot, _)| self.gauge(slot)) {
                    gauge.flight.put_back();
                }
                if let (Some(books), Some(share)) = (self.books.as_mut(), share) {
                    books.put_back(share);
                }
                return Err(Turned { why: Why::Rate, retry_in_s });
            }
        }
        let budget = of.budget.and_then(|(origin, budget)| Some((self.slot(origin)?, budget)));
        let flight = flight.map(|(slot, _)| slot);
        for slot in flight.into_iter().chain(budget.map(|(slot, _)| slot)) {
            if let Some(gauge) = self.gauge(slot) {
                gauge.held += 1;
            }
        }
        Ok(Some(Ticket { since: now, flight, budget, share }))
    }

    /// A unit of one of the fleet's budgets for so long, or the seconds after which one may come free here.
    fn take(&mut self, now: Seconds, id: BudgetId, lasting: Seconds) -> Result<Option<Use>, Seconds> {
        let Some(books) = self.books.as_mut() else { return Ok(None) };
        // No lease lasts as long.
        let lasting = micros(lasting.min(1e6));
        books.take(micros(now), id, lasting).map_err(|away| away as f64 / 1e6)
    }

    fn take_flight(
        &mut self,
        now: Seconds,
        slot: usize,
        most: u32,
        until: Seconds,
    ) -> Result<Option<Use>, Turned> {
        let turned = |retry_in_s| Turned { why: Why::InFlight, retry_in_s };
        let shared = self.gauge(slot).and_then(|g| g.shares.flight);
        let taken = shared.map(|id| self.take(now, id, until + ANSWERED_WITHIN_S - now));
        let Some(gauge) = self.gauge(slot) else { return Ok(None) };
        match taken {
            None => gauge.flight.take(now, most).map(|()| None).map_err(turned),
            // What is divided is counted here, too, for those who look.
            Some(Ok(share)) => gauge.flight.take(now, u32::MAX).map(|()| share).map_err(turned),
            Some(Err(step)) => Err(turned(gauge.flight.away(now, step))),
        }
    }

    fn take_rate(&mut self, now: Seconds, slot: usize, rate: Rate) -> Result<(), Seconds> {
        let shared = self.gauge(slot).and_then(|g| g.shares.rate);
        let taken = shared.map(|id| self.take(now, id, 0.0));
        let Some(gauge) = self.gauge(slot) else { return Ok(()) };
        match taken {
            None => gauge.rate.take(now, rate),
            Some(Ok(_)) => Ok(()),
            Some(Err(step)) => Err(gauge.rate.away(now, step)),
        }
    }

    /// A first try goes out.
    pub fn first_try(&mut self, now: Seconds, ticket: &Ticket) {
        if let Some(gauge) = ticket.budget.and_then(|(slot, _)| self.gauge(slot)) {
            gauge.tries.first(now);
        }
    }

    /// Whether a further try would be paid for now; nothing is counted.
    pub fn affords(&mut self, now: Seconds, ticket: &Ticket) -> Result<(), Turned> {
        self.pay(now, ticket, TriesGauge::affords)
    }

    /// A further try is to go out: counts it, or tells that it is not paid for.
    pub fn further_try(&mut self, now: Seconds, ticket: &Ticket) -> Result<(), Turned> {
        self.pay(now, ticket, TriesGauge::further)
    }

    fn pay(
        &mut self,
        now: Seconds,
        ticket: &Ticket,
        how: fn(&mut TriesGauge, Seconds, Budget) -> bool,
    ) -> Result<(), Turned> {
        let Some((slot, mut budget)) = ticket.budget else { return Ok(()) };
        let shared = self.gauge(slot).and_then(|g| g.shares.floor);
        if let (Some(id), Some(books)) = (shared, &self.books) {
            // First tries pay at the planner that makes them; what nobody pays for is divided.
            budget.floor = u32::try_from(books.floor(micros(now), id)).unwrap_or(u32::MAX);
        }
        let Some(gauge) = self.gauge(slot) else { return Ok(()) };
        if how(&mut gauge.tries, now, budget) {
            return Ok(());
        }
        Err(Turned { why: Why::RetryBudget, retry_in_s: gauge.tries.away(now, budget) })
    }

    /// A job has its final answer.
    pub fn over(&mut self, now: Seconds, ticket: Ticket) {
        if let (Some(books), Some(share)) = (self.books.as_mut(), ticket.share) {
            books.give_back(micros(now), share);
        }
        if let Some(gauge) = ticket.flight.and_then(|slot| self.gauge(slot)) {
            gauge.flight.give_back(now - ticket.since);
        }
        for slot in ticket.flight.into_iter().chain(ticket.budget.map(|(slot, _)| slot)) {
            if let Some(gauge) = self.gauge(slot) {
                debug_assert!(gauge.held > 0, "a ticket is given back once");
                gauge.held = gauge.held.saturating_sub(1);
            }
            self.let_go(slot);
        }
    }

    /// What is counted now, by place.
    pub fn readings(&mut self, now: Seconds) -> Vec<Reading> {
        let reading = |gauge: &mut Gauge| {
            let (first_tries, further_tries) = gauge.tries.counts(now);
            let (name, in_flight) = (gauge.name.clone()?, gauge.flight.count());
            Some(Reading { name, in_flight, first_tries, further_tries })
        };
        self.gauges.iter_mut().flatten().filter_map(reading).collect()
    }
}

#[cfg(test)]
pub(crate) mod tests;
