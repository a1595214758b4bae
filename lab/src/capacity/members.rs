//! Messages and bytes that a planner sends and receives for membership and shared budgets, as the number of
//! planners grows, in simulated time.

mod network;

use super::in_process_slope::{InProcessSlope, Sample};
use network::{Fleet, Load, PeerTraffic};
use std::io;

/// Number of planners that vote.
const VOTERS: usize = 3;
/// The longest time for all members to hold their own slot, in seconds.
const SETTLE_TIMEOUT_S: f64 = 60.0;
/// Seconds over which messages are counted: four leases.
const COUNT_WINDOW_S: f64 = 12.0;
/// Requests per second at each planner, in the busy slope.
const BUSY_PER_S: f64 = 20.0;
/// In-flight limit of the fleet's budget, divided by the number of planners. Each planner wants three times
/// as many.
const IN_FLIGHT_EACH: usize = 10;

const REAL: &str =
    "the reducer, membership and budgets (decide::fleet, decide::budgets) and the codec of the datagrams";
const HOLLOW: &str =
    "no processes and no sockets: each datagram arrives 1 ms after it was sent, on one simulated clock; \
                      the three planners with the lowest numbers vote";
const SIZES: &[usize] = &[3, 8, 16, 32, 100, 350, 1_024];
const SHORT: &[usize] = &[3, 8, 16, 32];

/// Traffic without requests.
pub const REST: InProcessSlope = InProcessSlope {
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

/// Traffic while all planners want more of a shared budget than there is.
pub const BUSY: InProcessSlope = InProcessSlope {
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
    measure(planners, Load::None)
}

fn busy(planners: usize) -> io::Result<Vec<Sample>> {
    measure(planners, Load::EachPerSecond(BUSY_PER_S))
}

fn measure(planners: usize, load: Load) -> io::Result<Vec<Sample>> {
    let mut fleet = Fleet::start(planners, VOTERS, IN_FLIGHT_EACH * planners, load)?;
    let settled_s = fleet.run_until_settled(SETTLE_TIMEOUT_S)?;
    fleet.take_traffic();
    fleet.run(COUNT_WINDOW_S)?;
    let traffic = fleet.take_traffic();
    let each = |of: fn(&PeerTraffic) -> u64| {
        traffic.iter().map(of).sum::<u64>() as f64 / planners as f64 / COUNT_WINDOW_S
    };
    let most = |of: fn(&PeerTraffic) -> u64| {
        traffic.iter().map(of).max().unwrap_or_default() as f64 / COUNT_WINDOW_S
    };
    Ok(vec![
        Sample::count("datagrams a second out, mean", "messages/s", each(|s| s.sent.messages)),
        Sample::count("bytes a second out, mean", "bytes/s", each(|s| s.sent.bytes)),
        Sample::count(
            "bytes a second in and out, mean",
            "bytes/s",
            each(|s| s.sent.bytes + s.received.bytes),
        ),
        Sample::count("datagrams a second in and out, most", "messages/s", most(PeerTraffic::messages)),
        Sample::count("bytes a second in and out, most", "bytes/s", most(PeerTraffic::bytes)),
        Sample::count("seconds until all hold their own slot", "s", settled_s),
    ])
}
