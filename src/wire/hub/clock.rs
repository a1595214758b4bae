//! The program's clock.

use crate::placer::Seconds;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span of time; none where it is past, the longest where no clock can tell it.
pub fn seconds(span: Seconds) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(Duration::MAX)
}

/// Seconds. A wall clock that is off by more has stepped.
const STEP_S: Seconds = 0.25;

/// The system's wall clock, in seconds since 1970.
fn wall_clock() -> Seconds {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// The Unix clock, made steady: it starts from the system's and never goes back.
pub struct Clock {
    unix: Seconds,
    since: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Clock { unix: wall_clock(), since: Instant::now() }
    }

    /// Whether the system's wall clock has stepped since the program started.
    pub fn has_stepped(&self) -> bool {
        (wall_clock() - self.now()).abs() > STEP_S
    }

    pub fn now(&self) -> Seconds {
        self.unix + self.since.elapsed().as_secs_f64()
    }
}
