//! The cost of a gang of 128 tasks as machines grow: the check whether it fits, and all work until every
//! member runs.

use super::count::{cost_of, require_counting_allocator};
use super::hollow_planner::{operators, HollowPlanner};
use super::in_process_slope::{InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT};
use super::pick_machines::placer;
use burlhook::decide::groups::fit::{admit, Need};
use burlhook::Room;
use std::io;

/// Number of members of a gang; the operators' file allows up to 256.
const MEMBERS: usize = 128;
/// Cores, and units of memory, of each member.
const ROOM: Room = Room { cores: 1.0, memory: 1.0 };
/// Share of the fleet that one gang may use.
const SHARE: f64 = 1.0;

/// The slope.
pub const SLOPE: InProcessSlope = InProcessSlope {
    name: "gang-machines",
    question: "What does a gang of 128 cost a planner, as machines grow?",
    size: "machines",
    held: &[("members", MEMBERS as f64), ("gangs at once", 1.0)],
    real: "the look whether the gang fits (decide::groups::fit); the reducer, the placer and the deciders until all \
           members stand",
    hollow: "no process, no sockets, no REST front; machines on simulated time answer at once; the operators' file \
             allows 128 members (32 where it says nothing, 256 at the most)",
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run,
};

fn run(machines: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let now = 1_000.0;
    let placer = placer(machines, now, |_| {})?;
    let needs = vec![Need { room: ROOM, kind: None }; MEMBERS];
    let (admission, fit_cost) = cost_of(|| admit(&needs, &placer.spaces(now), &[], SHARE));
    admission.map_err(|shortage| io::Error::other(format!("gang does not fit: {shortage:?}")))?;

    let mut hollow = HollowPlanner::with_machines(machines)?;
    hollow.configure(&operators::groups(MEMBERS))?;
    hollow.take_cost();
    let before = hollow.planner.machines_examined();
    hollow.group("gang", MEMBERS, ROOM)?;
    hollow.advance(1.0)?;
    let cost = hollow.take_cost();
    if hollow.placed != MEMBERS as u64 || hollow.planner.pending() > 0 {
        return Err(io::Error::other(format!(
            "{} of {MEMBERS} members of the gang were placed",
            hollow.placed
        )));
    }
    let machines_examined = hollow.planner.machines_examined() - before;
    Ok(vec![
        Sample::count("machines looked at a gang", "count", machines_examined as f64),
        Sample::count("allocations a gang", "count", cost.allocations_each(1)),
        Sample::count("bytes allocated a gang", "bytes", cost.bytes_each(1)),
        Sample::time("processor time a gang", "ms", cost.processor.as_secs_f64() * 1e3),
        Sample::count("bytes allocated for the fit", "bytes", fit_cost.bytes_each(1)),
        Sample::time("processor time of the fit", "ms", fit_cost.processor.as_secs_f64() * 1e3),
    ])
}
