//! A node's ledger: the offers that it received and what it did with them, with times.

use std::time::Duration;

/// Count. Entries that a ledger keeps; further ones are only counted.
const MAX_ENTRIES: usize = 2_000_000;

/// An event at a node.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// An offer (a launch message) was received completely.
    Ask {
        /// The class.
        class: String,
        /// The idempotency key, if any.
        key: Option<String>,
        /// Milliseconds that the planner waits for an answer.
        left_ms: u64,
        /// The task's description.
        body: String,
    },
    /// The offer was refused.
    Refused,
    /// The offer was answered with an error.
    Failed,
    /// An offer with the key of a copy that runs or starts was dropped.
    Dropped,
    /// A copy runs, and the planner was notified.
    Runs,
    /// A copy runs, and the planner was not notified.
    RunsUntold,
    /// A stop message came: the planner withdraws an offer or cancels a running task.
    Stopped,
    /// A running copy was ended by a stop message.
    Cut,
    /// The task ended by itself.
    Ended,
    /// A connection was opened.
    Opened,
    /// A connection was closed.
    Closed,
    /// The task was lost when the node's process died.
    Lost,
}

/// One entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time by the experiment's clock.
    pub at: Duration,
    /// The job's id.
    pub job: u64,
    /// The connection.
    pub connection: u64,
    /// The event.
    pub what: What,
}

/// A bounded list of entries in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The node's name.
    pub node: String,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Entries that were dropped because the ledger was full.
    pub entries_dropped: u64,
}

impl Ledger {
    pub(crate) fn record(&mut self, at: Duration, job: u64, connection: u64, what: What) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries_dropped += 1;
            return;
        }
        self.entries.push(Entry { at, job, connection, what });
    }

    /// Number of entries that match.
    pub fn count(&self, is: impl Fn(&What) -> bool) -> usize {
        self.entries.iter().filter(|e| is(&e.what)).count()
    }

    /// Number of offers received.
    pub fn asks(&self) -> usize {
        self.count(|what| matches!(what, What::Ask { .. }))
    }
}
