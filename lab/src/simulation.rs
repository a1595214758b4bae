//! Deterministic simulation of a fleet's budgets under faults: the real budget state of up to hundreds of
//! planners ([`burlhook::decide::budgets`]) on one simulated clock and network, with the schedules of the
//! fault network. Each planner's own clock starts at a random time and runs fast or slow by up to the rate
//! error of the terms. After events the simulation compares the units in use, and the units that all planners
//! believe they may use, with the budget. The units in use are counted by the simulation itself; a planner's
//! own figure enters only the second check, where it can only make the sum larger.

use crate::net::{Fault, Schedule, Weather};
use burlhook::decide::budgets::{BudgetLedger, BudgetSpec, Kind, PeerMessage, Plan, Use};
use burlhook::decide::fleet::{Incarnation, Member, Micros, Terms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// Microseconds in a millisecond.
const MS: Micros = 1_000;
/// Count. Jobs that a planner starts at most per event.
const MAX_STARTS_PER_EVENT: u64 = 20;
/// Microseconds from a job's start to its deadline.
const JOB_TIMEOUT: Micros = 400 * MS;
/// Name of the limit in the operators' file to which the budgets belong.
const LIMIT_NAME: &str = "default";

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of planners.
    pub planners: usize,
    /// Number of voters; 0 if shares need no leases.
    pub voters: usize,
    /// Units of the fleet's budget for jobs in flight.
    pub budget: u64,
    /// Units of a rate budget, and the microseconds for which a job holds one; no rate budget if 0.
    pub rate: (u64, Micros),
    /// Duration and renewal of leases.
    pub terms: Terms,
    /// Faults of the run.
    pub schedule: Schedule,
    /// Range of the network delay until the schedule changes it.
    pub delay_ms: (u64, u64),
    /// Units that each planner could use at the start, by its index.
    pub demand: Vec<u64>,
    /// Interval in milliseconds at which half of the planners change their demand; never if 0.
    pub demand_change_ms: u64,
    /// Seed of the random generator.
    pub seed: u64,
}

impl Options {
    /// A fleet without faults.
    pub fn calm(planners: usize, budget: u64, demand: impl Fn(usize) -> u64) -> Options {
        Options {
            planners,
            voters: 3.min(planners),
            budget,
            rate: (0, 0),
            terms: TERMS,
            schedule: Schedule::default(),
            delay_ms: (1, 5),
            demand: (0..planners).map(demand).collect(),
            demand_change_ms: 0,
            seed: 7,
        }
    }
}

/// Terms for simulated fleets: leases of 2 s, clock rates within 1%, and half of each share usable without a
/// lease.
pub const TERMS: Terms =
    Terms { lease: 2_000 * MS, rate_error_ppm: 10_000, ask_every: 50 * MS, floor_permille: 500 };

/// A simulated event.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Messages(Member, Member, Incarnation, Vec<PeerMessage>),
    Tick(Member),
    JobEnded(Member, Incarnation, u64),
    Step(usize),
    Start(Member),
    Resume(Member, Incarnation),
    ChangeDemand,
}

struct Planner {
    budgets: Option<BudgetLedger>,
    /// The planner's own clock: microseconds per true second, and its value at the start.
    rate: u64,
    clock_offset: Micros,
    incarnation: Incarnation,
    demand: u64,
    /// Jobs in flight, and the budget units of each.
    uses: BTreeMap<u64, Use>,
    stopped: bool,
    deferred: Vec<Event>,
    ticks: bool,
}

/// A simulated fleet.
pub struct Simulation {
    /// Microseconds of true time since the start.
    pub now: Micros,
    rng: Pcg64Mcg,
    options: Options,
    weather: Weather,
    planners: Vec<Planner>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    jobs: u64,
    messages: u64,
    datagrams: u64,
    used: u64,
    taken: Vec<Vec<Micros>>,
    /// Unit-microseconds that were in use, and that could have been.
    in_use: u128,
    usable_sum: u128,
    /// Highest number of units in use at the same time.
    pub worst: u64,
    /// Description of the first broken budget.
    pub broken: Option<String>,
}

impl Simulation {
    /// A fleet whose planners all start within 50 ms.
    pub fn new(options: Options) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let off = options.terms.rate_error_ppm;
        let planner = |at: usize| Planner {
            budgets: None,
            rate: rng.gen_range(1_000_000 - off..=1_000_000 + off),
            clock_offset: rng.gen_range(0..1_000_000_000_000),
            incarnation: 0,
            demand: options.demand[at],
            uses: BTreeMap::new(),
            stopped: false,
            deferred: Vec::new(),
            ticks: false,
        };
        let planners: Vec<Planner> = (0..options.planners).map(planner).collect();
        let mut weather = Weather::without_faults(options.planners);
        weather.delay_ms = options.delay_ms;
        let taken = vec![Vec::new(); options.planners];
        let mut simulation = Simulation {
            now: 0,
            rng,
            weather,
            planners,
            events: BinaryHeap::new(),
            count: 0,
            jobs: 0,
            messages: 0,
            datagrams: 0,
            used: 0,
            taken,
            in_use: 0,
            usable_sum: 0,
            worst: 0,
            broken: None,
            options,
        };
        for at in 0..simulation.options.planners {
            let after = simulation.rng.gen_range(0..50 * MS);
            simulation.schedule_event(after, Event::Start(at as Member));
        }
        for (at, step) in simulation.options.schedule.0.clone().iter().enumerate() {
            simulation.schedule_event(step.at_ms * MS, Event::Step(at));
        }
        if simulation.options.demand_change_ms > 0 {
            simulation.schedule_event(simulation.options.demand_change_ms * MS, Event::ChangeDemand);
        }
        simulation
    }

    /// Schedules an event `after` microseconds of true time from now.
    fn schedule_event(&mut self, after: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count, event)));
    }

    /// The time by a planner's own clock.
    fn clock(&self, of: Member) -> Micros {
        let planner = &self.planners[usize::from(of)];
        planner.clock_offset + (u128::from(self.now) * u128::from(planner.rate) / 1_000_000) as Micros
    }

    /// True time, rounded up, in which a planner's clock advances by this span.
    fn span(&self, of: Member, own: Micros) -> Micros {
        (u128::from(own) * 1_000_000).div_ceil(u128::from(self.planners[usize::from(of)].rate)) as Micros
    }

    /// Sends messages, one datagram per receiver, through the simulated network.
    fn send(&mut self, from: Member, out: Vec<(Member, PeerMessage)>) {
        let incarnation = self.planners[usize::from(from)].incarnation;
        let mut by_member: BTreeMap<Member, Vec<PeerMessage>> = BTreeMap::new();
        out.into_iter().for_each(|(to, message)| by_member.entry(to).or_default().push(message));
        for (to, messages) in by_member {
            self.messages += messages.len() as u64;
            self.datagrams += 1;
            for delay in self.weather.draw_delays(&mut self.rng, usize::from(from), usize::from(to)) {
                self.schedule_event(
                    delay.as_micros() as Micros,
                    Event::Messages(from, to, incarnation, messages.clone()),
                );
            }
        }
    }

    /// Starts as many jobs as a planner's demand and budgets allow.
    fn start_jobs(&mut self, of: Member) {
        let clock = self.clock(of);
        let planner = &mut self.planners[usize::from(of)];
        let Some(budgets) = planner.budgets.as_mut() else { return };
        let (flight, rate) = (Kind::InFlight.id(LIMIT_NAME), Kind::Rate.id(LIMIT_NAME));
        let mut started = Vec::new();
        for _ in 0..MAX_STARTS_PER_EVENT.min(planner.demand.saturating_sub(planner.uses.len() as u64)) {
            if let Ok(Some(share)) = budgets.take(clock, flight, JOB_TIMEOUT) {
                self.jobs += 1;
                planner.uses.insert(self.jobs, share);
                started.push(self.jobs);
            }
        }
        if self.options.rate.0 > 0 && planner.demand > 0 {
            while matches!(budgets.take(clock, rate, 0), Ok(Some(_))) {
                self.taken[usize::from(of)].push(self.now);
            }
        }
        self.used += started.len() as u64;
        let incarnation = planner.incarnation;
        for job in started {
            // The job ends by itself before its deadline by the planner's clock.
            let lasting = self.rng.gen_range(5 * MS..JOB_TIMEOUT);
            let after = self.span(of, lasting);
            self.schedule_event(after, Event::JobEnded(of, incarnation, job));
        }
    }

    /// Runs a planner's periodic work.
    fn tick(&mut self, of: Member) {
        let clock = self.clock(of);
        let mut out = Vec::new();
        if let Some(budgets) = self.planners[usize::from(of)].budgets.as_mut() {
            budgets.tick(clock, &mut out);
        }
        self.send(of, out);
        self.start_jobs(of);
    }

    /// The budgets as the operators' file sets them.
    fn budget_specs(&self) -> Vec<BudgetSpec> {
        let one = |kind, budget, hold| BudgetSpec { place: Arc::from(LIMIT_NAME), kind, total: budget, hold };
        let mut all = vec![one(Kind::InFlight, self.options.budget, 0)];
        let (units, hold) = self.options.rate;
        if units > 0 {
            all.push(one(Kind::Rate, units, hold));
        }
        all
    }

    /// Ends a planner's process, which ends its jobs, and schedules its restart.
    fn stop_planner(&mut self, of: Member, again_ms: Option<u64>) {
        let planner = &mut self.planners[usize::from(of)];
        if planner.budgets.take().is_some() {
            // Its machines end its jobs when their connections break.
            self.used -= planner.uses.len() as u64;
            planner.uses.clear();
            planner.deferred.clear();
            planner.stopped = false;
            if let Some(ms) = again_ms {
                self.schedule_event(ms * MS, Event::Start(of));
            }
        }
    }

    /// Handles one event at the current time.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Messages(from, to, incarnation, ref messages) => {
                let clock = self.clock(to);
                let planner = &mut self.planners[usize::from(to)];
                if planner.stopped {
                    return planner.deferred.push(event);
                }
                let mut out = Vec::new();
                if let Some(budgets) = planner.budgets.as_mut() {
                    messages
                        .iter()
                        .for_each(|message| budgets.receive(clock, (from, incarnation), *message, &mut out));
                }
                self.send(to, out);
                self.start_jobs(to);
            }
            Event::Tick(of) => {
                if !self.planners[usize::from(of)].stopped {
                    self.tick(of);
                }
                self.schedule_event(self.options.terms.ask_every, event);
            }
            Event::JobEnded(of, incarnation, job) => {
                let clock = self.clock(of);
                let planner = &mut self.planners[usize::from(of)];
                // The machine ends the job in time even if the planner is suspended and receives the message
                // later.
                if planner.incarnation == incarnation {
                    if let Some(share) = planner.uses.remove(&job) {
                        self.used -= 1;
                        let stopped = planner.stopped;
                        if let Some(budgets) = planner.budgets.as_mut().filter(|_| !stopped) {
                            budgets.give_back(clock, share);
                            self.start_jobs(of);
                        }
                    }
                }
            }
            Event::Start(of) => {
                let (clock, incarnation, first) =
                    (self.clock(of), self.rng.gen(), !self.planners[usize::from(of)].ticks);
                let members = self.options.planners as Member;
                let voters = (0..self.options.voters as Member).collect();
                let plan = Plan { place: (of, members), voters, terms: self.options.terms };
                let mut budgets = BudgetLedger::new(&plan, incarnation, clock);
                budgets.set(clock, self.budget_specs());
                let planner = &mut self.planners[usize::from(of)];
                if planner.budgets.is_some() {
                    return;
                }
                (planner.budgets, planner.incarnation, planner.ticks) = (Some(budgets), incarnation, true);
                // Ticks continue across restarts, and are scheduled only at the first start.
                if first {
                    self.schedule_event(0, Event::Tick(of));
                }
            }
            Event::Resume(of, incarnation) => {
                let planner = &mut self.planners[usize::from(of)];
                if planner.incarnation == incarnation && planner.stopped {
                    planner.stopped = false;
                    for deferred in std::mem::take(&mut planner.deferred) {
                        self.handle_event(deferred);
                    }
                }
            }
            Event::ChangeDemand => {
                let n = self.planners.len();
                for _ in 0..n.div_ceil(2) {
                    let of = self.rng.gen_range(0..n);
                    self.planners[of].demand = [0, 3, 50, 1_000_000][self.rng.gen_range(0..4)];
                }
                self.schedule_event(self.options.demand_change_ms * MS, event);
            }
            Event::Step(at) => {
                let what = self.options.schedule.0[at].what.clone();
                match what {
                    Fault::Kill { planner, again_ms } => self.stop_planner(planner as Member, again_ms),
                    Fault::Term { planner, again_ms } => {
                        let of = planner as Member;
                        let clock = self.clock(of);
                        let mut out = Vec::new();
                        if let Some(budgets) = self.planners[planner].budgets.as_mut() {
                            budgets.leave();
                            budgets.tick(clock, &mut out);
                        }
                        self.send(of, out);
                        self.stop_planner(of, again_ms);
                    }
                    Fault::Stop { planner, for_ms } => {
                        self.planners[planner].stopped = self.planners[planner].budgets.is_some();
                        let incarnation = self.planners[planner].incarnation;
                        self.schedule_event(for_ms * MS, Event::Resume(planner as Member, incarnation));
                    }
                    Fault::Lean { planner, .. } => {
                        let lean = |(at, p): (usize, &mut Planner)| {
                            p.demand = if at == planner { 1_000_000 } else { 0 }
                        };
                        self.planners.iter_mut().enumerate().for_each(lean);
                    }
                    Fault::Even => self.planners.iter_mut().for_each(|p| p.demand = 1_000_000),
                    Fault::Slow { .. }
                    | Fault::Reset { .. }
                    | Fault::InFlightLimit { .. }
                    | Fault::AwaitUse { .. } => {}
                    other => self.weather.apply(&other),
                }
            }
        }
    }

    /// Simulates this span, or stops early when a budget is broken.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as Micros;
        // Summing over hundreds of planners after each event would take hours.
        let every = if self.planners.len() > 20 { 500 } else { 1 };
        while self.broken.is_none() && self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, number, event))) = self.events.pop() else { break };
            self.advance_to(at);
            self.handle_event(event);
            self.worst = self.worst.max(self.used);
            let (used, budget) = (self.used, self.options.budget);
            if used > budget {
                self.broken = Some(format!("{used} units in use, {budget} allowed, at {} us", self.now));
            }
            if number.is_multiple_of(every) {
                let usable = self.usable();
                if usable > budget {
                    self.broken =
                        Some(format!("{usable} units usable, {budget} allowed, at {} us", self.now));
                }
            }
        }
        self.advance_to(end);
        self.broken = self.broken.take().or_else(|| self.rate_violation());
    }

    /// Advances the clock and adds up the units in use until then.
    fn advance_to(&mut self, at: Micros) {
        let span = u128::from(at - self.now);
        let demand: u64 = self.planners.iter().filter(|p| p.budgets.is_some()).map(|p| p.demand).sum();
        self.in_use += u128::from(self.used) * span;
        self.usable_sum += u128::from(demand.min(self.options.budget)) * span;
        self.now = at;
    }

    /// Units that all planners together believe they may use now.
    pub fn usable(&self) -> u64 {
        let flight = Kind::InFlight.id(LIMIT_NAME);
        let usable = |(of, p): (usize, &Planner)| {
            p.budgets.as_ref().map_or(0, |budgets| budgets.usable(self.clock(of as Member), flight))
        };
        self.planners.iter().enumerate().map(usable).sum()
    }

    /// Describes the first window of the hold time in which more units of the rate were taken than it has.
    fn rate_violation(&self) -> Option<String> {
        let (units, hold) = self.options.rate;
        let mut all: Vec<Micros> = self.taken.iter().flatten().copied().collect();
        all.sort_unstable();
        let first = all.windows(units as usize + 1).find(|w| units > 0 && w[units as usize] - w[0] < hold)?;
        Some(format!("{} units of the rate taken within less than {hold} us at {} us", units + 1, first[0]))
    }

    /// Starts a new measurement: resets the sums of use, messages and rate units.
    pub fn measure(&mut self) {
        (self.in_use, self.usable_sum, self.messages, self.datagrams) = (0, 0, 0, 0);
        self.taken.iter_mut().for_each(Vec::clear);
    }

    /// Share of the usable units that was used, since the measurement began.
    pub fn share_used(&self) -> f64 {
        self.in_use as f64 / self.usable_sum.max(1) as f64
    }

    /// Units in use by each planner.
    pub fn in_use_by(&self) -> Vec<usize> {
        self.planners.iter().map(|p| p.uses.len()).collect()
    }

    /// Units in use now.
    pub fn in_use(&self) -> u64 {
        self.used
    }

    /// Units of the rate that were taken since the measurement began.
    pub fn taken(&self) -> usize {
        self.taken.iter().map(Vec::len).sum()
    }

    /// Messages and datagrams that were sent since the measurement began.
    pub fn sent(&self) -> (u64, u64) {
        (self.messages, self.datagrams)
    }

    /// Sets a planner's demand in units.
    pub fn set_demand(&mut self, planner: usize, units: u64) {
        self.planners[planner].demand = units;
    }

    /// Applies one fault now.
    pub fn apply_fault(&mut self, what: Fault) {
        let at = self.options.schedule.0.len();
        self.options.schedule = std::mem::take(&mut self.options.schedule).at(u64::MAX, what);
        self.handle_event(Event::Step(at));
    }
}

/// A fleet under drawn faults: its size, budgets, terms, demand and faults come from the seed.
pub fn random_options(seed: u64, planners: Option<usize>, seconds: u64) -> Options {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let planners = planners.unwrap_or_else(|| rng.gen_range(2..=9));
    let budget = rng.gen_range(1..=5 * planners as u64);
    let offset = rng.gen_range(0..4);
    let demand = |at: usize| [0, 3, 50, 1_000_000][(at + offset) % 4];
    let mut options = Options::calm(planners, budget, demand);
    options.voters = [0, 1, 3, 5][rng.gen_range(0..4)].min(planners);
    options.terms.floor_permille = [0, 300, 500, 1000][rng.gen_range(0..4)];
    options.rate = (rng.gen_range(1..=20), 700_000);
    options.schedule = Schedule::drawn(seed, planners, 1, Duration::from_secs(seconds));
    options.demand_change_ms = 1_000;
    options.seed = seed;
    options
}

/// Milliseconds until a condition holds, checked every 20 ms; `None` if it does not hold within `limit_s`
/// seconds.
fn until(simulation: &mut Simulation, limit_s: u64, is: impl Fn(&Simulation) -> bool) -> Option<u64> {
    let step = Duration::from_millis(20);
    (0..limit_s * 50)
        .find(|_| {
            simulation.run(step);
            is(simulation)
        })
        .map(|steps| (steps + 1) * 20)
}

/// Measures handovers in a fleet whose demand exceeds its budget: milliseconds until a killed planner's share
/// is in use elsewhere, and until the restarted planner has its own share again, for each seed.
pub fn handovers(planners: usize, terms: Terms, seeds: u64) -> Vec<(Option<u64>, Option<u64>)> {
    let each = |seed: u64| {
        let budget = 50 * planners as u64;
        let mut options = Options::calm(planners, budget, |_| 1_000);
        (options.seed, options.terms) = (seed, terms);
        let mut simulation = Simulation::new(options);
        simulation.run(Duration::from_micros(4 * terms.lease));
        let killed = (seed % planners as u64) as usize;
        let idle = 50 * terms.floor_permille / 1_000;
        simulation.apply_fault(Fault::Kill { planner: killed, again_ms: None });
        let full = (budget - idle) * 98 / 100;
        let used = until(&mut simulation, 60, |t| t.in_use() >= full);
        simulation.apply_fault(Fault::Even);
        simulation.start(killed);
        let restored = until(&mut simulation, 60, |t| t.in_use_by()[killed] >= 40);
        (used, restored)
    };
    (0..seeds).map(each).collect()
}

impl Simulation {
    /// Starts a planner that is down.
    pub fn start(&mut self, planner: usize) {
        self.schedule_event(0, Event::Start(planner as Member));
    }
}
