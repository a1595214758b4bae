//! Datagrams between planners, counted.

/// What came and went, and what was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams heard, and their bytes.
    pub heard: (u64, u64),
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// From an address that is not in the list, or not that of the planner that they name.
    pub unlisted: u64,
    /// Of another fleet, list or terms, or spoilt.
    pub other: u64,
    /// Of another version.
    pub version: u64,
    /// Cannot be read.
    pub unreadable: u64,
}
