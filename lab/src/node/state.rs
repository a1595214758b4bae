//! What a node knows, and what it decides about an ask. Time comes in.

use super::ledger::{Ledger, What};
use super::plan::{Act, Plan, Times};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Count. Releases that wait for a connection.
const MOST_OWED: usize = 10_000;
/// Count. Keys that are remembered.
const MOST_KEYS: usize = 100_000;

/// An ask as it came.
#[derive(Clone, Debug)]
pub struct Ask {
    pub job: u64,
    pub connection: u64,
    pub class: String,
    pub key: Option<String>,
    pub program: String,
}

/// What becomes of an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Refused, with the note why.
    Refuse(&'static str),
    /// Answered with an error.
    Fail,
    /// Never answered, though it runs.
    Untold,
    /// The connection is reset.
    Reset,
    /// It starts; it runs after so long.
    Start { after: Duration },
    /// It starts once another start is done.
    Wait,
}

#[derive(Clone, Debug)]
struct Copy {
    key: Option<String>,
    connection: u64,
    path: String,
    runs: bool,
}

/// A node's memory.
pub struct State {
    pub plan: Plan,
    pub ledger: Ledger,
    rng: Pcg64Mcg,
    copies: BTreeMap<u64, Copy>,
    /// Keys of copies, and when each is forgotten.
    keys: BTreeMap<String, Duration>,
    kept: BTreeMap<String, Duration>,
    starting: usize,
    line: VecDeque<Ask>,
    paused_until: Duration,
    hangs: bool,
    drains: bool,
    /// The connections that are open.
    links: BTreeMap<u64, UnboundedSender<Value>>,
    /// Releases for which no connection was open: the next one gets them.
    owed: VecDeque<Value>,
}

impl State {
    pub fn new(plan: Plan) -> State {
        let ledger = Ledger { node: plan.name.clone(), ..Ledger::default() };
        State {
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            plan,
            ledger,
            copies: BTreeMap::new(),
            keys: BTreeMap::new(),
            kept: BTreeMap::new(),
            starting: 0,
            line: VecDeque::new(),
            paused_until: Duration::ZERO,
            hangs: false,
            drains: false,
            links: BTreeMap::new(),
            owed: VecDeque::new(),
        }
    }

    /// A connection is open: it gets the releases that found none.
    pub fn open(&mut self, now: Duration, connection: u64, out: UnboundedSender<Value>) {
        self.ledger.book(now, 0, connection, What::Opened);
        self.owed.drain(..).for_each(|message| drop(out.send(message)));
        self.links.insert(connection, out);
    }

    /// Sends on the connection that an ask came on, else on any that is open; a release else waits for the next one.
    pub fn say(&mut self, connection: u64, message: Value) {
        let link = self.links.get(&connection).or_else(|| self.links.values().next());
        match link {
            Some(link) => drop(link.send(message)),
            None if self.owed.len() < MOST_OWED => self.owed.push_back(message),
            None => {}
        }
    }

    pub fn standing(&self) -> usize {
        self.copies.values().filter(|c| c.runs).count()
    }

    /// A report's figures: room that nobody asked for, below 0 where more was accepted than the node has, and the line.
    pub fn report(&self) -> (f64, f64, usize) {
        let copies = self.copies.len() as f64;
        let free = self.plan.slots as f64 - copies;
        let (cores, memory) = match self.plan.reports {
            Some((size, task)) => (size.0 - copies * task.0, size.1 - copies * task.1),
            None => (free, 2.0 * free),
        };
        (cores, memory, self.line.len())
    }

    pub fn hangs(&self) -> bool {
        self.hangs
    }

    /// How much longer it does nothing.
    pub fn pause(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    fn drawn(&mut self, (least, most): Times) -> Duration {
        Duration::from_millis(self.rng.gen_range(least..=most.max(least)))
    }

    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.gen_bool(share.min(1.0))
    }

    /// Takes an ask in and says what becomes of it.
    pub fn ask(&mut self, now: Duration, ask: &Ask) -> Fate {
        if self.plan.by_path {
            return self.by_path(ask);
        }
        let plan = (self.plan.reset, self.plan.stall, self.plan.refuse, self.plan.fail, self.plan.silent);
        let (reset, stall, refuse, fail, silent) = plan;
        if self.happens(stall) {
            let length = self.drawn(self.plan.stall_ms);
            self.paused_until = self.paused_until.max(now + length);
        }
        if self.happens(reset) {
            return Fate::Reset;
        }
        if self.drains {
            return Fate::Refuse("nh");
        }
        self.keys.retain(|_, until| now < *until);
        if ask.key.as_ref().is_some_and(|key| self.keys.contains_key(key)) {
            self.ledger.book(now, ask.job, ask.connection, What::Dropped);
            return Fate::Refuse("nh");
        }
        if self.happens(refuse) {
            return Fate::Refuse("nq");
        }
        if self.happens(fail) {
            return Fate::Fail;
        }
        if self.copies.len() >= self.plan.slots {
            return Fate::Refuse("nc");
        }
        if let Some(key) = ask.key.clone().filter(|_| self.keys.len() < MOST_KEYS) {
            self.keys.insert(key, now + self.plan.window);
        }
        let untold = self.happens(silent);
        self.hold(ask, untold);
        if untold {
            self.ledger.book(now, ask.job, ask.connection, What::RunsUntold);
            return Fate::Untold;
        }
        if self.starting >= self.plan.starts {
            self.line.push_back(ask.clone());
            return Fate::Wait;
        }
        self.start(now, ask)
    }

    fn hold(&mut self, ask: &Ask, runs: bool) {
        let path = ask.program.rsplit('/').next().unwrap_or_default().to_string();
        let copy = Copy { key: ask.key.clone(), connection: ask.connection, path, runs };
        self.copies.insert(ask.job, copy);
    }

    fn by_path(&mut self, ask: &Ask) -> Fate {
        match ask.program.rsplit('/').next().unwrap_or_default() {
            "run" | "end" | "lose" => {
                self.hold(ask, false);
                Fate::Start { after: Duration::ZERO }
            }
            "full" => Fate::Refuse("nq"),
            "error" => Fate::Fail,
            _ => Fate::Wait,
        }
    }

    fn start(&mut self, now: Duration, ask: &Ask) -> Fate {
        self.starting += 1;
        self.kept.retain(|_, until| now < *until);
        let warm = self.kept.insert(ask.program.clone(), now + self.plan.kept).is_some();
        let times = if warm { self.plan.start_ms } else { self.plan.cold_start_ms };
        Fate::Start { after: self.drawn(times) }
    }

    /// A start is done: whether the task still is wanted, its life if so, and the next start.
    pub fn started(&mut self, now: Duration, job: u64) -> (Option<Duration>, Option<(Ask, Duration)>) {
        self.starting = self.starting.saturating_sub(1);
        let connection = self.copies.get_mut(&job).map(|copy| {
            copy.runs = true;
            copy.connection
        });
        let life = connection.map(|connection| {
            self.ledger.book(now, job, connection, What::Runs);
            match self.plan.by_path && self.copies.get(&job).is_some_and(|copy| copy.path != "run") {
                true => Duration::ZERO,
                false => self.drawn(self.plan.life_ms),
            }
        });
        while let Some(ask) = self.line.pop_front() {
            if self.copies.contains_key(&ask.job) {
                if let Fate::Start { after } = self.start(now, &ask) {
                    return (life, Some((ask, after)));
                }
            }
        }
        (life, None)
    }

    /// A task came to its end: the cause, where it was there still.
    pub fn ended(&mut self, now: Duration, job: u64) -> Option<u8> {
        let copy = self.copies.remove(&job)?;
        self.ledger.book(now, job, copy.connection, What::Ended);
        self.forget_key(&copy);
        Some(if self.plan.by_path && copy.path == "lose" { 41 } else { 16 })
    }

    /// The planner takes a job back or cuts it: whether a copy ran, or none where nothing was known.
    pub fn stop(&mut self, job: u64) -> Option<bool> {
        let copy = self.copies.remove(&job)?;
        self.forget_key(&copy);
        Some(copy.runs)
    }

    fn forget_key(&mut self, copy: &Copy) {
        if let Some(key) = &copy.key {
            self.keys.remove(key);
        }
    }

    /// A connection is closed: what was open on it is given up, what runs stays.
    pub fn closed(&mut self, now: Duration, connection: u64) {
        self.links.remove(&connection);
        let open = |c: &Copy| c.connection == connection && !c.runs;
        let gone: Vec<u64> = self.copies.iter().filter(|(_, c)| open(c)).map(|(&job, _)| job).collect();
        for job in gone {
            self.stop(job);
        }
        self.ledger.book(now, 0, connection, What::Closed);
    }

    pub fn die(&mut self, now: Duration) {
        let copies = std::mem::take(&mut self.copies);
        copies.into_iter().for_each(|(job, copy)| self.ledger.book(now, job, copy.connection, What::Lost));
        (self.starting, self.hangs) = (0, false);
        self.keys.clear();
        self.line.clear();
        self.owed.clear();
    }

    /// It is there again, with nothing kept.
    pub fn come_back(&mut self) {
        self.kept.clear();
        self.drains = false;
    }

    pub fn act(&mut self, now: Duration, act: Act) {
        match act {
            Act::Pause(length) => self.paused_until = self.paused_until.max(now + length),
            Act::Hang => self.hangs = true,
            Act::Wake => self.hangs = false,
            Act::Drain => self.drains = true,
            Act::Open => self.drains = false,
            Act::Refuse(share) => self.plan.refuse = share,
            Act::Fail(share) => self.plan.fail = share,
            Act::Reset | Act::Die | Act::Return | Act::End => {}
        }
    }
}
