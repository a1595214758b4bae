//! The number of machines that a pick examines, and the cost of a pick and of a whole request, as machines
//! grow.

use super::count::{cost_of, require_counting_allocator, Cost};
use super::hollow_planner::{set_up, settings, HollowPlanner, Request};
use super::in_process_slope::{InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT};
use burlhook::{
    vocabulary, Action, CellId, Entry, Event, ListKind, MachineId, MachineKey, Placer, RequestId, Room,
    Seconds, ServiceId, Settings, Standing, Task, TaskLimits, ZoneId,
};
use std::io;

/// Number of picks and requests before the measured ones, so that buffers have reached their size.
const WARM_UP: usize = 40;
/// Number of picks and requests that are measured.
const MEASURED: usize = 100;
/// Time between two requests: 200 per second.
const GAP_S: Seconds = 0.005;
/// Cores, and units of memory, of each request.
const ROOM: f64 = 0.5;

/// The slope.
pub const SLOPE: InProcessSlope = InProcessSlope {
    name: "pick-machines",
    question: "What does it cost a planner to pick a machine, and to serve a whole ask, as machines grow?",
    size: "machines",
    held: &[("asks a second", 200.0), ("kinds", 1.0), ("zones", 2.0), ("services", 1.0)],
    real: "the placer for a pick; the reducer, the deciders and the codecs for an ask, from the request's bytes to the \
           release's",
    hollow: "no process and no sockets; machines on simulated time answer at once; a task ends before the next ask",
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run,
};

fn run(machines: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let (machines_examined, pick) = picks(machines)?;
    let ask = asks(machines)?;
    Ok(vec![
        Sample::count("machines looked at a pick", "count", machines_examined as f64 / MEASURED as f64),
        Sample::count("allocations a pick", "count", pick.allocations_each(MEASURED)),
        Sample::count("bytes allocated a pick", "bytes", pick.bytes_each(MEASURED)),
        Sample::time("processor time a pick", "us", pick.microseconds_each(MEASURED)),
        Sample::count("allocations an ask", "count", ask.allocations_each(MEASURED)),
        Sample::count("bytes allocated an ask", "bytes", ask.bytes_each(MEASURED)),
        Sample::time("processor time an ask", "us", ask.microseconds_each(MEASURED)),
    ])
}

/// A placer with this many machines, all of them free. `change` adjusts the settings.
///
/// # Errors
/// If it cannot be started.
pub fn placer(machines: usize, now: Seconds, change: impl FnOnce(&mut Settings)) -> io::Result<Placer> {
    let (mut settings, _) = vocabulary::settings(&settings()).map_err(io::Error::other)?;
    change(&mut settings);
    let mut placer = Placer::new(settings, 1).map_err(io::Error::other)?;
    let entry = |machine: usize| Entry {
        machine: MachineId(machine as u32),
        key: MachineKey(machine as u64),
        zone: ZoneId(machine as u32 % 2),
        cell: CellId(machine as u64 / 4),
        kind: Some(0),
        standing: Standing::Ready,
        free: Room { cores: 40.0, memory: 80.0 },
        started: 0.0,
    };
    let entries = (0..machines).map(entry).collect();
    placer.handle(now, Event::List { kind: ListKind::Whole, entries }, &mut Vec::new());
    Ok(placer)
}

/// A task of the first class that may run on any machine.
pub fn task(now: Seconds) -> Task {
    Task {
        class: 0,
        tenant: None,
        service: ServiceId(7),
        room: Room { cores: ROOM, memory: ROOM },
        deadline: now + 5.0,
        expected_runtime_s: None,
        limits: TaskLimits::default(),
    }
}

fn picks(machines: usize) -> io::Result<(u64, Cost)> {
    let mut now = 1_000.0;
    let mut placer = placer(machines, now, |_| {})?;
    let (mut cost, mut machines_examined, mut actions) = (Cost::default(), 0, Vec::with_capacity(16));
    for number in 0..WARM_UP + MEASURED {
        now += GAP_S;
        let (request, task) = (RequestId(number as u64 + 1), task(now));
        let before = placer.machines_examined;
        let (_, pick_cost) = cost_of(|| placer.handle(now, Event::Submitted { request, task }, &mut actions));
        if number >= WARM_UP {
            cost.add(pick_cost);
            machines_examined += placer.machines_examined - before;
        }
        let bound = actions.drain(..).any(|action| matches!(action, Action::Bind { .. }));
        if !bound {
            return Err(io::Error::other("a pick found no machine"));
        }
        placer.handle(now, Event::Bound { request, attempt: 0, took_s: 0.0 }, &mut actions);
        placer.handle(now, Event::Ended(ended(request)), &mut actions);
        actions.clear();
    }
    Ok((machines_examined, cost))
}

/// The event that a task has run and ended.
pub fn ended(request: RequestId) -> burlhook::End {
    let (outcome, reason) = (burlhook::Outcome::Ok, burlhook::Reason::Unknown);
    burlhook::End { request, attempt: 0, outcome, reason, finished: true, last: false, report: None }
}

fn asks(machines: usize) -> io::Result<Cost> {
    let mut hollow = HollowPlanner::with_machines(machines)?;
    for number in 0..WARM_UP + MEASURED {
        if number == WARM_UP {
            hollow.take_cost();
        }
        hollow.advance(GAP_S)?;
        let id = hollow.next_request();
        let message = set_up(&Request { id, service: 7, cores: ROOM, at: None });
        hollow.request(&message)?;
        let Some(machine) = hollow.placed_at.take() else {
            return Err(io::Error::other("a request was not placed"));
        };
        hollow.end(machine, id)?;
    }
    Ok(hollow.take_cost())
}
