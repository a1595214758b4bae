//! Costs of one planner as standing tasks on its machines grow: at rest, and while clients hand them over
//! after its start.

use super::bench::{Bench, BenchSetup, Window};
use super::figures::Figures;
use super::record::Slope;
use super::slopes::Options;
use super::standing;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// The slopes of this module.
pub const NAMES: &[&str] = &["rest-tasks", "restart-tasks"];

const SIZES: &[usize] = &[0, 1_000, 5_000, 15_000, 30_000, 60_000];
const SHORT_SIZES: &[usize] = &[0, 500, 1_000, 2_000, 4_000];
const MACHINES: usize = 400;

/// Measurements of one run.
struct Run {
    /// From the first set-up until the planner had accepted all tasks.
    taken_in: Duration,
    /// While the tasks were handed over.
    handover: Window,
    rest: Window,
}

fn measure_one(options: &Options, tasks: usize) -> io::Result<Run> {
    let bench = Bench::start(options, BenchSetup::of(MACHINES))?;
    bench.wait_for_connections()?;
    let (standing, handover) = bench.during(|| standing::hand_over(bench.planner.owners, tasks, MACHINES))?;
    let rest = bench.rest()?;
    Ok(Run { taken_in: standing.taken_in, handover, rest })
}

/// Measures the two slopes.
///
/// # Errors
/// If a process cannot be started or has ended.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let (mut at_rest, mut restart) = (Figures::default(), Figures::default());
    for (tasks, runs) in options.runs(SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            let Run { taken_in, handover, rest } = measure_one(options, tasks)?;
            let size = tasks as f64;
            at_rest.measured("processor time at rest", "share of a core", size, rest.share());
            at_rest.measured("resident memory", "KiB", size, rest.resident_kib as f64);
            at_rest.measured("bytes in at rest", "bytes/s", size, rest.bytes_in());
            at_rest.measured("bytes out at rest", "bytes/s", size, rest.bytes_out());
            at_rest.measured("dials at rest", "connections/s", size, rest.rate(|counts| counts.accepted));
            at_rest.measured("tests at rest", "messages/s", size, rest.rate(|counts| counts.checks));
            let ms = |time: Duration| time.as_secs_f64() * 1e3;
            restart.measured("from the first task to all taken in", "ms", size, ms(taken_in));
            restart.measured("processor time to take them in", "ms", size, ms(handover.processor));
            eprintln!(
                "capacity: {tasks} tasks, run {number} of {runs}: taken in after {:.0} ms ({:.0} ms of processor time); \
                 at rest {:.2}% of a core, {} KiB, {:.0} dials/s",
                ms(taken_in),
                ms(handover.processor),
                rest.share() * 1e2,
                rest.resident_kib,
                rest.rate(|counts| counts.accepted),
            );
        }
    }
    let questions = [
        "What a planner spends while no ask comes, against the tasks that stand.",
        "How long a planner takes to be handed the tasks that stand, as clients do after its start.",
    ];
    let setup = BenchSetup::of(MACHINES);
    let held = BTreeMap::from([
        ("planners".to_string(), 1.0),
        ("machines".to_string(), MACHINES as f64),
        ("configured descriptors".to_string(), f64::from(setup.sockets)),
        ("configured memory, MB".to_string(), setup.memory_mb),
    ]);
    let slope = |((name, question), figures): ((&&str, &str), Figures)| {
        Slope {
        name: (*name).into(),
        question: question.into(),
        size: "standing tasks".into(),
        held: held.clone(),
        real: "the planner's process and its sockets".into(),
        hollow: "machines and machine list: one process; tasks are handed over by their clients (`at`) and no machine \
                 knows of them, so none ends"
            .into(),
        run: options.run.clone(),
        figures: figures.done(),
    }
    };
    Ok(NAMES.iter().zip(questions).zip([at_rest, restart]).map(slope).collect())
}
