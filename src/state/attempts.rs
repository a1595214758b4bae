//! The attempts of a job, and the guards that hold whatever the placer decides: one open attempt per job, no
//! send to a draining machine, and the repeat window.

use super::alarms::Alarm;
use super::cancellations::Cancellation;
use super::jobs::{Location, Past};
use super::machines::CAUSE_CUT;
use super::*;

/// Share of `cold_window_s` that an attempt for a cold machine may wait in the send queue. The placer counts
/// attempts when it decides them, over windows that are longer by this share (`COLD_WINDOWS` of the placer).
const COLD_QUEUE_SHARE: f64 = 0.25;

impl Core {
    /// Starts the attempt that the placer decided, or returns the event that reports to the placer that a
    /// guard forbids it.
    pub(super) fn start_attempt(
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
        let location = entry.map_or(Location { machine, zone: ZoneId(0), cell: CellId(0) }, |e| e.location());
        let limits = job.task.limits;
        // A group retries a member only once its earlier copy is proved gone; the repeat window applies all
        // the same.
        let of_group = matches!(job.owner, Owner::Group { .. });
        let in_window = match (self.settings.classes[job.task.class].idempotency, job.may_have_run_since) {
            (_, None) => true,
            (_, Some(_)) if !limits.copies && (job.own_attempt_may_have_run || !of_group) => false,
            (Idempotency::Repeatable, _) => true,
            (Idempotency::Once, Some(_)) => false,
            (Idempotency::Keyed { window_s, .. }, Some(since)) => now < since + window_s.min(limits.window_s),
        };
        // These conditions never become true again, so that the placer need not retry.
        let is_permanent =
            !in_window || job.unconfirmed || attempt >= self.settings.max_attempts.min(limits.attempts);
        let in_place = match self.settings.classes[job.task.class].idempotency {
            Idempotency::Keyed { group, .. } => job.is_colocated(group, location),
            _ => true,
        };
        // A machine's answers carry no attempt number. If an earlier attempt was sent to the same machine, a
        // connection check before this one separates their answers. If the earlier one's connection broke, a
        // message about it may arrive on any later connection, so that no check can separate them.
        let same_machine_again = job.past.iter().any(|p| p.machine == machine);
        let separable = !same_machine_again
            || (self.settings.probes && job.past.iter().all(|p| p.machine != machine || p.confirmed));
        let allowed = ready
            && !is_permanent
            && in_place
            && separable
            && job.phase == Phase::Pending
            && job.open_attempt.is_none()
            && now < job.task.deadline.min(give_up_at);
        if !allowed {
            return Some(forbidden(id, attempt, is_permanent));
        }
        if !self.charge_attempt(now, id) {
            return Some(forbidden(id, attempt, true));
        }
        let job = self.jobs.get_mut(&id)?;
        let until = give_up_at.min(job.task.deadline).min(now + limits.attempt_s);
        // It may stay in the send queue until its repeat window ends, or until the cold machine's next share
        // of attempts is due.
        let window_ends = match self.settings.classes[job.task.class].idempotency {
            Idempotency::Keyed { window_s, .. } => {
                job.may_have_run_since.map(|since| since + window_s.min(limits.window_s))
            }
            _ => None,
        };
        let is_cold = entry.is_some_and(|e| e.started > 0.0 && now < e.started + self.settings.warm_within_s);
        let share_ends = is_cold.then_some(now + self.settings.cold_window_s * COLD_QUEUE_SHARE);
        let send_by = window_ends.into_iter().chain(share_ends).fold(until, f64::min);
        let fence = same_machine_again.then(|| self.next_fence());
        let (sent, cancellation, unconfirmed_end) = (false, None, false);
        let job = self.jobs.get_mut(&id)?;
        job.open_attempt = Some(OpenAttempt {
            attempt,
            machine,
            location,
            decided_at: now,
            sent,
            fence,
            cancellation,
            unconfirmed_end,
            departure: None,
        });
        let spec = job.spec.clone();
        if let Some(node) = self.nodes.get_mut(machine) {
            node.open_attempts.insert(id);
        }
        effects.push(Effect::Launch { machine, job: id, attempt, left_s: until - now, fence, spec });
        self.alarm(until, Alarm::AttemptTimeout(id, attempt));
        if send_by < until {
            self.alarm(send_by, Alarm::QueueTimeout(id, attempt));
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
        let open_attempt = self.jobs.get(&id).and_then(|j| j.open_attempt);
        let Some(open_attempt) = open_attempt.filter(|t| t.is_answered_by(at)) else { return };
        self.attempt_answered(now, &open_attempt, effects);
        // Where the order to cancel was sent on the same connection, it still reaches the machine and stops the task.
        // One that is kept back is never sent. The tasks of a machine that left the list count as lost.
        let is_cancelled = match open_attempt.cancellation {
            None => false,
            Some(Cancellation::KeptBack) => open_attempt.departure.is_some(),
            Some(Cancellation::Sent { .. }) => true,
        };
        if is_cancelled {
            return;
        }
        self.kept_back.forget(at, id);
        if self.remove_open_attempt(id).is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        (job.phase, job.machine, job.placed_at) = (Phase::Running, Some(at), now);
        job.may_have_run(&open_attempt);
        job.past = Vec::new();
        let (owner, service) = (job.owner, job.task.service);
        self.groups.starts.learn(now, service, now - open_attempt.decided_at);
        self.release_pending(now, id);
        self.drop_description(id);
        if self.nodes.add_running(at, id) == RunningAdded::First {
            effects.push(Effect::Watch { machine: at });
        }
        effects.push(Effect::Placed { owner, job: id, body });
        self.changed(id, ChangeKind::Modified, effects);
        let event = Event::Bound {
            request: id,
            attempt: open_attempt.attempt,
            took_s: now - open_attempt.decided_at,
        };
        self.feed_placer(now, event, effects);
    }

    /// Ends the open attempt of a job with an outcome.
    pub(super) fn end_attempt(
        &mut self,
        now: Seconds,
        id: RequestId,
        outcome: Outcome,
        why: Reason,
        report: Option<Report>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open_attempt) = self.remove_open_attempt(id) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last = Some((outcome, why));
        if open_attempt.sent {
            job.past.push(Past { machine: open_attempt.machine, confirmed: !open_attempt.unconfirmed_end });
        }
        if !outcome.never_ran() {
            job.may_have_run(&open_attempt);
            if matches!(job.owner, Owner::Group { .. }) {
                // A copy of a group member must not keep running without its group's knowledge.
                let machine = open_attempt.machine;
                effects.push(Effect::Stop { machine, job: id, cause: CAUSE_CUT });
                let confirmation = self.confirm_stops(machine, effects);
                self.record_possible_copy(now, id, machine, confirmation);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (finished, unconfirmed) = (job.phase != Phase::Pending, job.unconfirmed);
        let last = !finished && (unconfirmed || self.is_last_attempt(now, id));
        let (machine, attempt) = (open_attempt.machine, open_attempt.attempt);
        effects.push(Effect::AttemptOver { job: id, machine, attempt, outcome, why, unheard: unconfirmed });
        self.changed(id, ChangeKind::Modified, effects);
        let (request, attempt, reason) = (id, open_attempt.attempt, why);
        let end = End { request, attempt, outcome, reason, finished, last, report };
        self.feed_placer(now, Event::Ended(end), effects);
    }

    /// The machine for which an attempt is queued, if it was not sent yet and so never ran.
    pub(super) fn queued_at(&self, id: RequestId, attempt: AttemptNo) -> Option<MachineId> {
        let open_attempt =
            self.jobs.get(&id).and_then(|j| j.open_attempt).filter(|t| t.attempt == attempt && !t.sent);
        open_attempt.map(|t| t.machine)
    }

    /// Removes the open attempt of a job, also from the index of its machine or departure.
    pub(super) fn remove_open_attempt(&mut self, id: RequestId) -> Option<OpenAttempt> {
        let open_attempt = self.jobs.get_mut(&id)?.open_attempt.take()?;
        let was_recorded = match (open_attempt.departure, self.nodes.get_mut(open_attempt.machine)) {
            (Some(departure), _) => self.departures.remove(departure, id),
            (None, Some(node)) => node.open_attempts.remove(&id),
            (None, None) => true,
        };
        debug_assert!(
            was_recorded || open_attempt.departure.is_some(),
            "an open attempt is recorded at its machine or departure"
        );
        Some(open_attempt)
    }

    /// The jobs with an open attempt at a machine that satisfies the predicate.
    pub(super) fn open_attempts_at(
        &self,
        machine: MachineId,
        is: impl Fn(&OpenAttempt) -> bool,
    ) -> Vec<RequestId> {
        let Some(node) = self.nodes.get(machine) else { return vec![] };
        let hit = |id: &RequestId| self.jobs.get(id).and_then(|j| j.open_attempt.as_ref()).is_some_and(&is);
        node.open_attempts.iter().copied().filter(hit).collect()
    }

    /// Ends an attempt that was open when its machine left the list, now that the connection to that machine
    /// has ended.
    pub(super) fn end_departed_attempt(
        &mut self,
        now: Seconds,
        id: RequestId,
        end: ConnectionEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open_attempt) = self.jobs.get(&id).and_then(|j| j.open_attempt) else { return };
        match end {
            ConnectionEnd::SeenByMachine => {
                self.end_attempt(now, id, Outcome::Lost, Reason::Unknown, None, effects);
            }
            ConnectionEnd::Unconfirmed => self.cancel_unconfirmed(now, id, open_attempt.attempt, effects),
        }
    }

    /// Handles the end of a connection. Unless the machine is known to have seen the end, the attempts sent
    /// on the connection may keep running.
    pub(super) fn link_broken(
        &mut self,
        now: Seconds,
        machine: MachineId,
        end: ConnectionEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.kept_back.disconnected(machine);
        if end == ConnectionEnd::Unconfirmed {
            for id in self.open_attempts_at(machine, |t| t.sent) {
                let job = self.jobs.get_mut(&id).filter(|j| !matches!(j.owner, Owner::Group { .. }));
                if let Some(job) = job {
                    job.unconfirmed = true;
                }
            }
        }
        self.end_attempts(now, machine, true, Reason::Broken, effects);
    }

    /// Ends the attempts at a machine that were sent, or those that are still queued.
    pub(super) fn end_attempts(
        &mut self,
        now: Seconds,
        machine: MachineId,
        sent: bool,
        why: Reason,
        effects: &mut Vec<Effect>,
    ) {
        for job in self.open_attempts_at(machine, |t| t.sent == sent) {
            // A machine abandons what was open on a connection once it sees that connection break.
            if sent {
                self.mark_unconfirmed(now, job);
            } else {
                effects.push(Effect::CancelAttempt { machine, job });
            }
            let outcome = if sent { Outcome::Lost } else { Outcome::ConnectFailed };
            self.end_attempt(now, job, outcome, why, None, effects);
        }
    }
}

/// The event for an attempt that a guard forbids; `last` if no other attempt will be allowed.
fn forbidden(request: RequestId, attempt: AttemptNo, last: bool) -> Event {
    let (outcome, reason) = (Outcome::Moot, Reason::Unknown);
    Event::Ended(End { request, attempt, outcome, reason, finished: false, last, report: None })
}
