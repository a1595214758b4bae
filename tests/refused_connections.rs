//! Machines that refuse connections while their tasks run: one that drains, whatever the list tells of it, and one that
//! is short of connections for a while. The machines' ledgers say what ran.

mod exchange;

use burlhook_lab::node::{Act, Ledger, Node, Plan, What};
use burlhook_lab::planner::{config, Planner, Program};
use burlhook_lab::Clock;
use exchange::protocol::{accept, event, listener};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

const MACHINES: usize = 4;
/// How long a machine refuses connections.
const REFUSES_FOR: Duration = Duration::from_millis(4_500);
/// Delay of a list that is late.
const LIST_DELAY: Duration = Duration::from_millis(2_000);
/// Interval at which a client whose job is lost asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Ends a test that waits in vain.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
const JOB: &str =
    r#"{"class":"keyed","service":"s","cores":1,"memory":1,"deadlineMs":4000,"description":"x"}"#;
const GROUP: &str = r#"{"deadlineMs":4000,"onLoss":"replace","members":[
    {"class":"keyed","service":"s","cores":1,"memory":1},{"class":"keyed","service":"t","cores":1,"memory":1}]}"#;
const OPERATORS: &str =
    "{rest: {listen: '127.0.0.1:0'}, groups: {default: {maxMembers: 8, partialMs: 1000}}}";

/// Whose task runs at the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Client {
    Group,
    /// A keyed job, for which its client asks again.
    Job,
}

/// What becomes of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// It drains and stops; the list tells of the drain after this time, or never, and of the end.
    Stops { drain_told_after: Option<Duration> },
    /// It stays in service and accepts connections again.
    Returns,
}

/// Sends heartbeats and events to one planner.
fn serve_list(stand_in: std::net::TcpListener, events: Receiver<Vec<Value>>) {
    let mut watcher = accept(&stand_in);
    watcher.line().expect("watch N");
    let mut revision = 1;
    loop {
        match events.recv_timeout(Duration::from_secs(1)) {
            Ok(instances) => {
                revision += 1;
                watcher.send(&event(revision, &instances));
            }
            Err(RecvTimeoutError::Timeout) => watcher.send(format!("{revision}\n").as_bytes()),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn post(to: SocketAddr, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a time-out");
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: k\r\n");
    write!(stream, "{head}Content-Length: {length}\r\n\r\n{body}").expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("an answer");
    response
}

/// The runs of each key's copies: node, start, end.
fn runs(nodes: &[Node]) -> BTreeMap<String, Vec<(String, Duration, Duration)>> {
    let mut runs: BTreeMap<String, Vec<(String, Duration, Duration)>> = BTreeMap::new();
    for Ledger { node, entries, .. } in nodes.iter().map(Node::ledger) {
        for asked in &entries {
            let What::Ask { key: Some(key), .. } = &asked.what else { continue };
            let time = |is: fn(&What) -> bool| {
                entries.iter().find(|e| e.job == asked.job && is(&e.what)).map(|e| e.at)
            };
            let Some(from) = time(|w| *w == What::Runs) else { continue };
            let until = time(|w| matches!(w, What::Ended | What::Cut | What::Lost)).unwrap_or(Duration::MAX);
            runs.entry(key.clone()).or_default().push((node.clone(), from, until));
        }
    }
    runs
}

/// Waits until the condition holds.
fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < HANG_TIMEOUT, "{what}");
        std::thread::yield_now();
    }
}

/// A planner over machines of which one, the first to run a task, refuses connections.
struct Case {
    nodes: Vec<Node>,
    planner: Planner,
    list: Sender<Vec<Value>>,
    addresses: Vec<SocketAddr>,
}

impl Case {
    fn start() -> Case {
        let clock = Clock::start();
        let plan =
            |at: usize| Plan { name: format!("node-{at}"), life_ms: (60_000, 60_000), ..Plan::default() };
        let nodes: Vec<Node> =
            (0..MACHINES).map(|at| Node::start("127.0.0.1:0", plan(at), clock).expect("a node")).collect();
        let addresses: Vec<SocketAddr> = nodes.iter().map(Node::address).collect();
        let (stand_in, list_address) = listener();
        let (list, events) = channel();
        std::thread::spawn(move || serve_list(stand_in, events));
        let mut config = config(&addresses, 3);
        config["board"] = json!(list_address);
        let program = Program::at(env!("CARGO_BIN_EXE_burlhook"));
        let planner = Planner::start(&program, &config, Some(OPERATORS)).expect("a planner");
        Case { nodes, planner, list, addresses }
    }

    fn tell(&self, machine: usize, state: &str) {
        let mut entry =
            exchange::instance(&format!("node-{machine}"), &self.addresses[machine].to_string(), state);
        entry["zone"] = json!(if machine.is_multiple_of(2) { "hall-a" } else { "hall-b" });
        self.list.send(vec![entry]).expect("the list is served");
    }

    fn play(&self, client: Client, ends: Act, fate: Fate) {
        let rest = self.planner.rest.expect("a REST front");
        let (path, body) = if client == Client::Group { ("/v1/groups", GROUP) } else { ("/v1/jobs", JOB) };
        let first = post(rest, path, body);
        assert!(first.starts_with("HTTP/1.1 201"), "{first}");
        let machine = self.nodes.iter().position(|n| n.running_tasks() > 0).expect("a machine with a task");
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            if client == Client::Job {
                scope.spawn(|| {
                    while !is_over.load(Ordering::Relaxed) {
                        post(rest, path, body);
                        std::thread::sleep(ASK_INTERVAL);
                    }
                });
            }
            self.disturb(machine, ends, fate);
            is_over.store(true, Ordering::Relaxed);
        });
    }

    fn disturb(&self, machine: usize, ends: Act, fate: Fate) {
        let node = &self.nodes[machine];
        let held: Vec<String> = runs(&self.nodes)
            .into_iter()
            .filter(|(_, runs)| runs.iter().any(|(at, ..)| *at == format!("node-{machine}")))
            .map(|(key, _)| key)
            .collect();
        let opened = || node.ledger().count(|what| *what == What::Opened);
        let opened_before = opened();
        node.act(Act::StopListening);
        node.act(ends);
        let delay = match fate {
            Fate::Stops { drain_told_after: Some(after) } => after,
            _ => Duration::ZERO,
        };
        std::thread::sleep(delay);
        if matches!(fate, Fate::Stops { drain_told_after: Some(_) }) {
            self.tell(machine, "terminating");
        }
        std::thread::sleep(REFUSES_FOR - delay);
        if fate == Fate::Returns {
            node.act(Act::Listen);
            wait_for("the machine is connected again", || opened() > opened_before);
        } else {
            node.act(Act::Die);
            wait_for("the machine has stopped", || node.running_tasks() == 0);
            self.tell(machine, "terminated");
        }
        let is_placed =
            |key: &String| runs(&self.nodes)[key].iter().any(|(.., until)| *until == Duration::MAX);
        wait_for("the task runs in the end", || held.iter().all(is_placed));
        let was_cut = node.ledger().count(|what| *what == What::Cut) > 0;
        assert!(!(ends == Act::Close && was_cut), "a task was stopped for a refusal alone");
    }

    /// Pairs of copies of one key that ran together.
    fn doubled(&self) -> Vec<String> {
        let pairs = |runs: Vec<(String, Duration, Duration)>| -> Vec<String> {
            let each = (0..runs.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
            let overlap = |&(a, b): &(usize, usize)| runs[a].1 < runs[b].2 && runs[b].1 < runs[a].2;
            each.filter(overlap).map(|(a, b)| format!("{:?} and {:?}", runs[a], runs[b])).collect()
        };
        runs(&self.nodes).into_values().flat_map(pairs).collect()
    }
}

/// Guards keyed tasks of REST clients and groups (`review/8`): their copies ran twice, as a refused connection, or one
/// after a close or a reset, was taken for the end of all that ran at the machine.
#[test]
fn a_machine_that_refuses_connections_keeps_its_tasks() {
    let fates = [
        Fate::Stops { drain_told_after: Some(Duration::ZERO) },
        Fate::Stops { drain_told_after: Some(LIST_DELAY) },
        Fate::Stops { drain_told_after: None },
        Fate::Returns,
    ];
    let clients = [Client::Group, Client::Job];
    let cases = fates.into_iter().flat_map(|fate| clients.map(|client| (client, fate)));
    let cases = cases.flat_map(|(client, fate)| [Act::Close, Act::Reset].map(|ends| (client, ends, fate)));
    std::thread::scope(|scope| {
        let played: Vec<_> = cases
            .map(|(client, ends, fate)| {
                let play = move || {
                    let case = Case::start();
                    case.play(client, ends, fate);
                    (format!("{client:?}, {ends:?}, {fate:?}"), case.doubled())
                };
                scope.spawn(play)
            })
            .collect();
        let found: Vec<(String, Vec<String>)> =
            played.into_iter().map(|case| case.join().expect("it was played")).collect();
        let broken: Vec<_> = found.into_iter().filter(|(_, doubled)| !doubled.is_empty()).collect();
        assert!(broken.is_empty(), "{broken:#?}");
    });
}
