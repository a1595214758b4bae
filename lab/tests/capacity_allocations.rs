//! Short scale tests of allocations: bytes of state, and allocations of a pick, a request, an admission, a
//! change of the list and an operators' file. They are one test, as allocations are counted for the whole
//! process. Bounds are the values of the records plus 5 %.

mod shapes;

use burlhook_lab::capacity::{admission, config_parse, list_machines, pick_machines, state};
use shapes::{assert_no_violations, Growth};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Sizes of the runs, in machines.
const MACHINES: &[usize] = &[100, 400, 1_000];
/// Sizes of the runs, in standing tasks.
const TASKS: &[usize] = &[100, 500, 2_000];
/// Sizes of the runs, in routes.
const ROUTES: &[usize] = &[10, 100, 400];
/// Bytes of state per machine (state-machines.json).
const BYTES_PER_MACHINE: f64 = 2_060.0;
/// Bytes of state per standing task (state-tasks.json).
const BYTES_PER_TASK: f64 = 2_230.0;
/// Allocations of a pick (pick-machines.json).
const ALLOCATIONS_PER_PICK: f64 = 2.2;
/// Bytes allocated by a pick, per machine (pick-machines.json).
const PICK_BYTES_PER_MACHINE: f64 = 34.0;
/// Bytes allocated by a pick that do not depend on the number of machines (pick-machines.json).
const PICK_BYTES: f64 = 300.0;
/// Allocations of a request from its first input byte to its last output byte (pick-machines.json).
const ALLOCATIONS_PER_REQUEST: f64 = 97.0;
/// Allocations of an admission (admission-routes.json).
const ALLOCATIONS_PER_ADMISSION: f64 = 0.0;
/// Allocations of a change of one machine (list-machines.json).
const ALLOCATIONS_PER_CHANGE: f64 = 28.0;
/// Bytes allocated by a change of one machine (list-machines.json).
const BYTES_PER_CHANGE: f64 = 1_620.0;
/// Allocations of parsing an operators' file, per route (config-parse.json).
const ALLOCATIONS_PER_ROUTE: f64 = 70.0;

/// Guards against memory and allocations that grow with the size of the fleet: state per machine and task,
/// and allocations per pick, request, admission and change, stay within their bounds at all sizes.
#[test]
fn state_and_allocations_keep_their_shapes() {
    let mut violations = Vec::new();
    let machines = Growth::of(&state::MACHINE, "bytes of state a machine", MACHINES);
    violations.extend([machines.constant(), machines.within(|_| BYTES_PER_MACHINE)]);
    let tasks = Growth::of(&state::TASK, "bytes of state a standing task", TASKS);
    violations.extend([tasks.constant(), tasks.within(|_| BYTES_PER_TASK)]);

    let pick = |figure| Growth::of(&pick_machines::SLOPE, figure, MACHINES);
    violations.push(pick("allocations a pick").within(|_| ALLOCATIONS_PER_PICK));
    let pick_bytes = pick("bytes allocated a pick");
    violations.push(pick_bytes.within(|machines| PICK_BYTES + machines * PICK_BYTES_PER_MACHINE));
    violations.push(pick("allocations an ask").within(|_| ALLOCATIONS_PER_REQUEST));

    let admission = Growth::of(&admission::ROUTES, "allocations an admission", ROUTES);
    violations.push(admission.within(|_| ALLOCATIONS_PER_ADMISSION));

    let change = |figure| Growth::of(&list_machines::SLOPE, figure, MACHINES);
    let (allocations, bytes) = (change("allocations of a change"), change("bytes allocated by a change"));
    violations.extend([allocations.constant(), allocations.within(|_| ALLOCATIONS_PER_CHANGE)]);
    violations.extend([bytes.constant(), bytes.within(|_| BYTES_PER_CHANGE)]);

    let file = Growth::of(&config_parse::SLOPE, "allocations of reading", ROUTES);
    violations.extend([file.linear(), file.within(|routes| routes * ALLOCATIONS_PER_ROUTE)]);
    assert_no_violations(violations);
}
