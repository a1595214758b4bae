//! The lines that machines and planners exchange, in the form of the stand-in machine.

use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Causes of releases.
pub mod cause {
    /// The task came to its end.
    pub const OVER: u8 = 16;
    /// It was stopped.
    pub const CANCELLED: u8 = 31;
    /// No slot is free.
    pub const FULL: u8 = 34;
    /// Nothing is known of it.
    pub const MOOT: u8 = 102;
}

/// What a planner says.
#[derive(Debug, Deserialize)]
pub struct Line<'a> {
    /// The type.
    pub kind: &'a str,
    /// The task's id, or a test's number.
    #[serde(default)]
    pub uid: &'a str,
}

impl Line<'_> {
    /// The id as a number.
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

/// The answer that a task stands.
pub fn running(job: u64, machine: SocketAddr) -> Vec<u8> {
    let body = format!("at {machine}");
    line(&json!({"kind": "running", "uid": format!("{job:016x}"), "meta": {}, "body": body}))
}

/// A refusal or a release.
pub fn stop(job: u64, reason: u8, note: Option<&str>, load: Load) -> Vec<u8> {
    let mut meta = json!({"load": load.text()});
    if let Some(note) = note {
        meta["note"] = json!(note);
    }
    line(&json!({"kind": "stop", "uid": format!("{job:016x}"), "meta": meta, "reason": reason}))
}

/// The answer to a test.
pub fn checked(uid: &str, load: Load) -> Vec<u8> {
    line(&json!({"kind": "checked", "uid": uid, "meta": {"load": load.text()}, "reason": 1}))
}
