//! The rows of the page: which figure of which slope tells what a role or an event needs, at which size, under which
//! bound, and which module carries it.

mod beside;
mod events;
mod fleet;
mod planner;

pub use beside::{Beside, HOLLOW_AND_REAL};

use super::page::reading::Reading;
use super::targets::{self, control};

/// A part that something of the fleet plays, or something that happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// What is there all the time.
    Role(&'static str),
    /// What happens.
    Event(&'static str),
}

/// Whether the cost grows with machines and planners, or with asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Spent while no ask comes, or growing with machines or planners.
    Control,
    /// Growing with asks.
    Service,
}

/// What is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// What is kept.
    State,
    /// Messages and their bytes.
    Messages,
    /// Processor time.
    Processor,
    /// Resident memory.
    Memory,
    /// Time until something is done.
    Time,
}

/// The size at which a row is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    /// A size of the target.
    Target(f64),
    /// As many planners as the fleet needs ([`super::page::planners`]).
    Planners,
    /// The tasks that stand at one of them.
    TasksOfPlanner,
}

/// What a row may cost.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The most, in the row's unit.
    pub most: f64,
    /// Who says so.
    pub by: &'static str,
}

/// One row of the page.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Names the row for the table of what is missing.
    pub id: &'static str,
    /// Where it stands.
    pub place: Place,
    /// Control or service.
    pub kind: Kind,
    /// What is spent.
    pub resource: Resource,
    /// What it is, in words.
    pub what: &'static str,
    /// The figure.
    pub reading: Reading,
    /// The size.
    pub size: Size,
    /// The bound, where there is one.
    pub bound: Option<Bound>,
    /// The module that carries it.
    pub module: &'static str,
}

const MACHINES: Size = Size::Target(targets::MACHINES);
const TEAMS: Size = Size::Target(targets::TEAMS);

const PROCESSOR: Bound = Bound { most: 100.0 * control::PROCESSOR_SHARE, by: "operators" };
const MEMORY: Bound = Bound { most: control::MEMORY_MB, by: "operators" };
const BYTES: Bound = Bound { most: control::BYTES_PER_S, by: "operators" };

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// KiB of a megabyte.
const KIB_IN_MB: f64 = 1024.0;
/// Hundredths of a core, of a share of one.
const PERCENT: f64 = 100.0;
/// Hundredths of a core, of milliseconds a second.
const PERCENT_OF_MS: f64 = PERCENT / 1e3;
/// Hundredths of a core, of microseconds a second.
const PERCENT_OF_US: f64 = PERCENT / 1e6;
/// Share of the machines that a zone has.
const ZONE_SHARE: f64 = 1.0 / targets::ZONES;

const fn reading(slope: &'static str, figure: &'static str, times: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, plus: None, times, times_size: false, unit }
}

/// What comes with each unit of the size, so that it is multiplied by the size as well.
const fn each(slope: &'static str, figure: &'static str, times: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, plus: None, times, times_size: true, unit }
}

const fn both(slope: &'static str, figures: [&'static str; 2], unit: &'static str) -> Reading {
    Reading { slope, figure: figures[0], plus: Some(figures[1]), times: 1.0, times_size: false, unit }
}

/// All rows, in the order in which they stand on the page.
pub fn all() -> impl Iterator<Item = &'static Row> {
    planner::ROWS.iter().chain(fleet::ROWS).chain(events::ROWS)
}
