//! The platform protocol: binary messages of owners, JSON lines of machines, and the machine list of the
//! discovery service. This module handles connections and encoding; the core makes all decisions.
//!
//! Nothing here sends datagrams to peers: by design each planner counts only its own placements.

pub mod discovery;
mod machine_links;
mod machine_list;
pub mod node;
pub mod owner;
pub mod owners;

pub use machine_links::run_machine_links;
pub use machine_list::{apply_event, follow_machine_list, EventTiming, Source};
pub use owner::MAX_MESSAGE_BYTES;
pub use owners::serve;

#[cfg(test)]
mod tests;
