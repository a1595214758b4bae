//! Scale tests: what each part of a planner costs as one size grows and the others stand still. Each slope is a module
//! of its own, measures the real code, and writes one [`record::Slope`] as JSON under `docs/capacity/`.

pub mod command;
pub mod hollow_machine;
pub mod record;
pub mod slopes;
