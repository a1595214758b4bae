//! Scale tests: what each part of a planner costs as one size grows and the others stand still. Each slope is a module
//! of its own, measures the real code, and writes one [`record::Slope`] as JSON under `docs/capacity/`.

pub mod admission;
pub mod ask_rate;
pub mod bench;
pub mod command;
pub mod compare;
pub mod config_parse;
pub mod config_rate;
pub mod config_size;
pub mod count;
pub mod figures;
pub mod fit;
pub mod gang_machines;
pub mod hollow_machine;
pub mod hollow_planner;
pub mod ladder;
pub mod list_machines;
pub mod machines;
pub mod members;
pub mod missing;
pub mod page;
pub mod pick_machines;
pub mod planners;
pub mod reasons;
pub mod record;
pub mod rest_hollow;
pub mod restart_hollow;
pub mod rows;
pub mod slopes;
pub mod standing;
pub mod state;
pub mod targets;
pub mod tasks;
pub mod usage;
