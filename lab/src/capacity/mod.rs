//! Scale tests: what each part of a planner costs as one size grows and the others stand still. Each slope is a module
//! of its own, measures the real code, and writes one [`record::Slope`] as JSON under `docs/capacity/`.

pub mod ask_rate;
pub mod bench;
pub mod command;
pub mod compare;
pub mod config_rate;
pub mod config_size;
pub mod figures;
pub mod hollow_machine;
pub mod machines;
pub mod planners;
pub mod record;
pub mod slopes;
pub mod standing;
pub mod tasks;
pub mod usage;
