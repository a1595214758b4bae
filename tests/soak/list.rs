//! The list of machines, which drains, ends and replaces them while it is watched.

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

/// Count. Machines that take work.
const MACHINES: usize = 6;

#[derive(Default)]
struct State {
    events: Vec<Vec<u8>>,
    ready: Vec<(usize, Machine)>,
    next_number: usize,
}

/// The list, shared by those who serve and change it.
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
    pub fn start(ledger: Arc<Ledger>, mut draws: Pcg64Mcg) -> List {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address").to_string();
        let list = List { address, state: Arc::default(), is_over: Arc::default() };
        for _ in 0..MACHINES {
            list.add(&ledger, &mut draws, 0);
        }
        let (serves, changes) = (list.clone(), list.clone());
        spawn(move || listener.incoming().flatten().for_each(|stream| serves.clone().serve(stream)));
        spawn(move || changes.change(&ledger, draws));
        list
    }

    /// All events so far, as a configuration has them.
    pub fn known(&self) -> Value {
        let events = &self.state.lock().expect("it").events;
        let notices: Vec<Value> =
            events.iter().map(|line| serde_json::from_slice(line).expect("an event")).collect();
        json!({"rev": notices.len(), "notices": notices})
    }

    /// Ends all machines.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.state.lock().expect("it").ready.iter().for_each(|(_, machine)| machine.end());
    }

    fn tell(state: &mut State, entry: Value) {
        let line = event(state.events.len() as u64 + 1, &[entry]);
        state.events.push(line);
    }

    fn add(&self, ledger: &Arc<Ledger>, draws: &mut Pcg64Mcg, started_ms: u64) {
        let mut state = self.state.lock().expect("it");
        state.next_number += 1;
        let number = state.next_number;
        let machine = Machine::start(number, ledger.clone(), Pcg64Mcg::new(draws.gen()));
        Self::tell(&mut state, entry(number, &machine, "in_service", started_ms));
        state.ready.push((number, machine));
    }

    fn serve(self, mut stream: TcpStream) {
        spawn(move || {
            let mut line = String::new();
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
            let _ = lines.read_line(&mut line);
            let mut sent: usize = line.trim().trim_start_matches("watch ").parse().unwrap_or(0);
            while !self.is_over.load(Ordering::SeqCst) {
                let news: Vec<u8> =
                    self.state.lock().expect("it").events.iter().skip(sent).flatten().copied().collect();
                sent = sent.max(self.state.lock().expect("it").events.len().min(sent + count(&news)));
                if stream.write_all(&news).is_err()
                    || stream.write_all(format!("{sent}\n").as_bytes()).is_err()
                {
                    return;
                }
                sleep(Duration::from_millis(20));
            }
        });
    }

    /// Drains, ends and replaces machines, and has some hang.
    fn change(&self, ledger: &Arc<Ledger>, mut draws: Pcg64Mcg) {
        while !self.is_over.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(draws.gen_range(100..700)));
            if draws.gen_bool(0.4) {
                let state = self.state.lock().expect("it");
                if let Some((_, machine)) = state.ready.choose(&mut draws) {
                    machine.hang(Duration::from_millis(draws.gen_range(50..900)));
                }
                continue;
            }
            let taken = {
                let mut state = self.state.lock().expect("it");
                let at = draws.gen_range(0..state.ready.len());
                state.ready.swap_remove(at)
            };
            self.add(ledger, &mut draws, unix_ms());
            let (list, drain, life) = (
                self.clone(),
                Duration::from_millis(draws.gen_range(0..600)),
                Duration::from_millis(draws.gen_range(0..1500)),
            );
            spawn(move || list.take_out(&taken, drain, life));
        }
    }

    /// A machine drains, leaves the list, and goes on for a while.
    fn take_out(&self, (number, machine): &(usize, Machine), drain: Duration, life: Duration) {
        Self::tell(&mut self.state.lock().expect("it"), entry(*number, machine, "terminating", 0));
        sleep(drain);
        Self::tell(&mut self.state.lock().expect("it"), entry(*number, machine, "terminated", 0));
        sleep(life);
        machine.end();
    }
}

/// Count of lines.
fn count(bytes: &[u8]) -> usize {
    bytes.iter().filter(|&&b| b == b'\n').count()
}
