//! The alarms: pending timers in order of their time.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    Placer,
    GiveUp(RequestId, AttemptNo),
    Unproved(RequestId, AttemptNo),
    Unsent(RequestId, AttemptNo),
    Answer(RequestId),
    ShutDown,
    Unlisted(RequestId),
    Forget(RequestId),
    Group(GroupId),
    ForgetGroup(GroupId),
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
                Alarm::GiveUp(job, attempt) => self.time_out(now, job, attempt, effects),
                Alarm::Unproved(job, attempt) => self.unheard(now, job, attempt, effects),
                Alarm::Unsent(job, attempt) => {
                    if let Some(machine) = self.unsent(job, attempt) {
                        effects.push(Effect::GiveUp { machine, job });
                        self.trial_over(now, job, Outcome::Moot, Reason::Unknown, None, effects);
                    }
                }
                Alarm::Answer(job) => {
                    // Guards rule 1 if the placer let a job pass its deadline without an answer.
                    if self.jobs.get(&job).is_some_and(|j| j.phase == Phase::Pending) {
                        effects.push(Effect::Log(format!("job {:016x} was answered by its guard", job.0)));
                        self.take_back(now, job, Final::Failed, effects);
                    }
                }
                Alarm::ShutDown => self.answer_all(now, effects),
                Alarm::Unlisted(job) => {
                    let machine =
                        self.jobs.get(&job).filter(|j| j.phase == Phase::Running).and_then(|j| j.machine);
                    if machine.is_some_and(|machine| !self.nodes.contains(machine)) {
                        self.standing_over(now, job, Outcome::Lost, Reason::Unknown, None, effects);
                    }
                }
                Alarm::Forget(job) => self.forget(job, effects),
                Alarm::Group(group) => self.group_hears(now, group, groups::Event::Tick, effects),
                Alarm::ForgetGroup(group) => self.forget_group(group, effects),
                Alarm::Fleet => self.fleet_tick(now, effects),
            }
        }
        if placer {
            self.feed(now, Event::Timer, effects);
        }
    }
}
