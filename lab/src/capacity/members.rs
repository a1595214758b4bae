//! Messages and bytes of a planner for membership and shared budgets, against planners, in simulated time.

mod network;

use super::ladder::{Ladder, Sample};
use network::{Fleet, Load, Said};
use std::io;

/// Count. Planners that vote.
const VOTERS: usize = 3;
/// Seconds that the members have at the most to settle.
const SETTLED_WITHIN_S: f64 = 60.0;
/// Seconds over which messages are counted, four leases.
const COUNTED_S: f64 = 12.0;
/// Requests a second of each planner, where it is busy.
const BUSY_PER_S: f64 = 20.0;
/// Count. Places in flight of the whole fleet for each planner: each wants three times as many.
const IN_FLIGHT_EACH: usize = 10;

const REAL: &str =
    "the reducer, membership and budgets (decide::fleet, decide::budgets) and the codec of the datagrams";
const HOLLOW: &str =
    "no processes and no sockets: each datagram arrives 1 ms after it was sent, on one simulated clock; \
                      the three planners with the lowest numbers vote";
const SIZES: &[usize] = &[3, 8, 16, 32, 100, 350, 1_024];
const SHORT: &[usize] = &[3, 8, 16, 32];

/// At rest.
pub const REST: Ladder = Ladder {
    name: "members",
    question: "What does a planner at rest say and hear for membership and budgets, as planners grow?",
    size: "planners",
    held: &[("voters", VOTERS as f64), ("lease in seconds", 3.0), ("asks a second", 0.0)],
    real: REAL,
    hollow: HOLLOW,
    sizes: SIZES,
    short: SHORT,
    run: rest,
};

/// Where all planners want more of a budget than there is.
pub const BUSY: Ladder = Ladder {
    name: "members-busy",
    question: "What does a planner say and hear while all want more of a shared budget than there is?",
    size: "planners",
    held: &[
        ("voters", VOTERS as f64),
        ("lease in seconds", 3.0),
        ("asks a second", BUSY_PER_S),
        ("budgets", 1.0),
        ("places in flight a planner", IN_FLIGHT_EACH as f64),
    ],
    real: REAL,
    hollow: HOLLOW,
    sizes: SIZES,
    short: SHORT,
    run: busy,
};

fn rest(planners: usize) -> io::Result<Vec<Sample>> {
    members(planners, Load::None)
}

fn busy(planners: usize) -> io::Result<Vec<Sample>> {
    members(planners, Load::EachPerSecond(BUSY_PER_S))
}

fn members(planners: usize, load: Load) -> io::Result<Vec<Sample>> {
    let mut fleet = Fleet::start(planners, VOTERS, IN_FLIGHT_EACH * planners, load)?;
    let settled_s = fleet.settle(SETTLED_WITHIN_S)?;
    fleet.take_said();
    fleet.run(COUNTED_S)?;
    let said = fleet.take_said();
    let each = |of: fn(&Said) -> u64| said.iter().map(of).sum::<u64>() as f64 / planners as f64 / COUNTED_S;
    let most = |of: fn(&Said) -> u64| said.iter().map(of).max().unwrap_or_default() as f64 / COUNTED_S;
    Ok(vec![
        Sample::count("datagrams a second out, mean", "messages/s", each(|s| s.sent.messages)),
        Sample::count("bytes a second out, mean", "bytes/s", each(|s| s.sent.bytes)),
        Sample::count("bytes a second in and out, mean", "bytes/s", each(|s| s.sent.bytes + s.heard.bytes)),
        Sample::count("datagrams a second in and out, most", "messages/s", most(Said::messages)),
        Sample::count("bytes a second in and out, most", "bytes/s", most(Said::bytes)),
        Sample::count("seconds until all hold their own slot", "s", settled_s),
    ])
}
