//! How many planners the size needs, from what one of them serves and what its control costs, against the machines that
//! it sees.

use super::number::{head, line, number, percent, whole};
use super::reading::{Reading, Records, Source};
use super::{PageError, NOT_MEASURED};
use crate::capacity::record::Point;
use crate::capacity::targets::{self, assumed, control, program};

const ASK: Reading = Reading {
    slope: "ask-machines",
    figure: "processor time an ask, without rest",
    plus: None,
    times: 1.0,
    times_size: false,
    unit: "ms",
};
const REST: Reading = Reading {
    slope: "rest-machines",
    figure: "processor time at rest",
    plus: None,
    times: 1.0,
    times_size: false,
    unit: "share",
};
const MEMORY: Reading = Reading {
    slope: "rest-machines",
    figure: "resident memory",
    plus: None,
    times: 1.0 / KIB_IN_MB,
    times_size: false,
    unit: "MB",
};
const BYTES: Reading = Reading {
    slope: "rest-machines",
    figure: "bytes in at rest",
    plus: Some("bytes out at rest"),
    times: 1.0,
    times_size: false,
    unit: "bytes/s",
};

/// Whether a planner kept up with a rate of asks: 1 or 0.
const KEPT_UP: Reading = Reading {
    slope: "ask-rate",
    figure: "kept up",
    plus: None,
    times: 1.0,
    times_size: false,
    unit: "share",
};

/// All figures that the counts follow from.
pub const READINGS: [Reading; 4] = [ASK, REST, MEMORY, BYTES];

/// KiB of a megabyte.
const KIB_IN_MB: f64 = 1024.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Which machines a planner sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All of them.
    Whole,
    /// Its part, where each machine is served by so many planners.
    Part {
        /// That many.
        replicas: usize,
    },
}

/// The views that the page compares; the last rows of the page use [`CHOSEN`].
const VIEWS: [View; 3] = [View::Whole, View::Part { replicas: 2 }, View::Part { replicas: 3 }];
/// The view from which the rows take the number of planners.
const CHOSEN: View = View::Part { replicas: 2 };

/// The fewest planners that keep each bound; none where no number does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The starts of the peak.
    pub starts: Option<usize>,
    /// Processor time at rest.
    pub processor: Option<usize>,
    /// Resident memory.
    pub memory: Option<usize>,
    /// Bytes a second.
    pub bytes: Option<usize>,
}

/// How many planners the rows reckon with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planners {
    /// All that run.
    pub listed: usize,
    /// Those that are left with the zone that has the most of them lost.
    pub without_a_zone: usize,
}

/// What one planner costs and serves.
pub struct Costs<'a> {
    ask: Source<'a>,
    rest: Source<'a>,
    memory: Source<'a>,
    bytes: Source<'a>,
}

impl<'a> Costs<'a> {
    /// From the records; none if one of them is missing.
    ///
    /// # Errors
    /// If a record lacks its figure.
    pub fn read(records: &'a Records) -> Result<Option<Costs<'a>>, PageError> {
        let sources =
            (ASK.source(records)?, REST.source(records)?, MEMORY.source(records)?, BYTES.source(records)?);
        let (Some(ask), Some(rest), Some(memory), Some(bytes)) = sources else { return Ok(None) };
        Ok(Some(Costs { ask, rest, memory, bytes }))
    }

    /// Starts a second that one planner is planned to serve; none where its rest leaves no time for any.
    pub fn starts_of_one(&self, machines: f64) -> f64 {
        let left = assumed::BUSY_SHARE - self.rest.at(machines).estimate.value;
        (MS_PER_S * left / self.ask.at(machines).estimate.value).max(0.0)
    }

    /// The fewest planners with a view that keep each bound.
    pub fn count(&self, view: View) -> Count {
        let value = |source: &Source<'_>, planners| source.at(machines_seen(view, planners)).estimate.value;
        let serves = |planners| planners as f64 * self.starts_of_one(machines_seen(view, planners));
        Count {
            starts: fewest(view, |planners| serves(planners) >= targets::STARTS_PER_S),
            processor: fewest(view, |planners| value(&self.rest, planners) <= control::PROCESSOR_SHARE),
            memory: fewest(view, |planners| value(&self.memory, planners) <= control::MEMORY_MB),
            bytes: fewest(view, |planners| value(&self.bytes, planners) <= control::BYTES_PER_S),
        }
    }

    /// What the rows reckon with.
    pub fn planners(&self) -> Option<Planners> {
        let needed = self.count(CHOSEN).needed()?;
        Some(Planners { listed: spread(needed, 1.0), without_a_zone: needed })
    }
}

impl Count {
    /// The planners that all bounds need which any number can keep; none if not even the starts can be served.
    pub fn needed(&self) -> Option<usize> {
        let others = [self.processor, self.memory, self.bytes];
        let most = others.into_iter().flatten().max().unwrap_or_default();
        self.starts.map(|starts| starts.max(most))
    }
}

/// Machines that a planner sees.
fn machines_seen(view: View, planners: usize) -> f64 {
    match view {
        View::Whole => targets::MACHINES,
        View::Part { replicas } => targets::MACHINES * (replicas as f64 / planners as f64).min(1.0),
    }
}

fn fewest(view: View, keeps: impl Fn(usize) -> bool) -> Option<usize> {
    let least = match view {
        View::Whole => 1,
        View::Part { replicas } => replicas,
    };
    (least..=program::PLANNERS as usize).find(|&planners| keeps(planners))
}

/// Planners in all, the same number in each zone, of which `needed` are left without so many zones.
fn spread(needed: usize, zones_lost: f64) -> usize {
    let in_a_zone = (needed as f64 / (targets::ZONES - zones_lost)).ceil();
    (in_a_zone * targets::ZONES) as usize
}

/// The table of the counts, with what follows from it in a sentence.
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
    let whole = targets::MACHINES;
    text += &format!(
        "\nOne planner serves {} starts a second with {} machines in view, and {} with 20, at {} of its core.\n",
        number(costs.starts_of_one(whole)),
        number(whole),
        number(costs.starts_of_one(20.0)),
        percent(assumed::BUSY_SHARE),
    );
    text += &greatest_rate(records)?;
    if let Some(planners) = costs.planners() {
        text += &seats(planners);
    }
    Ok(text)
}

fn cells(view: View, count: Count) -> Vec<String> {
    let told = |planners: Option<usize>| planners.map_or("no number keeps it".into(), |n| whole(n as f64));
    let name = match view {
        View::Whole => "all machines".to_string(),
        View::Part { replicas } => format!("its part, {replicas} planners a machine"),
    };
    let needed = count.needed();
    let with_zone = needed.map(|needed| spread(needed, 1.0));
    let with_region = needed.map(|needed| spread(needed, assumed::LARGEST_REGION_ZONES));
    let sees =
        with_zone.map_or("".into(), |planners| format!("{} machines", number(machines_seen(view, planners))));
    let on_each = with_zone.map(|planners| (planners as f64 / targets::CONTROL_MACHINES).ceil() as usize);
    let bounds = [count.starts, count.processor, count.memory, count.bytes, needed, with_zone, with_region];
    let counts = bounds.into_iter().map(told);
    std::iter::once(name).chain(counts).chain([sees, told(on_each)]).collect()
}

/// The greatest rate with which a planner kept up in each run.
fn greatest_rate(records: &Records) -> Result<String, PageError> {
    let Some(kept_up) = KEPT_UP.source(records)? else {
        return Ok(format!("\nThe greatest rate that one core serves (ask-rate): {NOT_MEASURED}.\n"));
    };
    let in_each_run =
        |point: &&Point| !point.values.is_empty() && point.values.iter().all(|kept| *kept == 1.0);
    let greatest =
        kept_up.figure.points.iter().filter(in_each_run).map(|point| point.size).fold(0.0, f64::max);
    let held: Vec<String> =
        kept_up.slope.held.iter().map(|(what, count)| format!("{what}: {}", number(*count))).collect();
    Ok(format!(
        "\nMeasured: with {} asks a second a planner kept up in each run ([ask-rate](capacity/ask-rate.json); {}).\n",
        number(greatest),
        held.join(", ")
    ))
}

/// Where the planners sit.
fn seats(planners: Planners) -> String {
    let in_a_zone = planners.listed as f64 / targets::ZONES;
    let room = targets::CONTROL_MACHINES * assumed::CONTROL_MACHINE_CORES;
    let fits = if planners.listed as f64 <= room { "They fit" } else { "They do not fit" };
    format!(
        "\nWith a part each and two planners a machine that is **{} planners, {} in each of the {} zones**, so that {} are \
         left without any one zone. {fits}: the {} machines set aside for control have {} cores (at {} each, question 5), \
         and a planner takes one at the peak. Of the machines set aside two zones hold two each and five three.\n",
        planners.listed,
        number(in_a_zone),
        number(targets::ZONES),
        planners.without_a_zone,
        number(targets::CONTROL_MACHINES),
        number(room),
        number(assumed::CONTROL_MACHINE_CORES),
    )
}
