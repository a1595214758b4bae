//! Planners with more machines than file descriptors, and planners that share a fault: the delay until owners
//! learn of task ends, the resources of a planner, and whether planners dial machines in bursts. All figures
//! come from the machines' ledgers, the owners' connections and the operating system.

use super::nodes;
use crate::load::{self, Shape, Tally};
use crate::node::{Act, Ledger, Plan, What};
use crate::planner::{config, Planner, Program, Used};
use crate::Clock;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of planners, each a process; the load is divided among them.
    pub planners: usize,
    /// Number of machines.
    pub nodes: usize,
    /// Limit on file descriptors of each planner.
    pub sockets: u32,
    /// Number of planners according to the settings.
    pub listed: u32,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// Whether all connections to all machines are reset at half time.
    pub reset: bool,
    /// Run time of a task, in milliseconds.
    pub life_ms: (u64, u64),
    /// Seed for nodes and load.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            planners: 1,
            nodes: 400,
            sockets: 256,
            listed: 16,
            rate: 100.0,
            span: Duration::from_secs(20),
            reset: false,
            life_ms: (2_000, 6_000),
            seed: 1,
        }
    }
}

/// Results of the experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results of each planner's load.
    pub tallies: Vec<Tally>,
    /// Milliseconds from the end of each task at its machine to the release at its owner, ascending; only
    /// measured with one planner.
    pub report_delays_ms: Vec<u64>,
    /// Task ends without a release by the end of the run; ends in its last 8 s, the protocol's limit, are not
    /// counted.
    pub unreported: usize,
    /// Highest number of file descriptors of any planner.
    pub descriptors: usize,
    /// Resources used by the planners.
    pub used: Vec<Used>,
    /// Connections opened at all machines in the two seconds from the first planner's start, and the maximum
    /// in any tenth of a second.
    pub start: (usize, usize),
    /// The same from the shared fault.
    pub fault: (usize, usize),
}

impl Report {
    /// Milliseconds within which this share of the task ends was reported.
    pub fn report_delay_ms(&self, share: f64) -> u64 {
        let at = (self.report_delays_ms.len() as f64 * share) as usize;
        self.report_delays_ms
            .get(at.min(self.report_delays_ms.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }

    /// Number of requests with this outcome.
    pub fn count(&self, end: load::End) -> u64 {
        self.tallies.iter().map(|t| t.count(end)).sum()
    }
}

/// Connections opened within two seconds from `from`, and the maximum in any tenth of a second.
fn burst(ledgers: &[Ledger], from: Duration) -> (usize, usize) {
    let mut tenths: BTreeMap<u128, usize> = BTreeMap::new();
    let opened = ledgers.iter().flat_map(|l| &l.entries).filter(|e| e.what == What::Opened);
    for entry in opened.filter(|e| e.at >= from && e.at < from + Duration::from_secs(2)) {
        *tenths.entry((entry.at - from).as_millis() / 100).or_default() += 1;
    }
    (tenths.values().sum(), tenths.values().copied().max().unwrap_or_default())
}

/// Runs the experiment.
///
/// # Errors
/// If a process or node cannot be started or reached.
pub fn run(program: &Program, options: &Options) -> io::Result<Report> {
    let clock = Clock::start();
    let plan = |at: usize| Plan {
        name: format!("node-{at}"),
        seed: options.seed.wrapping_mul(10_000).wrapping_add(at as u64),
        slots: 200,
        life_ms: options.life_ms,
        ..Plan::default()
    };
    let nodes = nodes(options.nodes, clock, plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let program = program.with_descriptor_limit(options.sockets);
    let from = clock.now();
    let start = |at: usize| {
        let mut config = config(&addresses, options.seed.wrapping_mul(1000).wrapping_add(at as u64));
        config["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": options.sockets});
        config["settings"]["n_instances"] = json!(options.listed);
        Planner::start(&program, &config, None)
    };
    let planners = (0..options.planners).map(start).collect::<io::Result<Vec<Planner>>>()?;
    let shape = |at: usize| Shape {
        rate: options.rate / options.planners as f64,
        span: options.span,
        rest: 0.0,
        keyed: 0.3,
        deadline: Duration::from_secs(5),
        services: (0..2 * options.nodes).map(|n| format!("search-{n}")).collect(),
        seed: options.seed.wrapping_add(at as u64),
        room: (0.25, 0.5),
        answer_wait: Duration::from_secs(3),
        ids_after: (at as u64 + 1) << 32,
        release_wait: Duration::from_millis(options.life_ms.1) + Duration::from_secs(8),
    };
    let done = AtomicBool::new(false);
    let mut reset_at = None;
    let (tallies, descriptors) = std::thread::scope(|scope| {
        let watch = scope.spawn(|| {
            let mut most = 0;
            while !done.load(Ordering::Relaxed) {
                most = planners.iter().map(Planner::descriptors).max().unwrap_or_default().max(most);
                std::thread::sleep(Duration::from_millis(20));
            }
            most
        });
        let load = |at: usize| {
            let (shape, owners) = (shape(at), planners[at].owners);
            scope.spawn(move || load::run(&shape, owners, None))
        };
        let loads: Vec<_> = (0..planners.len()).map(load).collect();
        if options.reset {
            std::thread::sleep(options.span / 2);
            reset_at = Some(clock.now());
            nodes.iter().for_each(|node| node.act(Act::Reset));
        }
        let join = |l: std::thread::ScopedJoinHandle<'_, io::Result<Tally>>| {
            l.join().map_err(|_| io::Error::other("a load generator panicked"))?
        };
        let tallies: io::Result<Vec<Tally>> = loads.into_iter().map(join).collect();
        done.store(true, Ordering::Relaxed);
        (tallies, watch.join().unwrap_or_default())
    });
    let (tallies, used) = (tallies?, planners.iter().map(Planner::used).collect());
    let ended_by = clock.now().saturating_sub(Duration::from_secs(8));
    let ledgers: Vec<Ledger> = nodes.iter().map(|n| n.ledger()).collect();
    let (mut report_delays_ms, mut unreported) = (Vec::new(), 0);
    if options.planners == 1 {
        let released: BTreeMap<u64, Duration> =
            tallies.iter().flat_map(|t| &t.released).map(|&(id, at)| (id, clock.at(at))).collect();
        for ended in ledgers.iter().flat_map(|l| &l.entries).filter(|e| e.what == What::Ended) {
            match released.get(&ended.job) {
                Some(&at) => report_delays_ms.push(at.saturating_sub(ended.at).as_millis() as u64),
                None => unreported += usize::from(ended.at < ended_by),
            }
        }
        report_delays_ms.sort_unstable();
    }
    let start = burst(&ledgers, from);
    let fault = reset_at.map(|at| burst(&ledgers, at)).unwrap_or_default();
    Ok(Report { tallies, report_delays_ms, unreported, descriptors, used, start, fault })
}
