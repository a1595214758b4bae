//! Records and plain measures that the decision module keeps: asks, attempts, means, rates, figures with an
//! age. No decision and no tuned value: weights and spans are the caller's.

use super::interface::{MachineId, RequestId, Room, Seconds, Task};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// A mean in which a new sample has a fixed weight.
#[derive(Clone)]
pub(crate) struct Mean {
    pub value: f64,
    pub weight: f64,
}

impl Mean {
    pub fn learn(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }
}

/// How often something happens: a count that fades within `span_s`, over the time that it covers.
pub(crate) struct Pace {
    span_s: Seconds,
    least_s: Seconds,
    since: Option<Seconds>,
    at: Seconds,
    count: f64,
}

impl Pace {
    /// Counts over about `span_s`, and at the beginning over `least_s` at least.
    pub fn new(span_s: Seconds, least_s: Seconds) -> Self {
        Pace { span_s, least_s, since: None, at: 0.0, count: 0.0 }
    }

    pub fn count(&mut self, now: Seconds) {
        self.count = self.count * self.left(now) + 1.0;
        self.since = self.since.or(Some(now));
        self.at = now;
    }

    fn left(&self, now: Seconds) -> f64 {
        (-(now - self.at) / self.span_s).exp()
    }

    /// Events a second.
    pub fn rate(&self, now: Seconds) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let covered = self.span_s * (1.0 - (-(now - since) / self.span_s).exp());
        self.count * self.left(now) / covered.max(self.least_s)
    }
}

/// A figure and when it was told.
#[derive(Clone, Copy, Default)]
pub(crate) struct Told {
    pub value: f64,
    pub at: Seconds,
}

impl Told {
    /// The figure while it is younger than `age_s`, and nothing after that.
    pub fn within(&self, age_s: Seconds, now: Seconds) -> f64 {
        if now - self.at < age_s {
            self.value
        } else {
            0.0
        }
    }
}

/// Learns how late a source is, in steps: at the true delay, what is left of a view after this placer's own
/// tasks are taken out changes least. Where own tasks are too few to tell, the first value stays.
pub(crate) struct Lag {
    unrest: Vec<f64>,
    pub usual: usize,
    /// Whether own tasks are common enough to learn from.
    pub telling: bool,
}

impl Lag {
    pub fn new(tries: usize, first: usize) -> Self {
        let unrest = (0..tries).map(|k| 1e-5 * k.abs_diff(first) as f64).collect();
        Lag { unrest, usual: first, telling: false }
    }

    /// Takes what a view leaves to others, under each delay, and what the view before it left; `keep` is the
    /// share of the older evidence that still counts.
    pub fn learn(&mut self, left: &[f64], before: &[f64], keep: f64) {
        for ((unrest, now), then) in self.unrest.iter_mut().zip(left).zip(before) {
            *unrest = *unrest * keep + (now - then).abs();
        }
        let calmest = (0..self.unrest.len()).min_by(|&a, &b| self.unrest[a].total_cmp(&self.unrest[b]));
        self.usual = calmest.unwrap_or(self.usual);
    }
}

/// A neutral figure from 0 to 1, the same for the same value at every placer.
pub(crate) fn mixed(value: impl Hash) -> f64 {
    let mut hash = SipHasher13::new();
    value.hash(&mut hash);
    hash.finish() as f64 / u64::MAX as f64
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    Held,
    Trying,
    Placed,
    Over,
}

/// One offer of a task to a machine.
pub(crate) struct Attempt {
    pub machine: MachineId,
    pub sent: Seconds,
    /// No outcome yet.
    pub out: bool,
    pub bound: bool,
    /// Work of its start; none once it runs.
    pub start: f64,
    /// Its outcome does not prove that it never ran.
    pub may_have_run: bool,
    /// It ended in an error.
    pub erred: bool,
    /// Its connection broke: word of it may come late, and would be taken for word of another one there.
    pub broke: bool,
}

impl Attempt {
    pub fn new(machine: MachineId, sent: Seconds, start: f64) -> Self {
        let (out, bound, may_have_run) = (true, false, true);
        Attempt { machine, sent, start, out, bound, may_have_run, erred: false, broke: false }
    }
}

/// One ask and its attempts.
pub(crate) struct Request {
    pub task: Task,
    pub state: State,
    pub attempts: Vec<Attempt>,
    pub asked_at: Seconds,
    pub not_before: Seconds,
}

impl Request {
    pub fn new(task: Task, state: State, now: Seconds) -> Self {
        Request { task, state, attempts: vec![], asked_at: now, not_before: now }
    }
}

/// A machine that may take the task: its sum, the task's increment there, and its place in the order.
pub(crate) struct Sum {
    pub machine: MachineId,
    pub sum: f64,
    pub increment: f64,
    pub order: f64,
}

/// An own bind (positive) or end (negative).
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub at: Seconds,
    pub request: RequestId,
    pub room: Room,
}

/// How long bars are: the first and the longest in seconds and in own tasks, and the longest gap between own
/// tasks that lengthens them, as a placer that rests must not bar for good.
#[derive(Clone, Copy)]
pub(crate) struct BarSpans {
    pub first: (Seconds, f64),
    pub most: (Seconds, f64),
    pub gap_s: Seconds,
    /// Share by which each placer's draw shortens them: those with a fault in common do not return in step.
    pub spread: f64,
}

/// Bars a machine for longer with each failure in a row; those that come in one bar count as one.
#[derive(Default)]
pub(crate) struct Bar {
    pub failures: u32,
    pub until: Seconds,
}

impl Bar {
    /// `gap` is the usual time between own tasks, `draw` the placer's own from 0 to 1.
    pub fn fail(&mut self, now: Seconds, (gap, draw): (Seconds, f64), spans: BarSpans) {
        if now >= self.until {
            let length = |(seconds, tasks): (Seconds, f64)| seconds.max(tasks * gap.min(spans.gap_s));
            let first = length(spans.first) * f64::from(2u32.saturating_pow(self.failures));
            self.failures = self.failures.saturating_add(1);
            self.until = now + first.min(length(spans.most)) * (1.0 - spans.spread * draw);
        }
    }
}
