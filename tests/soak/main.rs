//! A soak: planners under clients that never rest, machines that fail in drawn ways, a list that changes, and signals in
//! series. `SOAK_SEEDS=FIRST..END cargo test --test soak` plays other seeds than CI does.

mod client;
#[path = "../exchange/mod.rs"]
mod exchange;
mod ledger;
mod list;
mod machine;
mod planners;

use client::{Place, Shared};
use ledger::Ledger;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The seeds that CI plays.
const SEEDS: Range<u64> = 1..7;
/// How long clients send.
const LENGTH: Duration = Duration::from_secs(8);
/// Count. Planners, and clients of each.
const PLANNERS: u64 = 2;
const CLIENTS: u64 = 3;
/// Count. Connections of a crowd that never sends a whole request.
const CROWD: usize = 90;

/// A generator of its own for each part of a run.
fn draws_of(seed: u64, part: u64) -> Pcg64Mcg {
    Pcg64Mcg::new(u128::from(seed) << 64 | u128::from(part) << 8 | 1)
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Connections that are opened, some with half a message, and opened anew as they are closed.
fn crowd(shared: &Shared, place: &Place, mut draws: Pcg64Mcg) {
    let mut links = Vec::new();
    while !shared.is_over.load(Ordering::SeqCst) {
        let address = place.address.lock().expect("it").clone();
        if let Ok(mut stream) = TcpStream::connect(&address) {
            let half = exchange::protocol::set_up(1, "stateless", 1000, "x");
            let _ = std::io::Write::write_all(&mut stream, &half[..draws.gen_range(0..20)]);
            links.push(stream);
        }
        if links.len() > CROWD {
            links.remove(0);
        }
        sleep(Duration::from_millis(draws.gen_range(1..8)));
    }
}

/// Plays one seed; gives what was broken, and how many requests there were.
fn play(seed: u64) -> (Vec<String>, usize) {
    let ledger = Arc::new(Ledger::new());
    let shared = Arc::new(Shared {
        ledger: ledger.clone(),
        next_task: AtomicU64::new(1 + (seed << 32)),
        is_over: AtomicBool::new(false),
    });
    let list = list::List::start(ledger.clone(), draws_of(seed, 1));
    let mut all = Vec::new();
    for number in 0..PLANNERS {
        let place = Arc::new(Place::default());
        let planner = planners::start(&list.address, &list.known(), seed);
        *place.address.lock().expect("it") = planner.owners.clone();
        for client in 0..CLIENTS {
            let (shared, place) = (shared.clone(), place.clone());
            let draws = draws_of(seed, 100 + 10 * number + client);
            all.push(spawn(move || client::run(&shared, &place, draws)));
        }
        if seed.is_multiple_of(3) {
            let (shared, place, draws) = (shared.clone(), place.clone(), draws_of(seed, 50 + number));
            all.push(spawn(move || crowd(&shared, &place, draws)));
        }
        let (shared, list, draws) = (shared.clone(), list.clone(), draws_of(seed, 10 + number));
        all.push(spawn(move || planners::trouble(planner, &place, &shared, &list, seed, draws)));
    }
    sleep(LENGTH);
    shared.is_over.store(true, Ordering::SeqCst);
    for thread in all {
        thread.join().expect("no part of the run fails");
    }
    list.end();
    ledger.judge()
}

/// Guards every request through all that befalls planners and machines at once: one answer in time, one copy out, no
/// attempt for a client that left, no more time passed on than there is.
#[test]
fn all_rules_hold_through_signals_failing_machines_and_a_changing_list() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let (of_seed, requests) = play(seed);
        println!("seed {seed}: {requests} requests, {} broken", of_seed.len());
        assert!(requests > 300, "seed {seed}: {requests} requests are no soak");
        broken.extend(of_seed.into_iter().map(|rule| format!("seed {seed}: {rule}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
