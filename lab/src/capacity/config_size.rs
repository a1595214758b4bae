//! A new operators' file against its size: how long until it is in force, and what it costs.

use super::bench::{Bench, Scene};
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
/// After the signal the planner is left alone for so long, and then asked what is in force.
const LEFT_ALONE: Duration = Duration::from_millis(1_000);
/// A file that is not in force by then never will be.
const PATIENCE: Duration = Duration::from_secs(20);

/// An operators' file with so many routes, different from turn to turn.
pub(super) fn file(routes: usize, turn: usize) -> String {
    let mut text =
        String::from("{ rest: { listen: \"127.0.0.1:0\" }, limits: { default: { attempts: 4 }, routes: [\n");
    for route in 0..routes {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{{ name: \"team-{route}\", match: {{ service: \"team-{route}-*\" }}, inFlight: {}, ratePerS: 50, burst: 100 }},",
            100 + turn
        );
    }
    text + "] } }\n"
}

/// Milliseconds of the Unix clock.
fn unix_ms(at: SystemTime) -> f64 {
    at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3
}

/// What a planner tells of the limits in force.
pub(super) struct InForce {
    /// Files that came into force so far.
    pub generation: u64,
    /// Since when, in milliseconds of the Unix clock.
    pub since_ms: f64,
}

pub(super) fn in_force(bench: &Bench) -> io::Result<InForce> {
    let said = bench.planner.get("/v1/limits")?;
    let since = said["since"].as_str().and_then(|text| chrono::DateTime::parse_from_rfc3339(text).ok());
    let since_ms = since.map_or(f64::NAN, |time| time.timestamp_millis() as f64);
    Ok(InForce { generation: said["generation"].as_u64().unwrap_or_default(), since_ms })
}

/// What a new file cost.
#[derive(Clone, Copy, Debug)]
struct Change {
    in_force_ms: f64,
    processor_ms: f64,
}

fn change(bench: &Bench, text: &str, generation: u64, rest_share: f64) -> io::Result<Change> {
    let (from, written, before) = (Instant::now(), SystemTime::now(), Usage::of(bench.planner.id())?);
    bench.planner.reload(text)?;
    let mut wait = LEFT_ALONE;
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
        if from.elapsed() > PATIENCE {
            return Err(io::Error::other("a new operators' file does not come into force"));
        }
        wait *= 2;
    }
}

/// Measures the slope: one planner, files of all sizes by turns.
///
/// # Errors
/// If a process cannot be started or is gone, or a file does not come into force.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    let scene = Scene { operators: Some(file(1, 0)), ..Scene::of(MACHINES) };
    let bench = Bench::start(options, scene)?;
    bench.reach()?;
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
