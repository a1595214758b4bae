//! Schedules the periodic checks of a connection to a machine. Pure: times and the state of the connection
//! come in.
//!
//! Each connection has a grid of check times of its own: they are [`CHECK_INTERVAL_S`] apart, and the first
//! one is random. Checks at which nothing could be due are skipped.
//!
//! - A check that finds something runs at the same time as if none were skipped: nothing that is due is found
//!   later, and nothing is found twice (`what_is_left_out_would_have_found_nothing`).
//! - A connection with no open probe, no unconfirmed cancellation, no held tasks and no partial line is not checked,
//!   unless another machine waits for a connection slot (`an_idle_connection_is_not_looked_at`).
//! - A late check shifts the grid, and missed checks are not made up for (`a_late_look_moves_the_grid`).
//!
//! The code that drives a connection plans the next check anew whenever there may be something new to check:
//! a probe or a cancellation is sent, a partial line arrives, the machine gets its first task, or a machine begins to wait for
//! a connection slot while no other waits.

use super::Watch;
use crate::placer::Seconds;

/// Seconds between two checks.
pub const CHECK_INTERVAL_S: Seconds = 0.25;
/// Seconds after which an unanswered probe has failed.
pub const PROBE_TIMEOUT_S: Seconds = 1.0;
/// Seconds after its last byte at which a partial line is considered truncated for good.
pub const PARTIAL_LINE_TIMEOUT_S: Seconds = 0.5;
/// Seconds by which a check may be late without shifting the grid.
const LATE_CHECK_S: Seconds = 0.005;

/// State of a connection that may call for a check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Open {
    /// When the open probe was sent, if there is one.
    pub probe_since: Option<Seconds>,
    /// When the last byte of a partial line arrived, if there is one.
    pub partial_line_since: Option<Seconds>,
    /// The time by which the machine has to confirm a cancellation, if one is unconfirmed.
    pub confirm_by: Option<Seconds>,
    /// The machine holds tasks.
    pub holds_tasks: bool,
    /// Another machine waits for a connection slot, and a check may free one.
    pub is_short: bool,
}

impl Open {
    /// Whether the open probe has timed out.
    pub fn is_probe_late(&self, now: Seconds) -> bool {
        self.probe_since.is_some_and(|since| now - since > PROBE_TIMEOUT_S)
    }

    /// Whether a partial line has timed out.
    pub fn is_line_lost(&self, now: Seconds) -> bool {
        self.partial_line_since.is_some_and(|since| now - since > PARTIAL_LINE_TIMEOUT_S)
    }

    /// Whether a cancellation has been unconfirmed for too long.
    pub fn is_cancellation_late(&self, now: Seconds) -> bool {
        self.confirm_by.is_some_and(|confirm_by| now >= confirm_by)
    }

    /// The time from which a check may find something; `None` if no check can.
    pub fn due(&self, watch: &Watch) -> Option<Seconds> {
        let probe_due = self.probe_since.map(|since| since + PROBE_TIMEOUT_S);
        let line_due = self.partial_line_since.map(|since| since + PARTIAL_LINE_TIMEOUT_S);
        let tasks_due = self.holds_tasks.then(|| watch.due());
        let slots_due = self.is_short.then_some(f64::NEG_INFINITY);
        [probe_due, line_due, self.confirm_by, tasks_due, slots_due]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }
}

/// The schedule of the checks of one connection.
#[derive(Clone, Debug)]
pub struct CheckSchedule {
    /// A point of the grid: the time of the next check, unless that is skipped.
    next: Seconds,
    planned: Option<Seconds>,
}

impl CheckSchedule {
    /// A schedule whose first check may run at `first`.
    pub fn new(first: Seconds) -> CheckSchedule {
        CheckSchedule { next: first, planned: None }
    }

    /// Plans the next check, given the time from which something may be due, and returns when it runs; `None`
    /// if nothing may be due.
    pub fn plan(&mut self, now: Seconds, due: Option<Seconds>) -> Option<Seconds> {
        // Grid points that passed since the last plan were skipped, unless a planned check was due by now and
        // has merely not run yet.
        if self.planned.is_none_or(|at| at > now) {
            self.next = self.grid_point_from(now);
        }
        self.planned = due.map(|due| self.grid_point_from(due));
        self.planned
    }

    /// Records that the planned check runs now.
    pub fn record_check(&mut self, now: Seconds) {
        let planned = self.planned.unwrap_or(now);
        let at = if now - planned > LATE_CHECK_S { now } else { planned };
        self.next = at + CHECK_INTERVAL_S;
        // If the work that follows a check takes longer than the interval, the next check is due at once.
        self.planned = Some(self.next);
    }

    /// The first point of the grid at or after a time.
    fn grid_point_from(&self, time: Seconds) -> Seconds {
        let skipped = ((time - self.next) / CHECK_INTERVAL_S).ceil().max(0.0);
        self.next + skipped * CHECK_INTERVAL_S
    }
}

#[cfg(test)]
mod tests;
