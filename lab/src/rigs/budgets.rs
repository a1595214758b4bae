//! Budgets of the whole fleet under faults: real planner processes behind the fault network, stand-in machines, a load at
//! each planner, and a schedule of faults. The judge has the machines' ledgers and the clients' logs alone.

use super::nodes;
use crate::audit::{attempts, Attempt, Verdict};
use crate::judge::{mean_at_once, most_at_once, worst_window, Spans};
use crate::load::{pour, Asked, End, Shape, Tap};
use crate::net::{Net, Passed, Schedule, What};
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

/// Milliseconds that a job may take in all: half of the lease at most.
const TOTAL_MS: u64 = 1_000;
/// What a machine's clock and a planner's may differ by where the planner's own word ended something: both travel.
const SLACK: Duration = Duration::from_millis(60);
/// Seconds over which further tries are held against first ones, less than the ten that planners count over.
const TRIES_S: (u64, u64) = (9, 12);

/// Far longer than a fleet takes to use its budgets on a busy machine: it only ends a run that would never go on.
const PATIENCE: Duration = Duration::from_secs(60);
/// So long all planners take to read their new files.
const RELOADED: Duration = Duration::from_millis(500);
/// Between two looks at a planner that stops, or at what is used.
const LOOK: Duration = Duration::from_millis(100);

/// How budgets are set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Divided by the fleet.
    Fleet,
    /// One limit a planner, an equal part each, as before there were fleets.
    Parts,
    /// The whole at each planner: what the judge must see as broken.
    Each,
}

/// What the rig does.
#[derive(Clone, Debug)]
pub struct Options {
    /// Planners, each a process of its own.
    pub planners: usize,
    /// Machines.
    pub nodes: usize,
    /// Asks a second over all planners.
    pub rate: f64,
    /// For how long.
    pub span: Duration,
    /// How budgets are set up.
    pub way: Way,
    /// Jobs in flight of the fleet.
    pub in_flight: u64,
    /// Keyed jobs a second of the fleet, and their burst.
    pub keyed: (f64, f64),
    /// Further tries for each first one, and those in ten seconds that nobody pays for.
    pub retry: (f64, u64),
    /// Milliseconds of a lease.
    pub lease_ms: u64,
    /// Of its part, what a planner may use without hearing anyone.
    pub floor: f64,
    /// Planners that vote; none where everything is floor.
    pub voters: usize,
    /// What befalls the fleet.
    pub schedule: Schedule,
    /// Seed of machines, load and network.
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

/// What came of it.
#[derive(Clone, Debug)]
pub struct Report {
    /// Broken budgets and rules, in words; none in a good run.
    pub broken: Vec<String>,
    /// Uses that the schedule waited for and that did not come, in words; none in a good run.
    pub unused: Vec<String>,
    /// How long the schedule waited for each use, in turn; all that follows came that much later.
    pub waited: Vec<Duration>,
    /// Asks by their end.
    pub ends: BTreeMap<End, u64>,
    /// Asks that were turned away and told when to come back.
    pub told_when: u64,
    /// The most jobs of the class that were in flight at once.
    pub most_in_flight: usize,
    /// Share of the jobs in flight that was used, and of the rate, from the first lease on to the end of the load.
    pub used: (f64, f64),
    /// The greatest excess over the rate in any window; not above 0 in a good run.
    pub window: f64,
    /// Datagrams and bytes a second that each planner sent, by the relay.
    pub said: (f64, f64),
    /// CPU milliseconds of all planners that ran to the end for each thousand asks.
    pub cpu_ms: f64,
    /// In flight by tenths of a second over the run: in all, and by planner.
    pub flight: Vec<(f64, Vec<f64>)>,
    /// Planners that were started.
    pub starts: usize,
}

impl Report {
    /// The report as one JSON object.
    pub fn json(&self) -> serde_json::Value {
        let ends: serde_json::Map<String, serde_json::Value> =
            self.ends.iter().map(|(end, count)| (format!("{end:?}"), json!(count))).collect();
        json!({"broken": self.broken, "unused": self.unused, "ends": ends, "toldWhen": self.told_when,
            "mostInFlight": self.most_in_flight, "usedInFlight": self.used.0, "usedRate": self.used.1, "worstWindow": self.window,
            "datagramsPerS": self.said.0, "bytesPerS": self.said.1, "cpuMsPerThousand": self.cpu_ms,
            "starts": self.starts})
    }
}

fn name(planner: usize) -> String {
    format!("p{planner}")
}

/// The operators' file of a planner.
fn file(options: &Options, net: &Net, in_flight: u64, me: usize, listen: SocketAddr) -> String {
    let n = options.planners;
    let shares = match options.way {
        Way::Fleet | Way::Each => 1.0,
        Way::Parts => 1.0 / n as f64,
    };
    let scope = if options.way == Way::Fleet { ", scope: \"fleet\"" } else { "" };
    let whole = |count: u64| ((count as f64 * shares).floor() as u64).max(1);
    let limits = format!(
        "limits: {{ default: {{ totalMs: {TOTAL_MS}, attempts: 4, retryBudget: {}, retryFloor: {}{scope} }}, classes: {{ \
         stateless: {{ inFlight: {}{scope} }}, keyed: {{ ratePerS: {}, burst: {}{scope} }} }} }}",
        options.retry.0,
        (options.retry.1 as f64 * shares).floor(),
        whole(in_flight),
        options.keyed.0 * shares,
        (options.keyed.1 * shares).max(1.0),
    );
    if options.way != Way::Fleet {
        return format!("{{ {limits} }}");
    }
    let planner = |at: usize| {
        // Its own entry is never used.
        let address = if at == me { listen } else { net.address(me, at) };
        json!({"name": name(at), "address": address.to_string()})
    };
    let planners: Vec<serde_json::Value> = (0..n).map(planner).collect();
    let mut fleet = json!({"name": "lab", "own": name(me), "listen": listen.to_string(), "planners": planners,
        "leaseMs": options.lease_ms, "floorShare": options.floor});
    if options.voters > 0 {
        fleet["voters"] = (0..options.voters.min(n)).map(name).collect();
    }
    format!("{{ fleet: {fleet}, {limits} }}")
}

/// A planner's process and what it is started with.
struct Seat {
    planner: Option<Planner>,
    owners: SocketAddr,
    peers: SocketAddr,
    /// One that was told to stop and has not yet.
    stopping: Option<std::thread::JoinHandle<io::Result<()>>>,
}

impl Seat {
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
        let planner = Planner::start(program, &config, Some(&file(options, net, in_flight, me, self.peers)))?;
        net.target(me, self.peers);
        self.planner = Some(planner);
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Later {
    Start(usize),
    Continue(usize),
}

/// Runs it.
///
/// # Errors
/// If a part of it cannot be started or reached.
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
    let seat = |_| Ok(Seat { planner: None, owners: address()?, peers: address()?, stopping: None });
    let mut seats = (0..options.planners).map(seat).collect::<io::Result<Vec<Seat>>>()?;
    for (me, seat) in seats.iter_mut().enumerate() {
        seat.start(program, options, (&net, options.in_flight), &addresses, me)?;
    }
    let taps: Vec<Tap> = (0..options.planners).map(|_| Tap::default()).collect();
    let even = || taps.iter().for_each(|tap| tap.set(options.rate / options.planners as f64));
    even();
    let shape = |at: usize| Shape {
        rate: 0.0,
        span: Duration::ZERO,
        rest: 0.0,
        keyed: 0.4,
        deadline: Duration::from_millis(TOTAL_MS),
        services: (0..8).map(|n| format!("search-{n}")).collect(),
        seed: options.seed.wrapping_add(at as u64),
        room: (0.25, 0.5),
        patience: Duration::from_millis(1_500),
        ids_after: (at as u64 + 1) << 32,
        hear_on: Duration::ZERO,
    };
    let began = Instant::now();
    let mut starts = options.planners;
    let (logs, used, span, world) = std::thread::scope(|scope| -> io::Result<_> {
        let pours: Vec<_> = taps
            .iter()
            .enumerate()
            .map(|(at, tap)| {
                let (shape, to) = (shape(at), seats[at].owners);
                scope.spawn(move || pour(&shape, to, tap))
            })
            .collect();
        let wholes = RefCell::new(vec![(clock.at(began), options.in_flight)]);
        let world = World {
            program,
            options,
            net: &net,
            nodes: &nodes,
            addresses: &addresses,
            taps: &taps,
            clock,
            wholes,
            unused: RefCell::default(),
            waited: RefCell::default(),
        };
        let played = world.play(&mut seats, began, &mut starts);
        let used: Vec<u64> =
            seats.iter().filter_map(|s| Some(s.planner.as_ref()?.used().cpu_ticks)).collect();
        taps.iter().for_each(Tap::shut);
        let mut logs = Vec::new();
        for pour in pours {
            logs.push(pour.join().map_err(|_| io::Error::other("a load broke off"))??);
        }
        let span = played?;
        Ok((logs, used, span, world))
    })?;
    let until = clock.at(began + span);
    let ledgers: Vec<Ledger> = nodes.iter().map(Node::ledger).collect();
    let twice: u64 = logs.iter().map(|(_, twice)| twice).sum();
    let logs: Vec<Asked> = logs.into_iter().flat_map(|(log, _)| log).collect();
    let mut report =
        judge(options, &clock, (clock.at(began), until), &world.wholes.borrow(), &ledgers, &logs);
    (report.unused, report.waited) = (world.unused.take(), world.waited.take());
    if twice > 0 {
        report.broken.push(format!("{twice} second final answers"));
    }
    let ms: u64 = used.iter().sum::<u64>() * 10;
    report.cpu_ms = ms as f64 * 1e3 / logs.len().max(1) as f64;
    let passed = net.counts();
    let each = |of: fn(&Passed) -> u64| {
        passed.iter().map(of).sum::<u64>() as f64 / options.planners as f64 / span.as_secs_f64()
    };
    report.said = (each(|p| p.came), each(|p| p.bytes));
    report.starts = starts;
    Ok(report)
}

struct World<'a> {
    program: &'a Program,
    options: &'a Options,
    net: &'a Net,
    nodes: &'a [Node],
    addresses: &'a [SocketAddr],
    taps: &'a [Tap],
    clock: Clock,
    /// Jobs in flight by the files, each with when they were written.
    wholes: RefCell<Vec<(Duration, u64)>>,
    unused: RefCell<Vec<String>>,
    waited: RefCell<Vec<Duration>>,
}

impl World<'_> {
    /// Jobs in flight by the files in force.
    fn whole(&self) -> u64 {
        self.wholes.borrow().last().map_or(self.options.in_flight, |(_, units)| *units)
    }

    /// Shares of the jobs in flight and of the rate that were used over so long.
    fn used(&self, over: Duration) -> (f64, f64) {
        let until = self.clock.at(Instant::now());
        let span = (until.saturating_sub(over), until);
        let ledgers: Vec<Ledger> = self.nodes.iter().map(Node::ledger).collect();
        let jobs = attempts(&ledgers, &mut Verdict::default());
        let flight = jobs.values().filter_map(|a| in_flight(a)).collect();
        let first = |a: &Vec<Attempt>| a.first().filter(|a| a.class == "keyed").map(|a| a.from);
        let keyed = jobs.values().filter_map(first).filter(|at| (span.0..until).contains(at)).count();
        let (whole, rate) = (self.whole() as f64, self.options.keyed.0);
        (mean_at_once(&flight, span) / whole, keyed as f64 / over.as_secs_f64() / rate)
    }

    /// Waits until both budgets were used to more than that share over so long; tells how long.
    fn wait_for_use(&self, share: f64, over: Duration) -> Duration {
        let since = Instant::now();
        loop {
            let used = self.used(over);
            if used.0 > share && used.1 > share {
                return since.elapsed();
            }
            if since.elapsed() > PATIENCE {
                self.unused.borrow_mut().push(format!(
                    "{used:?} of the budgets was used over {over:?}, {PATIENCE:?} after more than {share} was due"
                ));
                return since.elapsed();
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Plays the schedule to the end of the run; tells how long that took with all that was waited for.
    fn play(&self, seats: &mut [Seat], began: Instant, starts: &mut usize) -> io::Result<Duration> {
        // What is waited for puts off all later steps.
        let mut waited = Duration::ZERO;
        let mut later: BinaryHeap<Reverse<(Duration, Later)>> = BinaryHeap::new();
        let mut steps = self.options.schedule.0.iter().peekable();
        loop {
            let step = steps.peek().map(|s| waited + Duration::from_millis(s.at_ms));
            let other = later.peek().map(|Reverse((at, _))| *at);
            let next = [step, other].into_iter().flatten().min().unwrap_or(Duration::MAX);
            let end = waited + self.options.span;
            std::thread::sleep(next.min(end).saturating_sub(began.elapsed()));
            if next >= end {
                break;
            }
            if step == Some(next) {
                let Some(step) = steps.next() else { continue };
                if let What::Used { share, over_ms } = step.what {
                    let took = self.wait_for_use(share, Duration::from_millis(over_ms));
                    self.waited.borrow_mut().push(took);
                    waited += took;
                    continue;
                }
                self.act(&step.what, seats, next, &mut later)?;
            } else if let Some(Reverse((_, what))) = later.pop() {
                match what {
                    Later::Start(at) if seats[at].stopping.as_ref().is_some_and(|s| !s.is_finished()) => {
                        later.push(Reverse((next + LOOK, Later::Start(at))));
                    }
                    Later::Start(at) if seats[at].planner.is_none() => {
                        *starts += 1;
                        if let Some(stopping) = seats[at].stopping.take() {
                            stopping.join().map_err(|_| io::Error::other("nobody waited for a stop"))??;
                        }
                        self.taps[at].hold(false);
                        let file = (self.net, self.whole());
                        seats[at].start(self.program, self.options, file, self.addresses, at)?;
                    }
                    Later::Start(_) => {}
                    Later::Continue(at) => {
                        // It may have been killed meanwhile.
                        let _ = seats[at].planner.as_ref().map(|p| p.signal("CONT"));
                    }
                }
            }
        }
        // Whoever is stopped still goes on, so that all can be asked what they used.
        seats.iter().filter_map(|s| s.planner.as_ref()).for_each(|p| drop(p.signal("CONT")));
        Ok(waited + self.options.span)
    }

    fn act(
        &self,
        what: &What,
        seats: &mut [Seat],
        now: Duration,
        later: &mut BinaryHeap<Reverse<(Duration, Later)>>,
    ) -> io::Result<()> {
        let after = |ms: u64| now + Duration::from_millis(ms);
        match what {
            What::Weather { .. } | What::Part { .. } | What::Heal => self.net.take(what),
            What::Kill { planner, again_ms } => {
                if seats[*planner].planner.take().is_some() {
                    later.extend(again_ms.map(|ms| Reverse((after(ms), Later::Start(*planner)))));
                }
            }
            What::Term { planner, again_ms } => {
                if let Some(stopping) = seats[*planner].planner.take() {
                    // One that is stopped cannot heed it.
                    let _ = stopping.signal("CONT");
                    // Its clients go elsewhere, or it would have to answer them to its longest deadline.
                    self.taps[*planner].hold(true);
                    let patience = Duration::from_secs(12);
                    seats[*planner].stopping = Some(std::thread::spawn(move || stopping.stop(patience)));
                    later.extend(again_ms.map(|ms| Reverse((after(ms), Later::Start(*planner)))));
                }
            }
            What::Stop { planner, for_ms } => {
                if let Some(planner) = &seats[*planner].planner {
                    planner.signal("STOP")?;
                }
                later.push(Reverse((after(*for_ms), Later::Continue(*planner))));
            }
            What::Slow { node, for_ms } => {
                self.nodes[*node].act(Act::Pause(Duration::from_millis(*for_ms)));
            }
            What::Reset { node } => self.nodes[*node].act(Act::Reset),
            What::Lean { planner, share } => {
                let others = (self.options.planners - 1).max(1) as f64;
                for (at, tap) in self.taps.iter().enumerate() {
                    let part = if at == *planner { *share } else { (1.0 - share) / others };
                    tap.set(self.options.rate * part);
                }
            }
            What::Whole { units } => {
                self.wholes.borrow_mut().push((self.clock.at(Instant::now()), *units));
                for (me, seat) in seats.iter().enumerate() {
                    if let Some(planner) = &seat.planner {
                        planner.reload(&file(self.options, self.net, *units, me, seat.peers))?;
                    }
                }
            }
            What::Used { .. } => {}
            What::Even => {
                self.taps.iter().for_each(|tap| tap.set(self.options.rate / self.options.planners as f64));
            }
        }
        Ok(())
    }
}

/// The jobs in flight that are allowed from when to when: a file that raises them holds at once, one that lowers them once
/// all that was held by the old ones has lapsed.
fn allowed_in(options: &Options, wholes: &[(Duration, u64)]) -> Vec<(Duration, Duration, u64)> {
    let lapse = Duration::from_millis(options.lease_ms + options.lease_ms / 50) + RELOADED;
    let (mut all, mut from, mut allowed) = (Vec::new(), Duration::ZERO, options.in_flight);
    for &(at, units) in wholes {
        let at = if units < allowed { at + lapse } else { at };
        all.push((from, at, allowed));
        (from, allowed) = (at, units);
    }
    all.push((from, Duration::MAX, allowed));
    all
}

/// From the first offer of a stateless job that came to a machine to the end of its last: it is in flight for certain.
fn in_flight(attempts: &[Attempt]) -> Option<(Duration, Duration)> {
    attempts.first().filter(|a| a.class == "stateless")?;
    let ends = attempts.iter().map(|a| if a.by_word { a.until } else { a.until.saturating_sub(SLACK) });
    Some((attempts.iter().map(|a| a.from).min()?, ends.max()?))
}

/// The planner whose client made an ask.
fn planner_of(job: u64) -> usize {
    ((job >> 32) as usize).saturating_sub(1)
}

/// Holds what machines and clients saw against the budgets.
fn judge(
    options: &Options,
    clock: &Clock,
    (began, until): (Duration, Duration),
    wholes: &[(Duration, u64)],
    ledgers: &[Ledger],
    logs: &[Asked],
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
    for (from, to, allowed) in allowed_in(options, wholes) {
        let part = flight.iter().map(|&(a, b)| (a.max(from), b.min(to))).filter(|(a, b)| a < b).collect();
        let (here, when) = most_at_once(&part);
        most = most.max(here);
        if here as u64 > allowed {
            broken.push(format!("{here} jobs in flight at {when:?}; {allowed} are allowed"));
        }
    }
    // Taken in for certain between what its client sent and the first offer.
    let sent: BTreeMap<u64, Duration> = logs.iter().map(|a| (a.id, clock.at(a.sent))).collect();
    let mut keyed: Spans = Vec::new();
    let mut further: Vec<Duration> = Vec::new();
    for (job, attempts) in &jobs {
        let Some(first) = attempts.first() else { continue };
        if let Some(sent) = sent.get(job).filter(|_| first.class == "keyed") {
            keyed.push((*sent, first.from.max(*sent)));
        }
        further.extend(attempts.iter().skip(1).map(|a| a.from));
    }
    let window = worst_window(&keyed, options.keyed.0, options.keyed.1);
    if window > 1e-6 {
        broken.push(format!("{window:.1} keyed jobs too many in a window"));
    }
    further.sort_unstable();
    let mut sends: Vec<Duration> = sent.values().copied().collect();
    sends.sort_unstable();
    let count = |all: &[Duration], from: Duration, until: Duration| {
        all.partition_point(|t| *t <= until) - all.partition_point(|t| *t < from)
    };
    for &at in &further {
        let tries = count(&further, at.saturating_sub(Duration::from_secs(TRIES_S.0)), at);
        let firsts = count(&sends, at.saturating_sub(Duration::from_secs(TRIES_S.1)), at);
        let allowed = options.retry.1 as f64 + options.retry.0 * firsts as f64;
        if tries as f64 > allowed {
            broken.push(format!("{tries} further tries within 9 s at {at:?}; {allowed:.1} are allowed"));
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
    let told_when = logs.iter().filter(|a| a.end == End::TurnedAway && a.told_when).count() as u64;
    let flight = flight.collect();
    let (said, cpu_ms, starts, unused, waited) = ((0.0, 0.0), 0.0, 0, Vec::new(), Vec::new());
    Report {
        broken,
        unused,
        waited,
        ends,
        told_when,
        most_in_flight: most,
        used,
        window,
        said,
        cpu_ms,
        flight,
        starts,
    }
}
