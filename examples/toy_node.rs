//! A toy machine for trying out a planner: the stand-in node of `burlhook_lab`, which accepts every task and
//! runs it for 5 s.
//!
//! `cargo run --example toy_node -- 127.0.0.1:7001`

use burlhook_lab::node::{Node, Plan};
use burlhook_lab::Clock;
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:7001".into());
    let plan = Plan { name: "toy".into(), life_ms: (5000, 5000), ..Plan::default() };
    let node = Node::start(&address, plan, Clock::start())?;
    println!("a toy machine listens on {}", node.address());
    let mut shown = 0;
    loop {
        std::thread::sleep(Duration::from_millis(100));
        let ledger = node.ledger();
        for entry in &ledger.entries[shown..] {
            println!("{:016x} {:?}", entry.job, entry.what);
        }
        shown = ledger.entries.len();
    }
}
