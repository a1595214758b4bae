//! The groups and their members. `decide::groups` makes the decisions; this module submits the members as jobs and
//! turns the outcomes of these jobs into the group's events. [`cuts`] keeps the members' copies that are not proved
//! gone.

mod cuts;

pub(super) use crate::decide::groups::Event;

use super::machines::CAUSE_CUT;
use super::*;
use crate::decide::groups::fit::{self, DoesNotFit, Need};
use crate::decide::groups::settings::GroupSettings;
use crate::decide::groups::starts::{Ends, Starts};
use crate::decide::groups::{self, Action, Answer, Group, Why};
use cuts::{OrderedCut, PendingCut};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Seconds. Retry delay reported for a group that requests more than it can ever get.
const NEVER_RETRY_S: Seconds = 30.0;

struct Member {
    spec: Arc<Spec>,
    task: Task,
    job: Option<RequestId>,
}

/// A group and its members.
struct GroupRecord {
    group: Group,
    members: Vec<Member>,
    key: Option<String>,
    digest: u64,
    deadline: Seconds,
    /// Seconds from the group's submission to its deadline.
    wait_s: Seconds,
    share: f64,
    /// Count. Jobs created for the group so far; part of the hash that gives each job its id.
    jobs_created: u32,
    answer: Option<Answer>,
    version: u64,
}

impl GroupRecord {
    /// The deadline of a member that is placed now. One that replaces a lost member has as long as the group had.
    fn member_deadline(&self, now: Seconds) -> Seconds {
        match self.answer {
            None => self.deadline,
            Some(_) => now + self.wait_s,
        }
    }
}

/// All groups.
#[derive(Default)]
pub(super) struct Groups {
    records: BTreeMap<GroupId, GroupRecord>,
    keys: BTreeMap<String, GroupId>,
    /// Finished groups, oldest first.
    over: VecDeque<GroupId>,
    pending_cuts: BTreeMap<RequestId, PendingCut>,
    /// The jobs with pending stop orders, oldest first, and those whose order was dropped while a member waits.
    cut_order: VecDeque<OrderedCut>,
    /// Whether the alarm that ends the longest wait is set.
    is_forget_alarm_set: bool,
    /// Members whose copies were just proved gone and whose groups are not informed yet.
    proved_gone: Vec<(GroupId, usize)>,
    pub starts: Starts,
    pub ends: Ends,
    /// The settings for groups that are submitted from now on; `None` if groups are disabled.
    pub settings: Option<Arc<GroupSettings>>,
}

/// A group member, as readers see it.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The member's latest job, once there is one.
    pub job: Option<RequestId>,
    /// The state of that job.
    pub phase: Option<Phase>,
    /// The machine at which it runs or ran.
    pub machine: Option<String>,
    /// Machines that have not confirmed the end of the member's copy.
    pub unreachable: Vec<String>,
}

/// A group at one version, as readers see it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The group's id.
    pub id: GroupId,
    /// The group's state.
    pub phase: groups::Phase,
    /// The final answer, once given.
    pub answer: Option<Answer>,
    /// The reason for giving up, also if that came after the answer.
    pub why: Option<Why>,
    /// Count. Attempts to place the whole group.
    pub tries: u32,
    /// The time at which the owner stops waiting.
    pub deadline: Seconds,
    /// The idempotency key, shared by all retries of the request.
    pub key: Option<String>,
    /// The members.
    pub members: Vec<MemberView>,
    /// Version of the last change.
    pub version: u64,
}

impl Groups {
    /// Number of groups that wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.records.values().filter(|b| b.answer.is_none()).count()
    }
}

/// Translates an answer to a member's job into the group's event.
fn group_event(effect: &Effect) -> Option<(GroupId, Event)> {
    let (owner, event): (&Owner, fn(usize, &Effect) -> Event) = match effect {
        Effect::Placed { owner, .. } => (owner, |member, _| Event::Stands { member }),
        Effect::Refused { owner, .. } => (owner, |member, effect| {
            let retry_in_s = if let Effect::Refused { retry_in_s, .. } = effect { *retry_in_s } else { 0.0 };
            Event::Refused { member, retry_in_s }
        }),
        Effect::Failed { owner, .. } => (owner, |member, _| Event::Failed { member }),
        Effect::Released { owner, .. } => (owner, |member, effect| match effect {
            Effect::Released { outcome: Outcome::Ok, .. } => Event::Finished { member },
            _ => Event::Lost { member },
        }),
        _ => return None,
    };
    match owner {
        Owner::Group { group, member } => Some((*group, event(*member, effect))),
        _ => None,
    }
}

impl Core {
    /// A group, unless it was never submitted or is already forgotten.
    pub fn group_view_of(&self, id: GroupId) -> Option<GroupView> {
        self.groups.records.get(&id).map(|record| self.group_view(id, record))
    }

    /// The final answer of a group, if it was given and the group is not forgotten.
    pub fn group_answer(&self, id: GroupId) -> Option<Answer> {
        self.groups.records.get(&id)?.answer
    }

    /// All groups, sorted by their last change.
    pub fn group_views(&self) -> Vec<GroupView> {
        let mut views: Vec<GroupView> =
            self.groups.records.iter().map(|(&id, record)| self.group_view(id, record)).collect();
        views.sort_by_key(|view| view.version);
        views
    }

    /// The group with that idempotency key, and the digest of its request.
    pub fn group_keyed(&self, key: &str) -> Option<(GroupId, u64)> {
        let id = *self.groups.keys.get(key)?;
        Some((id, self.groups.records.get(&id)?.digest))
    }

    /// The settings for groups that are submitted from now on; `None` if groups are disabled.
    pub fn group_settings(&self) -> Option<Arc<GroupSettings>> {
        self.groups.settings.clone()
    }

    /// Number of groups that are not over.
    pub fn open_groups(&self) -> usize {
        self.groups.records.len() - self.groups.over.len()
    }

    fn group_view(&self, id: GroupId, record: &GroupRecord) -> GroupView {
        let member = |member: &Member| {
            let job = member.job.and_then(|job| self.jobs.get(&job));
            let cut = member.job.and_then(|job| self.groups.pending_cuts.get(&job));
            MemberView {
                job: member.job,
                phase: job.map(|j| j.phase),
                machine: job.and_then(|j| j.machine).map(|m| self.vocabulary.name(m)),
                unreachable: cut
                    .map(|c| c.machines.keys().map(|&m| self.vocabulary.name(m)).collect())
                    .unwrap_or_default(),
            }
        };
        GroupView {
            id,
            phase: record.group.phase(),
            answer: record.answer,
            why: record.group.why(),
            tries: record.group.tries(),
            deadline: record.deadline,
            key: record.key.clone(),
            members: record.members.iter().map(member).collect(),
            version: record.version,
        }
    }

    fn group_changed(&mut self, id: GroupId, kind: ChangeKind, effects: &mut Vec<Effect>) {
        let version = self.history.next_version();
        let Some(record) = self.groups.records.get_mut(&id) else { return };
        record.version = version;
        if let Some(record) = self.groups.records.get(&id).filter(|_| self.bounds.history > 0) {
            let object = Object::Group(Arc::new(self.group_view(id, record)));
            self.history.push(kind, object);
            effects.push(Effect::Changed);
        }
    }

    pub(super) fn submit_group(
        &mut self,
        now: Seconds,
        submission: GroupSubmission,
        effects: &mut Vec<Effect>,
    ) {
        let id = submission.group;
        if self.groups.records.contains_key(&id) {
            return;
        }
        let starts =
            submission.members.iter().map(|(_, task)| self.groups.starts.expected(task.service)).collect();
        let mut group = Group::new(submission.policy, submission.deadline, starts, id.0);
        let mut actions = Vec::new();
        group.begin(now, &mut actions);
        let member = |(spec, task)| Member { spec, task, job: None };
        if let Some(key) = &submission.key {
            self.groups.keys.insert(key.clone(), id);
        }
        let record = GroupRecord {
            group,
            members: submission.members.into_iter().map(member).collect(),
            key: submission.key,
            digest: submission.digest,
            deadline: submission.deadline,
            wait_s: submission.deadline - now,
            share: submission.share,
            jobs_created: 0,
            answer: None,
            version: 0,
        };
        self.groups.records.insert(id, record);
        self.group_changed(id, ChangeKind::Added, effects);
        self.run_group_actions(now, id, actions, effects);
    }

    /// Cancels the groups that are not completely placed, because the planner shuts down.
    pub(super) fn stop_groups(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let ids: Vec<GroupId> = self.groups.records.keys().copied().collect();
        for id in ids {
            self.on_group_event(now, id, Event::Stop, effects);
        }
    }

    /// Passes an event to a group and carries out the resulting actions.
    pub(super) fn on_group_event(
        &mut self,
        now: Seconds,
        id: GroupId,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.groups.records.get_mut(&id) else { return };
        let before = (record.group.phase(), record.group.standing().count());
        let mut actions = Vec::new();
        record.group.handle(now, event, &mut actions);
        let after = (record.group.phase(), record.group.standing().count());
        if before != after {
            self.group_changed(id, ChangeKind::Modified, effects);
        }
        self.run_group_actions(now, id, actions, effects);
    }

    /// Turns answers to members into events of their groups, until no further event follows.
    pub(super) fn settle_groups(&mut self, now: Seconds, from: usize, effects: &mut Vec<Effect>) {
        if self.groups.records.is_empty() {
            self.groups.proved_gone.clear();
            return;
        }
        let mut at = from;
        loop {
            while at < effects.len() {
                let Some((group, event)) = group_event(&effects[at]) else {
                    at += 1;
                    continue;
                };
                effects.remove(at);
                self.on_group_event(now, group, event, effects);
            }
            let Some((group, member)) = self.groups.proved_gone.pop() else { return };
            if !self.may_have_copies(group, member) {
                self.on_group_event(now, group, Event::Clear { member }, effects);
            }
        }
    }

    /// Whether a copy of a member may still run.
    fn may_have_copies(&self, group: GroupId, member: usize) -> bool {
        let job = self.groups.records.get(&group).and_then(|b| b.members.get(member)?.job);
        // A job that is not over may still have copies.
        let open = job.and_then(|job| self.jobs.get(&job)).is_some_and(|j| !j.phase.is_over());
        open || job.is_some_and(|job| self.groups.pending_cuts.contains_key(&job))
    }

    fn run_group_actions(
        &mut self,
        now: Seconds,
        id: GroupId,
        actions: Vec<Action>,
        effects: &mut Vec<Effect>,
    ) {
        for action in actions {
            match action {
                Action::Admit => self.admit_group(now, id, effects),
                Action::Place(member) => self.place_member(now, id, member, effects),
                Action::Cut(member) => {
                    let job = self.groups.records.get(&id).and_then(|b| b.members.get(member)?.job);
                    if let Some(job) = job {
                        self.cancel(now, job, CAUSE_CUT, effects);
                    }
                    self.groups.proved_gone.push((id, member));
                }
                Action::Answer(answer) => {
                    if let Some(record) = self.groups.records.get_mut(&id) {
                        debug_assert!(record.answer.is_none(), "one final answer");
                        record.answer = Some(answer);
                    }
                    self.group_changed(id, ChangeKind::Modified, effects);
                }
                Action::WakeAt(at) => self.alarm(at, Alarm::Group(id)),
                Action::Over => self.finish_group(now, id, effects),
            }
        }
    }

    /// Checks whether there is room for the whole group beside what is reserved for other groups.
    fn admit_group(&mut self, now: Seconds, id: GroupId, effects: &mut Vec<Effect>) {
        let need = |settings: &Settings, m: &Member| Need {
            room: m.task.room,
            kind: settings.classes[m.task.class].kind,
        };
        let Some(record) = self.groups.records.get(&id) else { return };
        let needs: Vec<Need> = record.members.iter().map(|m| need(&self.settings, m)).collect();
        // Reserved but without an open attempt: the placer already counts the room of an attempt.
        let without_attempt = |m: &Member| {
            let job = m.job.and_then(|job| self.jobs.get(&job));
            job.is_some_and(|j| j.phase == Phase::Pending && j.open_attempt.is_none())
        };
        let reserved = |(other, b): (&GroupId, &GroupRecord)| -> Vec<Need> {
            let asked = b.group.asked().filter(|&member| without_attempt(&b.members[member]));
            let open = b.group.waiting().chain(asked).filter(|_| *other != id);
            open.map(|member| need(&self.settings, &b.members[member])).collect()
        };
        let reserved_needs: Vec<Need> = self.groups.records.iter().flat_map(reserved).collect();
        let spaces = self.placer.spaces(now);
        let event = match fit::admit(&needs, &spaces, &reserved_needs, record.share) {
            Ok(()) => Event::Admitted,
            Err(DoesNotFit::Now) => {
                let (ends, mean) = (self.groups.ends.rate(now), self.groups.ends.mean());
                Event::NoRoom { retry_in_s: fit::retry_after(&needs, &spaces, ends, mean) }
            }
            Err(DoesNotFit::Ever | DoesNotFit::Share) => Event::NoRoom { retry_in_s: NEVER_RETRY_S },
        };
        self.on_group_event(now, id, event, effects);
    }

    /// Submits a member as a job of its own, with a new id.
    fn place_member(&mut self, now: Seconds, id: GroupId, member: usize, effects: &mut Vec<Effect>) {
        let Some(record) = self.groups.records.get_mut(&id) else { return };
        let job = loop {
            record.jobs_created += 1;
            let mut hash = SipHasher13::new();
            [id.0, member as u64, u64::from(record.jobs_created)].iter().for_each(|&n| hash.write_u64(n));
            let job = RequestId(hash.finish());
            if job.0 != 0 && !self.jobs.contains_key(&job) && !self.groups.pending_cuts.contains_key(&job) {
                break job;
            }
        };
        let deadline = record.member_deadline(now);
        let Some(of) = record.members.get_mut(member) else { return };
        of.job = Some(job);
        let task = Task { deadline, ..of.task };
        let spec = Arc::new(Spec { name: format!("{:016x}", job.0), ..Spec::clone(&of.spec) });
        let owner = Owner::Group { group: id, member };
        self.submit(now, JobSubmission { job, owner, spec, task }, effects);
    }

    fn finish_group(&mut self, now: Seconds, id: GroupId, effects: &mut Vec<Effect>) {
        self.group_changed(id, ChangeKind::Modified, effects);
        self.groups.over.push_back(id);
        self.alarm(now + self.bounds.over_s, Alarm::ForgetGroup(id));
        while self.groups.over.len() > self.bounds.over {
            let Some(oldest) = self.groups.over.front().copied() else { break };
            self.forget_group(oldest, effects);
        }
    }

    pub(super) fn forget_group(&mut self, id: GroupId, effects: &mut Vec<Effect>) {
        self.groups.over.retain(|&other| other != id);
        self.group_changed(id, ChangeKind::Deleted, effects);
        let record = RecordId::Group(id);
        if let Some(view) = self.group_view_of(id).filter(|_| self.awaited.is_held(record)) {
            self.awaited.keep(record, LastView::Group(view));
        }
        if let Some(key) = self.groups.records.remove(&id).and_then(|record| record.key) {
            if self.groups.keys.get(&key) == Some(&id) {
                self.groups.keys.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
