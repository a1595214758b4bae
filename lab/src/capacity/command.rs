//! The command line of the scale tests: `burlhook-lab capacity`.

use super::bench::SOCKETS;
use super::compare::{self, Setting, COMPARISON};
use super::hollow_machine;
use super::page::{self, PageError};
use super::record::{Run, RECORDS};
use super::slopes::{select, Options, SLOPES};
use crate::planner::Program;
use clap::Subcommand;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The default number of runs at each size.
const REPEATS: usize = 3;

/// The subcommands of `burlhook-lab capacity`.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Measures slopes and writes one JSON file for each; nothing else should run on the machine.
    Run {
        /// The names of the slopes; all slopes if none is given.
        slopes: Vec<String>,
        /// Use the smaller sizes, which take only minutes.
        #[arg(long)]
        short: bool,
        /// Also print the records as JSON to standard output.
        #[arg(long)]
        json: bool,
        /// The root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// The planner program; by default the one that belongs to this program.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// The commit of that program, if it is not the one that is checked out.
        #[arg(long)]
        commit: Option<String>,
        /// The folder of the records, relative to the root.
        #[arg(long, default_value = RECORDS)]
        records: PathBuf,
        /// Runs at each size; some slopes do one fewer at the largest.
        #[arg(long, default_value_t = REPEATS)]
        repeats: usize,
    },
    /// Measures two programs alternately with hollow machines, and prints the ratios of their costs.
    Compare {
        /// The planner program before the change.
        #[arg(long)]
        before: PathBuf,
        /// The planner program after the change.
        #[arg(long)]
        after: PathBuf,
        /// The commits of the two programs, for the record.
        #[arg(long, num_args = 2, default_values = ["", ""])]
        commits: Vec<String>,
        /// Use the smaller sizes, which take only minutes.
        #[arg(long)]
        short: bool,
        /// The number of planners listed in the configuration.
        #[arg(long, default_value_t = 1)]
        listed: usize,
        /// The number of file descriptors that the configuration allows each planner.
        #[arg(long, default_value_t = SOCKETS)]
        sockets: u32,
        /// Runs of each program at each size; one fewer at the largest.
        #[arg(long, default_value_t = REPEATS)]
        repeats: usize,
        /// The root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// The path of the record, relative to the root.
        #[arg(long, default_value = COMPARISON)]
        record: PathBuf,
    },
    /// Runs hollow machines until standard input is closed; started by the slopes.
    #[command(hide = true)]
    HollowMachines {
        /// The behaviour of the machines, as JSON.
        plan: String,
    },
    /// Fits all figures of the records again and writes the records.
    Fit {
        /// The root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Writes the tables of docs/CAPACITY.md from the records.
    Page {
        /// Write nothing, and fail if the page differs from the records.
        #[arg(long)]
        check: bool,
        /// The root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
}

/// Executes a subcommand.
///
/// # Errors
/// If a run cannot be started, or a record cannot be read or written.
pub fn run(action: Action) -> io::Result<bool> {
    match action {
        Action::Run { slopes, short, json, root, planner, commit, records, repeats } => {
            let mut run = describe_run(&root, short);
            run.commit = commit.unwrap_or(run.commit);
            eprintln!("capacity: {} on {}", run.commit, run.machine);
            let options = Options {
                short,
                repeats,
                program: Program::or_own(planner)?,
                lab_program: std::env::current_exe()?,
                run,
            };
            measure(&slopes, &options, &root.join(records), json)
        }
        Action::Compare { before, after, commits, short, listed, sockets, repeats, root, record } => {
            let run = describe_run(&root, short);
            let (program, lab_program) = (Program::at(&before), std::env::current_exe()?);
            let options = Options { short, repeats, program, lab_program, run };
            let setting = Setting { listed, sockets };
            let comparison = compare::measure(&options, &[before, after], &commits, setting)?;
            comparison.write(&root.join(record))?;
            comparison.print();
            Ok(true)
        }
        Action::HollowMachines { plan } => {
            hollow_machine::run(&plan)?;
            Ok(true)
        }
        Action::Fit { root } => page_result(page::fit(&root)),
        Action::Page { check: true, root } => page_result(page::check(&root)),
        Action::Page { check: false, root } => page_result(page::write(&root)),
    }
}

/// Converts the result of a page operation to that of a subcommand, with the error's text unchanged.
fn page_result(outcome: Result<(), PageError>) -> io::Result<bool> {
    outcome.map(|()| true).map_err(io::Error::other)
}

fn measure(names: &[String], options: &Options, records: &Path, json: bool) -> io::Result<bool> {
    for entry in select(SLOPES, names)? {
        for slope in (entry.measure)(options)? {
            slope.write_into(records)?;
            if json {
                println!("{}", serde_json::to_string(&slope).map_err(io::Error::other)?);
            }
        }
    }
    Ok(true)
}

/// Describes this run: the date, the checked-out commit and the machine.
pub fn describe_run(root: &Path, short: bool) -> Run {
    let output = |program: &str, arguments: &[&str]| {
        let output = Command::new(program).args(arguments).current_dir(root).output().ok();
        output.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_string()).unwrap_or_default()
    };
    let changed = !output("git", &["status", "--porcelain", "--", "src", "lab"]).is_empty();
    let commit = output("git", &["rev-parse", "--short", "HEAD"]) + if changed { "+" } else { "" };
    let processors = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = processors.lines().find_map(|line| line.strip_prefix("model name")?.split(": ").nth(1));
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let machine = format!("{}, {cores} cores", model.unwrap_or("unknown processor"));
    Run { date: output("date", &["-u", "+%F"]), commit, machine, short }
}
