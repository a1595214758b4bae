//! The simulated twin of a fleet under faults: the real books of up to hundreds of planners ([`burlhook::decide::budgets`]) on
//! one simulated clock and network, with the schedules of the fault network. Each planner's own clock begins anywhere and
//! runs fast or slow by up to the rate error of the terms. After each event the judge adds up what is in use, and what could
//! be; what a planner says of itself is believed only where it makes the sum larger.

use crate::net::{Schedule, Weather, What};
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
/// Count. Asks of a planner in one look.
const AT_ONCE: u64 = 20;
/// Microseconds from an ask to the deadline of its job.
const TOTAL: Micros = 400 * MS;
/// The place in the operators' file.
const PLACE: &str = "default";

/// What the twin plays.
#[derive(Clone, Debug)]
pub struct Options {
    /// Planners.
    pub planners: usize,
    /// Planners that vote; none where everything is floor.
    pub voters: usize,
    /// Units of the budget of jobs in flight.
    pub whole: u64,
    /// Units of a rate, and the microseconds for which a job holds one; none of it where nought.
    pub rate: (u64, Micros),
    /// How leases run.
    pub terms: Terms,
    /// What befalls the fleet.
    pub schedule: Schedule,
    /// How it travels where the schedule says nothing.
    pub delay_ms: (u64, u64),
    /// Units that each planner could use at the beginning, by its number.
    pub wants: Vec<u64>,
    /// Every so many milliseconds half of the planners come to need more or less; never where nought.
    pub turn_ms: u64,
    /// Seed of all that is drawn.
    pub seed: u64,
}

impl Options {
    /// A fleet without faults.
    pub fn calm(planners: usize, whole: u64, wants: impl Fn(usize) -> u64) -> Options {
        Options {
            planners,
            voters: 3.min(planners),
            whole,
            rate: (0, 0),
            terms: TERMS,
            schedule: Schedule::default(),
            delay_ms: (1, 5),
            wants: (0..planners).map(wants).collect(),
            turn_ms: 0,
            seed: 7,
        }
    }
}

/// Terms for fleets in simulations: a lease of 2 s, clocks within a hundredth, half of each part a floor.
pub const TERMS: Terms =
    Terms { lease: 2_000 * MS, rate_error_ppm: 10_000, ask_every: 50 * MS, floor_permille: 500 };

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Words(Member, Member, Incarnation, Vec<PeerMessage>),
    Tick(Member),
    Over(Member, Incarnation, u64),
    Step(usize),
    Start(Member),
    Wake(Member, Incarnation),
    Turn,
}

struct Planner {
    books: Option<BudgetLedger>,
    /// Its clock: parts of a million of true time, and where it began.
    rate: u64,
    began: Micros,
    life: Incarnation,
    wants: u64,
    /// Jobs in flight, and the use of each.
    uses: BTreeMap<u64, Use>,
    stopped: bool,
    late: Vec<Due>,
    ticks: bool,
}

/// A fleet in simulation.
pub struct Twin {
    /// Microseconds of true time since its beginning.
    pub now: Micros,
    rng: Pcg64Mcg,
    options: Options,
    weather: Weather,
    planners: Vec<Planner>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    count: u64,
    jobs: u64,
    words: u64,
    datagrams: u64,
    used: u64,
    taken: Vec<Vec<Micros>>,
    /// Unit-microseconds in use, and in which they could have been.
    in_use: u128,
    could: u128,
    /// The most in use at once.
    pub worst: u64,
    /// What broke a budget, in words.
    pub broken: Option<String>,
}

impl Twin {
    /// A fleet whose planners all start within a moment.
    pub fn new(options: Options) -> Twin {
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let off = options.terms.rate_error_ppm;
        let planner = |at: usize| Planner {
            books: None,
            rate: rng.gen_range(1_000_000 - off..=1_000_000 + off),
            began: rng.gen_range(0..1_000_000_000_000),
            life: 0,
            wants: options.wants[at],
            uses: BTreeMap::new(),
            stopped: false,
            late: Vec::new(),
            ticks: false,
        };
        let planners: Vec<Planner> = (0..options.planners).map(planner).collect();
        let mut weather = Weather::fine(options.planners);
        weather.delay_ms = options.delay_ms;
        let taken = vec![Vec::new(); options.planners];
        let mut twin = Twin {
            now: 0,
            rng,
            weather,
            planners,
            due: BinaryHeap::new(),
            count: 0,
            jobs: 0,
            words: 0,
            datagrams: 0,
            used: 0,
            taken,
            in_use: 0,
            could: 0,
            worst: 0,
            broken: None,
            options,
        };
        for at in 0..twin.options.planners {
            let after = twin.rng.gen_range(0..50 * MS);
            twin.at(after, Due::Start(at as Member));
        }
        for (at, step) in twin.options.schedule.0.clone().iter().enumerate() {
            twin.at(step.at_ms * MS, Due::Step(at));
        }
        if twin.options.turn_ms > 0 {
            twin.at(twin.options.turn_ms * MS, Due::Turn);
        }
        twin
    }

    fn at(&mut self, after: Micros, due: Due) {
        self.count += 1;
        self.due.push(Reverse((self.now + after, self.count, due)));
    }

    /// A planner's own time.
    fn clock(&self, of: Member) -> Micros {
        let planner = &self.planners[usize::from(of)];
        planner.began + (u128::from(self.now) * u128::from(planner.rate) / 1_000_000) as Micros
    }

    /// True time that such a span of a planner's clock takes, to its end.
    fn span(&self, of: Member, own: Micros) -> Micros {
        (u128::from(own) * 1_000_000).div_ceil(u128::from(self.planners[usize::from(of)].rate)) as Micros
    }

    fn say(&mut self, from: Member, out: Vec<(Member, PeerMessage)>) {
        let life = self.planners[usize::from(from)].life;
        let mut by_member: BTreeMap<Member, Vec<PeerMessage>> = BTreeMap::new();
        out.into_iter().for_each(|(to, word)| by_member.entry(to).or_default().push(word));
        for (to, words) in by_member {
            self.words += words.len() as u64;
            self.datagrams += 1;
            for way in self.weather.ways(&mut self.rng, usize::from(from), usize::from(to)) {
                self.at(way.as_micros() as Micros, Due::Words(from, to, life, words.clone()));
            }
        }
    }

    /// What a planner does when it has its turn: asks for jobs that it could take, and what is due.
    fn act(&mut self, of: Member) {
        let clock = self.clock(of);
        let planner = &mut self.planners[usize::from(of)];
        let Some(books) = planner.books.as_mut() else { return };
        let (flight, rate) = (Kind::InFlight.id(PLACE), Kind::Rate.id(PLACE));
        let mut started = Vec::new();
        for _ in 0..AT_ONCE.min(planner.wants.saturating_sub(planner.uses.len() as u64)) {
            if let Ok(Some(share)) = books.take(clock, flight, TOTAL) {
                self.jobs += 1;
                planner.uses.insert(self.jobs, share);
                started.push(self.jobs);
            }
        }
        if self.options.rate.0 > 0 && planner.wants > 0 {
            while matches!(books.take(clock, rate, 0), Ok(Some(_))) {
                self.taken[usize::from(of)].push(self.now);
            }
        }
        self.used += started.len() as u64;
        let life = planner.life;
        for job in started {
            // It ends by itself before its deadline, by its planner's clock.
            let lasting = self.rng.gen_range(5 * MS..TOTAL);
            let after = self.span(of, lasting);
            self.at(after, Due::Over(of, life, job));
        }
    }

    fn tick(&mut self, of: Member) {
        let clock = self.clock(of);
        let mut out = Vec::new();
        if let Some(books) = self.planners[usize::from(of)].books.as_mut() {
            books.tick(clock, &mut out);
        }
        self.say(of, out);
        self.act(of);
    }

    fn wanted(&self) -> Vec<BudgetSpec> {
        let one = |kind, whole, hold| BudgetSpec { place: Arc::from(PLACE), kind, total: whole, hold };
        let mut all = vec![one(Kind::InFlight, self.options.whole, 0)];
        let (units, hold) = self.options.rate;
        if units > 0 {
            all.push(one(Kind::Rate, units, hold));
        }
        all
    }

    fn end(&mut self, of: Member, again_ms: Option<u64>) {
        let planner = &mut self.planners[usize::from(of)];
        if planner.books.take().is_some() {
            // Its machines hear its connections break.
            self.used -= planner.uses.len() as u64;
            planner.uses.clear();
            planner.late.clear();
            planner.stopped = false;
            if let Some(ms) = again_ms {
                self.at(ms * MS, Due::Start(of));
            }
        }
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Words(from, to, life, ref words) => {
                let clock = self.clock(to);
                let planner = &mut self.planners[usize::from(to)];
                if planner.stopped {
                    return planner.late.push(due);
                }
                let mut out = Vec::new();
                if let Some(books) = planner.books.as_mut() {
                    words.iter().for_each(|word| books.hear(clock, (from, life), *word, &mut out));
                }
                self.say(to, out);
                self.act(to);
            }
            Due::Tick(of) => {
                if !self.planners[usize::from(of)].stopped {
                    self.tick(of);
                }
                self.at(self.options.terms.ask_every, due);
            }
            Due::Over(of, life, job) => {
                let clock = self.clock(of);
                let planner = &mut self.planners[usize::from(of)];
                // A machine ends what it was given in time, also where the planner is stopped and hears of it later.
                if planner.life == life {
                    if let Some(share) = planner.uses.remove(&job) {
                        self.used -= 1;
                        let stopped = planner.stopped;
                        if let Some(books) = planner.books.as_mut().filter(|_| !stopped) {
                            books.give_back(clock, share);
                            self.act(of);
                        }
                    }
                }
            }
            Due::Start(of) => {
                let (clock, life, first) =
                    (self.clock(of), self.rng.gen(), !self.planners[usize::from(of)].ticks);
                let members = self.options.planners as Member;
                let voters = (0..self.options.voters as Member).collect();
                let plan = Plan { place: (of, members), voters, terms: self.options.terms };
                let mut books = BudgetLedger::new(&plan, life, clock);
                books.set(clock, self.wanted());
                let planner = &mut self.planners[usize::from(of)];
                if planner.books.is_some() {
                    return;
                }
                (planner.books, planner.life, planner.ticks) = (Some(books), life, true);
                // Its ticks go on over all its lives.
                if first {
                    self.at(0, Due::Tick(of));
                }
            }
            Due::Wake(of, life) => {
                let planner = &mut self.planners[usize::from(of)];
                if planner.life == life && planner.stopped {
                    planner.stopped = false;
                    for late in std::mem::take(&mut planner.late) {
                        self.step(late);
                    }
                }
            }
            Due::Turn => {
                let n = self.planners.len();
                for _ in 0..n.div_ceil(2) {
                    let of = self.rng.gen_range(0..n);
                    self.planners[of].wants = [0, 3, 50, 1_000_000][self.rng.gen_range(0..4)];
                }
                self.at(self.options.turn_ms * MS, due);
            }
            Due::Step(at) => {
                let what = self.options.schedule.0[at].what.clone();
                match what {
                    What::Kill { planner, again_ms } => self.end(planner as Member, again_ms),
                    What::Term { planner, again_ms } => {
                        let of = planner as Member;
                        let clock = self.clock(of);
                        let mut out = Vec::new();
                        if let Some(books) = self.planners[planner].books.as_mut() {
                            books.leave();
                            books.tick(clock, &mut out);
                        }
                        self.say(of, out);
                        self.end(of, again_ms);
                    }
                    What::Stop { planner, for_ms } => {
                        self.planners[planner].stopped = self.planners[planner].books.is_some();
                        let life = self.planners[planner].life;
                        self.at(for_ms * MS, Due::Wake(planner as Member, life));
                    }
                    What::Lean { planner, .. } => {
                        let lean = |(at, p): (usize, &mut Planner)| {
                            p.wants = if at == planner { 1_000_000 } else { 0 }
                        };
                        self.planners.iter_mut().enumerate().for_each(lean);
                    }
                    What::Even => self.planners.iter_mut().for_each(|p| p.wants = 1_000_000),
                    What::Slow { .. } | What::Reset { .. } | What::Whole { .. } | What::Used { .. } => {}
                    other => self.weather.take(&other),
                }
            }
        }
    }

    /// Runs on for so long, or until a budget is broken.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as Micros;
        // Adding up hundreds after each of their words would take hours.
        let every = if self.planners.len() > 20 { 500 } else { 1 };
        while self.broken.is_none() && self.due.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, number, due))) = self.due.pop() else { break };
            self.pass(at);
            self.step(due);
            self.worst = self.worst.max(self.used);
            let (used, whole) = (self.used, self.options.whole);
            if used > whole {
                self.broken = Some(format!("{used} of {whole} are in use at {} us", self.now));
            }
            if number.is_multiple_of(every) {
                let usable = self.usable();
                if usable > whole {
                    self.broken = Some(format!("{usable} of {whole} could be in use at {} us", self.now));
                }
            }
        }
        self.pass(end);
        self.broken = self.broken.take().or_else(|| self.too_fast());
    }

    fn pass(&mut self, at: Micros) {
        let span = u128::from(at - self.now);
        let wants: u64 = self.planners.iter().filter(|p| p.books.is_some()).map(|p| p.wants).sum();
        self.in_use += u128::from(self.used) * span;
        self.could += u128::from(wants.min(self.options.whole)) * span;
        self.now = at;
    }

    /// Units that could be in use now by what all planners count on.
    pub fn usable(&self) -> u64 {
        let flight = Kind::InFlight.id(PLACE);
        let usable = |(of, p): (usize, &Planner)| {
            p.books.as_ref().map_or(0, |books| books.usable(self.clock(of as Member), flight))
        };
        self.planners.iter().enumerate().map(usable).sum()
    }

    /// Whether more was taken of the rate than its units in any span for which one is held.
    fn too_fast(&self) -> Option<String> {
        let (units, hold) = self.options.rate;
        let mut all: Vec<Micros> = self.taken.iter().flatten().copied().collect();
        all.sort_unstable();
        let first = all.windows(units as usize + 1).find(|w| units > 0 && w[units as usize] - w[0] < hold)?;
        Some(format!("{} of the rate within less than {hold} us at {} us", units + 1, first[0]))
    }

    /// Forgets what was used so far, so that a share is that of what follows.
    pub fn measure(&mut self) {
        (self.in_use, self.could, self.words, self.datagrams) = (0, 0, 0, 0);
        self.taken.iter_mut().for_each(Vec::clear);
    }

    /// Share of what could be used that was, since the last measuring began.
    pub fn share_used(&self) -> f64 {
        self.in_use as f64 / self.could.max(1) as f64
    }

    /// Units in use, by planner.
    pub fn in_use_by(&self) -> Vec<usize> {
        self.planners.iter().map(|p| p.uses.len()).collect()
    }

    /// Units in use now.
    pub fn in_use(&self) -> u64 {
        self.used
    }

    /// Taken of the rate since the last measuring began.
    pub fn taken(&self) -> usize {
        self.taken.iter().map(Vec::len).sum()
    }

    /// Words and datagrams since the last measuring began.
    pub fn said(&self) -> (u64, u64) {
        (self.words, self.datagrams)
    }

    /// Changes what a planner could use.
    pub fn want(&mut self, planner: usize, units: u64) {
        self.planners[planner].wants = units;
    }

    /// Does one thing of a schedule now.
    pub fn befall(&mut self, what: What) {
        let at = self.options.schedule.0.len();
        self.options.schedule = std::mem::take(&mut self.options.schedule).at(u64::MAX, what);
        self.step(Due::Step(at));
    }
}

/// A fleet under drawn faults: its size, budgets, terms, needs and all that befalls it come from the seed.
pub fn rough(seed: u64, planners: Option<usize>, seconds: u64) -> Options {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let planners = planners.unwrap_or_else(|| rng.gen_range(2..=9));
    let whole = rng.gen_range(1..=5 * planners as u64);
    let least = rng.gen_range(0..4);
    let wants = |at: usize| [0, 3, 50, 1_000_000][(at + least) % 4];
    let mut options = Options::calm(planners, whole, wants);
    options.voters = [0, 1, 3, 5][rng.gen_range(0..4)].min(planners);
    options.terms.floor_permille = [0, 300, 500, 1000][rng.gen_range(0..4)];
    options.rate = (rng.gen_range(1..=20), 700_000);
    options.schedule = Schedule::drawn(seed, planners, 1, Duration::from_secs(seconds));
    options.turn_ms = 1_000;
    options.seed = seed;
    options
}

/// Milliseconds until something holds, looked at each 20 ms; none within so many seconds.
fn until(twin: &mut Twin, most_s: u64, is: impl Fn(&Twin) -> bool) -> Option<u64> {
    let step = Duration::from_millis(20);
    (0..most_s * 50)
        .find(|_| {
            twin.run(step);
            is(twin)
        })
        .map(|steps| (steps + 1) * 20)
}

/// How long a planner's part is idle once it is gone, and until one that comes back has its own, both in milliseconds by
/// seed, in a fleet that wants more than there is.
pub fn handovers(planners: usize, terms: Terms, seeds: u64) -> Vec<(Option<u64>, Option<u64>)> {
    let each = |seed: u64| {
        let whole = 50 * planners as u64;
        let mut options = Options::calm(planners, whole, |_| 1_000);
        (options.seed, options.terms) = (seed, terms);
        let mut twin = Twin::new(options);
        twin.run(Duration::from_micros(4 * terms.lease));
        let gone = (seed % planners as u64) as usize;
        let idle = 50 * terms.floor_permille / 1_000;
        twin.befall(What::Kill { planner: gone, again_ms: None });
        let full = (whole - idle) * 98 / 100;
        let used = until(&mut twin, 60, |t| t.in_use() >= full);
        twin.befall(What::Even);
        twin.start(gone);
        let back = until(&mut twin, 60, |t| t.in_use_by()[gone] >= 40);
        (used, back)
    };
    (0..seeds).map(each).collect()
}

impl Twin {
    /// Starts a planner that is gone.
    pub fn start(&mut self, planner: usize) {
        self.at(0, Due::Start(planner as Member));
    }
}
