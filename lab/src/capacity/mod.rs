//! Scale tests: measure what each part of a planner costs as one size (machines, tasks, planners ...) grows
//! while all other sizes are constant.
//!
//! One such series of measurements is called a slope. Slopes measure the real code and write one
//! [`record::Slope`] each, as JSON under `docs/capacity/`. What surrounds the measured code may be a
//! lightweight stand-in, which is called hollow: machines that answer the protocol but run nothing, or a
//! planner without sockets on a simulated clock. [`page`] writes the tables of `docs/CAPACITY.md` from these
//! records.

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
pub mod in_process_slope;
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
