//! The size that the operators name for two years from now, and what control may cost. Every figure here is theirs;
//! what was assumed beside them stands under [`assumed`] and is told as a question on the page.

/// Machines of the fleet.
pub const MACHINES: f64 = 18_000.0;
/// Accelerators in these machines.
pub const ACCELERATORS: f64 = 26_000.0;
/// Starts of tasks a second at the peak.
pub const STARTS_PER_S: f64 = 11_000.0;
/// Tasks that run at once.
pub const STANDING_TASKS: f64 = 380_000.0;
/// Members of the largest gang.
pub const GANG_MEMBERS: f64 = 128.0;
/// Teams with quotas.
pub const TEAMS: f64 = 720.0;
/// Seconds within which urgent work starts.
pub const URGENT_START_S: f64 = 7.1;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Zones, over all regions.
pub const ZONES: f64 = 7.0;
/// Changes of configuration a day.
pub const CONFIG_CHANGES_A_DAY: f64 = 62_000.0;
/// The same a second.
pub const CONFIG_CHANGES_PER_S: f64 = CONFIG_CHANGES_A_DAY / DAY_S;
/// Changes a second of each team's configuration, 0.72 over all teams.
pub const CONFIG_CHANGES_PER_TEAM_S: f64 = CONFIG_CHANGES_A_DAY / TEAMS / DAY_S;
/// Seconds until a changed configuration is in force everywhere.
pub const CONFIG_IN_FORCE_S: f64 = 12.0;
/// Machines that are set aside for control.
pub const CONTROL_MACHINES: f64 = 19.0;
/// Machines that fail a day.
pub const FAILURES_A_DAY: f64 = 210.0;
/// Machines that are restarted or replaced a day.
pub const RESTARTS_A_DAY: f64 = 4_900.0;

/// Milliseconds. New work to a machine ends so soon after the planner was told that it drains.
pub const DRAIN_MS: f64 = 500.0;

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// What control may cost a planner.
pub mod control {
    /// Share of a core.
    pub const PROCESSOR_SHARE: f64 = 0.015;
    /// Megabytes that are resident.
    pub const MEMORY_MB: f64 = 32.0;
    /// Bytes a second in and out.
    pub const BYTES_PER_S: f64 = 11_000.0;
}

/// What the program itself allows.
pub mod program {
    /// Bytes of one line of the machine list (`wire/platform/board.rs`).
    pub const LIST_LINE_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
    /// Bytes of an operators' file (`document`).
    pub const FILE_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
    /// Planners of a fleet (`decide/fleet`).
    pub const PLANNERS: f64 = 1_024.0;
}

/// What nobody said, each a question on the page.
pub mod assumed {
    use super::{DAY_S, FAILURES_A_DAY, MACHINES, RESTARTS_A_DAY};

    /// Changes of the list for a machine that is restarted or replaced: it drains, is gone, its successor is there.
    const CHANGES_A_RESTART: f64 = 3.0;
    /// Changes of the list for a machine that fails: it is gone, and back.
    const CHANGES_A_FAILURE: f64 = 2.0;
    /// Changes of the list a second for each machine, where it names only machines that come or go.
    pub const LIST_CHANGES_PER_MACHINE_S: f64 =
        (RESTARTS_A_DAY * CHANGES_A_RESTART + FAILURES_A_DAY * CHANGES_A_FAILURE) / DAY_S / MACHINES;
    /// Seconds between two changes of a machine's free room, where the list tells these, too.
    const FREE_TOLD_EVERY_S: f64 = 10.0;
    /// Changes of the list a second for each machine, where it tells the free room, too.
    pub const LIST_FREE_CHANGES_PER_MACHINE_S: f64 = 1.0 / FREE_TOLD_EVERY_S;
    /// Machines of a rack.
    pub const RACK_MACHINES: f64 = 40.0;
    /// Zones of the largest region.
    pub const LARGEST_REGION_ZONES: f64 = 3.0;
    /// Share of a core that a planner is planned to use at the peak; the rest is the margin for uneven load.
    pub const BUSY_SHARE: f64 = 0.7;
    /// Cores of a machine that is set aside for control, the smallest of the kind that the deployment has today.
    pub const CONTROL_MACHINE_CORES: f64 = 40.0;
    /// Milliseconds. Longest p99 of an answer that is still service: the smallest start time wanted, 600 ms, halved.
    pub const ANSWER_MS: f64 = 300.0;
    /// Seconds within which a restarted planner is ready.
    pub const READY_S: f64 = 10.0;
}
