//! The commands, a module each: what it is told, and what it prints.

pub mod brownout;
pub mod budgets;
pub mod fleet;
pub mod groups;
pub mod node;
pub mod reload;
pub mod twin;
