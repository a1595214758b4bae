//! The cost of admitting a request, as routes of the operators' file or tenants with quotas grow.

use super::count::{cost_of, require_counting_allocator, Cost};
use super::hollow_planner::{operators, settings};
use super::in_process_slope::{InProcessSlope, Sample};
use super::pick_machines::{placer, task};
use burlhook::decide::limits::{self, Context, Front, Limits, Subject, Table};
use burlhook::document::{self, Item, Sink, Text};
use burlhook::{vocabulary, Action, Event, RequestId, Room, Seconds, Settings, Tenant};
use std::io;
use std::sync::Arc;

/// Number of admissions that are measured.
const ADMISSIONS: usize = 2_000;
/// Number of picks for tenants that are measured.
const PICKS: usize = 200;
/// Number of machines for these picks.
const MACHINES: usize = 20;
/// Step from one route or tenant to the next, so that they are not visited in order.
const STRIDE: usize = 7_919;
/// Time between two requests.
const GAP_S: Seconds = 0.005;

/// Cost of an admission against the number of routes.
pub const ROUTES: InProcessSlope = InProcessSlope {
    name: "admission-routes",
    question: "What does it cost to admit a request, as routes with a rate and places in flight grow?",
    size: "routes",
    held: &[("services of a route", 1.0), ("requests in flight", 1.0)],
    real: "the limits (decide::limits): the route of a request, its rate, its place in flight, and giving that back",
    hollow: "no process, no sockets, no reducer; requests of all routes in turn on simulated time",
    sizes: &[10, 100, 720, 2_000, 5_000, 10_000],
    short: &[10, 100, 720],
    run: routes,
};

/// Cost of a pick for a tenant with a quota against the number of tenants.
pub const QUOTAS: InProcessSlope = InProcessSlope {
    name: "admission-quotas",
    question: "What does it cost to serve a request of a tenant, as tenants with quotas grow?",
    size: "tenants",
    held: &[("machines", MACHINES as f64)],
    real: "the placer, from the request to the pick of a machine, with the tenant's use booked",
    hollow: "no front: none fills in a task's tenant, so that the requests are made here",
    sizes: &[10, 100, 720, 2_000, 5_000, 10_000],
    short: &[10, 100, 720],
    run: quotas,
};

/// Limits with this many routes in force.
fn limits_of(routes: usize, settings: &Settings, classes: &[String]) -> io::Result<Limits> {
    let text = Text::new("operators.json5", operators::routes(routes));
    let root = document::parse(&text).map_err(|faults| io::Error::other(faults.lines().join("; ")))?;
    let sink = Sink::default();
    let zones = ["hall-a".to_string(), "hall-b".to_string()];
    let context = Context { settings, classes, zones: &zones, lease_s: None };
    let model = Item::root(&root, &sink)
        .section()
        .and_then(|section| section.get("limits"))
        .map(|item| limits::read(&item, context).0);
    let model = model
        .filter(|_| sink.count() == 0)
        .ok_or_else(|| io::Error::other("the generated operators' file has errors in its limits"))?;
    let mut limits = Limits::new(settings, classes.to_vec());
    limits.swap(0.0, Arc::new(Table::new(model, settings, None)));
    Ok(limits)
}

fn routes(routes: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let (settings, names) = vocabulary::settings(&settings()).map_err(io::Error::other)?;
    let classes = names.classes().to_vec();
    let (limits, in_force) = cost_of(|| limits_of(routes, &settings, &classes));
    let mut limits = limits?;
    let services: Vec<String> = (0..routes).map(operators::service).collect();
    let mut now = 1_000.0;
    let mut cost = Cost::default();
    for number in 0..2 * ADMISSIONS {
        now += GAP_S;
        let service = &services[number * STRIDE % routes];
        let room = Room { cores: 1.0, memory: 1.0 };
        let (admitted, admission_cost) = cost_of(|| admit(&mut limits, now, service, room));
        admitted?;
        // The first half is a warm-up, in which routes are visited for the first time.
        if number >= ADMISSIONS {
            cost.add(admission_cost);
        }
    }
    Ok(vec![
        Sample::count("allocations an admission", "count", cost.allocations_each(ADMISSIONS)),
        Sample::count("bytes allocated an admission", "bytes", cost.bytes_each(ADMISSIONS)),
        Sample::time("processor time an admission", "us", cost.microseconds_each(ADMISSIONS)),
        Sample::count("bytes of state", "bytes", in_force.allocated.held as f64),
    ])
}

fn admit(limits: &mut Limits, now: Seconds, service: &str, room: Room) -> io::Result<()> {
    let subject = Subject { front: Front::Platform, class: 0, service, room };
    let resolved = limits.resolve(&subject).ok_or_else(|| io::Error::other("no route matches"))?;
    let ticket = limits.admit(now, &resolved, now + 1.0);
    let ticket = ticket.map_err(|refusal| io::Error::other(format!("request not admitted: {refusal:?}")))?;
    let ticket = ticket
        .ok_or_else(|| io::Error::other("admission returned no ticket, although the route has limits"))?;
    limits.count_first_attempt(now, &ticket);
    limits.return_ticket(now, ticket);
    Ok(())
}

fn quotas(tenants: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let mut now = 1_000.0;
    let mut placer = placer(MACHINES, now, |settings| {
        settings.tenants = vec![Tenant { quota_cores: 50.0 }; tenants];
    })?;
    let (mut cost, mut actions) = (Cost::default(), Vec::with_capacity(16));
    for number in 0..2 * PICKS {
        now += GAP_S;
        let request = RequestId(number as u64 + 1);
        let mut task = task(now);
        task.tenant = Some(number * STRIDE % tenants);
        let (_, pick_cost) = cost_of(|| placer.handle(now, Event::Submitted { request, task }, &mut actions));
        if number >= PICKS {
            cost.add(pick_cost);
        }
        if !actions.drain(..).any(|action| matches!(action, Action::Bind { .. })) {
            return Err(io::Error::other("a pick found no machine"));
        }
        placer.handle(now, Event::Bound { request, attempt: 0, took_s: 0.0 }, &mut actions);
        placer.handle(now, Event::Ended(super::pick_machines::ended(request)), &mut actions);
        actions.clear();
    }
    Ok(vec![
        Sample::count("allocations a pick", "count", cost.allocations_each(PICKS)),
        Sample::time("processor time a pick", "us", cost.microseconds_each(PICKS)),
    ])
}
