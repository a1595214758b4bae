//! The table that compares two versions of the program.

use super::number::{all_digits, head, line, number, percent};
use super::NOT_MEASURED;
use crate::capacity::compare::Comparison;
use crate::capacity::record::Point;

/// The path of the record, relative to the page.
const LINK: &str = "capacity/compare.json";

/// Generates the table: one line per figure, one column per size.
pub fn table(comparison: Option<&Comparison>) -> String {
    let Some(comparison) = comparison else { return format!("{NOT_MEASURED}\n") };
    let commits = comparison.commits.join(" and ");
    let form = if comparison.run.short { ", short form" } else { "" };
    let Comparison { run, setting, .. } = comparison;
    let mut text = format!(
        "[{LINK}]({LINK}): medians before and after ({commits}), by turns in one run{form}, by machines; {} asks a second, {} \
         of the room spare, {} descriptors, {} planners told of ({}, {}).\n\n",
        number(comparison.rate),
        percent(comparison.spare),
        all_digits(f64::from(setting.sockets)),
        all_digits(setting.listed as f64),
        run.date,
        run.machine
    );
    let sizes = sizes(comparison);
    let names: Vec<String> =
        std::iter::once("figure".into()).chain(sizes.iter().map(|size| all_digits(*size))).collect();
    text += &head(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for figure in &comparison.figures {
        let name = format!("{}, {}", figure.name, figure.unit);
        let both = sizes
            .iter()
            .map(|&size| format!("{} and {}", median(&figure.before, size), median(&figure.after, size)));
        text += &line(&std::iter::once(name).chain(both).collect::<Vec<String>>());
    }
    text
}

fn sizes(comparison: &Comparison) -> Vec<f64> {
    let points = comparison.figures.iter().flat_map(|figure| figure.before.iter().chain(&figure.after));
    let mut sizes: Vec<f64> = points.map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes
}

fn median(points: &[Point], size: f64) -> String {
    let point = points.iter().find(|point| point.size == size);
    point.map_or(NOT_MEASURED.into(), |point| number(point.median()))
}
