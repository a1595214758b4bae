//! Which client connection is closed when the memory for the output queues of all of them is used up. Pure: times and
//! counts come in.
//!
//! - A connection that has borrowed nothing is never closed for another one
//!   (`a_connection_within_its_reserve_is_never_closed`).
//! - A connection whose socket has not taken a byte for longer is closed before one that was read more recently, and
//!   one that was never offered to its socket last of all (`the_longest_blocked_connection_is_closed_first`).

use crate::placer::Seconds;

/// Seconds. A connection whose socket has taken nothing for this time, while something was to be written, is closed:
/// its client is assumed never to read it.
pub const READ_TIMEOUT_S: Seconds = 5.0;

/// What waits to be written on one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// The id of the connection.
    pub connection: u64,
    /// Bytes queued beyond the connection's own reserve.
    pub borrowed: usize,
    /// Since when its socket has taken nothing although something was offered; `None` if it takes what it is offered,
    /// or was not offered anything yet.
    pub blocked_since: Option<Seconds>,
}

/// Whether a client is assumed not to read its connection any more.
pub fn is_abandoned(now: Seconds, blocked_since: Option<Seconds>) -> bool {
    blocked_since.is_some_and(|since| now - since > READ_TIMEOUT_S)
}

/// The connection to close so that others have room: of those that have borrowed, the one that has been blocked for
/// the longest time, and among equals the one that has borrowed most.
pub fn to_close(backlogs: impl Iterator<Item = Backlog>) -> Option<u64> {
    let blocked_since = |backlog: &Backlog| backlog.blocked_since.unwrap_or(Seconds::INFINITY);
    let precedes = |a: &Backlog, b: &Backlog| {
        blocked_since(a).total_cmp(&blocked_since(b)).then(b.borrowed.cmp(&a.borrowed))
    };
    backlogs.filter(|backlog| backlog.borrowed > 0).min_by(precedes).map(|backlog| backlog.connection)
}

#[cfg(test)]
mod tests;
