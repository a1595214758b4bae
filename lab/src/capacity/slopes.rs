//! The slopes by name. A slope is measured by a function of its own module; slopes that come from the same runs share one.

use super::record::{Run, Slope};
use crate::planner::Program;
use std::io;

/// How slopes are measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Smaller sizes, for minutes.
    pub short: bool,
    /// Runs at each size but the greatest.
    pub repeats: usize,
    /// The planner's program, for slopes that start processes.
    pub program: Program,
    /// Where and when, as it goes into the records.
    pub run: Run,
}

/// Measures slopes, with a line on standard error for each run.
pub type Measure = fn(&Options) -> io::Result<Vec<Slope>>;

/// A function and the slopes that it measures.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The names of its slopes, as their records have them.
    pub names: &'static [&'static str],
    /// Measures them all.
    pub measure: Measure,
}

/// All slopes, in the order in which they are measured.
pub const TABLE: &[Entry] = &[];

/// The entries that measure the named slopes, each once; all of them if none is named.
///
/// # Errors
/// If there is no slope of a name.
pub fn select(table: &'static [Entry], names: &[String]) -> io::Result<Vec<&'static Entry>> {
    let known = |name: &String| table.iter().any(|entry| entry.names.contains(&name.as_str()));
    if let Some(unknown) = names.iter().find(|name| !known(name)) {
        let all: Vec<&str> = table.iter().flat_map(|entry| entry.names).copied().collect();
        return Err(io::Error::other(format!("no slope is named {unknown}; there are: {}", all.join(", "))));
    }
    let wanted = |entry: &&Entry| names.is_empty() || names.iter().any(|n| entry.names.contains(&n.as_str()));
    Ok(table.iter().filter(wanted).collect())
}
