//! The attempts of a job and the guards that hold whatever the module decides: one attempt out, no send to a machine
//! that drains, the repeat window, and the end of what stood.

use super::machines::CUT;
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
        let limits = job.task.limits;
        // A group tries a member again only once its earlier copy is proved gone; the window holds all the same.
        let of_group = matches!(job.owner, Owner::Group { .. });
        let in_window = match (self.settings.classes[job.task.class].effect, job.risky_since) {
            (_, None) => true,
            (_, Some(_)) if !limits.copies && (job.own_risk || !of_group) => false,
            (Effect_::Repeatable, _) => true,
            (Effect_::Once, Some(_)) => false,
            (Effect_::Keyed { window_s, .. }, Some(since)) => now < since + window_s.min(limits.window_s),
        };
        // What these forbid now they forbid for good: the module need not ask again.
        let for_good = !in_window || attempt >= self.settings.max_attempts.min(limits.attempts);
        let allowed = ready
            && !for_good
            && job.phase == Phase::Pending
            && job.trial.is_none()
            && now < job.task.deadline.min(give_up_at);
        if !allowed {
            return Some(moot(id, attempt, for_good));
        }
        if !self.pay_for_try(now, id) {
            return Some(moot(id, attempt, true));
        }
        let job = self.jobs.get_mut(&id)?;
        let until = give_up_at.min(job.task.deadline).min(now + limits.attempt_s);
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
        job.may_have_run(trial.at);
        let (owner, service) = (job.owner, job.task.service);
        self.groups.starts.learn(now, service, now - trial.at);
        self.answered(now, id);
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
            job.may_have_run(trial.at);
            if matches!(job.owner, Owner::Group { .. }) {
                // No copy of a member may run on that its group does not know of.
                effects.push(Effect::Stop { machine: trial.machine, job: id, cause: CUT });
                self.unproved(id, trial.machine);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let finished = job.phase != Phase::Pending;
        let last = !finished && self.is_last(now, id);
        self.changed(id, ChangeKind::Modified, effects);
        let (request, attempt, reason) = (id, trial.attempt, why);
        let end = End { request, attempt, outcome, reason, finished, last, report };
        self.feed(now, Event::Ended(end), effects);
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
        self.feed(now, ended(id, attempt, outcome, why, true, report), effects);
    }

    pub(super) fn give_up_trial(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Trial> {
        let job = self.jobs.get_mut(&id)?;
        let trial = job.trial.take()?;
        if trial.left {
            job.may_have_run(trial.at);
        }
        effects.push(Effect::GiveUp { machine: trial.machine, job: id });
        if trial.left && matches!(job.owner, Owner::Group { .. }) {
            // The give-up is lost with its connection; this is not.
            effects.push(Effect::Stop { machine: trial.machine, job: id, cause: CUT });
            self.unproved(id, trial.machine);
        }
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

/// An attempt that is not let out; `last` where no other will be.
fn moot(request: RequestId, attempt: AttemptNo, last: bool) -> Event {
    let (outcome, reason) = (Outcome::Moot, Reason::Unknown);
    Event::Ended(End { request, attempt, outcome, reason, finished: false, last, report: None })
}
