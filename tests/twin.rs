//! Fleet-wide budgets in simulation: the program's own lease code on one simulated clock, under random
//! faults.

use burlhook_lab::net::Fault;
use burlhook_lab::simulation::{random_options, Options, Simulation, TERMS};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Guards the fleet-wide budget against random faults: planners killed, stopped, or paused for up to 10 s;
/// partitions, also in one direction only; messages lost, duplicated, reordered, or late by up to 2 s; clocks
/// that drift apart by as much as the lease terms allow.
#[test]
fn no_fault_makes_the_fleet_exceed_its_budget() {
    let mut worst = 0;
    for seed in 0..60 {
        let mut simulated = Simulation::new(random_options(seed, None, 25));
        simulated.run(SECOND * 25);
        assert_eq!(simulated.broken, None, "seed {seed}");
        worst = worst.max(simulated.worst);
    }
    assert!(worst >= 20, "the budget was hardly used: at most {worst} units");
}

/// Guards recovery: once all planners can reach each other again, each one with need has a share within a few
/// lease times.
#[test]
fn everyone_has_a_share_once_faults_are_over() {
    for seed in 0..20 {
        let mut options = random_options(seed, None, 15);
        options.budget = options.budget.max(2 * options.planners as u64);
        options.demand_change_ms = 0;
        let planners = options.planners;
        let mut simulated = Simulation::new(options);
        simulated.run(SECOND * 15);
        for planner in 0..planners {
            simulated.apply_fault(Fault::Kill { planner, again_ms: Some(100) });
            simulated.set_demand(planner, 1_000);
        }
        simulated.run(SECOND * 12);
        assert_eq!(simulated.broken, None, "seed {seed}");
        let used = simulated.in_use_by();
        assert!(used.iter().all(|&n| n > 0), "seed {seed}: {used:?}");
    }
}

/// Guards the use of the budget: nearly all of it is in use, whichever planners need it.
#[test]
fn the_budget_is_used_by_those_who_need_it() {
    let used = |options: Options| {
        let mut simulated = Simulation::new(options);
        simulated.run(SECOND * 6);
        simulated.measure();
        simulated.run(SECOND * 40);
        assert_eq!(simulated.broken, None);
        simulated.share_used()
    };
    let even = used(Options::calm(8, 400, |_| 1_000));
    let one = used(Options::calm(8, 400, |at| if at == 3 { 1_000 } else { 0 }));
    let mut dying = Options::calm(8, 400, |_| 1_000);
    for at in 1..9 {
        let what = Fault::Kill { planner: at as usize * 3 % 8, again_ms: Some(500) };
        dying.schedule = dying.schedule.at(at * 5_000, what);
    }
    let killed = used(dying);
    let small = used(Options::calm(32, 3, |at| u64::from(at > 20 && at < 26)));
    println!("even {even:.3}, at one {one:.3}, one killed each 5 s {killed:.3}, 3 units among 32 {small:.3}");
    assert!(even > 0.95 && one > 0.90 && killed > 0.85 && small > 0.85);
}

/// Guards the share of a planner that is gone: other planners use its slot's share after a few lease times,
/// and give it back when it returns.
#[test]
fn a_gone_planners_share_is_used_elsewhere_and_given_back() {
    let mut simulated = Simulation::new(Options::calm(8, 400, |_| 1_000));
    simulated.run(SECOND * 8);
    assert!(simulated.in_use() >= 390, "{}", simulated.in_use());
    simulated.apply_fault(Fault::Kill { planner: 5, again_ms: None });
    simulated.run(SECOND / 2);
    assert!(simulated.in_use() <= 352, "its fifty units are idle at first: {}", simulated.in_use());
    simulated.run(SECOND * 8);
    // Its floor of 25 stays idle.
    assert!(simulated.in_use() >= 365, "the share of its slot is in use again: {}", simulated.in_use());
    // A planner that exits on SIGTERM releases its share at once.
    let mut simulated = Simulation::new(Options::calm(8, 400, |at| if at == 5 { 0 } else { 1_000 }));
    simulated.run(SECOND * 8);
    simulated.apply_fault(Fault::Term { planner: 5, again_ms: Some(6_000) });
    simulated.run(SECOND * 5);
    assert!(simulated.in_use() >= 365, "{}", simulated.in_use());
    simulated.set_demand(5, 1_000);
    simulated.run(SECOND * 8);
    assert!(simulated.in_use_by()[5] >= 40, "it has its own share again: {:?}", simulated.in_use_by());
    assert_eq!(simulated.broken, None);
}

/// Guards planners whose need grows against one that reports an absurd need: they get their base share back,
/// and spare units are shared in turn.
#[test]
fn absurd_need_takes_no_other_planners_base_share() {
    let mut simulated = Simulation::new(Options::calm(8, 80, |at| if at == 0 { u64::MAX / 4 } else { 0 }));
    simulated.run(SECOND * 10);
    assert!(simulated.in_use_by()[0] > 60, "it has what no other planner needs: {:?}", simulated.in_use_by());
    simulated.set_demand(5, 100);
    simulated.set_demand(6, 100);
    simulated.run(Duration::from_micros(2 * TERMS.lease) + SECOND);
    let used = simulated.in_use_by();
    assert!(used[5] >= 8 && used[6] >= 8, "their base share is back within two lease times: {used:?}");
    simulated.run(SECOND * 20);
    let used = simulated.in_use_by();
    assert!(
        used[5] >= 15 && used[6] >= 15 && simulated.in_use() >= 70,
        "spare units are shared in turn: {used:?}"
    );
}

/// Guards the largest fleets: the traffic between planners stays bounded, and the budget is not exceeded.
#[test]
fn traffic_is_bounded_at_350_planners() {
    let mut simulated = Simulation::new(Options::calm(350, 3_500, |at| if at % 10 == 0 { 60 } else { 2 }));
    simulated.run(SECOND * 5);
    simulated.measure();
    simulated.run(SECOND * 4);
    let (messages, datagrams) = simulated.sent();
    let each = |n: u64| n as f64 / 350.0 / 4.0;
    println!(
        "{:.1} messages, {:.1} datagrams per second and planner; share used {:.3}",
        each(messages),
        each(datagrams),
        simulated.share_used()
    );
    assert_eq!(simulated.broken, None);
    assert!(each(datagrams) < 60.0 && simulated.share_used() > 0.8);
}
