//! Wall clocks may step, on the planner's host or at the discovery service, without an effect on decisions
//! that depend on time.

mod exchange;

use exchange::protocol::{accept, event, listener};
use exchange::{instance, Planner, Wire};
use serde_json::{json, Value};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// A machine's start time by the planner's REST API, in milliseconds; waits until the planner knows the
/// machine.
fn started_ms(planner: &Planner, name: &str) -> u64 {
    let since = Instant::now();
    loop {
        let mut rest = Wire::connect(&planner.rest);
        rest.ask(&format!("GET /v1/machines/{name}"));
        let answer = rest.answer().expect("an answer");
        let body = answer.split_once('\n').map_or("", |(_, body)| body);
        let machine: Value = serde_json::from_str(body).unwrap_or_default();
        if let Some(started) = machine["started"].as_str() {
            let time = chrono::DateTime::parse_from_rfc3339(started).expect("a time");
            return time.timestamp_millis() as u64;
        }
        assert!(since.elapsed() < Duration::from_secs(10), "{answer}");
    }
}

/// Guards a machine that has just started while discovery's wall clock is an hour behind: by the start time
/// that discovery reports, the machine would count as warm and receive full load.
#[test]
fn a_start_time_that_is_an_hour_off_counts_as_now() {
    let (list, address) = listener();
    let planner = Planner::start(&[], Some(&address), Some("maxOpenJobs: 10"));
    let mut watch = accept(&list);
    assert_eq!(watch.line().expect("watch N"), b"watch 1\n");
    // Events after this line count as current, not as history.
    watch.send(b"1\n");
    let listed_at = unix_ms();
    let mut machine = instance("b1", "127.0.0.1:1", "in_service");
    machine["startedAtMs"] = json!(listed_at - HOUR_MS);
    watch.send(&event(2, &[machine]));
    let started = started_ms(&planner, "b1");
    assert!(
        started + 1000 >= listed_at,
        "the machine counts as started {} ms before it was listed",
        listed_at - started
    );
}
