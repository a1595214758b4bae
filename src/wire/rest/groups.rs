//! Submit, get and end groups.

use super::answers::{self, Answer, Problem};
use super::jobs::{self, How};
use super::objects::{self, NewJob};
use super::Front;
use crate::decide::groups::{self, OnLoss};
use crate::placer::*;
use crate::state::{GroupId, GroupSubmission, GroupView, Input, Spec};
use crate::wire::platform::node;
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::{header, HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;

/// Seconds. When to come back where all places for groups are taken.
const BUSY_RETRY_S: f64 = 1.0;

/// A group that a client asks for.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewGroup {
    /// Its members, in the order in which they are told of.
    pub members: Vec<NewMember>,
    /// Milliseconds in which it must stand.
    pub deadline_ms: u64,
    /// What follows when a member is lost after that: `keep`, `cut` or `replace`.
    #[serde(default)]
    pub on_loss: Loss,
}

/// A member that a client asks for.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewMember {
    /// Its class.
    pub class: String,
    /// The service whose program it runs.
    pub service: String,
    /// Cores that it asks for.
    pub cores: f64,
    /// Memory that it asks for.
    pub memory: f64,
    /// What the machine is told besides.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
    /// Its key, in keyed classes; the group's with its number where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// See [`OnLoss`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub enum Loss {
    /// The others go on.
    #[default]
    Keep,
    /// The others are cut.
    Cut,
    /// The lost one is placed again.
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
    State(front): State<Arc<Front>>,
    how: Result<Query<How>, QueryRejection>,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let how = answers::query(how)?;
    let body = jobs::whole_body(&front, body).await?;
    let new: NewGroup = serde_json::from_slice(&body).map_err(|e| Problem::bad(&e.to_string()))?;
    let key = jobs::key_of(&headers)?;
    let keyless = key.is_none();
    let (group, joined) = enter(&front, &new, key)?;
    let view = match how.wait {
        true => {
            // Who waits without a key can never ask for this group again: where it is gone, so is the group.
            let owner = Waits { front: front.clone(), group, alone: keyless };
            let view = settled(&front, group).await;
            owner.was_told();
            view
        }
        false => front.hub.lock().core.group_view_of(group),
    };
    let view = view.ok_or_else(|| Problem::unknown("the group was forgotten while it was waited for"))?;
    answer(&front, &view, if joined { 200 } else { 201 })
}

fn enter(front: &Front, new: &NewGroup, key: Option<String>) -> Result<(GroupId, bool), Problem> {
    let digest = objects::digest(json!(new).to_string().as_bytes());
    let mut inner = front.hub.lock();
    let settings = inner.core.group_settings();
    let settings = settings
        .ok_or_else(|| Problem::unknown("groups are off: the operators' file has no section \"groups\""))?;
    if let Some((id, known)) = key.as_deref().and_then(|key| inner.core.group_keyed(key)) {
        if known != digest {
            return Err(Problem::key_reused());
        }
        // A group that was refused may be asked for again; one that failed may have run, and stays so.
        if !matches!(inner.core.group_answer(id), Some(groups::Answer::Refused { .. })) {
            return Ok((id, true));
        }
    }
    if new.members.is_empty() {
        return Err(Problem::bad("a group has at least one member"));
    }
    let now = front.hub.now();
    let deadline = now + new.deadline_ms as f64 / 1e3;
    let mut members = Vec::new();
    let mut keys = std::collections::BTreeSet::new();
    for (at, member) in new.members.iter().enumerate() {
        let job = member.job(new.deadline_ms);
        let wrong = |problem: Problem| problem.of_member(at);
        let own = member.key.clone().or_else(|| key.as_ref().map(|key| format!("{key}/{at}")));
        let keyed = inner.core.vocabulary().class(&job.class).is_some_and(|class| {
            matches!(inner.core.settings().classes[class].idempotency, Idempotency::Keyed { .. })
        });
        let own = own.filter(|_| keyed);
        let class = jobs::check(&mut inner, &job, own.as_deref()).map_err(wrong)?;
        if own.as_ref().is_some_and(|own| !keys.insert((class, own.clone()))) {
            return Err(Problem::bad("two members have one key").of_member(at));
        }
        let in_use = own.as_deref().and_then(|own| inner.core.keyed(&job.class, own));
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
        let spec = Spec { class, name: "0".repeat(16), service, key: own, body, digest: 0 };
        if !node::fits(RequestId(u64::MAX), &spec) {
            return Err(Problem::bad("the description is too long for a machine's message").of_member(at));
        }
        members.push((Arc::new(spec), task));
    }
    let of: Vec<(usize, &str)> =
        members.iter().map(|(spec, task)| (task.class, spec.service.as_str())).collect();
    let figures = settings.figures(&of);
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
    let ask = GroupSubmission { group, members, deadline, policy, share, key, digest };
    front.hub.apply_in(&mut inner, Input::SubmitGroup(ask));
    Ok((group, false))
}

/// The only one who waits for a group; gives it up where it leaves before the answer.
struct Waits {
    front: Arc<Front>,
    group: GroupId,
    alone: bool,
}

impl Waits {
    fn was_told(mut self) {
        self.alone = false;
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        if self.alone {
            self.front.hub.apply(Input::CancelGroup { group: self.group });
        }
    }
}

/// Waits until the group has its final answer.
async fn settled(front: &Front, group: GroupId) -> Option<GroupView> {
    let mut changes = front.hub.changes.subscribe();
    // One that was forgotten while it was waited for had its answer, and has left nothing to show.
    loop {
        {
            let inner = front.hub.lock();
            if inner.core.group_answer(group).is_some() {
                return inner.core.group_view_of(group);
            }
        }
        changes.changed().await.ok()?;
    }
}

/// A group's standing as an answer.
fn answer(front: &Front, view: &GroupView, fresh: u16) -> Answer {
    let object = objects::group(front, view);
    let status = match view.answer {
        None => 202,
        Some(groups::Answer::Placed) => fresh,
        Some(groups::Answer::Refused { why, retry_in_s }) => {
            return Err(Problem::group_refused(objects::given_up(why), retry_in_s).about_group(object));
        }
        Some(groups::Answer::Failed { why }) => {
            return Err(Problem::group_failed(objects::given_up(why)).about_group(object));
        }
    };
    let mut response = answers::json(status, &object);
    if let Ok(place) = HeaderValue::from_str(&format!("/v1/groups/{:016x}", view.id.0)) {
        response.headers_mut().insert(header::LOCATION, place);
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

pub(super) async fn get(State(front): State<Arc<Front>>, Path(id): Path<String>) -> Answer {
    let view = front.hub.lock().core.group_view_of(parse(&id)?);
    Ok(answers::json(200, &objects::group(&front, &view.ok_or_else(|| unknown(&id))?)))
}

pub(super) async fn cancel(State(front): State<Arc<Front>>, Path(id): Path<String>) -> Answer {
    let group = parse(&id)?;
    let mut inner = front.hub.lock();
    inner.core.group_view_of(group).ok_or_else(|| unknown(&id))?;
    front.hub.apply_in(&mut inner, Input::CancelGroup { group });
    let view = inner.core.group_view_of(group).ok_or_else(|| unknown(&id))?;
    Ok(answers::json(200, &objects::group(&front, &view)))
}
