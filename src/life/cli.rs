//! The command line.

use super::config::{Config, ConfigError};
use crate::decide::limits::{explain, Front, Subject};
use crate::placer::Room;
use crate::wire::import::{self, Bad, Mapping};
use crate::wire::rest;
use clap::{Parser, Subcommand, ValueEnum};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Places tasks on shared machines.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a planner until SIGTERM.
    Serve {
        /// The configuration; the file named in NODE_CONFIG if absent.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file; all that it sets up is off without it.
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Look a configuration over, and tell what is wrong with it.
    Check {
        /// The configuration; the file named in NODE_CONFIG if absent.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file; each of its faults is shown with its place.
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Look into the limits of an operators' file.
    #[command(subcommand)]
    Limits(Limits),
    /// Turn a HAR file or an access log into a job mix, on standard output. Bad lines are told by number.
    Import {
        /// The file.
        file: PathBuf,
        /// Its format; common and combined are read alike.
        #[arg(long, value_enum)]
        format: Format,
        /// The class of requests that change nothing.
        #[arg(long, default_value = "stateless")]
        stateless_class: String,
        /// The class of all other requests.
        #[arg(long, default_value = "keyed")]
        keyed_class: String,
        /// Milliseconds in which each job must stand.
        #[arg(long, default_value_t = 8000)]
        deadline_ms: u64,
    },
    /// Submit a job mix to a planner's REST front, and tell how each job ended.
    Submit {
        /// The mix.
        file: PathBuf,
        /// The planner.
        #[arg(long, default_value = "http://127.0.0.1:8080")]
        url: String,
        /// Jobs that are open at once.
        #[arg(long, default_value_t = 8)]
        at_once: usize,
    },
    /// Tell the version.
    Version,
}

#[derive(Subcommand)]
enum Limits {
    /// Print the limits of a job, and where each comes from.
    Explain {
        /// The configuration; the file named in NODE_CONFIG if absent.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file.
        #[arg(long)]
        operators: PathBuf,
        /// The job's class.
        #[arg(long)]
        class: String,
        /// The job's service, in its owner's words.
        #[arg(long, default_value = "")]
        service: String,
        /// The front that it comes through.
        #[arg(long, value_enum, default_value = "platform")]
        front: FrontName,
        /// Cores that it asks for.
        #[arg(long, default_value_t = 1.0)]
        cores: f64,
        /// Memory that it asks for.
        #[arg(long, default_value_t = 1.0)]
        memory: f64,
    },
    /// Print what would change from one operators' file to another.
    Diff {
        /// The configuration; the file named in NODE_CONFIG if absent.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The file in force.
        old: PathBuf,
        /// The file that would follow it.
        new: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum FrontName {
    Platform,
    Rest,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Har,
    Common,
    Combined,
}

fn tell_bad(file: &Path, bad: &[Bad]) {
    for Bad { number, why } in bad {
        eprintln!("{}:{number}: {why}", file.display());
    }
}

fn import_file(file: &Path, format: Format, mapping: &Mapping) -> Result<(), String> {
    let text = std::fs::read(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let (requests, bad) = match format {
        Format::Har => import::har::read(&text).map_err(|e| format!("{}: {e}", file.display()))?,
        Format::Common | Format::Combined => import::access_log::read(&text),
    };
    tell_bad(file, &bad);
    let mut out = std::io::stdout().lock();
    for job in mapping.mix(&requests) {
        let line = serde_json::to_string(&job).map_err(|e| e.to_string())?;
        writeln!(out, "{line}").map_err(|e| format!("cannot write: {e}"))?;
    }
    if requests.is_empty() && !bad.is_empty() {
        return Err(format!("{}: no line could be read", file.display()));
    }
    Ok(())
}

fn submit_mix(file: &Path, url: &str, at_once: usize) -> Result<(), String> {
    rest::loopback(url)?;
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let (mix, bad) = import::read_mix(&text);
    tell_bad(file, &bad);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let ends = runtime.block_on(rest::submit(url, mix, at_once));
    for end in &ends {
        println!("{} {} {}", end.number, end.status, end.words);
    }
    for (status, count) in rest::count(&ends) {
        println!("total {status} {count}");
    }
    let unanswered = ends.iter().filter(|e| e.status == 0).count();
    if unanswered > 0 || !bad.is_empty() {
        return Err(format!("{unanswered} jobs had no answer, {} lines could not be read", bad.len()));
    }
    Ok(())
}

/// Shows every fault of an operators' file with its line; other errors in one line.
fn drawn(error: ConfigError) -> String {
    match error {
        ConfigError::Operators(faults) => {
            let many = if faults.count() == 1 { "" } else { "s" };
            format!("{} fault{many}\n{}", faults.count(), faults.drawn().trim_end())
        }
        other => other.to_string(),
    }
}

fn limits(command: Limits) -> Result<(), ConfigError> {
    match command {
        Limits::Explain { config, operators, class, service, front, cores, memory } => {
            let config = Config::load(config)?;
            let (settings, words) = super::settings_of(&config)?;
            let file = super::operators_of(&config, &operators)?;
            let index = words.class(&class).ok_or_else(|| ConfigError::NoClass(class.clone()))?;
            let front = match front {
                FrontName::Platform => Front::Platform,
                FrontName::Rest => Front::Rest,
            };
            let subject = Subject { front, class: index, service: &service, room: Room { cores, memory } };
            let (route, lines) = explain::explain(&file.limits, &subject, &settings, words.classes());
            println!("route: {}", route.as_deref().unwrap_or("none"));
            for line in lines {
                println!("{:<15} {:<24} {}", line.name, line.value, line.from);
            }
        }
        Limits::Diff { config, old, new } => {
            let config = Config::load(config)?;
            let (_, words) = super::settings_of(&config)?;
            let (old, new) = (super::operators_of(&config, &old)?, super::operators_of(&config, &new)?);
            for line in explain::diff(old.limits.model(), new.limits.model(), words.classes()) {
                println!("{line}");
            }
            if old.rest != new.rest {
                println!("~ rest: changes with a restart alone");
            }
        }
    }
    Ok(())
}

/// Reads the command line and does what it says.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    super::log();
    let done = match arguments.command {
        Command::Serve { config, operators } => super::serve(config, operators).map_err(|e| e.to_string()),
        Command::Check { config, operators } => {
            let told = super::check(config, operators).map_err(drawn);
            told.map(|told| told.iter().for_each(|line| println!("note: {line}")))
        }
        Command::Limits(command) => limits(command).map_err(drawn),
        Command::Import { file, format, stateless_class, keyed_class, deadline_ms } => {
            let source = file.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
            let mapping = Mapping { source, stateless: stateless_class, keyed: keyed_class, deadline_ms };
            import_file(&file, format, &mapping)
        }
        Command::Submit { file, url, at_once } => submit_mix(&file, &url, at_once),
        Command::Version => {
            println!("burlhook {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("burlhook: {message}");
            ExitCode::FAILURE
        }
    }
}
