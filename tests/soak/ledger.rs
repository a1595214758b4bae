//! Records what clients and machines saw of each request, and checks the protocol's rules on it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// Seconds since the start of a run.
pub type Seconds = f64;

/// Seconds. The tolerance that the protocol allows on each time.
const SLACK_S: Seconds = 0.05;
/// Seconds. The time after its deadline within which a request may still be answered.
const ANSWER_LATE_S: Seconds = 0.5;
/// Seconds. The time after a client's cancellation within which an attempt may still begin.
const BEGIN_LATE_S: Seconds = 0.1;
/// Seconds. The amount by which the time limit passed to a machine may exceed the client's remaining time.
const LIMIT_EXCESS_S: Seconds = 0.15;

/// A request as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub sent_at: Seconds,
    pub wait_s: Seconds,
    pub answers: Vec<Seconds>,
    /// Time at which its client cancelled it or closed the connection.
    pub cancelled_at: Option<Seconds>,
    /// Needs no answer, as its planner was killed without a SIGTERM or did not read it.
    pub is_excused: bool,
}

/// A copy of a request at a machine.
#[derive(Clone, Debug)]
pub struct Copy {
    pub task: u64,
    pub machine: usize,
    pub arrived_at: Seconds,
    pub left_s: Seconds,
    pub over_at: Option<Seconds>,
}

#[derive(Default)]
struct Records {
    requests: BTreeMap<u64, Request>,
    copies: Vec<Copy>,
}

/// All requests and copies of one run.
pub struct Ledger {
    start: Instant,
    records: Mutex<Records>,
}

impl Ledger {
    pub fn new() -> Ledger {
        Ledger { start: Instant::now(), records: Mutex::default() }
    }

    pub fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    /// Records a request that a client is about to send.
    pub fn request_sent(&self, task: u64, wait_s: Seconds) {
        let request = Request { sent_at: self.now(), wait_s, ..Request::default() };
        self.records.lock().expect("lock").requests.insert(task, request);
    }

    /// Updates the record of a request.
    pub fn update_request(&self, task: u64, change: impl FnOnce(&mut Request, Seconds)) {
        let now = self.now();
        if let Some(request) = self.records.lock().expect("lock").requests.get_mut(&task) {
            change(request, now);
        }
    }

    /// Records a complete copy that arrived at a machine, with its arrival time and the time limit passed on;
    /// returns its index.
    pub fn arrived(&self, task: u64, machine: usize, (arrived_at, left_s): (Seconds, Seconds)) -> usize {
        let copy = Copy { task, machine, arrived_at, left_s, over_at: None };
        let mut records = self.records.lock().expect("lock");
        records.copies.push(copy);
        records.copies.len() - 1
    }

    /// Records the end of a copy: the machine is about to report it, or the copy was cancelled.
    pub fn record_end(&self, copy: usize) {
        let now = self.now();
        let mut records = self.records.lock().expect("lock");
        records.copies[copy].over_at.get_or_insert(now);
    }

    /// Checks all rules; returns the violations and the number of requests.
    pub fn check(&self) -> (Vec<String>, usize) {
        let records = self.records.lock().expect("lock");
        let mut broken = Vec::new();
        for (task, request) in &records.requests {
            broken.extend(check_answers(*task, request));
        }
        let mut copies_of: BTreeMap<u64, Vec<&Copy>> = BTreeMap::new();
        let mut copies = records.copies.clone();
        copies.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
        for copy in &copies {
            broken.extend(records.requests.get(&copy.task).and_then(|request| check_times(request, copy)));
            copies_of.entry(copy.task).or_default().push(copy);
        }
        broken.extend(copies_of.values().flat_map(|copies| check_overlaps(copies)));
        (broken, records.requests.len())
    }
}

/// Checks that each request has one answer, in time.
fn check_answers(task: u64, request: &Request) -> Option<String> {
    let by = request.sent_at + request.wait_s + ANSWER_LATE_S + SLACK_S;
    match request.answers[..] {
        [] if request.is_excused || request.cancelled_at.is_some() => None,
        [] => Some(format!("lost: {task:x} has no answer: {request:?}")),
        [at] if at <= by => None,
        [at] => Some(format!("lost: {task:x} was answered {:.3} s late: {request:?}", at - by)),
        _ => Some(format!("lost: {task:x} has more than one answer: {request:?}")),
    }
}

/// Checks that no attempt begins after its client cancelled, nor gets a longer time limit than its client has
/// left.
fn check_times(request: &Request, copy: &Copy) -> Option<String> {
    let begins_by = request.cancelled_at.map_or(f64::INFINITY, |at| at + BEGIN_LATE_S + SLACK_S);
    if copy.arrived_at > begins_by {
        return Some(format!("lost: an attempt began after its client cancelled: {request:?}, {copy:?}"));
    }
    let left_s = request.sent_at + request.wait_s - copy.arrived_at;
    let is_too_long = copy.left_s > left_s.max(0.0) + LIMIT_EXCESS_S + SLACK_S;
    is_too_long
        .then(|| format!("time: {:.3} s were passed on with {left_s:.3} s left: {copy:?}", copy.left_s))
}

/// Checks that at most one copy of a request is open at a time.
fn check_overlaps(copies: &[&Copy]) -> Vec<String> {
    let overlap = |pair: &[&Copy]| {
        let (first, second) = (pair[0], pair[1]);
        let overlaps = first.over_at.is_none_or(|ended_at| ended_at > second.arrived_at + SLACK_S);
        let machines = (first.machine, second.machine);
        overlaps.then(|| format!("duplicate: {first:?} overlaps {second:?}, on machines {machines:?}"))
    };
    copies.windows(2).filter_map(overlap).collect()
}
