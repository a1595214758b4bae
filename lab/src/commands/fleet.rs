//! Planners over more machines than descriptors, or that share a fault.

use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::fleet;
use clap::Args;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// What the command is told.
#[derive(Args)]
pub struct Arguments {
    /// The planner's program; this one's own planner if absent.
    #[arg(long)]
    planner: Option<PathBuf>,
    /// Planners.
    #[arg(long, default_value_t = 1)]
    planners: usize,
    /// Machines.
    #[arg(long, default_value_t = 400)]
    nodes: usize,
    /// Descriptors of each planner.
    #[arg(long, default_value_t = 256)]
    sockets: u32,
    /// Planners that the settings tell of.
    #[arg(long, default_value_t = 16)]
    listed: u32,
    /// Asks a second, over all planners.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// All connections to machines are reset at half of the time.
    #[arg(long)]
    reset: bool,
    /// Seed of nodes and load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Carries it out; tells whether all was well.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, planners, nodes, sockets, listed, rate, seconds, reset, seed } = arguments;
    let span = Duration::from_secs(seconds);
    let options =
        fleet::Options { planners, nodes, sockets, listed, rate, span, reset, seed, ..Default::default() };
    println!("seed {seed}");
    let report = fleet::run(&Program::or_own(planner)?, &options)?;
    print_fleet(&report);
    Ok(report.untold == 0 && report.count(End::Unanswered) == 0)
}

fn print_fleet(report: &fleet::Report) {
    let asked: u64 = report.tallies.iter().map(|t| t.asked).sum();
    let twice: u64 = report.tallies.iter().map(|t| t.twice).sum();
    println!(
        "asked {asked} placed {} unanswered {} twice {twice}",
        report.count(End::Placed),
        report.count(End::Unanswered)
    );
    let late = [0.5, 0.99, 1.0].map(|share| report.late(share));
    println!("ends told after p50 {} p99 {} most {} ms; untold {}", late[0], late[1], late[2], report.untold);
    let ticks: u64 = report.used.iter().map(|u| u.cpu_ticks).sum();
    let peak = report.used.iter().map(|u| u.peak_kib).max().unwrap_or_default();
    println!("descriptors {} CPU {} ms peak {peak} KiB", report.descriptors, ticks * 10);
    println!("connections in 2 s and in the worst tenth: start {:?}, fault {:?}", report.start, report.fault);
}
