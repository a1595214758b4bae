//! What the planner keeps in memory. Every change goes through [`Core::apply`], which asks for effects and
//! carries out none: no I/O, no clock, no word of any wire.
//!
//! The decisions are the [`Placer`]'s. What is added here are the guards that hold whatever it decides: one
//! attempt out, no send to a machine that drains, the repeat window, and exactly one final answer.

mod history;
mod views;
mod words;

pub use history::{Change, ChangeKind, History, Resume};
pub use views::{JobView, MachineView, Object};
pub use words::{Ask, Effect, Input, Keep, Notice, Owed, Owner, Phase, Refusal, Spec};

use crate::interface::Effect as Effect_;
use crate::interface::*;
use crate::life::settings::Vocabulary;
use crate::rules::Placer;
use std::cmp::Reverse;
use std::collections::btree_map::Entry as Entry_;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

/// Bytes that a job takes beside its description.
const JOB_BYTES: usize = 1024;
/// Count. Jobs that may wait on one connection: no owner alone may take what all share.
const MOST_ON_LINK: usize = 1000;
/// Seconds. A task that stands at a machine which the list has not named by then counts as lost.
const UNLISTED_S: Seconds = 2.5;
/// Seconds. So long a machine that drains and refuses connections is taken to hold what stands there. An end of
/// which no word came is to be told within 8 s.
const DRAIN_KEEPS_S: Seconds = 3.0;
/// Count. Names kept of machines that are no more, before they are gone through.
const OLD_NAMES: usize = 64;
/// Seconds. A refusal so close to the deadline is told as the deadline's.
const NEAR_DEADLINE_S: Seconds = 0.05;
/// Seconds. When a job that was turned away at the door may come back.
const DOOR_RETRY_S: Seconds = 1.0;
/// Seconds. Grace after the deadline within which an answer is forced, should the module have given none.
const FORCED_ANSWER_S: Seconds = 0.02;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Trial {
    attempt: AttemptNo,
    machine: MachineId,
    at: Seconds,
    left: bool,
}

/// A job and what came of it.
#[derive(Clone, Debug)]
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
    /// Version of its last change.
    pub version: u64,
    trial: Option<Trial>,
    placed_at: Seconds,
}

#[derive(Clone, Debug)]
struct Node {
    entry: Entry,
    address: String,
    standing: BTreeSet<RequestId>,
    /// Since when it refuses connections while it drains.
    refuses_since: Option<Seconds>,
    version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Placer,
    GiveUp(RequestId, AttemptNo),
    Answer(RequestId),
    Unlisted(RequestId),
    Forget(RequestId),
}

/// The jobs of one connection that are not over.
#[derive(Default)]
struct LinkJobs {
    jobs: BTreeSet<RequestId>,
    open: usize,
}

/// The one reducer.
pub struct Core {
    placer: Placer,
    settings: Settings,
    words: Vocabulary,
    jobs: BTreeMap<RequestId, Job>,
    nodes: BTreeMap<MachineId, Node>,
    keys: BTreeMap<(String, String), RequestId>,
    /// The jobs that are not over, by the connection that they came on.
    links: BTreeMap<u64, LinkJobs>,
    alarms: BinaryHeap<Reverse<(u64, Alarm)>>,
    over: VecDeque<RequestId>,
    pending: usize,
    /// What the jobs that wait take.
    pending_bytes: usize,
    open_rest: usize,
    keep: Keep,
    history: History,
}

/// Multiple. No owner waits longer than so many times what its class usually waits.
const MOST_WAIT_TIMES: f64 = 8.0;
/// The cause by which a machine is told to cut a task that counts as lost.
const CUT: u8 = 41;

fn micros(at: Seconds) -> u64 {
    (at.max(0.0) * 1e6).ceil() as u64
}

impl Core {
    /// A core that knows only its settings.
    ///
    /// # Errors
    /// If the settings cannot be served.
    pub fn new(settings: Settings, words: Vocabulary, seed: u64, keep: Keep) -> Result<Self, SettingsError> {
        let placer = Placer::new(settings.clone(), seed)?;
        Ok(Core {
            placer,
            settings,
            words,
            jobs: BTreeMap::new(),
            nodes: BTreeMap::new(),
            keys: BTreeMap::new(),
            links: BTreeMap::new(),
            alarms: BinaryHeap::new(),
            over: VecDeque::new(),
            pending: 0,
            pending_bytes: 0,
            open_rest: 0,
            keep,
            history: History::new(keep.history),
        })
    }

    /// The names of the settings.
    pub fn words(&mut self) -> &mut Vocabulary {
        &mut self.words
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Jobs that wait for their final answer.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Whether no further job is taken.
    pub fn is_full(&self) -> bool {
        self.pending_bytes >= self.keep.waiting_bytes
    }

    /// What is owed on a connection.
    pub fn owed(&self, link: u64) -> Owed {
        self.links
            .get(&link)
            .map_or(Owed::default(), |of| Owed { open: of.open, standing: of.jobs.len() - of.open })
    }

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

    /// Tasks that stand at a machine.
    pub fn standing_at(&self, machine: MachineId) -> usize {
        self.nodes.get(&machine).map_or(0, |n| n.standing.len())
    }

    /// A job that is known still.
    pub fn job(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The newest job of a class with that key.
    pub fn keyed(&self, class: &str, key: &str) -> Option<RequestId> {
        self.keys.get(&(class.to_string(), key.to_string())).copied()
    }

    /// What can be watched.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_alarm(&self) -> Option<Seconds> {
        self.alarms.peek().map(|Reverse((at, _))| *at as f64 / 1e6)
    }

    /// One job, as it can be looked at.
    pub fn job_view_of(&self, id: RequestId) -> Option<JobView> {
        self.jobs.get(&id).map(|job| self.job_view(id, job))
    }

    /// Jobs of the REST front that wait or run.
    pub fn open_rest_jobs(&self) -> usize {
        self.open_rest
    }

    /// Every job, as it can be looked at, the one that changed last at the end.
    pub fn job_views(&self) -> Vec<JobView> {
        let mut views: Vec<JobView> = self.jobs.iter().map(|(&id, job)| self.job_view(id, job)).collect();
        views.sort_by_key(|view| view.version);
        views
    }

    /// Every machine, as it can be looked at.
    pub fn machine_views(&self) -> Vec<MachineView> {
        self.nodes.iter().map(|(&id, node)| self.machine_view(id, node)).collect()
    }

    fn job_view(&self, id: RequestId, job: &Job) -> JobView {
        JobView {
            id,
            spec: job.spec.clone(),
            room: job.task.room,
            phase: job.phase,
            machine: job.machine.map(|m| self.words.name(m)),
            attempts: job.attempts,
            deadline: job.task.deadline,
            last: job.last,
            retry_in_s: job.retry_in_s,
            version: job.version,
        }
    }

    fn machine_view(&self, id: MachineId, node: &Node) -> MachineView {
        MachineView {
            name: self.words.name(id),
            zone: self.words.zone_name(node.entry.zone),
            cell: node.entry.cell,
            standing: node.entry.standing,
            free: node.entry.free,
            started: node.entry.started,
            version: node.version,
        }
    }

    /// Takes in one thing that happened, and appends what is to be done about it.
    pub fn apply(&mut self, now: Seconds, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::List { kind, notices } => self.list(now, kind, notices, effects),
            Input::Submit(ask) => self.submit(now, ask, effects),
            Input::Adopt { ask, machine } => self.adopt(now, ask, machine, effects),
            Input::Cancel { job, cause } => self.cancel(now, job, cause, effects),
            Input::OwnerGone { link } => {
                let open = |id: &RequestId| self.jobs.get(id).is_some_and(|j| j.phase == Phase::Pending);
                let gone: Vec<RequestId> =
                    self.links.get(&link).map_or(vec![], |of| of.jobs.iter().copied().filter(open).collect());
                for job in gone {
                    self.cancel(now, job, 0, effects);
                }
            }
            Input::Sent { job, attempt } => {
                let trial = self.jobs.get_mut(&job).and_then(|j| j.trial.as_mut());
                if let Some(trial) = trial.filter(|t| t.attempt == attempt) {
                    trial.left = true;
                }
            }
            Input::Bound { machine, job, body } => self.bound(now, machine, job, body, effects),
            Input::Ended { machine, job, before, after, why, report } => {
                let Some(known) = self.jobs.get(&job) else { return };
                // What is still in the queue cannot have been answered: that was for an earlier attempt.
                if known.trial.is_some_and(|t| t.machine == machine && t.left) {
                    self.trial_over(now, job, before, why, report, effects);
                } else if known.phase == Phase::Running && known.machine == Some(machine) {
                    self.standing_over(now, job, after, why, report, effects);
                }
            }
            Input::Noted { machine, job, note } => {
                let Some(known) = self.jobs.get(&job) else { return };
                let here =
                    known.machine == Some(machine) || known.trial.is_some_and(|t| t.machine == machine);
                if here && known.attempts > 0 {
                    let attempt = known.attempts - 1;
                    self.feed(now, Event::Noted { request: job, attempt, note }, effects);
                }
            }
            Input::Probed { machine, outcome, report } => {
                self.feed(now, Event::Probed { machine, outcome, report }, effects);
            }
            Input::DialFailed { machine } => self.break_trials(now, machine, false, Reason::Unknown, effects),
            Input::DialRefused { machine } => self.dial_refused(now, machine, effects),
            Input::LinkBroken { machine } => self.break_trials(now, machine, true, Reason::Broken, effects),
            Input::MachineLost { machine } => self.machine_lost(now, machine, effects),
            Input::Tick => self.tick(now, effects),
        }
    }

    /// Lets the module hear an event and carries out what it decides, until it asks for nothing more.
    fn feed(&mut self, now: Seconds, event: Event, effects: &mut Vec<Effect>) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.placer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Bind { request, machine, give_up_at } => {
                        if let Some(moot) = self.bind(now, request, machine, give_up_at, effects) {
                            events.push_back(moot);
                        }
                    }
                    Action::Refuse { request, retry_in_s } => {
                        self.answer(now, request, Some(retry_in_s), effects)
                    }
                    Action::Fail { request } => self.answer(now, request, None, effects),
                    Action::Probe { machine } => effects.push(Effect::Probe { machine }),
                    Action::Subscribe => effects.push(Effect::Subscribe),
                    Action::SetTimer { at } => self.alarm(at, Alarm::Placer),
                    Action::Log(line) => effects.push(Effect::Log(line)),
                }
            }
        }
    }

    fn alarm(&mut self, at: Seconds, alarm: Alarm) {
        self.alarms.push(Reverse((micros(at), alarm)));
    }

    fn tick(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let until = (now * 1e6) as u64;
        let mut placer = false;
        while self.alarms.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            let Some(Reverse((_, alarm))) = self.alarms.pop() else { break };
            match alarm {
                Alarm::Placer => placer = true,
                Alarm::GiveUp(job, attempt) => {
                    let trial = self.jobs.get(&job).and_then(|j| j.trial);
                    if let Some(trial) = trial.filter(|t| t.attempt == attempt) {
                        // What never left the queue never ran, and must not leave it later.
                        effects.push(Effect::GiveUp { machine: trial.machine, job });
                        let outcome = if trial.left { Outcome::TimedOut } else { Outcome::ConnectFailed };
                        self.trial_over(now, job, outcome, Reason::Unknown, None, effects);
                    }
                }
                Alarm::Answer(job) => {
                    // Guards rule 1, should the module have let a job pass its deadline.
                    if self.jobs.get(&job).is_some_and(|j| j.phase == Phase::Pending) {
                        effects.push(Effect::Log(format!("job {:016x} was answered by its guard", job.0)));
                        self.take_back(now, job, true, effects);
                    }
                }
                Alarm::Unlisted(job) => {
                    let machine =
                        self.jobs.get(&job).filter(|j| j.phase == Phase::Running).and_then(|j| j.machine);
                    if machine.is_some_and(|machine| !self.nodes.contains_key(&machine)) {
                        self.standing_over(now, job, Outcome::Lost, Reason::Unknown, None, effects);
                    }
                }
                Alarm::Forget(job) => self.forget(job, effects),
            }
        }
        if placer {
            self.feed(now, Event::Timer, effects);
        }
    }

    fn submit(&mut self, now: Seconds, ask: Ask, effects: &mut Vec<Effect>) {
        let (id, task, owner) = (ask.job, ask.task, ask.owner);
        if self.jobs.contains_key(&id) {
            return self.used_twice(now, id, owner, effects);
        }
        let crowded = matches!(owner, Owner::Link(link) if self.owed(link).open >= MOST_ON_LINK);
        if self.is_full() || crowded {
            let (why, retry_in_s) = (Refusal::Busy, DOOR_RETRY_S);
            return effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
        }
        self.add(now, ask, Phase::Pending);
        self.changed(id, ChangeKind::Added, effects);
        self.alarm(task.deadline + FORCED_ANSWER_S, Alarm::Answer(id));
        self.feed(now, Event::Submitted { request: id, task }, effects);
    }

    /// An id that is in use comes again. On another connection that is not its owner's doing, and nothing is said
    /// there that could be taken for word of the first. On the same one nobody can tell which an answer is for: what
    /// waits is failed, and no second answer is owed.
    fn used_twice(&mut self, now: Seconds, id: RequestId, owner: Owner, effects: &mut Vec<Effect>) {
        let first = self.jobs.get(&id).filter(|j| j.owner == owner && j.phase == Phase::Pending);
        if first.is_some() {
            self.take_back(now, id, true, effects);
        }
        if let Owner::Link(link) = owner {
            effects.push(Effect::Expel { link });
        }
    }

    fn add(&mut self, now: Seconds, ask: Ask, phase: Phase) {
        let mut risky_since = None;
        if let (Some(key), Owner::Rest) = (&ask.spec.key, ask.owner) {
            let at = (ask.spec.class.clone(), key.clone());
            let before = self.keys.insert(at, ask.job).and_then(|before| self.jobs.get(&before));
            // A retry stays inside the window that its first try opened. What stood has ended for certain, and
            // past the window an owner's ask is a placing of its own, as on the platform.
            let risky = before.filter(|j| j.machine.is_none()).and_then(|j| j.risky_since);
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
            version: 0,
            trial: None,
            placed_at: 0.0,
        };
        match job.owner {
            Owner::Rest => self.open_rest += 1,
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
    fn count_waiting(&mut self, id: RequestId, waits: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        let step = |count: usize, by: usize| if waits { count + by } else { count.saturating_sub(by) };
        self.pending = step(self.pending, 1);
        self.pending_bytes = step(self.pending_bytes, JOB_BYTES + job.spec.body.len());
        if let Owner::Link(link) = job.owner {
            let of_link = self.links.entry(link).or_default();
            of_link.open = step(of_link.open, 1);
        }
    }

    fn adopt(&mut self, now: Seconds, ask: Ask, machine: MachineId, effects: &mut Vec<Effect>) {
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
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.standing.insert(id);
        } else {
            // A machine that nobody knows will never tell of its end.
            self.alarm(now + UNLISTED_S, Alarm::Unlisted(id));
        }
        self.changed(id, ChangeKind::Added, effects);
        self.feed(now, Event::Resident { request: id, task, machine }, effects);
    }

    /// Carries out a bind, or tells why it must not go out.
    fn bind(
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
        let in_window = match (self.settings.classes[job.task.class].effect, job.risky_since) {
            (Effect_::Repeatable, _) | (_, None) => true,
            (Effect_::Once, Some(_)) => false,
            (Effect_::Keyed { window_s, .. }, Some(since)) => now < since + window_s,
        };
        let allowed = ready
            && in_window
            && job.phase == Phase::Pending
            && job.trial.is_none()
            && attempt < self.settings.max_attempts
            && now < job.task.deadline.min(give_up_at);
        if !allowed {
            let (outcome, reason) = (Outcome::Moot, Reason::Unknown);
            return Some(ended(id, attempt, outcome, reason, false, None));
        }
        let until = give_up_at.min(job.task.deadline);
        job.trial = Some(Trial { attempt, machine, at: now, left: false });
        let spec = job.spec.clone();
        effects.push(Effect::Launch { machine, job: id, attempt, left_s: until - now, spec });
        self.alarm(until, Alarm::GiveUp(id, attempt));
        self.changed(id, ChangeKind::Modified, effects);
        None
    }

    fn bound(&mut self, now: Seconds, at: MachineId, id: RequestId, body: String, effects: &mut Vec<Effect>) {
        // An answer after a give-up finds no trial and is dropped: the give-up follows it on its connection.
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(trial) = job.trial.take_if(|t| t.machine == at && t.left) else { return };
        (job.phase, job.machine, job.placed_at) = (Phase::Running, Some(at), now);
        job.risky_since = job.risky_since.or(Some(trial.at));
        let owner = job.owner;
        self.count_waiting(id, false);
        self.lighten(id);
        if let Some(node) = self.nodes.get_mut(&at) {
            node.standing.insert(id);
        }
        effects.push(Effect::Placed { owner, job: id, body });
        self.changed(id, ChangeKind::Modified, effects);
        let event = Event::Bound { request: id, attempt: trial.attempt, took_s: now - trial.at };
        self.feed(now, event, effects);
    }

    /// What stands needs no description any more, unless it can be looked at.
    fn lighten(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.owner != Owner::Rest) {
            job.spec = Arc::new(Spec { body: String::new(), ..Spec::clone(&job.spec) });
        }
    }

    /// An attempt that was out has an outcome.
    fn trial_over(
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
            job.risky_since = job.risky_since.or(Some(trial.at));
        }
        let finished = job.phase != Phase::Pending;
        self.changed(id, ChangeKind::Modified, effects);
        self.feed(now, ended(id, trial.attempt, outcome, why, finished, report), effects);
    }

    /// A task that stood is over: its owner hears of it, unless the owner ended it.
    fn standing_over(
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

    /// The one final answer of the module; `retry_in_s` is there where it refuses.
    fn answer(
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
                job.retry_in_s = retry_in_s;
                let why = if late { Refusal::Deadline } else { Refusal::NoRoom };
                effects.push(Effect::Refused { owner, job: id, why, retry_in_s });
                if late {
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
    fn cancel(&mut self, now: Seconds, id: RequestId, cause: u8, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.phase.is_over()) else { return };
        let (phase, machine, attempt) = (job.phase, job.machine, job.attempts.saturating_sub(1));
        if phase == Phase::Running {
            if let Some(machine) = machine {
                effects.push(Effect::Stop { machine, job: id, cause });
            }
            self.close(now, id, Phase::Cancelled, effects);
            self.feed(now, Event::Withdrawn { request: id }, effects);
            self.feed(now, ended(id, attempt, Outcome::Cancelled, Reason::Unknown, true, None), effects);
        } else {
            self.take_back(now, id, false, effects);
        }
    }

    /// Ends a job that waits, with a final answer or, where none is owed, without; the module hears of it.
    fn take_back(&mut self, now: Seconds, id: RequestId, answer: bool, effects: &mut Vec<Effect>) {
        let trial = self.give_up_trial(id, effects);
        if answer {
            self.answer(now, id, None, effects);
        } else {
            self.close(now, id, Phase::Cancelled, effects);
        }
        self.feed(now, Event::Withdrawn { request: id }, effects);
        if let Some(trial) = trial {
            let outcome = if trial.left { Outcome::Cancelled } else { Outcome::Moot };
            self.feed(now, ended(id, trial.attempt, outcome, Reason::Unknown, true, None), effects);
        }
    }

    fn give_up_trial(&mut self, id: RequestId, effects: &mut Vec<Effect>) -> Option<Trial> {
        let job = self.jobs.get_mut(&id)?;
        let trial = job.trial.take()?;
        if trial.left {
            job.risky_since = job.risky_since.or(Some(trial.at));
        }
        effects.push(Effect::GiveUp { machine: trial.machine, job: id });
        Some(trial)
    }

    /// Takes a job out of the open ones; it can be looked at for a while where anybody can look.
    fn close(&mut self, now: Seconds, id: RequestId, phase: Phase, effects: &mut Vec<Effect>) {
        if self.jobs.get(&id).is_some_and(|j| j.phase == Phase::Pending) {
            self.count_waiting(id, false);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.owner {
            Owner::Rest => self.open_rest -= 1,
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
        if let Some(node) = job.machine.and_then(|m| self.nodes.get_mut(&m)) {
            node.standing.remove(&id);
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

    fn forget(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
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
    fn changed(&mut self, id: RequestId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.version = version;
        if let Some(job) = self.jobs.get(&id).filter(|_| self.keep.history > 0) {
            let object = Object::Job(Arc::new(self.job_view(id, job)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }

    /// Gives a machine a new version, which watchers see.
    fn machine_changed(&mut self, id: MachineId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.version = version;
        if let Some(node) = self.nodes.get(&id).filter(|_| self.keep.history > 0) {
            let object = Object::Machine(Arc::new(self.machine_view(id, node)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }

    fn list(&mut self, now: Seconds, kind: ListKind, mut notices: Vec<Notice>, effects: &mut Vec<Effect>) {
        if matches!(kind, ListKind::Whole | ListKind::Persisted) {
            let named: BTreeSet<MachineId> = notices.iter().map(|n| n.entry.machine).collect();
            let missing = self.nodes.iter().filter(|(id, _)| !named.contains(id));
            let gone = |n: &Node| Notice {
                entry: Entry { standing: Standing::Gone, ..n.entry },
                address: n.address.clone(),
            };
            notices.extend(missing.map(|(_, n)| gone(n)).collect::<Vec<_>>());
        }
        self.replace(&mut notices);
        let restarted: Vec<(MachineId, Seconds)> =
            notices.iter().filter_map(|n| self.notice(n, effects)).collect();
        let entries: Vec<Entry> = notices.into_iter().map(|n| n.entry).collect();
        let gone: Vec<MachineId> =
            entries.iter().filter(|e| e.standing == Standing::Gone).map(|e| e.machine).collect();
        // The module hears of drains before what they set free is placed again.
        self.feed(now, Event::List { kind, entries }, effects);
        for (machine, started) in restarted {
            // Its process came up anew: what stood there before did not survive it.
            self.lose(now, machine, started, effects);
        }
        for machine in gone {
            self.machine_lost(now, machine, effects);
            self.machine_changed(machine, ChangeKind::Deleted, effects);
            if self.nodes.remove(&machine).is_some() {
                effects.push(Effect::Disconnect { machine });
            }
        }
        self.forget_names();
        let unsent = |j: &Job| j.trial.filter(|t| !t.left && !self.is_ready(t.machine));
        let drained: Vec<(RequestId, MachineId)> =
            self.jobs.iter().filter_map(|(&id, j)| unsent(j).map(|t| (id, t.machine))).collect();
        for (job, machine) in drained {
            effects.push(Effect::GiveUp { machine, job });
            self.trial_over(now, job, Outcome::Moot, Reason::Unknown, None, effects);
        }
    }

    /// Where a machine is told of at the address of another, the one that started later has it. The other is gone,
    /// though the list does not say so yet: what is sent to it would reach its successor.
    fn replace(&self, notices: &mut Vec<Notice>) {
        let mut gone = Vec::new();
        for notice in notices.iter_mut().filter(|n| n.entry.standing != Standing::Gone) {
            let same =
                |(id, n): &(&MachineId, &Node)| **id != notice.entry.machine && n.address == notice.address;
            let Some((_, other)) = self.nodes.iter().find(same) else { continue };
            if other.entry.started > notice.entry.started {
                notice.entry.standing = Standing::Gone;
            } else if notice.entry.standing == Standing::Ready {
                let entry = Entry { standing: Standing::Gone, ..other.entry };
                gone.push(Notice { entry, address: other.address.clone() });
            }
        }
        notices.retain(|n| !gone.iter().any(|g| g.entry.machine == n.entry.machine));
        notices.splice(0..0, gone);
    }

    /// Forgets the names of machines that nothing refers to any more.
    fn forget_names(&mut self) {
        if self.words.machines() > 2 * self.nodes.len() + OLD_NAMES {
            let of_jobs = self.jobs.values().filter_map(|j| j.machine);
            let used: BTreeSet<MachineId> = self.nodes.keys().copied().chain(of_jobs).collect();
            self.words.keep_machines(|id| used.contains(&id));
        }
    }

    fn is_ready(&self, machine: MachineId) -> bool {
        self.nodes.get(&machine).is_some_and(|n| n.entry.standing == Standing::Ready)
    }

    /// Books what the list says of one machine; tells when it started if it came up anew under its old name.
    fn notice(&mut self, notice: &Notice, effects: &mut Vec<Effect>) -> Option<(MachineId, Seconds)> {
        let (entry, id) = (notice.entry, notice.entry.machine);
        let Some(node) = self.nodes.get_mut(&id) else {
            if entry.standing != Standing::Gone {
                let held = |j: &Job| j.machine == Some(id) && !j.phase.is_over();
                let standing = self.jobs.iter().filter(|(_, j)| held(j)).map(|(&job, _)| job).collect();
                let address = notice.address.clone();
                effects.push(Effect::Connect { machine: id, address: address.clone() });
                self.nodes.insert(id, Node { entry, address, standing, refuses_since: None, version: 0 });
                self.machine_changed(id, ChangeKind::Added, effects);
            }
            return None;
        };
        let restarted = entry.started > node.entry.started;
        let moved = node.address != notice.address;
        (node.entry, node.address) = (entry, notice.address.clone());
        if entry.standing == Standing::Gone {
            return None;
        }
        if entry.standing == Standing::Ready {
            node.refuses_since = None;
        }
        if moved {
            effects.push(Effect::Connect { machine: id, address: notice.address.clone() });
        }
        self.machine_changed(id, ChangeKind::Modified, effects);
        restarted.then_some((id, entry.started))
    }

    /// Ends what stood at a machine since before that time.
    fn lose(&mut self, now: Seconds, machine: MachineId, before: Seconds, effects: &mut Vec<Effect>) {
        let Some(node) = self.nodes.get(&machine) else { return };
        let old = |id: &RequestId| self.jobs.get(id).is_some_and(|j| j.placed_at < before);
        let lost: Vec<RequestId> = node.standing.iter().copied().filter(old).collect();
        for job in lost {
            // Should the machine only have been cut off, its copy must not run on behind the owner's back.
            effects.push(Effect::Stop { machine, job, cause: CUT });
            self.standing_over(now, job, Outcome::Lost, Reason::Unknown, None, effects);
        }
    }

    /// A process that is gone refuses connections, and so does one that drains. What stands at the latter goes on
    /// until the list calls it gone, or until its end, untold, would come to its owner too late.
    fn dial_refused(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        let drains = self.nodes.get_mut(&machine).filter(|n| n.entry.standing == Standing::Draining);
        let since = drains.map(|node| *node.refuses_since.get_or_insert(now));
        if since.is_some_and(|since| now < since + DRAIN_KEEPS_S) {
            return self.break_trials(now, machine, false, Reason::Unknown, effects);
        }
        self.machine_lost(now, machine, effects);
    }

    fn machine_lost(&mut self, now: Seconds, machine: MachineId, effects: &mut Vec<Effect>) {
        self.lose(now, machine, f64::INFINITY, effects);
        self.break_trials(now, machine, false, Reason::Unknown, effects);
        self.break_trials(now, machine, true, Reason::Unknown, effects);
    }

    /// Ends the attempts at a machine that have left this process, or those that have not.
    fn break_trials(
        &mut self,
        now: Seconds,
        machine: MachineId,
        left: bool,
        why: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let hit = |j: &Job| j.trial.is_some_and(|t| t.machine == machine && t.left == left);
        let jobs: Vec<RequestId> = self.jobs.iter().filter(|(_, j)| hit(j)).map(|(&id, _)| id).collect();
        for job in jobs {
            // What was open on a connection that broke is given up by that.
            if !left {
                effects.push(Effect::GiveUp { machine, job });
            }
            let outcome = if left { Outcome::Lost } else { Outcome::ConnectFailed };
            self.trial_over(now, job, outcome, why, None, effects);
        }
    }
}

fn ended(
    request: RequestId,
    attempt: AttemptNo,
    outcome: Outcome,
    reason: Reason,
    finished: bool,
    report: Option<Report>,
) -> Event {
    Event::Ended(End { request, attempt, outcome, reason, finished, report })
}

#[cfg(test)]
pub(crate) mod tests;
