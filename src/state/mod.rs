//! The planner's state in memory. Every change goes through [`Core::apply`], which returns effects and
//! performs none itself: no I/O, no clock, no wire formats.
//!
//! The [`Placer`] makes the placement decisions. This module adds the guards that hold whatever the placer
//! decides: one open attempt per job, no send to a draining machine, the repeat window, and exactly one final
//! answer.

mod adoption;
mod alarms;
mod attempts;
mod awaited;
mod cancellations;
mod departures;
mod ends;
mod fleet;
mod groups;
mod history;
mod interface;
mod jobs;
mod limits;
mod machine_table;
mod machines;
mod possible_copies;
mod shutdown;
mod unclaimed_ends;
mod views;

use alarms::Alarm;
pub use awaited::RecordId;
use awaited::{AwaitedRecords, LastView};
pub use departures::DepartureId;
use departures::{Departed, Departures};
pub use fleet::FleetView;
use groups::Groups;
pub use groups::{GroupView, MemberView};
pub use history::{Change, ChangeKind, History, Resume};
pub use interface::{
    CopyGone, CoreBounds, Effect, GroupId, GroupSubmission, Input, JobSubmission, LinkLoad, MachineNotice,
    Owner, Phase, Refusal, Spec,
};
use jobs::{FinalAnswer, Job, OpenAttempt};
use limits::ActiveLimits;
use machine_table::{MachineTable, Node, RunningAdded};
use possible_copies::{ClassAndKey, Confirmation, PossibleCopies};
use unclaimed_ends::UnclaimedEnds;
pub use views::{JobView, MachineView, Object};

use crate::decide::cancellations::kept_back::KeptBackOrders;
use crate::decide::limits::{Front, Limits, Rejection, Resolved, Subject, Table, Ticket};
use crate::decide::machine_loss::{ConnectionEnd, CopyEnd, LossNotice, ProcessEnd, RefusedDial};
use crate::placer::Idempotency;
use crate::placer::Placer;
use crate::placer::*;
use crate::vocabulary::Vocabulary;
use std::cmp::Reverse;
use std::collections::btree_map::Entry as Entry_;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

/// The jobs of one client connection that are not over.
#[derive(Default)]
struct LinkJobs {
    jobs: BTreeSet<RequestId>,
    /// Number of pending jobs among them.
    open: usize,
}

/// The reducer that holds all state of the planner.
pub struct Core {
    placer: Placer,
    seed: u64,
    settings: Settings,
    vocabulary: Vocabulary,
    jobs: BTreeMap<RequestId, Job>,
    nodes: MachineTable,
    /// The newest job of each class and idempotency key.
    keys: BTreeMap<(String, String), RequestId>,
    /// The jobs that are not over, by the client connection on which they came.
    links: BTreeMap<u64, LinkJobs>,
    alarms: BinaryHeap<Reverse<(u64, Alarm)>>,
    /// Finished jobs that are kept for reading, oldest first.
    over: VecDeque<RequestId>,
    pending: usize,
    /// Bytes taken by the pending jobs.
    pending_bytes: usize,
    open_rest: usize,
    /// The number of the last connection check; each check has a new number.
    last_fence: u64,
    bounds: CoreBounds,
    history: History,
    limits: ActiveLimits,
    groups: Groups,
    possible_copies: PossibleCopies,
    /// Orders to cancel attempts that are not sent yet.
    kept_back: KeptBackOrders,
    /// The copies whose end the input that is handled has shown; requests may wait for that.
    copies_gone: Vec<CopyGone>,
    unclaimed_ends: UnclaimedEnds,
    awaited: AwaitedRecords,
    departures: Departures,
    /// Seconds. Time by which every request is answered; infinite unless the planner is shutting down.
    answers_by: Seconds,
}

impl Core {
    /// Creates a core without machines or jobs.
    ///
    /// # Errors
    /// If the settings cannot be served.
    pub fn new(
        settings: Settings,
        vocabulary: Vocabulary,
        seed: u64,
        bounds: CoreBounds,
    ) -> Result<Self, SettingsError> {
        let placer = Placer::new(settings.clone(), seed)?;
        let limits = ActiveLimits::new(Limits::new(&settings, vocabulary.classes().to_vec()));
        Ok(Core {
            placer,
            seed,
            settings,
            vocabulary,
            jobs: BTreeMap::new(),
            nodes: MachineTable::default(),
            keys: BTreeMap::new(),
            links: BTreeMap::new(),
            alarms: BinaryHeap::new(),
            over: VecDeque::new(),
            pending: 0,
            pending_bytes: 0,
            open_rest: 0,
            last_fence: 0,
            bounds,
            history: History::new(bounds.history),
            limits,
            groups: Groups::default(),
            possible_copies: PossibleCopies::default(),
            kept_back: KeptBackOrders::default(),
            copies_gone: Vec::new(),
            unclaimed_ends: UnclaimedEnds::default(),
            awaited: AwaitedRecords::default(),
            departures: Departures::default(),
            answers_by: f64::INFINITY,
        })
    }

    /// The vocabulary that maps names of machines, zones and classes to ids.
    pub fn vocabulary(&mut self) -> &mut Vocabulary {
        &mut self.vocabulary
    }

    /// The name of a machine.
    pub fn name(&self, machine: MachineId) -> String {
        self.vocabulary.name(machine)
    }

    /// The planner's random seed, new with each start.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Whether an attempt that was sent to the machine is still open.
    pub fn has_open_attempt_at(&self, machine: MachineId) -> bool {
        !self.open_attempts_at(machine, |t| t.sent).is_empty()
    }

    /// Whether the list names the machine as ready for new work.
    pub fn is_ready(&self, machine: MachineId) -> bool {
        self.nodes.get(machine).is_some_and(|node| node.entry().standing == Standing::Ready)
    }

    /// Whether an order to cancel an attempt waits for the next connection to the machine.
    pub fn has_order_for_next_connection(&self, machine: MachineId) -> bool {
        self.kept_back.waits_for_connection(machine)
    }

    /// When the open attempt of a job was queued for a machine, if a message of the machine about the job is an answer
    /// to it.
    pub fn attempt_queued_at(&self, machine: MachineId, job: RequestId) -> Option<Seconds> {
        let open_attempt = self.jobs.get(&job)?.open_attempt?;
        open_attempt.is_answered_by(machine).then_some(open_attempt.decided_at)
    }

    /// The first of the tasks that run at a machine.
    pub fn any_task_at(&self, machine: MachineId) -> Option<RequestId> {
        self.nodes.get(machine).and_then(|n| n.running.first().copied())
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Number of jobs and groups that wait for their final answer.
    pub fn pending(&self) -> usize {
        self.pending + self.groups.unanswered()
    }

    /// Whether the memory for pending jobs is used up, so that new jobs are refused.
    pub fn is_full(&self) -> bool {
        self.pending_bytes >= self.bounds.waiting_bytes
    }

    /// The numbers of pending jobs and running tasks of a client connection.
    pub fn link_load(&self, link: u64) -> LinkLoad {
        self.links
            .get(&link)
            .map_or(LinkLoad::default(), |of| LinkLoad { open: of.open, standing: of.jobs.len() - of.open })
    }

    /// The pending jobs of a client connection.
    fn pending_on(&self, link: u64) -> Vec<RequestId> {
        let open = |id: &RequestId| self.jobs.get(id).is_some_and(|j| j.phase == Phase::Pending);
        self.links.get(&link).map_or(vec![], |of| of.jobs.iter().copied().filter(open).collect())
    }

    /// Number of tasks that run at a machine.
    pub fn running_at(&self, machine: MachineId) -> usize {
        self.nodes.get(machine).map_or(0, |n| n.running.len())
    }

    /// A job, unless it was never submitted or is already forgotten.
    pub fn job(&self, id: RequestId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The newest job of a class with that idempotency key.
    pub fn keyed(&self, class: &str, key: &str) -> Option<RequestId> {
        self.keys.get(&(class.to_string(), key.to_string())).copied()
    }

    /// The history of changes, from which watchers read.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Count. Machines that the placer has examined in all its decisions so far.
    pub fn machines_examined(&self) -> u64 {
        self.placer.machines_examined
    }

    /// Number of REST jobs that are pending or running.
    pub fn open_rest_jobs(&self) -> usize {
        self.open_rest
    }

    /// Handles one input and appends the resulting effects.
    pub fn apply(&mut self, now: Seconds, input: Input, effects: &mut Vec<Effect>) {
        let from = effects.len();
        self.handle_input(now, input, effects);
        self.settle_groups(now, from, effects);
        if !self.copies_gone.is_empty() && self.bounds.history > 0 {
            effects.push(Effect::Changed);
        }
        effects.extend(self.copies_gone.drain(..).map(Effect::CopyGone));
    }

    fn handle_input(&mut self, now: Seconds, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::List { kind, notices } => self.apply_list(now, kind, notices, effects),
            Input::Submit(ask) => self.submit(now, ask, effects),
            Input::Adopt { ask, machine } => self.adopt(now, ask, machine, effects),
            Input::Cancel { job, cause } => self.cancel(now, job, cause, effects),
            Input::OwnerRelease { link, job, cause } => {
                if self.may_release(link, job) {
                    self.cancel(now, job, cause, effects);
                }
            }
            Input::OwnerGone { link } => {
                for job in self.pending_on(link) {
                    self.cancel(now, job, 0, effects);
                }
            }
            Input::OwnerFaulty { link } => {
                for job in self.pending_on(link) {
                    self.withdraw(now, job, FinalAnswer::Failed, effects);
                }
            }
            Input::Sent { job, attempt } => {
                let open_attempt = self.jobs.get_mut(&job).and_then(|j| j.open_attempt.as_mut());
                if let Some(open_attempt) = open_attempt.filter(|t| t.attempt == attempt) {
                    open_attempt.sent = true;
                }
            }
            Input::Bound { machine, job, body } => self.bound(now, machine, job, body, effects),
            Input::SubmitGroup(ask) => self.submit_group(now, ask, effects),
            Input::CancelGroup { group } => self.on_group_event(now, group, groups::Event::Cancel, effects),
            Input::Draining { until } => self.shut_down(now, until, effects),
            Input::Join { plan, incarnation } => self.join(now, &plan, incarnation),
            Input::Peer { from, messages } => self.handle_peer_messages(now, from, messages, effects),
            Input::CloseAnswered { machine } => self.kept_back.close_answered(machine),
            Input::LinkUp { machine } => {
                self.send_kept_back(now, machine, effects);
                self.resend_cuts(machine, effects);
            }
            Input::Ended { machine, job, before, after, why, report } => {
                self.reported_end(now, (machine, job), (before, after), why, report, effects)
            }
            Input::FenceAnswered { machine, ask } => self.fence_answered(now, machine, ask, effects),
            Input::Noted { machine, job, note } => {
                let Some(known) = self.jobs.get(&job) else { return };
                let here = known.machine == Some(machine)
                    || known.open_attempt.is_some_and(|t| t.machine == machine);
                if here && known.attempts > 0 {
                    let attempt = known.attempts - 1;
                    self.feed_placer(now, Event::Noted { request: job, attempt, note }, effects);
                }
            }
            Input::Probed { machine, outcome, report } => {
                self.feed_placer(now, Event::Probed { machine, outcome, report }, effects);
            }
            Input::DialFailed { machine } => self.end_attempts(now, machine, false, Reason::Unknown, effects),
            Input::DialRefused { machine, dial } => self.dial_refused(now, machine, dial, effects),
            Input::LinkBroken { machine, end } => self.link_broken(now, machine, end, effects),
            Input::Departed { departure, end } => self.end_departure(now, departure, end, effects),
            Input::MachineLost { machine } => self.machine_lost(now, machine, LossNotice::Everyone, effects),
            Input::Limits { table, digest } => self.activate_limits(now, table, digest),
            Input::GroupSettings(settings) => self.groups.settings = settings,
            Input::LimitsRefused { why } => self.limits.refuse(now, why),
            Input::HoldRecord { record } => self.awaited.hold(record),
            Input::ReleaseRecord { record } => self.awaited.release(record),
            Input::Tick => self.tick(now, effects),
        }
    }

    /// Passes an event to the placer and carries out its decisions, until no further event follows from them.
    fn feed_placer(&mut self, now: Seconds, event: Event, effects: &mut Vec<Effect>) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.placer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Bind { request, machine, give_up_at } => {
                        if let Some(forbidden) =
                            self.start_attempt(now, request, machine, give_up_at, effects)
                        {
                            events.push_back(forbidden);
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
}

fn ended(
    request: RequestId,
    attempt: AttemptNo,
    outcome: Outcome,
    reason: Reason,
    finished: bool,
    report: Option<Report>,
) -> Event {
    Event::Ended(End { request, attempt, outcome, reason, finished, last: false, report })
}

#[cfg(test)]
pub(crate) mod tests;
