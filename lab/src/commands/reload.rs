//! Reloads the operators' file under load.

use burlhook_lab::experiments::reload;
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
    /// Use the older program's TOML file, which has no limits and is not reloaded.
    #[arg(long)]
    older: bool,
    /// Use a file without limits, and no reloads.
    #[arg(long)]
    plain: bool,
    /// Milliseconds between reloads; 0 for none.
    #[arg(long, default_value_t = 100)]
    every_ms: u64,
    /// Requests per second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Seed for nodes and load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { planner, older, plain, every_ms, rate, seconds, seed } = arguments;
    let mut program = Program::or_own(planner)?;
    let mut options =
        reload::Options { rate, seed, span: Duration::from_secs(seconds), ..Default::default() };
    options.every = (every_ms > 0).then(|| Duration::from_millis(every_ms));
    if plain {
        (options.limits, options.every) = (false, None);
        options.rest = format!("{{ {} }}", options.rest);
    }
    if older {
        program.operators_flag = "--rest".into();
        (options.limits, options.every) = (false, None);
        options.rest = "listen = \"127.0.0.1:0\"\nmax_open_jobs = 20000\n".into();
    }
    println!("seed {seed}");
    let report = reload::run(&program, &options)?;
    print_reload(&report);
    Ok(report.verdict.broken.is_empty() && report.tally.count(End::Unanswered) == 0)
}

fn print_reload(report: &reload::Report) {
    let reload::Report { tally, verdict, used, reloads, in_force } = report;
    let ms = |h: &hdrhistogram::Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "requests {} answered {} answered twice {}",
        tally.requests,
        tally.answered(),
        tally.answered_twice
    );
    for (end, count) in &tally.ends {
        println!("  {end:?} {count}");
    }
    let (p, t) = (&tally.placed_us, &tally.turned_us);
    println!("placed ms: p50 {:.1} p99 {:.1} max {:.1}", ms(p, 0.5), ms(p, 0.99), p.max() as f64 / 1e3);
    println!(
        "rejected ms: p50 {:.1} p99 {:.1}, with a retry time {}",
        ms(t, 0.5),
        ms(t, 0.99),
        tally.with_retry_time
    );
    println!("planner: peak {} KiB, cpu {:.2} s", used.peak_kib, used.cpu_ticks as f64 / 100.0);
    println!("reloads {reloads}, generation {}", in_force["generation"]);
    println!("offers {} for {} jobs, max {} per job", verdict.offers, verdict.jobs, verdict.most_attempts);
    println!("broken rules: {}", verdict.broken.len());
    verdict.broken.iter().take(10).for_each(|b| println!("  {b}"));
}
