//! The cost of parsing an operators' file and of applying it, as its routes grow.

use super::count::{cost_of, require_counting_allocator};
use super::hollow_planner::{operators, rejected, HollowPlanner};
use super::in_process_slope::{InProcessSlope, Sample};
use std::io;

/// The slope.
pub const SLOPE: InProcessSlope = InProcessSlope {
    name: "config-parse",
    question: "What does it cost to read an operators' file, and to put it in force, as its routes grow?",
    size: "routes",
    held: &[("machines", 0.0)],
    real: "the reader of the operators' file with all its checks (life::operators), and the reducer that takes it in",
    hollow: "no process, no signal, no file: the text is handed in; up to 1,000 routes are held against each other \
             for ambiguity, beyond that none are",
    sizes: &[10, 100, 720, 2_000, 5_000, 10_000],
    short: &[10, 100, 720],
    run,
};

fn run(routes: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let text = operators::routes(routes);
    let mut hollow = HollowPlanner::new()?;
    let (read, reading) = cost_of(|| hollow.planner.check(&text));
    read.map_err(rejected)?;
    hollow.configure(&text)?;
    hollow.take_cost();
    // The measured run replaces a file that is in force, as a reload does.
    hollow.configure(&text)?;
    let in_force = hollow.take_cost();
    Ok(vec![
        Sample::count("bytes of the file", "bytes", text.len() as f64),
        Sample::count("allocations of reading", "count", reading.allocations_each(1)),
        Sample::count("bytes allocated by reading", "bytes", reading.bytes_each(1)),
        Sample::time("processor time of reading", "ms", reading.processor.as_secs_f64() * 1e3),
        Sample::time("processor time until in force", "ms", in_force.processor.as_secs_f64() * 1e3),
    ])
}
