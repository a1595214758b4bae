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
//! - Gauges are kept for places in the file, and for those gone from it only while jobs hold them.

pub mod explain;
mod file;
mod gauges;
mod model;
mod table;

pub use file::{read, Context};
pub use gauges::{Budget, Rate};
pub use model::{Figures, Front, Matching, Model, Pattern, Route, SecondCopy};
pub use table::{resolve_chain, Chain, Origin, Resolved, Subject, Table};

use crate::placer::{Seconds, Settings};
use gauges::{FlightGauge, RateGauge, TriesGauge};
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
}

impl Limits {
    /// No file: the settings alone. `classes` are the names of the classes, in their order.
    pub fn new(settings: &Settings, classes: Vec<String>) -> Limits {
        let table = Arc::new(Table::new(Model::default(), settings, None));
        let (gauges, free, by_name, slots) = Default::default();
        Limits { table, gauges, free, by_name, slots, classes: classes.into() }
    }

    /// The file in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Gauges that are kept, also for places that are gone.
    pub fn kept(&self) -> usize {
        self.gauges.len() - self.free.len()
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
    pub fn swap(&mut self, table: Arc<Table>) {
        let mut names = std::mem::take(&mut self.by_name);
        let places = 1 + self.classes.len() + table.model().routes.len();
        self.slots = vec![None; places];
        for origin in table.counted() {
            let name: Arc<str> = origin.name(table.model(), &self.classes).into();
            let slot = names.remove(&name).unwrap_or_else(|| self.book(name.clone()));
            let at = self.index(origin);
            self.slots[at] = Some(slot);
            self.by_name.insert(name, slot);
        }
        for slot in names.into_values() {
            if let Some(gauge) = self.gauges[slot].as_mut() {
                gauge.name = None;
            }
            self.let_go(slot);
        }
        self.table = table;
    }

    fn book(&mut self, name: Arc<str>) -> usize {
        let (rate, flight, tries) = Default::default();
        let gauge = Some(Gauge { name: Some(name), rate, flight, tries, held: 0 });
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

    /// Takes a job in, or turns it away: a place in flight first, as it is given back where the rate says no.
    pub fn admit(&mut self, now: Seconds, of: &Resolved) -> Result<Option<Ticket>, Turned> {
        if of.is_uncounted() {
            return Ok(None);
        }
        let flight = of.in_flight.and_then(|(origin, most)| Some((self.slot(origin)?, most)));
        if let Some((slot, most)) = flight {
            let taken = self.gauge(slot).map_or(Ok(()), |g| g.flight.take(now, most));
            taken.map_err(|retry_in_s| Turned { why: Why::InFlight, retry_in_s })?;
        }
        if let Some((slot, rate)) = of.rate.and_then(|(origin, rate)| Some((self.slot(origin)?, rate))) {
            let taken = self.gauge(slot).map_or(Ok(()), |g| g.rate.take(now, rate));
            if let Err(retry_in_s) = taken {
                if let Some(gauge) = flight.and_then(|(slot, _)| self.gauge(slot)) {
                    gauge.flight.put_back();
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
        Ok(Some(Ticket { since: now, flight, budget }))
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
        let Some((slot, budget)) = ticket.budget else { return Ok(()) };
        let Some(gauge) = self.gauge(slot) else { return Ok(()) };
        if how(&mut gauge.tries, now, budget) {
            return Ok(());
        }
        Err(Turned { why: Why::RetryBudget, retry_in_s: gauge.tries.away(now, budget) })
    }

    /// A job has its final answer.
    pub fn over(&mut self, now: Seconds, ticket: Ticket) {
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
