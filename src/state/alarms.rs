//! The alarms: pending timers in order of their time.

use super::*;

/// A timer, with the job, attempt or group that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    /// The placer requested a timer.
    Placer,
    /// The time of an attempt is up.
    AttemptTimeout(RequestId, AttemptNo),
    /// The machine did not confirm a cancellation in time.
    CancelUnconfirmed(RequestId, AttemptNo),
    /// The order to cancel an attempt is not kept back any longer.
    ForgetKeptBack(MachineId, RequestId),
    /// An attempt must not be sent later than this.
    QueueTimeout(RequestId, AttemptNo),
    /// The job must have its final answer by now.
    ForceAnswer(RequestId),
    /// All pending jobs must be answered by now, because the planner shuts down.
    ShutDown,
    /// The machine of a task that its owner reported must be listed by now.
    UnlistedTimeout(RequestId),
    /// The time for which a finished job is kept is up.
    ForgetJob(RequestId),
    /// The time for which the oldest unclaimed end is kept is up.
    ExpireEnds,
    /// The time is up for which the member of a group that waits longest waits for the end of its job's copies.
    ForgetCuts,
    /// A group requested a timer.
    Group(GroupId),
    /// The time for which a finished group is kept is up.
    ForgetGroup(GroupId),
    /// The next call of `fleet_tick`.
    Fleet,
}

fn micros(at: Seconds) -> u64 {
    (at.max(0.0) * 1e6).ceil() as u64
}

impl Core {
    /// The time at which the next [`Input::Tick`] is due.
    pub fn next_alarm(&self) -> Option<Seconds> {
        self.alarms.peek().map(|Reverse((at, _))| *at as f64 / 1e6)
    }

    pub(super) fn alarm(&mut self, at: Seconds, alarm: Alarm) {
        self.alarms.push(Reverse((micros(at), alarm)));
    }

    pub(super) fn tick(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let until = (now * 1e6) as u64;
        let mut placer = false;
        while self.alarms.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            let Some(Reverse((_, alarm))) = self.alarms.pop() else { break };
            match alarm {
                Alarm::Placer => placer = true,
                Alarm::AttemptTimeout(job, attempt) => self.attempt_timed_out(now, job, attempt, effects),
                Alarm::CancelUnconfirmed(job, attempt) => self.cancel_unconfirmed(now, job, attempt, effects),
                Alarm::ForgetKeptBack(machine, job) => self.kept_back.expire(now, machine, job),
                Alarm::QueueTimeout(job, attempt) => {
                    if let Some(machine) = self.queued_at(job, attempt) {
                        effects.push(Effect::CancelAttempt { machine, job });
                        self.end_attempt(now, job, Outcome::Moot, Reason::Unknown, None, effects);
                    }
                }
                Alarm::ForceAnswer(job) => {
                    // Guards rule 1 if the placer let a job pass its deadline without an answer.
                    if self.jobs.get(&job).is_some_and(|j| j.phase == Phase::Pending) {
                        effects.push(Effect::Log(format!(
                            "job {:016x} had no answer from the placer by its deadline; failing it",
                            job.0
                        )));
                        self.withdraw(now, job, FinalAnswer::Failed, effects);
                    }
                }
                Alarm::ShutDown => self.answer_all(now, effects),
                Alarm::UnlistedTimeout(job) => self.unlisted_timed_out(now, job, effects),
                Alarm::ForgetJob(job) => self.forget(job, effects),
                Alarm::ExpireEnds => self.expire_ends(now),
                Alarm::ForgetCuts => self.forget_cuts(now),
                Alarm::Group(group) => self.on_group_event(now, group, groups::Event::Tick, effects),
                Alarm::ForgetGroup(group) => self.forget_group(group, effects),
                Alarm::Fleet => self.fleet_tick(now, effects),
            }
        }
        if placer {
            self.feed_placer(now, Event::Timer, effects);
        }
    }
}
