//! Hollow machines: tens of thousands of simulated machines in one process behind one listener, each with its
//! own address in 127.0.0.0/8. They implement the machine protocol as the stand-in machine does; a task is
//! nothing but a timer. They run in a process of their own, apart from the planner and the load generator, so
//! that the processor time and memory of each can be measured separately.
//!
//! The process reads its [`Plan`] from its command line, writes its [`Ports`] as the first line of its
//! standard output, answers each line `counts` on its standard input with its [`Counts`], and exits when its
//! standard input is closed.

mod connection;
mod handle;
mod list;
mod message;
mod plan;
mod process;
mod state;

pub use handle::HollowMachines;
pub use plan::{address, Counts, Plan, Ports};
pub use process::run;

#[cfg(test)]
mod tests;
