//! Bytes of state that a planner keeps, as machines or standing tasks grow. A standing task is one that a
//! machine holds.

use super::count::require_counting_allocator;
use super::hollow_planner::{full_list_line, set_up, HollowPlanner, Request};
use super::in_process_slope::{
    InProcessSlope, Sample, MACHINE_SIZES, MACHINE_SIZES_SHORT, TASK_SIZES, TASK_SIZES_SHORT,
};
use std::io;

/// Number of machines while standing tasks grow.
const MACHINES: usize = 400;
/// Number of tasks between two full machine lists.
const TASKS_PER_LIST: usize = 1_000;
/// Seconds between two tasks.
const GAP_S: f64 = 0.001;
/// Seconds after the last task until the state that is kept only for its start has expired.
const EXPIRY_S: f64 = 20.0;
/// Cores, and units of memory, of a task.
const ROOM: f64 = 0.1;

const REAL: &str = "the reducer with its books, the placer and the vocabulary, by the allocator's count";
const HOLLOW: &str = "no process, no sockets: queues, tasks and buffers of connections are not in it";

/// State against the number of machines.
pub const MACHINE: InProcessSlope = InProcessSlope {
    name: "state-machines",
    question: "How many bytes of state does a planner keep, as machines grow?",
    size: "machines",
    held: &[("standing tasks", 0.0)],
    real: REAL,
    hollow: HOLLOW,
    sizes: MACHINE_SIZES,
    short: MACHINE_SIZES_SHORT,
    run: by_machines,
};

/// State against the number of standing tasks.
pub const TASK: InProcessSlope = InProcessSlope {
    name: "state-tasks",
    question: "How many bytes of state does a planner keep, as standing tasks grow?",
    size: "standing tasks",
    held: &[("machines", MACHINES as f64), ("services", 1.0)],
    real: REAL,
    hollow: HOLLOW,
    sizes: TASK_SIZES,
    short: TASK_SIZES_SHORT,
    run: by_tasks,
};

fn by_machines(machines: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let mut hollow = HollowPlanner::with_machines(machines)?;
    let held = hollow.take_cost().allocated.held as f64;
    Ok(vec![
        Sample::count("bytes of state", "bytes", held),
        Sample::count("bytes of state a machine", "bytes", held / machines as f64),
    ])
}

fn by_tasks(tasks: usize) -> io::Result<Vec<Sample>> {
    require_counting_allocator()?;
    let mut hollow = HollowPlanner::with_machines(MACHINES)?;
    let machine_bytes = hollow.take_cost().allocated.held as f64;
    let mut revision = 1;
    for task in 0..tasks {
        let id = hollow.next_request();
        hollow.request(&set_up(&Request { id, service: 7, cores: ROOM, at: None }))?;
        hollow.advance(GAP_S)?;
        if task % TASKS_PER_LIST == 0 {
            revision += 1;
            hollow.list(&full_list_line(revision, MACHINES))?;
        }
    }
    hollow.advance(EXPIRY_S)?;
    hollow.list(&full_list_line(revision + 1, MACHINES))?;
    let held = hollow.take_cost().allocated.held as f64;
    let standing: usize = hollow.machines().map(|machine| hollow.planner.running_at(machine)).sum();
    if standing != tasks {
        return Err(io::Error::other(format!("planner holds {standing} of {tasks} standing tasks")));
    }
    Ok(vec![
        Sample::count("bytes of state", "bytes", machine_bytes + held),
        Sample::count("bytes of state a standing task", "bytes", held / tasks as f64),
    ])
}
