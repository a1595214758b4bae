//! Shutdown of the planner: every request is answered before the process may be killed.

use super::*;

impl Core {
    /// Starts the shutdown: all pending jobs are answered by `until`, and later ones are refused.
    pub(super) fn shut_down(&mut self, now: Seconds, until: Seconds, effects: &mut Vec<Effect>) {
        self.leave_fleet();
        self.stop_groups(now, effects);
        self.answers_by = self.answers_by.min(until);
        self.alarm(self.answers_by, Alarm::ShutDown);
        for job in self.jobs.values_mut().filter(|job| job.phase == Phase::Pending) {
            job.task.deadline = job.task.deadline.min(self.answers_by);
        }
        if self.answers_by <= now {
            self.answer_all(now, effects);
        }
    }

    /// Answers all pending jobs: as refused those that never ran, as failed those that may have.
    pub(super) fn answer_all(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        if now < self.answers_by {
            return;
        }
        let pending = self.jobs.iter().filter(|(_, job)| job.phase == Phase::Pending);
        let pending: Vec<(RequestId, FinalAnswer)> =
            pending.map(|(&id, job)| (id, final_answer_for(job))).collect();
        if !pending.is_empty() {
            effects.push(Effect::CutShort { requests: pending.len() as u64 });
        }
        for (id, final_answer) in pending {
            self.withdraw(now, id, final_answer, effects);
        }
    }
}

fn final_answer_for(job: &Job) -> FinalAnswer {
    let may_have_run =
        job.may_have_run_since.is_some() || job.open_attempt.is_some_and(|open_attempt| open_attempt.sent);
    if may_have_run {
        FinalAnswer::Failed
    } else {
        FinalAnswer::Refused
    }
}
