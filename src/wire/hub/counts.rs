//! Counts of rare events for the analysis of incidents; they are logged when the planner reloads or stops.

/// Rare events of attempts and their connections since the planner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that were abandoned although the task may still run on the machine: their requests were not
    /// retried.
    pub unheard_attempts: u64,
    /// Connections to machines that this planner closed without proof that the machine closed them, too.
    pub unproved_ends: u64,
    /// Set-ups held back until everything their owner had sent was read.
    pub held_set_ups: u64,
    /// Requests that were answered early because the planner stops.
    pub cut_short: u64,
    /// Connections of owners that were closed because the memory for unwritten answers was used up.
    pub closed_unread: u64,
}
