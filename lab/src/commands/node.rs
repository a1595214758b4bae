//! Runs one stand-in node.

use burlhook_lab::node::{Node, Plan};
use burlhook_lab::Clock;
use clap::Args;
use std::io;
use std::time::Duration;

/// Arguments of the command.
#[derive(Args)]
pub struct Arguments {
    /// Loopback address to listen on.
    #[arg(default_value = "127.0.0.1:7001")]
    listen: String,
    /// Share of offers that are refused.
    #[arg(long, default_value_t = 0.0)]
    refuse: f64,
    /// Seed of the random generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command; returns whether all checks passed.
pub fn run(arguments: Arguments) -> io::Result<bool> {
    let Arguments { listen, refuse, seed } = arguments;
    let plan = Plan { name: listen.clone(), seed, refuse, ..Plan::default() };
    let node = Node::start(&listen, plan, Clock::start())?;
    println!("a stand-in node listens on {}", node.address());
    let mut printed = 0;
    loop {
        std::thread::sleep(Duration::from_millis(200));
        let ledger = node.ledger();
        for entry in &ledger.entries[printed..] {
            println!("{:>9.3} {:016x} {:?}", entry.at.as_secs_f64(), entry.job, entry.what);
        }
        printed = ledger.entries.len();
    }
}
