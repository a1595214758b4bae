//! What clients and machines saw of each request, and the rules that it is held against.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

/// Seconds on the clock of a run.
pub type Seconds = f64;

/// Seconds. By so much each time may be off: the protocol's slack.
const SLACK_S: Seconds = 0.05;
/// Seconds. After its time a request may still be answered for so long.
const LATE_S: Seconds = 0.5;
/// Seconds. An attempt may begin so long after its client gave up.
const BEGINS_S: Seconds = 0.1;
/// Seconds. By so much the time passed to a machine may exceed what the client has left.
const PASSED_S: Seconds = 0.15;

/// A request as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub sent_at: Seconds,
    pub wait_s: Seconds,
    pub answers: Vec<Seconds>,
    /// When its client cancelled it or closed its connection.
    pub given_up_at: Option<Seconds>,
    /// Its planner was killed without a warning, or never read it.
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
struct Books {
    requests: BTreeMap<u64, Request>,
    copies: Vec<Copy>,
}

/// The books of one run.
pub struct Ledger {
    start: Instant,
    books: Mutex<Books>,
}

impl Ledger {
    pub fn new() -> Ledger {
        Ledger { start: Instant::now(), books: Mutex::default() }
    }

    pub fn now(&self) -> Seconds {
        self.start.elapsed().as_secs_f64()
    }

    /// A client is about to send a request.
    pub fn sends(&self, task: u64, wait_s: Seconds) {
        let request = Request { sent_at: self.now(), wait_s, ..Request::default() };
        self.books.lock().expect("the books").requests.insert(task, request);
    }

    /// Changes what is known of a request.
    pub fn book(&self, task: u64, change: impl FnOnce(&mut Request, Seconds)) {
        let now = self.now();
        if let Some(request) = self.books.lock().expect("the books").requests.get_mut(&task) {
            change(request, now);
        }
    }

    /// A copy came whole to a machine at that time, with so much time passed on; gives its number.
    pub fn arrived(&self, task: u64, machine: usize, (arrived_at, left_s): (Seconds, Seconds)) -> usize {
        let copy = Copy { task, machine, arrived_at, left_s, over_at: None };
        let mut books = self.books.lock().expect("the books");
        books.copies.push(copy);
        books.copies.len() - 1
    }

    /// A copy is over: its end is about to be written, or it is given up.
    pub fn over(&self, copy: usize) {
        let now = self.now();
        let mut books = self.books.lock().expect("the books");
        books.copies[copy].over_at.get_or_insert(now);
    }

    /// Every broken rule, and how many requests there were.
    pub fn judge(&self) -> (Vec<String>, usize) {
        let books = self.books.lock().expect("the books");
        let mut broken = Vec::new();
        for (task, request) in &books.requests {
            broken.extend(answers_kept(*task, request));
        }
        let mut copies_of: BTreeMap<u64, Vec<&Copy>> = BTreeMap::new();
        let mut copies = books.copies.clone();
        copies.sort_by(|a, b| a.arrived_at.total_cmp(&b.arrived_at));
        for copy in &copies {
            broken.extend(books.requests.get(&copy.task).and_then(|request| time_kept(request, copy)));
            copies_of.entry(copy.task).or_default().push(copy);
        }
        broken.extend(copies_of.values().flat_map(|copies| one_out(copies)));
        (broken, books.requests.len())
    }
}

/// Each request has one answer, in time.
fn answers_kept(task: u64, request: &Request) -> Option<String> {
    let by = request.sent_at + request.wait_s + LATE_S + SLACK_S;
    match request.answers[..] {
        [] if request.is_excused || request.given_up_at.is_some() => None,
        [] => Some(format!("lost: {task:x} has no answer: {request:?}")),
        [at] if at <= by => None,
        [at] => Some(format!("lost: {task:x} was answered {:.3} s late: {request:?}", at - by)),
        _ => Some(format!("lost: {task:x} has more than one answer: {request:?}")),
    }
}

/// No attempt begins after its client gave up, and none is told more time than its client has left.
fn time_kept(request: &Request, copy: &Copy) -> Option<String> {
    let begins_by = request.given_up_at.map_or(f64::INFINITY, |at| at + BEGINS_S + SLACK_S);
    if copy.arrived_at > begins_by {
        return Some(format!("lost: an attempt began after its client gave up: {request:?}, {copy:?}"));
    }
    let left_s = request.sent_at + request.wait_s - copy.arrived_at;
    let is_over = copy.left_s > left_s.max(0.0) + PASSED_S + SLACK_S;
    is_over.then(|| format!("time: {:.3} s were passed on of {left_s:.3}: {copy:?}", copy.left_s))
}

/// At most one copy of a request is out.
fn one_out(copies: &[&Copy]) -> Vec<String> {
    let beside = |pair: &[&Copy]| {
        let (first, second) = (pair[0], pair[1]);
        let is_out = first.over_at.is_none_or(|over| over > second.arrived_at + SLACK_S);
        let machines = (first.machine, second.machine);
        is_out.then(|| format!("duplicate: {first:?} beside {second:?}, at {machines:?}"))
    };
    copies.windows(2).filter_map(beside).collect()
}
