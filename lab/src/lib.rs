//! The laboratory: a stand-in node that speaks the platform's machine protocol and fails by script or at
//! random, a ledger of the offers that it received, an auditor of ledgers, load generators for both fronts,
//! and experiments (`experiments`) that combine them with a planner. Everything stays on loopback addresses, is
//! bounded in count and time, and ends by itself.

pub mod audit;
pub mod capacity;
pub mod experiments;
pub mod judge;
pub mod load;
pub mod net;
pub mod node;
pub mod planner;
pub mod simulation;

use std::time::{Duration, Instant};

/// One clock for all parts of an experiment, so that times in different nodes' ledgers can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time from the clock's start to `moment`.
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.0)
    }

    /// Time since its start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}
