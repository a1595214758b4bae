//! The command line of the scale tests: `burlhook-lab capacity`.

use super::record::Run;
use clap::Subcommand;
use std::io;
use std::path::PathBuf;
use std::process::Command;

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
    },
}

/// Carries out an action.
///
/// # Errors
/// If a run cannot be started or a record not be written.
pub fn run(action: Action) -> io::Result<bool> {
    match action {
        Action::Run { slopes, short, root, .. } => {
            let run = describe_run(&root, short);
            eprintln!("capacity: {} on {}", run.commit, run.machine);
            Err(io::Error::other(format!("there is no slope of these names: {slopes:?}")))
        }
    }
}

/// Where and when the slopes of this run are measured.
pub fn describe_run(root: &std::path::Path, short: bool) -> Run {
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
