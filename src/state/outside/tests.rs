//! The reducer with a part of the machines, held against one that sees them all, and against what must never happen.

use super::table::{Listed, Position};
use super::*;
use crate::decide::fleet::settings as fleet_settings;
use crate::decide::groups::{OnLoss, Phase as GroupPhase, Policy};
use crate::document::{self, Item, Sink, Text};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scene::*;
use world::World;

#[path = "scene.rs"]
mod scene;
#[path = "world.rs"]
mod world;

const PLANNERS: usize = 8;
const REPLICAS: usize = 2;

fn part_core() -> Core {
    core_of_part(MACHINES as usize, (PLANNERS, 0, REPLICAS))
}

/// A planner that serves no machine of the rare kind.
fn core_without_rare_kind() -> Core {
    let serves = |own: usize, n: u32| subsets(PLANNERS, own, REPLICAS).serves(machine(n, 0.0).entry.key);
    let own = (0..PLANNERS).find(|&own| !serves(own, 0) && !serves(own, 1)).expect("one of eight");
    core_of_part(MACHINES as usize, (PLANNERS, own, REPLICAS))
}

/// A drawn day: jobs of all classes, and machines that drain, restart, come, and are replaced; some 45 seconds.
fn script(seed: u64) -> Vec<(Seconds, Happens)> {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let (mut at, mut job, mut next) = (101.0, 1, MACHINES);
    let mut script = Vec::new();
    while at < 145.0 {
        at += draws.gen_range(0.02..0.3);
        // The two of the rare kind stay.
        let some = draws.gen_range(2..MACHINES);
        let what = match draws.gen_range(0..40) {
            0 => Happens::Drain(some),
            1 => Happens::Restart(some),
            2 => {
                next += 1;
                Happens::Replace { old: some, new: next }
            }
            3 => {
                next += 1;
                Happens::Add(next)
            }
            4 => Happens::Whole,
            _ => {
                job += 1;
                let class = draws.gen_range(REPEATABLE..=SPREAD);
                let cores = [0.5, 1.0, 2.0, 8.0][draws.gen_range(0..4)];
                Happens::Submit { job, class, cores: if class == RARE_KIND { 0.5 } else { cores } }
            }
        };
        script.push((at, what));
    }
    script
}

fn play(core: Core, script: &[(Seconds, Happens)]) -> World {
    let mut world = World::new(core, MACHINES);
    for (at, what) in script {
        world.run_until(*at);
        world.happen(*what);
    }
    world.run_until(160.0);
    world
}

/// Guards clients of a planner that serves a part: whatever comes, drains, restarts or is replaced, no job is turned away
/// that a planner which sees all machines places; and at every step the rules hold that `World` checks (one attempt out,
/// none to a machine that drains, none to a cold one beyond the part, every end heard of, what is borrowed bounded, table
/// and nodes are the list).
#[test]
fn a_part_places_what_the_whole_fleet_would() {
    for seed in 0..24 {
        let script = script(seed);
        let all = play(core(REPLICAS as u32, 7), &script);
        let part = play(part_core(), &script);
        let lost: Vec<RequestId> = all.planner.placed.difference(&part.planner.placed).copied().collect();
        assert!(lost.is_empty(), "seed {seed}: {lost:?} of {} were not placed", all.planner.placed.len());
        let answered = part.planner.placed.len() + part.planner.turned_away.len();
        let asked = script.iter().filter(|(_, what)| matches!(what, Happens::Submit { .. })).count();
        assert_eq!(answered, asked, "seed {seed}: each has one answer");
    }
}

/// Guards the use of a part: the planner holds connections to what it serves, and to little else, while its part does.
#[test]
fn a_part_that_has_room_borrows_nothing() {
    let mut world = World::new(part_core(), MACHINES);
    for job in 0..40 {
        world.submit(job * 7, REPEATABLE, 1.0);
        world.run_until(world.now + 0.1);
    }
    let view = world.planner.core.part_view().expect("a part");
    let mean = f64::from(MACHINES) * REPLICAS as f64 / PLANNERS as f64;
    assert_eq!(view.served + view.beyond, MACHINES as usize);
    assert!((view.served as f64) < 2.0 * mean, "{view:?}");
    assert_eq!((view.borrowed, world.planner.placed.len()), (0, 40));
}

/// Guards jobs of a kind that only two machines have, wherever those are: each planner finds them.
#[test]
fn a_rare_kind_is_found_beyond_the_part() {
    for own in 0..PLANNERS {
        let mut world = World::new(core_of_part(MACHINES as usize, (PLANNERS, own, REPLICAS)), MACHINES);
        world.submit(1, RARE_KIND, 1.0);
        world.run_until(world.now + 1.0);
        assert!(world.planner.placed.contains(&RequestId(1)), "planner {own}");
    }
}

/// Guards clients of a planner whose part is full while the fleet has room, and machines against being held for good:
/// what is borrowed is given back once nothing is open or stands there.
#[test]
fn a_full_part_reaches_beyond_and_gives_back() {
    let mut world = World::new(part_core(), MACHINES);
    let served = world.planner.core.part_view().expect("a part").served as u64;
    let jobs = served + 30;
    for job in 0..jobs {
        // One takes a machine for itself.
        world.submit(job * 7, REPEATABLE, 9.0);
        world.run_until(world.now + 0.05);
    }
    let borrowed = world.borrowed();
    world.run_until(world.now + 3.0);
    assert_eq!(world.planner.placed.len() as u64, jobs, "{:?}", world.planner.turned_away);
    assert!(borrowed > 0, "something was borrowed");
    world.run_until(world.now + 30.0);
    assert_eq!(world.borrowed(), 0);
}

/// Guards the planner's memory: what is borrowed is bounded (`World` checks it at every step), whatever is asked for.
#[test]
fn what_is_borrowed_is_bounded() {
    let mut world = World::new(part_core(), MACHINES);
    let served = world.planner.core.part_view().expect("a part").served as u64;
    for job in 0..served + 90 {
        world.submit(job * 7, REPEATABLE, 9.0);
    }
    world.run_until(world.now + 0.95);
    assert_eq!(world.borrowed(), reach::most_borrowed(0), "all that may be borrowed is");
}

/// Guards machines that came up anew beyond the part, and those that break off while they are borrowed: nothing goes
/// there, and what waited for one goes elsewhere.
#[test]
fn a_borrowed_machine_that_may_be_cold_is_let_be() {
    for breaks in [true, false] {
        let mut world = World::new(core_without_rare_kind(), MACHINES);
        world.submit(7, RARE_KIND, 0.5);
        world.run_until(world.now + 0.5);
        let borrowed: Vec<MachineId> = world.planner.core.outside.loans.keys().copied().collect();
        assert!(!borrowed.is_empty(), "the rare kind lies beyond the part of this planner");
        world.submit(14, RARE_KIND, 0.5);
        let waits = |world: &World| borrowed.iter().map(|&id| world.on_the_way_to(id)).sum::<usize>();
        assert_eq!(waits(&world), 1);
        for &id in &borrowed {
            if breaks {
                world.apply(Input::LinkBroken { machine: id });
            } else {
                let now = world.now;
                world.machines.get_mut(&id).expect("a machine").entry.started = now;
                world.tell(&[id]);
            }
        }
        assert_eq!(waits(&world), 0, "what waited is taken back");
        let before = world.planner.offers.len();
        world.submit(21, RARE_KIND, 0.5);
        // What broke off is let be until the list has had the time to tell of a restart.
        world.run_until(world.now + if breaks { reach::BROKE_OFF_S - 0.1 } else { 4.9 });
        let later = &world.planner.offers[before..];
        assert!(later.iter().all(|(_, id)| !borrowed.contains(id)), "{later:?}");
    }
}

/// Guards jobs of which a copy may run at a borrowed machine: it is kept until the machine says that the copy is over.
#[test]
fn a_copy_that_may_run_keeps_its_machine() {
    let mut world = World::new(core_without_rare_kind(), MACHINES);
    // Its first attempt is cut off.
    world.submit(3, RARE_KIND, 0.5);
    world.run_until(world.now + 0.5);
    let (_, machine) = world.planner.offers[0];
    assert!(world.planner.core.outside.is_withdrawn(machine));
    world.run_until(world.now + 8.0);
    assert!(world.planner.core.nodes.contains(machine), "word of the copy is awaited");
    let (before, after, why) = (Outcome::Lost, Outcome::Lost, Reason::Unknown);
    world.apply(Input::Ended { machine, job: RequestId(3), before, after, why, report: None });
    world.run_until(world.now + 2.0);
    assert!(!world.planner.core.nodes.contains(machine));
}

/// Guards the log and the views: the names of machines beyond the part are kept.
#[test]
fn names_beyond_the_part_are_kept() {
    let mut world = World::new(part_core(), 0);
    for n in 0..MACHINES {
        assert_eq!(world.planner.core.words().machine(&format!("machine-{n}")), MachineId(n));
        world.machines.insert(MachineId(n), machine(n, 0.0));
    }
    world.tell_all();
    world.tell_all();
    assert_eq!(world.planner.core.words().machines(), MACHINES as usize);
}

/// Guards cold machines and quotas: the module hears of those that send to the same machines, and of all that share the
/// quotas.
#[test]
fn the_module_is_told_of_both_counts_of_planners() {
    let core = part_core();
    assert_eq!((core.settings().placers, core.settings().all_placers), (REPLICAS as u32, PLANNERS as u32));
}

/// Guards tasks that stand: their end is heard of wherever they are, also at a machine beyond the part, and at one that the
/// list names only later.
#[test]
fn what_stands_beyond_the_part_is_heard_of() {
    for listed in [true, false] {
        let mut world = World::new(part_core(), MACHINES);
        let serves = |n: u32| subsets(PLANNERS, 0, REPLICAS).serves(machine(n, 0.0).entry.key);
        let stranger = (5000..).find(|&n| !serves(n)).map(MachineId);
        let beyond = world.planner.core.outside.table.machines().next();
        let at = if listed { beyond } else { stranger };
        let at = at.expect("a machine that the planner does not serve");
        let spec = Arc::new(Spec { class: "class-0".into(), name: "n".into(), ..Spec::default() });
        let task = Task {
            class: REPEATABLE,
            tenant: None,
            service: ServiceId(1),
            room: Room { cores: 1.0, memory: 1.0 },
            deadline: world.now,
            life_s: None,
            limits: TaskLimits::default(),
        };
        let ask = Ask { job: RequestId(9), owner: Owner::Link(1), spec, task };
        world.apply(Input::Adopt { ask, machine: at });
        if !listed {
            world.happen(Happens::Add(at.0));
            world.run_until(world.now + 1.0);
        }
        world.run_until(world.now + 20.0);
        assert!(world.planner.core.nodes.contains(at), "it is kept while the task stands");
        let end = Input::Ended {
            machine: at,
            job: RequestId(9),
            before: Outcome::Ok,
            after: Outcome::Ok,
            why: Reason::Unknown,
            report: None,
        };
        world.apply(end);
        world.run_until(world.now + 20.0);
        assert!(!world.planner.core.nodes.contains(at), "and given back then");
    }
}

/// Guards zones: where the part has no ready machine in a zone, one of it is borrowed, and kept.
#[test]
fn every_zone_has_a_machine() {
    let mut world = World::new(part_core(), MACHINES);
    let core = &world.planner.core;
    let of_zone = |core: &Core| -> Vec<MachineId> {
        let nodes = core.nodes.iter().filter(|(_, n)| n.entry().zone == ZoneId(2));
        nodes.map(|(id, _)| id).collect()
    };
    for id in of_zone(core) {
        world.happen(Happens::Drain(id.0));
    }
    world.run_until(world.now + 5.0);
    let zone = of_zone(&world.planner.core);
    assert_eq!(zone.len(), 1, "one stands for the zone");
    world.run_until(world.now + 40.0);
    assert_eq!(of_zone(&world.planner.core), zone, "it is kept");
    assert!(world.planner.core.outside.loans.contains_key(&zone[0]));
}

/// Guards groups that are larger than the part: members are placed beyond it, and the share that a group may ask for is
/// one of the whole fleet.
#[test]
fn a_group_larger_than_the_part_is_placed_whole() {
    let mut world = World::new(part_core(), MACHINES);
    world.cuts_off = false;
    let members = world.planner.core.part_view().expect("a part").served + 10;
    let deadline = world.now + 4.0;
    let member = |_| {
        let room = Room { cores: 9.0, memory: 9.0 };
        let (service, limits) = (ServiceId(1), TaskLimits::default());
        let task = Task { class: REPEATABLE, tenant: None, service, room, deadline, life_s: None, limits };
        (Arc::new(Spec { class: "repeatable".into(), ..Spec::default() }), task)
    };
    let (partial_s, cut_wait_s, pause_s) = (1.0, 0.25, (0.1, 0.3));
    let policy = Policy { partial_s, cut_wait_s, tries: 2, pause_s, on_loss: OnLoss::Keep, replacements: 0 };
    let members = (0..members).map(member).collect();
    let ask = GroupAsk { group: GroupId(1), members, deadline, policy, share: 0.5, key: None, digest: 0 };
    world.apply(Input::SubmitGroup(ask));
    world.run_until(world.now + 0.9);
    let view = world.planner.core.group_view_of(GroupId(1)).expect("a group");
    assert_eq!(view.phase, GroupPhase::Standing, "{:?}", view.why);
}

/// Guards cold machines against planners whose lists differ: each knows nineteen machines in twenty, each twentieth one
/// missing at others. All machines have just come up, all planners are pressed for room; no machine is offered more by
/// all of them together, in any window, than it always bears.
#[test]
fn lists_that_differ_keep_cold_machines_within_their_budget() {
    let (machines, planners, replicas) = (40, 6, 2);
    let mut offers: BTreeMap<MachineId, Vec<Seconds>> = BTreeMap::new();
    let mut most = 0;
    for own in 0..planners {
        let mut world = World::new(core_of_part(machines as usize, (planners, own, replicas)), 0);
        world.run_until(110.0);
        for n in (0..machines).filter(|n| !(n + 3 * own as u32).is_multiple_of(20)) {
            world.machines.insert(MachineId(n), machine(n, world.now - 1.0));
        }
        world.tell_all();
        for job in 0..120 {
            world.submit(job * 7, REPEATABLE, 0.5);
            world.run_until(world.now + 0.05);
        }
        for (at, id) in &world.planner.offers {
            offers.entry(*id).or_default().push(*at);
        }
    }
    let settings = core(1, 1).settings().clone();
    for times in offers.values_mut() {
        times.sort_by(f64::total_cmp);
        for (first, from) in times.iter().enumerate() {
            let window = times[first..].iter().filter(|at| **at < from + settings.fall_s).count();
            most = most.max(window);
        }
    }
    assert!(most as f64 <= settings.cold_bears, "{most} offers in a window");
    assert!(
        most > 1 && offers.len() > 30,
        "the machines are used: {most} offers at {} machines",
        offers.len()
    );
}

/// Guards planners of one fleet: lists of machines that differ change nothing about the machines that both know.
#[test]
fn lists_that_differ_change_no_part() {
    let world = |skip: u32| {
        let mut world = World::new(part_core(), 0);
        for n in (0..MACHINES).filter(|n| n % 20 != skip) {
            world.machines.insert(MachineId(n), machine(n, 0.0));
        }
        world.tell_all();
        world
    };
    let (one, other) = (world(3), world(7));
    for n in (0..MACHINES).filter(|n| n % 20 != 3 && n % 20 != 7).map(MachineId) {
        let is_served = |world: &World| world.planner.core.outside.table.contains(n);
        assert_eq!(is_served(&one), is_served(&other), "{n:?}");
    }
}

/// Guards today's fleets: with `parts` for 400 machines the reducer does, effect for effect, what it does without.
#[test]
fn small_fleets_are_served_as_without_parts() {
    let fleet = |parts: &str| {
        let planners = "[{name: 'a', address: '127.0.0.1:7101'}, {name: 'b', address: '127.0.0.1:7102'},
            {name: 'c', address: '127.0.0.1:7103'}, {name: 'd', address: '127.0.0.1:7104'}]";
        let text = format!("{{name: 'f', own: 'a', listen: '127.0.0.1:7101', planners: {planners}{parts}}}");
        let text = Text::new("f", text);
        let (root, sink) = (document::parse(&text).expect("a document"), Sink::default());
        fleet_settings::read(&Item::root(&root, &sink)).expect("a fleet")
    };
    let log = |parts: &str| {
        let mut core = core(4, 7);
        if let Some((subsets, parts)) = fleet(parts).subsets() {
            core.serve_part(subsets, parts);
        }
        let mut world = World::new(core, 400);
        world.planner.keep_log = true;
        for (at, what) in script(3) {
            world.run_until(at);
            world.happen(what);
        }
        world.planner.log
    };
    let (without, with) = (log(""), log(", parts: {machines: 400, replicas: 2}"));
    assert!(without.len() > 500 && without == with);
    let large = log(", parts: {machines: 4000, replicas: 2}");
    assert!(large != without, "the comparison sees a part");
}

/// Guards memory: what is kept of a machine beyond the part beside its name and its address.
#[test]
fn a_machine_beyond_the_part_takes_some_tens_of_bytes() {
    let kept = size_of::<MachineId>() + size_of::<Listed>();
    let indexed = size_of::<Position>() + size_of::<(CellId, MachineId)>() + size_of::<(u32, MachineId)>();
    assert!(kept <= 84 && indexed <= 40, "{kept} and {indexed}");
}
