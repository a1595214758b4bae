//! Costs of one planner as the rate of requests grows, and the highest rate that it keeps up with on one
//! core.

use super::bench::{Bench, BenchSetup};
use super::figures::Figures;
use super::machines::add_load;
use super::record::Slope;
use super::slopes::Options;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// The slope of this module.
pub const NAMES: &[&str] = &["ask-rate"];

/// Requests per second.
const RATES: &[usize] =
    &[50, 100, 200, 400, 600, 800, 1_000, 1_200, 1_400, 1_600, 2_000, 2_400, 2_800, 3_200];
const SHORT_RATES: &[usize] = &[25, 50, 100, 200, 400];
const MACHINES: usize = 400;
/// Time for which requests are sent at each rate.
const SPAN: Duration = Duration::from_secs(3);
/// Run time of a task. At the highest rate, less than a tenth of all slots are taken.
const LIFE_MS: u64 = 250;

/// Measures the slope: each run raises the rate at one planner step by step until the planner does not keep
/// up.
///
/// # Errors
/// If a process cannot be started or has ended.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    let rates = if options.short { SHORT_RATES } else { RATES };
    for number in 1..=options.repeats {
        let mut setup = BenchSetup::of(MACHINES);
        setup.plan.life_ms = LIFE_MS;
        let bench = Bench::start(options, setup)?;
        bench.wait_for_connections()?;
        let share = bench.rest()?.share();
        bench.ask(50.0, Duration::from_secs(1), 0)?;
        for (at, rate) in rates.iter().enumerate() {
            let asks = bench.ask(*rate as f64, SPAN, (at as u64 + 1) << 32)?;
            add_load(&mut figures, *rate as f64, &asks, share);
            let is_kept_up = asks.kept_up();
            figures.measured("kept up", "share", *rate as f64, f64::from(u8::from(is_kept_up)));
            eprintln!(
                "capacity: {rate} asks a second, run {number} of {}: an ask {:.3} ms, p50 {:.1} ms, p99 {:.1} ms, failed {}, \
                 placed {:.3}, {:.2} of a core",
                options.repeats,
                asks.processor_ms_per_request_beyond_rest(share),
                asks.placed_ms(0.5),
                asks.placed_ms(0.99),
                asks.failed(),
                asks.placed_share(),
                asks.window.share(),
            );
            if !is_kept_up {
                break;
            }
        }
    }
    let held = BTreeMap::from([
        ("planners".to_string(), 1.0),
        ("machines".to_string(), MACHINES as f64),
        ("milliseconds of a task's life".to_string(), LIFE_MS as f64),
    ]);
    Ok(vec![Slope {
        name: NAMES[0].into(),
        question: "What an ask costs and how long its answer takes against the rate of asks, and the greatest rate that \
                   one planner keeps up with: nothing failed, 99 in 100 answered within a second."
            .into(),
        size: "asks a second".into(),
        held,
        real: "the planner's process, its sockets, and the clients".into(),
        hollow: "machines and machine list: one process, which answers as the stand-in machine does".into(),
        run: options.run.clone(),
        figures: figures.done(),
    }])
}
