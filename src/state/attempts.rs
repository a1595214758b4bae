//! The attempts of a job, and the guards that hold whatever the placer decides: one open attempt per job, no
//! send to a draining machine, the repeat window, and the reported end of running tasks.

use super::alarms::Alarm;
use super::jobs::{Past, Spot};
use super::machines::CUT;
use super::*;

/// Seconds. Time that a machine has to confirm a cancellation: the same as for any connection check.
const PROOF_S: Seconds = 1.0;
/// Share of `fall_s` that an attempt for a cold machine may wait in the send queue. The placer counts
/// attempts when it decides them, over windows that are longer by this share (`COLD_WINDOWS` of the placer).
const COLD_QUEUED: f64 = 0.25;
/// Seconds. Time kept free before the deadline for the final answer of a job whose cancellation is not
/// confirmed.
const PROOF_SPARE_S: Seconds = 0.02;

impl Core {
    /// Starts the attempt that the placer decided, or returns the event that reports to the placer that a
    /// guard forbids it.
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
        // A group retries a member only once its earlier copy is proved gone; the repeat window applies all
        // the same.
        let of_group = matches!(job.owner, Owner::Group { .. });
        let in_window = match (self.settings.classes[job.task.class].effect, job.risky_since) {
            (_, None) => true,
            (_, Some(_)) if !limits.copies && (job.own_risk || !of_group) => false,
            (Effect_::Repeatable, _) => true,
            (Effect_::Once, Some(_)) => false,
            (Effect_::Keyed { window_s, .. }, Some(since)) => now < since + window_s.min(limits.window_s),
        };
        // These conditions never become true again, so that the placer need not retry.
        let for_good =
            !in_window || job.unheard || attempt >= self.settings.max_attempts.min(limits.attempts);
        let in_group = match self.settings.classes[job.task.class].effect {
            Effect_::Keyed { group, .. } => job.is_together(group, spot),
            _ => true,
        };
        // A machine's answers carry no attempt number. If an earlier attempt was sent to the same machine, a
        // connection check before this one separates their answers. If the earlier one's connection broke, a
        // message about it may arrive on any later connection, so that no check can separate them.
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
        // It may stay in the send queue until its repeat window ends, or until the cold machine's next share
        // of attempts is due.
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
        // An answer that arrives after a cancellation is dropped: the machine receives the cancellation after
        // it sent the answer.
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

    /// Ends the open attempt of a job with an outcome.
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
                // A copy of a group member must not keep running without its group's knowledge.
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

    /// Ends a running task; its owner is notified unless the owner itself stopped the task.
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

    /// Handles the time-out of an attempt. If it was sent, it stays open until its machine confirms the
    /// cancellation: an unreachable machine does not receive the cancellation and may still start the task.
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
            // An attempt that is still queued never ran. It is removed so that it is not sent later.
            effects.push(Effect::GiveUp { machine, job: id });
            return self.trial_over(now, id, Outcome::ConnectFailed, Reason::Unknown, None, effects);
        }
        let Some(ask) = self.give_up_left(now, id, effects) else { return };
        // Without connection checks, a cancellation cannot be confirmed.
        if !self.settings.probes {
            return self.unheard(now, id, attempt, effects);
        }
        effects.push(Effect::Ask { machine, ask });
    }

    /// Cancels an attempt that was sent. It stays open until its machine confirms the cancellation, or ends
    /// as unconfirmed. Returns the number of the connection check whose answer would confirm it, unless a
    /// check is already outstanding or no time is left for one.
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
        // Groups keep track of their members' copies themselves.
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

    /// The machine for which an attempt is queued, if it was not sent yet and so never ran.
    pub(super) fn unsent(&self, id: RequestId, attempt: AttemptNo) -> Option<MachineId> {
        let trial = self.jobs.get(&id).and_then(|j| j.trial).filter(|t| t.attempt == attempt && !t.left);
        trial.map(|t| t.machine)
    }

    /// Removes the open attempt of a job, also from the index of its machine or departure.
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

    /// The jobs with an open attempt at a machine that satisfies the predicate.
    pub(super) fn tried(&self, machine: MachineId, is: impl Fn(&Trial) -> bool) -> Vec<RequestId> {
        let Some(node) = self.nodes.get(machine) else { return vec![] };
        let hit = |id: &RequestId| self.jobs.get(id).and_then(|j| j.trial.as_ref()).is_some_and(&is);
        node.trying.iter().copied().filter(hit).collect()
    }

    /// Marks an attempt that was sent as ending without its machine's confirmation: a copy may run there.
    fn lose_sight(&mut self, id: RequestId) {
        let Some(trial) = self.jobs.get_mut(&id).and_then(|j| j.trial.as_mut()) else { return };
        trial.out_of_sight = true;
        let machine = trial.machine;
        self.unproved(id, machine);
    }

    /// Handles the answer to a connection check: the machine received all that was written before it.
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

    /// Ends an attempt whose cancellation was not confirmed in time. The job ends with it, as another attempt
    /// could run beside the first.
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

    /// Ends an attempt that was open when its machine left the list, now that the connection to that machine
    /// has ended.
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

    /// Handles the end of a connection. Unless the machine is known to have seen the end, the attempts sent
    /// on the connection may keep running.
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
            // A cancellation is lost if the connection breaks; a stop order is sent again.
            effects.push(Effect::Stop { machine: trial.machine, job: id, cause: CUT });
        }
        if trial.left {
            self.unproved(id, trial.machine);
        }
        Some(trial)
    }

    /// Ends the attempts at a machine that were sent, or those that are still queued.
    pub(super) fn break_trials(
        &mut self,
        now: Seconds,
        machine: MachineId,
        left: bool,
        why: Reason,
        effects: &mut Vec<Effect>,
    ) {
        for job in self.tried(machine, |t| t.left == left) {
            // A machine abandons what was open on a connection once it sees that connection break.
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

/// The event for an attempt that a guard forbids; `last` if no other attempt will be allowed.
fn moot(request: RequestId, attempt: AttemptNo, last: bool) -> Event {
    let (outcome, reason) = (Outcome::Moot, Reason::Unknown);
    Event::Ended(End { request, attempt, outcome, reason, finished: false, last, report: None })
}
