//! The short form of the scale tests, by counts that each run gives alike: machines looked at, and messages and bytes in
//! simulated time. Bounds are the records' values with a twentieth to spare.

mod shapes;

use burlhook_lab::capacity::{gang_machines, members, pick_machines, rest_hollow};
use shapes::{assert_none, Growth};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

/// The slopes need it, though the figures looked at here are no allocations.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Machines of the runs here.
const MACHINES: &[usize] = &[20, 100, 400];
/// Planners of the runs here: below, those that vote are a part of all that the means show.
const PLANNERS: &[usize] = &[16, 32, 100];
/// Machines looked at for one pick, for each machine that is known (pick-machines.json).
const LOOKED_AT_A_MACHINE: f64 = 1.0;
/// Machines looked at for a gang, for each machine and member (gang-machines.json: 1.06 at 20 machines, where offers wait
/// for each other's answers, 1 beyond).
const LOOKED_AT_A_MEMBER: f64 = 1.12;
/// Members of a gang (gang-machines.json).
const MEMBERS: f64 = 128.0;
/// Datagrams a second that a planner sends for its membership, at rest (members.json).
const DATAGRAMS_PER_S: f64 = 9.4;
/// Bytes a second that it sends (members.json).
const BYTES_PER_S: f64 = 340.0;
/// Datagrams a second that a planner sends while all want more of a budget (members-busy.json).
const BUSY_DATAGRAMS_PER_S: f64 = 22.5;
/// Seconds of simulated time until all planners hold their own slot (members.json).
const SETTLED_S: f64 = 4.0;

/// Guards the work of a pick: it looks at no machine twice.
#[test]
fn a_pick_looks_at_each_machine_once_at_the_most() {
    let looked_at = Growth::of(&pick_machines::LADDER, "machines looked at a pick", MACHINES);
    assert_none([looked_at.linear(), looked_at.within(|machines| machines * LOOKED_AT_A_MACHINE)]);
}

/// Guards the work of a gang: a pick for each member, and few more.
#[test]
fn a_gang_looks_at_each_machine_once_a_member() {
    let looked_at = Growth::of(&gang_machines::LADDER, "machines looked at a gang", MACHINES);
    assert_none([looked_at.within(|machines| machines * MEMBERS * LOOKED_AT_A_MEMBER)]);
}

/// Guards the words of membership: what a planner says does not grow with planners, what a voter hears grows with them and
/// no faster, and the members settle within a lease and a part of one.
#[test]
fn membership_costs_a_planner_the_same_in_any_fleet() {
    let growth = |figure| Growth::of(&members::REST, figure, PLANNERS);
    let sent = growth("datagrams a second out, mean");
    let bytes = growth("bytes a second out, mean");
    let voter = growth("bytes a second in and out, most");
    let settled = growth("seconds until all hold their own slot");
    assert_none([
        sent.constant(),
        sent.within(|_| DATAGRAMS_PER_S),
        bytes.within(|_| BYTES_PER_S),
        voter.linear(),
        settled.constant(),
        settled.within(|_| SETTLED_S),
    ]);
}

/// Guards the words about budgets: they do not grow with planners, also where all want more than there is.
#[test]
fn a_wanted_budget_costs_a_planner_the_same_in_any_fleet() {
    let sent = Growth::of(&members::BUSY, "datagrams a second out, mean", PLANNERS);
    assert_none([sent.constant(), sent.within(|_| BUSY_DATAGRAMS_PER_S)]);
}

/// Guards the reducer's rest: where nothing happens it is not woken and says nothing, however many machines there are.
#[test]
fn the_reducer_sleeps_at_rest() {
    let growth = |figure| Growth::of(&rest_hollow::LADDER, figure, MACHINES);
    let (alarms, messages) = (growth("alarms a second"), growth("messages to machines a second"));
    assert_none([alarms.within(|_| 0.0), messages.within(|_| 0.0)]);
}
