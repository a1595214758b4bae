//! Decision logic, one module per subsystem. It is pure: no I/O, and no clock or random source of its own.

pub mod backlogs;
pub mod budgets;
pub mod cancellations;
pub mod fleet;
pub mod groups;
pub mod key_owners;
pub mod limits;
pub mod links;
pub mod machine_loss;
pub mod shutdown;
pub mod silence;
pub mod spread;
pub mod start_times;
