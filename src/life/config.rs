//! The configuration file that the platform provides.

use crate::document::Faults;
use crate::wire::hub::{Bounds, QueueBounds};
use crate::wire::platform::discovery::KnownEvents;
use crate::wire::platform::{Source, MAX_MESSAGE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Why the program cannot start. Each message is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration: name a file with --config or in NODE_CONFIG")]
    Missing,
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// The file is not a valid configuration.
    #[error("{0}: {1}")]
    Parse(PathBuf, String),
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(String),
    /// The operators' file has faults.
    #[error("{0}")]
    Operators(#[from] Faults),
    /// A class that the settings do not have.
    #[error("there is no class {0:?} in the settings")]
    NoClass(String),
    /// The address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, std::io::Error),
    /// The runtime or the signal handlers cannot be set up.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
}

/// Share of the descriptors that connections of owners may take. Owners hold at most a third
/// ([`OWNERS_RESERVED`]); the rest of this share is for clients that send one request and then leave their
/// connection open.
const OWNERS_SHARE: f64 = 0.5;
/// Share of the descriptors that owners hold at most. It is reserved for them: connections to machines never
/// take it.
const OWNERS_RESERVED: f64 = 1.0 / 3.0;
/// Share of the descriptors, and their minimum count, that is kept for the notice board, listeners, dials and
/// closing connections.
const SPARE: (f64, f64) = (1.0 / 16.0, 16.0);
/// Share of the memory for the queues of all owners' connections; those of all machines may take as much.
const QUEUES_SHARE: f64 = 0.125;
/// Share of the memory for waiting jobs; placed tasks may take as much.
const JOBS_SHARE: f64 = 0.25;
/// Bytes. Upper bound of the memory of a placed task.
const STANDING_BYTES: f64 = 2048.0;
/// Share of the memory for queues that is divided evenly among the connections as their reserves, at most; the rest is
/// shared by those that need more.
const RESERVED_SHARE: f64 = 0.5;
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
    /// The bounds on jobs: bytes of those that wait, and the count of placed ones.
    pub fn jobs(&self) -> (usize, usize) {
        let share = self.memory_mb.max(0.0) * MEGABYTE * JOBS_SHARE;
        (share as usize, (share / STANDING_BYTES) as usize)
    }

    /// The bounds on connections and their queues.
    pub fn bounds(&self) -> Bounds {
        let owners = (f64::from(self.sockets) * OWNERS_SHARE).max(1.0);
        let memory = self.memory_mb.max(0.0) * MEGABYTE * QUEUES_SHARE;
        let queues = |connections: f64| {
            let reserve = (memory * RESERVED_SHARE / connections).min(MAX_MESSAGE_BYTES as f64).floor();
            QueueBounds { reserve: reserve as usize, shared: (memory - reserve * connections) as usize }
        };
        let sockets = f64::from(self.sockets);
        let links = sockets - sockets * OWNERS_RESERVED - (sockets * SPARE.0).max(SPARE.1);
        let links = links.max(1.0).floor();
        Bounds {
            owners: owners as usize,
            owner_queues: queues(owners),
            machine_queues: queues(links),
            links: links as usize,
        }
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

/// The configuration of a planner.
pub struct Config {
    /// The file from which it was read.
    pub path: PathBuf,
    pub name: String,
    pub listen: String,
    pub seed: u64,
    pub limits: Limits,
    pub board: Option<String>,
    pub known: Arc<KnownEvents>,
    pub settings: Value,
}

/// Seconds. The timeout for connecting to a machine, if the settings name none.
const DEFAULT_DIAL_TIMEOUT_S: f64 = 0.25;

impl Config {
    /// Reads the file at `path`, or else the one that the environment variable NODE_CONFIG names.
    pub fn load(path: Option<PathBuf>) -> Result<Config, ConfigError> {
        let variable = |name| std::env::var_os(name).filter(|v| !v.is_empty());
        let path = path.or_else(|| variable("NODE_CONFIG").map(PathBuf::from)).ok_or(ConfigError::Missing)?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::Read(path.clone(), e))?;
        let invalid = |e: String| ConfigError::Parse(path.clone(), e);
        let file: File = serde_json::from_slice(&text).map_err(|e| invalid(e.to_string()))?;
        let seed = match file.seed.as_str() {
            "" => 0,
            hex => u64::from_str_radix(hex, 16).map_err(|_| invalid(format!("seed {hex:?} is not hex")))?,
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

    /// The address of the notice board, and the notices that are known already.
    pub fn source(&self) -> Source {
        Source { address: self.board.clone(), known: self.known.clone() }
    }

    /// The timeout for connecting to a machine.
    pub fn dial_timeout(&self) -> Duration {
        let configured = self.settings.pointer("/permissions/dial_timeout_s").and_then(Value::as_f64);
        Duration::from_secs_f64(
            configured.filter(|s| s.is_finite() && *s > 0.0).unwrap_or(DEFAULT_DIAL_TIMEOUT_S).min(5.0),
        )
    }
}
