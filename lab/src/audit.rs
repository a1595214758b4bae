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

/// An attempt as its machine saw it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub node: usize,
    pub class: String,
    pub key: Option<String>,
    pub from: Duration,
    pub until: Duration,
    /// The machine's own word ended it, so that its planner heard of it later.
    pub by_word: bool,
    may_have_run: bool,
}

/// The attempts of each job by all ledgers of a run, in the order of their times.
pub(crate) fn attempts(ledgers: &[Ledger], verdict: &mut Verdict) -> BTreeMap<u64, Vec<Attempt>> {
    let mut attempts: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    for (node, ledger) in ledgers.iter().enumerate() {
        if ledger.passed_over > 0 {
            verdict.broken.push(format!("{}: the ledger ran over, nothing is proved", ledger.node));
        }
        // Attempts of this node that are open. A connection's end may be seen just after the next one's first offer, so
        // that one job may be open on both; whether for too long is `together`'s to say.
        let mut open: BTreeMap<(u64, u64), Attempt> = BTreeMap::new();
        let mut close = |attempt: Option<Attempt>, at: Duration, (ran, by_word): (bool, bool), job| {
            let Some(mut attempt) = attempt else { return };
            attempt.by_word = by_word && at <= attempt.until;
            attempt.until = attempt.until.min(at);
            attempt.may_have_run |= ran;
            attempts.entry(job).or_default().push(attempt);
        };
        for entry in &ledger.entries {
            let (at, job) = (entry.at, entry.job);
            let of = (job, entry.connection);
            match &entry.what {
                What::Ask { class, key, left_ms, .. } => {
                    verdict.asks += 1;
                    if let Some(twice) = open.remove(&of) {
                        verdict.broken.push(format!("{}: job {job:016x} came twice", ledger.node));
                        close(Some(twice), at, (true, false), job);
                    }
                    let until = at + Duration::from_millis(*left_ms);
                    let (class, key) = (class.clone(), key.clone());
                    let (by_word, may_have_run) = (false, false);
                    open.insert(of, Attempt { node, class, key, from: at, until, by_word, may_have_run });
                }
                What::Refused => close(open.remove(&of), at, (false, true), job),
                What::Failed | What::Runs => close(open.remove(&of), at, (true, true), job),
                What::Stopped | What::Lost => close(open.remove(&of), at, (true, false), job),
                What::Opened => {}
                What::Closed => {
                    let on_it = |of: &&(u64, u64)| of.1 == entry.connection;
                    let gone: Vec<(u64, u64)> = open.keys().filter(on_it).copied().collect();
                    for of in gone {
                        close(open.remove(&of), at, (true, false), of.0);
                    }
                }
                What::Dropped | What::RunsUntold | What::Ended | What::Cut => {}
            }
        }
        for ((job, _), attempt) in open {
            let until = attempt.until;
            close(Some(attempt), until, (true, false), job);
        }
    }
    attempts.values_mut().for_each(|of_job| of_job.sort_by_key(|a| a.from));
    attempts
}

/// Looks all ledgers of a run over.
pub fn audit(ledgers: &[Ledger], allowed: Allowed) -> Verdict {
    let mut verdict = Verdict::default();
    let attempts = attempts(ledgers, &mut verdict);
    let mut by_key: BTreeMap<String, Vec<(u64, usize)>> = BTreeMap::new();
    verdict.jobs = attempts.len();
    for (job, of_job) in &attempts {
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

/// How groups stood, by the ledgers alone.
#[derive(Clone, Debug, Default)]
pub struct GroupVerdict {
    /// Groups of which a member ran.
    pub groups: usize,
    /// How long each stood in part, every time that it did.
    pub partial: Vec<Duration>,
    /// Members of which two copies ran together.
    pub doubled: Vec<Broken>,
}

/// Looks how groups stood: `of` gives the group, the member and the number of members from a description. A copy counts
/// as gone once the order to cut it has come to its node, also where that does nothing for a while: it is unreachable
/// then, and no planner can do more.
pub fn groups(
    ledgers: &[Ledger],
    of: impl Fn(&str) -> Option<(u64, usize, usize)>,
    slack: Duration,
) -> GroupVerdict {
    struct Copy {
        member: usize,
        from: Duration,
        until: Duration,
    }
    let mut all: BTreeMap<u64, (usize, Vec<Copy>)> = BTreeMap::new();
    for ledger in ledgers {
        let mut places: BTreeMap<u64, (u64, usize, usize)> = BTreeMap::new();
        let mut running: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut told: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut done =
            |job: u64, from: Duration, until: Duration, places: &BTreeMap<u64, (u64, usize, usize)>| {
                if let Some(&(group, member, members)) = places.get(&job) {
                    let entry = all.entry(group).or_insert_with(|| (members, Vec::new()));
                    entry.1.push(Copy { member, from, until });
                }
            };
        for entry in &ledger.entries {
            match &entry.what {
                What::Ask { body, .. } => {
                    if let Some(place) = of(body) {
                        places.insert(entry.job, place);
                    }
                    told.remove(&entry.job);
                }
                What::Runs | What::RunsUntold => {
                    running.insert(entry.job, entry.at);
                    if let Some(at) = told.get(&entry.job) {
                        running.remove(&entry.job);
                        done(entry.job, entry.at, entry.at.max(*at), &places);
                    }
                }
                What::Stopped | What::Ended | What::Lost | What::Cut => {
                    if let Some(from) = running.remove(&entry.job) {
                        done(entry.job, from, entry.at, &places);
                    }
                    if entry.what == What::Stopped {
                        told.insert(entry.job, entry.at);
                    }
                }
                _ => {}
            }
        }
        let end = ledger.entries.last().map_or(Duration::ZERO, |e| e.at);
        for (job, from) in running {
            done(job, from, end, &places);
        }
    }
    let mut verdict = GroupVerdict { groups: all.len(), ..GroupVerdict::default() };
    for (group, (members, mut copies)) in all {
        copies.sort_by_key(|c| c.from);
        let mut last: BTreeMap<usize, Duration> = BTreeMap::new();
        for copy in &copies {
            if last.get(&copy.member).is_some_and(|until| *until > copy.from + slack) {
                verdict.doubled.push(format!("group {group}: two copies of member {}", copy.member));
            }
            let until = last.entry(copy.member).or_default();
            *until = (*until).max(copy.until);
        }
        // Every change of what runs, in order; ends before starts at the same time.
        let mut changes: Vec<(Duration, bool, usize)> = Vec::new();
        for copy in &copies {
            changes.extend([(copy.from, true, copy.member), (copy.until, false, copy.member)]);
        }
        changes.sort_by_key(|&(at, starts, _)| (at, starts));
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        let (mut since, mut whole) = (None, false);
        for (at, starts, member) in changes {
            match starts {
                true => *runs.entry(member).or_default() += 1,
                false => {
                    let left = runs.get(&member).copied().unwrap_or_default().saturating_sub(1);
                    runs.insert(member, left);
                    runs.retain(|_, count| *count > 0);
                }
            }
            // Once it stood whole, members end as their lives do.
            whole = (whole && !runs.is_empty()) || runs.len() == members;
            if since.is_none() && !runs.is_empty() && !whole {
                since = Some(at);
            }
            if runs.is_empty() || whole {
                verdict.partial.extend(since.take().map(|from: Duration| at - from));
            }
        }
    }
    verdict
}

#[cfg(test)]
mod tests;
