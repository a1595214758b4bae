//! Checks the measurements of the scale tests against the counts of the hollow machines.

use burlhook_lab::capacity::bench::{Bench, BenchSetup};
use burlhook_lab::capacity::record::Run;
use burlhook_lab::capacity::slopes::Options;
use burlhook_lab::capacity::standing;
use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use std::time::Duration;

const MACHINES: usize = 20;

fn options() -> Options {
    let lab_program = env!("CARGO_BIN_EXE_burlhook-lab");
    let program = Program { arguments: vec!["planner".into()], ..Program::at(lab_program) };
    let run = Run { date: String::new(), commit: String::new(), machine: String::new(), short: true };
    Options { short: true, repeats: 1, program, lab_program: lab_program.into(), run }
}

#[test]
fn every_ask_is_counted_at_the_machines() {
    let bench = Bench::start(&options(), BenchSetup::of(MACHINES)).expect("planner and machines");
    assert_eq!(bench.wait_for_connections().expect("connections to machines").machines, MACHINES as u64);
    let load = bench.ask(50.0, Duration::from_secs(1), 0).expect("a load of requests");
    assert_eq!((load.tally.requests, load.tally.answered(), load.tally.answered_twice), (50, 50, 0));
    let counts = bench.hollow.counts().expect("counts");
    assert_eq!(counts.launches - counts.refused, load.tally.count(End::Placed));
    assert_eq!(counts.held + counts.ended, load.tally.count(End::Placed));
    assert!(counts.open >= MACHINES as u64 && counts.list_in > 0);
    assert!(!load.window.processor.is_zero() && load.window.resident_kib > 0);
}

#[test]
fn standing_tasks_are_taken_in_and_none_is_set_up_anew() {
    let bench = Bench::start(&options(), BenchSetup::of(MACHINES)).expect("planner and machines");
    bench.wait_for_connections().expect("connections to machines");
    standing::hand_over(bench.planner.owners, 500, MACHINES).expect("standing tasks are accepted");
    assert_eq!(bench.hollow.counts().expect("counts").launches, 0);
}
