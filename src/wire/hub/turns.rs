//! The turns of the runtime's thread. In a turn the thread wakes, handles events, and parks until the next
//! event. Bytes that it reads in a turn may have arrived as early as the start of the previous turn, if the
//! thread waited for less than [`MIN_WAIT_S`] in between.

use crate::placer::Seconds;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Seconds. A shorter wait ended because of an event that had occurred before it.
const MIN_WAIT_S: Seconds = 0.0005;

#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    /// When the thread last parked.
    parked_at: Seconds,
    /// When the turn began.
    began_at: Seconds,
    /// The earliest time at which bytes that are read in the turn can have arrived.
    unread_since: Option<Seconds>,
}

/// The turns of one thread, timed by a clock of their own.
#[derive(Debug)]
pub struct Turns {
    start: Instant,
    turn: Mutex<Turn>,
}

impl Default for Turns {
    fn default() -> Self {
        Turns { start: Instant::now(), turn: Mutex::default() }
    }
}

impl Turns {
    /// Records that the thread parks.
    pub fn park(&self) {
        self.park_at(self.now());
    }

    /// Records that the thread wakes.
    pub fn unpark(&self) {
        self.unpark_at(self.now());
    }

    /// For how many seconds bytes that are read now may have been unread; none before the first turn.
    pub fn unread_for(&self) -> Option<Seconds> {
        let since = self.turn.lock().unwrap_or_else(PoisonError::into_inner).unread_since;
        since.map(|since| self.now() - since)
    }

    fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    fn park_at(&self, now: Seconds) {
        self.turn.lock().unwrap_or_else(PoisonError::into_inner).parked_at = now;
    }

    fn unpark_at(&self, now: Seconds) {
        let mut turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = now - turn.parked_at >= MIN_WAIT_S;
        let unread_since = if waited { now } else { turn.began_at };
        *turn = Turn { began_at: now, unread_since: Some(unread_since), ..*turn };
    }
}

#[cfg(test)]
mod tests;
