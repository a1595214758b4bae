//! The platform protocol: binary messages of owners, JSON lines of machines, and the machine list of the
//! discovery service. Connections and encoding alone; all decisions are made by the core.
//!
//! Nothing here sends datagrams to peers: by design each planner counts only its own placements.

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
