//! The rows of the page: for each cost of a role or an event, the figure and slope that measure it, the size
//! at which it is evaluated, its bound, and the module that causes it.

mod events;
mod fleet;
mod hollow_real_pairs;
mod planner;

pub use hollow_real_pairs::{HollowRealPair, HOLLOW_AND_REAL};

use super::page::reading::Reading;
use super::targets::{self, control};

/// A section of the page: a role in the fleet, or an event that affects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// A role that exists all the time.
    Role(&'static str),
    /// An event.
    Event(&'static str),
}

/// Whether the cost grows with machines and planners, or with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Incurred without any requests, or growing with machines or planners.
    Control,
    /// Growing with requests.
    Service,
}

/// The resource that is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Stored state.
    State,
    /// Messages and their bytes.
    Messages,
    /// Processor time.
    Processor,
    /// Resident memory.
    Memory,
    /// Time until an operation completes.
    Time,
}

/// The size at which a row is evaluated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    /// A size from [`targets`].
    Target(f64),
    /// The number of planners that the fleet needs ([`super::page::planners`]).
    Planners,
    /// The number of running tasks of one of these planners.
    TasksPerPlanner,
}

/// The upper limit of a row's value.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The limit, in the unit of the row.
    pub limit: f64,
    /// The origin of the limit.
    pub set_by: &'static str,
}

/// One row of the page.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Identifies the row for the table of missing mechanisms.
    pub id: &'static str,
    /// The section in which the row is shown.
    pub section: Section,
    /// Control or service.
    pub kind: Kind,
    /// The resource that is used.
    pub resource: Resource,
    /// A description of the cost.
    pub what: &'static str,
    /// The figure that measures it.
    pub reading: Reading,
    /// The size at which the figure is evaluated.
    pub size: Size,
    /// The bound, if there is one.
    pub bound: Option<Bound>,
    /// The module that causes the cost.
    pub module: &'static str,
}

const MACHINES: Size = Size::Target(targets::MACHINES);
const TEAMS: Size = Size::Target(targets::TEAMS);

const PROCESSOR: Bound = Bound { limit: 100.0 * control::PROCESSOR_SHARE, set_by: "operators" };
const MEMORY: Bound = Bound { limit: control::MEMORY_MB, set_by: "operators" };
const BYTES: Bound = Bound { limit: control::BYTES_PER_S, set_by: "operators" };

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// KiB in a megabyte.
const KIB_IN_MB: f64 = 1024.0;
/// Converts a share of a core to percent.
const PERCENT: f64 = 100.0;
/// Converts milliseconds per second to percent of a core.
const PERCENT_OF_MS: f64 = PERCENT / 1e3;
/// Converts microseconds per second to percent of a core.
const PERCENT_OF_US: f64 = PERCENT / 1e6;
/// The share of the machines that are in one zone.
const ZONE_SHARE: f64 = 1.0 / targets::ZONES;

/// A figure times a constant factor.
const fn reading(slope: &'static str, figure: &'static str, multiplier: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, added_figure: None, multiplier, multiplied_by_size: false, unit }
}

/// A figure per unit of the size, so that it is also multiplied by the size.
const fn per_unit(slope: &'static str, figure: &'static str, multiplier: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, added_figure: None, multiplier, multiplied_by_size: true, unit }
}

/// The sum of two figures.
const fn sum_of(slope: &'static str, figures: [&'static str; 2], unit: &'static str) -> Reading {
    Reading {
        slope,
        figure: figures[0],
        added_figure: Some(figures[1]),
        multiplier: 1.0,
        multiplied_by_size: false,
        unit,
    }
}

/// All rows, in the order of the page.
pub fn all() -> impl Iterator<Item = &'static Row> {
    planner::ROWS.iter().chain(fleet::ROWS).chain(events::ROWS)
}
