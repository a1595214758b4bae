//! Compares a brown-out with and without a retry budget.

use burlhook_lab::experiments::brownout;
use burlhook_lab::planner::Program;
use clap::Args;
use std::io;
use std::path::PathBuf;

/// Arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Path of the planner's program; the built-in planner if absent.
    #[arg(long)]
    planner: Option<PathBuf>,
    /// Allowed retries per first attempt.
    #[arg(long, default_value_t = 0.2)]
    budget: f64,
    /// Number of seeds, one run each.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, budget, seeds } = arguments;
    let program = Program::or_own(planner)?;
    let mut passed = true;
    for seed in 1..=seeds {
        for budget in [None, Some(budget)] {
            let report = brownout::run(&program, &brownout::Options { budget, seed, ..Default::default() })?;
            println!(
                "seed {seed} budget {budget:?}: offers {} ({} retries), ran {}, placed {:.3} of all, \
                 broken rules {}",
                report.offers,
                report.retries,
                report.ran,
                report.placed(),
                report.verdict.broken.len()
            );
            passed &= report.verdict.broken.is_empty();
        }
    }
    Ok(passed)
}
