//! The laboratory: a stand-in node that speaks the platform's box protocol and fails by script or by seed, a ledger of
//! all that it was asked, an auditor of ledgers, owners on both fronts, and rigs that put them together around a
//! planner. Everything stays on loopback addresses, is bounded in count and time, and ends by itself.

pub mod audit;
pub mod capacity;
pub mod judge;
pub mod load;
pub mod net;
pub mod node;
pub mod planner;
pub mod rigs;
pub mod twin;

use std::time::{Duration, Instant};

/// One clock for all parts of a rig, so that what different nodes booked can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// A moment in its time.
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.0)
    }

    /// Time since its start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}
