//! Generates the tables of the page.

use super::comparison;
use super::number::{all_digits, head, interval, line, number, percent};
use super::planners::{self, Costs, PlannerCounts};
use super::reading::{Crossing, Origin, Reading, Records, Source, Value};
use super::{PageError, NOT_MEASURED};
use crate::capacity::missing::{MissingMechanism, Onset, MISSING};
use crate::capacity::reasons::{self, MAX_UNEXPLAINED_ERROR};
use crate::capacity::record::{Fit, Shape, Slope};
use crate::capacity::rows::{self, Bound, Kind, Resource, Row, Section, Size, HOLLOW_AND_REAL};
use crate::capacity::targets;
use std::collections::BTreeSet;

/// Generates all tables, in the order of the page.
pub fn all(records: &Records) -> Result<String, PageError> {
    let planners = Costs::read(records)?.and_then(|costs| costs.planners());
    let mut text = String::from("\n### Roles\n");
    text += &section_tables(records, planners, |section| matches!(section, Section::Role(_)))?;
    text += "\n### Events\n";
    text += &section_tables(records, planners, |section| matches!(section, Section::Event(_)))?;
    text += "\n### How many planners\n\n";
    text += &planners::table(records)?;
    text += "\n### What is missing\n\n";
    text += &missing(records, planners)?;
    text += "\n### Before and after\n\n";
    text += &comparison::table(records.comparison.as_ref());
    text += "\n### Hollow beside real\n\n";
    text += &hollow_beside_real(records)?;
    text += "\n### How far off predictions were\n\n";
    text += &predictions(records)?;
    text += "\n### Records\n\n";
    text += &runs(records);
    Ok(text + "\n")
}

/// Generates one table for each role or event.
fn section_tables(
    records: &Records,
    planners: Option<PlannerCounts>,
    wanted: fn(Section) -> bool,
) -> Result<String, PageError> {
    let mut text = String::new();
    let mut last = None;
    for row in rows::all().filter(|row| wanted(row.section)) {
        if last != Some(row.section) {
            let (Section::Role(name) | Section::Event(name)) = row.section;
            text += &format!("\n**{name}**\n\n");
            text += &head(&[
                "what",
                "",
                "at",
                "needed (95%)",
                "bound",
                "factor",
                "first breaks at",
                "from",
                "carried by",
            ]);
            last = Some(row.section);
        }
        text += &line(&cells(row, records, planners)?);
    }
    Ok(text)
}

fn cells(row: &Row, records: &Records, planners: Option<PlannerCounts>) -> Result<Vec<String>, PageError> {
    let bound = row.bound.map_or("-".into(), |bound| bound_text(bound, row.reading.unit));
    let kind = format!("{}, {}", kind_text(row.kind), resource_text(row.resource));
    let front = [row.what.to_string(), kind];
    let module = row.module.to_string();
    let (source, size) = (row.reading.source(records)?, resolve(row.size, planners));
    let (Some(source), Some(size)) = (source, size) else {
        let at = size.map_or(size_text(row.size).into(), all_digits);
        let missing =
            [at, NOT_MEASURED.into(), bound, "-".into(), "-".into(), row.reading.slope.into(), module];
        return Ok(front.into_iter().chain(missing).collect());
    };
    let value = source.at(size);
    let at = format!("{} {}", all_digits(value.size), source.slope.size);
    let factor = row.bound.map_or("-".into(), |bound| number(value.estimate.value / bound.limit));
    let crossing = row.bound.map_or("-".into(), |bound| crossing_text(source.crossing(bound.limit, size)));
    let needed = value_text(&value, row.reading.unit);
    let rest = [at, needed, bound, factor, crossing, link(source.slope), module];
    Ok(front.into_iter().chain(rest).collect())
}

fn resolve(size: Size, planners: Option<PlannerCounts>) -> Option<f64> {
    match size {
        Size::Target(size) => Some(size),
        Size::Planners => planners.map(|planners| planners.total as f64),
        Size::TasksPerPlanner => {
            planners.map(|p| (targets::STANDING_TASKS / p.after_zone_loss as f64).ceil())
        }
    }
}

fn size_text(size: Size) -> &'static str {
    match size {
        Size::Target(_) => "the target",
        Size::Planners => "all planners",
        Size::TasksPerPlanner => "one planner's tasks",
    }
}

fn kind_text(kind: Kind) -> &'static str {
    match kind {
        Kind::Control => "control",
        Kind::Service => "service",
    }
}

fn resource_text(resource: Resource) -> &'static str {
    match resource {
        Resource::State => "state",
        Resource::Messages => "messages",
        Resource::Processor => "processor",
        Resource::Memory => "memory",
        Resource::Time => "time",
    }
}

fn bound_text(bound: Bound, unit: &str) -> String {
    format!("{} {unit} ({})", all_digits(bound.limit), bound.set_by)
}

fn value_text(value: &Value, unit: &str) -> String {
    let needed = format!("{} {unit}", interval(value.estimate));
    match (value.origin, value.measured) {
        (Origin::Extrapolated, _) => format!("{needed}, *extrapolated*"),
        (Origin::Measured, _) => format!("{needed}, measured, no fit"),
        (Origin::Fitted, Some(measured)) => format!("{needed}; measured {}", number(measured)),
        (Origin::Fitted, None) => needed,
    }
}

fn crossing_text(crossing: Crossing) -> String {
    match crossing {
        Crossing::AtSmallest { size } => format!("**{} or fewer**", all_digits(size)),
        Crossing::At { size, extrapolated: false } => format!("**{}**", number(size)),
        Crossing::At { size, extrapolated: true } => format!("{}, *extrapolated*", number(size)),
        Crossing::Never => "does not break: it does not grow".into(),
        Crossing::BeyondSearch { size } => format!("not up to {}", all_digits(size)),
        Crossing::NotInRuns => "not in what was run".into(),
    }
}

fn link(slope: &Slope) -> String {
    let short = if slope.run.short { ", short form" } else { "" };
    format!("[{0}](capacity/{0}.json){short}", slope.name)
}

/// A missing mechanism, with the size at which the program needs it.
struct RankedMechanism<'a> {
    missing: &'a MissingMechanism,
    /// That size as a share of the target; infinite if it was not measured, and larger than any real share
    /// if no measured row exceeds its bound.
    share: f64,
    text: String,
}

fn missing(records: &Records, planners: Option<PlannerCounts>) -> Result<String, PageError> {
    let mut all = Vec::new();
    for missing in MISSING {
        let (share, text) = match missing.onset {
            Onset::Always(why) => (0.0, format!("any: {why}")),
            Onset::Rows(ids) => first_exceeded(ids, records, planners)?,
        };
        all.push(RankedMechanism { missing, share, text });
    }
    all.sort_by(|a, b| a.share.total_cmp(&b.share));
    let mut text = head(&["", "felt at", "mechanism", "the code today", "what it would take"]);
    for (at, RankedMechanism { missing, text: onset, .. }) in all.iter().enumerate() {
        let rank = (at + 1).to_string();
        let cells = [rank.as_str(), onset.as_str(), missing.name, missing.today, missing.remedy];
        text += &line(&cells.map(str::to_string));
    }
    Ok(text)
}

/// Finds the row that exceeds its bound at the smallest share of its target.
fn first_exceeded(
    ids: &[&str],
    records: &Records,
    planners: Option<PlannerCounts>,
) -> Result<(f64, String), PageError> {
    let mut first = (f64::INFINITY, NOT_MEASURED.to_string());
    for row in rows::all().filter(|row| ids.contains(&row.id)) {
        let (source, target) = (row.reading.source(records)?, resolve(row.size, planners));
        let (Some(source), Some(target), Some(bound)) = (source, target, row.bound) else { continue };
        let crossing = source.crossing(bound.limit, target);
        let size = crossing.size().unwrap_or(f64::MAX);
        if size / target < first.0 {
            let text = match size == f64::MAX {
                true => "not in what was run".into(),
                false => format!("{} {} ({})", crossing_text(crossing), source.slope.size, row.what),
            };
            first = (size / target, text);
        }
    }
    Ok(first)
}

/// All figures that the page uses, each once.
fn readings() -> Vec<Reading> {
    let mut seen = BTreeSet::new();
    let all = rows::all().map(|row| row.reading).chain(planners::READINGS);
    all.filter(|reading| seen.insert((reading.slope, reading.figure, reading.added_figure))).collect()
}

/// Compares figures from hollow planners or machines with those from real processes, at each size that both
/// ran.
fn hollow_beside_real(records: &Records) -> Result<String, PageError> {
    let mut text = head(&["figure", "size", "hollow", "real", "real over hollow", "from"]);
    for pair in HOLLOW_AND_REAL {
        let (hollow, real) = (pair.hollow.source(records)?, pair.real.source(records)?);
        let (Some(hollow), Some(real)) = (hollow, real) else {
            let from = format!("{} and {}", pair.hollow.slope, pair.real.slope);
            text += &line(&[pair.what.into(), "-".into(), NOT_MEASURED.into(), "-".into(), "-".into(), from]);
            continue;
        };
        let from = format!("{} and {}", link(hollow.slope), link(real.slope));
        for point in &hollow.figure.points {
            let (Some(of_hollow), Some(of_real)) =
                (hollow.at(point.size).measured, real.at(point.size).measured)
            else {
                continue;
            };
            let values = [of_hollow, of_real].map(|value| format!("{} {}", number(value), pair.hollow.unit));
            let size = format!("{} {}", all_digits(point.size), hollow.slope.size);
            let [of_hollow_text, of_real_text] = values;
            let ratio = number(of_real / of_hollow);
            text += &line(&[pair.what.into(), size, of_hollow_text, of_real_text, ratio, from.clone()]);
        }
    }
    Ok(text)
}

fn predictions(records: &Records) -> Result<String, PageError> {
    let mut text =
        head(&["slope", "figure", "shape", "held out", "predicted (95%)", "measured", "off by", "why"]);
    for reading in readings() {
        let Some(source) = reading.source(records)? else { continue };
        let Some(fit) = &source.figure.fit else { continue };
        text += &line(&prediction(&source, fit));
    }
    Ok(text)
}

fn prediction(source: &Source<'_>, fit: &Fit) -> Vec<String> {
    let held_out = &fit.held_out;
    let why = match reason(source, fit) {
        Explanation::NotNeeded => "-".to_string(),
        Explanation::Given(why) => why.to_string(),
        Explanation::WithinInterval => {
            "within the interval: runs and sizes scatter this much about the shape".into()
        }
        Explanation::NotKnown => "**no reason is known yet**".into(),
    };
    vec![
        link(source.slope),
        format!("{}, {}", source.figure.name, source.figure.unit),
        shape_text(fit.shape).into(),
        format!("{} {}", all_digits(held_out.size), source.slope.size),
        interval(held_out.predicted),
        number(held_out.measured),
        percent(held_out.off_by),
        why,
    ]
}

enum Explanation {
    NotNeeded,
    Given(&'static str),
    WithinInterval,
    NotKnown,
}

fn reason(source: &Source<'_>, fit: &Fit) -> Explanation {
    let held_out = &fit.held_out;
    if held_out.off_by <= MAX_UNEXPLAINED_ERROR {
        return Explanation::NotNeeded;
    }
    if let Some(why) = reasons::of(&source.slope.name, &source.figure.name) {
        return Explanation::Given(why);
    }
    let within = (held_out.predicted.low..=held_out.predicted.high).contains(&held_out.measured);
    // Counts do not scatter, so a wide interval of a count means that the shape is wrong.
    match within && !source.figure.exact {
        true => Explanation::WithinInterval,
        false => Explanation::NotKnown,
    }
}

/// The figures whose prediction is off by more than the limit, without a known reason.
pub fn unexplained(records: &Records) -> Result<Vec<String>, PageError> {
    let mut names = Vec::new();
    for reading in readings() {
        let Some(source) = reading.source(records)? else { continue };
        let lacks = source
            .figure
            .fit
            .as_ref()
            .is_some_and(|fit| matches!(reason(&source, fit), Explanation::NotKnown));
        if lacks {
            names.push(format!("{}: {}", reading.slope, reading.figure));
        }
    }
    Ok(names)
}

fn shape_text(shape: Shape) -> &'static str {
    match shape {
        Shape::Constant => "constant",
        Shape::Linear => "linear",
        Shape::NLogN => "n log n",
        Shape::Square => "square",
    }
}

/// Lists for each record what was real and what was hollow.
fn runs(records: &Records) -> String {
    let mut text = head(&["record", "question", "run", "real", "hollow"]);
    for slope in records.slopes.values() {
        let run = format!("{}, {}, {}", slope.run.date, slope.run.commit, slope.run.machine);
        text += &line(&[link(slope), slope.question.clone(), run, slope.real.clone(), slope.hollow.clone()]);
    }
    text
}
