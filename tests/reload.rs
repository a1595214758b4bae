//! Reloads under load, against stand-in nodes that refuse, stall and reset.

use burlhook_lab::experiments::reload::{run, Options};
use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use std::time::Duration;

/// Guards tasks across reloads: 400 requests a second through both fronts, and a reload every 100 ms with
/// good and bad files by turns. Each task has exactly one final answer, never two open attempts, and none
/// beyond its limits.
#[test]
fn every_task_is_accounted_for_over_reloads() {
    let options = Options { span: Duration::from_secs(6), seed: 7, ..Options::default() };
    let report = run(&Program::at(env!("CARGO_BIN_EXE_burlhook")), &options).expect("the experiment runs");
    let tally = &report.tally;
    assert_eq!((tally.requests, tally.answered(), tally.answered_twice), (2400, 2400, 0), "{:?}", tally.ends);
    assert_eq!(report.verdict.broken, Vec::<String>::new());
    assert!(
        report.verdict.offers > 1000 && report.verdict.most_attempts >= 2,
        "too few faults occurred: {:?}",
        report.verdict
    );
    // A client that a limit rejects is given a retry time, at once.
    let rejected = tally.count(End::TurnedAway);
    assert!(
        rejected > 0 && tally.with_retry_time == rejected,
        "{rejected} rejected, {} of them with a retry time",
        tally.with_retry_time
    );
    assert!(report.reloads > 20, "{} reloads", report.reloads);
    let generation = report.in_force["generation"].as_u64().expect("a number");
    assert!(
        generation > 5 && generation < report.reloads,
        "good files must be applied and bad ones refused: generation {generation}"
    );
    assert!(report.in_force["lastRefusal"]["faults"][0].is_string(), "{}", report.in_force);
}
