//! Counts of what is rare and worth a look after an incident; they are logged when the planner reloads or stops.

/// What befell attempts and their connections since the planner started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that were given up and of which a copy may have run on: their requests were not sent again.
    pub unheard_attempts: u64,
    /// Connections to machines that this planner ended without a sign that the machine did, too.
    pub unproved_ends: u64,
    /// Set-ups held back until their client was heard.
    pub held_set_ups: u64,
    /// Requests that were answered because the planner stops.
    pub cut_short: u64,
}
