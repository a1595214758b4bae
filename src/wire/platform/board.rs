//! The notice board's events as pure functions on bytes.

use crate::placer::*;
use crate::state::Notice;
use crate::vocabulary::{key, Vocabulary};
use serde::Deserialize;

/// Bytes that a line of the board may hold: it may carry the whole list.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// An event of the board.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub rev: u64,
    pool: Pool,
}

/// What the board writes every second; some write the bare number.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Beat {
    rev: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Pool {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u64,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: f64,
    #[serde(default)]
    free: Vec<f64>,
}

/// The events that the configuration holds.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    pub rev: u64,
    #[serde(default)]
    pub notices: Vec<Event>,
}

/// A line of the board.
#[derive(Debug)]
pub enum Line {
    Event(Box<Event>),
    /// The last number alone.
    Beat(u64),
}

/// Reads a line.
pub fn read(line: &[u8]) -> Result<Line, serde_json::Error> {
    let text = line.trim_ascii();
    let bare = serde_json::from_slice::<u64>(text);
    match bare.or_else(|_| serde_json::from_slice::<Beat>(text).map(|beat| beat.rev)) {
        Ok(rev) => Ok(Line::Beat(rev)),
        Err(_) => serde_json::from_slice(text).map(|event| Line::Event(Box::new(event))),
    }
}

/// What a planner writes first: the number of the last event that it has.
pub fn watch(rev: u64) -> Vec<u8> {
    format!("watch {rev}\n").into_bytes()
}

impl Event {
    /// The event as a change or as the whole list.
    pub fn notices(&self, words: &mut Vocabulary) -> (ListKind, Vec<Notice>) {
        let kind = if self.pool.reset || self.rev == 1 { ListKind::Whole } else { ListKind::Changes };
        (kind, self.pool.instances.iter().map(|i| i.notice(words)).collect())
    }
}

impl Instance {
    fn notice(&self, words: &mut Vocabulary) -> Notice {
        let free = |at: usize| self.free.get(at).copied().unwrap_or(0.0);
        let entry = Entry {
            machine: words.machine(&self.instance_id),
            key: key(&self.instance_id),
            zone: words.zone(&self.zone),
            cell: CellId(self.cell),
            kind: words.kind(&self.machine_type),
            // A state that is not known takes no work, as a drain.
            standing: match self.lifecycle.as_str() {
                "in_service" => Standing::Ready,
                "terminated" => Standing::Gone,
                _ => Standing::Draining,
            },
            free: Room { cores: free(0), memory: free(1) },
            started: self.started_at_ms / 1e3,
        };
        Notice { entry, address: self.host_port.clone() }
    }
}

#[cfg(test)]
mod tests;
