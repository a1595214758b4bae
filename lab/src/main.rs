//! The laboratory's command line.

mod commands;

use burlhook_lab::capacity;
use burlhook_lab::experiments::demo;
use burlhook_lab::planner::Program;
use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts allocations for the scale tests.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Stand-in nodes, load generators and experiments for burlhook.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a planner and five nodes on free ports with a short mix of jobs, and prints the outcome of each.
    Demo,
    /// Runs one stand-in node until it is terminated.
    Node(commands::node::Arguments),
    /// Reloads the operators' file under load; prints latency, memory and the audit of the ledgers.
    Reload(commands::reload::Arguments),
    /// Compares a brown-out with and without a retry budget.
    Brownout(commands::brownout::Arguments),
    /// Runs groups beside ordinary load on nodes that fail at random; partial times come from the nodes'
    /// ledgers.
    Groups(commands::groups::Arguments),
    /// Runs planners with more machines than descriptors, or with a shared fault: delays of task ends, and
    /// dial bursts.
    Fleet(commands::fleet::Arguments),
    /// Checks budgets of the whole fleet under faults, from the machines' ledgers and the clients' logs.
    Budgets(commands::budgets::Arguments),
    /// Simulates a fleet: drawn faults over many seeds, or how long shares are idle when planners stop and
    /// start.
    Twin(commands::twin::Arguments),
    /// Scale tests: the cost of each part as one size grows.
    Capacity {
        #[command(subcommand)]
        action: capacity::command::Action,
    },
    /// The planner itself, as experiments start it.
    #[command(hide = true)]
    Planner {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        operators: Option<PathBuf>,
    },
}

fn run(command: Command) -> io::Result<bool> {
    match command {
        Command::Demo => Ok(demo::run(&Program::or_own(None)?, &mut io::stdout())? == 0),
        Command::Node(arguments) => commands::node::run(arguments),
        Command::Reload(arguments) => commands::reload::run(arguments),
        Command::Brownout(arguments) => commands::brownout::run(arguments),
        Command::Fleet(arguments) => commands::fleet::run(arguments),
        Command::Budgets(arguments) => commands::budgets::run(arguments),
        Command::Twin(arguments) => commands::twin::run(arguments),
        Command::Groups(arguments) => commands::groups::run(arguments),
        Command::Capacity { action } => capacity::command::run(action),
        Command::Planner { config, operators } => {
            burlhook::life::log();
            burlhook::life::serve(Some(config), operators).map_err(io::Error::other)?;
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("burlhook-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
