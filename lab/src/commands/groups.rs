//! Groups beside ordinary load.

use burlhook_lab::load::End;
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::groups;
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
    /// Groups a second.
    #[arg(long, default_value_t = 4.0)]
    groups: f64,
    /// Seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Share of the fleet that ordinary load takes.
    #[arg(long, default_value_t = 0.3)]
    load: f64,
    /// Each member on its own, cut by hand.
    #[arg(long)]
    naive: bool,
    /// Nodes that do not fail.
    #[arg(long)]
    calm: bool,
    /// Seed of nodes, load and groups.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Carries it out; tells whether all was well.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, groups, seconds, load, naive, calm, seed } = arguments;
    let (span, faults) = (Duration::from_secs(seconds), !calm);
    let options = groups::Options { groups, span, load, naive, faults, seed, ..Default::default() };
    println!("seed {seed}");
    let report = groups::run(&Program::or_own(planner)?, &options)?;
    let h = &report.partial_ms;
    println!("groups asked {} answers {:?} placed {:.3}", report.asked, report.answers, report.placed());
    println!(
        "partial ms: {} times, p50 {} p99 {} greatest {}; over a second: {}",
        h.len(),
        h.value_at_quantile(0.5),
        h.value_at_quantile(0.99),
        h.max(),
        report.over
    );
    println!("doubled members {}", report.groups.doubled.len());
    report.groups.doubled.iter().take(5).for_each(|b| println!("  {b}"));
    let (p, asked) = (&report.tally.placed_us, report.tally.asked);
    println!(
        "ordinary: asked {asked} placed {} ms p50 {:.1} p99 {:.1}; unanswered {}",
        report.tally.count(End::Placed),
        p.value_at_quantile(0.5) as f64 / 1e3,
        p.value_at_quantile(0.99) as f64 / 1e3,
        report.tally.count(End::Unanswered)
    );
    println!("planner: peak {} KiB, cpu {:.2} s", report.used.peak_kib, report.used.cpu_ticks as f64 / 100.0);
    println!("broken rules: {}", report.verdict.broken.len());
    report.verdict.broken.iter().take(10).for_each(|b| println!("  {b}"));
    let unanswered = report.answers.contains_key(&0);
    let well = report.over == 0 && report.groups.doubled.is_empty() && report.verdict.broken.is_empty();
    Ok((well && !unanswered) || naive)
}
