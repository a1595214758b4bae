//! The laboratory's command line.

mod commands;

use burlhook_lab::capacity;
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::demo;
use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Scale tests count allocations.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Stand-in nodes, load and rigs for burlhook.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A planner and five nodes on free ports, a short mix, and what became of each job. It ends by itself.
    Demo,
    /// One stand-in node, until it is ended.
    Node(commands::node::Arguments),
    /// Reloads under load; prints latency, memory and what the ledgers show.
    Reload(commands::reload::Arguments),
    /// A brown-out with and without a budget of further tries.
    Brownout(commands::brownout::Arguments),
    /// Groups beside ordinary load on nodes that fail at random; partial times come from the nodes' ledgers.
    Groups(commands::groups::Arguments),
    /// Planners over more machines than descriptors, or that share a fault: how late ends are told, and dials in step.
    Fleet(commands::fleet::Arguments),
    /// Budgets of the whole fleet under faults; the machines' ledgers and the clients' logs decide.
    Budgets(commands::budgets::Arguments),
    /// The simulated twin of a fleet: drawn faults over many seeds, or how long parts are idle when planners go and come.
    Twin(commands::twin::Arguments),
    /// Scale tests: what each part costs as one size grows.
    Capacity {
        #[command(subcommand)]
        action: capacity::command::Action,
    },
    /// The planner itself, as the rigs start it.
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
