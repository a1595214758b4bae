//! Reloads under load: requests through both fronts, a reload every 100 ms with valid and invalid files in
//! turn, and nodes that refuse, stall and reset. Each request must have exactly one final answer, and the
//! nodes' ledgers must show no broken rule.

use super::nodes;
use crate::audit::{audit, Allowed, Verdict};
use crate::load::{self, Shape, Tally};
use crate::node::Plan;
use crate::planner::{config, Planner, Program, Used};
use crate::Clock;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// Interval of reloads; `None` for no reloads.
    pub every: Option<Duration>,
    /// Seed for nodes and load.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether the operators' file has limits.
    pub limits: bool,
    /// The section of the REST front; without `limits`, the whole operators' file in the program's format.
    pub rest: String,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            rate: 400.0,
            span: Duration::from_secs(10),
            every: Some(Duration::from_millis(100)),
            seed: 1,
            nodes: 10,
            limits: true,
            rest: "rest: { listen: \"127.0.0.1:0\", maxOpenJobs: 20000 },".into(),
        }
    }
}

/// Results of the experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results of the load.
    pub tally: Tally,
    /// Audit of the nodes' ledgers.
    pub verdict: Verdict,
    /// Resources used by the planner.
    pub used: Used,
    /// Number of reloads requested.
    pub reloads: u64,
    /// The planner's answer to `/v1/limits` at the end.
    pub in_force: serde_json::Value,
}

/// Highest number of attempts in any valid file.
pub const MAX_ATTEMPTS: usize = 3;

/// The operators' file of a turn: of four files two are valid, one breaks a rule, and one is truncated.
pub fn file(options: &Options, turn: u64) -> String {
    let rest = &options.rest;
    match turn % 4 {
        0 => format!(
            "{{ {rest} limits: {{ default: {{ attempts: {MAX_ATTEMPTS}, totalMs: 4000 }},\n  routes: [\n    \
             {{ name: \"notices\", match: {{ class: \"keyed\" }}, attemptMs: 1500, inFlight: 150, ratePerS: 60, \
             burst: 30, retryBudget: 0.5 }},\n    {{ name: \"search\", match: {{ service: \"search-*\" }}, \
             pauseMs: [20, 80] }} ] }} }}"
        ),
        1 => format!("{{ {rest} limits: {{ default: {{ attempts: 5 }} }} }}"),
        2 => format!(
            "{{ {rest} limits: {{ default: {{ attempts: 2, totalMs: 3000 }},\n  routes: [ {{ name: \"notices\", \
             match: {{ class: \"keyed\" }}, attemptMs: 1200, inFlight: 200, ratePerS: 90, burst: 30, retryBudget: 0.3 }},\n    \
             {{ name: \"turn-{turn}\", match: {{ service: \"search-1\" }}, inFlight: 60 }} ] }} }}"
        ),
        _ => format!("{{ {rest} limits: {{ default: {{ attem"),
    }
}

/// Runs the experiment.
///
/// # Errors
/// If a process or node cannot be started or reached.
pub fn run(program: &Program, options: &Options) -> io::Result<Report> {
    let clock = Clock::start();
    let seed = options.seed;
    let plan = |at: usize| Plan {
        name: format!("node-{at}"),
        seed: seed.wrapping_mul(1000).wrapping_add(at as u64),
        slots: 200,
        life_ms: (500, 2000),
        refuse: 0.1,
        fail: 0.02,
        silent: 0.01,
        reset: 0.004,
        stall: 0.01,
        ..Plan::default()
    };
    let nodes = nodes(options.nodes, clock, plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let first = match options.limits {
        true => file(options, 0),
        false => options.rest.clone(),
    };
    let planner = Planner::start(program, &config(&addresses, seed), Some(&first))?;
    let shape = Shape {
        ids_after: 0,
        release_wait: Duration::ZERO,
        rate: options.rate,
        span: options.span,
        rest: 0.5,
        keyed: 0.4,
        deadline: Duration::from_secs(5),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed,
        room: (0.25, 0.5),
        answer_wait: Duration::from_secs(3),
    };
    let done = AtomicBool::new(false);
    let (tally, reloads) = std::thread::scope(|scope| -> io::Result<(Tally, u64)> {
        let reloads = scope.spawn(|| -> io::Result<u64> {
            let Some(every) = options.every else { return Ok(0) };
            let mut turn = 0;
            while !done.load(Ordering::Relaxed) {
                std::thread::sleep(every);
                turn += 1;
                planner.reload(&file(options, turn))?;
            }
            Ok(turn)
        });
        let tally = load::run(&shape, planner.owners, planner.rest);
        done.store(true, Ordering::Relaxed);
        let reloads = reloads.join().map_err(|_| io::Error::other("the reload thread panicked"))??;
        Ok((tally?, reloads))
    })?;
    let used = planner.used();
    let in_force = planner.rest.map(|rest| get(rest, "/v1/limits")).transpose()?.unwrap_or_default();
    let ledgers: Vec<_> = nodes.iter().map(|n| n.ledger()).collect();
    let attempts = if options.limits { MAX_ATTEMPTS } else { 4 };
    let slack = Duration::from_millis(50);
    let verdict = audit(&ledgers, Allowed { attempts, window: Duration::from_secs(6), slack });
    Ok(Report { tally, verdict, used, reloads, in_force })
}

/// The JSON body of the answer to a GET request; null if it is not JSON.
pub(crate) fn get(from: SocketAddr, path: &str) -> io::Result<serde_json::Value> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(from)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok(serde_json::from_str(body).unwrap_or_default())
}
