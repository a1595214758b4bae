//! The slopes by name. A slope is measured by a function of its own module; slopes that come from the same runs share one.

use super::record::{Run, Slope};
use super::{
    admission, ask_rate, config_parse, config_rate, config_size, gang_machines, list_machines, machines,
    members, pick_machines, planners, rest_hollow, restart_hollow, state, tasks,
};
use crate::planner::Program;
use std::io;
use std::path::PathBuf;

/// How slopes are measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// Smaller sizes, for minutes.
    pub short: bool,
    /// Runs at each size but the greatest.
    pub repeats: usize,
    /// The planner's program, for slopes that start processes.
    pub program: Program,
    /// The laboratory's own program, for hollow machines.
    pub laboratory: PathBuf,
    /// Where and when, as it goes into the records.
    pub run: Run,
}

impl Options {
    /// The sizes of a slope, each with its count of runs: at the greatest one run less.
    pub fn runs(&self, sizes: &[usize], short: &[usize]) -> Vec<(usize, usize)> {
        let sizes = if self.short { short } else { sizes };
        let most = sizes.iter().max();
        let repeats = |size| if Some(size) == most { self.repeats - 1 } else { self.repeats };
        sizes.iter().map(|size| (*size, repeats(size).max(1))).collect()
    }
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
    Entry { names: machines::NAMES, measure: machines::measure },
    Entry { names: machines::TODAY, measure: machines::measure_today },
    Entry { names: tasks::NAMES, measure: tasks::measure },
    Entry { names: planners::NAMES, measure: planners::measure },
    Entry { names: ask_rate::NAMES, measure: ask_rate::measure },
    Entry { names: config_size::NAMES, measure: config_size::measure },
    Entry { names: config_rate::NAMES, measure: config_rate::measure },
    Entry { names: &[pick_machines::LADDER.name], measure: |options| pick_machines::LADDER.measure(options) },
    Entry { names: &[admission::ROUTES.name], measure: |options| admission::ROUTES.measure(options) },
    Entry { names: &[admission::QUOTAS.name], measure: |options| admission::QUOTAS.measure(options) },
    Entry { names: &[gang_machines::LADDER.name], measure: |options| gang_machines::LADDER.measure(options) },
    Entry { names: &[config_parse::LADDER.name], measure: |options| config_parse::LADDER.measure(options) },
    Entry { names: &[list_machines::LADDER.name], measure: |options| list_machines::LADDER.measure(options) },
    Entry {
        names: &[restart_hollow::BY_MACHINES.name],
        measure: |options| restart_hollow::BY_MACHINES.measure(options),
    },
    Entry {
        names: &[restart_hollow::BY_TASKS.name],
        measure: |options| restart_hollow::BY_TASKS.measure(options),
    },
    Entry { names: &[state::MACHINE.name], measure: |options| state::MACHINE.measure(options) },
    Entry { names: &[state::TASK.name], measure: |options| state::TASK.measure(options) },
    Entry { names: &[members::REST.name], measure: |options| members::REST.measure(options) },
    Entry { names: &[members::BUSY.name], measure: |options| members::BUSY.measure(options) },
    Entry { names: &[rest_hollow::LADDER.name], measure: |options| rest_hollow::LADDER.measure(options) },
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

#[cfg(test)]
mod tests;
