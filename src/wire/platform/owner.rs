//! Encoding and decoding of the binary messages exchanged with owners (the clients of jobs); pure functions
//! on bytes.
//!
//! With a set-up an owner asks the planner to start a task. A release cancels or ends a task, or reports a
//! refusal or a failure.
//!
//! `length:2 type:1 task:8 parameters`, each parameter `code:1 length:2 value`, big-endian.

use thiserror::Error;
use winnow::binary::{be_u16, be_u64, be_u8, length_take};
use winnow::combinator::repeat;
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::Partial;

/// Bytes. The longest message, its length field included.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Bytes. The type and the task, which each message has.
const MIN_LENGTH: usize = 9;

/// Message types.
pub mod kind {
    /// A request to start a task.
    pub const SET_UP: u8 = 1;
    /// Accepted and ignored.
    pub const PROGRESS: u8 = 6;
    /// The answer that a task was placed.
    pub const ANSWER: u8 = 9;
    /// A refusal, a failure, a cancellation, or the end of a task.
    pub const RELEASE: u8 = 12;
    /// Accepted and ignored.
    pub const RELEASE_ACK: u8 = 16;
    /// Accepted and ignored.
    pub const NOTE: u8 = 44;
    /// Accepted and ignored.
    pub const MOVE: u8 = 51;
    /// A health check.
    pub const TEST: u8 = 52;
    /// The answer to a health check.
    pub const TESTED: u8 = 53;
}

/// Parameter codes.
mod code {
    pub const CLASS: u8 = 3;
    pub const WAIT: u8 = 4;
    pub const NAME: u8 = 7;
    /// Named values: `name:value` pairs, separated by `;`.
    pub const FIGURES: u8 = 8;
    pub const RETRY_AFTER: u8 = 9;
    pub const KEY: u8 = 16;
    pub const CAUSE: u8 = 17;
    pub const DESCRIPTION: u8 = 18;
}

/// Why bytes are not a message.
#[derive(Debug, Error, PartialEq)]
pub enum Malformed {
    /// The length, in bytes, is out of range.
    #[error("invalid message length: {0} bytes")]
    Length(usize),
    /// The parameters do not add up to the length of the message.
    #[error("the parameters do not match the message length")]
    Parameters,
    /// A mandatory parameter or figure is absent.
    #[error("missing {0}")]
    Missing(&'static str),
    /// The named value is invalid.
    #[error("invalid {0}")]
    Value(&'static str),
}

/// A message whose parameters have not been decoded.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    pub kind: u8,
    pub task: u64,
    parameters: &'a [u8],
}

/// The parameters of a set-up.
#[derive(Debug, PartialEq)]
pub struct SetUp {
    pub class: String,
    /// How long the owner waits for the answer.
    pub wait_ms: u64,
    pub name: String,
    pub key: Option<String>,
    pub cores: f64,
    pub memory: f64,
    pub service: u64,
    /// The name of the machine on which the task already runs, where the planner is to take it over.
    pub at: Option<String>,
    pub body: String,
}

/// Decodes the message at the front of `bytes`; returns its length and the message, or nothing while it is
/// incomplete.
pub fn take(bytes: &[u8]) -> Result<Option<(usize, Message<'_>)>, Malformed> {
    let mut input = Partial::new(bytes);
    let length = match be_u16::<_, ErrMode<ContextError>>.parse_next(&mut input) {
        Ok(length) => usize::from(length),
        Err(_) => return Ok(None),
    };
    if length < MIN_LENGTH || length + 2 > MAX_MESSAGE_BYTES {
        return Err(Malformed::Length(length + 2));
    }
    let Some(mut payload) = bytes.get(2..2 + length) else { return Ok(None) };
    let head = (be_u8::<_, ErrMode<ContextError>>, be_u64).parse_next(&mut payload);
    let (kind, task) = head.map_err(|_| Malformed::Length(length + 2))?;
    Ok(Some((2 + length, Message { kind, task, parameters: payload })))
}

impl<'a> Message<'a> {
    fn parameters(&self) -> Result<Vec<(u8, &'a [u8])>, Malformed> {
        let one = (be_u8::<_, ErrMode<ContextError>>, length_take(be_u16));
        repeat(0.., one).parse(self.parameters).map_err(|_| Malformed::Parameters)
    }

    /// The cause parameter, if present.
    pub fn cause(&self) -> Result<Option<u8>, Malformed> {
        let parameters = self.parameters()?;
        match parameters.iter().find(|(c, _)| *c == code::CAUSE) {
            None => Ok(None),
            Some((_, [cause])) => Ok(Some(*cause)),
            Some(_) => Err(Malformed::Value("cause")),
        }
    }

    /// Decodes the parameters as those of a set-up.
    pub fn set_up(&self) -> Result<SetUp, Malformed> {
        let parameters = self.parameters()?;
        let text = |wanted: u8, what: &'static str| {
            let found = parameters.iter().find(|(c, _)| *c == wanted);
            let read =
                |(_, v): &(u8, &[u8])| String::from_utf8(v.to_vec()).map_err(|_| Malformed::Value(what));
            found.map(read).transpose()
        };
        let required = |wanted, what| text(wanted, what)?.ok_or(Malformed::Missing(what));
        let figures = required(code::FIGURES, "figures")?;
        let figure = |wanted: &str| {
            let named = figures.split(';').filter_map(|f| f.split_once(':'));
            named.filter(|(name, _)| *name == wanted).map(|(_, value)| value).next()
        };
        let amount = |name: &'static str| {
            let value = figure(name).ok_or(Malformed::Missing(name))?;
            let amount = value.parse::<f64>().map_err(|_| Malformed::Value(name))?;
            if amount.is_finite() && amount >= 0.0 {
                Ok(amount)
            } else {
                Err(Malformed::Value(name))
            }
        };
        let service = figure("service").ok_or(Malformed::Missing("service"))?;
        let wait = required(code::WAIT, "waiting time")?;
        Ok(SetUp {
            class: required(code::CLASS, "class")?,
            wait_ms: wait.trim().parse().map_err(|_| Malformed::Value("waiting time"))?,
            name: required(code::NAME, "name")?,
            key: text(code::KEY, "key")?,
            cores: amount("cores")?,
            memory: amount("memory")?,
            service: u64::from_str_radix(service, 16).map_err(|_| Malformed::Value("service"))?,
            at: figure("at").map(str::to_string),
            body: text(code::DESCRIPTION, "description")?.unwrap_or_default(),
        })
    }
}

fn message(kind: u8, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = MIN_LENGTH + parameters.iter().map(|(_, v)| 3 + v.len()).sum::<usize>();
    let mut out = Vec::with_capacity(2 + length);
    out.extend((length as u16).to_be_bytes());
    out.push(kind);
    out.extend(task.to_be_bytes());
    for (code, value) in parameters {
        out.push(*code);
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(*value);
    }
    out
}

/// The answer that a task was placed and runs; nothing where its description does not fit into a message.
pub fn answer(task: u64, body: &str) -> Option<Vec<u8>> {
    let fits = body.len() + MIN_LENGTH + 5 <= MAX_MESSAGE_BYTES;
    fits.then(|| message(kind::ANSWER, task, &[(code::DESCRIPTION, body.as_bytes())]))
}

/// A refusal, a failure, or the end of a running task.
pub fn release(task: u64, cause: u8, retry_after_ms: Option<u64>) -> Vec<u8> {
    match retry_after_ms {
        None => message(kind::RELEASE, task, &[(code::CAUSE, &[cause])]),
        Some(ms) => {
            let ms = ms.to_string();
            message(kind::RELEASE, task, &[(code::RETRY_AFTER, ms.as_bytes()), (code::CAUSE, &[cause])])
        }
    }
}

/// The answer to a health check.
pub fn tested(task: u64, passed: bool) -> Vec<u8> {
    message(kind::TESTED, task, &[(code::CAUSE, &[u8::from(passed)])])
}
