//! Messages of the platform's protocol as tests send and read them, and the ends of its connections.

use super::Wire;
use serde_json::{json, Value};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Type of a client's message: the task stands.
pub const ANSWER: u8 = 9;
/// Type of a client's message: a refusal, a failure, or the end of what stood.
pub const RELEASE: u8 = 12;
/// Type of a client's message: the answer to a test.
pub const TESTED: u8 = 53;

/// A set-up in the clients' words.
pub fn set_up(task: u64, class: &str, wait_ms: u32, body: &str) -> Vec<u8> {
    sized_set_up(task, class, wait_ms, "cores:1;memory:2;service:00000000000000aa", body)
}

/// A set-up with figures of its own.
pub fn sized_set_up(task: u64, class: &str, wait_ms: u32, figures: &str, body: &str) -> Vec<u8> {
    let key = format!("{task:016x}");
    let wait = wait_ms.to_string();
    let all = [(3, class), (4, &wait), (7, "c"), (8, figures), (16, &key), (18, body)];
    message(1, task, &all.map(|(code, text)| (code, text.as_bytes())))
}

/// A client's message.
pub fn message(kind: u8, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend(task.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(*value);
    }
    let mut whole = (out.len() as u16).to_be_bytes().to_vec();
    whole.extend(out);
    whole
}

/// A set-up given up.
pub fn give_up(task: u64) -> Vec<u8> {
    message(12, task, &[(17, &[16])])
}

/// The planner's own test, which every planner answers in its turn.
pub fn test(task: u64) -> Vec<u8> {
    message(52, task, &[(17, &[0])])
}

/// A machine's word that a task runs.
pub fn running(task: u64) -> Vec<u8> {
    format!("{}\n", json!({"kind": "running", "uid": format!("{task:016x}"), "meta": {}, "body": "here"}))
        .into()
}

/// A machine's word that a task is over, or was not taken.
pub fn stop(task: u64, cause: u8) -> Vec<u8> {
    format!("{}\n", json!({"kind": "stop", "uid": format!("{task:016x}"), "meta": {}, "reason": cause}))
        .into()
}

/// The type of a line to a machine, and the number of its task.
pub fn told(line: &[u8]) -> (String, u64) {
    let said: Value = serde_json::from_slice(line).expect("a message");
    let task = u64::from_str_radix(said["uid"].as_str().expect("an id"), 16).expect("an id");
    (said["kind"].as_str().expect("a type").to_string(), task)
}

/// A place to listen, and its address.
pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    (listener, address)
}

/// The planner's next connection.
pub fn accept(listener: &TcpListener) -> Wire {
    Wire::new(listener.accept().expect("the planner connects").0)
}

/// Closes a connection now: a process that another test just starts may hold its descriptor for a moment more.
pub fn close(wire: Wire) {
    wire.stream.shutdown(Shutdown::Both).expect("it is up");
}

/// An event of the machine list that brings changes.
pub fn event(rev: u64, instances: &[Value]) -> Vec<u8> {
    format!("{}\n", json!({"rev": rev, "pool": {"reset": false, "instances": instances}})).into()
}

/// An event that brings the whole list.
pub fn whole_list(rev: u64, instances: &[Value]) -> Vec<u8> {
    format!("{}\n", json!({"rev": rev, "pool": {"reset": true, "instances": instances}})).into()
}

/// How an answer to a client reads: its type, its task, and its cause where it has one.
pub fn answered(wire: &mut Wire) -> Option<(u8, u64, Option<u8>)> {
    let frame = wire.frame()?;
    let task = u64::from_be_bytes(frame[3..11].try_into().expect("eight bytes"));
    let cause = (frame[2] == RELEASE).then(|| frame.last().copied()).flatten();
    Some((frame[2], task, cause))
}

/// All answers that come before the one to a test, which is sent now.
pub fn answered_before_test(wire: &mut Wire) -> Vec<(u8, u64, Option<u8>)> {
    wire.send(&test(u64::MAX));
    let answers = std::iter::from_fn(|| Some(answered(wire).expect("the answer to the test")));
    answers.take_while(|(kind, ..)| *kind != TESTED).collect()
}

/// An address as the system's table of sockets writes it.
pub fn table_address(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port()),
        other => panic!("{other} is not IPv4"),
    }
}

/// Returns once the program at the other end has read all that was sent so far, by the system's table of sockets: what
/// is sent next comes to it as another piece.
pub fn wait_until_read(stream: &TcpStream) {
    let ends = (stream.peer_addr().expect("its peer"), stream.local_addr().expect("its address"));
    let ends = format!(" {} {} ", table_address(ends.0), table_address(ends.1));
    let since = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
        let line = table.lines().find(|line| line.contains(&ends)).unwrap_or_default();
        // Address, address, state, then bytes that wait to be acknowledged and to be read.
        let unread = line.split_whitespace().nth(4).and_then(|queues| queues.split_once(':'));
        if unread.is_none_or(|(_, unread)| unread == "00000000") {
            return;
        }
        assert!(since.elapsed() < Duration::from_secs(10), "it is not read: {line}");
        std::thread::yield_now();
    }
}
