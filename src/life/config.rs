//! The configuration that the platform hands over.

use crate::document::Faults;
use crate::wire::hub::Bounds;
use crate::wire::platform::board::KnownEvents;
use crate::wire::platform::Source;
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Why the program cannot start. Each is told in one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration: name a file with --config or in NODE_CONFIG")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file is not what it should be.
    #[error("{0}: {1}")]
    Parse(PathBuf, String),
    /// The settings cannot be served.
    #[error("settings: {0}")]
    Settings(String),
    /// The operators' file cannot be used.
    #[error("{0}")]
    Operators(#[from] Faults),
    /// A class that the settings do not have.
    #[error("there is no class {0:?} in the settings")]
    NoClass(String),
    /// The address is not to be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    /// The system gives no runtime.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
}

/// Share of the descriptors that owners' connections may take. Owners hold a third at most; the rest is for those
/// that ask once and stay.
const OWNERS_SHARE: f64 = 0.5;
/// Share of the descriptors that owners hold at most, and that no connection to a box takes from them.
const OWNERS_HOLD: f64 = 1.0 / 3.0;
/// Share of the descriptors, and the least count, kept for the board, listeners, dials and connections that end.
const SPARE: (f64, f64) = (1.0 / 16.0, 16.0);
/// Share of the memory that may wait in the queues of all owners' connections, and in those of all boxes.
const QUEUES_SHARE: f64 = 0.125;
/// Share of the memory that jobs which wait may take, and that tasks which stand may take.
const JOBS_SHARE: f64 = 0.25;
/// Bytes that a task which stands takes, at most.
const STANDING_BYTES: f64 = 2048.0;
/// Bytes. The least and the most that may wait for one owner or one box.
const QUEUE: (f64, f64) = (64.0 * 1024.0, 1024.0 * 1024.0);
/// Count. Boxes among which their share of the memory is divided.
const BOXES: f64 = 64.0;
/// Bytes in one of the configuration's megabytes.
const MEGABYTE: f64 = 1024.0 * 1024.0;

#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub sockets: u32,
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

impl Limits {
    /// What follows from the limits for jobs: bytes of those that wait, and how many may stand.
    pub fn jobs(&self) -> (usize, usize) {
        let share = self.memory_mb.max(0.0) * MEGABYTE * JOBS_SHARE;
        (share as usize, (share / STANDING_BYTES) as usize)
    }

    /// What follows from the limits for the connections.
    pub fn bounds(&self) -> Bounds {
        let owners = (f64::from(self.sockets) * OWNERS_SHARE).max(1.0);
        let queues = self.memory_mb.max(0.0) * MEGABYTE * QUEUES_SHARE;
        let queue = |connections: f64| (queues / connections).clamp(QUEUE.0, QUEUE.1) as usize;
        let sockets = f64::from(self.sockets);
        let links = sockets - sockets * OWNERS_HOLD - (sockets * SPARE.0).max(SPARE.1);
        let links = links.max(1.0) as usize;
        Bounds { owners: owners as usize, owner_queue: queue(owners), machine_queue: queue(BOXES), links }
    }
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    board: Option<String>,
    #[serde(default)]
    known: KnownEvents,
    settings: Value,
}

/// What the planner is told.
pub struct Config {
    /// The file that it was read from.
    pub path: PathBuf,
    pub name: String,
    pub listen: String,
    pub seed: u64,
    pub limits: Limits,
    pub board: Option<String>,
    pub known: Arc<KnownEvents>,
    pub settings: Value,
}

/// Seconds. The time for a connection to come up, where the settings name none.
const DIAL_S: f64 = 0.25;

impl Config {
    /// Reads the file that is named, or the one that the platform names.
    pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
        let variable = |name| std::env::var_os(name).filter(|v| !v.is_empty());
        let path = path.or_else(|| variable("NODE_CONFIG").map(PathBuf::from)).ok_or(ConfigError::Missing)?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::Read(path.clone(), e))?;
        let wrong = |e: String| ConfigError::Parse(path.clone(), e);
        let file: File = serde_json::from_slice(&text).map_err(|e| wrong(e.to_string()))?;
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|_| wrong(format!("seed {hex:?} is not hex")))?,
        };
        Ok(Config {
            path,
            name: file.name,
            listen: file.listen,
            seed,
            limits: file.limits,
            board: file.board,
            known: Arc::new(file.known),
            settings: file.settings,
        })
    }

    /// Where to follow the notice board, and from where.
    pub fn source(&self) -> Source {
        Source { address: self.board.clone(), known: self.known.clone() }
    }

    /// The time for a connection to come up.
    pub fn dial(&self) -> Duration {
        let told = self.settings.pointer("/permissions/dial_timeout_s").and_then(Value::as_f64);
        Duration::from_secs_f64(told.filter(|s| s.is_finite() && *s > 0.0).unwrap_or(DIAL_S).min(5.0))
    }
}
