//! The deterministic simulation of a fleet.

use burlhook::decide::fleet::Terms;
use burlhook_lab::simulation;
use clap::Args;
use std::io;
use std::time::Duration;

/// Arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Number of planners; drawn from each seed if absent.
    #[arg(long)]
    planners: Option<usize>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
    /// Simulated seconds per seed.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Duration of a lease in milliseconds, for handovers.
    #[arg(long, default_value_t = 3000)]
    lease_ms: u64,
    /// Measure how long shares are idle after a planner's stop and start, instead of drawn faults.
    #[arg(long)]
    handovers: bool,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planners, seed, seeds, seconds, lease_ms, handovers } = arguments;
    if handovers {
        print_handovers(planners.unwrap_or(8), lease_ms, seeds);
        return Ok(true);
    }
    let mut passed = true;
    for seed in seed..seed + seeds {
        let mut simulated = simulation::Simulation::new(simulation::random_options(seed, planners, seconds));
        simulated.run(Duration::from_secs(seconds));
        if let Some(broken) = &simulated.broken {
            println!("seed {seed}: {broken}");
            passed = false;
        }
    }
    println!("{seeds} seeds of {seconds} s each");
    Ok(passed)
}

fn print_handovers(planners: usize, lease_ms: u64, seeds: u64) {
    let lease = lease_ms * 1_000;
    let terms = Terms { lease, ask_every: (lease / 60).clamp(20_000, 500_000), ..simulation::TERMS };
    let all = simulation::handovers(planners, terms, seeds);
    let show = |name: &str, mut times: Vec<Option<u64>>| {
        times.sort_unstable_by_key(|t| t.unwrap_or(u64::MAX));
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!("{name}: p50 {:?} p99 {:?} ms", at(0.5), at(0.99));
    };
    show("from a planner's death until others use its share", all.iter().map(|(used, _)| *used).collect());
    show(
        "from a planner's start until it has a fair share",
        all.iter().map(|(_, restored)| *restored).collect(),
    );
}
