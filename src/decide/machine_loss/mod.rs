//! What is known of the tasks at a machine that cannot be reached. Three facts are kept apart, as each rests on evidence
//! of its own (`docs/design/machine-loss.md`):
//!
//! - [`LossNotice`]: whose clients are told now that their tasks are lost. A decision in time, which may be wrong: an end
//!   that no message reports has to be told within 8 s.
//! - [`ConnectionEnd`]: whether a set-up that was sent on a connection may still be open there.
//! - [`CopyEnd`]: what shows that a copy has ended. Only this frees a key, or lets the member of a group be placed anew.
//!
//! A refused dial proves that nothing was begun by it, and nothing of the copies that run: a machine that drains, or that
//! is short of connections, refuses dials and keeps its tasks. So no type here turns a refusal, a close or a reset into
//! the end of a copy.

use crate::placer::{Seconds, Standing};

/// Seconds. Time for which a draining machine that refuses connections is assumed to keep the tasks of platform clients.
const DRAINING_KEEP_S: Seconds = 3.0;

/// Seconds. Time since a machine's last sign by which all clients are told, of the 8 s of the protocol.
const TELL_BY_S: Seconds = 7.5;

/// How a connection to a machine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The machine has seen the end, and so has given up the set-ups that were open on the connection.
    SeenByMachine,
    /// The machine may not know of the end: set-ups that were sent may still be open.
    Unconfirmed,
}

/// What shows that the process which a machine ran is gone, with all copies that it held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEnd {
    /// The list calls the machine gone, a whole list leaves it out, or another machine has its address.
    LeftList,
    /// The list names a later start of the machine: what was begun until then is gone.
    Restarted {
        /// When the machine's process started.
        started: Seconds,
    },
}

/// What shows that one copy at a machine has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CopyEnd {
    /// The machine reported it.
    Reported,
    /// The machine answered a connection check that was written behind the order to stop the copy.
    StopConfirmed,
    /// The process that held it is gone.
    Process(ProcessEnd),
    /// Nothing, for longer than any task is expected to run.
    RetentionPassed,
}

/// How the last connection to a machine ended before a dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormerConnection {
    /// It was reset, as the connections of a process that dies are.
    Reset,
    /// It was closed, or there was none.
    NotReset,
}

/// A dial that was refused, and what preceded it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusedDial {
    /// How the last connection to the machine ended.
    pub former_connection: FormerConnection,
    /// Seconds since the machine last reported on a task or accepted a connection. A machine that drains may answer
    /// checks and report no ends any more.
    pub unreported_s: Seconds,
    /// Seconds since the machine last showed any sign of activity.
    pub silent_s: Seconds,
    /// Seconds within which the machine is dialled again. Where connections go round, that is longer.
    pub redial_s: Seconds,
}

/// Whose clients are told that their tasks at a machine are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossNotice {
    /// Nobody's: the tasks are assumed to run on.
    Nobody,
    /// Clients of the platform. They look themselves whether the task runs before they ask again.
    PlatformClients,
    /// All clients. For those of the REST API and of groups the task is ordered to stop in case it runs.
    Everyone,
}

/// Decides who is told after a refused dial, given how the list calls the machine and for how long it has refused dials
/// while draining.
pub fn notice_after_refusal(standing: Standing, refused_s: Seconds, dial: RefusedDial) -> LossNotice {
    let was_reset = dial.former_connection == FormerConnection::Reset;
    // The next dial would be too late to tell.
    let is_due = |quiet_s: Seconds| quiet_s + dial.redial_s >= TELL_BY_S;
    if standing == Standing::Draining {
        if is_due(dial.unreported_s) {
            LossNotice::Everyone
        } else if was_reset || refused_s >= DRAINING_KEEP_S {
            LossNotice::PlatformClients
        } else {
            LossNotice::Nobody
        }
    } else if was_reset || is_due(dial.silent_s) {
        // The connections of a process that dies are reset. Without a reset it may be short of connections.
        LossNotice::Everyone
    } else {
        LossNotice::PlatformClients
    }
}

#[cfg(test)]
mod tests;
