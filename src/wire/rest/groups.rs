//! Requests that submit, get and cancel groups.

use super::answers::{self, Answer, Problem};
use super::fleet;
use super::held::HeldRecord;
use super::jobs::{self, SubmitQuery};
use super::objects::{self, NewJob};
use super::Api;
use crate::decide::groups::settings::GroupSettings;
use crate::decide::groups::{self, OnLoss};
use crate::decide::key_owners::MemberKey;
use crate::placer::*;
use crate::state::{GroupId, GroupSubmission, GroupView, Input, RecordId, Spec};
use crate::wire::hub::Inner;
use crate::wire::platform::node;
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::{header, HeaderMap, HeaderValue, Uri};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Seconds. The retry delay in a response if the planner holds the maximum number of groups or jobs, or is
/// stopping.
const BUSY_RETRY_S: f64 = 1.0;

/// A group as a client submits it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewGroup {
    /// Its members; responses list them in this order.
    pub members: Vec<NewMember>,
    /// Milliseconds within which all of it must be placed.
    pub deadline_ms: u64,
    /// What happens if a member is lost after that: `keep`, `cut` or `replace`.
    #[serde(default)]
    pub on_loss: Loss,
}

/// A member of a group as a client submits it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewMember {
    /// Its class.
    pub class: String,
    /// The service whose program it runs.
    pub service: String,
    /// Cores that it requests.
    pub cores: f64,
    /// Memory that it requests.
    pub memory: f64,
    /// Text that is passed to the machine with the task.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
    /// Its key, in keyed classes; by default the group's key followed by the member's index.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// See [`OnLoss`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub enum Loss {
    /// The other members go on.
    #[default]
    Keep,
    /// The other members are ended.
    Cut,
    /// The lost member is placed again.
    Replace,
}

impl NewMember {
    fn job(&self, deadline_ms: u64) -> NewJob {
        NewJob {
            class: self.class.clone(),
            service: self.service.clone(),
            cores: self.cores,
            memory: self.memory,
            deadline_ms,
            description: self.description.clone(),
        }
    }
}

pub(super) async fn submit(
    State(api): State<Arc<Api>>,
    query: Result<Query<SubmitQuery>, QueryRejection>,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let query = answers::query(query)?;
    let body = jobs::read_body(&api, body).await?;
    let new: NewGroup = serde_json::from_slice(&body).map_err(|e| Problem::bad(&e.to_string()))?;
    let key = jobs::idempotency_key(&headers)?;
    let keyless = key.is_none();
    let members = check_members(&api, &new, key.as_deref())?;
    let owner = key_owner(&api, key.as_deref(), &members)?;
    if let Some(redirect) = fleet::redirect_to(owner, &api.options.own_url, &uri).await? {
        return Ok(redirect);
    }
    let Submitted { group, joined, held: _held } = submit_or_join(&api, &new, members, key)?;
    let view = match query.wait {
        true => {
            // A client without a key cannot find this group again, so the group is cancelled if it
            // disconnects.
            let guard = CancelOnDisconnect { api: api.clone(), group, armed: keyless };
            let view = wait_until_answered(&api, group).await;
            guard.disarm();
            view
        }
        false => api.hub.lock().core.held_group_view(group),
    };
    let view = view.ok_or_else(|| Problem::unknown("the group is unknown although it is waited for"))?;
    answer(&api, &view, if joined { 200 } else { 201 })
}

/// A valid member of a group.
struct CheckedMember {
    class: usize,
    job: NewJob,
    /// Its key; none in classes without keys.
    key: Option<String>,
}

fn group_settings(inner: &Inner) -> Result<Arc<GroupSettings>, Problem> {
    let settings = inner.core.group_settings();
    settings.ok_or_else(|| Problem::unknown("groups are off: the operators' file has no section \"groups\""))
}

/// Checks each member by itself, and that no two have the same key.
fn check_members(api: &Api, new: &NewGroup, key: Option<&str>) -> Result<Vec<CheckedMember>, Problem> {
    let mut inner = api.hub.lock();
    group_settings(&inner)?;
    if new.members.is_empty() {
        return Err(Problem::bad("a group has at least one member"));
    }
    let mut members = Vec::new();
    let mut keys = BTreeSet::new();
    for (at, member) in new.members.iter().enumerate() {
        let job = member.job(new.deadline_ms);
        let is_keyed = inner.core.vocabulary().class(&job.class).is_some_and(|class| {
            matches!(inner.core.settings().classes[class].idempotency, Idempotency::Keyed { .. })
        });
        let own_or_default =
            || member.key.clone().or_else(|| key.map(|key| api.key_owners.member_key(key, at)));
        let key = is_keyed.then(own_or_default).flatten();
        let class = jobs::check(&mut inner, &job, key.as_deref()).map_err(|problem| problem.of_member(at))?;
        if key.as_ref().is_some_and(|key| !keys.insert((class, key.clone()))) {
            return Err(Problem::bad("two members have one key").of_member(at));
        }
        members.push(CheckedMember { class, job, key });
    }
    Ok(members)
}

/// The planner that owns the group's key and the keys of all its members.
fn key_owner<'a>(
    api: &'a Api,
    key: Option<&str>,
    members: &[CheckedMember],
) -> Result<Option<&'a str>, Problem> {
    let mut member_keys = Vec::new();
    for (member, CheckedMember { job, key, .. }) in members.iter().enumerate() {
        let class = job.class.as_str();
        member_keys.extend(key.as_deref().map(|key| MemberKey { member, class, key }));
    }
    api.key_owners.of_group(key, &member_keys).map_err(|several| {
        let detail =
            "its key belongs to another planner than the group's other keys; keys with the same part in \
            braces, such as {night-7}/a, belong to one planner";
        Problem::bad(detail).of_member(several.member)
    })
}

/// The data that is forwarded to each member's machine, and the input of its placement decision.
fn member_tasks(
    inner: &Inner,
    members: Vec<CheckedMember>,
    deadline: Seconds,
) -> Result<Vec<(Arc<Spec>, Task)>, Problem> {
    let mut tasks = Vec::new();
    for (at, CheckedMember { class, job, key }) in members.into_iter().enumerate() {
        let in_use = key.as_deref().and_then(|key| inner.core.keyed(&job.class, key));
        if in_use.and_then(|id| inner.core.job(id)).is_some_and(|job| !job.phase.is_over()) {
            return Err(Problem::bad("its key belongs to a job that is not over").of_member(at));
        }
        let task = Task {
            class,
            tenant: None,
            service: job.service_id(),
            room: Room { cores: job.cores, memory: job.memory },
            deadline,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let (class, service, body) = (job.class, job.service, job.description);
        let spec = Spec { class, name: "0".repeat(16), service, key, body, digest: 0 };
        if !node::fits(RequestId(u64::MAX), &spec) {
            return Err(Problem::bad("the description is too long for a machine's message").of_member(at));
        }
        tasks.push((Arc::new(spec), task));
    }
    Ok(tasks)
}

/// A group that was submitted, or joined.
struct Submitted {
    group: GroupId,
    joined: bool,
    held: HeldRecord,
}

/// Holds the record of a group for the request that has submitted or joined it.
fn hold(api: &Api, inner: &mut Inner, group: GroupId, joined: bool) -> Submitted {
    Submitted { group, joined, held: HeldRecord::new(&api.hub, inner, RecordId::Group(group)) }
}

/// Submits the group, or joins the group that already has its key, under one lock.
fn submit_or_join(
    api: &Api,
    new: &NewGroup,
    members: Vec<CheckedMember>,
    key: Option<String>,
) -> Result<Submitted, Problem> {
    let digest = objects::digest(json!(new).to_string().as_bytes());
    let mut inner = api.hub.lock();
    let settings = group_settings(&inner)?;
    if let Some((id, known)) = key.as_deref().and_then(|key| inner.core.group_keyed(key)) {
        if known != digest {
            return Err(Problem::key_reused());
        }
        // A refused group may be submitted again. A failed one may have run, so its result stays.
        if !matches!(inner.core.group_answer(id), Some(groups::Answer::Refused { .. })) {
            return Ok(hold(api, &mut inner, id, true));
        }
    }
    let deadline = api.hub.now() + new.deadline_ms as f64 / 1e3;
    let members = member_tasks(&inner, members, deadline)?;
    let classes_and_services: Vec<(usize, &str)> =
        members.iter().map(|(spec, task)| (task.class, spec.service.as_str())).collect();
    let figures = settings.figures(&classes_and_services);
    if members.len() > figures.members {
        let detail = format!("a group of {} members; up to {} are taken", members.len(), figures.members);
        return Err(Problem::bad(&detail));
    }
    if inner.draining {
        return Err(Problem::unavailable("the planner is stopping", BUSY_RETRY_S));
    }
    if inner.core.is_full() || inner.core.open_groups() >= settings.open {
        return Err(Problem::unavailable("the planner holds all the groups that it may", BUSY_RETRY_S));
    }
    let group = loop {
        let id = GroupId(rand::Rng::gen(&mut rand::rngs::OsRng));
        if inner.core.group_view_of(id).is_none() {
            break id;
        }
    };
    let on_loss = match new.on_loss {
        Loss::Keep => OnLoss::Keep,
        Loss::Cut => OnLoss::Cut,
        Loss::Replace => OnLoss::Replace,
    };
    let (policy, share) = (figures.policy(on_loss), figures.share);
    let submission = GroupSubmission { group, members, deadline, policy, share, key, digest };
    api.hub.apply_in(&mut inner, Input::SubmitGroup(submission));
    Ok(hold(api, &mut inner, group, false))
}

/// Cancels a group when its client disconnects before the answer: dropping the request's future drops this
/// guard.
struct CancelOnDisconnect {
    api: Arc<Api>,
    group: GroupId,
    armed: bool,
}

impl CancelOnDisconnect {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDisconnect {
    fn drop(&mut self) {
        if self.armed {
            self.api.hub.apply(Input::CancelGroup { group: self.group });
        }
    }
}

/// Waits until the group, whose record is held, has its final answer.
async fn wait_until_answered(api: &Api, group: GroupId) -> Option<GroupView> {
    let mut changes = api.hub.changes.subscribe();
    loop {
        let view = api.hub.lock().core.held_group_view(group)?;
        if view.answer.is_some() {
            return Some(view);
        }
        changes.changed().await.ok()?;
    }
}

/// The response for a group's answer.
fn answer(api: &Api, view: &GroupView, created_status: u16) -> Answer {
    let object = objects::group(api, view);
    let status = match view.answer {
        None => 202,
        Some(groups::Answer::Placed) => created_status,
        Some(groups::Answer::Refused { why, retry_in_s }) => {
            return Err(Problem::group_refused(objects::group_reason(why), retry_in_s).about_group(object));
        }
        Some(groups::Answer::Failed { why }) => {
            return Err(Problem::group_failed(objects::group_reason(why)).about_group(object));
        }
    };
    let mut response = answers::json(status, &object);
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/groups/{:016x}", view.id.0)) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

fn parse(id: &str) -> Result<GroupId, Problem> {
    let number = (id.len() == 16).then(|| u64::from_str_radix(id, 16).ok()).flatten();
    number.map(GroupId).ok_or_else(|| unknown(id))
}

fn unknown(id: &str) -> Problem {
    Problem::unknown(&format!("no group is called {id:?}"))
}

pub(super) async fn get(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    let view = api.hub.lock().core.group_view_of(parse(&id)?);
    Ok(answers::json(200, &objects::group(&api, &view.ok_or_else(|| unknown(&id))?)))
}

pub(super) async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    let group = parse(&id)?;
    let mut inner = api.hub.lock();
    inner.core.group_view_of(group).ok_or_else(|| unknown(&id))?;
    api.hub.apply_in(&mut inner, Input::CancelGroup { group });
    let view = inner.core.group_view_of(group).ok_or_else(|| unknown(&id))?;
    Ok(answers::json(200, &objects::group(&api, &view)))
}
