//! Generates the tables of `docs/CAPACITY.md` from the committed records alone.

pub mod comparison;
pub mod number;
pub mod planners;
pub mod reading;
mod tables;

use super::compare::{Comparison, COMPARISON};
use super::record::{Slope, RECORDS};
use reading::Records;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The page, relative to the root of the repository.
pub const PAGE: &str = "docs/CAPACITY.md";
/// The marker line before the tables.
pub const BEGIN: &str = "<!-- tables: begin, written by burlhook-lab capacity page -->";
/// The marker line after the tables.
pub const END: &str = "<!-- tables: end -->";

/// The text shown where there is no record.
const NOT_MEASURED: &str = "not measured";

/// Why the tables cannot be written, or are out of date.
#[derive(Debug, Error)]
pub enum PageError {
    /// A file cannot be read or written.
    #[error("{path}: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        why: io::Error,
    },
    /// A marker is missing, or the markers are in the wrong order.
    #[error("{PAGE} must contain the line {BEGIN:?} and, after it, the line {END:?}")]
    Markers,
    /// A row refers to a figure that its record does not contain.
    #[error("the record {slope} has no figure {figure:?}; it has: {known}")]
    UnknownFigure {
        /// The record.
        slope: String,
        /// The requested figure.
        figure: String,
        /// The names of the figures that the record contains.
        known: String,
    },
    /// A figure has no values at any size.
    #[error("the record {slope} has no values for {figure:?}")]
    NoPoints {
        /// The record.
        slope: String,
        /// The figure.
        figure: String,
    },
    /// The stored fit differs from a fit of the stored points.
    #[error("record {slope}: the fit of {figure:?} is stale; run `burlhook-lab capacity fit`")]
    StaleFit {
        /// The record.
        slope: String,
        /// The figure.
        figure: String,
    },
    /// The tables in the page differ from those generated from the records.
    #[error("{PAGE} line {line} differs from the records; run `burlhook-lab capacity page`\n  page:    {page}\n  records: {records}")]
    Differs {
        /// The first line that differs.
        line: usize,
        /// The line in the page.
        page: String,
        /// The line generated from the records.
        records: String,
    },
    /// A prediction is off by more than 20%, and no reason is given for it.
    #[error("predictions off by more than 20% without a reason in lab/src/capacity/reasons.rs: {figures}")]
    NoReason {
        /// The figures, each with its record.
        figures: String,
    },
}

/// Reads all records under a root; a missing folder counts as empty.
///
/// # Errors
/// If a file cannot be read or is not a record.
pub fn records(root: &Path) -> Result<Records, PageError> {
    let folder = root.join(RECORDS);
    let failed = |path: &Path| {
        let path = path.to_path_buf();
        move |why| PageError::File { path, why }
    };
    let mut records = Records::default();
    if !folder.exists() {
        return Ok(records);
    }
    for entry in std::fs::read_dir(&folder).map_err(failed(&folder))? {
        let path = entry.map_err(failed(&folder))?.path();
        if path == root.join(COMPARISON) {
            records.comparison = Some(read_comparison(&path).map_err(failed(&path))?);
        } else if path.extension().is_some_and(|extension| extension == "json") {
            let slope = Slope::read(&path).map_err(failed(&path))?;
            records.slopes.insert(slope.name.clone(), slope);
        }
    }
    Ok(records)
}

fn read_comparison(path: &Path) -> io::Result<Comparison> {
    serde_json::from_slice(&std::fs::read(path)?).map_err(io::Error::other)
}

/// Generates the tables.
///
/// # Errors
/// If a record lacks a figure that a row refers to, or contains a fit that does not match its points.
pub fn render(records: &Records) -> Result<String, PageError> {
    check_stored_fits(records)?;
    tables::all(records)
}

/// Writes the tables into the page.
///
/// # Errors
/// If the tables cannot be generated, or the page lacks its markers.
pub fn write(root: &Path) -> Result<(), PageError> {
    let (path, text) = read(root)?;
    let (before, _, after) = split_at_markers(&text)?;
    let tables = render(&records(root)?)?;
    std::fs::write(&path, format!("{before}{tables}{after}")).map_err(|why| PageError::File { path, why })
}

/// Checks that the page is up to date with the records.
///
/// # Errors
/// If they differ, or a prediction is off by more than 20% and no reason is given for it.
pub fn check(root: &Path) -> Result<(), PageError> {
    let (_, text) = read(root)?;
    let (before, page, _) = split_at_markers(&text)?;
    let records = records(root)?;
    let tables = render(&records)?;
    if page != tables {
        return Err(first_difference(before.lines().count(), page, &tables));
    }
    let unexplained = tables::unexplained(&records)?;
    match unexplained.is_empty() {
        true => Ok(()),
        false => Err(PageError::NoReason { figures: unexplained.join(", ") }),
    }
}

/// Fits all figures that have enough sizes, in all records, and writes the records.
///
/// # Errors
/// If a record cannot be read or written.
pub fn fit(root: &Path) -> Result<(), PageError> {
    for mut slope in records(root)?.slopes.into_values() {
        for figure in &mut slope.figures {
            figure.fit = None;
            if let Err(why) = figure.fit() {
                eprintln!("{}: not fitted: {why}", slope.name);
            }
        }
        let path = Slope::path(root, &slope.name);
        slope.write(root).map_err(|why| PageError::File { path, why })?;
    }
    Ok(())
}

fn read(root: &Path) -> Result<(PathBuf, String), PageError> {
    let path = root.join(PAGE);
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok((path, text)),
        Err(why) => Err(PageError::File { path, why }),
    }
}

/// Splits the page into the text up to and including the first marker, the tables, and the rest.
fn split_at_markers(text: &str) -> Result<(&str, &str, &str), PageError> {
    let begin = text.find(BEGIN).ok_or(PageError::Markers)? + BEGIN.len() + 1;
    let end = text.find(END).filter(|end| *end >= begin).ok_or(PageError::Markers)?;
    Ok((&text[..begin], &text[begin..end], &text[end..]))
}

fn first_difference(lines_before: usize, page: &str, records: &str) -> PageError {
    let (mut page, mut records) = (page.lines(), records.lines());
    let mut line = lines_before;
    loop {
        line += 1;
        let pair = (page.next(), records.next());
        if pair.0 != pair.1 || pair == (None, None) {
            let shown = |line: Option<&str>| line.unwrap_or("(nothing)").to_string();
            return PageError::Differs { line, page: shown(pair.0), records: shown(pair.1) };
        }
    }
}

/// Checks that each stored fit matches its points, so that neither was edited without the other.
fn check_stored_fits(records: &Records) -> Result<(), PageError> {
    for (slope, figure) in
        records.slopes.values().flat_map(|slope| slope.figures.iter().map(move |f| (slope, f)))
    {
        let mut refitted = figure.clone();
        refitted.fit = None;
        // A figure that cannot be fitted must be stored without a fit, so the error needs no handling here.
        let _ = refitted.fit();
        let same = match (&figure.fit, &refitted.fit) {
            (None, None) => true,
            (Some(stored), Some(refitted)) => stored.agrees(refitted),
            _ => false,
        };
        if !same {
            return Err(PageError::StaleFit { slope: slope.name.clone(), figure: figure.name.clone() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
