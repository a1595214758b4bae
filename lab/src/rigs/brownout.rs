//! A brown-out: for some seconds nodes refuse most of what they are asked. Counted are the asks that reach them, and the
//! tasks that are placed before, during and after, with and without a budget of further tries.

use super::nodes;
use crate::audit::{audit, Allowed, Verdict};
use crate::load::{self, End, Shape, Tally};
use crate::node::{Act, Plan, What};
use crate::planner::{config, Planner, Program};
use crate::Clock;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What the rig does.
#[derive(Clone, Debug)]
pub struct Options {
    /// Asks a second.
    pub rate: f64,
    /// Share of asks that nodes refuse during the brown-out.
    pub refuse: f64,
    /// Of this budget, or without.
    pub budget: Option<f64>,
    /// Seed of nodes and load.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Calm time, brown-out, and calm time again.
    pub spans: [Duration; 3],
}

impl Default for Options {
    fn default() -> Self {
        let spans = [3, 10, 5].map(Duration::from_secs);
        Options { rate: 150.0, refuse: 0.85, budget: None, seed: 1, nodes: 10, spans }
    }
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The asks.
    pub tally: Tally,
    /// Offers that reached the nodes during the brown-out.
    pub asks: usize,
    /// Of them, further tries.
    pub further: usize,
    /// Tasks that ran from asks of the brown-out.
    pub ran: usize,
    /// The ledgers against the rules.
    pub verdict: Verdict,
}

impl Report {
    /// Share of all asks that were placed.
    pub fn placed(&self) -> f64 {
        self.tally.count(End::Placed) as f64 / self.tally.asked.max(1) as f64
    }
}

/// Runs it.
///
/// # Errors
/// If a part of it cannot be started or reached.
pub fn run(program: &Program, options: &Options) -> io::Result<Report> {
    let budget = options.budget.map_or(String::new(), |share| format!(", retryBudget: {share}"));
    let file = format!(
        "{{ rest: {{ listen: \"127.0.0.1:0\" }}, limits: {{ default: {{ attempts: 4{budget} }} }} }}"
    );
    let clock = Clock::start();
    let [calm, brown, after] = options.spans;
    // The load begins when the planner serves; the script's times are counted from then on, by hand.
    let plan = |at: usize| Plan {
        name: format!("node-{at}"),
        seed: options.seed.wrapping_mul(1000).wrapping_add(at as u64),
        slots: 200,
        life_ms: (500, 2000),
        ..Plan::default()
    };
    let nodes = nodes(options.nodes, clock, plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let planner = Planner::start(program, &config(&addresses, options.seed), Some(&file))?;
    let shape = Shape {
        ids_after: 0,
        hear_on: Duration::ZERO,
        rate: options.rate,
        span: calm + brown + after,
        rest: 0.5,
        keyed: 0.4,
        deadline: Duration::from_secs(5),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed: options.seed,
        room: (0.25, 0.5),
        patience: Duration::from_secs(3),
    };
    let (tally, from, until) = std::thread::scope(|scope| -> io::Result<(Tally, Duration, Duration)> {
        let load = scope.spawn(|| load::run(&shape, planner.owners, planner.rest));
        std::thread::sleep(calm);
        let from = clock.now();
        nodes.iter().for_each(|n| n.act(Act::Refuse(options.refuse)));
        std::thread::sleep(brown);
        let until = clock.now();
        nodes.iter().for_each(|n| n.act(Act::Refuse(0.0)));
        let tally = load.join().map_err(|_| io::Error::other("the load broke off"))??;
        Ok((tally, from, until))
    })?;
    let ledgers: Vec<_> = nodes.iter().map(|n| n.ledger()).collect();
    let mut seen = std::collections::BTreeSet::new();
    let (mut asks, mut further, mut ran) = (0, 0, 0);
    let mut all: Vec<_> = ledgers.iter().flat_map(|l| &l.entries).collect();
    all.sort_by_key(|e| e.at);
    for entry in all {
        let within = (from..until).contains(&entry.at);
        match entry.what {
            What::Ask { .. } => {
                let first = seen.insert(entry.job);
                asks += usize::from(within);
                further += usize::from(within && !first);
            }
            What::Runs => ran += usize::from(within),
            _ => {}
        }
    }
    let slack = Duration::from_millis(50);
    let verdict = audit(&ledgers, Allowed { attempts: 4, window: Duration::from_secs(6), slack });
    Ok(Report { tally, asks, further, ran, verdict })
}
