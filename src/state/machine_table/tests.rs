//! The indexes compared with full searches, and the cost of a list update.

use super::*;
use crate::state::tests::core;
use proptest::prelude::*;

/// The list entry of a machine at the address with the given number.
fn notice(machine: u32, address: u32, standing: Standing, started: u32) -> MachineNotice {
    let (id, key) = (MachineId(machine), MachineKey(u64::from(machine)));
    let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 9.0, memory: 18.0 });
    let started = f64::from(started);
    let entry = Entry { machine: id, key, zone, cell, kind: Some(0), standing, free, started };
    MachineNotice { entry, address: format!("a:{address}") }
}

fn list(core: &mut Core, kind: ListKind, notices: Vec<MachineNotice>) {
    core.apply(100.0, Input::List { kind, notices }, &mut Vec::new());
}

/// Reports a task as running at a machine.
fn adopt(core: &mut Core, job: u64, machine: u32) {
    let room = Room { cores: 1.0, memory: 1.0 };
    let (service, limits) = (ServiceId(1), TaskLimits::default());
    let task =
        Task { class: 0, tenant: None, service, room, deadline: 100.0, expected_runtime_s: None, limits };
    let spec = Arc::new(Spec { class: "c".into(), ..Spec::default() });
    let ask = JobSubmission { job: RequestId(job), owner: Owner::Link(1), spec, task };
    core.apply(100.0, Input::Adopt { ask, machine: MachineId(machine) }, &mut Vec::new());
}

/// [`Core::resolve_address_conflicts`] without indexes: a search of all machines for each update.
fn replace_by_search(core: &Core, notices: &mut Vec<MachineNotice>) {
    let nodes: Vec<&Node> = core.nodes.nodes.values().collect();
    let mut replaced = Vec::new();
    for notice in notices.iter_mut().filter(|n| n.entry.standing != Standing::Gone) {
        let same = |n: &&&Node| n.entry.machine != notice.entry.machine && n.address == notice.address;
        let Some(other) = nodes.iter().find(same) else { continue };
        if other.entry.started > notice.entry.started {
            notice.entry.standing = Standing::Gone;
        } else if notice.entry.standing == Standing::Ready {
            let entry = Entry { standing: Standing::Gone, ..other.entry };
            replaced.push(MachineNotice { entry, address: other.address.clone() });
        }
    }
    notices.retain(|n| !replaced.iter().any(|g| g.entry.machine == n.entry.machine));
    notices.splice(0..0, replaced);
}

/// Checks that each index agrees with a search of all machines and all jobs.
fn check_indexes(core: &Core) {
    let table = &core.nodes;
    let searched: Vec<MachineId> = table
        .nodes
        .values()
        .filter(|n| n.entry.standing != Standing::Ready)
        .map(|n| n.entry.machine)
        .collect();
    assert_eq!(table.not_ready(), searched);
    for address in (0..5).map(|n| format!("a:{n}")) {
        for than in (0..8).map(MachineId) {
            let searched = table.nodes.values().find(|n| n.entry.machine != than && n.address == address);
            let found = table.other_at(&address, than);
            assert_eq!(found.map(|n| n.entry.machine), searched.map(|n| n.entry.machine));
        }
    }
    for (&machine, node) in &table.nodes {
        let held = |j: &Job| j.machine == Some(machine) && !j.phase.is_over();
        let searched: BTreeSet<RequestId> =
            core.jobs.iter().filter(|(_, j)| held(j)).map(|(&id, _)| id).collect();
        assert_eq!(node.running, searched);
    }
}

/// One random step.
#[derive(Clone, Debug)]
enum Step {
    List(ListKind, Vec<MachineNotice>),
    Adopt(u64, u32),
    Cancel(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let standing =
        prop_oneof![3 => Just(Standing::Ready), 1 => Just(Standing::Draining), 1 => Just(Standing::Gone)];
    let one = (0u32..8, 0u32..5, standing, 0u32..3).prop_map(|(m, a, s, t)| notice(m, a, s, t));
    let kind = prop_oneof![3 => Just(ListKind::Changes), 1 => Just(ListKind::Whole)];
    let lists = (kind, proptest::collection::vec(one, 0..6)).prop_map(|(kind, list)| Step::List(kind, list));
    let adopts = (1u64..6, 0u32..8).prop_map(|(job, machine)| Step::Adopt(job, machine));
    prop_oneof![3 => lists, 2 => adopts, 1 => (1u64..6).prop_map(Step::Cancel)]
}

proptest! {
    #[test]
    fn the_indexes_agree_with_a_full_search(steps in proptest::collection::vec(step(), 0..40)) {
        let mut core = core("repeatable");
        for step in steps {
            match step {
                Step::List(kind, notices) => {
                    let (mut found, mut searched) = (notices.clone(), notices.clone());
                    replace_by_search(&core, &mut searched);
                    core.resolve_address_conflicts(&mut found);
                    prop_assert_eq!(format!("{found:?}"), format!("{searched:?}"));
                    list(&mut core, kind, notices);
                }
                Step::Adopt(job, machine) => adopt(&mut core, job, machine),
                Step::Cancel(job) => {
                    let cancel = Input::Cancel { job: RequestId(job), cause: 0 };
                    core.apply(100.0, cancel, &mut Vec::new());
                }
            }
            check_indexes(&core);
        }
    }
}

/// Guards tasks that are reported before the list names their machine.
#[test]
fn a_task_of_an_unlisted_machine_is_found_once_it_is_listed() {
    let mut core = core("repeatable");
    adopt(&mut core, 1, 7);
    adopt(&mut core, 2, 7);
    core.apply(100.0, Input::Cancel { job: RequestId(2), cause: 0 }, &mut Vec::new());
    list(&mut core, ListKind::Changes, vec![notice(7, 0, Standing::Ready, 0)]);
    assert_eq!(core.running_at(MachineId(7)), 1);
    assert_eq!(core.any_task_at(MachineId(7)), Some(RequestId(1)));
    assert!(core.nodes.unlisted.is_empty(), "no entry stays for a listed machine");
}

/// Guards a planner with many machines: the cost of an update does not grow with their number, and the cost
/// of a complete list grows only in proportion to it.
#[test]
fn an_update_examines_only_the_machines_concerned() {
    let all = |count: u32| (0..count).map(|n| notice(n, n, Standing::Ready, 0)).collect::<Vec<_>>();
    for count in [10, 1000] {
        let mut core = core("repeatable");
        list(&mut core, ListKind::Whole, all(count));
        assert_eq!(core.nodes.examined.get(), 0, "the first list finds no machine");
        list(&mut core, ListKind::Whole, all(count));
        assert_eq!(
            core.nodes.examined.get(),
            2 * u64::from(count),
            "each machine by its id and by its address"
        );
        let before = core.nodes.examined.get();
        list(&mut core, ListKind::Changes, vec![notice(3, 3, Standing::Draining, 0)]);
        list(&mut core, ListKind::Changes, vec![notice(4, 4, Standing::Ready, 1)]);
        // Each update examines the machine itself at its address, and then the one draining machine.
        assert_eq!(core.nodes.examined.get() - before, 4, "{count} machines");
    }
}
