//! A brown-out: for some seconds nodes refuse most offers. Counts the offers that reach the nodes and the
//! tasks that are placed before, during and after it, with and without a retry budget.

use super::nodes;
use crate::audit::{audit, Allowed, Verdict};
use crate::load::{self, End, Shape, Tally};
use crate::node::{Act, Plan, What};
use crate::planner::{config, Planner, Program};
use crate::Clock;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests per second.
    pub rate: f64,
    /// Share of offers that nodes refuse during the brown-out.
    pub refuse: f64,
    /// Retries per first attempt; no retry budget if absent.
    pub budget: Option<f64>,
    /// Seed for nodes and load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Duration of the normal time, the brown-out, and the normal time after it.
    pub spans: [Duration; 3],
}

impl Default for Options {
    fn default() -> Self {
        let spans = [3, 10, 5].map(Duration::from_secs);
        Options { rate: 150.0, refuse: 0.85, budget: None, seed: 1, nodes: 10, spans }
    }
}

/// Results of the experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results of the load.
    pub tally: Tally,
    /// Offers that reached the nodes during the brown-out.
    pub offers: usize,
    /// Those of them that are retries.
    pub retries: usize,
    /// Tasks that started to run during the brown-out.
    pub ran: usize,
    /// Audit of the ledgers.
    pub verdict: Verdict,
}

impl Report {
    /// Share of all requests that were placed.
    pub fn placed(&self) -> f64 {
        self.tally.count(End::Placed) as f64 / self.tally.requests.max(1) as f64
    }
}

/// Runs the experiment.
///
/// # Errors
/// If a process or node cannot be started or reached.
pub fn run(program: &Program, options: &Options) -> io::Result<Report> {
    let budget = options.budget.map_or(String::new(), |share| format!(", retryBudget: {share}"));
    let file = format!(
        "{{ rest: {{ listen: \"127.0.0.1:0\" }}, limits: {{ default: {{ attempts: 4{budget} }} }} }}"
    );
    let clock = Clock::start();
    let [normal, brownout, after] = options.spans;
    // Nodes have no script: the brown-out is timed from the start of the load, once the planner serves.
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
        release_wait: Duration::ZERO,
        rate: options.rate,
        span: normal + brownout + after,
        rest: 0.5,
        keyed: 0.4,
        deadline: Duration::from_secs(5),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed: options.seed,
        room: (0.25, 0.5),
        answer_wait: Duration::from_secs(3),
    };
    let (tally, from, until) = std::thread::scope(|scope| -> io::Result<(Tally, Duration, Duration)> {
        let load = scope.spawn(|| load::run(&shape, planner.owners, planner.rest));
        std::thread::sleep(normal);
        let from = clock.now();
        nodes.iter().for_each(|n| n.act(Act::Refuse(options.refuse)));
        std::thread::sleep(brownout);
        let until = clock.now();
        nodes.iter().for_each(|n| n.act(Act::Refuse(0.0)));
        let tally = load.join().map_err(|_| io::Error::other("the load generator panicked"))??;
        Ok((tally, from, until))
    })?;
    let ledgers: Vec<_> = nodes.iter().map(|n| n.ledger()).collect();
    let mut seen = std::collections::BTreeSet::new();
    let (mut offers, mut retries, mut ran) = (0, 0, 0);
    let mut all: Vec<_> = ledgers.iter().flat_map(|l| &l.entries).collect();
    all.sort_by_key(|e| e.at);
    for entry in all {
        let within = (from..until).contains(&entry.at);
        match entry.what {
            What::Ask { .. } => {
                let first = seen.insert(entry.job);
                offers += usize::from(within);
                retries += usize::from(within && !first);
            }
            What::Runs => ran += usize::from(within),
            _ => {}
        }
    }
    let slack = Duration::from_millis(50);
    let verdict = audit(&ledgers, Allowed { attempts: 4, window: Duration::from_secs(6), slack });
    Ok(Report { tally, offers, retries, ran, verdict })
}
