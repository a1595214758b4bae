//! The cost of new operators' files, as their rate grows.

use super::bench::{Bench, BenchSetup};
use super::config_size::{file, in_force};
use super::figures::Figures;
use super::record::Slope;
use super::slopes::Options;
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The slope of this module.
pub const NAMES: &[&str] = &["config-rate"];

/// Changes per 1,000 seconds.
const RATES: &[u64] = &[100, 200, 400, 720, 1_500];
const ROUTES: usize = 720;
const MACHINES: usize = 20;
/// The least time over which changes are made; at low rates it is long enough for one change.
const SPAN: Duration = Duration::from_secs(5);
/// The same for short runs.
const SHORT_SPAN: Duration = Duration::from_secs(2);
/// Short runs multiply the rates by this.
const SHORT_FACTOR: u64 = 10;

/// Measurements at one rate.
struct ChangeCosts {
    changes: u64,
    /// Time from the last write of a file until it is in force.
    in_force_ms: f64,
    /// Processor time as a share of one core.
    share: f64,
}

/// The time between two changes.
fn interval(per_ks: u64) -> Duration {
    Duration::from_secs_f64(1e3 / per_ks as f64)
}

fn measure_one(bench: &Bench, per_ks: u64, span: Duration, version: &mut usize) -> io::Result<ChangeCosts> {
    let generation = in_force(bench)?.generation;
    let interval = interval(per_ks);
    let mut last = SystemTime::now();
    let mut changes = 0;
    let ((), window) = bench.during(|| {
        let from = Instant::now();
        let mut due = interval / 2;
        while due < span {
            *version += 1;
            let text = file(ROUTES, *version);
            std::thread::sleep(due.saturating_sub(from.elapsed()));
            last = SystemTime::now();
            bench.planner.reload(&text)?;
            changes += 1;
            due += interval;
        }
        std::thread::sleep(span.saturating_sub(from.elapsed()));
        Ok(())
    })?;
    let now = in_force(bench)?;
    if now.generation != generation + changes {
        let applied = now.generation - generation;
        return Err(io::Error::other(format!("{applied} of {changes} operators' files came into force")));
    }
    let last_ms = last.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3;
    Ok(ChangeCosts { changes, in_force_ms: now.since_ms - last_ms, share: window.share() })
}

/// Measures the slope.
///
/// # Errors
/// If a process cannot be started or has ended, or a file does not come into force.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    let setup = BenchSetup { operators: Some(file(ROUTES, 0)), ..BenchSetup::of(MACHINES) };
    let bench = Bench::start(options, setup)?;
    bench.wait_for_connections()?;
    let rest_share = bench.rest()?.share();
    let (factor, min_span) = if options.short { (SHORT_FACTOR, SHORT_SPAN) } else { (1, SPAN) };
    let mut version = 0;
    for number in 1..=options.repeats {
        for per_ks in RATES.iter().map(|rate| rate * factor) {
            let span = min_span.max(interval(per_ks));
            let cost = measure_one(&bench, per_ks, span, &mut version)?;
            let size = per_ks as f64 / 1e3;
            figures.measured("processor time of changes", "share of a core", size, cost.share - rest_share);
            figures.measured("from the last write to in force", "ms", size, cost.in_force_ms);
            figures.counted("changes", "count", size, cost.changes as f64);
            eprintln!(
                "capacity: {size} changes a second, run {number} of {}: {} changes, {:.2}% of a core beyond rest, in force \
                 after {:.1} ms",
                options.repeats,
                cost.changes,
                (cost.share - rest_share) * 1e2,
                cost.in_force_ms
            );
        }
    }
    let held = BTreeMap::from([
        ("planners".to_string(), 1.0),
        ("machines".to_string(), MACHINES as f64),
        ("routes".to_string(), ROUTES as f64),
    ]);
    Ok(vec![Slope {
        name: NAMES[0].into(),
        question: "What new operators' files cost a planner and how long each takes to be in force, against how often one \
                   comes."
            .into(),
        size: "changes a second".into(),
        held,
        real: "the planner's process, the files, the signals, and what its REST front tells".into(),
        hollow: "machines and machine list: one process; the time in force is the planner's own, to the millisecond".into(),
        run: options.run.clone(),
        figures: figures.done(),
    }])
}
