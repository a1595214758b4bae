//! A count that differs between runs is an error, and the record contains one time for each run.

use super::*;
use crate::capacity::record::Run;
use crate::planner::Program;
use std::sync::atomic::{AtomicU32, Ordering};

static RUNS: AtomicU32 = AtomicU32::new(0);

fn drifting(size: usize) -> io::Result<Vec<Sample>> {
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    Ok(vec![Sample::count("count", "count", (size as u32 + run) as f64)])
}

fn steady(size: usize) -> io::Result<Vec<Sample>> {
    Ok(vec![Sample::count("count", "count", size as f64), Sample::time("time", "ms", size as f64)])
}

fn in_process_slope(run: fn(usize) -> io::Result<Vec<Sample>>) -> InProcessSlope {
    InProcessSlope {
        name: "example",
        question: "What grows?",
        size: "sizes",
        held: &[("others", 1.0)],
        real: "nothing",
        hollow: "all",
        sizes: &[1, 2, 3],
        short: &[1, 2],
        run,
    }
}

fn options() -> Options {
    let run = Run { date: String::new(), commit: String::new(), machine: String::new(), short: true };
    Options { short: true, repeats: 3, program: Program::at("none"), lab_program: "none".into(), run }
}

#[test]
fn a_count_that_differs_between_runs_is_an_error() {
    let error = in_process_slope(drifting).measure(&options()).expect_err("the count differs");
    assert!(error.to_string().contains("count is 2, but was [1.0] in an earlier run"), "{error}");
}

#[test]
fn counts_have_one_value_and_times_have_one_per_run() {
    let slopes = in_process_slope(steady).measure(&options()).expect("all runs succeed");
    let of = |name: &str| slopes[0].figure(name).expect("the figure exists").points.clone();
    assert_eq!(of("count").iter().map(|p| p.values.len()).collect::<Vec<_>>(), [1, 1]);
    assert_eq!(of("time").iter().map(|p| p.values.len()).collect::<Vec<_>>(), [3, 3]);
    assert!(in_process_slope(steady).value(2, "nothing").is_err());
}
