//! When a connection to a machine is looked at. Pure: times and what is open on the connection come in.
//!
//! Looks have a grid of their own for each connection, [`LOOK_EVERY_S`] apart from a drawn first one. Those at which
//! nothing could be due are left out.
//!
//! - A look that finds something comes when it would if none were left out: nothing that is due is found later, and
//!   nothing is found twice (`what_is_left_out_would_have_found_nothing`).
//! - A connection on which nothing is open, nothing stands and no line lies half read is not looked at
//!   (`an_idle_connection_is_not_looked_at`).
//! - A late look moves the grid, and no looks are made up for (`a_late_look_moves_the_grid`).
//!
//! Whoever holds a connection asks for the next look anew whenever something may have begun there: a test, a half
//! line, the first task that stands, the first machine that waits for a place.

use super::Watch;
use crate::placer::Seconds;

/// Seconds. Between two looks.
pub const LOOK_EVERY_S: Seconds = 0.25;
/// Seconds. A test that is not answered by then has failed.
pub const TEST_S: Seconds = 1.0;
/// Seconds. A line that is not whole so long after its last byte never will be.
pub const HALF_LINE_S: Seconds = 0.5;
/// Seconds. A look that is later than this counts as late.
const LATE_S: Seconds = 0.005;

/// What may call for a look at a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Open {
    /// Since when a test is out.
    pub test_since: Option<Seconds>,
    /// When the last byte of a line that is not whole came.
    pub half_line_since: Option<Seconds>,
    /// Tasks stand at the machine.
    pub holds_tasks: bool,
    /// Another machine waits for a place, which a look may find.
    pub is_short: bool,
}

impl Open {
    /// Whether a test that is out has failed.
    pub fn is_test_late(&self, now: Seconds) -> bool {
        self.test_since.is_some_and(|since| now - since > TEST_S)
    }

    /// Whether a line that is not whole never will be.
    pub fn is_line_lost(&self, now: Seconds) -> bool {
        self.half_line_since.is_some_and(|since| now - since > HALF_LINE_S)
    }

    /// From when on a look may find something; nothing where none can.
    pub fn due(&self, watch: &Watch) -> Option<Seconds> {
        let of_test = self.test_since.map(|since| since + TEST_S);
        let of_line = self.half_line_since.map(|since| since + HALF_LINE_S);
        let of_tasks = self.holds_tasks.then(|| watch.due());
        let of_places = self.is_short.then_some(f64::NEG_INFINITY);
        [of_test, of_line, of_tasks, of_places].into_iter().flatten().min_by(f64::total_cmp)
    }
}

/// The looks at one connection.
#[derive(Clone, Debug)]
pub struct Looks {
    /// A point of the grid: the next look, unless it is left out.
    next: Seconds,
    planned: Option<Seconds>,
}

impl Looks {
    /// Looks of which the first may come then.
    pub fn new(first: Seconds) -> Looks {
        Looks { next: first, planned: None }
    }

    /// When the next look comes, where something may be due from that time on; none where nothing may.
    pub fn plan(&mut self, now: Seconds, due: Option<Seconds>) -> Option<Seconds> {
        // What passed since the last plan was left out, unless a look was due by now and only has not come yet.
        if self.planned.is_none_or(|at| at > now) {
            self.next = self.from(now);
        }
        self.planned = due.map(|due| self.from(due));
        self.planned
    }

    /// The look that was planned comes now.
    pub fn looked(&mut self, now: Seconds) {
        let planned = self.planned.unwrap_or(now);
        let at = if now - planned > LATE_S { now } else { planned };
        self.next = at + LOOK_EVERY_S;
        // Should what follows the look take longer than that, the next is due at once.
        self.planned = Some(self.next);
    }

    /// The first point of the grid that is not before a time.
    fn from(&self, time: Seconds) -> Seconds {
        let left_out = ((time - self.next) / LOOK_EVERY_S).ceil().max(0.0);
        self.next + left_out * LOOK_EVERY_S
    }
}

#[cfg(test)]
mod tests;
