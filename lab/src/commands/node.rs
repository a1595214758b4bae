//! One stand-in node.

use burlhook_lab::node::{Node, Plan};
use burlhook_lab::Clock;
use clap::Args;
use std::io;
use std::time::Duration;

/// What the command is told.
#[derive(Args)]
pub struct Arguments {
    /// Where it listens, on loopback.
    #[arg(default_value = "127.0.0.1:7001")]
    listen: String,
    /// Share of asks that it refuses.
    #[arg(long, default_value_t = 0.0)]
    refuse: f64,
    /// Seed of what is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Carries it out; tells whether all was well.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { listen, refuse, seed } = arguments;
    let plan = Plan { name: listen.clone(), seed, refuse, ..Plan::default() };
    let node = Node::start(&listen, plan, Clock::start())?;
    println!("a stand-in node listens on {}", node.address());
    let mut shown = 0;
    loop {
        std::thread::sleep(Duration::from_millis(200));
        let ledger = node.ledger();
        for entry in &ledger.entries[shown..] {
            println!("{:>9.3} {:016x} {:?}", entry.at.as_secs_f64(), entry.job, entry.what);
        }
        shown = ledger.entries.len();
    }
}
