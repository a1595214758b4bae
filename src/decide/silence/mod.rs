//! Failure detection for machines that hold tasks: when to dial a silent machine, when to switch to another
//! connection, when to close a connection, and when to report the held tasks as lost. Pure: times and counts
//! come in.
//!
//! - Held tasks are reported lost within [`LOST_AFTER_S`] of the machine's last sign of activity, so that
//!   their owners have the answer within the protocol's 8 s, even if every dial since then ran into its
//!   time-out (`a_lost_task_is_told_in_time`).
//! - A single machine that falls silent is soon assumed to have failed. Many that are silent at once are
//!   assumed to be cut off by the network (`many_silent_machines_are_waited_for`): their tasks still run, and
//!   if each planner reported them lost, all would be restarted at the same time on the rest of the fleet.
//! - A connection may stay open after its machine's process has exited, or deliver nothing any more. No probe
//!   is spent to find that out: a new connection that comes up replaces the silent one. The machine sends the
//!   answers that it owes on the new connection, so that one must not be closed unread. If the dial is
//!   refused, a message that costs nothing is written to the old connection: the host of a process that has
//!   exited answers it with a reset.
//! - A machine that drains and takes no new connections may no longer report the ends of tasks, even if its
//!   old connection is up and it answers each probe there. Its tasks are reported lost [`LOST_AFTER_S`] after
//!   it last accepted a connection or reported on a task (`a_drain_that_tells_of_no_end_is_not_waited_for`).

pub mod checks;

use crate::placer::Seconds;

/// Seconds without a sign of activity from the machine after which its tasks are reported lost; where it
/// refuses dials, seconds without a report on a task. The answer must reach the owner within 8 s, and the
/// last dial and one more check still follow this time.
pub const LOST_AFTER_S: Seconds = 6.5;
/// Seconds of silence after which a machine that holds tasks is dialled; the base interval of further
/// dials.
pub const DIAL_AFTER_S: Seconds = 1.0;
/// Seconds of silence after which a connection is closed that a new one cannot replace, because an attempt is
/// open on it.
pub const CLOSE_AFTER_S: Seconds = 5.5;
/// The number of consecutive failed dials from which a machine can be considered lost.
pub const MIN_FAILED_DIALS: u32 = 3;
/// The number of machines silent at once from which a common cause is assumed: independent failures affect
/// only a few machines at a time.
pub const MANY_SILENT: usize = 8;

/// Whether the tasks at a machine are to be reported lost, given the number of consecutive failed dials, the
/// time since the machine's last sign of activity, and the number of machines, this one included, that no
/// dial reaches now.
pub fn is_lost(failed_dials: u32, quiet_s: Seconds, silent_now: usize) -> bool {
    failed_dials >= MIN_FAILED_DIALS && (silent_now < MANY_SILENT || quiet_s >= LOST_AFTER_S)
}

/// The result of a dial beside an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// The connection came up.
    Up,
    /// The host reports that no process listens there.
    Refused,
    /// No answer arrived.
    Silent,
    /// This planner lacked the resources to dial.
    NoResources,
}

/// What to do about a silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Dial beside the connection.
    Dial,
    /// Switch to the connection that just came up; whatever the machine still sends on the old one is read to
    /// its end.
    Swap,
    /// Read the connection that just came up to its end: a machine sends the answers that it owes on the next
    /// connection.
    ReadNewToEnd,
    /// Write a message that costs nothing: if the machine's process has exited, the host answers with a
    /// reset.
    ProvokeReset,
    /// Close the connection: it delivers nothing any more.
    Close,
    /// Report the tasks at the machine as lost; the connection stays open.
    Lost,
}

/// The last signs of activity of a machine, over all its connections.
#[derive(Clone, Copy, Debug)]
pub struct MachineActivity {
    /// When the machine last showed any sign of activity, answered dials included.
    pub last_sign: Seconds,
    /// When it last reported on a task or accepted a connection: until then it did report the ends of its
    /// tasks.
    pub last_task_report: Seconds,
    /// Consecutive failed dials since the last sign of activity.
    pub failed_dials: u32,
}

impl MachineActivity {
    /// The state of a machine of which nothing is known yet.
    pub fn new(now: Seconds) -> MachineActivity {
        MachineActivity { last_sign: now, last_task_report: now, failed_dials: 0 }
    }
}

/// The monitor of one open connection.
#[derive(Clone, Debug)]
pub struct Watch {
    /// When data last arrived on the connection.
    last_received: Seconds,
    signs: MachineActivity,
    dial_at: Seconds,
    refused: bool,
}

impl Watch {
    /// The monitor of a connection that just came up.
    pub fn new(now: Seconds) -> Watch {
        Watch {
            last_received: now,
            signs: MachineActivity::new(now),
            dial_at: now + DIAL_AFTER_S,
            refused: false,
        }
    }

    /// Records that data arrived on the connection; `of_task` if it reports on a task rather than merely
    /// answers a probe.
    pub fn record_received(&mut self, now: Seconds, of_task: bool) {
        let last_task_report = if of_task { now } else { self.signs.last_task_report };
        (self.last_received, self.signs) =
            (now, MachineActivity { last_task_report, ..MachineActivity::new(now) });
        self.dial_at = self.dial_at.max(now + DIAL_AFTER_S);
        self.refused &= !of_task;
    }

    /// The signs of activity of the connection's machine.
    pub fn signs(&self) -> MachineActivity {
        self.signs
    }

    /// Returns what is due; `holds_tasks` if the machine holds tasks. `draw`, from 0 to 1, is this planner's
    /// own random number: without it, all planners connected to a machine would dial it in step after a
    /// fault.
    pub fn check(&mut self, now: Seconds, holds_tasks: bool, draw: f64) -> Step {
        if !holds_tasks {
            return Step::Wait;
        }
        if self.refused && now - self.signs.last_task_report >= LOST_AFTER_S {
            return Step::Lost;
        }
        let quiet = now - self.last_received;
        if quiet > CLOSE_AFTER_S && !self.refused {
            return Step::Close;
        }
        if quiet <= DIAL_AFTER_S || now < self.dial_at {
            return Step::Wait;
        }
        self.dial_at = now + DIAL_AFTER_S * (1.0 + 0.5 * draw);
        Step::Dial
    }

    /// The time from which a check may find something due, if the machine holds tasks and nothing arrives
    /// until then.
    pub fn due(&self) -> Seconds {
        let dial = self.dial_at.max(self.last_received + DIAL_AFTER_S);
        let end = if self.refused {
            self.signs.last_task_report + LOST_AFTER_S
        } else {
            self.last_received + CLOSE_AFTER_S
        };
        dial.min(end)
    }

    /// Processes the result of a dial; `attempt_open` if an attempt is open on the connection, which closing
    /// it would abandon.
    pub fn dialled(&mut self, now: Seconds, dial: Dial, attempt_open: bool) -> Step {
        match dial {
            Dial::NoResources => return Step::Wait,
            Dial::Silent => {
                self.signs.failed_dials += 1;
                // The next check dials again.
                self.dial_at = now;
                return if self.signs.failed_dials >= MIN_FAILED_DIALS { Step::Close } else { Step::Wait };
            }
            Dial::Refused => {
                self.signs = MachineActivity {
                    last_task_report: self.signs.last_task_report,
                    ..MachineActivity::new(now)
                }
            }
            Dial::Up => self.signs = MachineActivity::new(now),
        }
        self.refused = dial == Dial::Refused;
        if self.refused {
            Step::ProvokeReset
        } else if attempt_open {
            Step::ReadNewToEnd
        } else {
            Step::Swap
        }
    }
}

#[cfg(test)]
mod tests;
