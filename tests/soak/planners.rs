//! Planners, and the signals that befall them.

use crate::client::{Place, Shared};
use crate::exchange::{faults, settings, Planner};
use crate::list::List;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest deadline of the settings, and 0.7 s more: a SIGKILL may come so long after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(1700);
/// Count. On some seeds one system call of so many fails, and one read or write of so many is short.
const ONE_IN: u64 = 200;
/// Milliseconds. After so long the wall clock of a planner steps, where it does.
const STEP_AFTER_MS: u64 = 700;
/// Count. Descriptors of a planner: a crowd takes all that clients may have.
const SOCKETS: u64 = 128;

pub fn start(list: &str, known: &Value, seed: u64) -> Planner {
    let mut settings = settings();
    settings["permissions"]["probes"] = json!(!seed.is_multiple_of(5));
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS});
    let config = json!({"listen": "127.0.0.1:0", "board": list, "known": known, "limits": limits,
        "settings": settings});
    let variables = match seed % 4 {
        1 => faults(seed, ONE_IN, ONE_IN),
        3 => stepping_clock(seed),
        _ => Vec::new(),
    };
    Planner::start_in(config, None, &variables)
}

/// The wall clock steps, back or ahead, by seconds or by an hour.
fn stepping_clock(seed: u64) -> Vec<(&'static str, String)> {
    let steps_ms = [-3_600_000, -5_000, 5_000, 3_600_000];
    let step_ms = steps_ms[(seed / 4) as usize % steps_ms.len()];
    let mut variables = faults(seed, 0, 0);
    variables.extend([
        ("FAULTS_STEP_MS", step_ms.to_string()),
        ("FAULTS_STEP_AFTER_MS", STEP_AFTER_MS.to_string()),
    ]);
    variables
}

/// Signals in series, until the run is over.
pub fn trouble(
    mut planner: Planner,
    place: &Place,
    shared: &Shared,
    list: &List,
    seed: u64,
    mut draws: Pcg64Mcg,
) {
    while !shared.is_over.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(draws.gen_range(200..1200)));
        match draws.gen_range(0..10) {
            0..=2 => planner.signal("-HUP"),
            3..=4 => planner.paused(|| sleep(Duration::from_millis(draws.gen_range(5..60)))),
            5 => {
                place.killed.lock().expect("them").insert(planner.owners.clone());
                planner.child.kill().expect("it is killed");
                planner = again(place, list, seed);
            }
            6..=8 => {
                stop(&mut planner, &mut draws);
                planner = again(place, list, seed);
            }
            _ => {}
        }
    }
    // It lives until its clients have their answers.
    sleep(Duration::from_secs(5));
    stop(&mut planner, &mut draws);
}

/// SIGTERM, perhaps with other signals behind it, and a SIGKILL when it may come.
fn stop(planner: &mut Planner, draws: &mut Pcg64Mcg) {
    let told_at = Instant::now();
    planner.term();
    let more = ["-HUP", "-TERM", "-INT"];
    if draws.gen_bool(0.3) {
        sleep(Duration::from_millis(draws.gen_range(0..300)));
        planner.signal(more[draws.gen_range(0..more.len())]);
    }
    while told_at.elapsed() < EARLIEST_KILL {
        if let Some(status) = planner.child.try_wait().expect("its state") {
            assert!(status.success(), "a planner crashed: {status}");
            return;
        }
        sleep(Duration::from_millis(2));
    }
    planner.child.kill().expect("it is killed");
}

fn again(place: &Place, list: &List, seed: u64) -> Planner {
    let planner = start(&list.address, &list.known(), seed);
    *place.address.lock().expect("it") = planner.owners.clone();
    planner
}
