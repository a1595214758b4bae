//! The jobs: how they come in, wait, and end.

use super::*;

/// Bytes that a job takes beside its description.
pub(super) const JOB_BYTES: usize = 1024;
/// Count. Jobs that may wait on one connection: no owner alone may take what all share.
pub(super) const MOST_ON_LINK: usize = 1000;
/// Seconds. A task that stands at a machine which the list has not named by then counts as lost.
const UNLISTED_S: Seconds = 2.5;
/// Seconds. A refusal so close to the deadline is told as the deadline's.
const NEAR_DEADLINE_S: Seconds = 0.05;
/// Seconds. When a job that was turned away at the door may come back.
const DOOR_RETRY_S: Seconds = 1.0;
/// Seconds. Grace after the deadline within which an answer is forced, should the module have given none.
const FORCED_ANSWER_S: Seconds = 0.02;
/// Multiple. No owner waits longer than so many times what its class usually waits.
const MOST_WAIT_TIMES: f64 = 8.0;

impl Job {
    /// Books that an attempt may have run.
    pub(super) fn may_have_run(&mut self, trial: &Trial) {
        if self.risky_since.is_none() {
            (self.risky_since, self.risky_at) = (Some(trial.at), Some(trial.spot));
        }
        self.own_risk = true;
    }

    /// Whether a machine lies in that place with the one at which the job may have run first.
    pub(super) fn is_together(&self, place: Place, there: Spot) -> bool {
        self.risky_at.is_none_or(|first| match place {
            Place::All => true,
            Place::Machine => first.machine == there.machine,
            Place::Cell => first.cell == there.cell,
            Place::Zone => first.zone == there.zone,
        })
    }
}

/// The last word on a job that is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Final {
    /// It failed: it may have run.
    Failed,
    /// It is refused: it never ran.
    Refused,
    /// Its owner does not wait.
    Unowed,
}

/// Where a machine lies; kept with a job, as its machine may leave the list within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Spot {
    pub machine: MachineId,
    pub zone: ZoneId,
    pub cell: CellId,
}

/// An attempt that left and is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct Past {
    pub machine: MachineId,
    /// Its machine's word, or proof, ended it: nothing more of it comes after the answer to a later test.
    pub settled: bool,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub attempt: AttemptNo,
    pub machine: MachineId,
    pub spot: Spot,
    pub at: Seconds,
    pub left: bool,
    /// An earlier attempt was there: what comes before the answer to this test belongs to that one.
    pub fence: Option<u64>,
    /// It was given up, and counts as out until its machine answers this.
    pub asked: Option<u64>,
    /// It is over without a word of its machine: a copy may run, and an answer may still come.
    pub out_of_sight: bool,
    /// Its machine left the list, and its connection is not known to have ended.
    pub departure: Option<DepartureId>,
}

impl Trial {
    /// Whether a word of that machine is for this attempt.
    pub fn is_answered_by(&self, machine: MachineId) -> bool {
        self.machine == machine && self.left && self.fence.is_none()
    }
}

/// A job and what came of it.
#[derive(Debug)]
pub struct Job {
    /// Who waits.
    pub owner: Owner,
    /// What travels on.
    pub spec: Arc<Spec>,
    /// What the module knows.
    pub task: Task,
    /// Where it stands.
    pub phase: Phase,
    /// Offers made.
    pub attempts: usize,
    /// Where it stands or stood.
    pub machine: Option<MachineId>,
    /// How the last attempt ended.
    pub last: Option<(Outcome, Reason)>,
    /// When the owner may come back.
    pub retry_in_s: Seconds,
    /// When the first attempt went out that may have run.
    pub risky_since: Option<Seconds>,
    /// Where that was.
    pub(super) risky_at: Option<Spot>,
    /// Whether that was an attempt of this very job, and not of one before it under its key.
    pub(super) own_risk: bool,
    /// Version of its last change.
    pub version: u64,
    /// The limit by which it was given up.
    pub turned: Option<Turned>,
    /// What it holds of the limits under which it was taken, until its final answer.
    pub(super) ticket: Option<Ticket>,
    /// An attempt of it was let out.
    pub(super) tried: bool,
    pub(super) trial: Option<Trial>,
    /// Earlier attempts that left, until the final answer.
    pub(super) past: Vec<Past>,
    /// An attempt was given up and its machine never said that it heard: it may be out for good.
    pub(super) unheard: bool,
    pub(super) placed_at: Seconds,
}

impl Core {
    /// Whether a job is one that some machine could take, within the times that the settings know. What no machine
    /// can ever take would only wait for its deadline, and a far deadline would be kept for good.
    ///
    /// # Errors
    /// Which of its figures is out of range.
    pub fn admits(&self, now: Seconds, ask: &Ask) -> Result<(), &'static str> {
        let room = ask.task.room;
        let class = self.settings.classes.get(ask.task.class).ok_or("class")?;
        let (cores, memory) = (self.settings.cores_multiple, self.settings.memory_multiple);
        let limit = |kind: &Kind| Room { cores: kind.size.cores * cores, memory: kind.size.memory * memory };
        let of_kind = |&(at, _): &(usize, &Kind)| class.kind.is_none_or(|kind| kind == at);
        let mut kinds = self.settings.kinds.iter().enumerate().filter(of_kind);
        let faults = [
            (ask.job.0 == 0, "id"),
            (ask.spec.name.is_empty(), "name"),
            (matches!(class.effect, Effect_::Keyed { .. }) && ask.spec.key.is_none(), "key"),
            (!(room.cores > 0.0 && room.memory > 0.0), "room"),
            (!kinds.any(|(_, kind)| room.within(limit(kind))), "room"),
            (ask.task.deadline - now > class.deadline_s * MOST_WAIT_TIMES, "waiting time"),
        ];
        faults.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, what)| Err(*what))
    }

    pub(super) fn submit(&mut self, now: Seconds, mut ask: Ask, effects: &mut Vec<Effect>) {
        let (id, owner) = (ask.job, ask.owner);
        ask.task.deadline = ask.task.deadline.min(self.answers_by);
        if self.jobs.contains_key(&id) {
            return self.used_twice(now, id, owner, effects);
        }
        // Its first copy may run: sent again, nobody could tell what an answer is for.
        if self.ghosts.may_run(id) {
            return effects.push(Effect::Failed { owner, job: id });
        }
        let crowded = matches!(owner, Owner::Link(link) if self.owed(link).open >= MOST_ON_LINK);
        if self.is_full() || crowded || now >= self.answers_by {
            let (why, retry_in_s) = (Refusal::Busy, DOOR_RETRY_S);
            return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
        }
        let (ask, ticket) = match self.limit(now, ask) {
            Ok(taken) => taken,
            Err(turned) => {
                let (why, retry_in_s) = (Refusal::Limit(turned.why), turned.retry_in_s);
                return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
            }
        };
        let task = ask.task;
        self.add(now, ask, Phase::Pending);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ticket = ticket;
        }
        self.changed(id, ChangeKind::Added, effects);
        self.alarm(task.deadline + FORCED_ANSWER_S, Alarm::Answer(id));
        self.feed(now, Event::Submitted { request: id, task }, effects);
    }

    /// An id that is in use comes again. On another connection that is not its owner's doing, and nothing is said
    /// there that could be taken for word of the first. On the same one nobody can tell which an answer is for: what
    /// waits is failed, and no second answer is owed.
    pub(super) fn used_twice(
        &mut self,
        now: Seconds,
        id: RequestId,
        owner: Owner,
        effects: &mut Vec<Effect>,
    ) {
        let first = self.jobs.get(&id).filter(|j| j.owner == owner && j.phase == Phase::Pending);
        if first.is_some() {
            self.take_back(now, id, Final::Failed, effects);
        }
        if let Owner::Link(link) = owner {
            effects.push(Effect::Expel { link });
        }
    }

    pub(super) fn add(&mut self, now: Seconds, ask: Ask, phase: Phase) {
        let (mut risky_since, mut risky_at) = (None, None);
        if let (Some(key), Owner::Rest | Owner::Group { .. }) = (&ask.spec.key, ask.owner) {
            let at = (ask.spec.class.clone(), key.clone());
            let before = self.keys.insert(at, ask.job).and_then(|before| self.jobs.get(&before));
            // A retry stays inside the window that its first try opened. What stood has ended for certain, and
            // past the window an owner's ask is a placing of its own, as on the platform.
            let before = before.filter(|j| j.machine.is_none());
            risky_at = before.and_then(|j| j.risky_at);
            let risky = before.and_then(|j| j.risky_since);
            risky_since = risky.filter(|&since| match self.settings.classes[ask.task.class].effect {
                Effect_::Keyed { window_s, .. } => now < since + window_s,
                _ => true,
            });
        }
        let job = Job {
            owner: ask.owner,
            spec: ask.spec,
            task: ask.task,
            phase,
            attempts: 0,
            machine: None,
            last: None,
            retry_in_s: 0.0,
            risky_since,
            risky_at: risky_at.filter(|_| risky_since.is_some()),
            own_risk: false,
            version: 0,
            turned: None,
            ticket: None,
            tried: false,
            trial: None,
            past: Vec::new(),
            unheard: false,
            placed_at: 0.0,
        };
        match job.owner {
            Owner::Rest => self.open_rest += 1,
            Owner::Group { .. } => {}
            Owner::Link(link) => {
                self.links.entry(link).or_default().jobs.insert(ask.job);
            }
        }
        self.jobs.insert(ask.job, job);
        if phase == Phase::Pending {
            self.count_waiting(ask.job, true);
        }
    }

    /// Books a job as one that waits, or as one that does so no more.
    pub(super) fn count_waiting(&mut self, id: RequestId, waits: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        let step = |count: usize, by: usize| if waits { count + by } else { count.saturating_sub(by) };
        self.pending = step(self.pending, 1);
        self.pending_bytes = step(self.pending_bytes, JOB_BYTES + job.spec.body.len());
        if let Owner::Link(link) = job.owner {
            let of_link = self.links.entry(link).or_default();
            of_link.open = step(of_link.open, 1);
        }
    }

    pub(super) fn adopt(&mut self, now: Seconds, ask: Ask, machine: MachineId, effects: &mut Vec<Effect>) {
        if self.jobs.contains_key(&ask.job) {
            return; // It may name what is held already.
        }
        let (id, task, owner) = (ask.job, ask.task, ask.owner);
        if self.jobs.len() - self.pending - self.over.len() >= self.keep.standing {
            return effects.push(Effect::Released { owner, job: id, outcome: Outcome::Lost });
        }
        self.add(now, ask, Phase::Running);
        if let Some(job) = self.jobs.get_mut(&id) {
            (job.attempts, job.machine, job.placed_at) = (1, Some(machine), now);
        }
        match self.nodes.stands(machine, id) {
            Stands::First => effects.push(Effect::Watch { machine }),
            Stands::BesideOthers => {}
            // A machine that nobody knows will never tell of its end.
            Stands::Unlisted => self.alarm(now + UNLISTED_S, Alarm::Unlisted(id)),
        }
        self.changed(id, ChangeKind::Added, effects);
        self.feed(now, Event::Resident { request: id, task, machine }, effects);
    }

    /// What stands needs no description any more, unless it can be looked at.
    pub(super) fn lighten(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| matches!(j.owner, Owner::Link(_))) {
            job.spec = Arc::new(Spec { body: String::new(), ..Spec::clone(&job.spec) });
        }
    }

    /// The one final answer of the module; `retry_in_s` is there where it refuses.
    pub(super) fn answer(
        &mut self,
        now: Seconds,
        id: RequestId,
        retry_in_s: Option<Seconds>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.phase == Phase::Pending) else { return };
        let owner = job.owner;
        let late = now >= job.task.deadline - NEAR_DEADLINE_S;
        let phase = match retry_in_s {
            Some(retry_in_s) => {
                let retry_in_s = job.turned.map_or(retry_in_s, |turned| turned.retry_in_s);
                job.retry_in_s = retry_in_s;
                let limit = job.turned.map(|turned| Refusal::Limit(turned.why));
                let why = limit.unwrap_or(if late { Refusal::Deadline } else { Refusal::NoRoom });
                effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
                if late && limit.is_none() {
                    Phase::DeadlinePassed
                } else {
                    Phase::Refused
                }
            }
            None => {
                effects.push(Effect::Failed { owner, job: id });
                Phase::Failed
            }
        };
        self.close(now, id, phase, effects);
    }

    /// The owner gives a job up or ends a task.
    pub(super) fn cancel(&mut self, now: Seconds, id: RequestId, cause: u8, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.phase.is_over()) else { return };
        let (phase, machine, attempt) = (job.phase, job.machine, job.attempts.saturating_sub(1));
        if phase == Phase::Running {
            if let Some(machine) = machine {
                effects.push(Effect::Stop { machine, job: id, cause });
                self.unproved(id, machine);
            }
            self.close(now, id, Phase::Cancelled, effects);
            self.feed(now, Event::Withdrawn { request: id }, effects);
            self.feed(now, ended(id, attempt, Outcome::Cancelled, Reason::Unknown, true, None), effects);
        } else {
            self.take_back(now, id, Final::Unowed, effects);
        }
    }

    /// Ends a job that waits, with a final answer or, where none is owed, without; the module hears of it.
    pub(super) fn take_back(&mut self, now: Seconds, id: RequestId, last: Final, effects: &mut Vec<Effect>) {
        let trial = self.give_up_trial(id, effects);
        match last {
            Final::Failed => self.answer(now, id, None, effects),
            Final::Refused => self.answer(now, id, Some(DOOR_RETRY_S), effects),
            Final::Unowed => self.close(now, id, Phase::Cancelled, effects),
        }
        self.feed(now, Event::Withdrawn { request: id }, effects);
        if let Some(trial) = trial {
            let outcome = if trial.left { Outcome::Cancelled } else { Outcome::Moot };
            self.feed(now, ended(id, trial.attempt, outcome, Reason::Unknown, true, None), effects);
        }
    }

    /// Takes a job out of the open ones; it can be looked at for a while where anybody can look.
    pub(super) fn close(&mut self, now: Seconds, id: RequestId, phase: Phase, effects: &mut Vec<Effect>) {
        if self.jobs.get(&id).is_some_and(|j| j.phase == Phase::Pending) {
            self.answered(now, id);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.owner {
            Owner::Rest => self.open_rest -= 1,
            Owner::Group { .. } => {}
            Owner::Link(link) => {
                if let Entry_::Occupied(mut of_link) = self.links.entry(link) {
                    of_link.get_mut().jobs.remove(&id);
                    if of_link.get().jobs.is_empty() {
                        of_link.remove();
                    }
                }
            }
        }
        job.phase = phase;
        if let Some(machine) = job.machine {
            self.nodes.stands_no_more(machine, id);
        }
        if self.keep.over == 0 {
            self.jobs.remove(&id);
            return;
        }
        self.changed(id, ChangeKind::Modified, effects);
        self.over.push_back(id);
        self.alarm(now + self.keep.over_s, Alarm::Forget(id));
        while self.over.len() > self.keep.over {
            if let Some(oldest) = self.over.front().copied() {
                self.forget(oldest, effects);
            }
        }
    }

    pub(super) fn forget(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        self.over.retain(|&other| other != id);
        if self.jobs.contains_key(&id) {
            self.changed(id, ChangeKind::Deleted, effects);
        }
        if let Some(job) = self.jobs.remove(&id) {
            let key = job.spec.key.as_ref().map(|key| (job.spec.class.clone(), key.clone()));
            if let Some(key) = key.filter(|key| self.keys.get(key) == Some(&id)) {
                self.keys.remove(&key);
            }
        }
    }

    /// Gives a job a new version, which watchers see.
    pub(super) fn changed(&mut self, id: RequestId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.version = version;
        if let Some(job) = self.jobs.get(&id).filter(|_| self.keep.history > 0) {
            let object = Object::Job(Arc::new(self.job_view(id, job)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }
}
