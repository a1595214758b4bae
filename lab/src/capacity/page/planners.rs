//! Computes how many planners the target size needs: from the load that one planner can serve and the cost of
//! its control work, both as functions of the number of machines that it handles.

use super::number::{all_digits, head, line, number, percent};
use super::reading::{Reading, Records, Source};
use super::{PageError, NOT_MEASURED};
use crate::capacity::record::Point;
use crate::capacity::targets::{self, assumed, control, program};

const REQUEST: Reading = Reading {
    slope: "ask-machines",
    figure: "processor time an ask, without rest",
    added_figure: None,
    multiplier: 1.0,
    multiplied_by_size: false,
    unit: "ms",
};
const REST: Reading = Reading {
    slope: "rest-machines",
    figure: "processor time at rest",
    added_figure: None,
    multiplier: 1.0,
    multiplied_by_size: false,
    unit: "share",
};
const MEMORY: Reading = Reading {
    slope: "rest-machines",
    figure: "resident memory",
    added_figure: None,
    multiplier: 1.0 / KIB_IN_MB,
    multiplied_by_size: false,
    unit: "MB",
};
const BYTES: Reading = Reading {
    slope: "rest-machines",
    figure: "bytes in at rest",
    added_figure: Some("bytes out at rest"),
    multiplier: 1.0,
    multiplied_by_size: false,
    unit: "bytes/s",
};

/// Whether a planner kept up with a rate of requests: 1 or 0.
const KEPT_UP: Reading = Reading {
    slope: "ask-rate",
    figure: "kept up",
    added_figure: None,
    multiplier: 1.0,
    multiplied_by_size: false,
    unit: "share",
};

/// All figures from which the numbers of planners are computed.
pub const READINGS: [Reading; 4] = [REQUEST, REST, MEMORY, BYTES];

/// KiB in a megabyte.
const KIB_IN_MB: f64 = 1024.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Which machines a planner handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All of them.
    AllMachines,
    /// A part of them, such that each machine is handled by a fixed number of planners.
    PartOfMachines {
        /// The number of planners for each machine.
        replicas: usize,
    },
}

/// The views that the page compares.
const VIEWS: [View; 3] =
    [View::AllMachines, View::PartOfMachines { replicas: 2 }, View::PartOfMachines { replicas: 3 }];
/// The view from which the rows of the page take the number of planners.
const SELECTED_VIEW: View = View::PartOfMachines { replicas: 2 };

/// The fewest planners that keep each bound; `None` where no number of planners does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannersNeeded {
    /// For the rate of task starts at the peak.
    pub starts: Option<usize>,
    /// For the bound on processor time at rest.
    pub processor: Option<usize>,
    /// For the bound on resident memory.
    pub memory: Option<usize>,
    /// For the bound on bytes per second.
    pub bytes: Option<usize>,
}

/// The numbers of planners that the rows of the page use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerCounts {
    /// All planners.
    pub total: usize,
    /// The planners that remain after the loss of one zone.
    pub after_zone_loss: usize,
}

/// The measured costs of one planner.
pub struct Costs<'a> {
    request: Source<'a>,
    rest: Source<'a>,
    memory: Source<'a>,
    bytes: Source<'a>,
}

impl<'a> Costs<'a> {
    /// Reads the costs from the records; `None` if a record is missing.
    ///
    /// # Errors
    /// If a record lacks its figure.
    pub fn read(records: &'a Records) -> Result<Option<Costs<'a>>, PageError> {
        let sources = (
            REQUEST.source(records)?,
            REST.source(records)?,
            MEMORY.source(records)?,
            BYTES.source(records)?,
        );
        let (Some(request), Some(rest), Some(memory), Some(bytes)) = sources else { return Ok(None) };
        Ok(Some(Costs { request, rest, memory, bytes }))
    }

    /// The task starts per second that one planner is planned to serve; zero if its work at rest already uses
    /// up its processor time.
    pub fn starts_per_planner(&self, machines: f64) -> f64 {
        let left = assumed::PLANNED_CORE_SHARE - self.rest.at(machines).estimate.value;
        (MS_PER_S * left / self.request.at(machines).estimate.value).max(0.0)
    }

    /// The fewest planners that keep each bound, under a view.
    pub fn count(&self, view: View) -> PlannersNeeded {
        let value =
            |source: &Source<'_>, planners| source.at(machines_per_planner(view, planners)).estimate.value;
        let served =
            |planners| planners as f64 * self.starts_per_planner(machines_per_planner(view, planners));
        PlannersNeeded {
            starts: fewest_planners(view, |planners| served(planners) >= targets::STARTS_PER_S),
            processor: fewest_planners(view, |planners| {
                value(&self.rest, planners) <= control::PROCESSOR_SHARE
            }),
            memory: fewest_planners(view, |planners| value(&self.memory, planners) <= control::MEMORY_MB),
            bytes: fewest_planners(view, |planners| value(&self.bytes, planners) <= control::BYTES_PER_S),
        }
    }

    /// The numbers of planners that the rows of the page use; `None` if the peak cannot be served.
    pub fn planners(&self) -> Option<PlannerCounts> {
        let needed = self.count(SELECTED_VIEW).needed()?;
        Some(PlannerCounts { total: with_spare_zones(needed, 1.0), after_zone_loss: needed })
    }
}

impl PlannersNeeded {
    /// The fewest planners that keep all bounds, leaving out bounds that no number of planners keeps; `None`
    /// if the starts cannot be served by any number.
    pub fn needed(&self) -> Option<usize> {
        let other_bounds = [self.processor, self.memory, self.bytes];
        let most = other_bounds.into_iter().flatten().max().unwrap_or_default();
        self.starts.map(|starts| starts.max(most))
    }
}

/// The number of machines that each planner handles.
fn machines_per_planner(view: View, planners: usize) -> f64 {
    match view {
        View::AllMachines => targets::MACHINES,
        View::PartOfMachines { replicas } => targets::MACHINES * (replicas as f64 / planners as f64).min(1.0),
    }
}

fn fewest_planners(view: View, keeps_bound: impl Fn(usize) -> bool) -> Option<usize> {
    let least = match view {
        View::AllMachines => 1,
        View::PartOfMachines { replicas } => replicas,
    };
    (least..=program::PLANNERS as usize).find(|&planners| keeps_bound(planners))
}

/// The total number of planners, equal in each zone, of which at least `needed` remain after `zones_lost`
/// zones are lost.
fn with_spare_zones(needed: usize, zones_lost: f64) -> usize {
    let per_zone = (needed as f64 / (targets::ZONES - zones_lost)).ceil();
    (per_zone * targets::ZONES) as usize
}

/// Generates the table of the numbers of planners, with a summary below it.
///
/// # Errors
/// If a record lacks its figure.
pub fn table(records: &Records) -> Result<String, PageError> {
    let Some(costs) = Costs::read(records)? else {
        return Ok(format!("{NOT_MEASURED}: the records of ask-machines and rest-machines are needed.\n"));
    };
    let mut text = head(&[
        "a planner sees",
        "for the starts of the peak",
        "for processor time at rest",
        "for memory",
        "for bytes a second",
        "needed",
        "with a zone to spare",
        "with the largest region to spare",
        "each sees",
        "on each of 19 machines",
    ]);
    for view in VIEWS {
        text += &line(&cells(view, costs.count(view)));
    }
    let all_machines = targets::MACHINES;
    text += &format!(
        "\nOne planner serves {} starts a second with {} machines in view, and {} with 20, at {} of its core.\n",
        number(costs.starts_per_planner(all_machines)),
        number(all_machines),
        number(costs.starts_per_planner(20.0)),
        percent(assumed::PLANNED_CORE_SHARE),
    );
    text += &sustained_rate_text(records)?;
    if let Some(planners) = costs.planners() {
        text += &control_machines_text(planners);
    }
    Ok(text)
}

fn cells(view: View, count: PlannersNeeded) -> Vec<String> {
    let count_text =
        |planners: Option<usize>| planners.map_or("no number keeps it".into(), |n| all_digits(n as f64));
    let name = match view {
        View::AllMachines => "all machines".to_string(),
        View::PartOfMachines { replicas } => format!("its part, {replicas} planners a machine"),
    };
    let needed = count.needed();
    let with_zone = needed.map(|needed| with_spare_zones(needed, 1.0));
    let with_region = needed.map(|needed| with_spare_zones(needed, assumed::LARGEST_REGION_ZONES));
    let machines_text = with_zone
        .map_or("".into(), |planners| format!("{} machines", number(machines_per_planner(view, planners))));
    let per_control_machine =
        with_zone.map(|planners| (planners as f64 / targets::CONTROL_MACHINES).ceil() as usize);
    let bounds = [count.starts, count.processor, count.memory, count.bytes, needed, with_zone, with_region];
    let counts = bounds.into_iter().map(count_text);
    std::iter::once(name).chain(counts).chain([machines_text, count_text(per_control_machine)]).collect()
}

/// States the highest rate with which a planner kept up in every run.
fn sustained_rate_text(records: &Records) -> Result<String, PageError> {
    let Some(kept_up) = KEPT_UP.source(records)? else {
        return Ok(format!("\nThe greatest rate that one core serves (ask-rate): {NOT_MEASURED}.\n"));
    };
    let in_every_run =
        |point: &&Point| !point.values.is_empty() && point.values.iter().all(|value| *value == 1.0);
    let highest_rate =
        kept_up.figure.points.iter().filter(in_every_run).map(|point| point.size).fold(0.0, f64::max);
    let held: Vec<String> =
        kept_up.slope.held.iter().map(|(what, count)| format!("{what}: {}", number(*count))).collect();
    Ok(format!(
        "\nMeasured: with {} asks a second a planner kept up in each run ([ask-rate](capacity/ask-rate.json); {}).\n",
        number(highest_rate),
        held.join(", ")
    ))
}

/// States whether the machines set aside for control have room for the planners.
fn control_machines_text(planners: PlannerCounts) -> String {
    let per_zone = planners.total as f64 / targets::ZONES;
    let cores = targets::CONTROL_MACHINES * assumed::CONTROL_MACHINE_CORES;
    let fits = if planners.total as f64 <= cores { "They fit" } else { "They do not fit" };
    format!(
        "\nWith a part each and two planners a machine that is **{} planners, {} in each of the {} zones**, so that {} are \
         left without any one zone. {fits}: the {} machines set aside for control have {} cores (at {} each, question 5), \
         and a planner takes one at the peak. Of the machines set aside two zones hold two each and five three.\n",
        planners.total,
        number(per_zone),
        number(targets::ZONES),
        planners.after_zone_loss,
        number(targets::CONTROL_MACHINES),
        number(cores),
        number(assumed::CONTROL_MACHINE_CORES),
    )
}
