//! Submit, get and cancel jobs.

use super::answers::{self, Answer, Problem};
use super::fleet::Way;
use super::objects::{self, NewJob};
use super::Front;
use crate::placer::*;
use crate::state::{Input, JobSubmission, JobView, Owner, Phase, Refusal, Spec};
use crate::wire::hub::Inner;
use crate::wire::platform::node;
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::{header, HeaderMap, HeaderValue, Uri};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// A body that has not come by then is not waited for.
const BODY: Duration = Duration::from_secs(10);
/// Bytes of a key.
const MOST_KEY: usize = 255;
/// Milliseconds. The longest deadline.
const MOST_DEADLINE_MS: u64 = 3_600_000;
/// Seconds. When to come back where the planner holds all the jobs that it may.
const BUSY_RETRY_S: f64 = 1.0;
/// The cause by which a machine is told that an owner ended its task.
const ENDED_BY_OWNER: u8 = 16;

#[derive(Deserialize)]
pub(super) struct How {
    /// Whether the answer waits until the job stands or is turned away.
    #[serde(default = "yes")]
    pub wait: bool,
}

fn yes() -> bool {
    true
}

pub(super) async fn submit(
    State(front): State<Arc<Front>>,
    how: Result<Query<How>, QueryRejection>,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let how = answers::query(how)?;
    let body = whole_body(&front, body).await?;
    let new: NewJob = serde_json::from_slice(&body).map_err(|e| Problem::bad(&e.to_string()))?;
    let key = key_of(&headers)?;
    let class = check(&mut front.hub.lock(), &new, key.as_deref())?;
    if let Some(key) = &key {
        match front.fleet.way(&new.class, key).await {
            Way::Here => {}
            Way::There(planner) => return Ok(redirect(&planner, &uri)),
            Way::Unreachable(planner) => {
                let detail = format!("the key belongs to {planner}, which cannot be reached");
                return Err(Problem::unavailable(&detail, BUSY_RETRY_S));
            }
        }
    }
    let (job, joined) = enter(&front, &new, class, key)?;
    let view = if how.wait { settled(&front, job).await } else { front.hub.lock().core.job_view_of(job) };
    let view = view.ok_or_else(|| Problem::unknown("the job was forgotten while it was waited for"))?;
    answer(&front, &view, if joined { 200 } else { 201 })
}

/// A request's body, within its bounds.
pub(super) async fn whole_body(front: &Front, body: Body) -> Result<axum::body::Bytes, Problem> {
    let most = front.options.max_body_bytes;
    let body = tokio::time::timeout(BODY, axum::body::to_bytes(body, most)).await;
    let body = body.map_err(|_| Problem::bad("the body did not come in time"))?;
    body.map_err(|_| Problem::too_large(most))
}

pub(super) fn key_of(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().unwrap_or_default().trim();
    let key = key.strip_prefix('"').and_then(|k| k.strip_suffix('"')).unwrap_or(key);
    if key.is_empty() || key.len() > MOST_KEY {
        return Err(Problem::bad("the Idempotency-Key must be 1 to 255 visible characters"));
    }
    Ok(Some(key.to_string()))
}

/// Tells whether the job can be asked for at all, and gives the index of its class.
pub(super) fn check(inner: &mut Inner, new: &NewJob, key: Option<&str>) -> Result<usize, Problem> {
    let class = inner.core.vocabulary().class(&new.class);
    let class = class.ok_or_else(|| Problem::bad(&format!("there is no class {:?}", new.class)))?;
    let settings = inner.core.settings();
    let idempotency = settings.classes[class].idempotency;
    let keyed = matches!(idempotency, Idempotency::Keyed { .. });
    let amount = |x: f64| x.is_finite() && x > 0.0;
    let faults = [
        (keyed && key.is_none(), "a job of this class needs an Idempotency-Key"),
        (
            idempotency == Idempotency::Repeatable && key.is_some(),
            "a job of this class takes no Idempotency-Key: its repeats are not joined",
        ),
        (!(amount(new.cores) && amount(new.memory)), "cores and memory must be above 0"),
        (new.service.is_empty(), "service must not be empty"),
        (!(1..=MOST_DEADLINE_MS).contains(&new.deadline_ms), "deadlineMs must be 1 to 3600000"),
    ];
    match faults.iter().find(|(wrong, _)| *wrong) {
        Some((_, what)) => Err(Problem::bad(what)),
        None => Ok(class),
    }
}

/// Hands the job in, or joins the one that has its key. Both under one lock: of two retries one comes first.
fn enter(
    front: &Front,
    new: &NewJob,
    class: usize,
    key: Option<String>,
) -> Result<(RequestId, bool), Problem> {
    let mut inner = front.hub.lock();
    let digest = new.digest();
    let before = key.as_deref().and_then(|key| inner.core.keyed(&new.class, key));
    if let Some((id, job)) = before.and_then(|id| Some((id, inner.core.job(id)?))) {
        if job.spec.digest != digest {
            return Err(Problem::key_reused());
        }
        // A job that was turned away may be asked for again; one that failed may have run, and stays so.
        if !matches!(job.phase, Phase::Refused | Phase::DeadlinePassed | Phase::Cancelled | Phase::Lost) {
            return Ok((id, true));
        }
    }
    if inner.draining {
        return Err(Problem::unavailable("the planner is stopping", BUSY_RETRY_S));
    }
    if inner.core.is_full() || inner.core.open_rest_jobs() >= front.options.max_open_jobs {
        return Err(Problem::unavailable("the planner holds all the jobs that it may", BUSY_RETRY_S));
    }
    let id = loop {
        let id = RequestId(rand::Rng::gen(&mut rand::rngs::OsRng));
        if inner.core.job(id).is_none() {
            break id;
        }
    };
    let task = Task {
        class,
        tenant: None,
        service: new.service_id(),
        room: Room { cores: new.cores, memory: new.memory },
        deadline: front.hub.now() + new.deadline_ms as f64 / 1e3,
        expected_runtime_s: None,
        limits: TaskLimits::default(),
    };
    let name = objects::id(id);
    let (class_name, service, body) = (new.class.clone(), new.service.clone(), new.description.clone());
    let spec = Spec { class: class_name, name, service, key, body, digest };
    if !node::fits(id, &spec) {
        return Err(Problem::bad("the description is too long for a machine's message"));
    }
    let ask = JobSubmission { job: id, owner: Owner::Rest, spec: Arc::new(spec), task };
    inner.turned_away = None;
    front.hub.apply_in(&mut inner, Input::Submit(ask));
    match inner.turned_away.take() {
        None => Ok((id, false)),
        Some((Refusal::Limit(why), retry_in_s)) => Err(Problem::limited(objects::limit(why), retry_in_s)),
        Some((_, retry_in_s)) => {
            Err(Problem::unavailable("the planner holds all the jobs that it may", retry_in_s))
        }
    }
}

/// Waits until the job has its final answer.
async fn settled(front: &Front, job: RequestId) -> Option<JobView> {
    let mut changes = front.hub.changes.subscribe();
    loop {
        let view = front.hub.lock().core.job_view_of(job)?;
        if view.phase != Phase::Pending {
            return Some(view);
        }
        changes.changed().await.ok()?;
    }
}

/// A job's standing as an answer: every way to end has a status of its own.
fn answer(front: &Front, view: &JobView, fresh: u16) -> Answer {
    let object = objects::job(front, view);
    let of_limit = view.turned.map(|turned| objects::limit(turned.why));
    let detail = of_limit.or(objects::reason(view.last)).unwrap_or("no machine could take it");
    let status = match view.phase {
        Phase::Pending => 202,
        Phase::Running => fresh,
        Phase::Succeeded => 200,
        Phase::Refused if of_limit.is_some() => {
            return Err(Problem::limited(detail, view.retry_in_s).about(object))
        }
        Phase::Refused => return Err(Problem::refused(detail, view.retry_in_s).about(object)),
        Phase::DeadlinePassed => return Err(Problem::deadline(detail, view.retry_in_s).about(object)),
        Phase::Failed => return Err(Problem::failed(detail).about(object)),
        Phase::Cancelled | Phase::Lost => return Err(Problem::ended(detail).about(object)),
    };
    let mut response = answers::json(status, &object);
    if let Ok(place) = HeaderValue::from_str(&format!("/v1/jobs/{}", objects::id(view.id))) {
        response.headers_mut().insert(header::LOCATION, place);
    }
    Ok(response)
}

fn redirect(planner: &str, uri: &Uri) -> axum::response::Response {
    let place = format!("{planner}{}", uri.path_and_query().map_or("/v1/jobs", |p| p.as_str()));
    let mut response = answers::json(307, &json!({"planner": planner}));
    if let Ok(place) = HeaderValue::from_str(&place) {
        response.headers_mut().insert(header::LOCATION, place);
    }
    response
}

fn parse(id: &str) -> Result<RequestId, Problem> {
    let number = (id.len() == 16).then(|| u64::from_str_radix(id, 16).ok()).flatten();
    number.map(RequestId).ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))
}

pub(super) async fn get(State(front): State<Arc<Front>>, Path(id): Path<String>) -> Answer {
    let view = front.hub.lock().core.job_view_of(parse(&id)?);
    let view = view.ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))?;
    Ok(answers::json(200, &objects::job(&front, &view)))
}

pub(super) async fn cancel(State(front): State<Arc<Front>>, Path(id): Path<String>) -> Answer {
    let job = parse(&id)?;
    let mut inner = front.hub.lock();
    let ours = inner.core.job(job).filter(|j| j.owner == Owner::Rest);
    if ours.is_none() {
        return Err(Problem::unknown(&format!("no job of this front is called {id:?}")));
    }
    front.hub.apply_in(&mut inner, Input::Cancel { job, cause: ENDED_BY_OWNER });
    let view = inner.core.job_view_of(job);
    let view = view.ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))?;
    Ok(answers::json(200, &objects::job(&front, &view)))
}
