//! The tables of `docs/CAPACITY.md`, written from the records and from nothing else.

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
/// The line before the tables.
pub const BEGIN: &str = "<!-- tables: begin, written by burlhook-lab capacity page -->";
/// The line after the tables.
pub const END: &str = "<!-- tables: end -->";

/// What stands where there is no record.
const NOT_MEASURED: &str = "not measured";

/// Why the tables cannot be written, or are not what they should be.
#[derive(Debug, Error)]
pub enum PageError {
    /// A file cannot be read or written.
    #[error("{path}: {why}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        why: io::Error,
    },
    /// A marker is missing, or they stand the wrong way round.
    #[error("{PAGE} needs the line {BEGIN:?} and after it the line {END:?}")]
    Markers,
    /// A row reads a figure that its record does not have.
    #[error("the record {slope} has no figure {figure:?}; it has: {known}")]
    UnknownFigure {
        /// The record.
        slope: String,
        /// What is wanted.
        figure: String,
        /// What there is.
        known: String,
    },
    /// A figure has no value at all.
    #[error("the record {slope} has no value of {figure:?}")]
    NoPoints {
        /// The record.
        slope: String,
        /// The figure.
        figure: String,
    },
    /// A record's fit is not that of its points.
    #[error("the record {slope}: the fit of {figure:?} is not that of its points; run `burlhook-lab capacity fit`")]
    OtherFit {
        /// The record.
        slope: String,
        /// The figure.
        figure: String,
    },
    /// The tables of the page are not those of the records.
    #[error("{PAGE} line {line} differs from the records; run `burlhook-lab capacity page`\n  page:    {page}\n  records: {records}")]
    Differs {
        /// The first line that differs.
        line: usize,
        /// What the page says there.
        page: String,
        /// What the records give.
        records: String,
    },
    /// A prediction is off by over a fifth, and nothing says why.
    #[error("lab/src/capacity/reasons.rs lacks why the prediction was over 20% off for: {figures}")]
    NoReason {
        /// The figures, by their records.
        figures: String,
    },
}

/// Reads all records under a root; no folder is no record.
///
/// # Errors
/// If a file cannot be read or is no record.
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

/// The tables.
///
/// # Errors
/// If a record lacks a figure that a row reads, or has a fit that is not that of its points.
pub fn render(records: &Records) -> Result<String, PageError> {
    check_fits(records)?;
    tables::all(records)
}

/// Writes the tables into the page.
///
/// # Errors
/// If they cannot be made, or the page lacks its markers.
pub fn write(root: &Path) -> Result<(), PageError> {
    let (path, text) = read(root)?;
    let (before, _, after) = parts(&text)?;
    let tables = render(&records(root)?)?;
    std::fs::write(&path, format!("{before}{tables}{after}")).map_err(|why| PageError::File { path, why })
}

/// Holds the page against the records.
///
/// # Errors
/// If they differ, or a prediction was far off and nothing says why.
pub fn check(root: &Path) -> Result<(), PageError> {
    let (_, text) = read(root)?;
    let (before, page, _) = parts(&text)?;
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

/// Fits all figures of all records that have sizes enough, and writes the records.
///
/// # Errors
/// If a record cannot be read or written.
pub fn fit(root: &Path) -> Result<(), PageError> {
    for mut slope in records(root)?.slopes.into_values() {
        for figure in &mut slope.figures {
            figure.fit = None;
            if let Err(why) = figure.fit() {
                eprintln!("{}: no fit: {why}", slope.name);
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

/// The page up to its tables with the first marker, the tables, and the rest.
fn parts(text: &str) -> Result<(&str, &str, &str), PageError> {
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
            let told = |line: Option<&str>| line.unwrap_or("(nothing)").to_string();
            return PageError::Differs { line, page: told(pair.0), records: told(pair.1) };
        }
    }
}

/// Each record's fits are those of its points: nobody edited one of the two.
fn check_fits(records: &Records) -> Result<(), PageError> {
    for (slope, figure) in
        records.slopes.values().flat_map(|slope| slope.figures.iter().map(move |f| (slope, f)))
    {
        let mut again = figure.clone();
        again.fit = None;
        // A figure with too few sizes has no fit, which is what is compared.
        let _ = again.fit();
        let alike = match (&figure.fit, &again.fit) {
            (None, None) => true,
            (Some(stored), Some(again)) => stored.agrees(again),
            _ => false,
        };
        if !alike {
            return Err(PageError::OtherFit { slope: slope.name.clone(), figure: figure.name.clone() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
