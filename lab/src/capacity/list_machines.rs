//! The cost of the full machine list, and of a change of one machine, as machines grow.

use super::count::require_counting_allocator;
use super::hollow_planner::{change_line, full_list_line, HollowPlanner};
use super::in_process_slope::{InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT};
use std::io;

/// Number of changes of one machine that are measured.
const CHANGES: usize = 20;
/// Time between two lines of the list.
const GAP_S: f64 = 1.0;

/// The slope.
pub const SLOPE: InProcessSlope = InProcessSlope {
    name: "list-machines",
    question: "What do a whole machine list and a change of one machine cost a planner, as machines grow?",
    size: "machines",
    held: &[("standing tasks", 0.0), ("machines of a change", 1.0)],
    real: "the codec of the list, the vocabulary, the reducer and the placer",
    hollow: "no process and no sockets: the lines are handed in on simulated time; the program takes lines of up to \
             4 MiB",
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run,
};

fn run(machines: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let mut hollow = HollowPlanner::with_machines(machines)?;
    let line = full_list_line(2, machines);
    hollow.take_cost();
    hollow.list(&line)?;
    let full_list = hollow.take_cost();
    let (mut revision, mut change_bytes) = (2, 0);
    for change in 0..CHANGES {
        hollow.advance(GAP_S)?;
        revision += 1;
        let line = change_line(revision, change * machines / CHANGES, true);
        change_bytes = change_bytes.max(line.len());
        hollow.list(&line)?;
    }
    let change = hollow.take_cost();
    Ok(vec![
        Sample::count("bytes of a whole list", "bytes", line.len() as f64),
        Sample::count("allocations of a whole list", "count", full_list.allocations_each(1)),
        Sample::count("bytes allocated by a whole list", "bytes", full_list.bytes_each(1)),
        Sample::time("processor time of a whole list", "ms", full_list.processor.as_secs_f64() * 1e3),
        Sample::count("bytes of a change", "bytes", change_bytes as f64),
        Sample::count("allocations of a change", "count", change.allocations_each(CHANGES)),
        Sample::count("bytes allocated by a change", "bytes", change.bytes_each(CHANGES)),
        Sample::time("processor time of a change", "us", change.microseconds_each(CHANGES)),
    ])
}
