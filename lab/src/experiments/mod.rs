//! Experiments: each combines planners, stand-in nodes and load to answer one question.

pub mod brownout;
pub mod budgets;
pub mod demo;
pub mod fleet;
pub mod groups;
pub mod reload;

use crate::node::{Node, Plan};
use crate::Clock;
use std::io;

/// Starts `count` nodes, each with its own plan.
pub(crate) fn nodes(count: usize, clock: Clock, plan: impl Fn(usize) -> Plan) -> io::Result<Vec<Node>> {
    (0..count).map(|at| Node::start("127.0.0.1:0", plan(at), clock)).collect()
}
