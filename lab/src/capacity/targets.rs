//! The size of the fleet that the operators expect in two years, and the limits that they set for the cost of
//! control. Values that they did not give are in [`assumed`] and appear as questions on the page.

/// Machines of the fleet.
pub const MACHINES: f64 = 18_000.0;
/// Accelerators in these machines.
pub const ACCELERATORS: f64 = 26_000.0;
/// Task starts per second at the peak.
pub const STARTS_PER_S: f64 = 11_000.0;
/// Tasks that run at the same time.
pub const STANDING_TASKS: f64 = 380_000.0;
/// Members of the largest gang (group of tasks that start together).
pub const GANG_MEMBERS: f64 = 128.0;
/// Teams with quotas.
pub const TEAMS: f64 = 720.0;
/// Seconds within which urgent work starts.
pub const URGENT_START_S: f64 = 7.1;
/// Regions.
pub const REGIONS: f64 = 3.0;
/// Zones, over all regions.
pub const ZONES: f64 = 7.0;
/// Changes of the configuration per day.
pub const CONFIG_CHANGES_PER_DAY: f64 = 62_000.0;
/// Changes of the configuration per second.
pub const CONFIG_CHANGES_PER_S: f64 = CONFIG_CHANGES_PER_DAY / DAY_S;
/// Changes per second of one team's configuration; 0.72 per second over all teams.
pub const CONFIG_CHANGES_PER_TEAM_S: f64 = CONFIG_CHANGES_PER_DAY / TEAMS / DAY_S;
/// Seconds within which a changed configuration is in force everywhere.
pub const CONFIG_IN_FORCE_S: f64 = 12.0;
/// Machines that are reserved for control.
pub const CONTROL_MACHINES: f64 = 19.0;
/// Machine failures per day.
pub const FAILURES_PER_DAY: f64 = 210.0;
/// Machines that are restarted or replaced per day.
pub const RESTARTS_PER_DAY: f64 = 4_900.0;

/// Milliseconds after the notice that a machine drains, within which the planner stops sending it new tasks.
pub const DRAIN_MS: f64 = 500.0;

/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// The limits of the cost of control at a planner.
pub mod control {
    /// Processor time, as a share of a core.
    pub const PROCESSOR_SHARE: f64 = 0.015;
    /// Resident memory in megabytes.
    pub const MEMORY_MB: f64 = 32.0;
    /// Bytes per second, in and out together.
    pub const BYTES_PER_S: f64 = 11_000.0;
}

/// Limits of the program itself.
pub mod program {
    /// The longest line of the machine list in bytes (`wire/platform/discovery.rs`).
    pub const LIST_LINE_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
    /// The largest configuration file in bytes (`document`).
    pub const FILE_BYTES: f64 = 4.0 * 1024.0 * 1024.0;
    /// The most planners in a fleet (`decide/fleet`).
    pub const PLANNERS: f64 = 1_024.0;
}

/// Assumed values, which the operators did not give; each is a question on the page.
pub mod assumed {
    use super::{DAY_S, FAILURES_PER_DAY, MACHINES, RESTARTS_PER_DAY};

    /// Changes of the machine list per restart or replacement: the machine drains, it is removed, its
    /// successor is added.
    const CHANGES_PER_RESTART: f64 = 3.0;
    /// Changes of the machine list per failure: the machine is removed and added again.
    const CHANGES_PER_FAILURE: f64 = 2.0;
    /// Changes of the machine list per second and machine, if the list contains only membership.
    pub const LIST_CHANGES_PER_MACHINE_S: f64 =
        (RESTARTS_PER_DAY * CHANGES_PER_RESTART + FAILURES_PER_DAY * CHANGES_PER_FAILURE) / DAY_S / MACHINES;
    /// Seconds between two updates of a machine's free capacity, if the list contains that as well.
    const FREE_CAPACITY_UPDATE_INTERVAL_S: f64 = 10.0;
    /// Changes of the machine list per second and machine, if the list also contains the free capacity.
    pub const LIST_FREE_CHANGES_PER_MACHINE_S: f64 = 1.0 / FREE_CAPACITY_UPDATE_INTERVAL_S;
    /// Machines in a rack.
    pub const RACK_MACHINES: f64 = 40.0;
    /// Zones in the largest region.
    pub const LARGEST_REGION_ZONES: f64 = 3.0;
    /// Share of its core that a planner uses at the peak by plan; the rest is a margin for uneven load.
    pub const PLANNED_CORE_SHARE: f64 = 0.7;
    /// Cores of a machine reserved for control: the smallest machine of that kind in today's deployment.
    pub const CONTROL_MACHINE_CORES: f64 = 40.0;
    /// The longest acceptable p99 of an answer in milliseconds: half of the shortest required start time
    /// (600 ms).
    pub const ANSWER_MS: f64 = 300.0;
    /// Seconds within which a restarted planner is ready.
    pub const READY_S: f64 = 10.0;
}
