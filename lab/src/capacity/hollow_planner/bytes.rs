//! What a list source, a client and a machine write, as bytes of the platform's protocol.

use serde_json::{json, Value};
use std::io;

/// Machines to a cell.
const CELL: usize = 4;

/// A machine of the list.
fn instance(machine: usize, lifecycle: &str) -> Value {
    let (zone, port) = (["hall-a", "hall-b"][machine % 2], 7_000);
    let address = format!("10.{}.{}.{}:{port}", machine >> 16, machine >> 8 & 255, machine & 255);
    json!({"instanceId": name(machine), "hostPort": address, "zone": zone, "machineType": "std-48",
        "cell": machine / CELL, "lifecycle": lifecycle, "weight": 1, "startedAtMs": 0, "free": [40, 80]})
}

/// The name of a machine.
pub fn name(machine: usize) -> String {
    format!("node-{machine}")
}

/// The whole list as its source writes it.
pub fn whole_line(revision: u64, machines: usize) -> Vec<u8> {
    let all: Vec<Value> = (0..machines).map(|machine| instance(machine, "in_service")).collect();
    json!({"rev": revision, "pool": {"reset": true, "instances": all}}).to_string().into_bytes()
}

/// A change of one machine, which drains or comes back.
pub fn change_line(revision: u64, machine: usize, drains: bool) -> Vec<u8> {
    let lifecycle = if drains { "draining" } else { "in_service" };
    let one = [instance(machine, lifecycle)];
    json!({"rev": revision, "pool": {"instances": one}}).to_string().into_bytes()
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its number.
    pub id: u64,
    /// The number of its service.
    pub service: u64,
    /// Cores that it asks for.
    pub cores: f64,
    /// The machine at which its task stands already.
    pub at: Option<usize>,
}

fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// A set-up as a client writes it.
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

/// What a machine answers.
#[derive(Debug)]
pub struct Answer {
    /// The line, without its end.
    pub line: Vec<u8>,
    /// Whether it took a task.
    pub placed: bool,
}

/// A task is over.
pub fn over(task: u64) -> Vec<u8> {
    stopped(&format!("{task:016x}"), 16)
}

fn stopped(uid: &str, reason: u8) -> Vec<u8> {
    json!({"kind": "stop", "uid": uid, "meta": {}, "reason": reason}).to_string().into_bytes()
}

/// What a machine that takes all work at once, and holds none, answers to these lines.
///
/// # Errors
/// If a line is no message.
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
