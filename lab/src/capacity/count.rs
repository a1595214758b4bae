//! What a piece of work costs: allocations and bytes, which are the same in each run, and processor time.

use cpu_time::ThreadTime;
use stats_alloc::{Region, INSTRUMENTED_SYSTEM};
use std::io;
use std::time::Duration;

/// Allocations of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocated {
    /// Allocations and reallocations.
    pub count: u64,
    /// Bytes that they asked for.
    pub bytes: u64,
    /// Bytes that are held still once it is done; fewer than none where it gave back what was held before.
    pub held: i64,
}

/// What a piece of work cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Its allocations.
    pub allocated: Allocated,
    /// Processor time of this thread, by the operating system's count.
    pub processor: Duration,
}

impl Cost {
    /// Adds what another piece of work cost.
    pub fn add(&mut self, other: Cost) {
        self.allocated.count += other.allocated.count;
        self.allocated.bytes += other.allocated.bytes;
        self.allocated.held += other.allocated.held;
        self.processor += other.processor;
    }

    /// Processor time of each of so many, in microseconds.
    pub fn microseconds_each(&self, of: usize) -> f64 {
        self.processor.as_secs_f64() * 1e6 / of as f64
    }

    /// Allocations of each of so many.
    pub fn allocations_each(&self, of: usize) -> f64 {
        self.allocated.count as f64 / of as f64
    }

    /// Bytes allocated for each of so many.
    pub fn bytes_each(&self, of: usize) -> f64 {
        self.allocated.bytes as f64 / of as f64
    }
}

/// Does a piece of work on this thread and tells what it cost. Allocations are those of the whole process: nothing else
/// may run in it.
pub fn cost_of<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let from = ThreadTime::now();
    let done = work();
    let processor = from.elapsed();
    let change = region.change();
    let allocated = Allocated {
        count: (change.allocations + change.reallocations) as u64,
        bytes: change.bytes_allocated as u64,
        held: change.bytes_allocated as i64 - change.bytes_deallocated as i64,
    };
    (done, Cost { allocated, processor })
}

/// Looks whether the process counts its allocations: its program has to use the counting allocator.
///
/// # Errors
/// If it does not.
pub fn needs_counts() -> io::Result<()> {
    let (_kept, cost) = cost_of(|| std::hint::black_box(Box::new(0u64)));
    match cost.allocated.count {
        0 => Err(io::Error::other("allocations are not counted in this program")),
        _ => Ok(()),
    }
}
