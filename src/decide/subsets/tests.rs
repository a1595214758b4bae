//! The invariants of the parts at the sizes that the operators name, and the settings at their edges.

use super::settings::{self, Means, Parts, LEAST_PART, WHOLE_FLEET_MACHINES};
use super::*;
use crate::document::{self, Item, Sink, Text};
use crate::vocabulary::key;

const MACHINES: usize = 18_000;

fn names(planners: usize) -> Vec<String> {
    (0..planners).map(|n| format!("planner-{n}")).collect()
}

fn subsets(names: &[String], own: usize, replicas: usize) -> Subsets {
    Subsets::new(names.iter().map(String::as_str), own, replicas)
}

fn machines(count: usize) -> Vec<MachineKey> {
    (0..count).map(|n| key(&format!("machine-{n}"))).collect()
}

/// Guards cold machines and even load: exactly as many planners as asked for serve each machine, each of them by its own
/// verdict, and they are those that any planner names.
#[test]
fn every_machine_has_exactly_its_planners() {
    for (planners, replicas) in [(2, 2), (5, 3), (16, 2), (24, 3), (64, 4)] {
        let names = names(planners);
        let all: Vec<Subsets> = (0..planners).map(|own| subsets(&names, own, replicas)).collect();
        for machine in machines(2000) {
            let mut serving: Vec<usize> = (0..planners).filter(|&own| all[own].serves(machine)).collect();
            assert_eq!(serving.len(), replicas, "{planners} planners");
            let mut named = all[0].servers(machine);
            serving.sort_unstable();
            named.sort_unstable();
            assert_eq!(serving, named);
        }
    }
}

/// Guards planners against parts that are far larger than planned: each is within four standard deviations of the mean.
#[test]
fn parts_are_even() {
    let machines = machines(MACHINES);
    for planners in [16, 24, 32, 48, 64] {
        let (names, parts) = (names(planners), Parts { machines: MACHINES, replicas: 3 });
        let mean = parts.mean(planners);
        for own in 0..planners {
            let of = subsets(&names, own, parts.replicas);
            let part = machines.iter().filter(|&&machine| of.serves(machine)).count();
            let (least, most) = (2.0 * mean - parts.most(planners) as f64, parts.most(planners) as f64);
            assert!((least..=most).contains(&(part as f64)), "{part} of {planners}, {least} to {most}");
        }
    }
}

/// Guards what is connected against a planner that comes or goes: it moves its own part, and each machine of it to one
/// other planner. All else stays where it is.
#[test]
fn a_planner_that_goes_moves_its_own_part_alone() {
    let (names, replicas) = (names(24), 3);
    let before = subsets(&names, 0, replicas);
    let after = subsets(&names[..23], 0, replicas);
    let mut moved = 0;
    for machine in machines(MACHINES) {
        let (old, new) = (before.servers(machine), after.servers(machine));
        let stay: Vec<usize> = old.iter().copied().filter(|&planner| planner != 23).collect();
        assert_eq!(new[..stay.len()], stay, "those that stay keep their machine");
        moved += usize::from(stay.len() < replicas);
    }
    let (mean, most) = {
        let parts = Parts { machines: MACHINES, replicas };
        (parts.mean(24), parts.most(24) as f64)
    };
    assert!((2.0 * mean - most..=most).contains(&(moved as f64)), "{moved} machines moved");
}

/// Guards files that name the planners in different orders.
#[test]
fn the_order_of_planners_means_nothing() {
    let names = names(16);
    let mut turned = names.clone();
    turned.reverse();
    for own in 0..16 {
        let (one, other) = (subsets(&names, own, 3), subsets(&turned, 15 - own, 3));
        assert!(machines(500).into_iter().all(|machine| one.serves(machine) == other.serves(machine)));
    }
}

/// Guards today's fleets: up to the size at which parts are of use every planner serves all, whatever is asked for.
#[test]
fn small_fleets_are_served_whole() {
    let parts = |machines, replicas| Parts { machines, replicas };
    assert!(parts(WHOLE_FLEET_MACHINES, 2).is_whole(64));
    assert!(!parts(WHOLE_FLEET_MACHINES + 1, 2).is_whole(64));
    assert!(parts(MACHINES, 3).is_whole(3) && !parts(MACHINES, 3).is_whole(4));
}

/// Reads `parts` for so many planners, and holds it against means and settings; gives it, or its faults.
fn read(text: &str, planners: usize, means: Means, instances: usize) -> Result<Parts, Vec<String>> {
    let text = Text::new("f", text);
    let root = document::parse(&text).expect("a document");
    let sink = Sink::default();
    let item = Item::root(&root, &sink);
    let parts = settings::read(&item, planners);
    if let Some(parts) = &parts {
        settings::check(&item, parts, planners, means, instances);
    }
    match sink.count() {
        0 => Ok(parts.expect("no fault")),
        _ => Err(sink.take().into_iter().map(|fault| fault.what).collect()),
    }
}

const AMPLE: Means = Means { connections: 100_000, in_memory: 100_000 };

/// Guards operators who leave the number of planners at each machine to the program.
#[test]
fn replicas_keep_the_part_large_enough() {
    for planners in [2, 8, 24, 64, 256] {
        let parts = read("{machines: 18000}", planners, AMPLE, 1).expect("it is right");
        assert!(parts.replicas >= 2 && parts.mean(planners) >= LEAST_PART as f64, "{parts:?}");
        let fewer = Parts { replicas: parts.replicas - 1, ..parts };
        assert!(fewer.replicas < 2 || fewer.mean(planners) < LEAST_PART as f64, "{parts:?} of {planners}");
    }
    assert_eq!(read("{machines: 18000}", 1, AMPLE, 1).map(|p| p.replicas), Ok(1));
}

/// Guards a start against parts that the planner has not the means for, that ask for more planners than there are, or
/// that leave planners out; the fault tells the way out.
#[test]
fn what_cannot_be_served_is_told_with_the_way_out() {
    let small = Means { connections: 619, in_memory: 5000 };
    let cases: [(&str, usize, Means, usize, &str); 6] = [
        (
            "{machines: 18000, replicas: 3}",
            24,
            small,
            24,
            "list 103 planners or more, or raise limits.sockets",
        ),
        ("{machines: 18000}", 1, small, 1, "limits.sockets leaves 619 connections"),
        ("{machines: 18000, replicas: 3}", 24, Means { in_memory: 500, ..small }, 24, "limits.memory_mb"),
        ("{machines: 18000, replicas: 5}", 3, AMPLE, 3, "list more planners or ask for fewer"),
        ("{machines: 18000, replicas: 1}", 3, AMPLE, 3, "2 to 1024 are allowed"),
        ("{machines: 18000, replicas: 3}", 24, AMPLE, 25, "the settings tell of 25, the list has 24"),
    ];
    for (text, planners, means, instances, wanted) in cases {
        let faults = read(text, planners, means, instances).expect_err(text);
        assert!(faults.iter().any(|fault| fault.contains(wanted)), "{text}: {faults:?}");
    }
    assert!(read("{machines: 600, replicas: 2}", 64, small, 99).is_ok(), "a small fleet is served as before");
    assert!(read("{machines: 18000, replicas: 3}", 103, small, 103).is_ok(), "the way out is one");
}
