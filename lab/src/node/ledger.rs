//! What a node was asked and what it did, with times.

use std::time::Duration;

/// Count. Entries that a ledger holds; more are only counted.
const MOST: usize = 2_000_000;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// An offer came whole.
    Ask {
        /// The class.
        class: String,
        /// The key, where it has one.
        key: Option<String>,
        /// Milliseconds that the planner will wait.
        left_ms: u64,
        /// The description.
        body: String,
    },
    /// It was refused.
    Refused,
    /// It was answered with an error.
    Failed,
    /// A repeat by its key was dropped: a copy stands or starts.
    Dropped,
    /// A copy runs, and the planner was told.
    Runs,
    /// A copy runs, and nobody was told.
    RunsUntold,
    /// The planner took back what had not run, or told to cut what ran.
    Stopped,
    /// A copy that ran was cut by the planner's order.
    Cut,
    /// The task came to its end.
    Ended,
    /// A connection came up.
    Opened,
    /// Its connection is closed.
    Closed,
    /// It went with its process.
    Lost,
}

/// One entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When, by the clock of the rig.
    pub at: Duration,
    /// The id of the ask.
    pub job: u64,
    /// The connection.
    pub connection: u64,
    /// What happened.
    pub what: What,
}

/// A bounded list of entries in the order in which they were booked.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The node's name.
    pub node: String,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Entries that found no room.
    pub passed_over: u64,
}

impl Ledger {
    pub(crate) fn book(&mut self, at: Duration, job: u64, connection: u64, what: What) {
        if self.entries.len() >= MOST {
            self.passed_over += 1;
            return;
        }
        self.entries.push(Entry { at, job, connection, what });
    }

    /// How many entries are of a kind.
    pub fn count(&self, is: impl Fn(&What) -> bool) -> usize {
        self.entries.iter().filter(|e| is(&e.what)).count()
    }

    /// Offers that came.
    pub fn asks(&self) -> usize {
        self.count(|what| matches!(what, What::Ask { .. }))
    }
}
