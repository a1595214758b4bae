//! How often the reducer is woken at rest, and what it sends to machines, as machines grow.

use super::hollow_planner::HollowPlanner;
use super::in_process_slope::{InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT};
use std::io;

/// Length of the measurement at rest, in seconds.
const REST_S: f64 = 60.0;

/// The slope.
pub const SLOPE: InProcessSlope = InProcessSlope {
    name: "rest-hollow",
    question: "How often is a planner's reducer woken while no ask comes and the list is still, and what does it write, \
               as machines grow?",
    size: "machines",
    held: &[("asks a second", 0.0), ("standing tasks", 0.0), ("changes of the list", 0.0)],
    real: "the reducer and the placer with their alarms and tests of machines",
    hollow: "no process, no sockets: looks at the health of connections (wire::platform) are not in it; simulated time",
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run,
};

fn run(machines: usize) -> io::Result<Vec<Sample>> {
    let mut hollow = HollowPlanner::with_machines(machines)?;
    let (ticks, written) = (hollow.ticks, hollow.to_machines);
    hollow.advance(REST_S)?;
    let (ticks, messages) = (hollow.ticks - ticks, hollow.to_machines.messages - written.messages);
    let bytes = hollow.to_machines.bytes - written.bytes;
    Ok(vec![
        Sample::count("alarms a second", "count/s", ticks as f64 / REST_S),
        Sample::count("messages to machines a second", "messages/s", messages as f64 / REST_S),
        Sample::count("bytes to machines a second", "bytes/s", bytes as f64 / REST_S),
    ])
}
