//! Holds ledgers against the rules: no two attempts of a task out together, none past its number, none past its window.

use crate::node::{Ledger, What};
use std::collections::BTreeMap;
use std::time::Duration;

/// What the rules allow in a run.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// Attempts of one ask.
    pub attempts: usize,
    /// From the first send that may have run, for keyed asks.
    pub window: Duration,
    /// What times may differ by: a give-up and the next offer travel on different connections.
    pub slack: Duration,
}

/// A rule that was broken, in words.
pub type Broken = String;

/// What the ledgers of a run come to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Offers.
    pub asks: usize,
    /// Jobs that were offered at least once.
    pub jobs: usize,
    /// The most offers of one job.
    pub most_attempts: usize,
    /// Broken rules; none in a good run.
    pub broken: Vec<Broken>,
}

struct Attempt {
    node: usize,
    from: Duration,
    until: Duration,
    key: Option<String>,
    may_have_run: bool,
}

/// Looks all ledgers of a run over.
pub fn audit(ledgers: &[Ledger], allowed: Allowed) -> Verdict {
    let mut attempts: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    let mut verdict = Verdict::default();
    for (node, ledger) in ledgers.iter().enumerate() {
        if ledger.passed_over > 0 {
            verdict.broken.push(format!("{}: the ledger ran over, nothing is proved", ledger.node));
        }
        // Attempts of this node that are open. A connection's end may be seen just after the next one's first offer, so
        // that one job may be open on both; whether for too long is `together`'s to say.
        let mut open: BTreeMap<(u64, u64), Attempt> = BTreeMap::new();
        let close = |attempt: Option<Attempt>,
                     at: Duration,
                     ran: bool,
                     all: &mut BTreeMap<u64, Vec<Attempt>>,
                     job| {
            let Some(mut attempt) = attempt else { return };
            attempt.until = attempt.until.min(at);
            attempt.may_have_run |= ran;
            all.entry(job).or_default().push(attempt);
        };
        for entry in &ledger.entries {
            let (at, job) = (entry.at, entry.job);
            let of = (job, entry.connection);
            match &entry.what {
                What::Ask { key, left_ms, .. } => {
                    verdict.asks += 1;
                    if let Some(twice) = open.remove(&of) {
                        verdict.broken.push(format!("{}: job {job:016x} came twice", ledger.node));
                        close(Some(twice), at, true, &mut attempts, job);
                    }
                    let until = at + Duration::from_millis(*left_ms);
                    let key = key.clone();
                    open.insert(of, Attempt { node, from: at, until, key, may_have_run: false });
                }
                What::Refused => close(open.remove(&of), at, false, &mut attempts, job),
                What::Failed | What::Runs | What::Stopped | What::Lost => {
                    close(open.remove(&of), at, true, &mut attempts, job);
                }
                What::Closed => {
                    let on_it = |of: &&(u64, u64)| of.1 == entry.connection;
                    let gone: Vec<(u64, u64)> = open.keys().filter(on_it).copied().collect();
                    for of in gone {
                        close(open.remove(&of), at, true, &mut attempts, of.0);
                    }
                }
                What::Dropped | What::RunsUntold | What::Ended => {}
            }
        }
        for ((job, _), attempt) in open {
            let until = attempt.until;
            close(Some(attempt), until, true, &mut attempts, job);
        }
    }
    let mut by_key: BTreeMap<String, Vec<(u64, usize)>> = BTreeMap::new();
    verdict.jobs = attempts.len();
    for (job, of_job) in &mut attempts {
        of_job.sort_by_key(|a| a.from);
        verdict.most_attempts = verdict.most_attempts.max(of_job.len());
        if of_job.len() > allowed.attempts {
            verdict.broken.push(format!("job {job:016x}: {} attempts", of_job.len()));
        }
        for (at, attempt) in of_job.iter().enumerate() {
            if let Some(key) = &attempt.key {
                by_key.entry(key.clone()).or_default().push((*job, at));
            }
            let risky = of_job[..at].iter().find(|a| a.may_have_run && a.key.is_some());
            if let Some(first) = risky {
                let after = attempt.from.saturating_sub(first.from);
                if after > allowed.window + allowed.slack {
                    verdict.broken.push(format!("job {job:016x}: repeated after {after:?}"));
                }
            }
        }
        together(of_job.iter(), &format!("job {job:016x}"), allowed, &mut verdict.broken);
    }
    for (key, places) in by_key {
        let mut all: Vec<&Attempt> = places.iter().map(|(job, at)| &attempts[job][*at]).collect();
        all.sort_by_key(|a| a.from);
        together(all.into_iter(), &format!("key {key}"), allowed, &mut verdict.broken);
    }
    verdict
}

fn together<'a>(
    attempts: impl Iterator<Item = &'a Attempt>,
    name: &str,
    allowed: Allowed,
    broken: &mut Vec<Broken>,
) {
    let mut until: Option<(Duration, usize)> = None;
    for attempt in attempts {
        if let Some((end, node)) = until.filter(|(end, _)| *end > attempt.from + allowed.slack) {
            let over = end - attempt.from;
            broken.push(format!("{name}: out at nodes {node} and {} together for {over:?}", attempt.node));
        }
        if until.is_none_or(|(end, _)| end < attempt.until) {
            until = Some((attempt.until, attempt.node));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALLOWED: Allowed =
        Allowed { attempts: 2, window: Duration::from_secs(6), slack: Duration::from_millis(50) };

    fn ledger(entries: &[(u64, u64, What)]) -> Ledger {
        let mut ledger = Ledger { node: "n".into(), ..Ledger::default() };
        entries
            .iter()
            .for_each(|(ms, job, what)| ledger.book(Duration::from_millis(*ms), *job, 1, what.clone()));
        ledger
    }

    fn ask(left_ms: u64) -> What {
        What::Ask { class: "keyed".into(), key: Some("k".into()), left_ms }
    }

    /// Guards the auditor itself: what breaks a rule is seen, and what keeps it is not called broken.
    #[test]
    fn broken_rules_are_seen() {
        let quiet = [
            ledger(&[(0, 1, ask(1000)), (100, 1, What::Refused)]),
            ledger(&[(120, 1, ask(1000)), (1000, 1, What::Stopped)]),
        ];
        assert_eq!(audit(&quiet, ALLOWED).broken, Vec::<String>::new());
        let cases = [
            (
                vec![ledger(&[(0, 1, ask(1000))]), ledger(&[(500, 1, ask(1000)), (510, 1, What::Refused)])],
                "together",
            ),
            (vec![ledger(&[(0, 1, ask(100))]), ledger(&[(7000, 1, ask(100))])], "repeated after"),
            (vec![ledger(&[(0, 1, ask(1000))]), ledger(&[(500, 2, ask(10))])], "key k: out"),
            (
                vec![ledger(&[
                    (0, 1, ask(9)),
                    (10, 1, What::Refused),
                    (20, 1, ask(9)),
                    (30, 1, What::Refused),
                    (40, 1, ask(9)),
                ])],
                "3 attempts",
            ),
        ];
        for (ledgers, wanted) in cases {
            let broken = audit(&ledgers, ALLOWED).broken;
            assert!(broken.iter().any(|b| b.contains(wanted)), "{wanted}: {broken:?}");
        }
    }
}
