//! The wall clock may step, here or where the list of machines is made; what follows from time does not.

mod exchange;

use exchange::protocol::{accept, event, listener};
use exchange::{instance, Planner, Wire};
use serde_json::{json, Value};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds. An hour.
const HOUR_MS: u64 = 3_600_000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// When a machine came up, as a planner tells it, once it knows the machine.
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

/// Guards a machine that has just come up, as a list tells whose wall clock stepped back by an hour: it is not taken to be
/// warm.
#[test]
fn a_start_that_the_list_tells_an_hour_wrong_counts_as_now() {
    let (list, address) = listener();
    let planner = Planner::start(&[], Some(&address), Some("maxOpenJobs: 10"));
    let mut watch = accept(&list);
    assert_eq!(watch.line().expect("watch N"), b"watch 1\n");
    // From here on what it tells is told as it happens.
    watch.send(b"1\n");
    let told_at = unix_ms();
    let mut machine = instance("b1", "127.0.0.1:1", "in_service");
    machine["startedAtMs"] = json!(told_at - HOUR_MS);
    watch.send(&event(2, &[machine]));
    let started = started_ms(&planner, "b1");
    assert!(started + 1000 >= told_at, "it counts as up since {} ms before", told_at - started);
}
