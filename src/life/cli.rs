//! The command line.

use super::config::{Config, ConfigError};
use crate::decide::limits::{explain, Front, Subject};
use crate::placer::Room;
use crate::wire::import::{self, InvalidLine, Mapping};
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
    /// Run a planner until SIGTERM or SIGINT.
    Serve {
        /// The configuration; by default the file named in NODE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file; without it, all that it configures is off.
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Check a configuration and report its faults.
    Check {
        /// The configuration; by default the file named in NODE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file; each fault is shown with its position.
        #[arg(long)]
        operators: Option<PathBuf>,
    },
    /// Inspect the limits of an operators' file.
    #[command(subcommand)]
    Limits(Limits),
    /// Convert a HAR file or an access log to a job mix on standard output; report invalid lines by number.
    Import {
        /// The HAR file or access log.
        file: PathBuf,
        /// The file's format; common and combined are read alike.
        #[arg(long, value_enum)]
        format: Format,
        /// The class of requests that change nothing.
        #[arg(long, default_value = "stateless")]
        stateless_class: String,
        /// The class of all other requests.
        #[arg(long, default_value = "keyed")]
        keyed_class: String,
        /// Milliseconds in which each job must be placed.
        #[arg(long, default_value_t = 8000)]
        deadline_ms: u64,
    },
    /// Submit a job mix to a planner's REST API and print the result of each job.
    Submit {
        /// The job mix.
        file: PathBuf,
        /// The URL of the planner's REST API.
        #[arg(long, default_value = "http://127.0.0.1:8080")]
        url: String,
        /// Maximum number of jobs that are open at once.
        #[arg(long, default_value_t = 8)]
        at_once: usize,
    },
    /// Print the version.
    Version,
}

#[derive(Subcommand)]
enum Limits {
    /// Print the limits of a job and the origin of each.
    Explain {
        /// The configuration; by default the file named in NODE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The operators' file.
        #[arg(long)]
        operators: PathBuf,
        /// The job's class.
        #[arg(long)]
        class: String,
        /// The job's service, as its owner names it.
        #[arg(long, default_value = "")]
        service: String,
        /// The interface through which it is submitted.
        #[arg(long, value_enum, default_value = "platform")]
        front: FrontName,
        /// Cores that it requests.
        #[arg(long, default_value_t = 1.0)]
        cores: f64,
        /// Memory that it requests.
        #[arg(long, default_value_t = 1.0)]
        memory: f64,
    },
    /// Print what would change from one operators' file to another.
    Diff {
        /// The configuration; by default the file named in NODE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The old file.
        old: PathBuf,
        /// The new file.
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

fn report_invalid(file: &Path, invalid: &[InvalidLine]) {
    for InvalidLine { number, why } in invalid {
        eprintln!("{}:{number}: {why}", file.display());
    }
}

fn import_file(file: &Path, format: Format, mapping: &Mapping) -> Result<(), String> {
    let text = std::fs::read(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let (requests, invalid) = match format {
        Format::Har => import::har::read(&text).map_err(|e| format!("{}: {e}", file.display()))?,
        Format::Common | Format::Combined => import::access_log::read(&text),
    };
    report_invalid(file, &invalid);
    let mut out = std::io::stdout().lock();
    for job in mapping.mix(&requests) {
        let line = serde_json::to_string(&job).map_err(|e| e.to_string())?;
        writeln!(out, "{line}").map_err(|e| format!("cannot write: {e}"))?;
    }
    if requests.is_empty() && !invalid.is_empty() {
        return Err(format!("{}: no valid line or entry", file.display()));
    }
    Ok(())
}

fn submit_mix(file: &Path, url: &str, at_once: usize) -> Result<(), String> {
    rest::loopback(url)?;
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
    let (mix, invalid) = import::read_mix(&text);
    report_invalid(file, &invalid);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let results = runtime.block_on(rest::submit(url, mix, at_once));
    for result in &results {
        println!("{} {} {}", result.number, result.status, result.detail);
    }
    for (status, count) in rest::count(&results) {
        println!("total {status} {count}");
    }
    let unanswered = results.iter().filter(|e| e.status == 0).count();
    if unanswered > 0 || !invalid.is_empty() {
        return Err(format!("{unanswered} jobs without an answer, {} invalid lines", invalid.len()));
    }
    Ok(())
}

/// Formats an error: every fault of an operators' file with its line, any other error in one line.
fn format_error(error: ConfigError) -> String {
    match error {
        ConfigError::Operators(faults) => {
            let plural = if faults.count() == 1 { "" } else { "s" };
            format!("{} fault{plural}\n{}", faults.count(), faults.annotated().trim_end())
        }
        other => other.to_string(),
    }
}

fn limits(command: Limits) -> Result<(), ConfigError> {
    match command {
        Limits::Explain { config, operators, class, service, front, cores, memory } => {
            let config = Config::load(config)?;
            let (settings, vocabulary) = super::parse_settings(&config)?;
            let file = super::load_operators(&config, &operators)?;
            let index = vocabulary.class(&class).ok_or_else(|| ConfigError::NoClass(class.clone()))?;
            let front = match front {
                FrontName::Platform => Front::Platform,
                FrontName::Rest => Front::Rest,
            };
            let subject = Subject { front, class: index, service: &service, room: Room { cores, memory } };
            let (route, lines) = explain::explain(&file.limits, &subject, &settings, vocabulary.classes());
            println!("route: {}", route.as_deref().unwrap_or("none"));
            for line in lines {
                println!("{:<15} {:<24} {}", line.name, line.value, line.from);
            }
        }
        Limits::Diff { config, old, new } => {
            let config = Config::load(config)?;
            let (_, vocabulary) = super::parse_settings(&config)?;
            let (old, new) = (super::load_operators(&config, &old)?, super::load_operators(&config, &new)?);
            for line in explain::diff(old.limits.model(), new.limits.model(), vocabulary.classes()) {
                println!("{line}");
            }
            if old.rest != new.rest {
                println!("~ rest: changes take effect only after a restart");
            }
        }
    }
    Ok(())
}

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    super::log();
    let result = match arguments.command {
        Command::Serve { config, operators } => super::serve(config, operators).map_err(|e| e.to_string()),
        Command::Check { config, operators } => {
            let notes = super::check(config, operators).map_err(format_error);
            notes.map(|notes| notes.iter().for_each(|line| println!("note: {line}")))
        }
        Command::Limits(command) => limits(command).map_err(format_error),
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("burlhook: {message}");
            ExitCode::FAILURE
        }
    }
}
