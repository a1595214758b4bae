//! The slopes by name. A slope is measured by a function of its own module; slopes that come from the same runs share one.

use super::record::{Run, Slope};
use super::{
    admission, config_parse, gang_machines, list_machines, members, pick_machines, rest_hollow,
    restart_hollow, state,
};
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
pub const TABLE: &[Entry] = &[
    Entry { names: &["pick-machines"], measure: pick_machines::measure },
    Entry { names: &["admission-routes"], measure: admission::measure_routes },
    Entry { names: &["admission-quotas"], measure: admission::measure_quotas },
    Entry { names: &["gang-machines"], measure: gang_machines::measure },
    Entry { names: &["config-parse"], measure: config_parse::measure },
    Entry { names: &["list-machines"], measure: list_machines::measure },
    Entry { names: &["restart-hollow"], measure: restart_hollow::measure_machines },
    Entry { names: &["restart-hollow-tasks"], measure: restart_hollow::measure_tasks },
    Entry { names: &["state-machines"], measure: state::measure_machines },
    Entry { names: &["state-tasks"], measure: state::measure_tasks },
    Entry { names: &["members"], measure: members::measure_rest },
    Entry { names: &["members-busy"], measure: members::measure_busy },
    Entry { names: &["rest-hollow"], measure: rest_hollow::measure },
];

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
