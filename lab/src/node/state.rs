//! A node's state and its decision on each offer. The current time is always passed in.

use super::ledger::{Ledger, What};
use super::plan::{Act, Plan, Times};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Count. Messages that are kept for the next connection.
const MAX_UNSENT: usize = 10_000;
/// Count. Idempotency keys that are remembered.
const MAX_KEYS: usize = 100_000;

/// A launch message as received.
#[derive(Clone, Debug)]
pub struct Offer {
    pub job: u64,
    pub connection: u64,
    pub class: String,
    pub key: Option<String>,
    pub program: String,
}

/// How a node handles an offer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Refused, with this note as the reason.
    Refuse(&'static str),
    /// Answered with an error.
    Fail,
    /// Never answered, although the task runs.
    Unanswered,
    /// The connection is reset.
    Reset,
    /// The task starts, and runs after this time.
    Start { after: Duration },
    /// Queued until another start has finished; by path, never answered.
    Wait,
}

#[derive(Clone, Debug)]
struct Copy {
    key: Option<String>,
    connection: u64,
    path: String,
    runs: bool,
}

/// The state of a node.
pub struct State {
    pub plan: Plan,
    pub ledger: Ledger,
    rng: Pcg64Mcg,
    copies: BTreeMap<u64, Copy>,
    /// Idempotency keys of copies, and when each expires.
    keys: BTreeMap<String, Duration>,
    /// Programs that are warm, and until when.
    kept_warm: BTreeMap<String, Duration>,
    starting: usize,
    start_queue: VecDeque<Offer>,
    paused_until: Duration,
    hangs: bool,
    drains: bool,
    /// Senders of the open connections.
    connections: BTreeMap<u64, UnboundedSender<Value>>,
    /// Messages that found no open connection; the next one sends them.
    unsent: VecDeque<Value>,
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
            kept_warm: BTreeMap::new(),
            starting: 0,
            start_queue: VecDeque::new(),
            paused_until: Duration::ZERO,
            hangs: false,
            drains: false,
            connections: BTreeMap::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Registers a new connection and sends it the messages that found none before.
    pub fn connection_opened(&mut self, now: Duration, connection: u64, out: UnboundedSender<Value>) {
        self.ledger.record(now, 0, connection, What::Opened);
        self.unsent.drain(..).for_each(|message| drop(out.send(message)));
        self.connections.insert(connection, out);
    }

    /// Sends on the given connection if it is open, otherwise on any open one. Without one, the message is
    /// kept for the next connection.
    pub fn send(&mut self, connection: u64, message: Value) {
        let connection_sender =
            self.connections.get(&connection).or_else(|| self.connections.values().next());
        match connection_sender {
            Some(connection_sender) => drop(connection_sender.send(message)),
            None if self.unsent.len() < MAX_UNSENT => self.unsent.push_back(message),
            None => {}
        }
    }

    pub fn running_tasks(&self) -> usize {
        self.copies.values().filter(|c| c.runs).count()
    }

    /// Figures of a load report: unreserved cores and memory (negative if more was accepted than the node
    /// has), and the length of the start queue.
    pub fn report(&self) -> (f64, f64, usize) {
        let copies = self.copies.len() as f64;
        let free = self.plan.slots as f64 - copies;
        let (cores, memory) = match self.plan.reports {
            Some((size, task)) => (size.0 - copies * task.0, size.1 - copies * task.1),
            None => (free, 2.0 * free),
        };
        (cores, memory, self.start_queue.len())
    }

    pub fn hangs(&self) -> bool {
        self.hangs
    }

    /// Remaining time of a pause.
    pub fn pause(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    fn draw_duration(&mut self, (least, most): Times) -> Duration {
        Duration::from_millis(self.rng.gen_range(least..=most.max(least)))
    }

    fn draw_bool(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.gen_bool(share.min(1.0))
    }

    /// Decides on an offer and reserves a slot if it is accepted.
    pub fn receive(&mut self, now: Duration, offer: &Offer) -> Decision {
        if self.plan.by_path {
            return self.by_path(offer);
        }
        let plan = (self.plan.reset, self.plan.stall, self.plan.refuse, self.plan.fail, self.plan.silent);
        let (reset, stall, refuse, fail, silent) = plan;
        if self.draw_bool(stall) {
            let length = self.draw_duration(self.plan.stall_ms);
            self.paused_until = self.paused_until.max(now + length);
        }
        if self.draw_bool(reset) {
            return Decision::Reset;
        }
        if self.drains {
            return Decision::Refuse("nh");
        }
        self.keys.retain(|_, until| now < *until);
        if offer.key.as_ref().is_some_and(|key| self.keys.contains_key(key)) {
            self.ledger.record(now, offer.job, offer.connection, What::Dropped);
            return Decision::Refuse("nh");
        }
        if self.draw_bool(refuse) {
            return Decision::Refuse("nq");
        }
        if self.draw_bool(fail) {
            return Decision::Fail;
        }
        if self.copies.len() >= self.plan.slots {
            return Decision::Refuse("nc");
        }
        if let Some(key) = offer.key.clone().filter(|_| self.keys.len() < MAX_KEYS) {
            self.keys.insert(key, now + self.plan.window);
        }
        let unanswered = self.draw_bool(silent);
        self.accept(offer, unanswered);
        if unanswered {
            self.ledger.record(now, offer.job, offer.connection, What::RunsUntold);
            return Decision::Unanswered;
        }
        if self.starting >= self.plan.starts {
            self.start_queue.push_back(offer.clone());
            return Decision::Wait;
        }
        self.start(now, offer)
    }

    fn accept(&mut self, offer: &Offer, runs: bool) {
        let path = offer.program.rsplit('/').next().unwrap_or_default().to_string();
        let copy = Copy { key: offer.key.clone(), connection: offer.connection, path, runs };
        self.copies.insert(offer.job, copy);
    }

    fn by_path(&mut self, offer: &Offer) -> Decision {
        match offer.program.rsplit('/').next().unwrap_or_default() {
            "run" | "end" | "lose" => {
                self.accept(offer, false);
                Decision::Start { after: Duration::ZERO }
            }
            "full" => Decision::Refuse("nq"),
            "error" => Decision::Fail,
            _ => Decision::Wait,
        }
    }

    fn start(&mut self, now: Duration, offer: &Offer) -> Decision {
        self.starting += 1;
        self.kept_warm.retain(|_, until| now < *until);
        let warm = self.kept_warm.insert(offer.program.clone(), now + self.plan.kept_warm).is_some();
        let times = if warm { self.plan.start_ms } else { self.plan.cold_start_ms };
        Decision::Start { after: self.draw_duration(times) }
    }

    /// A start has finished: returns the task's run time unless it was stopped meanwhile, and the next queued
    /// start.
    pub fn started(&mut self, now: Duration, job: u64) -> (Option<Duration>, Option<(Offer, Duration)>) {
        self.starting = self.starting.saturating_sub(1);
        let connection = self.copies.get_mut(&job).map(|copy| {
            copy.runs = true;
            copy.connection
        });
        let run_time = connection.map(|connection| {
            self.ledger.record(now, job, connection, What::Runs);
            match self.plan.by_path && self.copies.get(&job).is_some_and(|copy| copy.path != "run") {
                true => Duration::ZERO,
                false => self.draw_duration(self.plan.life_ms),
            }
        });
        while let Some(offer) = self.start_queue.pop_front() {
            if self.copies.contains_key(&offer.job) {
                if let Decision::Start { after } = self.start(now, &offer) {
                    return (run_time, Some((offer, after)));
                }
            }
        }
        (run_time, None)
    }

    /// A task has ended: returns the reason code unless it was stopped before.
    pub fn ended(&mut self, now: Duration, job: u64) -> Option<u8> {
        let copy = self.copies.remove(&job)?;
        self.ledger.record(now, job, copy.connection, What::Ended);
        self.forget_key(&copy);
        Some(if self.plan.by_path && copy.path == "lose" { 41 } else { 16 })
    }

    /// Removes a job that the planner withdraws or cancels: returns whether a copy ran, or `None` for an
    /// unknown job.
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

    /// A connection was closed: its tasks that have not started are dropped; running ones stay.
    pub fn connection_closed(&mut self, now: Duration, connection: u64) {
        self.connections.remove(&connection);
        let open = |c: &Copy| c.connection == connection && !c.runs;
        let gone: Vec<u64> = self.copies.iter().filter(|(_, c)| open(c)).map(|(&job, _)| job).collect();
        for job in gone {
            self.stop(job);
        }
        self.ledger.record(now, 0, connection, What::Closed);
    }

    pub fn die(&mut self, now: Duration) {
        let copies = std::mem::take(&mut self.copies);
        copies.into_iter().for_each(|(job, copy)| self.ledger.record(now, job, copy.connection, What::Lost));
        (self.starting, self.hangs) = (0, false);
        self.keys.clear();
        self.start_queue.clear();
        self.unsent.clear();
    }

    /// The process is back, with no program warm.
    pub fn restart(&mut self) {
        self.kept_warm.clear();
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
            Act::Reset | Act::Close | Act::StopListening | Act::Listen => {}
            Act::Die | Act::Return | Act::End => {}
        }
    }
}
