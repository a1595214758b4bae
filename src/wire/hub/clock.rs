//! The program's clock.

use crate::placer::Seconds;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A span of time; none where it is past, the longest where no clock can tell it.
pub fn seconds(span: Seconds) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(Duration::MAX)
}

/// The Unix clock, made steady: it starts from the system's and never goes back.
pub struct Clock {
    unix: Seconds,
    since: Instant,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { unix, since: Instant::now() }
    }

    pub fn now(&self) -> Seconds {
        self.unix + self.since.elapsed().as_secs_f64()
    }
}
