//! Runs planners with more machines than descriptors, or with a shared fault.

use burlhook_lab::experiments::fleet;
use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use clap::Args;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Path of the planner's program; the built-in planner if absent.
    #[arg(long)]
    planner: Option<PathBuf>,
    /// Number of planners.
    #[arg(long, default_value_t = 1)]
    planners: usize,
    /// Number of machines.
    #[arg(long, default_value_t = 400)]
    nodes: usize,
    /// Limit on file descriptors of each planner.
    #[arg(long, default_value_t = 256)]
    sockets: u32,
    /// Number of planners according to the settings.
    #[arg(long, default_value_t = 16)]
    listed: u32,
    /// Requests per second, over all planners.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Reset all connections to machines at half time.
    #[arg(long)]
    reset: bool,
    /// Seed for nodes and load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, planners, nodes, sockets, listed, rate, seconds, reset, seed } = arguments;
    let span = Duration::from_secs(seconds);
    let options =
        fleet::Options { planners, nodes, sockets, listed, rate, span, reset, seed, ..Default::default() };
    println!("seed {seed}");
    let report = fleet::run(&Program::or_own(planner)?, &options)?;
    print_fleet(&report);
    Ok(report.unreported == 0 && report.count(End::Unanswered) == 0)
}

fn print_fleet(report: &fleet::Report) {
    let requests: u64 = report.tallies.iter().map(|t| t.requests).sum();
    let answered_twice: u64 = report.tallies.iter().map(|t| t.answered_twice).sum();
    println!(
        "requests {requests} placed {} unanswered {} answered twice {answered_twice}",
        report.count(End::Placed),
        report.count(End::Unanswered)
    );
    let late = [0.5, 0.99, 1.0].map(|share| report.report_delay_ms(share));
    println!(
        "task ends reported after p50 {} p99 {} max {} ms; unreported {}",
        late[0], late[1], late[2], report.unreported
    );
    let ticks: u64 = report.used.iter().map(|u| u.cpu_ticks).sum();
    let peak = report.used.iter().map(|u| u.peak_kib).max().unwrap_or_default();
    println!("descriptors {} CPU {} ms peak {peak} KiB", report.descriptors, ticks * 10);
    println!(
        "connections in 2 s and in the worst tenth of a second: start {:?}, fault {:?}",
        report.start, report.fault
    );
}
