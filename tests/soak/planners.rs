//! Starts planners and sends them signals.

use crate::client::{PlannerSlot, Shared};
use crate::exchange::{faults, settings, Planner};
use crate::list::List;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A SIGKILL may follow SIGTERM after this time: the longest deadline of the settings and 0.7 s more.
const EARLIEST_KILL: Duration = Duration::from_millis(1700);
/// On some seeds one system call in this many fails, and one read or write in this many is short.
const FAULT_ONE_IN: u64 = 200;
/// Milliseconds. The age of a planner process at which its wall clock steps, on seeds with a clock step.
const CLOCK_STEP_AFTER_MS: u64 = 700;
/// Number of descriptors of a planner: few enough that idle clients use up all that clients may have.
const SOCKETS: u64 = 128;

pub fn start(list: &str, known: &Value, seed: u64) -> Planner {
    let mut settings = settings();
    settings["permissions"]["probes"] = json!(!seed.is_multiple_of(5));
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS});
    let config = json!({"listen": "127.0.0.1:0", "board": list, "known": known, "limits": limits,
        "settings": settings});
    let variables = match seed % 4 {
        1 => faults(seed, FAULT_ONE_IN, FAULT_ONE_IN),
        3 => stepping_clock(seed),
        _ => Vec::new(),
    };
    Planner::start_in(config, None, &variables)
}

/// Environment variables that make the wall clock step, back or ahead, by 5 s or by an hour.
fn stepping_clock(seed: u64) -> Vec<(&'static str, String)> {
    let steps_ms = [-3_600_000, -5_000, 5_000, 3_600_000];
    let step_ms = steps_ms[(seed / 4) as usize % steps_ms.len()];
    let mut variables = faults(seed, 0, 0);
    variables.extend([
        ("FAULTS_STEP_MS", step_ms.to_string()),
        ("FAULTS_STEP_AFTER_MS", CLOCK_STEP_AFTER_MS.to_string()),
    ]);
    variables
}

/// Sends random signals to the planner until the run is over, and restarts it after each stop.
pub fn inject_signals(
    mut planner: Planner,
    slot: &PlannerSlot,
    shared: &Shared,
    list: &List,
    seed: u64,
    mut rng: Pcg64Mcg,
) {
    while !shared.is_over.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(rng.gen_range(200..1200)));
        match rng.gen_range(0..10) {
            0..=2 => planner.signal("-HUP"),
            3..=4 => planner.paused(|| sleep(Duration::from_millis(rng.gen_range(5..60)))),
            5 => {
                slot.killed.lock().expect("lock").insert(planner.owners.clone());
                planner.child.kill().expect("it is killed");
                planner = restart(slot, list, seed);
            }
            6..=8 => {
                stop(&mut planner, &mut rng);
                planner = restart(slot, list, seed);
            }
            _ => {}
        }
    }
    // The planner runs on until its clients have their answers.
    sleep(Duration::from_secs(5));
    stop(&mut planner, &mut rng);
}

/// Sends SIGTERM, at random another signal after it, and SIGKILL at the earliest permitted time.
fn stop(planner: &mut Planner, rng: &mut Pcg64Mcg) {
    let term_at = Instant::now();
    planner.term();
    let more = ["-HUP", "-TERM", "-INT"];
    if rng.gen_bool(0.3) {
        sleep(Duration::from_millis(rng.gen_range(0..300)));
        planner.signal(more[rng.gen_range(0..more.len())]);
    }
    while term_at.elapsed() < EARLIEST_KILL {
        if let Some(status) = planner.child.try_wait().expect("its state") {
            assert!(status.success(), "a planner crashed: {status}");
            return;
        }
        sleep(Duration::from_millis(2));
    }
    planner.child.kill().expect("it is killed");
}

fn restart(slot: &PlannerSlot, list: &List, seed: u64) -> Planner {
    let planner = start(&list.address, &list.known(), seed);
    *slot.address.lock().expect("lock") = planner.owners.clone();
    planner
}
