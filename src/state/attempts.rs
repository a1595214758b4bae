//! The attempts of a job and the guards that hold whatever the module decides: one attempt out, no send to a machine
//! that drains, the repeat window, and the end of what stood.

use super::*;

impl Core {
    /// Carries out a bind, or tells why it must not go out.
    pub(super) fn bind(
        &mut self,
        now: Seconds,
        id: RequestId,
        machine: MachineId,
        give_up_at: Seconds,
        effects: &mut Vec<Effect>,
    ) -> Option<Event> {
        let job = self.jobs.get_mut(&id)?;
        let attempt = job.attempts;
        job.attempts += 1;
        let ready = self.nodes.get(&machine).is_some_and(|n| n.entry.standing == Standing::Ready);
        let in_window = match (self.settings.classes[job.task.class].effect, job.risky_since) {
            (Effect_::Repeatable, _) | (_, None) => true,
            (Effect_::Once, Some(_)) => false,
            (Effect_::Keyed { window_s, .. }, Some(since)) => now < since + window_s,
        };
        let allowed = ready
            && in_window
            && job.phase == Phase::Pending
            && job.trial.is_none()
            && attempt < self.settings.max_attempts
            && now < job.task.deadline.min(give_up_at);
        if !allowed {
            let (outcome, reason) = (Outcome::Moot, Reason::Unknown);
            return Some(ended(id, attempt, outcome, reason, false, None));
        }
        let until = give_up_at.min(job.task.deadline);
        job.trial = Some(Trial { attempt, machine, at: now, left: false });
        let spec = job.spec.clone();
        effects.push(Effect::Launch { machine, job: id, attempt, left_s: until - now, spec });
        self.alarm(until, Alarm::GiveUp(id, attempt));
        self.changed(id, ChangeKind::Modified, effects);
        None
    }

    pub(super) fn bound(
        &mut self,
        now: Seconds,
        at: MachineId,
        id: RequestId,
        body: String,
        effects: &mut Vec<Effect>,
    ) {
        // An answer after a give-up finds no trial and is dropped: the give-up follows it on its connection.
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(trial) = job.trial.take_if(|t| t.machine == at && t.left) else { return };
        (job.phase, job.machine, job.placed_at) = (Phase::Running, Some(at), now);
        job.risky_since = job.risky_since.or(Some(trial.at));
        let owner = job.owner;
        self.count_waiting(id, false);
        self.lighten(id);
        if let Some(node) = self.nodes.get_mut(&at) {
            node.standing.insert(id);
        }
        effects.push(Effect::Placed { owner, job: id, body });
        self.changed(id, ChangeKind::Modified, effects);
        let event = Event::Bound { request: id, attempt: trial.attempt, took_s: now - trial.at };
        self.feed(now, event, effects);
    }

    /// An attempt that was out has an outcome.
    pub(super) fn trial_over(
        &mut self,
        now: Seconds,
        id: RequestId,
        outcome: Outcome,
        why: Reason,
        report: Option<Report>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(trial) = job.trial.take() else { return };
        job.last = Some((outcome, why));
        if !outcome.never_ran() {
            job.risky_since = job.risky_since.or(Some(trial.at));
        }
        let finished = job.phase != Phase::Pending;
        self.changed(id, ChangeKind::Modified, effects);
        self.feed(now, ended(id, trial.attempt, outcome, why, finished, report), effects);
    }

    /// A task that stood is over: its owner hears of it, unless the owner ended it.
    pub(super) fn standing_over(
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
        if outcome != Outcome::Cancelled {
            effects.push(Effect::Released { owner, job: id, outcome });
        }
        let phase = match outcome {
            Outcome::Ok => Phase::Succeeded,
            Outcome::Cancelled => Phase::Cancelled,
            _ => Phase::Lost,
        };
        self.close(now, id, phase, effects);
        self.feed(now, ended(id, attempt, outcome, why, true, report), effects);
    }

    pub(super) fn give_up_trial(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Trial> {
        let job = self.jobs.get_mut(&id)?;
        let trial = job.trial.take()?;
        if trial.left {
            job.risky_since = job.risky_since.or(Some(trial.at));
        }
        effects.push(Effect::GiveUp { machine: trial.machine, job: id });
        Some(trial)
    }

    /// Ends the attempts at a machine that have left this process, or those that have not.
    pub(super) fn break_trials(
        &mut self,
        now: Seconds,
        machine: MachineId,
        left: bool,
        why: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let hit = |j: &Job| j.trial.is_some_and(|t| t.machine == machine && t.left == left);
        let jobs: Vec<RequestId> = self.jobs.iter().filter(|(_, j)| hit(j)).map(|(&id, _)| id).collect();
        for job in jobs {
            // What was open on a connection that broke is given up by that.
            if !left {
                effects.push(Effect::GiveUp { machine, job });
            }
            let outcome = if left { Outcome::Lost } else { Outcome::ConnectFailed };
            self.trial_over(now, job, outcome, why, None, effects);
        }
    }
}
