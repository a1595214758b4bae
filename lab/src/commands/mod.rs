//! The commands, one module each, with their arguments and output.

pub mod brownout;
pub mod budgets;
pub mod fleet;
pub mod groups;
pub mod node;
pub mod reload;
pub mod twin;
