//! A soak test: planners under constant load, with machines that fail at random, a changing machine list, and
//! signals sent to the planners. `SOAK_SEEDS=FIRST..END cargo test --test soak` runs other seeds than CI
//! does.

mod client;
#[path = "../exchange/mod.rs"]
mod exchange;
mod ledger;
mod list;
mod machine;
mod planners;

use client::{PlannerSlot, Shared};
use ledger::Ledger;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The seeds that CI runs.
const SEEDS: Range<u64> = 1..7;
/// The time for which clients send requests.
const LENGTH: Duration = Duration::from_secs(8);
/// Number of planners.
const PLANNERS: u64 = 2;
/// Number of clients of each planner.
const CLIENTS: u64 = 3;
/// Maximum number of idle connections, which never send a complete request.
const MAX_IDLE_CONNECTIONS: usize = 90;

/// A random generator for one part of a run, so that parts do not affect each other's draws.
fn rng_for(seed: u64, part: u64) -> Pcg64Mcg {
    Pcg64Mcg::new(u128::from(seed) << 64 | u128::from(part) << 8 | 1)
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Keeps opening connections, some of which send an incomplete message, and closes the oldest above the
/// maximum.
fn open_idle_connections(shared: &Shared, slot: &PlannerSlot, mut rng: Pcg64Mcg) {
    let mut links = Vec::new();
    while !shared.is_over.load(Ordering::SeqCst) {
        let address = slot.address.lock().expect("lock").clone();
        if let Ok(mut stream) = TcpStream::connect(&address) {
            let half = exchange::protocol::set_up(1, "stateless", 1000, "x");
            let _ = std::io::Write::write_all(&mut stream, &half[..rng.gen_range(0..20)]);
            links.push(stream);
        }
        if links.len() > MAX_IDLE_CONNECTIONS {
            links.remove(0);
        }
        sleep(Duration::from_millis(rng.gen_range(1..8)));
    }
}

/// Runs one seed; returns the broken rules and the number of requests.
fn run_seed(seed: u64) -> (Vec<String>, usize) {
    let ledger = Arc::new(Ledger::new());
    let shared = Arc::new(Shared {
        ledger: ledger.clone(),
        next_task: AtomicU64::new(1 + (seed << 32)),
        is_over: AtomicBool::new(false),
    });
    let list = list::List::start(ledger.clone(), rng_for(seed, 1));
    let mut threads = Vec::new();
    for number in 0..PLANNERS {
        let slot = Arc::new(PlannerSlot::default());
        let planner = planners::start(&list.address, &list.known(), seed);
        *slot.address.lock().expect("lock") = planner.owners.clone();
        for client in 0..CLIENTS {
            let (shared, slot) = (shared.clone(), slot.clone());
            let rng = rng_for(seed, 100 + 10 * number + client);
            threads.push(spawn(move || client::run(&shared, &slot, rng)));
        }
        if seed.is_multiple_of(3) {
            let (shared, slot, rng) = (shared.clone(), slot.clone(), rng_for(seed, 50 + number));
            threads.push(spawn(move || open_idle_connections(&shared, &slot, rng)));
        }
        let (shared, list, rng) = (shared.clone(), list.clone(), rng_for(seed, 10 + number));
        threads.push(spawn(move || planners::inject_signals(planner, &slot, &shared, &list, seed, rng)));
    }
    sleep(LENGTH);
    shared.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("no thread of the run panics");
    }
    list.end();
    ledger.check()
}

/// Guards every request under all of these faults together: one answer in time, at most one open attempt, no
/// attempt that starts after its client left, and no longer time limit passed to a machine than the client
/// has left.
#[test]
fn all_rules_hold_through_signals_failing_machines_and_a_changing_list() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let (broken_rules, requests) = run_seed(seed);
        println!("seed {seed}: {requests} requests, {} broken", broken_rules.len());
        assert!(requests > 300, "seed {seed}: only {requests} requests");
        broken.extend(broken_rules.into_iter().map(|rule| format!("seed {seed}: {rule}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
