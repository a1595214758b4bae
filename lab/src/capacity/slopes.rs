//! The table of all slopes by name. Each module provides a function that measures its slopes; slopes that
//! come from the same runs share a function.

use super::record::{Run, Slope};
use super::{
    admission, ask_rate, config_parse, config_rate, config_size, gang_machines, list_machines, machines,
    members, pick_machines, planners, rest_hollow, restart_hollow, state, tasks,
};
use crate::planner::Program;
use std::io;
use std::path::PathBuf;

/// Options for measuring slopes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether to use the smaller sizes, which take only minutes.
    pub short: bool,
    /// Runs at each size. Slopes that use [`Options::runs`] do one fewer at the largest size.
    pub repeats: usize,
    /// The planner program, for slopes that start planner processes.
    pub program: Program,
    /// The path of this program (`burlhook-lab`), which is started for hollow machines.
    pub lab_program: PathBuf,
    /// The description of this run that goes into the records.
    pub run: Run,
}

impl Options {
    /// The sizes of a slope, each with its number of runs: one fewer at the largest size, but at least one.
    pub fn runs(&self, sizes: &[usize], short: &[usize]) -> Vec<(usize, usize)> {
        let sizes = if self.short { short } else { sizes };
        let largest = sizes.iter().max();
        let repeats = |size| if Some(size) == largest { self.repeats - 1 } else { self.repeats };
        sizes.iter().map(|size| (*size, repeats(size).max(1))).collect()
    }
}

/// Measures slopes and prints a line to standard error for each run.
pub type Measure = fn(&Options) -> io::Result<Vec<Slope>>;

/// A function that measures one or more slopes.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The names of the slopes, as in their records.
    pub names: &'static [&'static str],
    /// Measures all of these slopes.
    pub measure: Measure,
}

/// All slopes, in the order in which they are measured.
pub const SLOPES: &[Entry] = &[
    Entry { names: machines::NAMES, measure: machines::measure },
    Entry { names: machines::TODAY, measure: machines::measure_today },
    Entry { names: tasks::NAMES, measure: tasks::measure },
    Entry { names: planners::NAMES, measure: planners::measure },
    Entry { names: ask_rate::NAMES, measure: ask_rate::measure },
    Entry { names: config_size::NAMES, measure: config_size::measure },
    Entry { names: config_rate::NAMES, measure: config_rate::measure },
    Entry { names: &[pick_machines::SLOPE.name], measure: |options| pick_machines::SLOPE.measure(options) },
    Entry { names: &[admission::ROUTES.name], measure: |options| admission::ROUTES.measure(options) },
    Entry { names: &[admission::QUOTAS.name], measure: |options| admission::QUOTAS.measure(options) },
    Entry { names: &[gang_machines::SLOPE.name], measure: |options| gang_machines::SLOPE.measure(options) },
    Entry { names: &[config_parse::SLOPE.name], measure: |options| config_parse::SLOPE.measure(options) },
    Entry { names: &[list_machines::SLOPE.name], measure: |options| list_machines::SLOPE.measure(options) },
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
    Entry { names: &[rest_hollow::SLOPE.name], measure: |options| rest_hollow::SLOPE.measure(options) },
];

/// Selects the entries that measure the named slopes, each once; all entries if no name is given.
///
/// # Errors
/// If a name is not that of a slope.
pub fn select(table: &'static [Entry], names: &[String]) -> io::Result<Vec<&'static Entry>> {
    let known = |name: &String| table.iter().any(|entry| entry.names.contains(&name.as_str()));
    if let Some(unknown) = names.iter().find(|name| !known(name)) {
        let all: Vec<&str> = table.iter().flat_map(|entry| entry.names).copied().collect();
        return Err(io::Error::other(format!("unknown slope {unknown}; known slopes: {}", all.join(", "))));
    }
    let wanted = |entry: &&Entry| names.is_empty() || names.iter().any(|n| entry.names.contains(&n.as_str()));
    Ok(table.iter().filter(wanted).collect())
}

#[cfg(test)]
mod tests;
