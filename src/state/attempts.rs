//! The attempts of a job and the guards that hold whatever the module decides: one attempt out, no send to a machine
//! that drains, the repeat window, and the end of what stood.

use super::alarms::Alarm;
use super::machines::CUT;
use super::*;

/// Seconds. So long a machine has to answer that it heard a give-up: as long as it has for any test.
const PROOF_S: Seconds = 1.0;
/// Seconds. Kept free before the deadline for the answer of a job whose give-up nobody heard.
const PROOF_SPARE_S: Seconds = 0.02;

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
        let for_good =
            !in_window || job.unheard || attempt >= self.settings.max_attempts.min(limits.attempts);
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
        job.trial = Some(Trial { attempt, machine, at: now, left: false, asked: None });
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
        let Some(trial) = job.trial.take_if(|t| t.machine == at && t.left && t.asked.is_none()) else {
            return;
        };
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
        let (finished, unheard) = (job.phase != Phase::Pending, job.unheard);
        let last = !finished && (unheard || self.is_last(now, id));
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

    /// The time of an attempt is up. One that left is out until its machine is known to have heard the give-up: one
    /// that is cut off hears none, and may still take it up.
    pub(super) fn time_out(
        &mut self,
        now: Seconds,
        id: RequestId,
        attempt: AttemptNo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(trial) = job.trial.as_mut().filter(|t| t.attempt == attempt && t.asked.is_none()) else {
            return;
        };
        let (machine, left) = (trial.machine, trial.left);
        // What never left the queue never ran, and must not leave it later.
        effects.push(Effect::GiveUp { machine, job: id });
        // A group has its own proof.
        if !left || matches!(job.owner, Owner::Group { .. }) {
            let outcome = if left { Outcome::TimedOut } else { Outcome::ConnectFailed };
            return self.trial_over(now, id, outcome, Reason::Unknown, None, effects);
        }
        self.asks += 1;
        trial.asked = Some(self.asks);
        let until = (now + PROOF_S).min(job.task.deadline - PROOF_SPARE_S);
        // Where no test may be sent, nothing can prove it.
        if until <= now || !self.settings.probes {
            return self.unheard(now, id, attempt, effects);
        }
        effects.push(Effect::Ask { machine, ask: self.asks });
        self.alarm(until, Alarm::Unproved(id, attempt));
    }

    /// The jobs of which such an attempt is out.
    fn tried(&self, is: impl Fn(&Trial) -> bool) -> Vec<RequestId> {
        let hit = |j: &Job| j.trial.as_ref().is_some_and(&is);
        self.jobs.iter().filter(|(_, j)| hit(j)).map(|(&id, _)| id).collect()
    }

    /// A machine heard all that was written to it before it was asked that.
    pub(super) fn heard(&mut self, now: Seconds, machine: MachineId, ask: u64, effects: &mut Vec<Effect>) {
        let proved = |t: &Trial| t.machine == machine && t.asked.is_some_and(|asked| asked <= ask);
        for job in self.tried(proved) {
            self.trial_over(now, job, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
    }

    /// No word came of a give-up: the job ends here, as another attempt might be out beside that one.
    pub(super) fn unheard(
        &mut self,
        now: Seconds,
        id: RequestId,
        attempt: AttemptNo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.trial.is_some_and(|t| t.attempt == attempt && t.asked.is_some()) {
            job.unheard = true;
            self.trial_over(now, id, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
    }

    pub(super) fn give_up_trial(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Trial> {
        let job = self.jobs.get_mut(&id)?;
        let trial = job.trial.take()?;
        if trial.left {
            job.may_have_run(trial.at);
        }
        if trial.asked.is_none() {
            effects.push(Effect::GiveUp { machine: trial.machine, job: id });
        }
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
        for job in self.tried(|t| t.machine == machine && t.left == left) {
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
