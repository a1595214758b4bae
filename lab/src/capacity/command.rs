//! The command line of the scale tests: `burlhook-lab capacity`.

use super::hollow_machine;
use super::record::{Run, RECORDS};
use super::slopes::{select, Options, TABLE};
use crate::planner::Program;
use clap::Subcommand;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Count. Runs at each size where nothing else is said.
const REPEATS: usize = 3;

/// What to do with the slopes.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Measures slopes, fits them and writes one JSON file each; alone on the machine.
    Run {
        /// The slopes by name; all if none is named.
        slopes: Vec<String>,
        /// Smaller sizes, for minutes.
        #[arg(long)]
        short: bool,
        /// The records as JSON on standard output, too.
        #[arg(long)]
        json: bool,
        /// The root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// The commit of that program, where it is not the one that is checked out.
        #[arg(long)]
        commit: Option<String>,
        /// The folder of the records, relative to the root.
        #[arg(long, default_value = RECORDS)]
        records: PathBuf,
        /// Runs at each size; fewer at the greatest.
        #[arg(long, default_value_t = REPEATS)]
        repeats: usize,
    },
    /// Hollow machines until standard input ends, as the slopes start them.
    #[command(hide = true)]
    HollowMachines {
        /// How they behave, as JSON.
        plan: String,
    },
}

/// Carries out an action.
///
/// # Errors
/// If a run cannot be started or a record not be written.
pub fn run(action: Action) -> io::Result<bool> {
    match action {
        Action::Run { slopes, short, json, root, planner, commit, records, repeats } => {
            let mut run = describe_run(&root, short);
            run.commit = commit.unwrap_or(run.commit);
            eprintln!("capacity: {} on {}", run.commit, run.machine);
            let options = Options { short, repeats, program: Program::or_own(planner)?, run };
            measure(&slopes, &options, &root.join(records), json)
        }
        Action::HollowMachines { plan } => {
            hollow_machine::run(&plan)?;
            Ok(true)
        }
    }
}

fn measure(names: &[String], options: &Options, records: &Path, json: bool) -> io::Result<bool> {
    for entry in select(TABLE, names)? {
        for slope in (entry.measure)(options)? {
            slope.write_into(records)?;
            if json {
                println!("{}", serde_json::to_string(&slope).map_err(io::Error::other)?);
            }
        }
    }
    Ok(true)
}

/// Where and when the slopes of this run are measured.
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
