//! Runs groups beside ordinary load.

use burlhook_lab::experiments::groups;
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
    /// Groups per second.
    #[arg(long, default_value_t = 4.0)]
    groups: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Share of the fleet's capacity that ordinary load uses.
    #[arg(long, default_value_t = 0.3)]
    load: f64,
    /// Submit each member as a job of its own, and delete all if one fails.
    #[arg(long)]
    naive: bool,
    /// Run without node failures.
    #[arg(long)]
    calm: bool,
    /// Seed for nodes, load and groups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, groups, seconds, load, naive, calm, seed } = arguments;
    let (span, faults) = (Duration::from_secs(seconds), !calm);
    let options = groups::Options { groups, span, load, naive, faults, seed, ..Default::default() };
    println!("seed {seed}");
    let report = groups::run(&Program::or_own(planner)?, &options)?;
    let h = &report.partial_ms;
    println!(
        "groups requested {} answers {:?} placed {:.3}",
        report.requests,
        report.answers,
        report.placed()
    );
    println!(
        "partial ms: {} periods, p50 {} p99 {} max {}; over one second: {}",
        h.len(),
        h.value_at_quantile(0.5),
        h.value_at_quantile(0.99),
        h.max(),
        report.over
    );
    println!("members with two concurrent copies {}", report.groups.doubled.len());
    report.groups.doubled.iter().take(5).for_each(|b| println!("  {b}"));
    let (p, requests) = (&report.tally.placed_us, report.tally.requests);
    println!(
        "ordinary load: requests {requests} placed {} ms p50 {:.1} p99 {:.1}; unanswered {}",
        report.tally.count(End::Placed),
        p.value_at_quantile(0.5) as f64 / 1e3,
        p.value_at_quantile(0.99) as f64 / 1e3,
        report.tally.count(End::Unanswered)
    );
    println!("planner: peak {} KiB, cpu {:.2} s", report.used.peak_kib, report.used.cpu_ticks as f64 / 100.0);
    println!("broken rules: {}", report.verdict.broken.len());
    report.verdict.broken.iter().take(10).for_each(|b| println!("  {b}"));
    let unanswered = report.answers.contains_key(&0);
    let passed = report.over == 0 && report.groups.doubled.is_empty() && report.verdict.broken.is_empty();
    Ok((passed && !unanswered) || naive)
}
