//! The line protocol of the discovery service (the notice board of the `board` setting), which streams the
//! machine list; pure functions on bytes.

use crate::placer::*;
use crate::state::MachineNotice;
use crate::vocabulary::{key, Vocabulary};
use serde::Deserialize;

/// Bytes. The longest line, which may carry the whole machine list.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A change of the machine list, or the whole list.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The revision number of the list after this event.
    pub rev: u64,
    pool: Pool,
}

/// The heartbeat that the service writes every second; some implementations write the bare number.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Heartbeat {
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

/// The events of the machine list that are stored in the configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// The last known revision.
    pub rev: u64,
    #[serde(default)]
    pub notices: Vec<Event>,
}

/// A line received from the service.
#[derive(Debug)]
pub enum Line {
    /// An event of the list.
    Event(Box<Event>),
    /// A heartbeat with the last revision.
    Heartbeat(u64),
}

/// Decodes a line.
pub fn read(line: &[u8]) -> Result<Line, serde_json::Error> {
    let text = line.trim_ascii();
    let bare = serde_json::from_slice::<u64>(text);
    match bare.or_else(|_| serde_json::from_slice::<Heartbeat>(text).map(|beat| beat.rev)) {
        Ok(rev) => Ok(Line::Heartbeat(rev)),
        Err(_) => serde_json::from_slice(text).map(|event| Line::Event(Box::new(event))),
    }
}

/// The request that a planner sends first: the events after revision `rev`, the last one that it has.
pub fn watch(rev: u64) -> Vec<u8> {
    format!("watch {rev}\n").into_bytes()
}

impl Event {
    /// The machines of the event, and whether they are a change or the whole list.
    pub fn notices(&self, vocabulary: &mut Vocabulary) -> (ListKind, Vec<MachineNotice>) {
        let kind = if self.pool.reset || self.rev == 1 { ListKind::Whole } else { ListKind::Changes };
        (kind, self.pool.instances.iter().map(|i| i.notice(vocabulary)).collect())
    }
}

impl Instance {
    fn notice(&self, vocabulary: &mut Vocabulary) -> MachineNotice {
        let free = |at: usize| self.free.get(at).copied().unwrap_or(0.0);
        let entry = Entry {
            machine: vocabulary.machine(&self.instance_id),
            key: key(&self.instance_id),
            zone: vocabulary.zone(&self.zone),
            cell: CellId(self.cell),
            kind: vocabulary.kind(&self.machine_type),
            // A machine in an unknown state gets no new tasks, as if it were draining.
            standing: match self.lifecycle.as_str() {
                "in_service" => Standing::Ready,
                "terminated" => Standing::Gone,
                _ => Standing::Draining,
            },
            free: Room { cores: free(0), memory: free(1) },
            started: self.started_at_ms / 1e3,
        };
        MachineNotice { entry, address: self.host_port.clone() }
    }
}

#[cfg(test)]
mod tests;
