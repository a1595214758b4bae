//! Checks ledgers against the rules for attempts: no two attempts of a job at the same time, no more attempts
//! than allowed, and no repeat after the window has passed.

use crate::node::{Ledger, What};
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits that apply in a run.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// Maximum number of attempts of one job.
    pub attempts: usize,
    /// How long a keyed job may be repeated, counted from its first attempt that may have run.
    pub window: Duration,
    /// Tolerance for overlaps: a stop message and the next offer travel on different connections.
    pub slack: Duration,
}

/// Description of a broken rule.
pub type Violation = String;

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Number of offers.
    pub offers: usize,
    /// Number of jobs that were offered at least once.
    pub jobs: usize,
    /// Highest number of offers of one job.
    pub most_attempts: usize,
    /// Broken rules; none in a good run.
    pub broken: Vec<Violation>,
}

/// An attempt as its machine recorded it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub node: usize,
    pub class: String,
    pub key: Option<String>,
    pub from: Duration,
    pub until: Duration,
    /// The machine's own message ended it, so that the planner learned of the end later.
    pub ended_by_machine: bool,
    may_have_run: bool,
}

/// The attempts of each job over all ledgers of a run, by start time.
pub(crate) fn attempts(ledgers: &[Ledger], verdict: &mut Verdict) -> BTreeMap<u64, Vec<Attempt>> {
    let mut attempts: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    for (node, ledger) in ledgers.iter().enumerate() {
        if ledger.entries_dropped > 0 {
            verdict.broken.push(format!(
                "{}: the ledger was full and dropped entries, the audit is incomplete",
                ledger.node
            ));
        }
        // Attempts of this node that are open. A connection's end may be recorded just after the first offer
        // on the next one, so that one job may be open on both; `check_overlap` decides whether that lasts
        // too long.
        let mut open: BTreeMap<(u64, u64), Attempt> = BTreeMap::new();
        let mut close =
            |attempt: Option<Attempt>, at: Duration, (ran, ended_by_machine): (bool, bool), job| {
                let Some(mut attempt) = attempt else { return };
                attempt.ended_by_machine = ended_by_machine && at <= attempt.until;
                attempt.until = attempt.until.min(at);
                attempt.may_have_run |= ran;
                attempts.entry(job).or_default().push(attempt);
            };
        for entry in &ledger.entries {
            let (at, job) = (entry.at, entry.job);
            let of = (job, entry.connection);
            match &entry.what {
                What::Ask { class, key, left_ms, .. } => {
                    verdict.offers += 1;
                    if let Some(repeated) = open.remove(&of) {
                        verdict.broken.push(format!(
                            "{}: job {job:016x} was offered twice on one connection",
                            ledger.node
                        ));
                        close(Some(repeated), at, (true, false), job);
                    }
                    let until = at + Duration::from_millis(*left_ms);
                    let (class, key) = (class.clone(), key.clone());
                    let (ended_by_machine, may_have_run) = (false, false);
                    open.insert(
                        of,
                        Attempt { node, class, key, from: at, until, ended_by_machine, may_have_run },
                    );
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

/// Checks all ledgers of a run.
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
        check_overlap(of_job.iter(), &format!("job {job:016x}"), allowed, &mut verdict.broken);
    }
    for (key, positions) in by_key {
        let mut all: Vec<&Attempt> = positions.iter().map(|(job, at)| &attempts[job][*at]).collect();
        all.sort_by_key(|a| a.from);
        check_overlap(all.into_iter(), &format!("key {key}"), allowed, &mut verdict.broken);
    }
    verdict
}

/// Reports attempts that overlap by more than the slack.
fn check_overlap<'a>(
    attempts: impl Iterator<Item = &'a Attempt>,
    name: &str,
    allowed: Allowed,
    broken: &mut Vec<Violation>,
) {
    let mut until: Option<(Duration, usize)> = None;
    for attempt in attempts {
        if let Some((end, node)) = until.filter(|(end, _)| *end > attempt.from + allowed.slack) {
            let over = end - attempt.from;
            broken
                .push(format!("{name}: attempts at nodes {node} and {} together for {over:?}", attempt.node));
        }
        if until.is_none_or(|(end, _)| end < attempt.until) {
            until = Some((attempt.until, attempt.node));
        }
    }
}

/// How groups ran, by the ledgers alone.
#[derive(Clone, Debug, Default)]
pub struct GroupVerdict {
    /// Number of groups of which a member ran.
    pub groups: usize,
    /// Each period in which a group ran only partially.
    pub partial: Vec<Duration>,
    /// Members of which two copies ran at the same time.
    pub doubled: Vec<Violation>,
}

/// Checks how groups ran; `parse_member` returns the group, the member and the number of members from a
/// description. A copy counts as ended once the stop message has arrived at its node, even if the node is
/// paused: a planner can do no more about an unresponsive node.
pub fn groups(
    ledgers: &[Ledger],
    parse_member: impl Fn(&str) -> Option<(u64, usize, usize)>,
    slack: Duration,
) -> GroupVerdict {
    struct Copy {
        member: usize,
        from: Duration,
        until: Duration,
    }
    let mut all: BTreeMap<u64, (usize, Vec<Copy>)> = BTreeMap::new();
    for ledger in ledgers {
        let mut member_of_job: BTreeMap<u64, (u64, usize, usize)> = BTreeMap::new();
        let mut running: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut stopped_at: BTreeMap<u64, Duration> = BTreeMap::new();
        let mut record_copy =
            |job: u64,
             from: Duration,
             until: Duration,
             member_of_job: &BTreeMap<u64, (u64, usize, usize)>| {
                if let Some(&(group, member, members)) = member_of_job.get(&job) {
                    let entry = all.entry(group).or_insert_with(|| (members, Vec::new()));
                    entry.1.push(Copy { member, from, until });
                }
            };
        for entry in &ledger.entries {
            match &entry.what {
                What::Ask { body, .. } => {
                    if let Some(member_of) = parse_member(body) {
                        member_of_job.insert(entry.job, member_of);
                    }
                    stopped_at.remove(&entry.job);
                }
                What::Runs | What::RunsUntold => {
                    running.insert(entry.job, entry.at);
                    if let Some(at) = stopped_at.get(&entry.job) {
                        running.remove(&entry.job);
                        record_copy(entry.job, entry.at, entry.at.max(*at), &member_of_job);
                    }
                }
                What::Stopped | What::Ended | What::Lost | What::Cut => {
                    if let Some(from) = running.remove(&entry.job) {
                        record_copy(entry.job, from, entry.at, &member_of_job);
                    }
                    if entry.what == What::Stopped {
                        stopped_at.insert(entry.job, entry.at);
                    }
                }
                _ => {}
            }
        }
        let end = ledger.entries.last().map_or(Duration::ZERO, |e| e.at);
        for (job, from) in running {
            record_copy(job, from, end, &member_of_job);
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
        // All starts and ends in order; at the same time, ends come before starts.
        let mut changes: Vec<(Duration, bool, usize)> = Vec::new();
        for copy in &copies {
            changes.extend([(copy.from, true, copy.member), (copy.until, false, copy.member)]);
        }
        changes.sort_by_key(|&(at, starts, _)| (at, starts));
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        let (mut since, mut complete) = (None, false);
        for (at, starts, member) in changes {
            match starts {
                true => *runs.entry(member).or_default() += 1,
                false => {
                    let left = runs.get(&member).copied().unwrap_or_default().saturating_sub(1);
                    runs.insert(member, left);
                    runs.retain(|_, count| *count > 0);
                }
            }
            // Once all members have run together, each may end by itself.
            complete = (complete && !runs.is_empty()) || runs.len() == members;
            if since.is_none() && !runs.is_empty() && !complete {
                since = Some(at);
            }
            if runs.is_empty() || complete {
                verdict.partial.extend(since.take().map(|from: Duration| at - from));
            }
        }
    }
    verdict
}

#[cfg(test)]
mod tests;
