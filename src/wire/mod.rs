//! What is spoken: two fronts, the links to the machines, and the hub that joins them to the core.

pub mod arrived;
pub mod errors;
pub mod hub;
pub mod import;
pub mod outbox;
pub mod peers;
pub mod platform;
pub mod read_buffers;
pub mod rest;
mod trail;
