//! The decision module: which machine gets a task, whether it is tried again, and which requests are refused.
//! `rules` takes the decisions, `records` holds its records and measurements, `interface` the public types.

mod interface;
mod records;
mod rules;

pub use interface::*;
pub use rules::Placer;
