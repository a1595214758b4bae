//! Ends that machines report: of attempts, of running tasks, and of tasks that this planner does not hold.

use super::alarms::Alarm;
use super::*;

impl Core {
    /// Handles a machine's report that an attempt or a running task has ended; `before` is the outcome if the
    /// task was not running yet, `after` the outcome if it was.
    pub(super) fn reported_end(
        &mut self,
        now: Seconds,
        (machine, id): (MachineId, RequestId),
        (before, after): (Outcome, Outcome),
        why: Reason,
        report: Option<Report>,
        effects: &mut Vec<Effect>,
    ) {
        self.prove_gone(id, machine, CopyEnd::Reported);
        self.kept_back.forget(machine, id);
        let Some(job) = self.jobs.get(&id).filter(|job| !job.phase.is_over()) else {
            // The machine does not repeat the report if the task's owner hands the task over later.
            return self.keep_unclaimed_end(now, (id, machine), after);
        };
        // An attempt that is still queued, or whose preceding connection check is unanswered, cannot have been
        // answered: the message belongs to an earlier attempt.
        if let Some(open_attempt) = job.open_attempt.filter(|t| t.is_answered_by(machine)) {
            self.attempt_answered(now, &open_attempt, effects);
            self.end_attempt(now, id, before, why, report, effects);
        } else if job.phase == Phase::Running && job.machine == Some(machine) {
            // An owner's stop order closes its job at once. A task that still runs here was cut by somebody else, such
            // as another planner from before its owner handed it over, and the owner must hear of it.
            let outcome = if after == Outcome::Cancelled { Outcome::Lost } else { after };
            self.end_running_task(now, id, outcome, why, report, effects);
        }
    }

    /// Ends a running task; its owner is notified unless the owner itself stopped the task.
    pub(super) fn end_running_task(
        &mut self,
        now: Seconds,
        id: RequestId,
        outcome: Outcome,
        why: Reason,
        report: Option<Report>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last = Some((outcome, why));
        let (owner, attempt) = (job.owner, job.attempts.saturating_sub(1));
        let room = job.task.room;
        self.groups.ends.count(now, room);
        if outcome != Outcome::Cancelled {
            effects.push(Effect::Released { owner, job: id, outcome });
        }
        let phase = match outcome {
            Outcome::Ok => Phase::Succeeded,
            Outcome::Cancelled => Phase::Cancelled,
            _ => Phase::Lost,
        };
        self.close(now, id, phase, effects);
        self.feed_placer(now, ended(id, attempt, outcome, why, true, report), effects);
    }

    /// Keeps the reported end of a task that this planner does not hold, for its adoption.
    pub(super) fn keep_unclaimed_end(
        &mut self,
        now: Seconds,
        task: (RequestId, MachineId),
        outcome: Outcome,
    ) {
        let is_alarm_due = self.unclaimed_ends.next_expiry().is_some();
        self.unclaimed_ends.record(now, task, outcome, self.bounds.standing);
        if !is_alarm_due {
            self.expire_ends(now);
        }
    }

    /// Drops the ends that were kept long enough, and sets the alarm for the next ones.
    pub(super) fn expire_ends(&mut self, now: Seconds) {
        self.unclaimed_ends.expire(now);
        if let Some(at) = self.unclaimed_ends.next_expiry() {
            self.alarm(at, Alarm::ExpireEnds);
        }
    }
}
