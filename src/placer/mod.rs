//! The decision module: which machine, whether to try again, what is turned away. `rules` decides, `records` keeps
//! plain measures for it, and `interface` holds the types at its edge.

mod interface;
mod records;
mod rules;

pub use interface::*;
pub use rules::Placer;
