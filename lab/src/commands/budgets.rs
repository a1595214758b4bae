//! Budgets of the whole fleet under faults.

use burlhook::document;
use burlhook_lab::net::Schedule;
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::budgets;
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
    #[arg(long, default_value_t = 8)]
    planners: usize,
    /// Machines.
    #[arg(long, default_value_t = 20)]
    nodes: usize,
    /// Asks a second, over all planners.
    #[arg(long, default_value_t = 900.0)]
    rate: f64,
    /// Seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Of its part, what a planner may use without hearing anyone.
    #[arg(long, default_value_t = 0.5)]
    floor: f64,
    /// Milliseconds of a lease.
    #[arg(long, default_value_t = 3000)]
    lease_ms: u64,
    /// Planners that vote; 0 where everything is floor.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// How budgets are set up.
    #[arg(long, value_enum, default_value = "fleet")]
    way: WayName,
    /// A schedule of faults in JSON5; drawn by the seed if absent.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// No faults at all.
    #[arg(long)]
    calm: bool,
    /// Seed of machines, load, network and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The report as JSON.
    #[arg(long)]
    json: bool,
    /// Jobs in flight by tenths of a second, too.
    #[arg(long)]
    trace: bool,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum WayName {
    /// Divided by the fleet.
    Fleet,
    /// An equal part at each planner, for good.
    Parts,
    /// The whole at each planner.
    Each,
}

/// Carries it out; tells whether all was well.
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
    println!("turned away and told when: {}; planners started: {}", report.told_when, report.starts);
    println!(
        "most in flight {}; used {:.3} of the jobs in flight, {:.3} of the rate; worst window {:.1}",
        report.most_in_flight, report.used.0, report.used.1, report.window
    );
    println!(
        "said by each planner: {:.1} datagrams, {:.0} bytes a second; CPU {:.0} ms for 1,000 asks",
        report.said.0, report.said.1, report.cpu_ms
    );
    for (at, (all, of)) in report.flight.iter().enumerate().filter(|_| trace) {
        let each: Vec<String> = of.iter().map(|n| format!("{n:.1}")).collect();
        println!("{:>6.1} s {all:>6.1}  {}", at as f64 / 10.0, each.join(" "));
    }
    println!("broken: {}", report.broken.len());
    report.broken.iter().take(10).for_each(|b| println!("  {b}"));
    report.unused.iter().for_each(|u| println!("not used: {u}"));
}
