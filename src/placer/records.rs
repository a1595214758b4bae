//! Records and measurements of the decision module: requests, attempts, averages, rates, values with an age.
//! They take no decision and hold no tuned value: the caller supplies weights and time spans.

use super::interface::{MachineId, RequestId, Room, Seconds, Task};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// An exponential moving average: each new sample has the same weight.
#[derive(Clone)]
pub(crate) struct MovingAverage {
    pub value: f64,
    pub weight: f64,
}

impl MovingAverage {
    pub fn learn(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }
}

/// The rate of an event: a count that decays exponentially over `span_s`, divided by the time that it covers.
pub(crate) struct RateMeter {
    span_s: Seconds,
    min_span_s: Seconds,
    first_at: Option<Seconds>,
    last_at: Seconds,
    count: f64,
}

impl RateMeter {
    /// Measures over about `span_s`; at the start, the count is divided by `min_span_s` at least.
    pub fn new(span_s: Seconds, min_span_s: Seconds) -> Self {
        RateMeter { span_s, min_span_s, first_at: None, last_at: 0.0, count: 0.0 }
    }

    pub fn count(&mut self, now: Seconds) {
        self.count = self.count * self.remaining(now) + 1.0;
        self.first_at = self.first_at.or(Some(now));
        self.last_at = now;
    }

    fn remaining(&self, now: Seconds) -> f64 {
        (-(now - self.last_at) / self.span_s).exp()
    }

    /// Events per second.
    pub fn rate(&self, now: Seconds) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        let covered = self.span_s * (1.0 - (-(now - first_at) / self.span_s).exp());
        self.count * self.remaining(now) / covered.max(self.min_span_s)
    }
}

/// A reported value and the time of the report.
#[derive(Clone, Copy, Default)]
pub(crate) struct TimedValue {
    pub value: f64,
    pub at: Seconds,
}

impl TimedValue {
    /// The value while it is younger than `max_age_s`, and 0 after that.
    pub fn within(&self, max_age_s: Seconds, now: Seconds) -> f64 {
        if now - self.at < max_age_s {
            self.value
        } else {
            0.0
        }
    }
}

/// Estimates the delay of a source of views, in steps. At the true delay, the load that remains of a view
/// after own tasks are subtracted varies least. While own tasks are too rare to learn from, the initial value
/// stays.
pub(crate) struct DelayEstimator {
    /// By delay tried: decayed sum of the changes of that load between views.
    variation: Vec<f64>,
    /// The estimated delay.
    pub steps: usize,
    /// Whether own tasks are common enough to learn from.
    pub learning: bool,
}

impl DelayEstimator {
    pub fn new(tries: usize, first: usize) -> Self {
        let variation = (0..tries).map(|k| 1e-5 * k.abs_diff(first) as f64).collect();
        DelayEstimator { variation, steps: first, learning: false }
    }

    /// Takes in, for each delay, the load that remains of a view without own tasks, and that of the previous
    /// view. `decay` is the share of the older evidence that is kept.
    pub fn learn(&mut self, residuals: &[f64], previous: &[f64], decay: f64) {
        for ((variation, now), before) in self.variation.iter_mut().zip(residuals).zip(previous) {
            *variation = *variation * decay + (now - before).abs();
        }
        let steadiest =
            (0..self.variation.len()).min_by(|&a, &b| self.variation[a].total_cmp(&self.variation[b]));
        self.steps = steadiest.unwrap_or(self.steps);
    }
}

/// A hash of the value as a number from 0 to 1. Every placer gets the same number for the same value.
pub(crate) fn hash_fraction(value: impl Hash) -> f64 {
    let mut hash = SipHasher13::new();
    value.hash(&mut hash);
    hash.finish() as f64 / u64::MAX as f64
}

/// The state of a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum State {
    /// Waits for its next attempt.
    Queued,
    /// An attempt is open that is not bound yet.
    Offered,
    /// Bound to a machine.
    Placed,
    /// Answered, withdrawn or ended.
    Closed,
}

/// One offer of a task to a machine.
pub(crate) struct Attempt {
    pub machine: MachineId,
    pub sent_at: Seconds,
    /// No outcome yet.
    pub open: bool,
    pub bound: bool,
    /// Work of its start; 0 once it runs.
    pub start_work: f64,
    /// Its outcome does not prove that it never ran.
    pub may_have_run: bool,
    /// It ended in an error.
    pub errored: bool,
    /// Its connection broke. No later attempt may go to the same machine: a late message about this attempt
    /// would be mistaken for one about the later attempt.
    pub link_broke: bool,
}

impl Attempt {
    pub fn new(machine: MachineId, sent_at: Seconds, start_work: f64) -> Self {
        let (open, bound, may_have_run) = (true, false, true);
        Attempt { machine, sent_at, start_work, open, bound, may_have_run, errored: false, link_broke: false }
    }
}

/// A request to place a task, and its attempts.
pub(crate) struct Request {
    pub task: Task,
    pub state: State,
    pub attempts: Vec<Attempt>,
    pub submitted_at: Seconds,
    /// End of the pause before the next attempt.
    pub not_before: Seconds,
}

impl Request {
    pub fn new(task: Task, state: State, now: Seconds) -> Self {
        Request { task, state, attempts: vec![], submitted_at: now, not_before: now }
    }
}

/// A machine that may take the task. Among those whose `score` is low enough, the lowest `rank` is chosen.
pub(crate) struct Candidate {
    pub machine: MachineId,
    pub score: f64,
    /// Share of the machine that the task takes.
    pub increment: f64,
    pub rank: f64,
}

/// A change of the room that own tasks take at a machine: positive for a bind, negative for an end.
#[derive(Clone, Copy)]
pub(crate) struct Change {
    pub at: Seconds,
    pub request: RequestId,
    pub room: Room,
}

/// Lengths of back-offs. The first and the longest are each the longer of a time in seconds and a number of
/// intervals between own tasks.
#[derive(Clone, Copy)]
pub(crate) struct BackoffSpans {
    pub first: (Seconds, f64),
    pub max: (Seconds, f64),
    /// Longest interval between own tasks that counts: a placer without tasks must not back off for ever.
    pub gap_s: Seconds,
    /// Share by which a placer's draw shortens them at most: after a common fault, placers do not retry in
    /// step.
    pub spread: f64,
}

/// Exponential back-off from a machine. Failures during one back-off count as one.
#[derive(Default)]
pub(crate) struct Backoff {
    pub failures: u32,
    pub until: Seconds,
}

impl Backoff {
    /// Records a failure. `gap` is the mean time between own tasks, `draw` a value from 0 to 1 that
    /// differs by placer.
    pub fn fail(&mut self, now: Seconds, (gap, draw): (Seconds, f64), spans: BackoffSpans) {
        if now >= self.until {
            let length = |(seconds, tasks): (Seconds, f64)| seconds.max(tasks * gap.min(spans.gap_s));
            let first = length(spans.first) * f64::from(2u32.saturating_pow(self.failures));
            self.failures = self.failures.saturating_add(1);
            self.until = now + first.min(length(spans.max)) * (1.0 - spans.spread * draw);
        }
    }
}
