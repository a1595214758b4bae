//! The operators' limits: the table in force, and the budget that each job holds. `decide::limits` makes the
//! decisions.

use super::*;
use crate::decide::limits::Reading;

/// Count. Errors of a rejected file that are kept for reading.
const MAX_ERRORS: usize = 20;

/// The limits in force, and the file from which they came.
pub(super) struct ActiveLimits {
    pub limits: Limits,
    generation: u64,
    digest: String,
    since: Seconds,
    refused: Option<(Seconds, Vec<String>)>,
}

/// The limits in force, as readers see them.
#[derive(Clone, Debug)]
pub struct LimitsView {
    /// Count of files applied so far; 0 if there was none.
    pub generation: u64,
    /// SHA-256 of the file's text; empty if there is none.
    pub digest: String,
    /// Time at which the file was applied.
    pub since: Seconds,
    /// Time and errors of the last rejected file.
    pub refused: Option<(Seconds, Vec<String>)>,
    /// The current value of each counter.
    pub readings: Vec<Reading>,
    /// The compiled file.
    pub table: Arc<Table>,
}

impl ActiveLimits {
    pub fn new(limits: Limits) -> ActiveLimits {
        ActiveLimits { limits, generation: 0, digest: String::new(), since: 0.0, refused: None }
    }

    pub fn refuse(&mut self, now: Seconds, mut why: Vec<String>) {
        why.truncate(MAX_ERRORS);
        self.refused = Some((now, why));
    }
}

impl Core {
    /// The limits in force and their current use.
    pub fn limits_view(&mut self, now: Seconds) -> LimitsView {
        let active = &mut self.limits;
        LimitsView {
            generation: active.generation,
            digest: active.digest.clone(),
            since: active.since,
            refused: active.refused.clone(),
            readings: active.limits.readings(now),
            table: active.limits.table().clone(),
        }
    }

    /// Number of gauges in memory.
    #[cfg(test)]
    pub fn gauges_kept(&self) -> usize {
        self.limits.limits.gauge_count()
    }

    pub(super) fn activate_limits(&mut self, now: Seconds, table: Arc<Table>, digest: String) {
        self.limits.limits.swap(now, table);
        (self.limits.digest, self.limits.since) = (digest, now);
        self.limits.generation += 1;
    }

    /// Applies the limits in force to a new job, or rejects the job. A job keeps these limits when the file
    /// changes.
    pub(super) fn apply_limits(
        &mut self,
        now: Seconds,
        mut submission: JobSubmission,
    ) -> Result<(JobSubmission, Option<Ticket>), Rejection> {
        let front = match submission.owner {
            Owner::Link(_) => Front::Platform,
            Owner::Rest | Owner::Group { .. } => Front::Rest,
        };
        let (class, room) = (submission.task.class, submission.task.room);
        let subject = Subject { front, class, service: &submission.spec.service, room };
        let Some(resolved) = self.limits.limits.resolve(&subject) else { return Ok((submission, None)) };
        let Resolved { task, total_s, .. } = *resolved;
        let until = submission.task.deadline.min(now + total_s);
        let ticket = self.limits.limits.admit(now, &resolved, until)?;
        // The group decides on retries of a member that may have run: it sends no copy before the earlier one
        // is proved gone.
        let copies = task.copies && !matches!(submission.owner, Owner::Group { .. });
        submission.task.limits = TaskLimits { copies, ..task };
        // The limits may shorten the owner's deadline, but never extend it.
        submission.task.deadline = until;
        Ok((submission, ticket))
    }

    /// Removes a job from the pending ones and returns its budget.
    pub(super) fn release_pending(&mut self, now: Seconds, id: RequestId) {
        self.count_pending(id, false);
        if let Some(ticket) = self.jobs.get_mut(&id).and_then(|job| job.ticket.take()) {
            self.limits.limits.return_ticket(now, ticket);
        }
    }

    /// Charges an attempt that is about to start to the job's limits; returns false if a limit forbids it.
    pub(super) fn charge_attempt(&mut self, now: Seconds, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let first = !std::mem::replace(&mut job.charged, true);
        let Some(ticket) = &job.ticket else { return true };
        if first {
            self.limits.limits.count_first_attempt(now, ticket);
            return true;
        }
        job.limit_rejection = self.limits.limits.take_retry(now, ticket).err();
        job.limit_rejection.is_none()
    }

    /// Whether the limits allow no further attempt of a pending job.
    pub(super) fn is_last_attempt(&mut self, now: Seconds, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return true };
        if job.attempts >= self.settings.max_attempts.min(job.task.limits.attempts) {
            return true;
        }
        let Some(ticket) = &job.ticket else { return false };
        job.limit_rejection = self.limits.limits.can_retry(now, ticket).err();
        job.limit_rejection.is_some()
    }
}

#[cfg(test)]
pub(super) mod tests;
