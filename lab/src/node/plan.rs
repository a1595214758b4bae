//! How a node behaves.

use std::time::Duration;

/// Least and most milliseconds, drawn evenly.
pub type Times = (u64, u64);

/// Something that befalls a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// It does nothing for so long, but takes in bytes.
    Pause(Duration),
    /// It answers nothing from now on, and takes connections.
    Hang,
    /// It goes on after a hang: what came meanwhile is passed over.
    Wake,
    /// All its connections are reset.
    Reset,
    /// It takes nothing new.
    Drain,
    /// It takes new work again.
    Open,
    /// Its process dies: connections are reset, new ones refused, tasks gone.
    Die,
    /// It comes back at its address, cold.
    Return,
    /// The share of asks that it refuses, from now on.
    Refuse(f64),
    /// The share of asks that it answers with an error, from now on.
    Fail(f64),
    /// It ends for good.
    End,
}

/// How a node behaves; the shares are drawn by `seed`.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name in ledgers and reports.
    pub name: String,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Tasks that it holds at most.
    pub slots: usize,
    /// Starts that go on at once; others wait their turn.
    pub starts: usize,
    /// A start where the program is kept.
    pub start_ms: Times,
    /// A start where it is not.
    pub cold_start_ms: Times,
    /// A program is kept for so long after its last start.
    pub kept: Duration,
    /// How long a task runs.
    pub life_ms: Times,
    /// Share of asks that are refused.
    pub refuse: f64,
    /// Share of asks that end in an error.
    pub fail: f64,
    /// Share of asks that are never answered; the task may run all the same.
    pub silent: f64,
    /// Share of asks at which the connection is reset.
    pub reset: f64,
    /// Share of asks after which it does nothing for `stall_ms`.
    pub stall: f64,
    /// See `stall`.
    pub stall_ms: Times,
    /// So long a key is remembered: a repeat within it is dropped where a copy stands or starts.
    pub window: Duration,
    /// Cores and memory of the node, and of a task of the rig: reports tell what nobody asked for. Free slots if absent.
    pub reports: Option<((f64, f64), (f64, f64))>,
    /// What becomes of a task is said by the path in its description, and by nothing that is drawn: `/run` runs on,
    /// `/end` ends at once, `/lose` runs and is lost, `/full` is refused, `/error` fails, all else is never answered.
    pub by_path: bool,
    /// What befalls it when, by the clock of the rig, in order.
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
            kept: Duration::from_secs(8),
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
