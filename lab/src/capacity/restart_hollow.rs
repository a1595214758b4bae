//! The cost of the input that a planner processes at a restart, as machines or standing tasks grow.

use super::count::require_counting_allocator;
use super::hollow_planner::{full_list_line, set_up, HollowPlanner, Request};
use super::in_process_slope::{
    InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT, TASK_SIZES, TASK_SIZES_SHORT,
};
use std::io;

/// Number of machines while standing tasks grow.
const MACHINES: usize = 400;

const REAL: &str = "the codecs of the list and of the clients, the reducer and the placer";
const HOLLOW: &str =
    "no process, no sockets, no connections to machines: the kept list, the list of the source and the \
                      clients' tasks are handed in one after the other";

/// Cost against the number of machines.
pub const BY_MACHINES: InProcessSlope = InProcessSlope {
    name: "restart-hollow",
    question: "What does a planner take in at a restart, as machines grow?",
    size: "machines",
    held: &[("standing tasks", 0.0)],
    real: REAL,
    hollow: HOLLOW,
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run: by_machines,
};

/// Cost against the number of standing tasks.
pub const BY_TASKS: InProcessSlope = InProcessSlope {
    name: "restart-hollow-tasks",
    question: "What does a planner take in at a restart, as standing tasks grow?",
    size: "standing tasks",
    held: &[("machines", MACHINES as f64)],
    real: REAL,
    hollow: HOLLOW,
    sizes: TASK_SIZES,
    short: TASK_SIZES_SHORT,
    run: by_tasks,
};

fn by_machines(machines: usize) -> io::Result<Vec<Sample>> {
    restart(machines, 0)
}

fn by_tasks(tasks: usize) -> io::Result<Vec<Sample>> {
    restart(MACHINES, tasks)
}

fn restart(machines: usize, tasks: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let mut hollow = HollowPlanner::new()?;
    let (stored, full) = (full_list_line(1, machines), full_list_line(2, machines));
    let mut bytes = stored.len() + full.len();
    hollow.take_cost();
    hollow.kept_list(&stored)?;
    hollow.list(&full)?;
    for task in 0..tasks {
        let id = hollow.next_request();
        let message = set_up(&Request { id, service: 7, cores: 0.1, at: Some(task % machines) });
        bytes += message.len();
        hollow.request(&message)?;
    }
    let cost = hollow.take_cost();
    let standing: usize = hollow.machines().map(|machine| hollow.planner.running_at(machine)).sum();
    if standing != tasks {
        return Err(io::Error::other(format!("planner holds {standing} of {tasks} standing tasks")));
    }
    Ok(vec![
        Sample::count("bytes taken in", "bytes", bytes as f64),
        Sample::count("allocations of a restart", "count", cost.allocations_each(1)),
        Sample::count("bytes of state", "bytes", cost.allocated.held as f64),
        Sample::time("processor time of a restart", "ms", cost.processor.as_secs_f64() * 1e3),
    ])
}
