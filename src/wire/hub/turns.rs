//! The turns of the runtime's thread: it waits for what comes, wakes, and works until it waits again. What it reads in a turn
//! may have lain unread since the turn before began, where that one left it no time to wait.

use crate::placer::Seconds;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Seconds. A wait that is shorter found something that had come before it.
const WAITED_S: Seconds = 0.0005;

#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    /// When the thread went to wait last.
    parked_at: Seconds,
    /// When the turn began.
    began_at: Seconds,
    /// Since when what is read in it may have lain unread.
    unread_since: Option<Seconds>,
}

/// The turns of one thread, on a clock of their own.
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
    /// The thread goes to wait.
    pub fn park(&self) {
        self.park_at(self.now());
    }

    /// The thread wakes.
    pub fn unpark(&self) {
        self.unpark_at(self.now());
    }

    /// For how many seconds what is read now may have lain unread; none where no turn is known.
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
        let waited = now - turn.parked_at >= WAITED_S;
        let unread_since = if waited { now } else { turn.began_at };
        *turn = Turn { began_at: now, unread_since: Some(unread_since), ..*turn };
    }
}

#[cfg(test)]
mod tests;
