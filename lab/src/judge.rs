//! Checks budgets of the whole fleet from evidence outside the planners: the machines' ledgers and the
//! clients' logs. The planners' own figures are not used.

use std::time::Duration;

/// Time spans in which something was certainly in use.
pub type Spans = Vec<(Duration, Duration)>;

/// Highest number of concurrent spans, and the first time at which it occurs.
pub fn most_at_once(spans: &Spans) -> (usize, Duration) {
    // At the same instant, ends come before begins.
    let mut edges: Vec<(Duration, bool)> = spans
        .iter()
        .filter(|(from, until)| from < until)
        .flat_map(|&(from, until)| [(from, true), (until, false)])
        .collect();
    edges.sort_unstable();
    let (mut now, mut most) = (0usize, (0, Duration::ZERO));
    for (at, begins) in edges {
        now = if begins { now + 1 } else { now.saturating_sub(1) };
        if now > most.0 {
            most = (now, at);
        }
    }
    most
}

/// Mean number of concurrent spans between two times.
pub fn mean_at_once(spans: &Spans, (from, until): (Duration, Duration)) -> f64 {
    let inside = |&(a, b): &(Duration, Duration)| b.min(until).saturating_sub(a.max(from)).as_secs_f64();
    spans.iter().map(inside).sum::<f64>() / until.saturating_sub(from).as_secs_f64().max(1e-9)
}

/// Greatest excess of events over `burst + per_s × length`, over all windows. Each event happened somewhere
/// within its span, and a window counts only events whose whole span lies in it; so a result above 0 proves a
/// broken rate.
pub fn worst_window(spans: &Spans, per_s: f64, burst: f64) -> f64 {
    let mut begins: Vec<Duration> = spans.iter().map(|s| s.0).collect();
    begins.sort_unstable();
    let mut by_end: Spans = spans.clone();
    by_end.sort_unstable_by_key(|s| s.1);
    // For each window start: the events in the window so far, plus `per_s` times the start.
    let mut tree = Tree::new(begins.iter().map(|at| per_s * at.as_secs_f64()).collect());
    let mut worst = f64::NEG_INFINITY;
    for (from, until) in by_end {
        tree.add(begins.partition_point(|at| *at <= from));
        let upto = begins.partition_point(|at| *at <= until);
        worst = worst.max(tree.most(upto) - per_s * until.as_secs_f64() - burst);
    }
    worst
}

/// Prefix maxima under additions of one to whole prefixes (a segment tree with lazy additions).
struct Tree {
    size: usize,
    most: Vec<f64>,
    pending: Vec<f64>,
}

impl Tree {
    fn new(values: Vec<f64>) -> Tree {
        let size = values.len().next_power_of_two().max(1);
        let mut most = vec![f64::NEG_INFINITY; 2 * size];
        most[size..size + values.len()].copy_from_slice(&values);
        for at in (1..size).rev() {
            most[at] = most[2 * at].max(most[2 * at + 1]);
        }
        Tree { size, most, pending: vec![0.0; 2 * size] }
    }

    /// Adds one to the first `count` values.
    fn add(&mut self, count: usize) {
        self.add_in(1, 0, self.size, count);
    }

    fn add_in(&mut self, at: usize, from: usize, size: usize, count: usize) {
        if from >= count {
            return;
        }
        if from + size <= count {
            self.most[at] += 1.0;
            self.pending[at] += 1.0;
            return;
        }
        self.add_in(2 * at, from, size / 2, count);
        self.add_in(2 * at + 1, from + size / 2, size / 2, count);
        self.most[at] = self.most[2 * at].max(self.most[2 * at + 1]) + self.pending[at];
    }

    /// Maximum of the first `count` values.
    fn most(&self, count: usize) -> f64 {
        self.most_in(1, 0, self.size, count)
    }

    fn most_in(&self, at: usize, from: usize, size: usize, count: usize) -> f64 {
        if from >= count {
            return f64::NEG_INFINITY;
        }
        if from + size <= count {
            return self.most[at];
        }
        let left = self.most_in(2 * at, from, size / 2, count);
        left.max(self.most_in(2 * at + 1, from + size / 2, size / 2, count)) + self.pending[at]
    }
}

#[cfg(test)]
mod tests;
