//! The time until a new operators' file is in force, and its cost, as the file grows.

use super::bench::{Bench, BenchSetup};
use super::figures::Figures;
use super::record::Slope;
use super::slopes::Options;
use super::usage::Usage;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The slope of this module.
pub const NAMES: &[&str] = &["config-size"];

const SIZES: &[usize] = &[10, 100, 720, 2_000, 5_000, 10_000];
const SHORT_SIZES: &[usize] = &[10, 50, 100, 200, 720];
const MACHINES: usize = 20;
/// Wait after the signal before the first query of the limits in force, so that queries do not add to the
/// measured cost.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(1_000);
/// The longest wait for a file to come into force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// An operators' file with this many routes; its content differs between versions.
pub(super) fn file(routes: usize, version: usize) -> String {
    let mut text =
        String::from("{ rest: { listen: \"127.0.0.1:0\" }, limits: { default: { attempts: 4 }, routes: [\n");
    for route in 0..routes {
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "{{ name: \"team-{route}\", match: {{ service: \"team-{route}-*\" }}, inFlight: {}, ratePerS: 50, burst: 100 }},",
            100 + version
        );
    }
    text + "] } }\n"
}

/// A time in milliseconds of the Unix clock.
fn unix_ms(at: SystemTime) -> f64 {
    at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}

/// The limits in force, as a planner reports them.
pub(super) struct InForce {
    /// Number of files that came into force since the start.
    pub generation: u64,
    /// When the current limits came into force, in milliseconds of the Unix clock.
    pub since_ms: f64,
}

pub(super) fn in_force(bench: &Bench) -> io::Result<InForce> {
    let limits = bench.planner.get("/v1/limits")?;
    let since = limits["since"].as_str().and_then(|text| chrono::DateTime::parse_from_rfc3339(text).ok());
    let since_ms = since.map_or(f64::NAN, |time| time.timestamp_millis() as f64);
    Ok(InForce { generation: limits["generation"].as_u64().unwrap_or_default(), since_ms })
}

/// Measurements of one new file.
#[derive(Clone, Copy, Debug)]
struct Change {
    in_force_ms: f64,
    processor_ms: f64,
}

fn change(bench: &Bench, text: &str, generation: u64, rest_share: f64) -> io::Result<Change> {
    let (from, written, before) = (Instant::now(), SystemTime::now(), Usage::of(bench.planner.id())?);
    bench.planner.reload(text)?;
    let mut wait = FIRST_POLL_DELAY;
    loop {
        std::thread::sleep(wait);
        let after = Usage::of(bench.planner.id())?;
        let at_rest_ms = from.elapsed().as_secs_f64() * rest_share * 1e3;
        let now = in_force(bench)?;
        if now.generation >= generation {
            let processor_ms =
                after.processor.saturating_sub(before.processor).as_secs_f64() * 1e3 - at_rest_ms;
            return Ok(Change { in_force_ms: now.since_ms - unix_ms(written), processor_ms });
        }
        if from.elapsed() > IN_FORCE_TIMEOUT {
            return Err(io::Error::other("new operators' file was not in force within 20 s"));
        }
        wait *= 2;
    }
}

/// Measures the slope: one planner, to which files of all sizes are applied in turn.
///
/// # Errors
/// If a process cannot be started or has ended, or a file does not come into force.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    let setup = BenchSetup { operators: Some(file(1, 0)), ..BenchSetup::of(MACHINES) };
    let bench = Bench::start(options, setup)?;
    bench.wait_for_connections()?;
    let share = bench.rest()?.share();
    let mut generation = in_force(&bench)?.generation;
    let sizes = if options.short { SHORT_SIZES } else { SIZES };
    for number in 1..=options.repeats {
        for routes in sizes {
            let text = file(*routes, number);
            generation += 1;
            let Change { in_force_ms, processor_ms } = change(&bench, &text, generation, share)?;
            let size = *routes as f64;
            figures.measured("from write to in force", "ms", size, in_force_ms);
            figures.measured("processor time of a change", "ms", size, processor_ms);
            figures.counted("bytes of the file", "bytes", size, text.len() as f64);
            let resident_kib = Usage::of(bench.planner.id())?.resident_kib as f64;
            figures.measured("resident memory", "KiB", size, resident_kib);
            eprintln!(
                "capacity: {routes} routes, run {number} of {}: in force after {in_force_ms:.1} ms, {processor_ms:.1} ms of \
                 processor time",
                options.repeats
            );
        }
    }
    let held = BTreeMap::from([("planners".to_string(), 1.0), ("machines".to_string(), MACHINES as f64)]);
    Ok(vec![Slope {
        name: NAMES[0].into(),
        question: "How long a new operators' file takes from its write to in force, and what it costs, against its size."
            .into(),
        size: "routes".into(),
        held,
        real: "the planner's process, the file, the signal, and what its REST front tells".into(),
        hollow: "machines and machine list: one process; the time in force is the planner's own, to the millisecond".into(),
        run: options.run.clone(),
        figures: figures.done(),
    }])
}
