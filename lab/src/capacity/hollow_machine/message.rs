//! The lines that planners and hollow machines exchange, in the format of the stand-in machine
//! (`crate::node`).

use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Reason codes of `stop` lines.
pub mod cause {
    /// The task ended by itself.
    pub const ENDED: u8 = 16;
    /// The planner stopped the task.
    pub const CANCELLED: u8 = 31;
    /// The machine refuses the task.
    pub const REFUSED: u8 = 34;
    /// The machine does not hold the task.
    pub const UNKNOWN_TASK: u8 = 102;
}

/// A line from a planner.
#[derive(Debug, Deserialize)]
pub struct Line<'a> {
    /// The message type.
    pub kind: &'a str,
    /// The task's id in hexadecimal digits, or the number of a health check.
    #[serde(default)]
    pub uid: &'a str,
}

impl Line<'_> {
    /// The task's id as a number; 0 if it cannot be parsed.
    pub fn job(&self) -> u64 {
        u64::from_str_radix(self.uid, 16).unwrap_or_default()
    }
}

/// A machine's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Free slots.
    pub free: usize,
}

impl Load {
    fn text(self) -> String {
        format!("x0:{};x1:{};queue:0", self.free, 2 * self.free)
    }
}

fn line(value: &Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// The message that a task has started.
pub fn running(job: u64, machine: SocketAddr) -> Vec<u8> {
    let body = format!("at {machine}");
    line(&json!({"kind": "running", "uid": format!("{job:016x}"), "meta": {}, "body": body}))
}

/// A refusal, or the release of a task that ended, was stopped or is unknown.
pub fn stop(job: u64, reason: u8, note: Option<&str>, load: Load) -> Vec<u8> {
    let mut meta = json!({"load": load.text()});
    if let Some(note) = note {
        meta["note"] = json!(note);
    }
    line(&json!({"kind": "stop", "uid": format!("{job:016x}"), "meta": meta, "reason": reason}))
}

/// The answer to a health check.
pub fn checked(uid: &str, load: Load) -> Vec<u8> {
    line(&json!({"kind": "checked", "uid": uid, "meta": {"load": load.text()}, "reason": 1}))
}
