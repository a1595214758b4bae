//! The attempts of a job and the guards that hold whatever the module decides: one attempt out, no send to a machine
//! that drains, the repeat window, and the end of what stood.

use super::alarms::Alarm;
use super::jobs::{Past, Spot};
use super::machines::CUT;
use super::*;

/// Seconds. So long a machine has to answer that it heard a give-up: as long as it has for any test.
const PROOF_S: Seconds = 1.0;
/// Share of `fall_s`. So long an attempt for a cold machine may wait to leave: the module counts its offers when they are
/// decided, over windows that are longer by this (`COLD_WINDOWS` of the module).
const COLD_QUEUED: f64 = 0.25;
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
        let entry = self.nodes.get(machine).map(Node::entry);
        let ready = entry.is_some_and(|e| e.standing == Standing::Ready);
        let spot = entry.map_or(Spot { machine, zone: ZoneId(0), cell: CellId(0) }, |e| e.spot());
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
        let in_group = match self.settings.classes[job.task.class].effect {
            Effect_::Keyed { group, .. } => job.is_together(group, spot),
            _ => true,
        };
        // An answer tells no attempt's number. Where an earlier one was, a test before this one parts their answers;
        // where its connection broke, what it left may be told on any later one.
        let again = job.past.iter().any(|p| p.machine == machine);
        let parted =
            !again || (self.settings.probes && job.past.iter().all(|p| p.machine != machine || p.settled));
        let allowed = ready
            && !for_good
            && in_group
            && parted
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
        // It may wait in the queue until its window has ended, or until the machine's next part is let out.
        let window_ends = match self.settings.classes[job.task.class].effect {
            Effect_::Keyed { window_s, .. } => {
                job.risky_since.map(|since| since + window_s.min(limits.window_s))
            }
            _ => None,
        };
        let is_cold = entry.is_some_and(|e| e.started > 0.0 && now < e.started + self.settings.warm_within_s);
        let part_ends = is_cold.then_some(now + self.settings.fall_s * COLD_QUEUED);
        let leaves_by = window_ends.into_iter().chain(part_ends).fold(until, f64::min);
        self.asks += u64::from(again);
        let fence = again.then_some(self.asks);
        let (left, asked, out_of_sight) = (false, None, false);
        job.trial = Some(Trial {
            attempt,
            machine,
            spot,
            at: now,
            left,
            fence,
            asked,
            out_of_sight,
            departure: None,
        });
        let spec = job.spec.clone();
        if let Some(node) = self.nodes.get_mut(machine) {
            node.trying.insert(id);
        }
        effects.push(Effect::Launch { machine, job: id, attempt, left_s: until - now, fence, spec });
        self.alarm(until, Alarm::GiveUp(id, attempt));
        if leaves_by < until {
            self.alarm(leaves_by, Alarm::Unsent(id, attempt));
        }
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
        let trial = self.jobs.get(&id).and_then(|j| j.trial);
        if !trial.is_some_and(|t| t.is_answered_by(at) && t.asked.is_none()) {
            return;
        }
        let Some(trial) = self.take_trial(id) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.phase, job.machine, job.placed_at) = (Phase::Running, Some(at), now);
        job.may_have_run(&trial);
        job.past = Vec::new();
        let (owner, service) = (job.owner, job.task.service);
        self.groups.starts.learn(now, service, now - trial.at);
        self.answered(now, id);
        self.lighten(id);
        if self.nodes.stands(at, id) == Stands::First {
            effects.push(Effect::Watch { machine: at });
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
        let Some(trial) = self.take_trial(id) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last = Some((outcome, why));
        if trial.left {
            job.past.push(Past { machine: trial.machine, settled: !trial.out_of_sight });
        }
        if !outcome.never_ran() {
            job.may_have_run(&trial);
            if matches!(job.owner, Owner::Group { .. }) {
                // No copy of a member may run on that its group does not know of.
                effects.push(Effect::Stop { machine: trial.machine, job: id, cause: CUT });
                self.unproved(id, trial.machine);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (finished, unheard) = (job.phase != Phase::Pending, job.unheard);
        let last = !finished && (unheard || self.is_last(now, id));
        let (machine, attempt) = (trial.machine, trial.attempt);
        effects.push(Effect::AttemptOver { job: id, machine, attempt, outcome, why, unheard });
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
        let machine = trial.machine;
        if !trial.left {
            // What never left the queue never ran, and must not leave it later.
            effects.push(Effect::GiveUp { machine, job: id });
            return self.trial_over(now, id, Outcome::ConnectFailed, Reason::Unknown, None, effects);
        }
        let Some(ask) = self.give_up_left(now, id, effects) else { return };
        // Where no test may be sent, nothing can prove it.
        if !self.settings.probes {
            return self.unheard(now, id, attempt, effects);
        }
        effects.push(Effect::Ask { machine, ask });
    }

    /// Gives an attempt up that left: it is out until its machine is known to have given it up, or counts as unheard. Gives
    /// the number of the test whose answer would prove it, where none is asked for yet and there is time for it.
    pub(super) fn give_up_left(
        &mut self,
        now: Seconds,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<u64> {
        let job = self.jobs.get_mut(&id)?;
        let trial = job.trial.as_mut().filter(|t| t.asked.is_none())?;
        let (machine, attempt) = (trial.machine, trial.attempt);
        effects.push(Effect::GiveUp { machine, job: id });
        // A group has its own proof.
        if matches!(job.owner, Owner::Group { .. }) {
            self.trial_over(now, id, Outcome::TimedOut, Reason::Unknown, None, effects);
            return None;
        }
        self.asks += 1;
        trial.asked = Some(self.asks);
        let until = (now + PROOF_S).min(job.task.deadline - PROOF_SPARE_S);
        if until <= now {
            self.unheard(now, id, attempt, effects);
            return None;
        }
        self.alarm(until, Alarm::Unproved(id, attempt));
        Some(self.asks)
    }

    /// Where an attempt is booked that has not left, and so never ran.
    pub(super) fn unsent(&self, id: RequestId, attempt: AttemptNo) -> Option<MachineId> {
        let trial = self.jobs.get(&id).and_then(|j| j.trial).filter(|t| t.attempt == attempt && !t.left);
        trial.map(|t| t.machine)
    }

    /// Takes a job's attempt out of the books.
    fn take_trial(&mut self, id: RequestId) -> Option<Trial> {
        let trial = self.jobs.get_mut(&id)?.trial.take()?;
        let booked = match (trial.departure, self.nodes.get_mut(trial.machine)) {
            (Some(departure), _) => self.departures.remove(departure, id),
            (None, Some(node)) => node.trying.remove(&id),
            (None, None) => true,
        };
        debug_assert!(booked || trial.departure.is_some(), "an attempt is booked where it is");
        Some(trial)
    }

    /// The jobs of which such an attempt is out or queued at a machine.
    pub(super) fn tried(&self, machine: MachineId, is: impl Fn(&Trial) -> bool) -> Vec<RequestId> {
        let Some(node) = self.nodes.get(machine) else { return vec![] };
        let hit = |id: &RequestId| self.jobs.get(id).and_then(|j| j.trial.as_ref()).is_some_and(&is);
        node.trying.iter().copied().filter(hit).collect()
    }

    /// An attempt that left ends without a word of its machine: a copy may run there.
    fn lose_sight(&mut self, id: RequestId) {
        let Some(trial) = self.jobs.get_mut(&id).and_then(|j| j.trial.as_mut()) else { return };
        trial.out_of_sight = true;
        let machine = trial.machine;
        self.unproved(id, machine);
    }

    /// A machine heard all that was written to it before it was asked that.
    pub(super) fn heard(&mut self, now: Seconds, machine: MachineId, ask: u64, effects: &mut Vec<Effect>) {
        for job in self.tried(machine, |t| t.fence.is_some_and(|fence| fence <= ask)) {
            if let Some(trial) = self.jobs.get_mut(&job).and_then(|j| j.trial.as_mut()) {
                trial.fence = None;
            }
        }
        for job in self.tried(machine, |t| t.asked.is_some_and(|asked| asked <= ask)) {
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
            self.lose_sight(id);
            self.trial_over(now, id, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
    }

    /// The connection of a machine that left the list has ended, with an attempt that was out there.
    pub(super) fn departure_ended(
        &mut self,
        now: Seconds,
        id: RequestId,
        proved: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(trial) = self.jobs.get(&id).and_then(|j| j.trial) else { return };
        if proved {
            self.trial_over(now, id, Outcome::Lost, Reason::Unknown, None, effects);
        } else {
            self.unheard(now, id, trial.attempt, effects);
        }
    }

    /// A connection ended. Where its machine is not known to have ended it, too, what is out on it may be out for good.
    pub(super) fn link_broken(
        &mut self,
        now: Seconds,
        machine: MachineId,
        proved: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !proved {
            for id in self.tried(machine, |t| t.left) {
                let job = self.jobs.get_mut(&id).filter(|j| !matches!(j.owner, Owner::Group { .. }));
                if let Some(job) = job {
                    job.unheard = true;
                }
            }
        }
        self.break_trials(now, machine, true, Reason::Broken, effects);
    }

    pub(super) fn give_up_trial(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Trial> {
        let trial = self.take_trial(id)?;
        let job = self.jobs.get_mut(&id)?;
        let (machine, attempt, unheard) = (trial.machine, trial.attempt, job.unheard);
        let (outcome, why) = (Outcome::Cancelled, Reason::Unknown);
        effects.push(Effect::AttemptOver { job: id, machine, attempt, outcome, why, unheard });
        if trial.left {
            job.may_have_run(&trial);
        }
        if trial.asked.is_none() {
            effects.push(Effect::GiveUp { machine: trial.machine, job: id });
        }
        if trial.left && matches!(job.owner, Owner::Group { .. }) {
            // The give-up is lost with its connection; this is not.
            effects.push(Effect::Stop { machine: trial.machine, job: id, cause: CUT });
        }
        if trial.left {
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
        for job in self.tried(machine, |t| t.left == left) {
            // What was open on a connection that broke is given up by that, should its machine see it break.
            if left {
                self.lose_sight(job);
            } else {
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
