//! Limits per route or class: which route applies to a job, whether the job is admitted, whether a retry is
//! within budget, and after how long a rejected client should come back. The code is pure: it does no I/O,
//! and the caller passes the time in.
//!
//! An *entry* is one part of the limits file that can hold figures: `default`, one class, or one route.
//! Counts are kept per entry.
//!
//! Invariants, and the code or test that covers each:
//! - A job has the limits of the first route that matches, else of its class
//!   (`tests::an_index_finds_what_a_walk_finds`).
//! - A file only narrows the settings: it never allows more attempts, a longer window, or a second copy that
//!   the class's effects forbid (`file`, `tests::what_is_resolved_never_exceeds_the_settings`; the core
//!   checks it again).
//! - A rate admits at most `burst + rate × span` jobs in any span (`tests::a_rate_has_no_edge`).
//! - An in-flight slot is released exactly once, also across reloads of the file
//!   (`tests::gauges_outlive_their_file_only_as_needed`).
//! - Within ten seconds there are at most `floor + share × first attempts` retries
//!   (`tests::a_budget_bounds_a_storm`).
//! - The limits of an entry with `scope: "fleet"` are divided among the planners, and no planner uses more
//!   than it holds ([`crate::decide::budgets`]; `tests::a_shared_entry_admits_what_its_share_allows`).
//! - Gauges exist for the entries of the file in force; the gauges of removed entries are kept only while
//!   jobs hold them.

pub mod explain;
mod file;
mod gauges;
mod model;
mod table;

pub use file::{read, Context};
pub use gauges::{Budget, Rate};
pub use model::{Figures, Front, Matching, Model, Pattern, Route, Scope, SecondCopy};
pub use table::{resolve_chain, Chain, Origin, Resolved, Subject, Table};

use crate::decide::budgets::{BudgetId, BudgetLedger, BudgetSpec, Kind, Use};
use crate::decide::fleet::Micros;
use crate::placer::{Seconds, Settings};
use gauges::{FlightGauge, RateGauge, RetryGauge, BUDGET_SPAN_S};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The limit that rejected a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The rate of jobs is exceeded.
    Rate,
    /// The number of jobs in flight is at its limit.
    InFlight,
    /// The retry budget is used up.
    RetryBudget,
}

/// The rejection of a job by a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The limit that rejected it.
    pub why: Why,
    /// Seconds after which the client should try again.
    pub retry_in_s: Seconds,
}

/// The counters that an admitted job holds; returned with [`Limits::return_ticket`].
#[derive(Debug)]
pub struct Ticket {
    since: Seconds,
    flight: Option<usize>,
    budget: Option<(usize, Budget)>,
    /// The unit of the fleet's in-flight budget that the job uses.
    fleet_use: Option<Use>,
}

/// Seconds. The core answers every job at most this long after its deadline.
const ANSWER_MARGIN_S: Seconds = 0.1;

/// Converts a time or duration in seconds to the planner's microseconds; negative values become 0.
pub fn micros(at: Seconds) -> Micros {
    (at.max(0.0) * 1e6) as Micros
}

/// Converts a rate to a budget that can be divided among planners: the number of units, and the microseconds
/// for which a job holds one. There are as many units as the burst allows, or fewer, so that each is free
/// again within half a lease. Returns `None` if the rate is too low for even one unit.
pub fn shared_rate(rate: Rate, lease_s: Seconds) -> Option<(u64, Micros)> {
    let units = rate.burst.min(rate.per_s * lease_s / 2.0).floor();
    (units >= 1.0).then(|| (units as u64, micros(units / rate.per_s).max(1)))
}

/// The fleet-wide budgets of an entry.
#[derive(Clone, Copy, Debug, Default)]
struct FleetBudgets {
    flight: Option<BudgetId>,
    rate: Option<BudgetId>,
    floor: Option<BudgetId>,
}

/// The gauges of one entry.
#[derive(Debug)]
struct Gauge {
    /// The entry's name; `None` once the file in force has no such entry.
    name: Option<Arc<str>>,
    rate: RateGauge,
    flight: FlightGauge,
    tries: RetryGauge,
    /// Open tickets that refer to this gauge.
    tickets: usize,
    /// Those of its limits that are divided among the planners.
    fleet_budgets: FleetBudgets,
}

/// The current counts of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The entry's name.
    pub name: Arc<str>,
    /// Jobs in flight.
    pub in_flight: u32,
    /// First attempts in the last ten seconds.
    pub first_attempts: u32,
    /// Retries in the last ten seconds.
    pub retries: u32,
}

/// The limits in force and the counts against them.
#[derive(Debug)]
pub struct Limits {
    table: Arc<Table>,
    gauges: Vec<Option<Gauge>>,
    free: Vec<usize>,
    by_name: BTreeMap<Arc<str>, usize>,
    /// Index into `gauges` for each entry of the table in force: the default, then the classes, then the
    /// routes.
    gauge_indices: Vec<Option<usize>>,
    classes: Arc<[String]>,
    ledger: Option<BudgetLedger>,
}

impl Limits {
    /// Creates limits without a file: the settings alone apply. `classes` are the class names in the order of
    /// the settings.
    pub fn new(settings: &Settings, classes: Vec<String>) -> Limits {
        let table = Arc::new(Table::new(Model::default(), settings, None));
        let (gauges, free, by_name, gauge_indices) = Default::default();
        Limits { table, gauges, free, by_name, gauge_indices, classes: classes.into(), ledger: None }
    }

    /// The compiled file in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The number of gauges, including those of removed entries that jobs still hold.
    pub fn gauge_count(&self) -> usize {
        self.gauges.len() - self.free.len()
    }

    /// Joins a fleet; call this before the first [`Limits::swap`].
    pub fn join(&mut self, ledger: BudgetLedger) {
        self.ledger = Some(ledger);
    }

    /// The planner's ledger of the fleet's budgets, if it is part of a fleet.
    pub fn ledger(&mut self) -> Option<&mut BudgetLedger> {
        self.ledger.as_mut()
    }

    fn entry_index(&self, origin: Origin) -> usize {
        match origin {
            Origin::Default => 0,
            Origin::Class(at) => 1 + at,
            Origin::Route(at) => 1 + self.classes.len() + at,
        }
    }

    fn gauge_index(&self, origin: Origin) -> Option<usize> {
        self.gauge_indices.get(self.entry_index(origin)).copied().flatten()
    }

    /// Puts a file in force. Entries that the new file also has keep their counts; the other gauges are
    /// removed once no job holds them.
    pub fn swap(&mut self, now: Seconds, table: Arc<Table>) {
        let mut names = std::mem::take(&mut self.by_name);
        let entries = 1 + self.classes.len() + table.model().routes.len();
        self.gauge_indices = vec![None; entries];
        let mut wanted = Vec::new();
        for origin in table.counted_origins() {
            let name: Arc<str> = origin.name(table.model(), &self.classes).into();
            let fleet_budgets =
                table.figures(origin).map(|f| self.fleet_budgets(&name, f, &mut wanted)).unwrap_or_default();
            let gauge_index = names.remove(&name).unwrap_or_else(|| self.add_gauge(name.clone()));
            let at = self.entry_index(origin);
            self.gauge_indices[at] = Some(gauge_index);
            if let Some(gauge) = self.gauge(gauge_index) {
                gauge.fleet_budgets = fleet_budgets;
            }
            self.by_name.insert(name, gauge_index);
        }
        for gauge_index in names.into_values() {
            if let Some(gauge) = self.gauges[gauge_index].as_mut() {
                gauge.name = None;
            }
            self.remove_if_unused(gauge_index);
        }
        self.table = table;
        if let Some(ledger) = &mut self.ledger {
            ledger.set(micros(now), wanted);
        }
    }

    /// The budgets of an entry that are divided among the planners; adds each to `wanted`.
    fn fleet_budgets(
        &self,
        place: &Arc<str>,
        figures: &Figures,
        wanted: &mut Vec<BudgetSpec>,
    ) -> FleetBudgets {
        let Some(ledger) = self.ledger.as_ref().filter(|_| figures.is_shared()) else {
            return FleetBudgets::default();
        };
        let lease_s = ledger.fleet().terms().lease as f64 / 1e6;
        let mut want = |kind: Kind, total: u64, hold: Micros| {
            wanted.push(BudgetSpec { place: place.clone(), kind, total, hold });
            kind.id(place)
        };
        // A rate too low for the lease in force admits no job; reading the file reports this as a fault.
        let rate = figures.rate.map(|rate| shared_rate(rate, lease_s).unwrap_or((0, 1)));
        FleetBudgets {
            flight: figures.in_flight.map(|most| want(Kind::InFlight, u64::from(most), 0)),
            rate: rate.map(|(units, hold)| want(Kind::Rate, units, hold)),
            floor: figures
                .budget
                .map(|b| want(Kind::RetryFloor, u64::from(b.floor), micros(BUDGET_SPAN_S as f64))),
        }
    }

    fn add_gauge(&mut self, name: Arc<str>) -> usize {
        let (rate, flight, tries) = Default::default();
        let gauge = Some(Gauge {
            name: Some(name),
            rate,
            flight,
            tries,
            tickets: 0,
            fleet_budgets: FleetBudgets::default(),
        });
        match self.free.pop() {
            Some(gauge_index) => {
                debug_assert!(self.gauges[gauge_index].is_none(), "a free index holds no gauge");
                self.gauges[gauge_index] = gauge;
                gauge_index
            }
            None => {
                self.gauges.push(gauge);
                self.gauges.len() - 1
            }
        }
    }

    fn remove_if_unused(&mut self, gauge_index: usize) {
        if self.gauges[gauge_index].as_ref().is_some_and(|g| g.name.is_none() && g.tickets == 0) {
            self.gauges[gauge_index] = None;
            self.free.push(gauge_index);
        }
    }

    fn gauge(&mut self, gauge_index: usize) -> Option<&mut Gauge> {
        self.gauges.get_mut(gauge_index).and_then(Option::as_mut)
    }

    /// Finds the limits that apply to a job.
    pub fn resolve(&self, subject: &Subject<'_>) -> Option<Arc<Resolved>> {
        self.table.resolve(subject).cloned()
    }

    /// Admits a job that ends by `until`, or rejects it. The in-flight slot is taken before the rate is
    /// checked, because the slot can be returned if the rate rejects the job.
    ///
    /// # Errors
    /// The limit that rejects the job.
    pub fn admit(
        &mut self,
        now: Seconds,
        resolved: &Resolved,
        until: Seconds,
    ) -> Result<Option<Ticket>, Rejection> {
        if resolved.is_uncounted() {
            return Ok(None);
        }
        let flight = resolved.in_flight.and_then(|(origin, most)| Some((self.gauge_index(origin)?, most)));
        let fleet_use = match flight {
            Some((gauge_index, most)) => self.take_flight(now, gauge_index, most, until)?,
            None => None,
        };
        if let Some((gauge_index, rate)) =
            resolved.rate.and_then(|(origin, rate)| Some((self.gauge_index(origin)?, rate)))
        {
            if let Err(retry_in_s) = self.take_rate(now, gauge_index, rate) {
                if let Some(gauge) = flight.and_then(|(gauge_index, _)| self.gauge(gauge_index)) {
                    gauge.flight.put_back();
                }
                if let (Some(ledger), Some(fleet_use)) = (self.ledger.as_mut(), fleet_use) {
                    ledger.put_back(fleet_use);
                }
                return Err(Rejection { why: Why::Rate, retry_in_s });
            }
        }
        let budget = resolved.budget.and_then(|(origin, budget)| Some((self.gauge_index(origin)?, budget)));
        let flight = flight.map(|(gauge_index, _)| gauge_index);
        for gauge_index in flight.into_iter().chain(budget.map(|(gauge_index, _)| gauge_index)) {
            if let Some(gauge) = self.gauge(gauge_index) {
                gauge.tickets += 1;
            }
        }
        Ok(Some(Ticket { since: now, flight, budget, fleet_use }))
    }

    /// Takes a unit of one of the fleet's budgets for `lasting` seconds. If none is free, returns the seconds
    /// after which this planner may have one.
    fn take(&mut self, now: Seconds, id: BudgetId, lasting: Seconds) -> Result<Option<Use>, Seconds> {
        let Some(ledger) = self.ledger.as_mut() else { return Ok(None) };
        // Capped to a time longer than any lease, so that an infinite time can be converted.
        let lasting = micros(lasting.min(1e6));
        ledger.take(micros(now), id, lasting).map_err(|retry_after| retry_after as f64 / 1e6)
    }

    fn take_flight(
        &mut self,
        now: Seconds,
        gauge_index: usize,
        most: u32,
        until: Seconds,
    ) -> Result<Option<Use>, Rejection> {
        let rejection = |retry_in_s| Rejection { why: Why::InFlight, retry_in_s };
        let fleet_budget = self.gauge(gauge_index).and_then(|g| g.fleet_budgets.flight);
        let taken = fleet_budget.map(|id| self.take(now, id, until + ANSWER_MARGIN_S - now));
        let Some(gauge) = self.gauge(gauge_index) else { return Ok(None) };
        match taken {
            None => gauge.flight.take(now, most).map(|()| None).map_err(rejection),
            // Fleet-wide jobs are counted in the local gauge, too, so that readings show them.
            Some(Ok(fleet_use)) => gauge.flight.take(now, u32::MAX).map(|()| fleet_use).map_err(rejection),
            Some(Err(step)) => Err(rejection(gauge.flight.retry_after(now, step))),
        }
    }

    fn take_rate(&mut self, now: Seconds, gauge_index: usize, rate: Rate) -> Result<(), Seconds> {
        let fleet_budget = self.gauge(gauge_index).and_then(|g| g.fleet_budgets.rate);
        let taken = fleet_budget.map(|id| self.take(now, id, 0.0));
        let Some(gauge) = self.gauge(gauge_index) else { return Ok(()) };
        match taken {
            None => gauge.rate.take(now, rate),
            Some(Ok(_)) => Ok(()),
            Some(Err(step)) => Err(gauge.rate.retry_after(now, step)),
        }
    }

    /// Counts a job's first attempt.
    pub fn count_first_attempt(&mut self, now: Seconds, ticket: &Ticket) {
        if let Some(gauge) = ticket.budget.and_then(|(gauge_index, _)| self.gauge(gauge_index)) {
            gauge.tries.count_first(now);
        }
    }

    /// Checks whether a retry would be within the budget now, without counting it.
    pub fn can_retry(&mut self, now: Seconds, ticket: &Ticket) -> Result<(), Rejection> {
        self.check_budget(now, ticket, RetryGauge::can_retry)
    }

    /// Counts a retry that is about to be sent, or rejects it if the budget is used up.
    pub fn take_retry(&mut self, now: Seconds, ticket: &Ticket) -> Result<(), Rejection> {
        self.check_budget(now, ticket, RetryGauge::take_retry)
    }

    fn check_budget(
        &mut self,
        now: Seconds,
        ticket: &Ticket,
        check: fn(&mut RetryGauge, Seconds, Budget) -> bool,
    ) -> Result<(), Rejection> {
        let Some((gauge_index, mut budget)) = ticket.budget else { return Ok(()) };
        let fleet_budget = self.gauge(gauge_index).and_then(|g| g.fleet_budgets.floor);
        if let (Some(id), Some(ledger)) = (fleet_budget, &self.ledger) {
            // First attempts count towards the budget of the planner that makes them; only the floor is
            // divided.
            budget.floor = u32::try_from(ledger.floor(micros(now), id)).unwrap_or(u32::MAX);
        }
        let Some(gauge) = self.gauge(gauge_index) else { return Ok(()) };
        if check(&mut gauge.tries, now, budget) {
            return Ok(());
        }
        Err(Rejection { why: Why::RetryBudget, retry_in_s: gauge.tries.retry_after(now, budget) })
    }

    /// Returns a job's ticket once the job has its final answer.
    pub fn return_ticket(&mut self, now: Seconds, ticket: Ticket) {
        if let (Some(ledger), Some(fleet_use)) = (self.ledger.as_mut(), ticket.fleet_use) {
            ledger.give_back(micros(now), fleet_use);
        }
        if let Some(gauge) = ticket.flight.and_then(|gauge_index| self.gauge(gauge_index)) {
            gauge.flight.give_back(now - ticket.since);
        }
        for gauge_index in ticket.flight.into_iter().chain(ticket.budget.map(|(gauge_index, _)| gauge_index))
        {
            if let Some(gauge) = self.gauge(gauge_index) {
                debug_assert!(gauge.tickets > 0, "a ticket is returned once");
                gauge.tickets = gauge.tickets.saturating_sub(1);
            }
            self.remove_if_unused(gauge_index);
        }
    }

    /// The current counts of all entries of the file in force.
    pub fn readings(&mut self, now: Seconds) -> Vec<Reading> {
        let reading = |gauge: &mut Gauge| {
            let (first_attempts, retries) = gauge.tries.counts(now);
            let (name, in_flight) = (gauge.name.clone()?, gauge.flight.count());
            Some(Reading { name, in_flight, first_attempts, retries })
        };
        self.gauges.iter_mut().flatten().filter_map(reading).collect()
    }
}

#[cfg(test)]
pub(crate) mod tests;
