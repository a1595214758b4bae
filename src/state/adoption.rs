//! Adoption: an owner reports a task that already runs at a machine, after a restart of the planner or after a
//! loss that turned out to be none.

use super::alarms::Alarm;
use super::*;

/// Bytes. The longest name of a machine that the list has not named yet.
const MAX_UNLISTED_NAME_BYTES: usize = 255;
/// Seconds. A running task counts as lost if the machine list has not named its machine within this time.
const UNLISTED_TIMEOUT_S: Seconds = 2.5;

impl Core {
    /// The id of a machine that an owner names. The list may name it later; `None` if the name is too long to be kept
    /// until then. Names to which nothing refers are forgotten, so that owners cannot use up the memory with them.
    pub fn machine_named_by_owner(&mut self, name: &str) -> Option<MachineId> {
        if let Some(known) = self.vocabulary.known(name) {
            return Some(known);
        }
        self.prune_names();
        (name.len() <= MAX_UNLISTED_NAME_BYTES).then(|| self.vocabulary.machine(name))
    }

    /// Adopts a task that runs at a machine.
    pub(super) fn adopt(
        &mut self,
        now: Seconds,
        submission: JobSubmission,
        machine: MachineId,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(known) = self.jobs.get(&submission.job) {
            let is_of_platform = matches!(known.owner, Owner::Link(_));
            if !(known.phase.is_over() && is_of_platform) {
                return; // The owner may report a task that is already known.
            }
            self.forget(submission.job, effects);
        }
        let (id, task, owner) = (submission.job, submission.task, submission.owner);
        self.kept_back.forget_job(id);
        if let Some(outcome) = self.unclaimed_ends.claim(now, (id, machine)) {
            let outcome = outcome_for_owner(outcome);
            return effects.push(Effect::Released { owner, job: id, outcome });
        }
        if self.jobs.len() - self.pending - self.over.len() >= self.bounds.standing {
            return effects.push(Effect::Released { owner, job: id, outcome: Outcome::Lost });
        }
        self.add(now, submission, Phase::Running);
        if let Some(job) = self.jobs.get_mut(&id) {
            (job.attempts, job.machine, job.placed_at) = (1, Some(machine), now);
        }
        self.drop_description(id);
        match self.nodes.add_running(machine, id) {
            RunningAdded::First => effects.push(Effect::Watch { machine }),
            RunningAdded::BesideOthers => {}
            // No end can be reported by a machine to which there is no connection.
            RunningAdded::Unlisted => self.alarm(now + UNLISTED_TIMEOUT_S, Alarm::UnlistedTimeout(id)),
        }
        self.changed(id, ChangeKind::Added, effects);
        self.feed_placer(now, Event::Resident { request: id, task, machine }, effects);
    }

    /// Ends an adopted task whose machine the list has still not named.
    pub(super) fn unlisted_timed_out(&mut self, now: Seconds, id: RequestId, effects: &mut Vec<Effect>) {
        let machine = self.jobs.get(&id).filter(|j| j.phase == Phase::Running).and_then(|j| j.machine);
        if machine.is_some_and(|machine| !self.nodes.contains(machine)) {
            self.end_running_task(now, id, Outcome::Lost, Reason::Unknown, None, effects);
        }
    }
}

/// The outcome of a task that ended before its owner handed it over. An owner that hands a task over has not
/// cancelled it, and must hear of its end.
fn outcome_for_owner(reported: Outcome) -> Outcome {
    match reported {
        Outcome::Ok => Outcome::Ok,
        _ => Outcome::Lost,
    }
}
