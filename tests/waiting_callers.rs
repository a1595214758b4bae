//! REST callers that wait while more jobs and groups end at once than the planner keeps finished records of.

mod exchange;

use burlhook_lab::node::{Act, Node, Plan};
use burlhook_lab::planner::{config, Planner, Program};
use burlhook_lab::Clock;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Callers that wait for a job, and callers that wait for a group.
const CALLERS: usize = 8;
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
const JOB: &str =
    r#"{"class":"stateless","service":"s","cores":1,"memory":1,"deadlineMs":8000,"description":"x"}"#;
const GROUP: &str =
    r#"{"deadlineMs":8000,"members":[{"class":"stateless","service":"s","cores":1,"memory":1}]}"#;

/// The status of the response to a POST; 0 if there is none.
fn post(to: SocketAddr, path: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a time-out");
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("an answer");
    response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn count(planner: &Planner, path: &str) -> usize {
    let list: Value = planner.get(path).expect("a list");
    list["items"].as_array().map_or(0, Vec::len)
}

/// Guards callers that wait (`review/10`): at a stop they were told 404, an unknown job, in place of its answer, as its
/// record was forgotten to make room before they had read it. A caller that waited for a group was told nothing at all.
#[test]
fn a_waiting_caller_is_told_the_answer_whatever_else_ends() {
    let node = Node::start("127.0.0.1:0", Plan::default(), Clock::start()).expect("a node");
    node.act(Act::Hang);
    let file = "{rest: {listen: '127.0.0.1:0', keepOver: 1}, groups: {default: {maxMembers: 8, tries: 1}}}";
    let program = Program::at(env!("CARGO_BIN_EXE_burlhook"));
    let planner = Planner::start(&program, &config(&[node.address()], 3), Some(file)).expect("a planner");
    let rest = planner.rest.expect("a REST front");
    let told: Vec<u16> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .flat_map(|_| [("/v1/jobs", JOB), ("/v1/groups", GROUP)])
            .map(|(path, body)| scope.spawn(move || post(rest, path, body)))
            .collect();
        let started = Instant::now();
        while count(&planner, "/v1/groups") < CALLERS || count(&planner, "/v1/jobs") < 2 * CALLERS {
            assert!(started.elapsed() < HANG_TIMEOUT, "not all jobs and groups wait");
        }
        planner.signal("TERM").expect("it runs");
        callers.into_iter().map(|caller| caller.join().expect("an answer")).collect()
    });
    assert!(told.iter().all(|status| [429, 502, 503, 504].contains(status)), "{told:?}");
}
