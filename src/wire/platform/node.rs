//! The boxes' JSON lines as pure functions on bytes.

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

/// Bytes that a line may hold, its end included.
pub const MOST_BYTES: usize = 16 * 1024;

/// Seconds. More than any planner waits.
const MOST_LEFT_S: Seconds = 1e9;

/// Causes of releases.
pub mod cause {
    pub const OVER: u8 = 16;
    pub const CANCELLED: u8 = 31;
    pub const FULL: u8 = 34;
    pub const RESET: u8 = 41;
    pub const BUSY: u8 = 42;
    pub const ERROR: u8 = 47;
    pub const UNREADABLE: u8 = 100;
    pub const MOOT: u8 = 102;
}

/// Why a line is not a message.
#[derive(Debug, Error)]
pub enum Malformed {
    #[error("a line of over {MOST_BYTES} bytes")]
    Long,
    #[error("not a message: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0} cannot be read")]
    Value(&'static str),
}

/// What a box says.
#[derive(Debug)]
pub enum Says {
    Running {
        job: RequestId,
        body: String,
    },
    Stopped {
        job: RequestId,
        before: Outcome,
        after: Outcome,
        why: Reason,
        load: Option<Load>,
    },
    Checked {
        /// The number of the test.
        number: u64,
        passed: bool,
        load: Option<Load>,
    },
    Note {
        job: RequestId,
        note: Note,
    },
    /// Free words that mean nothing here.
    Free,
}

impl Says {
    /// What it means to the core; nothing where it means nothing.
    pub fn input(self, machine: MachineId, words: &Vocabulary) -> Option<Input> {
        let report = |load: Option<Load>| load.map(|load| words.report_by(|name| load.get(name)));
        Some(match self {
            Says::Running { job, body } => Input::Bound { machine, job, body },
            Says::Stopped { job, before, after, why, load } => {
                Input::Ended { machine, job, before, after, why, report: report(load) }
            }
            Says::Checked { number, .. } if number & PROOF != 0 => {
                Input::Heard { machine, ask: number & !PROOF }
            }
            Says::Checked { passed, load, .. } => {
                let outcome = if passed { Outcome::Ok } else { Outcome::Error };
                Input::Probed { machine, outcome, report: report(load) }
            }
            Says::Note { job, note } => Input::Noted { machine, job, note },
            Says::Free => return None,
        })
    }
}

/// The figures of a report by name.
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

    /// One figure.
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

/// Takes one line off the front, without its end: how many bytes it took, or nothing until more has come.
pub fn take_line(bytes: &[u8], most: usize) -> Result<Option<(usize, &[u8])>, Malformed> {
    let mut input = Partial::new(bytes);
    let line = terminated(take_while(0.., |b| b != b'\n'), b'\n');
    match { line }.parse_next(&mut input) {
        Ok(line) if line.len() < most => Ok(Some((line.len() + 1, line))),
        Err(ErrMode::<ContextError>::Incomplete(_)) if bytes.len() < most => Ok(None),
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

/// Reads what a box says.
pub fn read(line: &[u8]) -> Result<Says, Malformed> {
    let line: Line = serde_json::from_slice(line)?;
    let job = || u64::from_str_radix(&line.uid, 16).map(RequestId).map_err(|_| Malformed::Value("uid"));
    let load = || text(&line.meta, "load").map(|t| Load::parse(&t));
    Ok(match line.kind.as_str() {
        "running" => {
            Says::Running { job: job()?, body: line.body.ok_or(Malformed::Value("the description"))? }
        }
        "stop" => {
            let (before, after) = outcomes(line.reason.ok_or(Malformed::Value("the cause"))?);
            let why = text(&line.meta, "note").map_or(Reason::Unknown, |note| reason(&note));
            Says::Stopped { job: job()?, before, after, why, load: load() }
        }
        "checked" => {
            // A test has no job; one whose number cannot be read proves nothing but that the box is there.
            let number = u64::from_str_radix(&line.uid, 16).unwrap_or(0);
            Says::Checked { number, passed: line.reason != Some(0), load: load() }
        }
        "update" => {
            let value = text(&line.meta, "value").and_then(|v| v.parse().ok()).unwrap_or(0.0);
            match text(&line.meta, "note").as_deref() {
                Some("live") => Says::Note { job: job()?, note: Note::Runs },
                Some("c") => Says::Note { job: job()?, note: Note::CoresUsed(value) },
                Some("m") => Says::Note { job: job()?, note: Note::MemoryUsed(value) },
                Some("s") => Says::Note { job: job()?, note: Note::Served(value) },
                Some("p") => Says::Note { job: job()?, note: Note::MachineMemory(value) },
                _ => Says::Free,
            }
        }
        "staging" | "stopped" => Says::Free,
        _ => return Err(Malformed::Value("the type")),
    })
}

/// What a release means before the answer, and what after it.
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

/// A job's id as it is written.
pub fn uid(job: RequestId) -> String {
    format!("{:016x}", job.0)
}

/// A set-up.
pub fn launch(job: RequestId, left_s: Seconds, spec: &Spec) -> Vec<u8> {
    let left = ((left_s * 1e3).round().max(1.0) as u64).to_string();
    let mut meta = json!({"class": spec.class, "key": spec.name, "left": left});
    if let Some(key) = &spec.key {
        meta["idem"] = json!(key);
    }
    line(json!({"kind": "launch", "uid": uid(job), "meta": meta, "body": spec.body}))
}

/// A set-up that waits to be written.
#[derive(Clone, Debug)]
pub struct SetUp {
    pub job: RequestId,
    pub attempt: AttemptNo,
    /// When the planner stops waiting for its answer.
    pub until: Seconds,
    /// The test that goes right before it.
    pub fence: Option<u64>,
    pub spec: Arc<Spec>,
}

impl SetUp {
    /// What is written of it if that is now: one message, so that the test goes wherever the set-up does.
    pub fn lines(&self, now: Seconds) -> Vec<u8> {
        let mut lines = self.fence.map_or_else(Vec::new, |ask| check(PROOF | ask));
        lines.extend(launch(self.job, self.until - now, &self.spec));
        lines
    }
}

/// Whether a set-up fits into a line; JSON makes some descriptions longer.
pub fn fits(job: RequestId, spec: &Spec) -> bool {
    launch(job, MOST_LEFT_S, spec).len() <= MOST_BYTES
}

/// A release, or a set-up given up.
pub fn stop(job: RequestId, cause: u8) -> Vec<u8> {
    line(json!({"kind": "stop", "uid": uid(job), "meta": {}, "reason": cause}))
}

/// A word that is free and means nothing.
pub fn progress(job: RequestId) -> Vec<u8> {
    line(json!({"kind": "staging", "uid": uid(job), "meta": {}}))
}

/// Marks the number of a test that is to prove what came to a box before it.
pub const PROOF: u64 = 1 << 63;

/// A test that is answered with a report.
pub fn check(number: u64) -> Vec<u8> {
    line(json!({"kind": "check", "uid": format!("{number:016x}"), "meta": {}, "reason": 1}))
}
