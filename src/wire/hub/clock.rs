//! The program's clock.

use crate::placer::Seconds;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A number of seconds as a `Duration`: zero where it is negative, the longest duration where it is out of
/// range.
pub fn to_duration(span: Seconds) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(Duration::MAX)
}

/// Seconds. A wall clock that deviates by more from the monotonic clock has stepped.
const STEP_S: Seconds = 0.25;

/// The system's wall clock, in seconds since 1970.
fn wall_clock() -> Seconds {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

/// A monotonic clock in Unix time: it starts at the time of the system's wall clock and does not follow its
/// steps.
pub struct Clock {
    started_at: Seconds,
    started: Instant,
}

impl Clock {
    /// A clock that starts at the wall-clock time.
    pub fn new() -> Self {
        Clock { started_at: wall_clock(), started: Instant::now() }
    }

    /// Whether the system's wall clock has stepped since the program started.
    pub fn has_stepped(&self) -> bool {
        (wall_clock() - self.now()).abs() > STEP_S
    }

    /// The time, in seconds since 1970.
    pub fn now(&self) -> Seconds {
        self.started_at + self.started.elapsed().as_secs_f64()
    }
}
