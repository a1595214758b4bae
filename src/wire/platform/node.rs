//! Encoding and decoding of the JSON lines exchanged with machines; pure functions on bytes.
//!
//! A set-up (`launch`) asks a machine to start a task; a `stop` releases one. The machine answers each
//! `check`: it is a probe (a health check) or, with [`FENCE_FLAG`] in its number, a fence, whose answer
//! proves that the machine has received everything that was written before it.

use crate::placer::*;
use crate::state::{Input, Spec};
use crate::vocabulary::Vocabulary;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::sync::Arc;
use thiserror::Error;
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::take_while;
use winnow::Partial;

/// Bytes. The longest line, its line feed included.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Seconds. Longer than any planner waits for an answer: [`fits`] assumes this time in a set-up.
const MAX_LEFT_S: Seconds = 1e9;

/// Cause codes of releases.
pub mod cause {
    /// The task has ended, or its attempt is no longer needed.
    pub const OVER: u8 = 16;
    /// The task was cancelled.
    pub const CANCELLED: u8 = 31;
    /// There is no room for the task.
    pub const FULL: u8 = 34;
    /// The task did not end with success, or was lost.
    pub const RESET: u8 = 41;
    /// The planner is overloaded, or a limit is reached.
    pub const BUSY: u8 = 42;
    /// The attempt or the job failed.
    pub const ERROR: u8 = 47;
    /// The set-up is invalid.
    pub const UNREADABLE: u8 = 100;
    /// The task never started: its attempt was not sent, or its deadline has passed.
    pub const MOOT: u8 = 102;
}

/// Why a line is not a message.
#[derive(Debug, Error)]
pub enum Malformed {
    /// The line is longer than the caller allows.
    #[error("line too long")]
    Long,
    /// The line is not the JSON of a message.
    #[error("invalid message: {0}")]
    Json(#[from] serde_json::Error),
    /// The named value is absent or invalid.
    #[error("missing or invalid {0}")]
    Value(&'static str),
}

/// A message from a machine.
#[derive(Debug)]
pub enum MachineMessage {
    /// The task has started; `body` is the answer for its owner.
    Running { job: RequestId, body: String },
    /// The attempt was refused or has ended.
    Stopped {
        job: RequestId,
        /// The outcome if the task had not been reported as running before.
        before: Outcome,
        /// The outcome if it had.
        after: Outcome,
        why: Reason,
        load: Option<Load>,
    },
    /// The answer to a probe or a fence.
    Checked {
        /// The number of the `check`.
        number: u64,
        passed: bool,
        load: Option<Load>,
    },
    /// An update about a running task.
    Note { job: RequestId, note: Note },
    /// A valid message that the planner ignores.
    Ignored,
}

impl MachineMessage {
    /// The message as an input of the core, if it has a meaning there.
    pub fn input(self, machine: MachineId, vocabulary: &Vocabulary) -> Option<Input> {
        let report = |load: Option<Load>| load.map(|load| vocabulary.report_by(|name| load.get(name)));
        Some(match self {
            MachineMessage::Running { job, body } => Input::Bound { machine, job, body },
            MachineMessage::Stopped { job, before, after, why, load } => {
                Input::Ended { machine, job, before, after, why, report: report(load) }
            }
            MachineMessage::Checked { number, .. } if number & FENCE_FLAG != 0 => {
                Input::FenceAnswered { machine, ask: number & !FENCE_FLAG }
            }
            MachineMessage::Checked { passed, load, .. } => {
                let outcome = if passed { Outcome::Ok } else { Outcome::Error };
                Input::Probed { machine, outcome, report: report(load) }
            }
            MachineMessage::Note { job, note } => Input::Noted { machine, job, note },
            MachineMessage::Ignored => return None,
        })
    }
}

/// The figures of a load report by name.
#[derive(Debug)]
pub struct Load(Vec<(String, f64)>);

impl Load {
    fn parse(text: &str) -> Load {
        let figure = |part: &str| {
            let (name, value) = part.split_once(':')?;
            Some((name.trim().to_string(), value.trim().parse().ok().filter(|v: &f64| v.is_finite())?))
        };
        Load(text.split(';').filter_map(figure).collect())
    }

    /// The figure of that name.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
    }
}

#[derive(Deserialize)]
struct Line {
    kind: String,
    #[serde(default)]
    uid: String,
    #[serde(default)]
    meta: Map<String, Value>,
    reason: Option<u8>,
    body: Option<String>,
}

/// Finds the line at the front of `bytes`: returns how many bytes it takes and the line without its line
/// feed, or nothing while it is incomplete.
pub fn take_line(bytes: &[u8], max_bytes: usize) -> Result<Option<(usize, &[u8])>, Malformed> {
    let mut input = Partial::new(bytes);
    let line = terminated(take_while(0.., |b| b != b'\n'), b'\n');
    match { line }.parse_next(&mut input) {
        Ok(line) if line.len() < max_bytes => Ok(Some((line.len() + 1, line))),
        Err(ErrMode::<ContextError>::Incomplete(_)) if bytes.len() < max_bytes => Ok(None),
        _ => Err(Malformed::Long),
    }
}

fn text(meta: &Map<String, Value>, name: &str) -> Option<String> {
    match meta.get(name)? {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// Decodes a message from a machine.
pub fn read(line: &[u8]) -> Result<MachineMessage, Malformed> {
    let line: Line = serde_json::from_slice(line)?;
    let job = || u64::from_str_radix(&line.uid, 16).map(RequestId).map_err(|_| Malformed::Value("uid"));
    let load = || text(&line.meta, "load").map(|t| Load::parse(&t));
    Ok(match line.kind.as_str() {
        "running" => {
            MachineMessage::Running { job: job()?, body: line.body.ok_or(Malformed::Value("description"))? }
        }
        "stop" => {
            let (before, after) = outcomes(line.reason.ok_or(Malformed::Value("cause"))?);
            let why = text(&line.meta, "note").map_or(Reason::Unknown, |note| reason(&note));
            MachineMessage::Stopped { job: job()?, before, after, why, load: load() }
        }
        "checked" => {
            // A check belongs to no job. An answer with an invalid number proves only that the machine is up.
            let number = u64::from_str_radix(&line.uid, 16).unwrap_or(0);
            MachineMessage::Checked { number, passed: line.reason != Some(0), load: load() }
        }
        "update" => {
            let value = text(&line.meta, "value").and_then(|v| v.parse().ok()).unwrap_or(0.0);
            match text(&line.meta, "note").as_deref() {
                Some("live") => MachineMessage::Note { job: job()?, note: Note::Runs },
                Some("c") => MachineMessage::Note { job: job()?, note: Note::CoresUsed(value) },
                Some("m") => MachineMessage::Note { job: job()?, note: Note::MemoryUsed(value) },
                Some("s") => MachineMessage::Note { job: job()?, note: Note::Served(value) },
                Some("p") => MachineMessage::Note { job: job()?, note: Note::MachineMemory(value) },
                _ => MachineMessage::Ignored,
            }
        }
        "staging" | "stopped" => MachineMessage::Ignored,
        _ => return Err(Malformed::Value("type")),
    })
}

/// The outcome that a release means before the task was reported as running, and the one after that.
fn outcomes(reason: u8) -> (Outcome, Outcome) {
    match reason {
        cause::FULL => (Outcome::Full, Outcome::Lost),
        cause::ERROR => (Outcome::Error, Outcome::Lost),
        cause::MOOT => (Outcome::Moot, Outcome::Lost),
        cause::OVER => (Outcome::Lost, Outcome::Ok),
        cause::CANCELLED => (Outcome::Lost, Outcome::Cancelled),
        _ => (Outcome::Lost, Outcome::Lost),
    }
}

fn reason(note: &str) -> Reason {
    match note {
        "nc" => Reason::NoCores,
        "nm" => Reason::NoMemory,
        "nq" => Reason::LineFull,
        "nh" => Reason::NotHere,
        "ev" => Reason::Evicted,
        "pre" => Reason::PushedOut,
        "dr" => Reason::SentAway,
        _ => Reason::Unknown,
    }
}

fn line(value: Value) -> Vec<u8> {
    let mut line = value.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// A job's id as it is written in messages: 16 hexadecimal digits.
pub fn uid(job: RequestId) -> String {
    format!("{:016x}", job.0)
}

/// The message that asks a machine to start a task; `left_s` is the time that is left for its answer.
pub fn launch(job: RequestId, left_s: Seconds, spec: &Spec) -> Vec<u8> {
    let left = ((left_s * 1e3).round().max(1.0) as u64).to_string();
    let mut meta = json!({"class": spec.class, "key": spec.name, "left": left});
    if let Some(key) = &spec.key {
        meta["idem"] = json!(key);
    }
    line(json!({"kind": "launch", "uid": uid(job), "meta": meta, "body": spec.body}))
}

/// A set-up that is queued for a machine.
#[derive(Clone, Debug)]
pub struct SetUp {
    pub job: RequestId,
    pub attempt: AttemptNo,
    /// When the planner stops waiting for its answer.
    pub until: Seconds,
    /// The number of the fence that is written right before it, if any.
    pub fence: Option<u64>,
    pub spec: Arc<Spec>,
}

impl SetUp {
    /// The bytes of the fence, if any, and of the set-up if it is written at `now`. They form one queued
    /// message, so that the fence is always written together with the set-up.
    pub fn lines(&self, now: Seconds) -> Vec<u8> {
        let mut lines = self.fence.map_or_else(Vec::new, |ask| check(FENCE_FLAG | ask));
        lines.extend(launch(self.job, self.until - now, &self.spec));
        lines
    }
}

/// Whether a set-up fits into a line; JSON escapes make some descriptions longer.
pub fn fits(job: RequestId, spec: &Spec) -> bool {
    launch(job, MAX_LEFT_S, spec).len() <= MAX_LINE_BYTES
}

/// The message that releases a running task or cancels an attempt.
pub fn stop(job: RequestId, cause: u8) -> Vec<u8> {
    line(json!({"kind": "stop", "uid": uid(job), "meta": {}, "reason": cause}))
}

/// A message that the machine ignores; writing it shows whether the connection is still alive.
pub fn progress(job: RequestId) -> Vec<u8> {
    line(json!({"kind": "staging", "uid": uid(job), "meta": {}}))
}

/// The bit in the number of a `check` that marks a fence: the answer proves that the machine has received
/// everything that was written before it.
pub const FENCE_FLAG: u64 = 1 << 63;

/// The `check` message of a probe or a fence; the machine answers a probe with a load report.
pub fn check(number: u64) -> Vec<u8> {
    line(json!({"kind": "check", "uid": format!("{number:016x}"), "meta": {}, "reason": 1}))
}
