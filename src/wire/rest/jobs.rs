//! Requests that submit, get and cancel jobs.

use super::answers::{self, Answer, Problem};
use super::fleet;
use super::held::HeldRecord;
use super::objects::{self, NewJob};
use super::Api;
use crate::placer::*;
use crate::state::{Input, JobSubmission, JobView, Owner, Phase, RecordId, Refusal, Spec};
use crate::wire::hub::{to_duration, Inner};
use crate::wire::platform::node;
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::{header, HeaderMap, HeaderValue, Uri};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// The time within which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes. The longest idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Milliseconds. The longest time to a deadline.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Seconds. The retry delay in a response if the planner holds the maximum number of jobs or is stopping.
const BUSY_RETRY_S: f64 = 1.0;
/// Seconds. How long a request waits for a key of which a copy may still run.
const KEY_RELEASE_TIMEOUT_S: f64 = 1.0;
/// Why a job is not taken whose key is held by a copy.
const COPY_MAY_RUN: &str =
    "a copy of an earlier job with this key may still run at a machine that is out of reach";
/// The cause code in the platform protocol that tells a machine that the owner ended the task.
const ENDED_BY_OWNER: u8 = 16;

#[derive(Deserialize)]
pub(super) struct SubmitQuery {
    /// Whether the response waits until the job is placed or has ended.
    #[serde(default = "yes")]
    pub wait: bool,
}

fn yes() -> bool {
    true
}

pub(super) async fn submit(
    State(api): State<Arc<Api>>,
    query: Result<Query<SubmitQuery>, QueryRejection>,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Answer {
    let query = answers::query(query)?;
    let body = read_body(&api, body).await?;
    let new: NewJob = serde_json::from_slice(&body).map_err(|e| Problem::bad(&e.to_string()))?;
    let key = idempotency_key(&headers)?;
    let class = check(&mut api.hub.lock(), &new, key.as_deref())?;
    if let Some(key) = &key {
        let owner = api.key_owners.of_job(&new.class, key);
        if let Some(redirect) = fleet::redirect_to(owner, &api.options.own_url, &uri).await? {
            return Ok(redirect);
        }
    }
    let Submitted { job, joined, held: _held } =
        submit_once_key_is_free(&api, &new, class, key.as_deref()).await?;
    let view = match query.wait {
        true => wait_until_answered(&api, job).await,
        false => api.hub.lock().core.held_job_view(job),
    };
    let view = view.ok_or_else(|| Problem::unknown("the job is unknown although it is waited for"))?;
    answer(&api, &view, if joined { 200 } else { 201 })
}

/// Reads a request's body, within the bounds on its size and time.
pub(super) async fn read_body(api: &Api, body: Body) -> Result<axum::body::Bytes, Problem> {
    let max_bytes = api.options.max_body_bytes;
    let body = tokio::time::timeout(BODY_TIMEOUT, axum::body::to_bytes(body, max_bytes)).await;
    let body = body.map_err(|_| Problem::bad("the body did not come in time"))?;
    body.map_err(|_| Problem::too_large(max_bytes))
}

pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().unwrap_or_default().trim();
    let key = key.strip_prefix('"').and_then(|k| k.strip_suffix('"')).unwrap_or(key);
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Problem::bad("the Idempotency-Key must be 1 to 255 visible characters"));
    }
    Ok(Some(key.to_string()))
}

/// Checks that the job is valid, and returns the index of its class.
pub(super) fn check(inner: &mut Inner, new: &NewJob, key: Option<&str>) -> Result<usize, Problem> {
    let class = inner.core.vocabulary().class(&new.class);
    let class = class.ok_or_else(|| Problem::bad(&format!("there is no class {:?}", new.class)))?;
    let settings = inner.core.settings();
    let idempotency = settings.classes[class].idempotency;
    let keyed = matches!(idempotency, Idempotency::Keyed { .. });
    let is_positive = |x: f64| x.is_finite() && x > 0.0;
    let faults = [
        (keyed && key.is_none(), "a job of this class needs an Idempotency-Key"),
        (
            idempotency == Idempotency::Repeatable && key.is_some(),
            "a job of this class takes no Idempotency-Key: its repeats are not joined",
        ),
        (!(is_positive(new.cores) && is_positive(new.memory)), "cores and memory must be above 0"),
        (new.service.is_empty(), "service must not be empty"),
        (!(1..=MAX_DEADLINE_MS).contains(&new.deadline_ms), "deadlineMs must be 1 to 3600000"),
    ];
    match faults.iter().find(|(wrong, _)| *wrong) {
        Some((_, detail)) => Err(Problem::bad(detail)),
        None => Ok(class),
    }
}

/// A request to submit a job, after its checks.
struct Submission<'a> {
    new: &'a NewJob,
    class: usize,
    key: Option<&'a str>,
    /// The time by which the client needs its answer.
    deadline: Seconds,
}

/// A job that was submitted, or joined.
struct Submitted {
    job: RequestId,
    joined: bool,
    held: HeldRecord,
}

/// Why a job was not submitted.
enum NotSubmitted {
    /// A copy of an earlier job with its key may still run; the time after which to retry.
    CopyMayRun(Seconds),
    /// Any other reason.
    Problem(Problem),
}

impl From<Problem> for NotSubmitted {
    fn from(problem: Problem) -> NotSubmitted {
        NotSubmitted::Problem(problem)
    }
}

/// Submits the job, or joins the job that already has its key. While a copy of an earlier job with its key may run, it
/// waits for a short time, which is enough for a machine that can be reached to confirm that the copy is gone.
async fn submit_once_key_is_free(
    api: &Api,
    new: &NewJob,
    class: usize,
    key: Option<&str>,
) -> Result<Submitted, Problem> {
    let received_at = api.hub.now();
    let wait_s = new.deadline_ms as f64 / 1e3;
    let submission = Submission { new, class, key, deadline: received_at + wait_s };
    let give_up_at = received_at + wait_s.min(KEY_RELEASE_TIMEOUT_S);
    let mut changes = api.hub.changes.subscribe();
    loop {
        let retry_in_s = match submit_or_join(api, &submission) {
            Ok(submitted) => return Ok(submitted),
            Err(NotSubmitted::Problem(problem)) => return Err(problem),
            Err(NotSubmitted::CopyMayRun(retry_in_s)) => retry_in_s,
        };
        let left = to_duration(give_up_at - api.hub.now());
        let changed = tokio::time::timeout(left, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Err(Problem::unavailable(COPY_MAY_RUN, retry_in_s));
        }
    }
}

/// Submits the job, or joins the job that already has its key. Both happen under one lock, so that of two
/// concurrent requests with the same key only one submits.
fn submit_or_join(api: &Api, submission: &Submission<'_>) -> Result<Submitted, NotSubmitted> {
    let &Submission { new, class, key, deadline } = submission;
    let mut inner = api.hub.lock();
    let digest = new.digest();
    let known = key.and_then(|key| inner.core.keyed(&new.class, key));
    if let Some((id, job)) = known.and_then(|id| Some((id, inner.core.job(id)?))) {
        if job.spec.digest != digest {
            return Err(Problem::key_reused().into());
        }
        // A job that was refused, missed its deadline, was cancelled or was lost may be submitted again. A
        // failed one may have run, so its result stays.
        if !matches!(job.phase, Phase::Refused | Phase::DeadlinePassed | Phase::Cancelled | Phase::Lost) {
            return Ok(hold(api, &mut inner, id, true));
        }
    }
    if inner.draining {
        return Err(Problem::unavailable("the planner is stopping", BUSY_RETRY_S).into());
    }
    if inner.core.is_full() || inner.core.open_rest_jobs() >= api.options.max_open_jobs {
        return Err(Problem::unavailable("the planner holds all the jobs that it may", BUSY_RETRY_S).into());
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
        deadline,
        expected_runtime_s: None,
        limits: TaskLimits::default(),
    };
    let name = objects::id(id);
    let (class_name, service, body) = (new.class.clone(), new.service.clone(), new.description.clone());
    let spec = Spec { class: class_name, name, service, key: key.map(str::to_string), body, digest };
    if !node::fits(id, &spec) {
        return Err(Problem::bad("the description is too long for a machine's message").into());
    }
    let submission = JobSubmission { job: id, owner: Owner::Rest, spec: Arc::new(spec), task };
    inner.last_rejection = None;
    api.hub.apply_in(&mut inner, Input::Submit(submission));
    match inner.last_rejection.take() {
        None => Ok(hold(api, &mut inner, id, false)),
        Some((Refusal::CopyMayRun, retry_in_s)) => Err(NotSubmitted::CopyMayRun(retry_in_s)),
        Some((Refusal::Limit(why), retry_in_s)) => {
            Err(Problem::limited(objects::limit(why), retry_in_s).into())
        }
        Some((_, retry_in_s)) => {
            Err(Problem::unavailable("the planner holds all the jobs that it may", retry_in_s).into())
        }
    }
}

/// Holds the record of a job for the request that has submitted or joined it.
fn hold(api: &Api, inner: &mut Inner, job: RequestId, joined: bool) -> Submitted {
    Submitted { job, joined, held: HeldRecord::new(&api.hub, inner, RecordId::Job(job)) }
}

/// Waits until the job, whose record is held, has its final answer.
async fn wait_until_answered(api: &Api, job: RequestId) -> Option<JobView> {
    let mut changes = api.hub.changes.subscribe();
    loop {
        let view = api.hub.lock().core.held_job_view(job)?;
        if view.phase != Phase::Pending {
            return Some(view);
        }
        changes.changed().await.ok()?;
    }
}

/// The response for a job's phase: every way in which a job can end has its own status.
fn answer(api: &Api, view: &JobView, created_status: u16) -> Answer {
    let object = objects::job(api, view);
    let limit_reason = view.limit_rejection.map(|limit_rejection| objects::limit(limit_rejection.why));
    let detail = limit_reason.or(objects::reason(view.last)).unwrap_or("no machine could take it");
    let status = match view.phase {
        Phase::Pending => 202,
        Phase::Running => created_status,
        Phase::Succeeded => 200,
        Phase::Refused if limit_reason.is_some() => {
            return Err(Problem::limited(detail, view.retry_in_s).about(object))
        }
        Phase::Refused => return Err(Problem::refused(detail, view.retry_in_s).about(object)),
        Phase::DeadlinePassed => return Err(Problem::deadline(detail, view.retry_in_s).about(object)),
        Phase::Failed => return Err(Problem::failed(detail).about(object)),
        Phase::Cancelled | Phase::Lost => return Err(Problem::ended(detail).about(object)),
    };
    let mut response = answers::json(status, &object);
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{}", objects::id(view.id))) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(response)
}

fn parse(id: &str) -> Result<RequestId, Problem> {
    let number = (id.len() == 16).then(|| u64::from_str_radix(id, 16).ok()).flatten();
    number.map(RequestId).ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))
}

pub(super) async fn get(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    let view = api.hub.lock().core.job_view_of(parse(&id)?);
    let view = view.ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))?;
    Ok(answers::json(200, &objects::job(&api, &view)))
}

pub(super) async fn cancel(State(api): State<Arc<Api>>, Path(id): Path<String>) -> Answer {
    let job = parse(&id)?;
    let mut inner = api.hub.lock();
    let own_job = inner.core.job(job).filter(|j| j.owner == Owner::Rest);
    if own_job.is_none() {
        return Err(Problem::unknown(&format!("no job of this front is called {id:?}")));
    }
    api.hub.apply_in(&mut inner, Input::Cancel { job, cause: ENDED_BY_OWNER });
    let view = inner.core.job_view_of(job);
    let view = view.ok_or_else(|| Problem::unknown(&format!("no job is called {id:?}")))?;
    Ok(answers::json(200, &objects::job(&api, &view)))
}
