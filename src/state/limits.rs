//! The operators' limits: what is in force, and what jobs hold of it. The decisions are `decide::limits`'.

use super::*;
use crate::decide::limits::Reading;

/// Count. Faults of a refused file that are kept for looking at.
const MOST_FAULTS: usize = 20;

/// The limits and where they came from.
pub(super) struct InForce {
    pub limits: Limits,
    generation: u64,
    digest: String,
    since: Seconds,
    refused: Option<(Seconds, Vec<String>)>,
}

/// What is in force, as it can be looked at.
#[derive(Clone, Debug)]
pub struct LimitsView {
    /// Counts the files that were taken; 0 where there is none.
    pub generation: u64,
    /// SHA-256 of the file's text; empty where there is none.
    pub digest: String,
    /// When it was taken.
    pub since: Seconds,
    /// When a file was refused last, and why.
    pub refused: Option<(Seconds, Vec<String>)>,
    /// What is counted.
    pub readings: Vec<Reading>,
    /// The file.
    pub table: Arc<Table>,
}

impl InForce {
    pub fn new(limits: Limits) -> InForce {
        InForce { limits, generation: 0, digest: String::new(), since: 0.0, refused: None }
    }

    pub fn refuse(&mut self, now: Seconds, mut why: Vec<String>) {
        why.truncate(MOST_FAULTS);
        self.refused = Some((now, why));
    }
}

impl Core {
    /// What is in force, and how it is made use of.
    pub fn limits_view(&mut self, now: Seconds) -> LimitsView {
        let own = &mut self.limits;
        LimitsView {
            generation: own.generation,
            digest: own.digest.clone(),
            since: own.since,
            refused: own.refused.clone(),
            readings: own.limits.readings(now),
            table: own.limits.table().clone(),
        }
    }

    /// Gauges that are kept.
    #[cfg(test)]
    pub fn gauges_kept(&self) -> usize {
        self.limits.limits.kept()
    }

    pub(super) fn take_limits(&mut self, now: Seconds, table: Arc<Table>, digest: String) {
        self.limits.limits.swap(now, table);
        (self.limits.digest, self.limits.since) = (digest, now);
        self.limits.generation += 1;
    }

    /// Gives a job the limits in force, under which it then stays, or turns it away.
    pub(super) fn limit(&mut self, now: Seconds, mut ask: Ask) -> Result<(Ask, Option<Ticket>), Turned> {
        let front = match ask.owner {
            Owner::Link(_) => Front::Platform,
            Owner::Rest | Owner::Group { .. } => Front::Rest,
        };
        let (class, room) = (ask.task.class, ask.task.room);
        let subject = Subject { front, class, service: &ask.spec.service, room };
        let Some(resolved) = self.limits.limits.resolve(&subject) else { return Ok((ask, None)) };
        let Resolved { task, total_s, .. } = *resolved;
        let until = ask.task.deadline.min(now + total_s);
        let ticket = self.limits.limits.admit(now, &resolved, until)?;
        // A member that may have run is its group's matter: no copy of it goes out beside one that is not proved gone.
        let copies = task.copies && !matches!(ask.owner, Owner::Group { .. });
        ask.task.limits = TaskLimits { copies, ..task };
        // An owner's own time is shortened, never lengthened.
        ask.task.deadline = until;
        Ok((ask, ticket))
    }

    /// A job waits no more: it gives back what it holds.
    pub(super) fn answered(&mut self, now: Seconds, id: RequestId) {
        self.count_waiting(id, false);
        if let Some(ticket) = self.jobs.get_mut(&id).and_then(|job| job.ticket.take()) {
            self.limits.limits.over(now, ticket);
        }
    }

    /// Counts a try that is about to go out; false where it is not paid for.
    pub(super) fn pay_for_try(&mut self, now: Seconds, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let first = !std::mem::replace(&mut job.tried, true);
        let Some(ticket) = &job.ticket else { return true };
        if first {
            self.limits.limits.first_try(now, ticket);
            return true;
        }
        job.turned = self.limits.limits.further_try(now, ticket).err();
        job.turned.is_none()
    }

    /// Whether the limits let out no further attempt of a job that waits.
    pub(super) fn is_last(&mut self, now: Seconds, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return true };
        if job.attempts >= self.settings.max_attempts.min(job.task.limits.attempts) {
            return true;
        }
        let Some(ticket) = &job.ticket else { return false };
        job.turned = self.limits.limits.affords(now, ticket).err();
        job.turned.is_some()
    }
}

#[cfg(test)]
pub(super) mod tests;
