//! The platform's protocol: owners' binary messages, boxes' JSON lines, the notice board. A thin front.
//!
//! No datagram is sent to peers: by the design each planner counts its own binds alone.

pub mod board;
mod boxes;
mod lists;
pub mod node;
pub mod owner;
pub mod owners;

pub use boxes::hold_links;
pub use lists::{follow, take_in, Source, Telling};
pub use owners::serve;

#[cfg(test)]
mod tests;
