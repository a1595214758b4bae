//! Checks budgets of the whole fleet under faults.

use burlhook::document;
use burlhook_lab::experiments::budgets;
use burlhook_lab::net::Schedule;
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
    #[arg(long, default_value_t = 8)]
    planners: usize,
    /// Number of machines.
    #[arg(long, default_value_t = 20)]
    nodes: usize,
    /// Requests per second, over all planners.
    #[arg(long, default_value_t = 900.0)]
    rate: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Fraction of its share that a planner may use without a lease.
    #[arg(long, default_value_t = 0.5)]
    floor: f64,
    /// Duration of a lease in milliseconds.
    #[arg(long, default_value_t = 3000)]
    lease_ms: u64,
    /// Number of voters; 0 if shares need no leases.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// How budgets are set up.
    #[arg(long, value_enum, default_value = "fleet")]
    way: WayName,
    /// Path of a fault schedule in JSON5; drawn from the seed if absent.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Run without faults.
    #[arg(long)]
    calm: bool,
    /// Seed for machines, load, network and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
    /// Also print the jobs in flight for each tenth of a second.
    #[arg(long)]
    trace: bool,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum WayName {
    /// Divided by the fleet with leases.
    Fleet,
    /// A fixed equal share at each planner.
    Parts,
    /// The whole budget at each planner.
    Each,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments {
        planner,
        planners,
        nodes,
        rate,
        seconds,
        floor,
        lease_ms,
        voters,
        way,
        schedule,
        calm,
        seed,
        json,
        trace,
    } = arguments;
    let span = Duration::from_secs(seconds);
    let schedule = match schedule {
        _ if calm => Schedule::default(),
        None => Schedule::drawn(seed, planners, nodes, span),
        Some(path) => {
            let text = document::load(&path).map_err(|f| io::Error::other(f.to_string()))?;
            let read = Schedule::read(&text, planners, nodes);
            read.map_err(|f| io::Error::other(f.to_string()))?
        }
    };
    let way = match way {
        WayName::Fleet => budgets::Way::Fleet,
        WayName::Parts => budgets::Way::Parts,
        WayName::Each => budgets::Way::Each,
    };
    let options = budgets::Options {
        planners,
        nodes,
        rate,
        span,
        floor,
        lease_ms,
        voters,
        way,
        schedule,
        seed,
        ..Default::default()
    };
    if !json {
        println!("seed {seed}");
    }
    let report = budgets::run(&Program::or_own(planner)?, &options)?;
    print_budgets(&report, json, trace);
    Ok(report.broken.is_empty())
}

fn print_budgets(report: &budgets::Report, as_json: bool, trace: bool) {
    if as_json {
        return println!("{}", report.json());
    }
    for (end, count) in &report.ends {
        println!("  {end:?} {count}");
    }
    println!("rejected with a retry time: {}; planners started: {}", report.with_retry_time, report.starts);
    println!(
        "max in flight {}; mean use: {:.3} of the limit in flight, {:.3} of the rate; worst window {:.1}",
        report.most_in_flight, report.used.0, report.used.1, report.window
    );
    println!(
        "sent by each planner: {:.1} datagrams/s, {:.0} bytes/s; CPU {:.0} ms per 1,000 requests",
        report.sent_per_s.0, report.sent_per_s.1, report.cpu_ms
    );
    for (at, (all, of)) in report.flight.iter().enumerate().filter(|_| trace) {
        let each: Vec<String> = of.iter().map(|n| format!("{n:.1}")).collect();
        println!("{:>6.1} s {all:>6.1}  {}", at as f64 / 10.0, each.join(" "));
    }
    println!("broken rules: {}", report.broken.len());
    report.broken.iter().take(10).for_each(|b| println!("  {b}"));
    report.unused.iter().for_each(|u| println!("budget not used: {u}"));
}
