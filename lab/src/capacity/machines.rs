//! Costs of one planner as its machines grow: at rest, for each request, and at its start. The three slopes
//! come from the same runs.

use super::bench::{Bench, BenchSetup, LoadResult, Started, Window};
use super::figures::Figures;
use super::record::Slope;
use super::slopes::Options;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// Description of the simulated part, for all slopes of this module.
const SIMULATED: &str =
    "machines and machine list: one process, which answers as the stand-in machine does after 5 ms; bytes \
                      are those of messages, without headers of the network";

/// The slopes of this module.
pub const NAMES: &[&str] = &["rest-machines", "ask-machines", "restart-machines"];

/// The slope with the resource limits of today's planners.
pub const TODAY: &[&str] = &["rest-machines-1024"];

const SIZES: &[usize] = &[20, 400, 1_000, 4_000, 10_000, 18_000];
const SHORT_SIZES: &[usize] = &[20, 100, 200, 400, 800];
/// Requests per second: the usual rate, and the lower rate that is also measured if the planner does not keep
/// up with the usual one.
const RATES: (f64, f64) = (200.0, 50.0);
/// Time for which requests are sent at each rate.
const SPAN: Duration = Duration::from_secs(3);
/// Rate in requests per second, and time, of the warm-up: afterwards the planner knows all services and
/// clients.
const WARM_UP: (f64, Duration) = (50.0, Duration::from_secs(1));

/// Sizes that are measured with today's limits.
const TODAY_SIZES: &[usize] = &[20, 400, 1_000, 4_000, 10_000];
/// Today's limits: file descriptors, and megabytes of memory.
const TODAY_LIMITS: (u32, f64) = (1_024, 192.0);

/// Measurements of one run.
struct Run {
    started: Started,
    rest: Window,
    /// Results at the usual rate, and at the lower one if the planner did not keep up.
    load: (LoadResult, Option<LoadResult>),
}

fn measure_one(options: &Options, machines: usize) -> io::Result<Run> {
    let bench = Bench::start(options, BenchSetup::of(machines))?;
    let started = bench.wait_for_connections()?;
    let rest = bench.rest()?;
    bench.ask(WARM_UP.0, WARM_UP.1, 0)?;
    let asks = bench.ask(RATES.0, SPAN, 1 << 32)?;
    let lower_rate = match asks.kept_up() {
        true => None,
        false => Some(bench.ask(RATES.1, SPAN, 2 << 32)?),
    };
    Ok(Run { started, rest, load: (asks, lower_rate) })
}

fn add_rest(figures: &mut Figures, size: f64, rest: &Window) {
    figures.measured("processor time at rest", "share of a core", size, rest.share());
    figures.measured("resident memory", "KiB", size, rest.resident_kib as f64);
    figures.measured("bytes in at rest", "bytes/s", size, rest.bytes_in());
    figures.measured("bytes out at rest", "bytes/s", size, rest.bytes_out());
    figures.measured("tests at rest", "messages/s", size, rest.rate(|counts| counts.checks));
    figures.measured("messages at rest", "messages/s", size, rest.rate(|counts| counts.messages()));
    figures.measured("dials at rest", "connections/s", size, rest.rate(|counts| counts.accepted));
    figures.measured("open connections", "count", size, rest.open() as f64);
}

fn add_start(figures: &mut Figures, size: f64, started: &Started) {
    figures.measured("from start to ready", "ms", size, started.ready.as_secs_f64() * 1e3);
    figures.measured("from start to all machines reached", "ms", size, started.reached.as_secs_f64() * 1e3);
    figures.measured("processor time of the start", "ms", size, started.processor.as_secs_f64() * 1e3);
    figures.measured("machines reached", "count", size, started.machines as f64);
}

/// Adds the figures that all slopes of requests share.
pub(super) fn add_load(figures: &mut Figures, size: f64, asks: &LoadResult, rest_share: f64) {
    figures.measured("processor time an ask, all in all", "ms", size, asks.processor_ms_per_request());
    figures.measured(
        "processor time an ask, without rest",
        "ms",
        size,
        asks.processor_ms_per_request_beyond_rest(rest_share),
    );
    figures.measured("answer, p50", "ms", size, asks.placed_ms(0.5));
    figures.measured("answer, p99", "ms", size, asks.placed_ms(0.99));
    figures.measured("asks", "count", size, asks.tally.requests as f64);
    figures.measured("answered", "count", size, asks.tally.answered() as f64);
    figures.measured("failed or unanswered", "count", size, asks.failed() as f64);
    figures.measured("share placed", "share", size, asks.placed_share());
    let requests = asks.tally.requests as f64;
    figures.measured("bytes from clients an ask", "bytes", size, asks.tally.bytes.0 as f64 / requests);
    figures.measured("bytes to clients an ask", "bytes", size, asks.tally.bytes.1 as f64 / requests);
    let per_ask = asks.window.seconds / requests;
    figures.measured("bytes to machines an ask", "bytes", size, asks.window.bytes_out() * per_ask);
    figures.measured("bytes from machines an ask", "bytes", size, asks.window.bytes_in() * per_ask);
}

/// Measures the three slopes.
///
/// # Errors
/// If a process cannot be started or has ended.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let (mut rest, mut ask, mut start) = (Figures::default(), Figures::default(), Figures::default());
    for (machines, runs) in options.runs(SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            let run = measure_one(options, machines)?;
            let (size, share) = (machines as f64, run.rest.share());
            add_rest(&mut rest, size, &run.rest);
            add_start(&mut start, size, &run.started);
            let (usual_rate, lower_rate) = &run.load;
            let kept_up = lower_rate.as_ref().unwrap_or(usual_rate);
            add_load(&mut ask, size, kept_up, share);
            ask.measured("asks a second", "asks/s", size, kept_up.rate);
            ask.measured("processor time at rest", "share of a core", size, share);
            ask.measured("answer at 200 a second, p99", "ms", size, usual_rate.placed_ms(0.99));
            ask.measured("failed at 200 a second", "count", size, usual_rate.failed() as f64);
            eprintln!(
                "capacity: {machines} machines, run {number} of {runs}: ready {:.2} s, {} reached after {:.2} s; at rest \
                 {:.2}% of a core, {} KiB, {:.0} B/s in, {:.0} B/s out; an ask {:.3} ms at {}/s, p99 {:.1} ms; at 200/s \
                 failed {}, p99 {:.1} ms",
                run.started.ready.as_secs_f64(),
                run.started.machines,
                run.started.reached.as_secs_f64(),
                share * 1e2,
                run.rest.resident_kib,
                run.rest.bytes_in(),
                run.rest.bytes_out(),
                kept_up.processor_ms_per_request_beyond_rest(share),
                kept_up.rate,
                kept_up.placed_ms(0.99),
                usual_rate.failed(),
                usual_rate.placed_ms(0.99),
            );
        }
    }
    Ok(slopes(options, [rest, ask, start]))
}

/// Measures a planner at rest with today's limits, with which it holds at most about 600 connections.
///
/// # Errors
/// If a process cannot be started or has ended.
pub fn measure_today(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    for (machines, runs) in options.runs(TODAY_SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            let (sockets, memory_mb) = TODAY_LIMITS;
            let bench = Bench::start(options, BenchSetup { sockets, memory_mb, ..BenchSetup::of(machines) })?;
            let started = bench.wait_for_connections()?;
            let rest = bench.rest()?;
            add_rest(&mut figures, machines as f64, &rest);
            add_start(&mut figures, machines as f64, &started);
            eprintln!(
                "capacity: {machines} machines, {sockets} descriptors, run {number} of {runs}: {} reached; at rest {:.2}% of \
                 a core, {} KiB, {} connections",
                started.machines,
                rest.share() * 1e2,
                rest.resident_kib,
                rest.open(),
            );
        }
    }
    let held = BTreeMap::from([
        ("planners".to_string(), 1.0),
        ("configured descriptors".to_string(), f64::from(TODAY_LIMITS.0)),
        ("configured memory, MB".to_string(), TODAY_LIMITS.1),
    ]);
    let question =
        "What a planner spends while no ask comes, against the machines in its list, with today's limits.";
    Ok(vec![slope(options, TODAY[0], question, held, figures)])
}

fn slope(
    options: &Options,
    name: &str,
    question: &str,
    held: BTreeMap<String, f64>,
    figures: Figures,
) -> Slope {
    Slope {
        name: name.into(),
        question: question.into(),
        size: "machines".into(),
        held,
        real: "the planner's process, its sockets, and the clients".into(),
        hollow: SIMULATED.into(),
        run: options.run.clone(),
        figures: figures.done(),
    }
}

fn slopes(options: &Options, figures: [Figures; 3]) -> Vec<Slope> {
    let questions = [
        "What a planner spends while no ask comes, against the machines in its list.",
        "What an ask costs a planner and how long its answer takes, against the machines in its list.",
        "How long a planner takes from its start until it listens and until it has reached its machines.",
    ];
    let setup = BenchSetup::of(0);
    let mut held = BTreeMap::from([
        ("planners".to_string(), 1.0),
        ("configured descriptors".to_string(), f64::from(setup.sockets)),
        ("configured memory, MB".to_string(), setup.memory_mb),
    ]);
    let mut all = Vec::new();
    for ((name, question), figures) in NAMES.iter().zip(questions).zip(figures) {
        if *name == "ask-machines" {
            held.insert("milliseconds of a task's life".to_string(), setup.plan.life_ms as f64);
        } else {
            held.remove("milliseconds of a task's life");
        }
        all.push(slope(options, name, question, held.clone(), figures));
    }
    all
}
