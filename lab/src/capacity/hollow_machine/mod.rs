//! Hollow machines: up to some ten thousands of machines in one process behind one listener, each at an address of its
//! own in 127.0.0.0/8. They speak the machine protocol as the stand-in machine does, and hold no work beyond a timer of
//! each task's life. The process is apart from the planner's and from the load's, so that the figures of each are its own.
//!
//! The process is told its [`Plan`] on its command line, writes its [`Ports`] as the first line of its standard output,
//! answers each line `counts` on its standard input with its [`Counts`], and ends with its standard input.

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
