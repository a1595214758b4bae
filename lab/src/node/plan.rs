//! The configured behaviour of a node: capacity, timing and faults.

use std::time::Duration;

/// Minimum and maximum in milliseconds; values are drawn uniformly.
pub type Times = (u64, u64);

/// A fault or change that is injected into a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Handles no messages for this long, but still receives them.
    Pause(Duration),
    /// Answers nothing from now on, but still accepts connections.
    Hang,
    /// Ends a hang; messages that came meanwhile are handled then.
    Wake,
    /// Resets all connections.
    Reset,
    /// Closes all connections.
    Close,
    /// Refuses new connections from now on; tasks run on.
    StopListening,
    /// Accepts connections again after `StopListening`.
    Listen,
    /// Refuses new tasks.
    Drain,
    /// Accepts new tasks again after `Drain`.
    Open,
    /// Simulates the death of the process: connections are reset, new ones refused, and tasks lost.
    Die,
    /// Listens at the same address again after `Die`, with no program warm.
    Return,
    /// Sets the share of offers that are refused.
    Refuse(f64),
    /// Sets the share of offers that are answered with an error.
    Fail(f64),
    /// Ends the node.
    End,
}

/// The behaviour of a node; events with a share are drawn from `seed`.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The node's name in ledgers and reports.
    pub name: String,
    /// Seed of the random generator.
    pub seed: u64,
    /// Maximum number of tasks.
    pub slots: usize,
    /// Maximum number of concurrent starts; further ones are queued.
    pub starts: usize,
    /// Start time if the program is warm.
    pub start_ms: Times,
    /// Start time if it is not.
    pub cold_start_ms: Times,
    /// How long a program stays warm after its last start.
    pub kept_warm: Duration,
    /// Run time of a task.
    pub life_ms: Times,
    /// Share of offers that are refused.
    pub refuse: f64,
    /// Share of offers that are answered with an error.
    pub fail: f64,
    /// Share of offers that are never answered although the task runs.
    pub silent: f64,
    /// Share of offers at which the connection is reset.
    pub reset: f64,
    /// Share of offers after which the node handles no messages for `stall_ms`.
    pub stall: f64,
    /// Length of a stall.
    pub stall_ms: Times,
    /// How long an idempotency key is remembered: an offer that repeats it while a copy runs or starts is
    /// dropped.
    pub window: Duration,
    /// Cores and memory of the node and of each task: load reports then show the unreserved part. If absent,
    /// reports show free slots.
    pub reports: Option<((f64, f64), (f64, f64))>,
    /// The path in a task's description determines what happens to it, and nothing is drawn: `/run` keeps
    /// running, `/end` ends at once, `/lose` runs and is lost, `/full` is refused, `/error` fails, and any
    /// other path is never answered.
    pub by_path: bool,
    /// Faults and changes with their times by the experiment's clock, in order.
    pub script: Vec<(Duration, Act)>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            name: "node".into(),
            seed: 1,
            slots: 40,
            starts: 8,
            start_ms: (5, 20),
            cold_start_ms: (40, 120),
            kept_warm: Duration::from_secs(8),
            life_ms: (2_000, 6_000),
            refuse: 0.0,
            fail: 0.0,
            silent: 0.0,
            reset: 0.0,
            stall: 0.0,
            stall_ms: (50, 400),
            window: Duration::from_secs(6),
            reports: None,
            by_path: false,
            script: Vec::new(),
        }
    }
}
