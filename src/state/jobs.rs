//! The life cycle of jobs: submission, waiting, final answer and removal.

use super::cancellations::Cancellation;
use super::*;

/// Bytes that a job takes besides its texts.
pub(super) const JOB_BYTES: usize = 1024;
/// Bytes. The longest name and the longest key that are kept of a running task.
const MAX_KEPT_TEXT_BYTES: usize = 255;
/// Count. Pending jobs allowed on one client connection, so that no single client takes the memory that all
/// share.
pub(super) const MAX_PENDING_PER_LINK: usize = 1000;
/// Seconds. A refusal this close to the deadline is reported as a missed deadline.
const NEAR_DEADLINE_S: Seconds = 0.05;
/// Seconds. Retry delay reported for a job that is refused without having been tried.
const BUSY_RETRY_S: Seconds = 1.0;
/// Seconds. Retry delay reported for a job of whose key a copy may still run.
const COPY_RETRY_S: Seconds = 1.0;
/// Seconds. Time after the deadline at which an answer is forced if the placer has given none.
const FORCED_ANSWER_S: Seconds = 0.02;
/// Multiple of the class's usual deadline. A job with a longer waiting time is not admitted.
const MAX_WAIT_MULTIPLE: f64 = 8.0;

impl Job {
    /// Records that an attempt may have run.
    pub(super) fn may_have_run(&mut self, open_attempt: &OpenAttempt) {
        if self.may_have_run_since.is_none() {
            (self.may_have_run_since, self.may_have_run_location) =
                (Some(open_attempt.decided_at), Some(open_attempt.location));
        }
        self.own_attempt_may_have_run = true;
    }

    /// See [`guarded_key`].
    pub(super) fn guarded_key(&self) -> Option<ClassAndKey> {
        guarded_key(self.owner, &self.spec)
    }

    /// Whether a machine is in the same place (machine, cell or zone) as the one at which the job may have
    /// run first.
    pub(super) fn is_colocated(&self, place: Place, there: Location) -> bool {
        self.may_have_run_location.is_none_or(|first| match place {
            Place::All => true,
            Place::Machine => first.machine == there.machine,
            Place::Cell => first.cell == there.cell,
            Place::Zone => first.zone == there.zone,
        })
    }
}

/// The final answer to a job that is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalAnswer {
    /// Failed: the job may have run.
    Failed,
    /// Refused: the job never ran.
    Refused,
    /// No answer: the owner does not wait for one.
    NoAnswer,
}

/// The location of a machine. It is kept with a job, as the machine may leave the list within the repeat
/// window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Location {
    pub machine: MachineId,
    pub zone: ZoneId,
    pub cell: CellId,
}

/// A past attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Past {
    pub machine: MachineId,
    /// Whether the machine reported or confirmed its end: then no message about it follows the answer to a
    /// later connection check.
    pub confirmed: bool,
}

/// The open attempt of a job: queued or sent, and not over.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    pub attempt: AttemptNo,
    pub machine: MachineId,
    pub location: Location,
    /// The time at which the attempt was decided.
    pub decided_at: Seconds,
    /// Whether the attempt was sent, and not only queued.
    pub sent: bool,
    /// The connection check sent before this attempt, because an earlier attempt was sent to the same
    /// machine; messages that arrive before its answer belong to the earlier attempt.
    pub fence: Option<u64>,
    /// Set once the attempt is cancelled. It counts as open until its machine confirms that.
    pub cancellation: Option<Cancellation>,
    /// The attempt ended without confirmation by its machine: a copy may run, and an answer may still arrive.
    pub unconfirmed_end: bool,
    /// Set if the machine left the list and its connection is not known to have ended.
    pub departure: Option<DepartureId>,
}

impl OpenAttempt {
    /// Whether a message of that machine about the job belongs to this attempt.
    pub fn is_answered_by(&self, machine: MachineId) -> bool {
        self.machine == machine && self.sent && self.fence.is_none()
    }
}

/// A job and its state.
#[derive(Debug)]
pub struct Job {
    /// The client that receives the answers.
    pub owner: Owner,
    /// The data forwarded to the machine.
    pub spec: Arc<Spec>,
    /// The input of the placement decision.
    pub task: Task,
    /// The job's state.
    pub phase: Phase,
    /// Count. Attempts so far, queued ones included.
    pub attempts: usize,
    /// The machine at which the task runs or ran.
    pub machine: Option<MachineId>,
    /// Outcome of the last attempt.
    pub last: Option<(Outcome, Reason)>,
    /// Seconds. Retry delay reported to the owner.
    pub retry_in_s: Seconds,
    /// Start time of the first attempt that may have run.
    pub may_have_run_since: Option<Seconds>,
    /// The location of that attempt's machine.
    pub(super) may_have_run_location: Option<Location>,
    /// Whether an attempt of this job may have run, rather than of an earlier job with the same key.
    pub(super) own_attempt_may_have_run: bool,
    /// Version of the last change.
    pub version: u64,
    /// The operators' limit that refused a further attempt.
    pub limit_rejection: Option<Rejection>,
    /// What the job holds of the limits' budgets, until its final answer.
    pub(super) ticket: Option<Ticket>,
    /// Whether an attempt was charged to the limits.
    pub(super) charged: bool,
    pub(super) open_attempt: Option<OpenAttempt>,
    /// Earlier attempts that were sent; cleared when the task runs.
    pub(super) past: Vec<Past>,
    /// A cancelled or interrupted attempt was not confirmed by its machine and may still run; no further
    /// attempt is made.
    pub(super) unconfirmed: bool,
    /// The time since which the task runs, as far as this planner knows.
    pub(super) placed_at: Seconds,
}

/// The class and key of a job whose key must not start a second copy. On the platform an owner looks itself whether its
/// task runs before it asks again; a client of the REST API cannot.
pub(super) fn guarded_key(owner: Owner, spec: &Spec) -> Option<ClassAndKey> {
    let key = spec.key.clone().filter(|_| matches!(owner, Owner::Rest | Owner::Group { .. }))?;
    Some((spec.class.clone(), key))
}

impl Core {
    /// Checks that some machine could take the job and that its deadline is within the class's bounds. A job
    /// that no machine can take would only wait for its deadline, and one with a distant deadline would stay
    /// in memory.
    ///
    /// # Errors
    /// The name of the field that is out of range.
    pub fn admits(&self, now: Seconds, submission: &JobSubmission) -> Result<(), &'static str> {
        let room = submission.task.room;
        let class = self.settings.classes.get(submission.task.class).ok_or("class")?;
        let (cores, memory) = (self.settings.cores_multiple, self.settings.memory_multiple);
        let limit = |kind: &Kind| Room { cores: kind.size.cores * cores, memory: kind.size.memory * memory };
        let of_kind = |&(at, _): &(usize, &Kind)| class.kind.is_none_or(|kind| kind == at);
        let mut kinds = self.settings.kinds.iter().enumerate().filter(of_kind);
        let faults = [
            (submission.job.0 == 0, "id"),
            (submission.spec.name.is_empty(), "name"),
            (matches!(class.idempotency, Idempotency::Keyed { .. }) && submission.spec.key.is_none(), "key"),
            (!(room.cores > 0.0 && room.memory > 0.0), "room"),
            (!kinds.any(|(_, kind)| room.within(limit(kind))), "room"),
            (submission.task.deadline - now > class.deadline_s * MAX_WAIT_MULTIPLE, "waiting time"),
        ];
        faults.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, what)| Err(*what))
    }

    pub(super) fn submit(&mut self, now: Seconds, mut submission: JobSubmission, effects: &mut Vec<Effect>) {
        let (id, owner) = (submission.job, submission.owner);
        submission.task.deadline = submission.task.deadline.min(self.answers_by);
        if self.jobs.contains_key(&id) {
            return self.reject_duplicate_id(now, id, owner, effects);
        }
        // A copy of an earlier job with this id may run, and answers could not be attributed to one of the
        // two.
        if self.possible_copies.may_run(id) {
            return effects.push(Effect::Failed { owner, job: id });
        }
        if let Some(key) = guarded_key(owner, &submission.spec) {
            if self.possible_copies.key_may_run(now, &key) {
                let (why, retry_in_s) = (Refusal::CopyMayRun, COPY_RETRY_S);
                return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
            }
            if self.possible_copies.is_full() {
                let (why, retry_in_s) = (Refusal::Busy, BUSY_RETRY_S);
                return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
            }
        }
        let link_is_full =
            matches!(owner, Owner::Link(link) if self.link_load(link).open >= MAX_PENDING_PER_LINK);
        if self.is_full() || link_is_full || now >= self.answers_by {
            let (why, retry_in_s) = (Refusal::Busy, BUSY_RETRY_S);
            return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
        }
        let (submission, ticket) = match self.apply_limits(now, submission) {
            Ok(taken) => taken,
            Err(limit_rejection) => {
                let (why, retry_in_s) = (Refusal::Limit(limit_rejection.why), limit_rejection.retry_in_s);
                return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
            }
        };
        let task = submission.task;
        self.add(now, submission, Phase::Pending);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ticket = ticket;
        }
        self.changed(id, ChangeKind::Added, effects);
        self.alarm(task.deadline + FORCED_ANSWER_S, Alarm::ForceAnswer(id));
        self.feed_placer(now, Event::Submitted { request: id, task }, effects);
    }

    /// Handles a submission with an id that is in use. On another connection the owner of the first job is
    /// not at fault, and nothing is sent there that could be taken for an answer to the first job. On the
    /// same connection answers could not be attributed: a pending job fails, and the second submission gets
    /// no answer of its own.
    pub(super) fn reject_duplicate_id(
        &mut self,
        now: Seconds,
        id: RequestId,
        owner: Owner,
        effects: &mut Vec<Effect>,
    ) {
        let first = self.jobs.get(&id).filter(|j| j.owner == owner && j.phase == Phase::Pending);
        if first.is_some() {
            self.withdraw(now, id, FinalAnswer::Failed, effects);
        }
        if let Owner::Link(link) = owner {
            effects.push(Effect::Expel { link });
        }
    }

    pub(super) fn add(&mut self, now: Seconds, submission: JobSubmission, phase: Phase) {
        let (mut may_have_run_since, mut may_have_run_location) = (None, None);
        if let (Some(key), Owner::Rest | Owner::Group { .. }) = (&submission.spec.key, submission.owner) {
            let at = (submission.spec.class.clone(), key.clone());
            let before = self.keys.insert(at, submission.job).and_then(|before| self.jobs.get(&before));
            // A retry stays in the repeat window that the first try opened. A job that was running has
            // certainly ended, and after the window a request counts as a new placement, as on the platform.
            let before = before.filter(|j| j.machine.is_none());
            may_have_run_location = before.and_then(|j| j.may_have_run_location);
            let since = before.and_then(|j| j.may_have_run_since);
            may_have_run_since =
                since.filter(|&since| match self.settings.classes[submission.task.class].idempotency {
                    Idempotency::Keyed { window_s, .. } => now < since + window_s,
                    _ => true,
                });
        }
        let job = Job {
            owner: submission.owner,
            spec: submission.spec,
            task: submission.task,
            phase,
            attempts: 0,
            machine: None,
            last: None,
            retry_in_s: 0.0,
            may_have_run_since,
            may_have_run_location: may_have_run_location.filter(|_| may_have_run_since.is_some()),
            own_attempt_may_have_run: false,
            version: 0,
            limit_rejection: None,
            ticket: None,
            charged: false,
            open_attempt: None,
            past: Vec::new(),
            unconfirmed: false,
            placed_at: 0.0,
        };
        match job.owner {
            Owner::Rest => self.open_rest += 1,
            Owner::Group { .. } => {}
            Owner::Link(link) => {
                self.links.entry(link).or_default().jobs.insert(submission.job);
            }
        }
        self.jobs.insert(submission.job, job);
        if phase == Phase::Pending {
            self.count_pending(submission.job, true);
        }
    }

    /// Counts a job as pending, or removes it from the count.
    pub(super) fn count_pending(&mut self, id: RequestId, is_pending: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        let step = |count: usize, by: usize| if is_pending { count + by } else { count.saturating_sub(by) };
        self.pending = step(self.pending, 1);
        self.pending_bytes = step(self.pending_bytes, JOB_BYTES + job.spec.size());
        if let Owner::Link(link) = job.owner {
            let of_link = self.links.entry(link).or_default();
            of_link.open = step(of_link.open, 1);
        }
    }

    /// Drops the description, and a very long name or key, of a running task that came on a platform connection: the
    /// memory for running tasks is bounded by their number. REST clients can still read theirs.
    pub(super) fn drop_description(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| matches!(j.owner, Owner::Link(_))) {
            let mut spec = Spec { body: String::new(), ..Spec::clone(&job.spec) };
            if spec.name.len() > MAX_KEPT_TEXT_BYTES {
                spec.name = String::new();
            }
            spec.key = spec.key.filter(|key| key.len() <= MAX_KEPT_TEXT_BYTES);
            job.spec = Arc::new(spec);
        }
    }

    /// Sends the final answer that the placer decided: a refusal if `retry_in_s` is set, else a failure.
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
                let retry_in_s =
                    job.limit_rejection.map_or(retry_in_s, |limit_rejection| limit_rejection.retry_in_s);
                job.retry_in_s = retry_in_s;
                let limit = job.limit_rejection.map(|limit_rejection| Refusal::Limit(limit_rejection.why));
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

    /// Whether a release on a client connection may end a job: a pending one belongs to its connection, a running
    /// task to none.
    pub(super) fn may_release(&self, link: u64, id: RequestId) -> bool {
        self.jobs.get(&id).is_some_and(|job| match job.owner {
            Owner::Link(own) => own == link || job.phase == Phase::Running,
            Owner::Rest | Owner::Group { .. } => false,
        })
    }

    /// Cancels a pending job or stops a running task, on its owner's request.
    pub(super) fn cancel(&mut self, now: Seconds, id: RequestId, cause: u8, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.phase.is_over()) else { return };
        let (phase, machine, attempt) = (job.phase, job.machine, job.attempts.saturating_sub(1));
        if phase == Phase::Running {
            if let Some(machine) = machine {
                effects.push(Effect::Stop { machine, job: id, cause });
                let is_guarded = self.jobs.get(&id).is_some_and(|job| job.guarded_key().is_some());
                let confirmation =
                    if is_guarded { self.confirm_stops(machine, effects) } else { Confirmation::Report };
                self.record_possible_copy(now, id, machine, confirmation);
            }
            self.close(now, id, Phase::Cancelled, effects);
            self.feed_placer(now, Event::Withdrawn { request: id }, effects);
            self.feed_placer(
                now,
                ended(id, attempt, Outcome::Cancelled, Reason::Unknown, true, None),
                effects,
            );
        } else {
            self.withdraw(now, id, FinalAnswer::NoAnswer, effects);
        }
    }

    /// Ends a pending job, with a final answer unless the owner expects none, and informs the placer.
    pub(super) fn withdraw(
        &mut self,
        now: Seconds,
        id: RequestId,
        last: FinalAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let open_attempt = self.cancel_open_attempt(now, id, effects);
        match last {
            FinalAnswer::Failed => self.answer(now, id, None, effects),
            FinalAnswer::Refused => self.answer(now, id, Some(BUSY_RETRY_S), effects),
            FinalAnswer::NoAnswer => self.close(now, id, Phase::Cancelled, effects),
        }
        self.feed_placer(now, Event::Withdrawn { request: id }, effects);
        if let Some(open_attempt) = open_attempt {
            let outcome = if open_attempt.sent { Outcome::Cancelled } else { Outcome::Moot };
            self.feed_placer(
                now,
                ended(id, open_attempt.attempt, outcome, Reason::Unknown, true, None),
                effects,
            );
        }
    }

    /// Moves a job to a final state; it stays readable for a while if the core keeps finished jobs.
    pub(super) fn close(&mut self, now: Seconds, id: RequestId, phase: Phase, effects: &mut Vec<Effect>) {
        if self.jobs.get(&id).is_some_and(|j| j.phase == Phase::Pending) {
            self.release_pending(now, id);
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
            self.nodes.remove_running(machine, id);
        }
        if self.bounds.over == 0 {
            self.keep_for_callers(id);
            self.jobs.remove(&id);
            return;
        }
        self.changed(id, ChangeKind::Modified, effects);
        self.over.push_back(id);
        self.alarm(now + self.bounds.over_s, Alarm::ForgetJob(id));
        while self.over.len() > self.bounds.over {
            if let Some(oldest) = self.over.front().copied() {
                self.forget(oldest, effects);
            }
        }
    }

    /// Removes a finished job; a job that runs again under the same id stays.
    pub(super) fn forget(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        self.over.retain(|&other| other != id);
        if self.jobs.get(&id).is_some_and(|job| !job.phase.is_over()) {
            return;
        }
        if self.jobs.contains_key(&id) {
            self.changed(id, ChangeKind::Deleted, effects);
        }
        self.keep_for_callers(id);
        if let Some(job) = self.jobs.remove(&id) {
            let key = job.spec.key.as_ref().map(|key| (job.spec.class.clone(), key.clone()));
            if let Some(key) = key.filter(|key| self.keys.get(key) == Some(&id)) {
                self.keys.remove(&key);
            }
        }
    }

    /// Keeps the last view of a job whose record is removed for the callers that wait for it.
    fn keep_for_callers(&mut self, id: RequestId) {
        let record = RecordId::Job(id);
        if let Some(view) = self.job_view_of(id).filter(|_| self.awaited.is_held(record)) {
            self.awaited.keep(record, LastView::Job(view));
        }
    }

    /// Assigns a new version to a job and adds it to the history for watchers.
    pub(super) fn changed(&mut self, id: RequestId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.version = version;
        if let Some(job) = self.jobs.get(&id).filter(|_| self.bounds.history > 0) {
            let object = Object::Job(Arc::new(self.job_view(id, job)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }
}
