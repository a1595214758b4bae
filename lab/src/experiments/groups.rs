//! Groups beside ordinary load, on nodes that refuse, stall, reset, hang and drain at random. Partial times,
//! doubled members and attempts are counted from the nodes' ledgers, not from the planner's answers.

use super::nodes;
use crate::audit::{audit, groups, Allowed, GroupVerdict, Verdict};
use crate::load::{self, call, Shape, Tally};
use crate::node::{Act, Node, Plan};
use crate::planner::{config, Planner, Program, Used};
use crate::Clock;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Count. Tasks of size `TASK` that a node holds; the planner's settings allow the same number.
const SLOTS: usize = 40;

/// Cores and memory of every task.
const TASK: (f64, f64) = (2.0, 3.0);

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Groups per second.
    pub groups: f64,
    /// Minimum and maximum number of members.
    pub members: (usize, usize),
    /// Duration of the load.
    pub span: Duration,
    /// Share of the fleet's capacity that ordinary load uses.
    pub load: f64,
    /// Submits each member as a job of its own and deletes all if one fails; the baseline for groups.
    pub naive: bool,
    /// Whether nodes fail.
    pub faults: bool,
    /// Seed for nodes, load and groups.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            groups: 4.0,
            members: (2, 32),
            span: Duration::from_secs(20),
            load: 0.3,
            naive: false,
            faults: true,
            seed: 1,
            nodes: 12,
        }
    }
}

/// Results of the experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of groups requested.
    pub requests: usize,
    /// Answers by HTTP status; 0 stands for no answer.
    pub answers: BTreeMap<u16, usize>,
    /// Audit of the groups from the ledgers.
    pub groups: GroupVerdict,
    /// Milliseconds in which groups ran only partially.
    pub partial_ms: Histogram<u64>,
    /// Number of partial times over one second.
    pub over: usize,
    /// Audit of the attempts from the ledgers.
    pub verdict: Verdict,
    /// Results of the ordinary load.
    pub tally: Tally,
    /// Resources used by the planner.
    pub used: Used,
}

impl Report {
    /// Share of groups that were placed completely.
    pub fn placed(&self) -> f64 {
        let placed = [200, 201].iter().filter_map(|s| self.answers.get(s)).sum::<usize>();
        placed as f64 / self.requests.max(1) as f64
    }
}

const FILE: &str = "{
  rest: { listen: \"127.0.0.1:0\", maxOpenJobs: 20000, maxConnections: 4000, maxBodyBytes: 100000 },
  groups: { default: { partialMs: 1000, share: 0.6 } },
}";

/// Injects faults into random nodes: a pause, a reset, a hang and its end, or a drain and its end.
fn inject_faults(nodes: &[Node], seed: u64, done: &AtomicBool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa);
    let mut later: Vec<(u32, usize, Act)> = Vec::new();
    let mut turn = 0;
    while !done.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        turn += 1;
        later.retain(|&(due, at, act)| {
            if due == turn {
                nodes[at].act(act);
            }
            due > turn
        });
        // One fault per 400 ms on average; at most a third of the nodes hang or drain.
        if !rng.gen_bool(0.125) {
            continue;
        }
        let at = rng.gen_range(0..nodes.len());
        let busy = later.iter().any(|(_, other, _)| *other == at) || later.len() * 3 >= nodes.len();
        match rng.gen_range(0..4) {
            0 => nodes[at].act(Act::Pause(Duration::from_millis(rng.gen_range(100..800)))),
            1 => nodes[at].act(Act::Reset),
            2 if !busy => {
                nodes[at].act(Act::Hang);
                later.push((turn + rng.gen_range(10..60), at, Act::Wake));
            }
            3 if !busy => {
                nodes[at].act(Act::Drain);
                later.push((turn + rng.gen_range(10..40), at, Act::Open));
            }
            _ => {}
        }
    }
    nodes.iter().for_each(|node| node.act(Act::Wake));
}

fn member(group: usize, at: usize, of: usize, keyed: bool) -> Value {
    json!({"class": if keyed { "keyed" } else { "stateless" }, "service": format!("pipeline-{}", at % 4), "cores": TASK.0,
        "memory": TASK.1, "description": format!("POST /pipeline/{group}/{at}/{of}")})
}

/// Parses group, member and number of members from a member's description.
fn parse_member(body: &str) -> Option<(u64, usize, usize)> {
    let mut parts = body.strip_prefix("POST /pipeline/")?.split('/');
    Some((parts.next()?.parse().ok()?, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

/// Submits each member as a job of its own; if one is not placed, deletes all others.
async fn submit_separately(
    client: &load::RestClient,
    rest: SocketAddr,
    members: Vec<Value>,
    key: &str,
) -> u16 {
    let submissions = members.into_iter().enumerate().map(|(at, mut member)| {
        let (client, key) = (client.clone(), format!("{key}/{at}"));
        tokio::spawn(async move {
            member["deadlineMs"] = json!(5000);
            let key = (member["class"] == "keyed").then_some(key);
            call(&client, "POST", rest, "/v1/jobs", key.as_deref(), &member).await
        })
    });
    let submissions: Vec<_> = submissions.collect();
    let (mut placed, mut status) = (Vec::new(), 201);
    for submission in submissions {
        match submission.await.ok().flatten() {
            Some((201, job)) => placed.extend(job["id"].as_str().map(str::to_string)),
            other => status = other.map_or(0, |(status, _)| status),
        }
    }
    if status != 201 {
        for job in placed {
            call(client, "DELETE", rest, &format!("/v1/jobs/{job}"), None, &Value::Null).await;
        }
    }
    status
}

async fn submit_all(options: &Options, rest: SocketAddr) -> BTreeMap<u16, usize> {
    let client = load::client();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed ^ 0x96);
    let started = tokio::time::Instant::now();
    let count = (options.groups * options.span.as_secs_f64()) as usize;
    let mut requests = Vec::with_capacity(count);
    for group in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(group as f64 / options.groups)).await;
        let members = rng.gen_range(options.members.0..=options.members.1);
        let members: Vec<Value> =
            (0..members).map(|at| member(group, at, members, rng.gen_bool(0.3))).collect();
        let (client, naive, key) = (client.clone(), options.naive, format!("{}-{group}", options.seed));
        requests.push(tokio::spawn(async move {
            if naive {
                return submit_separately(&client, rest, members, &key).await;
            }
            let body = json!({"members": members, "deadlineMs": 5000, "onLoss": "cut"});
            let timeout = Duration::from_secs(10);
            let answer =
                tokio::time::timeout(timeout, call(&client, "POST", rest, "/v1/groups", Some(&key), &body));
            answer.await.ok().flatten().map_or(0, |(status, _)| status)
        }));
    }
    let mut answers = BTreeMap::new();
    for submission in requests {
        *answers.entry(submission.await.unwrap_or(0)).or_default() += 1;
    }
    answers
}

/// Runs the experiment.
///
/// # Errors
/// If a process or node cannot be started or reached.
pub fn run(program: &Program, options: &Options) -> io::Result<Report> {
    let clock = Clock::start();
    let faults = f64::from(u8::from(options.faults));
    let plan = |at: usize| Plan {
        name: format!("node-{at}"),
        seed: options.seed.wrapping_mul(1000).wrapping_add(at as u64),
        slots: SLOTS,
        starts: 16,
        life_ms: (1500, 2500),
        reports: Some(((40.0, 80.0), TASK)),
        refuse: 0.01 * faults,
        fail: 0.003 * faults,
        ..Plan::default()
    };
    let nodes = nodes(options.nodes, clock, plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let mut config = config(&addresses, options.seed);
    // There is no other client and no machine list: free capacity is taken from the nodes' load reports.
    config["settings"]["family_info"]["free_by"] = json!("asked");
    let planner = Planner::start(program, &config, Some(FILE))?;
    let rest = planner.rest.ok_or_else(|| io::Error::other("the planner has no REST front"))?;
    let ordinary = (options.load * (SLOTS * options.nodes) as f64 / 2.0).max(1.0);
    let shape = Shape {
        ids_after: 0,
        release_wait: Duration::ZERO,
        rate: ordinary,
        span: options.span,
        rest: 0.5,
        keyed: 0.4,
        deadline: Duration::from_secs(5),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed: options.seed,
        room: TASK,
        answer_wait: Duration::from_secs(3),
    };
    let done = AtomicBool::new(false);
    let (tally, answers) = std::thread::scope(|scope| -> io::Result<(Tally, BTreeMap<u16, usize>)> {
        if options.faults {
            scope.spawn(|| inject_faults(&nodes, options.seed, &done));
        }
        let ordinary = scope.spawn(|| load::run(&shape, planner.owners, Some(rest)));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let answers = runtime.map(|runtime| runtime.block_on(submit_all(options, rest)));
        let tally = ordinary.join();
        done.store(true, Ordering::Relaxed);
        let tally = tally.map_err(|_| io::Error::other("the load generator panicked"))??;
        Ok((tally, answers?))
    })?;
    // Waits for messages that are still in transit.
    std::thread::sleep(Duration::from_millis(500));
    let used = planner.used();
    let ledgers: Vec<_> = nodes.iter().map(|n| n.ledger()).collect();
    let slack = Duration::from_millis(50);
    let verdict = audit(&ledgers, Allowed { attempts: 4, window: Duration::from_secs(6), slack });
    let groups = groups(&ledgers, parse_member, slack);
    // These constant bounds are always valid.
    let mut partial_ms = Histogram::new_with_bounds(1, 600_000, 3).unwrap_or_else(|_| unreachable!());
    groups.partial.iter().for_each(|time| partial_ms.saturating_record(time.as_millis() as u64));
    let over = groups.partial.iter().filter(|time| **time > Duration::from_secs(1)).count();
    let requests = answers.values().sum();
    Ok(Report { requests, answers, groups, partial_ms, over, verdict, tally, used })
}
