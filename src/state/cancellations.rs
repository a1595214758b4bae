//! Cancellations of attempts. The order to cancel an attempt whose owner may hand the task over to another planner is
//! kept back until the connection to its machine is known to deliver (`decide/cancellations`): one that arrives late
//! would stop the task there. Tasks of the REST front and of groups are never handed over, and theirs is sent at once.

use super::alarms::Alarm;
use super::machines::CAUSE_CUT;
use super::*;
use crate::decide::cancellations::kept_back::{Release, PROOF_VALID_S};

/// Seconds. Time that a machine has to confirm a cancellation: the same as for any connection check.
const CONFIRM_TIMEOUT_S: Seconds = 1.0;
/// Seconds. Time kept free before the deadline for the final answer of a job whose cancellation is not
/// confirmed.
const CONFIRM_SPARE_S: Seconds = 0.02;

/// How far the cancellation of an open attempt is. The attempt counts as open until its machine confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cancellation {
    /// The order is not sent: it is kept back, or the end of the connection takes its place. The machine may still
    /// answer.
    KeptBack,
    /// The order is sent. The answer to this connection check confirms it, where checks are allowed.
    Sent { check: Option<u64> },
}

impl Cancellation {
    /// Whether the answer to the connection check with this number confirms it.
    fn is_confirmed_by(self, answered: u64) -> bool {
        matches!(self, Cancellation::Sent { check: Some(check) } if check <= answered)
    }

    /// How the end of the attempt is going to be confirmed.
    fn confirmation(self) -> Confirmation {
        match self {
            Cancellation::Sent { check: Some(check) } => Confirmation::Fence(check),
            Cancellation::Sent { check: None } | Cancellation::KeptBack => Confirmation::Report,
        }
    }
}

impl Core {
    /// Handles the time-out of an attempt. If it was sent, it stays open until its machine confirms the
    /// cancellation: an unreachable machine does not receive the cancellation and may still start the task.
    pub(super) fn attempt_timed_out(
        &mut self,
        now: Seconds,
        id: RequestId,
        attempt: AttemptNo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(open_attempt) =
            job.open_attempt.as_mut().filter(|t| t.attempt == attempt && t.cancellation.is_none())
        else {
            return;
        };
        if !open_attempt.sent {
            let machine = open_attempt.machine;
            // An attempt that is still queued never ran. It is removed so that it is not sent later.
            effects.push(Effect::CancelAttempt { machine, job: id });
            return self.end_attempt(now, id, Outcome::ConnectFailed, Reason::Unknown, None, effects);
        }
        self.cancel_sent_attempt(now, id, effects);
        // Without connection checks, a cancellation cannot be confirmed.
        if !self.settings.probes {
            self.cancel_unconfirmed(now, id, attempt, effects);
        }
    }

    /// Cancels an attempt that was sent. It stays open until its machine confirms the cancellation, or ends
    /// as unconfirmed.
    pub(super) fn cancel_sent_attempt(&mut self, now: Seconds, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(open_attempt) = job.open_attempt.filter(|t| t.cancellation.is_none()) else { return };
        let (attempt, deadline) = (open_attempt.attempt, job.task.deadline);
        let is_of_group = matches!(job.owner, Owner::Group { .. });
        let cancellation = self.begin_cancellation(now, id, open_attempt, effects);
        // Groups keep track of their members' copies themselves.
        if is_of_group {
            return self.end_attempt(now, id, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
        if let Some(open_attempt) = self.jobs.get_mut(&id).and_then(|j| j.open_attempt.as_mut()) {
            open_attempt.cancellation = Some(cancellation);
        }
        let until = (now + CONFIRM_TIMEOUT_S).min(deadline - CONFIRM_SPARE_S);
        if until <= now {
            return self.cancel_unconfirmed(now, id, attempt, effects);
        }
        self.alarm(until, Alarm::CancelUnconfirmed(id, attempt));
    }

    /// Sends the order to cancel an attempt that was sent, and behind it the connection check that confirms it, where
    /// checks are allowed; or keeps the order back. The connection of a machine that left the list is closed, and its end
    /// gives up what is open on it.
    fn begin_cancellation(
        &mut self,
        now: Seconds,
        job: RequestId,
        open_attempt: OpenAttempt,
        effects: &mut Vec<Effect>,
    ) -> Cancellation {
        let machine = open_attempt.machine;
        let has_left_list = open_attempt.departure.is_some();
        if self.may_be_handed_over(job) {
            if !has_left_list {
                self.keep_back(now, machine, job, effects);
            }
            return Cancellation::KeptBack;
        }
        effects.push(Effect::CancelAttempt { machine, job });
        let check = (self.settings.probes && !has_left_list).then(|| self.next_fence());
        effects.extend(check.map(|ask| Effect::SendFence { machine, ask }));
        Cancellation::Sent { check }
    }

    /// Whether the owner of a job may hand its task over to another planner, where an order of this one would stop it.
    fn may_be_handed_over(&self, job: RequestId) -> bool {
        self.jobs.get(&job).is_some_and(|job| matches!(job.owner, Owner::Link(_)))
    }

    /// Keeps the order to cancel an attempt back, and checks its connection where checks are allowed.
    fn keep_back(&mut self, now: Seconds, machine: MachineId, job: RequestId, effects: &mut Vec<Effect>) {
        let mut check = self.kept_back.check_at(now, machine);
        if check.is_none() && self.settings.probes {
            let ask = self.next_fence();
            effects.push(Effect::SendFence { machine, ask });
            check = Some(ask);
        }
        self.kept_back.keep(now, machine, job, check);
        self.alarm(now + PROOF_VALID_S, Alarm::ForgetKeptBack(machine, job));
        effects.push(Effect::KeepBack { machine, job, check });
    }

    /// Handles an answer to an attempt that was open: the machine received what was written until then.
    pub(super) fn attempt_answered(
        &mut self,
        now: Seconds,
        open_attempt: &OpenAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let (machine, queued_at) = (open_attempt.machine, open_attempt.decided_at);
        let release = self.kept_back.delivered(now, machine, queued_at, self.settings.owner_wait_s);
        self.send_released(machine, release, effects);
    }

    /// Handles a new connection to a machine: the orders that its close released are sent on it.
    pub(super) fn send_kept_back(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        let release = self.kept_back.connected(now, machine, self.settings.owner_wait_s);
        self.send_released(machine, release, effects);
    }

    /// Sends the orders that are not to be kept back any longer, and behind them the check that confirms them, where
    /// checks are allowed.
    fn send_released(&mut self, machine: MachineId, release: Option<Release>, effects: &mut Vec<Effect>) {
        let Some(Release { jobs, since, write_by }) = release else { return };
        let check = self.settings.probes.then(|| self.next_fence());
        let sent = Cancellation::Sent { check };
        for &id in &jobs {
            let open_attempt = self.jobs.get_mut(&id).and_then(|job| job.open_attempt.as_mut());
            if let Some(open_attempt) = open_attempt.filter(|t| t.machine == machine) {
                open_attempt.cancellation = Some(sent);
            }
            self.possible_copies.confirm_by(id, machine, sent.confirmation());
        }
        effects.push(Effect::SendCancellations { machine, jobs, check, since, write_by });
    }

    /// Marks an attempt that was sent as ending without its machine's confirmation: a copy may run there.
    pub(super) fn mark_unconfirmed(&mut self, now: Seconds, id: RequestId) {
        let Some(open_attempt) = self.jobs.get_mut(&id).and_then(|j| j.open_attempt.as_mut()) else { return };
        open_attempt.unconfirmed_end = true;
        let (machine, cancellation) = (open_attempt.machine, open_attempt.cancellation);
        let confirmation = cancellation.map_or(Confirmation::Report, Cancellation::confirmation);
        self.record_possible_copy(now, id, machine, confirmation);
    }

    /// Handles the answer to a connection check: the machine received all that was written before it.
    pub(super) fn fence_answered(
        &mut self,
        now: Seconds,
        machine: MachineId,
        ask: u64,
        effects: &mut Vec<Effect>,
    ) {
        for job in self.open_attempts_at(machine, |t| t.fence.is_some_and(|fence| fence <= ask)) {
            if let Some(open_attempt) = self.jobs.get_mut(&job).and_then(|j| j.open_attempt.as_mut()) {
                open_attempt.fence = None;
            }
        }
        let is_confirmed = |t: &OpenAttempt| t.cancellation.is_some_and(|c| c.is_confirmed_by(ask));
        for job in self.open_attempts_at(machine, is_confirmed) {
            self.end_attempt(now, job, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
        self.stops_confirmed(machine, ask);
        let release = self.kept_back.check_answered(now, machine, ask, self.settings.owner_wait_s);
        self.send_released(machine, release, effects);
    }

    /// Ends an attempt whose cancellation was not confirmed in time. The job ends with it, as another attempt
    /// could run beside the first.
    pub(super) fn cancel_unconfirmed(
        &mut self,
        now: Seconds,
        id: RequestId,
        attempt: AttemptNo,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.open_attempt.is_some_and(|t| t.attempt == attempt && t.cancellation.is_some()) {
            job.unconfirmed = true;
            self.mark_unconfirmed(now, id);
            self.end_attempt(now, id, Outcome::TimedOut, Reason::Unknown, None, effects);
        }
    }

    /// Cancels the open attempt of a job that is withdrawn, and returns it.
    pub(super) fn cancel_open_attempt(
        &mut self,
        now: Seconds,
        id: RequestId,
        effects: &mut Vec<Effect>,
    ) -> Option<OpenAttempt> {
        let open_attempt = self.remove_open_attempt(id)?;
        let job = self.jobs.get_mut(&id)?;
        let (machine, attempt, unconfirmed) = (open_attempt.machine, open_attempt.attempt, job.unconfirmed);
        let (outcome, why, owner) = (Outcome::Cancelled, Reason::Unknown, job.owner);
        effects.push(Effect::AttemptOver { job: id, machine, attempt, outcome, why, unheard: unconfirmed });
        if !open_attempt.sent {
            effects.push(Effect::CancelAttempt { machine, job: id });
            return Some(open_attempt);
        }
        job.may_have_run(&open_attempt);
        let cancellation = match open_attempt.cancellation {
            Some(cancellation) => cancellation,
            None => self.begin_cancellation(now, id, open_attempt, effects),
        };
        if matches!(owner, Owner::Group { .. }) {
            // A cancellation is lost if the connection breaks; a stop order is sent again.
            effects.push(Effect::Stop { machine, job: id, cause: CAUSE_CUT });
        }
        self.record_possible_copy(now, id, machine, cancellation.confirmation());
        Some(open_attempt)
    }

    /// The number of the next connection check.
    pub(super) fn next_fence(&mut self) -> u64 {
        self.last_fence += 1;
        self.last_fence
    }
}
