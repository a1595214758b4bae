//! A brown-out with and without a budget of further tries.

use burlhook_lab::planner::Program;
use burlhook_lab::rigs::brownout;
use clap::Args;
use std::io;
use std::path::PathBuf;

/// What the command is told.
#[derive(Args)]
pub struct Arguments {
    /// The planner's program; this one's own planner if absent.
    #[arg(long)]
    planner: Option<PathBuf>,
    /// Further tries for each first one.
    #[arg(long, default_value_t = 0.2)]
    budget: f64,
    /// Seeds, one run each.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

/// Carries it out; tells whether all was well.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, budget, seeds } = arguments;
    let program = Program::or_own(planner)?;
    let mut well = true;
    for seed in 1..=seeds {
        for budget in [None, Some(budget)] {
            let report = brownout::run(&program, &brownout::Options { budget, seed, ..Default::default() })?;
            println!(
                "seed {seed} budget {budget:?}: offers {} ({} further), ran {}, placed {:.3} of all, \
                 broken rules {}",
                report.asks,
                report.further,
                report.ran,
                report.placed(),
                report.verdict.broken.len()
            );
            well &= report.verdict.broken.is_empty();
        }
    }
    Ok(well)
}
