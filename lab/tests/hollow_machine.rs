//! Checks that a hollow machine gives the same answers as the stand-in machine to the same script of
//! messages.

use burlhook_lab::capacity::hollow_machine::{self, HollowMachines};
use burlhook_lab::node::{Node, Plan};
use burlhook_lab::Clock;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// A step of a script: the line to write, and the number of answers to read.
struct Step(&'static str, usize);

/// Read timeout, longer than any answer takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn hollow(plan: &hollow_machine::Plan) -> HollowMachines {
    HollowMachines::start(Path::new(env!("CARGO_BIN_EXE_burlhook-lab")), plan).expect("hollow machines")
}

/// Runs a script, each step after the answers to the previous one, and returns all answers.
fn run_script(script: &[Step], at: SocketAddr) -> Vec<Value> {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a limit");
    stream.set_nodelay(true).expect("no delay");
    let mut lines = BufReader::new(stream.try_clone().expect("a copy")).lines();
    let mut answers = Vec::new();
    for Step(line, count) in script {
        writeln!(stream, "{line}").expect("written");
        let received = lines.by_ref().take(*count).map(|line| line.expect("an answer"));
        answers.extend(received.map(|line| serde_json::from_str::<Value>(&line).expect("JSON")));
    }
    answers
}

/// Runs a script against a hollow machine and a stand-in machine, asserts that the answers are equal and
/// returns them.
fn assert_same_answers(script: &[Step], slots: usize, life_ms: u64) -> Vec<Value> {
    let plan = hollow_machine::Plan { slots, life_ms, start_ms: 0, ..Default::default() };
    let hollow = hollow(&plan);
    let at = hollow.addresses(3)[2];
    let times = ((0, 0), (life_ms, life_ms));
    let plan = Plan {
        name: at.to_string(),
        slots,
        start_ms: times.0,
        cold_start_ms: times.0,
        life_ms: times.1,
        ..Plan::default()
    };
    let node = Node::start("127.0.0.1:0", plan, Clock::start()).expect("a stand-in machine");
    let answers = run_script(script, at);
    assert_eq!(answers, run_script(script, node.address()));
    answers
}

/// Run time of a task, longer than the test.
const LONG_MS: u64 = 3_600_000;

#[test]
fn tests_set_ups_refusals_and_stops_are_answered_alike() {
    let script = [
        Step(r#"{"kind":"check","uid":"0000000000000001","meta":{},"reason":1}"#, 1),
        Step(r#"{"kind":"staging","uid":"00000000000000aa","meta":{}}"#, 0),
        Step(
            r#"{"kind":"launch","uid":"00000000000000aa","meta":{"class":"stateless","left":"900"},"body":"x"}"#,
            1,
        ),
        Step(r#"{"kind":"check","uid":"8000000000000002","meta":{},"reason":1}"#, 1),
        Step(
            r#"{"kind":"launch","uid":"00000000000000bb","meta":{"class":"stateless","left":"900"},"body":"x"}"#,
            1,
        ),
        Step(r#"{"kind":"stop","uid":"00000000000000aa","meta":{},"reason":16}"#, 1),
        Step(r#"{"kind":"stop","uid":"00000000000000cc","meta":{},"reason":16}"#, 1),
        Step(r#"{"kind":"check","uid":"0000000000000003","meta":{},"reason":1}"#, 1),
    ];
    let answers = assert_same_answers(&script, 1, LONG_MS);
    let reasons: Vec<Option<u64>> = answers.iter().map(|a| a["reason"].as_u64()).collect();
    assert_eq!(reasons, [Some(1), None, Some(1), Some(34), Some(31), Some(102), Some(1)]);
}

#[test]
fn the_end_of_a_task_is_reported_alike() {
    let launch = r#"{"kind":"launch","uid":"00000000000000aa","meta":{"class":"keyed","idem":"k","left":"900"},"body":"x"}"#;
    let answers = assert_same_answers(&[Step(launch, 2)], 8, 0);
    assert_eq!(answers[1]["reason"], 16);
}

#[test]
fn counts_are_those_of_the_messages() {
    let machines = hollow(&hollow_machine::Plan { slots: 1, life_ms: LONG_MS, ..Default::default() });
    let check = r#"{"kind":"check","uid":"0000000000000001","meta":{},"reason":1}"#;
    let launch =
        r#"{"kind":"launch","uid":"00000000000000aa","meta":{"class":"stateless","left":"900"},"body":"x"}"#;
    for at in machines.addresses(300) {
        run_script(&[Step(check, 1), Step(launch, 1)], at);
    }
    let counts = machines.counts().expect("counts");
    assert_eq!((counts.reached, counts.accepted), (300, 300));
    assert_eq!((counts.checks, counts.launches, counts.refused), (300, 300, 0));
    assert_eq!(counts.held, 300);
    assert_eq!(counts.bytes_in, 300 * (check.len() + launch.len() + 2) as u64);
}
