//! A planner that is told to stop while clients go on sending on their open connections, up to the earliest SIGKILL.

mod exchange;

use exchange::protocol::{accept, answered, listener, set_up, test, ANSWER, RELEASE};
use exchange::{Planner, Wire};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{ErrorKind, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Seconds. The longest deadline of the settings here.
const DEADLINE_S: f64 = 1.0;
/// So long after SIGTERM a SIGKILL may come: the longest deadline and 0.7 s more.
const EARLIEST_KILL: Duration = Duration::from_millis(1700);
/// Between two requests of a client.
const PACE: Duration = Duration::from_millis(15);

/// What became of the requests on one connection.
struct Told {
    sent: BTreeSet<u64>,
    answered: BTreeSet<u64>,
    /// The connection ended with a request that nobody read.
    was_reset: bool,
}

impl Told {
    /// Books the next answer, and all that came with it.
    fn hear(&mut self, client: &mut Wire) {
        loop {
            if let Some((ANSWER | RELEASE, task, _)) = answered(client) {
                self.answered.insert(task);
            }
            if !client.has_frame() {
                return;
            }
        }
    }
}

/// Sends requests until the connection ends; each is sent only while no end of the connection is known.
fn send_until_the_end(mut client: Wire, first: u64, wait_ms: u32) -> Told {
    let mut told = Told { sent: BTreeSet::new(), answered: BTreeSet::new(), was_reset: false };
    for task in first.. {
        if client.stream.write_all(&set_up(task, "stateless", wait_ms, "x")).is_err() {
            told.was_reset = true;
            return told;
        }
        told.sent.insert(task);
        let since = Instant::now();
        while since.elapsed() < PACE {
            client.stream.set_read_timeout(Some(PACE)).expect("a time-out");
            match client.stream.peek(&mut [0]) {
                Ok(0) => return told,
                Ok(_) => told.hear(&mut client),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                    told.was_reset = true;
                    return told;
                }
                Err(_) => {}
            }
        }
    }
    told
}

/// A machine that takes everything and says nothing.
fn silent_machine(machine: TcpListener) {
    std::thread::spawn(move || {
        let mut links = Vec::new();
        while let Ok((stream, _)) = machine.accept() {
            links.push(stream);
        }
    });
}

fn config(address: &str) -> Value {
    let mut config = exchange::knows(&[exchange::instance("b1", address, "in_service")], None);
    for class in config["settings"]["grades"].as_array_mut().expect("classes") {
        class["deadline_s"] = json!(DEADLINE_S);
    }
    config
}

/// Returns once the planner's process has ended, or kills it when it may be killed; tells whether it ended by itself.
fn ends_before_the_kill(planner: &mut Planner, told_at: Instant) -> bool {
    while told_at.elapsed() < EARLIEST_KILL {
        if planner.child.try_wait().expect("its state").is_some() {
            return true;
        }
        std::thread::yield_now();
    }
    planner.child.kill().expect("it is killed");
    false
}

/// Guards clients that send on open connections for as long as a planner that stops may live: each request that it took has
/// its answer before the earliest SIGKILL, also one that waits far longer; only one that nobody read may go without.
#[test]
fn what_comes_on_open_connections_until_the_earliest_kill_is_answered() {
    for wait_ms in [1000, 8000] {
        let (machine, address) = listener();
        let mut planner = Planner::start_with(config(&address), None);
        silent_machine(machine);
        let clients: Vec<_> = (1..=3)
            .map(|number| {
                let mut client = Wire::connect(&planner.owners);
                client.send(&test(u64::MAX));
                client.frame().expect("a passed test");
                std::thread::spawn(move || send_until_the_end(client, number * 1_000_000, wait_ms))
            })
            .collect();
        let term_at = Instant::now();
        planner.term();
        let ended = ends_before_the_kill(&mut planner, term_at);
        assert!(ended, "it was killed with clients waiting ({wait_ms} ms)");
        for client in clients {
            let told = client.join().expect("a client");
            let mut unanswered: Vec<u64> = told.sent.difference(&told.answered).copied().collect();
            if told.was_reset && unanswered.last() == told.sent.last() {
                unanswered.pop();
            }
            assert!(
                unanswered.is_empty(),
                "{} of {} unanswered ({wait_ms} ms)",
                unanswered.len(),
                told.sent.len()
            );
        }
    }
}

/// Guards clients against signals in series: an interrupt that comes while the planner stops has it answer what it took at
/// once, and not leave it.
#[test]
fn an_interrupt_of_a_planner_that_stops_loses_no_request() {
    let (machine, address) = listener();
    let mut planner = Planner::start_with(config(&address), None);
    let mut link = accept(&machine);
    let mut client = Wire::connect(&planner.owners);
    client.send(&set_up(1, "stateless", 1000, "x"));
    link.line().expect("a set-up");
    planner.term();
    planner.signal("-INT");
    assert!(matches!(answered(&mut client), Some((RELEASE, 1, _))), "it has an answer");
    assert!(planner.child.wait().expect("it ends").success());
}

/// Guards clients that connect while a planner stops: it takes no new connections any more well before it ends, and none
/// is left in the line of those that nobody accepted.
#[test]
fn a_planner_that_stops_refuses_new_connections_before_it_ends() {
    let (machine, address) = listener();
    let mut planner = Planner::start_with(config(&address), None);
    let mut link = accept(&machine);
    let mut client = Wire::connect(&planner.owners);
    client.send(&set_up(1, "stateless", 8000, "x"));
    link.line().expect("a set-up");
    planner.term();
    let mut all = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect(&planner.owners) {
        all.push(Wire::new(stream));
        std::thread::sleep(PACE);
    }
    client.stream.set_nonblocking(true).expect("it is set");
    let answer = client.stream.peek(&mut [0]).map_err(|error| error.kind());
    assert_eq!(answer, Err(ErrorKind::WouldBlock), "the planner is there for what it took");
    client.stream.set_nonblocking(false).expect("it is set");
    assert!(matches!(answered(&mut client), Some((RELEASE, 1, _))), "it has an answer");
    assert!(planner.child.wait().expect("it ends").success());
}
