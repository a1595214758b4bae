//! Planner processes with stand-in machines: more machines than descriptors, and faults that all planners see
//! together.

use burlhook_lab::experiments::fleet::{run, Options};
use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use std::time::Duration;

fn program() -> Program {
    Program::at(env!("CARGO_BIN_EXE_burlhook"))
}

/// Guards owners and their tasks where a planner has fewer descriptors than machines: each task is served,
/// its end is reported within the protocol's 8 s even if no connection to its machine is open, and the limit,
/// which the system enforces, is never reached.
#[test]
fn more_machines_than_descriptors() {
    let (sockets, rate, span) = (64, 60.0, Duration::from_secs(5));
    let options = Options { nodes: 120, sockets, rate, span, life_ms: (500, 4_000), ..Options::default() };
    let report = run(&program(), &options).expect("it runs");
    let requests: u64 = report.tallies.iter().map(|t| t.requests).sum();
    assert_eq!((requests, report.count(End::Placed)), (300, 300), "each is placed");
    assert_eq!(
        (report.report_delays_ms.len(), report.unreported),
        (300, 0),
        "each end is reported exactly once"
    );
    assert!(report.report_delay_ms(1.0) < 8_000, "the last after {} ms", report.report_delay_ms(1.0));
    // Owners and the program itself hold some 25 descriptors. More in use shows that connections to machines
    // were replaced in turn.
    assert!((30..64).contains(&report.descriptors), "{} descriptors", report.descriptors);
}

/// Guards machines against synchronised dials: planners that start together, or whose connections broke
/// together, do not all dial at the same moment.
#[test]
fn planners_do_not_dial_in_step() {
    let span = Duration::from_secs(3);
    let options =
        Options { planners: 8, nodes: 20, rate: 40.0, span, life_ms: (500, 1_000), ..Options::default() };
    let report = run(&program(), &options).expect("it runs");
    let (dials, burst) = report.start;
    assert!(dials >= 160, "each machine is connected: {dials}");
    assert!(burst * 3 < dials, "{burst} of {dials} in a tenth of a second");
    assert_eq!(report.count(End::Placed), 120);
}
