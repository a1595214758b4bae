//! Budgets of the whole fleet under faults: real planner processes on the fault network, stand-in machines, a
//! load at each planner, and a schedule of faults. The budgets are judged from the machines' ledgers and the
//! clients' logs alone.

use super::nodes;
use crate::audit::{attempts, Attempt, Verdict};
use crate::judge::{mean_at_once, most_at_once, worst_window, Spans};
use crate::load::{run_controlled, End, LoadControl, RequestRecord, Shape};
use crate::net::{Fault, Net, Schedule, Traffic};
use crate::node::{Act, Ledger, Node, Plan};
use crate::planner::{address, config, Planner, Program};
use crate::Clock;
use serde_json::json;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Milliseconds. Deadline of a job; must be at most half of the lease.
const JOB_TIMEOUT_MS: u64 = 1_000;
/// Tolerance where a planner's message ended an attempt: the machine records that end later than the planner.
const END_SLACK: Duration = Duration::from_millis(60);
/// Seconds over which retries and first attempts are compared. Planners count both over 10 s: the window is
/// shorter for retries and longer for first attempts, so that a broken budget is proved.
const RETRY_WINDOWS_S: (u64, u64) = (9, 12);

/// Limit on the wait for a step's use of budgets. It is far longer than a fleet needs on a busy machine, and
/// only ends runs that would never continue.
const USE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that all planners need to reload their files.
const RELOAD_TIME: Duration = Duration::from_millis(500);
/// Interval at which a stopping planner or the use of budgets is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How budgets are set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Divided by the fleet with leases.
    Fleet,
    /// A fixed equal share at each planner, as without a fleet.
    Parts,
    /// The whole budget at each planner; the check must report this as broken.
    Each,
}

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of planners, each a process.
    pub planners: usize,
    /// Number of machines.
    pub nodes: usize,
    /// Requests per second over all planners.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// How budgets are set up.
    pub way: Way,
    /// Fleet-wide limit for jobs in flight.
    pub in_flight: u64,
    /// Fleet-wide rate of keyed jobs per second, and its burst.
    pub keyed: (f64, f64),
    /// Retries per first attempt, and retries per ten seconds that are allowed in any case.
    pub retry: (f64, u64),
    /// Duration of a lease in milliseconds.
    pub lease_ms: u64,
    /// Fraction of its share that a planner may use without a lease.
    pub floor: f64,
    /// Number of voters; 0 if shares need no leases.
    pub voters: usize,
    /// Faults of the run.
    pub schedule: Schedule,
    /// Seed for machines, load and network.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            planners: 8,
            nodes: 20,
            rate: 900.0,
            span: Duration::from_secs(20),
            way: Way::Fleet,
            in_flight: 40,
            keyed: (80.0, 100.0),
            retry: (0.2, 24),
            lease_ms: 3_000,
            floor: 0.5,
            voters: 3,
            schedule: Schedule::default(),
            seed: 1,
        }
    }
}

/// Results of the experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Descriptions of broken budgets and rules; empty in a good run.
    pub broken: Vec<String>,
    /// Descriptions of uses that the schedule waited for in vain; empty in a good run.
    pub unused: Vec<String>,
    /// How long the schedule waited for each use, in order; each wait delays all later steps.
    pub waited: Vec<Duration>,
    /// Number of requests by outcome.
    pub ends: BTreeMap<End, u64>,
    /// Number of rejected requests whose answer contains a retry time.
    pub with_retry_time: u64,
    /// Highest number of concurrent jobs in flight, of the limited class.
    pub most_in_flight: usize,
    /// Mean use of the limit for jobs in flight and of the rate, as shares, from the first lease to the end
    /// of the load.
    pub used: (f64, f64),
    /// Greatest excess over the rate in any window; at most 0 in a good run.
    pub window: f64,
    /// Datagrams and bytes per second that each planner sent, counted by the relay.
    pub sent_per_s: (f64, f64),
    /// CPU milliseconds per 1,000 requests, of the planners that ran at the end.
    pub cpu_ms: f64,
    /// Mean jobs in flight for each tenth of a second: in total, and by planner.
    pub flight: Vec<(f64, Vec<f64>)>,
    /// Number of planner starts.
    pub starts: usize,
}

impl Report {
    /// The report as one JSON object.
    pub fn json(&self) -> serde_json::Value {
        let ends: serde_json::Map<String, serde_json::Value> =
            self.ends.iter().map(|(end, count)| (format!("{end:?}"), json!(count))).collect();
        json!({"broken": self.broken, "unused": self.unused, "ends": ends, "toldWhen": self.with_retry_time,
            "mostInFlight": self.most_in_flight, "usedInFlight": self.used.0, "usedRate": self.used.1, "worstWindow": self.window,
            "datagramsPerS": self.sent_per_s.0, "bytesPerS": self.sent_per_s.1,
            "cpuMsPerThousand": self.cpu_ms, "starts": self.starts})
    }
}

fn planner_name(planner: usize) -> String {
    format!("p{planner}")
}

/// The operators' file of a planner.
fn operators_file(options: &Options, net: &Net, in_flight: u64, me: usize, listen: SocketAddr) -> String {
    let n = options.planners;
    let shares = match options.way {
        Way::Fleet | Way::Each => 1.0,
        Way::Parts => 1.0 / n as f64,
    };
    let scope = if options.way == Way::Fleet { ", scope: \"fleet\"" } else { "" };
    let part_of = |count: u64| ((count as f64 * shares).floor() as u64).max(1);
    let limits = format!(
        "limits: {{ default: {{ totalMs: {JOB_TIMEOUT_MS}, attempts: 4, retryBudget: {}, retryFloor: {}{scope} }}, classes: {{ \
         stateless: {{ inFlight: {}{scope} }}, keyed: {{ ratePerS: {}, burst: {}{scope} }} }} }}",
        options.retry.0,
        (options.retry.1 as f64 * shares).floor(),
        part_of(in_flight),
        options.keyed.0 * shares,
        (options.keyed.1 * shares).max(1.0),
    );
    if options.way != Way::Fleet {
        return format!("{{ {limits} }}");
    }
    let planner = |at: usize| {
        // A planner does not use its own entry.
        let address = if at == me { listen } else { net.address(me, at) };
        json!({"name": planner_name(at), "address": address.to_string()})
    };
    let planners: Vec<serde_json::Value> = (0..n).map(planner).collect();
    let mut fleet = json!({"name": "lab", "own": planner_name(me), "listen": listen.to_string(),
        "planners": planners, "leaseMs": options.lease_ms, "floorShare": options.floor});
    if options.voters > 0 {
        fleet["voters"] = (0..options.voters.min(n)).map(planner_name).collect();
    }
    format!("{{ fleet: {fleet}, {limits} }}")
}

/// A planner's process and the addresses that it keeps across restarts.
struct PlannerProcess {
    planner: Option<Planner>,
    owners: SocketAddr,
    peers: SocketAddr,
    /// Waits for the exit of a planner that was sent SIGTERM.
    stopping: Option<std::thread::JoinHandle<io::Result<()>>>,
}

impl PlannerProcess {
    fn start(
        &mut self,
        program: &Program,
        options: &Options,
        (net, in_flight): (&Net, u64),
        nodes: &[SocketAddr],
        me: usize,
    ) -> io::Result<()> {
        let mut config = config(nodes, options.seed.wrapping_mul(1_000).wrapping_add(me as u64));
        config["settings"]["n_instances"] = json!(options.planners);
        config["listen"] = json!(self.owners.to_string());
        let planner =
            Planner::start(program, &config, Some(&operators_file(options, net, in_flight, me, self.peers)))?;
        net.set_target(me, self.peers);
        self.planner = Some(planner);
        Ok(())
    }
}

/// An action that a step of the schedule causes later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deferred {
    Start(usize),
    Continue(usize),
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
        slots: 400,
        starts: 400,
        start_ms: (60, 140),
        cold_start_ms: (60, 140),
        life_ms: (100, 300),
        refuse: 0.08,
        ..Plan::default()
    };
    let nodes = nodes(options.nodes, clock, plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let net = Net::start(options.planners, options.seed)?;
    let process =
        |_| Ok(PlannerProcess { planner: None, owners: address()?, peers: address()?, stopping: None });
    let mut planner_processes =
        (0..options.planners).map(process).collect::<io::Result<Vec<PlannerProcess>>>()?;
    for (me, process) in planner_processes.iter_mut().enumerate() {
        process.start(program, options, (&net, options.in_flight), &addresses, me)?;
    }
    let controls: Vec<LoadControl> = (0..options.planners).map(|_| LoadControl::default()).collect();
    let even = || controls.iter().for_each(|control| control.set(options.rate / options.planners as f64));
    even();
    let shape = |at: usize| Shape {
        rate: 0.0,
        span: Duration::ZERO,
        rest: 0.0,
        keyed: 0.4,
        deadline: Duration::from_millis(JOB_TIMEOUT_MS),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed: options.seed.wrapping_add(at as u64),
        room: (0.25, 0.5),
        answer_wait: Duration::from_millis(1_500),
        ids_after: (at as u64 + 1) << 32,
        release_wait: Duration::ZERO,
    };
    let began = Instant::now();
    let mut starts = options.planners;
    let (logs, used, span, experiment) = std::thread::scope(|scope| -> io::Result<_> {
        let loads: Vec<_> = controls
            .iter()
            .enumerate()
            .map(|(at, control)| {
                let (shape, to) = (shape(at), planner_processes[at].owners);
                scope.spawn(move || run_controlled(&shape, to, control))
            })
            .collect();
        let limits_in_flight = RefCell::new(vec![(clock.at(began), options.in_flight)]);
        let experiment = Experiment {
            program,
            options,
            net: &net,
            nodes: &nodes,
            addresses: &addresses,
            controls: &controls,
            clock,
            limits_in_flight,
            unused: RefCell::default(),
            waited: RefCell::default(),
        };
        let outcome = experiment.run_schedule(&mut planner_processes, began, &mut starts);
        let used: Vec<u64> =
            planner_processes.iter().filter_map(|s| Some(s.planner.as_ref()?.used().cpu_ticks)).collect();
        controls.iter().for_each(LoadControl::stop);
        let mut logs = Vec::new();
        for load in loads {
            logs.push(load.join().map_err(|_| io::Error::other("a load generator panicked"))??);
        }
        let span = outcome?;
        Ok((logs, used, span, experiment))
    })?;
    let until = clock.at(began + span);
    let ledgers: Vec<Ledger> = nodes.iter().map(Node::ledger).collect();
    let answered_twice: u64 = logs.iter().map(|(_, answered_twice)| answered_twice).sum();
    let logs: Vec<RequestRecord> = logs.into_iter().flat_map(|(log, _)| log).collect();
    let mut report = judge(
        options,
        &clock,
        (clock.at(began), until),
        &experiment.limits_in_flight.borrow(),
        &ledgers,
        &logs,
    );
    (report.unused, report.waited) = (experiment.unused.take(), experiment.waited.take());
    if answered_twice > 0 {
        report.broken.push(format!("{answered_twice} second final answers received"));
    }
    let ms: u64 = used.iter().sum::<u64>() * 10;
    report.cpu_ms = ms as f64 * 1e3 / logs.len().max(1) as f64;
    let passed = net.counts();
    let each = |of: fn(&Traffic) -> u64| {
        passed.iter().map(of).sum::<u64>() as f64 / options.planners as f64 / span.as_secs_f64()
    };
    report.sent_per_s = (each(|p| p.received), each(|p| p.bytes));
    report.starts = starts;
    Ok(report)
}

/// A running experiment: its options, processes, network and load, and the results so far.
struct Experiment<'a> {
    program: &'a Program,
    options: &'a Options,
    net: &'a Net,
    nodes: &'a [Node],
    addresses: &'a [SocketAddr],
    controls: &'a [LoadControl],
    clock: Clock,
    /// Limits for jobs in flight, with the times at which their files were written.
    limits_in_flight: RefCell<Vec<(Duration, u64)>>,
    unused: RefCell<Vec<String>>,
    waited: RefCell<Vec<Duration>>,
}

impl Experiment<'_> {
    /// The limit for jobs in flight of the latest files.
    fn limit_in_flight(&self) -> u64 {
        self.limits_in_flight.borrow().last().map_or(self.options.in_flight, |(_, units)| *units)
    }

    /// Mean use of the limit for jobs in flight and of the rate over the last `over`, as shares.
    fn used(&self, over: Duration) -> (f64, f64) {
        let until = self.clock.at(Instant::now());
        let span = (until.saturating_sub(over), until);
        let ledgers: Vec<Ledger> = self.nodes.iter().map(Node::ledger).collect();
        let jobs = attempts(&ledgers, &mut Verdict::default());
        let flight = jobs.values().filter_map(|a| in_flight(a)).collect();
        let first = |a: &Vec<Attempt>| a.first().filter(|a| a.class == "keyed").map(|a| a.from);
        let keyed = jobs.values().filter_map(first).filter(|at| (span.0..until).contains(at)).count();
        let (limit, rate) = (self.limit_in_flight() as f64, self.options.keyed.0);
        (mean_at_once(&flight, span) / limit, keyed as f64 / over.as_secs_f64() / rate)
    }

    /// Waits until more than this share of both budgets was used over `over`; returns how long that took.
    fn wait_for_use(&self, share: f64, over: Duration) -> Duration {
        let since = Instant::now();
        loop {
            let used = self.used(over);
            if used.0 > share && used.1 > share {
                return since.elapsed();
            }
            if since.elapsed() > USE_TIMEOUT {
                self.unused.borrow_mut().push(format!(
                    "use {used:?} over {over:?} did not exceed {share} within {USE_TIMEOUT:?}"
                ));
                return since.elapsed();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Runs the schedule to the end of the run; returns how long that took, including all waits.
    fn run_schedule(
        &self,
        planner_processes: &mut [PlannerProcess],
        began: Instant,
        starts: &mut usize,
    ) -> io::Result<Duration> {
        // Total time of waits, by which all later steps are delayed.
        let mut waited = Duration::ZERO;
        let mut deferred: BinaryHeap<Reverse<(Duration, Deferred)>> = BinaryHeap::new();
        let mut steps = self.options.schedule.0.iter().peekable();
        loop {
            let step = steps.peek().map(|s| waited + Duration::from_millis(s.at_ms));
            let other = deferred.peek().map(|Reverse((at, _))| *at);
            let next = [step, other].into_iter().flatten().min().unwrap_or(Duration::MAX);
            let end = waited + self.options.span;
            std::thread::sleep(next.min(end).saturating_sub(began.elapsed()));
            if next >= end {
                break;
            }
            if step == Some(next) {
                let Some(step) = steps.next() else { continue };
                if let Fault::AwaitUse { share, over_ms } = step.what {
                    let took = self.wait_for_use(share, Duration::from_millis(over_ms));
                    self.waited.borrow_mut().push(took);
                    waited += took;
                    continue;
                }
                self.apply_step(&step.what, planner_processes, next, &mut deferred)?;
            } else if let Some(Reverse((_, what))) = deferred.pop() {
                match what {
                    Deferred::Start(at)
                        if planner_processes[at].stopping.as_ref().is_some_and(|s| !s.is_finished()) =>
                    {
                        deferred.push(Reverse((next + POLL_INTERVAL, Deferred::Start(at))));
                    }
                    Deferred::Start(at) if planner_processes[at].planner.is_none() => {
                        *starts += 1;
                        if let Some(stopping) = planner_processes[at].stopping.take() {
                            stopping
                                .join()
                                .map_err(|_| io::Error::other("the stopping thread panicked"))??;
                        }
                        self.controls[at].pause(false);
                        let file = (self.net, self.limit_in_flight());
                        planner_processes[at].start(self.program, self.options, file, self.addresses, at)?;
                    }
                    Deferred::Start(_) => {}
                    Deferred::Continue(at) => {
                        // The planner may have been killed meanwhile.
                        let _ = planner_processes[at].planner.as_ref().map(|p| p.signal("CONT"));
                    }
                }
            }
        }
        // Resumes all suspended planners, so that the CPU use of all can be read.
        planner_processes.iter().filter_map(|s| s.planner.as_ref()).for_each(|p| drop(p.signal("CONT")));
        Ok(waited + self.options.span)
    }

    fn apply_step(
        &self,
        what: &Fault,
        planner_processes: &mut [PlannerProcess],
        now: Duration,
        deferred: &mut BinaryHeap<Reverse<(Duration, Deferred)>>,
    ) -> io::Result<()> {
        let after = |ms: u64| now + Duration::from_millis(ms);
        match what {
            Fault::Weather { .. } | Fault::Part { .. } | Fault::Heal => self.net.apply(what),
            Fault::Kill { planner, again_ms } => {
                if planner_processes[*planner].planner.take().is_some() {
                    deferred.extend(again_ms.map(|ms| Reverse((after(ms), Deferred::Start(*planner)))));
                }
            }
            Fault::Term { planner, again_ms } => {
                if let Some(stopping) = planner_processes[*planner].planner.take() {
                    // A suspended process would not handle SIGTERM.
                    let _ = stopping.signal("CONT");
                    // Stops its load: the planner exits only after it has answered all requests, up to their
                    // deadline.
                    self.controls[*planner].pause(true);
                    let timeout = Duration::from_secs(12);
                    planner_processes[*planner].stopping =
                        Some(std::thread::spawn(move || stopping.stop(timeout)));
                    deferred.extend(again_ms.map(|ms| Reverse((after(ms), Deferred::Start(*planner)))));
                }
            }
            Fault::Stop { planner, for_ms } => {
                if let Some(planner) = &planner_processes[*planner].planner {
                    planner.signal("STOP")?;
                }
                deferred.push(Reverse((after(*for_ms), Deferred::Continue(*planner))));
            }
            Fault::Slow { node, for_ms } => {
                self.nodes[*node].act(Act::Pause(Duration::from_millis(*for_ms)));
            }
            Fault::Reset { node } => self.nodes[*node].act(Act::Reset),
            Fault::Lean { planner, share } => {
                let others = (self.options.planners - 1).max(1) as f64;
                for (at, control) in self.controls.iter().enumerate() {
                    let part = if at == *planner { *share } else { (1.0 - share) / others };
                    control.set(self.options.rate * part);
                }
            }
            Fault::InFlightLimit { units } => {
                self.limits_in_flight.borrow_mut().push((self.clock.at(Instant::now()), *units));
                for (me, process) in planner_processes.iter().enumerate() {
                    if let Some(planner) = &process.planner {
                        planner.reload(&operators_file(self.options, self.net, *units, me, process.peers))?;
                    }
                }
            }
            Fault::AwaitUse { .. } => {}
            Fault::Even => {
                self.controls
                    .iter()
                    .for_each(|control| control.set(self.options.rate / self.options.planners as f64));
            }
        }
        Ok(())
    }
}

/// The allowed number of jobs in flight for each period (from, to). A file that raises the limit applies at
/// once; one that lowers it applies once all leases under the old files have expired.
fn allowed_in(options: &Options, limits_in_flight: &[(Duration, u64)]) -> Vec<(Duration, Duration, u64)> {
    let lapse = Duration::from_millis(options.lease_ms + options.lease_ms / 50) + RELOAD_TIME;
    let (mut all, mut from, mut allowed) = (Vec::new(), Duration::ZERO, options.in_flight);
    for &(at, units) in limits_in_flight {
        let at = if units < allowed { at + lapse } else { at };
        all.push((from, at, allowed));
        (from, allowed) = (at, units);
    }
    all.push((from, Duration::MAX, allowed));
    all
}

/// The span from a stateless job's first offer at a machine to the end of its last attempt; the job is
/// certainly in flight then.
fn in_flight(attempts: &[Attempt]) -> Option<(Duration, Duration)> {
    attempts.first().filter(|a| a.class == "stateless")?;
    let ends =
        attempts.iter().map(|a| if a.ended_by_machine { a.until } else { a.until.saturating_sub(END_SLACK) });
    Some((attempts.iter().map(|a| a.from).min()?, ends.max()?))
}

/// The planner to which the job was sent.
fn planner_of(job: u64) -> usize {
    ((job >> 32) as usize).saturating_sub(1)
}

/// Checks the budgets against the machines' ledgers and the clients' logs.
fn judge(
    options: &Options,
    clock: &Clock,
    (began, until): (Duration, Duration),
    limits_in_flight: &[(Duration, u64)],
    ledgers: &[Ledger],
    logs: &[RequestRecord],
) -> Report {
    let mut verdict = Verdict::default();
    let jobs = attempts(ledgers, &mut verdict);
    let mut broken = verdict.broken;
    let mut flight: Spans = Vec::new();
    let mut of_planner: Vec<Spans> = vec![Vec::new(); options.planners];
    for (job, attempts) in &jobs {
        let Some(span) = in_flight(attempts) else { continue };
        flight.push(span);
        if let Some(own) = of_planner.get_mut(planner_of(*job)) {
            own.push(span);
        }
    }
    let mut most = 0;
    for (from, to, allowed) in allowed_in(options, limits_in_flight) {
        let part = flight.iter().map(|&(a, b)| (a.max(from), b.min(to))).filter(|(a, b)| a < b).collect();
        let (count_here, when) = most_at_once(&part);
        most = most.max(count_here);
        if count_here as u64 > allowed {
            broken.push(format!("{count_here} jobs in flight at {when:?}; {allowed} allowed"));
        }
    }
    // A keyed job was certainly admitted between the client's send and the first offer.
    let sent: BTreeMap<u64, Duration> = logs.iter().map(|a| (a.id, clock.at(a.sent))).collect();
    let mut keyed: Spans = Vec::new();
    let mut retries: Vec<Duration> = Vec::new();
    for (job, attempts) in &jobs {
        let Some(first) = attempts.first() else { continue };
        if let Some(sent) = sent.get(job).filter(|_| first.class == "keyed") {
            keyed.push((*sent, first.from.max(*sent)));
        }
        retries.extend(attempts.iter().skip(1).map(|a| a.from));
    }
    let window = worst_window(&keyed, options.keyed.0, options.keyed.1);
    if window > 1e-6 {
        broken.push(format!("{window:.1} keyed jobs over the rate in a window"));
    }
    retries.sort_unstable();
    let mut sends: Vec<Duration> = sent.values().copied().collect();
    sends.sort_unstable();
    let count = |all: &[Duration], from: Duration, until: Duration| {
        all.partition_point(|t| *t <= until) - all.partition_point(|t| *t < from)
    };
    for &at in &retries {
        let tries = count(&retries, at.saturating_sub(Duration::from_secs(RETRY_WINDOWS_S.0)), at);
        let first_attempts = count(&sends, at.saturating_sub(Duration::from_secs(RETRY_WINDOWS_S.1)), at);
        let allowed = options.retry.1 as f64 + options.retry.0 * first_attempts as f64;
        if tries as f64 > allowed {
            broken.push(format!("{tries} retries within 9 s at {at:?}; {allowed:.1} allowed"));
            break;
        }
    }
    let warm = began + Duration::from_millis(options.lease_ms + 1_500).min(options.span / 2);
    let placed = |from: Duration| keyed.iter().filter(|(_, at)| (from..until).contains(at)).count() as f64;
    let used = (
        mean_at_once(&flight, (warm, until)) / options.in_flight as f64,
        placed(warm) / until.saturating_sub(warm).as_secs_f64() / options.keyed.0,
    );
    let tenth = Duration::from_millis(100);
    let flight = (0..(until.saturating_sub(began).as_millis() / 100) as u32).map(|at| {
        let span = (began + tenth * at, began + tenth * (at + 1));
        (mean_at_once(&flight, span), of_planner.iter().map(|own| mean_at_once(own, span)).collect())
    });
    let mut ends = BTreeMap::new();
    logs.iter().for_each(|a| *ends.entry(a.end).or_default() += 1);
    let with_retry_time =
        logs.iter().filter(|a| a.end == End::TurnedAway && a.with_retry_time).count() as u64;
    let flight = flight.collect();
    let (sent_per_s, cpu_ms, starts, unused, waited) = ((0.0, 0.0), 0.0, 0, Vec::new(), Vec::new());
    Report {
        broken,
        unused,
        waited,
        ends,
        with_retry_time,
        most_in_flight: most,
        used,
        window,
        sent_per_s,
        cpu_ms,
        flight,
        starts,
    }
}
