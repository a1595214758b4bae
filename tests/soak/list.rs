//! A stand-in discovery service that drains, ends and replaces machines while planners watch the list.

use crate::exchange::instance;
use crate::exchange::protocol::event;
use crate::ledger::Ledger;
use crate::machine::Machine;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of machines that accept work at a time.
const MACHINES: usize = 6;

#[derive(Default)]
struct State {
    events: Vec<Vec<u8>>,
    ready: Vec<(usize, Machine)>,
    next_number: usize,
}

/// The machine list, shared by the threads that serve and change it.
#[derive(Clone)]
pub struct List {
    pub address: String,
    state: Arc<Mutex<State>>,
    is_over: Arc<AtomicBool>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

fn entry(number: usize, machine: &Machine, state: &str, started_ms: u64) -> Value {
    let mut entry = instance(&format!("m{number}"), &machine.address, state);
    entry["startedAtMs"] = json!(started_ms);
    entry
}

impl List {
    pub fn start(ledger: Arc<Ledger>, mut rng: Pcg64Mcg) -> List {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address").to_string();
        let list = List { address, state: Arc::default(), is_over: Arc::default() };
        for _ in 0..MACHINES {
            list.add(&ledger, &mut rng, 0);
        }
        let (serves, changes) = (list.clone(), list.clone());
        spawn(move || listener.incoming().flatten().for_each(|stream| serves.clone().serve(stream)));
        spawn(move || changes.change(&ledger, rng));
        list
    }

    /// All events so far, in the form of a planner's configuration.
    pub fn known(&self) -> Value {
        let events = &self.state.lock().expect("lock").events;
        let notices: Vec<Value> =
            events.iter().map(|line| serde_json::from_slice(line).expect("an event")).collect();
        json!({"rev": notices.len(), "notices": notices})
    }

    /// Ends all machines.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.state.lock().expect("lock").ready.iter().for_each(|(_, machine)| machine.end());
    }

    fn publish(state: &mut State, entry: Value) {
        let line = event(state.events.len() as u64 + 1, &[entry]);
        state.events.push(line);
    }

    fn add(&self, ledger: &Arc<Ledger>, rng: &mut Pcg64Mcg, started_ms: u64) {
        let mut state = self.state.lock().expect("lock");
        state.next_number += 1;
        let number = state.next_number;
        let machine = Machine::start(number, ledger.clone(), Pcg64Mcg::new(rng.gen()));
        Self::publish(&mut state, entry(number, &machine, "in_service", started_ms));
        state.ready.push((number, machine));
    }

    fn serve(self, mut stream: TcpStream) {
        spawn(move || {
            let mut line = String::new();
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
            let _ = lines.read_line(&mut line);
            let mut sent: usize = line.trim().trim_start_matches("watch ").parse().unwrap_or(0);
            while !self.is_over.load(Ordering::SeqCst) {
                let new_events: Vec<u8> =
                    self.state.lock().expect("lock").events.iter().skip(sent).flatten().copied().collect();
                sent = sent.max(self.state.lock().expect("lock").events.len().min(sent + count(&new_events)));
                if stream.write_all(&new_events).is_err()
                    || stream.write_all(format!("{sent}\n").as_bytes()).is_err()
                {
                    return;
                }
                sleep(Duration::from_millis(20));
            }
        });
    }

    /// Drains, ends and replaces machines at random, and makes some hang.
    fn change(&self, ledger: &Arc<Ledger>, mut rng: Pcg64Mcg) {
        while !self.is_over.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.gen_range(100..700)));
            if rng.gen_bool(0.4) {
                let state = self.state.lock().expect("lock");
                if let Some((_, machine)) = state.ready.choose(&mut rng) {
                    machine.hang(Duration::from_millis(rng.gen_range(50..900)));
                }
                continue;
            }
            let retired = {
                let mut state = self.state.lock().expect("lock");
                let at = rng.gen_range(0..state.ready.len());
                state.ready.swap_remove(at)
            };
            self.add(ledger, &mut rng, unix_ms());
            let (list, drain, linger) = (
                self.clone(),
                Duration::from_millis(rng.gen_range(0..600)),
                Duration::from_millis(rng.gen_range(0..1500)),
            );
            spawn(move || list.retire(&retired, drain, linger));
        }
    }

    /// Drains a machine, removes it from the list, and ends it some time later.
    fn retire(&self, (number, machine): &(usize, Machine), drain: Duration, linger: Duration) {
        Self::publish(&mut self.state.lock().expect("lock"), entry(*number, machine, "terminating", 0));
        sleep(drain);
        Self::publish(&mut self.state.lock().expect("lock"), entry(*number, machine, "terminated", 0));
        sleep(linger);
        machine.end();
    }
}

/// The number of lines.
fn count(bytes: &[u8]) -> usize {
    bytes.iter().filter(|&&b| b == b'\n').count()
}
