//! Counts of the datagrams between planners.

/// Datagrams received, sent and dropped since the planner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams received, and their bytes.
    pub received: (u64, u64),
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Dropped: from an address that is not in the member list, or not that of the planner that they name.
    pub unlisted: u64,
    /// Dropped: from another fleet, with another member list or other terms, or corrupt.
    pub other: u64,
    /// Dropped: of another version of the protocol.
    pub version: u64,
    /// Dropped: cannot be decoded.
    pub unreadable: u64,
}
