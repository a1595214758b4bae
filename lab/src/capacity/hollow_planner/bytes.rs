//! Messages of the machine list's source, of clients and of machines, encoded in the platform's protocol.

use serde_json::{json, Value};
use std::io;

/// Machines of each cell.
const MACHINES_PER_CELL: usize = 4;

/// A machine's entry in the list.
fn instance(machine: usize, lifecycle: &str) -> Value {
    let (zone, port) = (["hall-a", "hall-b"][machine % 2], 7_000);
    let address = format!("10.{}.{}.{}:{port}", machine >> 16, machine >> 8 & 255, machine & 255);
    json!({"instanceId": name(machine), "hostPort": address, "zone": zone, "machineType": "std-48",
        "cell": machine / MACHINES_PER_CELL, "lifecycle": lifecycle, "weight": 1, "startedAtMs": 0, "free": [40, 80]})
}

/// The name of a machine.
pub fn name(machine: usize) -> String {
    format!("node-{machine}")
}

/// The line with the complete list.
pub fn full_list_line(revision: u64, machines: usize) -> Vec<u8> {
    let all: Vec<Value> = (0..machines).map(|machine| instance(machine, "in_service")).collect();
    json!({"rev": revision, "pool": {"reset": true, "instances": all}}).to_string().into_bytes()
}

/// The line with a change of one machine, which starts to drain or returns to service.
pub fn change_line(revision: u64, machine: usize, drains: bool) -> Vec<u8> {
    let lifecycle = if drains { "draining" } else { "in_service" };
    let one = [instance(machine, lifecycle)];
    json!({"rev": revision, "pool": {"instances": one}}).to_string().into_bytes()
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// The number of its service.
    pub service: u64,
    /// Cores that it needs; units of memory are the same number.
    pub cores: f64,
    /// The machine that already holds its task, if any.
    pub at: Option<usize>,
}

fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// A client's set-up message, with its length in front.
pub fn set_up(request: &Request) -> Vec<u8> {
    let Request { id, service, cores, at } = *request;
    let at = at.map(|machine| format!(";at:{}", name(machine))).unwrap_or_default();
    let message = [
        vec![1],
        id.to_be_bytes().to_vec(),
        parameter(3, "stateless"),
        parameter(4, "5000"),
        parameter(7, &format!("{id:016x}")),
        parameter(8, &format!("cores:{cores};memory:{cores};service:{service:016x}{at}")),
        parameter(18, "POST /run"),
    ]
    .concat();
    [&(message.len() as u16).to_be_bytes()[..], &message].concat()
}

/// A machine's answer.
#[derive(Debug)]
pub struct Answer {
    /// The line without its line feed.
    pub line: Vec<u8>,
    /// Whether the machine accepted a task.
    pub placed: bool,
}

/// A machine's message that a task has ended.
pub fn task_ended(task: u64) -> Vec<u8> {
    stopped(&format!("{task:016x}"), 16)
}

fn stopped(uid: &str, reason: u8) -> Vec<u8> {
    json!({"kind": "stop", "uid": uid, "meta": {}, "reason": reason}).to_string().into_bytes()
}

/// The answers to these lines from a machine that accepts every task immediately and keeps no state.
///
/// # Errors
/// If a line is not JSON.
pub fn answers(bytes: &[u8]) -> io::Result<Vec<Answer>> {
    let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut answers = Vec::new();
    for line in lines {
        let message: Value = serde_json::from_slice(line).map_err(io::Error::other)?;
        let uid = message["uid"].as_str().unwrap_or_default();
        let (line, placed) = match message["kind"].as_str() {
            Some("launch") => {
                let running = json!({"kind": "running", "uid": uid, "meta": {}, "body": "ok"});
                (running.to_string().into_bytes(), true)
            }
            Some("stop") => (stopped(uid, 31), false),
            Some("check") => {
                let checked =
                    json!({"kind": "checked", "uid": uid, "meta": {"load": "queue:0"}, "reason": 1});
                (checked.to_string().into_bytes(), false)
            }
            _ => continue,
        };
        answers.push(Answer { line, placed });
    }
    Ok(answers)
}
