//! The tables one after the other.

use super::comparison;
use super::number::{head, interval, line, number, percent, whole};
use super::planners::{self, Costs, Planners};
use super::reading::{Breaks, Origin, Reading, Records, Source, Value};
use super::{PageError, NOT_MEASURED};
use crate::capacity::missing::{Felt, Missing, MISSING};
use crate::capacity::reasons::{self, OFF_WITHOUT_REASON};
use crate::capacity::record::{Fit, Shape, Slope};
use crate::capacity::rows::{self, Bound, Kind, Place, Resource, Row, Size, HOLLOW_AND_REAL};
use crate::capacity::targets;
use std::collections::BTreeSet;

/// All tables.
pub fn all(records: &Records) -> Result<String, PageError> {
    let planners = Costs::read(records)?.and_then(|costs| costs.planners());
    let mut text = String::from("\n### Roles\n");
    text += &places(records, planners, |place| matches!(place, Place::Role(_)))?;
    text += "\n### Events\n";
    text += &places(records, planners, |place| matches!(place, Place::Event(_)))?;
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

/// One table for each place.
fn places(
    records: &Records,
    planners: Option<Planners>,
    wanted: fn(Place) -> bool,
) -> Result<String, PageError> {
    let mut text = String::new();
    let mut last = None;
    for row in rows::all().filter(|row| wanted(row.place)) {
        if last != Some(row.place) {
            let (Place::Role(name) | Place::Event(name)) = row.place;
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
            last = Some(row.place);
        }
        text += &line(&cells(row, records, planners)?);
    }
    Ok(text)
}

fn cells(row: &Row, records: &Records, planners: Option<Planners>) -> Result<Vec<String>, PageError> {
    let bound = row.bound.map_or("-".into(), |bound| bound_text(bound, row.reading.unit));
    let kind = format!("{}, {}", kind_text(row.kind), resource_text(row.resource));
    let front = [row.what.to_string(), kind];
    let module = row.module.to_string();
    let (source, size) = (row.reading.source(records)?, resolve(row.size, planners));
    let (Some(source), Some(size)) = (source, size) else {
        let at = size.map_or(size_text(row.size).into(), whole);
        let missing =
            [at, NOT_MEASURED.into(), bound, "-".into(), "-".into(), row.reading.slope.into(), module];
        return Ok(front.into_iter().chain(missing).collect());
    };
    let value = source.at(size);
    let at = format!("{} {}", whole(value.size), source.slope.size);
    let factor = row.bound.map_or("-".into(), |bound| number(value.estimate.value / bound.most));
    let breaks = row.bound.map_or("-".into(), |bound| breaks_text(source.breaks(bound.most, size)));
    let needed = value_text(&value, row.reading.unit);
    let rest = [at, needed, bound, factor, breaks, link(source.slope), module];
    Ok(front.into_iter().chain(rest).collect())
}

fn resolve(size: Size, planners: Option<Planners>) -> Option<f64> {
    match size {
        Size::Target(size) => Some(size),
        Size::Planners => planners.map(|planners| planners.listed as f64),
        Size::TasksOfPlanner => planners.map(|p| (targets::STANDING_TASKS / p.without_a_zone as f64).ceil()),
    }
}

fn size_text(size: Size) -> &'static str {
    match size {
        Size::Target(_) => "the target",
        Size::Planners => "all planners",
        Size::TasksOfPlanner => "one planner's tasks",
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
    format!("{} {unit} ({})", whole(bound.most), bound.by)
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

fn breaks_text(breaks: Breaks) -> String {
    match breaks {
        Breaks::Already { size } => format!("**{} or fewer**", whole(size)),
        Breaks::At { size, extrapolated: false } => format!("**{}**", number(size)),
        Breaks::At { size, extrapolated: true } => format!("{}, *extrapolated*", number(size)),
        Breaks::Never => "does not break: it does not grow".into(),
        Breaks::Beyond { size } => format!("not up to {}", whole(size)),
        Breaks::Unknown => "not in what was run".into(),
    }
}

fn link(slope: &Slope) -> String {
    let short = if slope.run.short { ", short form" } else { "" };
    format!("[{0}](capacity/{0}.json){short}", slope.name)
}

/// A mechanism that is missing, with where its lack is felt.
struct FeltMissing<'a> {
    missing: &'a Missing,
    /// As a share of the target; more than any where it was not measured, or is not felt in what was.
    share: f64,
    text: String,
}

fn missing(records: &Records, planners: Option<Planners>) -> Result<String, PageError> {
    let mut all = Vec::new();
    for missing in MISSING {
        let (share, text) = match missing.felt {
            Felt::Always(why) => (0.0, format!("any: {why}")),
            Felt::Rows(ids) => first_broken(ids, records, planners)?,
        };
        all.push(FeltMissing { missing, share, text });
    }
    all.sort_by(|a, b| a.share.total_cmp(&b.share));
    let mut text = head(&["", "felt at", "mechanism", "the code today", "what it would take"]);
    for (at, FeltMissing { missing, text: felt, .. }) in all.iter().enumerate() {
        let place = (at + 1).to_string();
        let cells = [place.as_str(), felt.as_str(), missing.name, missing.today, missing.takes];
        text += &line(&cells.map(str::to_string));
    }
    Ok(text)
}

/// The row that breaks its bound at the smallest share of its target.
fn first_broken(
    ids: &[&str],
    records: &Records,
    planners: Option<Planners>,
) -> Result<(f64, String), PageError> {
    let mut first = (f64::INFINITY, NOT_MEASURED.to_string());
    for row in rows::all().filter(|row| ids.contains(&row.id)) {
        let (source, target) = (row.reading.source(records)?, resolve(row.size, planners));
        let (Some(source), Some(target), Some(bound)) = (source, target, row.bound) else { continue };
        let breaks = source.breaks(bound.most, target);
        let size = breaks.size().unwrap_or(f64::MAX);
        if size / target < first.0 {
            let text = match size == f64::MAX {
                true => "not in what was run".into(),
                false => format!("{} {} ({})", breaks_text(breaks), source.slope.size, row.what),
            };
            first = (size / target, text);
        }
    }
    Ok(first)
}

/// All figures that the page reads, each once.
fn readings() -> Vec<Reading> {
    let mut seen = BTreeSet::new();
    let all = rows::all().map(|row| row.reading).chain(planners::READINGS);
    all.filter(|reading| seen.insert((reading.slope, reading.figure, reading.plus))).collect()
}

/// What a hollow planner or machine gives beside real processes, at each size that both ran.
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
            let size = format!("{} {}", whole(point.size), hollow.slope.size);
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
        Reasoned::NotNeeded => "-".to_string(),
        Reasoned::Given(why) => why.to_string(),
        Reasoned::WithinInterval => {
            "within the interval: runs and sizes scatter this much about the shape".into()
        }
        Reasoned::Lacking => "**no reason is known yet**".into(),
    };
    vec![
        link(source.slope),
        format!("{}, {}", source.figure.name, source.figure.unit),
        shape_text(fit.shape).into(),
        format!("{} {}", whole(held_out.size), source.slope.size),
        interval(held_out.predicted),
        number(held_out.measured),
        percent(held_out.off_by),
        why,
    ]
}

enum Reasoned {
    NotNeeded,
    Given(&'static str),
    WithinInterval,
    Lacking,
}

fn reason(source: &Source<'_>, fit: &Fit) -> Reasoned {
    let held_out = &fit.held_out;
    if held_out.off_by <= OFF_WITHOUT_REASON {
        return Reasoned::NotNeeded;
    }
    if let Some(why) = reasons::of(&source.slope.name, &source.figure.name) {
        return Reasoned::Given(why);
    }
    let within = (held_out.predicted.low..=held_out.predicted.high).contains(&held_out.measured);
    // Counts do not scatter: where their interval is wide, the shape is wrong.
    match within && !source.figure.exact {
        true => Reasoned::WithinInterval,
        false => Reasoned::Lacking,
    }
}

/// The figures whose prediction was far off for no reason that is known.
pub fn unexplained(records: &Records) -> Result<Vec<String>, PageError> {
    let mut names = Vec::new();
    for reading in readings() {
        let Some(source) = reading.source(records)? else { continue };
        let lacks =
            source.figure.fit.as_ref().is_some_and(|fit| matches!(reason(&source, fit), Reasoned::Lacking));
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

/// What was real and what was not, by record.
fn runs(records: &Records) -> String {
    let mut text = head(&["record", "question", "run", "real", "hollow"]);
    for slope in records.slopes.values() {
        let run = format!("{}, {}, {}", slope.run.date, slope.run.commit, slope.run.machine);
        text += &line(&[link(slope), slope.question.clone(), run, slope.real.clone(), slope.hollow.clone()]);
    }
    text
}
