//! What the small world is made of: its settings, its planners, its machines, and what befalls it.

use super::super::*;
use crate::vocabulary;
use serde_json::json;

/// The classes of the world's settings, in their order: repeatable, keyed in a zone, keyed in a cell, once, repeatable on
/// the second kind of machine alone, and repeatable with one task of a service in a machine.
pub const REPEATABLE: usize = 0;
/// Repeatable, on the second kind of machine alone.
pub const RARE_KIND: usize = 4;
/// The last class.
pub const SPREAD: usize = 5;

pub const ZONES: u32 = 3;
const CELL: u32 = 4;

/// A core with the world's settings, told of so many planners at each machine.
pub fn core(placers: u32, seed: u64) -> Core {
    let grade = |name: &str, effect: &str, group: &str| {
        json!({"name": name, "deadline_s": 5.0, "group": group, "idempotency": effect, "importance": 1.0,
            "on_time_s": 1.0, "repeat_window_s": 8.0})
    };
    let boot = json!({"areas": ["z0", "z1", "z2"],
        "family_info": {"apart_by": ["silent", "silent", "silent", "silent", "silent", "machine"],
            "class_kind": [-1, -1, -1, -1, 1, -1], "cold_bears": 8.0, "cores_multiple": 1.0, "free_by": "asked",
            "mem_booking": 1.0, "memory_by_kind": [20.0, 20.0], "prompt_start_s": [8.0, 8.0, 8.0, 8.0, 8.0, 8.0],
            "says_yes": "running", "shows_free": true, "size_cores": [10, 10], "spread_most": [2, 2, 2, 2, 2, 1]},
        "grades": [grade("repeatable", "repeatable", ""), grade("zone", "by_key", "zone"),
            grade("cell", "by_key", "cell"), grade("once", "once", ""), grade("rare", "repeatable", ""),
            grade("spread", "repeatable", "")],
        "kinds": ["usual", "rare"], "membership_mode": "push", "n_instances": placers,
        "permissions": {"max_attempts": 8}, "report": {"source": "silent"},
        "rules": {"ask_every_s": 10.0, "fall_s": 2.0, "warm_within_s": 16.0}, "tick_s": 0.002, "zone": "z0"});
    let (settings, words) = vocabulary::settings(&boot).expect("settings");
    let keep = Keep { waiting_bytes: 1 << 24, standing: 10_000, history: 0, over: 100_000, over_s: 1e6 };
    Core::new(settings, words, seed, keep).expect("a core")
}

pub fn names(planners: usize) -> Vec<String> {
    (0..planners).map(|n| format!("planner-{n}")).collect()
}

pub fn subsets(planners: usize, own: usize, replicas: usize) -> Subsets {
    Subsets::new(names(planners).iter().map(String::as_str), own, replicas)
}

/// A core that serves its part of so many machines.
pub fn core_of_part(machines: usize, (planners, own, replicas): (usize, usize, usize)) -> Core {
    let mut core = core(planners as u32, own as u64 + 7);
    core.serve_part(subsets(planners, own, replicas), Parts { machines, replicas });
    core
}

/// Something that befalls the world.
#[derive(Clone, Copy, Debug)]
pub enum Happens {
    Submit {
        job: u64,
        class: usize,
        cores: f64,
    },
    /// The machine drains, and goes a second later.
    Drain(u32),
    Restart(u32),
    /// Another machine takes the address of this one.
    Replace {
        old: u32,
        new: u32,
    },
    Add(u32),
    /// The whole list is told.
    Whole,
}

/// A machine as it truly is.
pub struct Machine {
    pub entry: Entry,
    pub address: String,
    pub tasks: BTreeMap<RequestId, Room>,
}

/// Machines of the world at its start; those that come later lie in the cells that are there.
pub const MACHINES: u32 = 120;

/// The machine of that number: its zone, cell and kind follow from it.
pub fn machine(number: u32, started: Seconds) -> Machine {
    let place = number % MACHINES;
    let entry = Entry {
        machine: MachineId(number),
        key: vocabulary::key(&format!("machine-{number}")),
        zone: ZoneId(place / CELL % ZONES),
        cell: CellId(u64::from(place / CELL)),
        kind: Some(usize::from(number < 2)),
        standing: Standing::Ready,
        free: Room { cores: 10.0, memory: 20.0 },
        started,
    };
    Machine { entry, address: format!("host:{number}"), tasks: BTreeMap::new() }
}
