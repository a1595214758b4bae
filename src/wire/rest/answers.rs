//! Responses: JSON objects, and problem details (RFC 9457). Each way in which a job can end has its own
//! status.

use super::complete_body;
use axum::extract::rejection::QueryRejection;
use axum::extract::Query;
use axum::http::{header, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde_json::{json, Value};

/// The result of a handler.
pub type Answer = Result<Response, Problem>;

/// A problem response, with a retry time if retrying can help.
#[derive(Debug)]
pub struct Problem {
    status: u16,
    kind: &'static str,
    title: &'static str,
    detail: String,
    retry_after_s: Option<f64>,
    /// The job or group that the problem is about, with the name of its field.
    about: Option<Box<(&'static str, Value)>>,
}

impl Problem {
    fn new(status: u16, kind: &'static str, title: &'static str, detail: &str) -> Problem {
        Problem { status, kind, title, detail: detail.into(), retry_after_s: None, about: None }
    }

    /// No machine accepted the job; it is safe to submit it again.
    pub fn refused(detail: &str, retry_after_s: f64) -> Problem {
        let problem = Problem::new(429, "refused", "The job was refused", detail);
        Problem { retry_after_s: Some(retry_after_s), ..problem }
    }

    /// The job was rejected by a limit of the operators; it is safe to submit it again.
    pub fn limited(detail: &str, retry_after_s: f64) -> Problem {
        let problem = Problem::new(429, "limited", "A limit turned the job away", detail);
        Problem { retry_after_s: Some(retry_after_s), ..problem }
    }

    /// No member of the group runs; it is safe to submit the group again.
    pub fn group_refused(detail: &str, retry_after_s: f64) -> Problem {
        let problem = Problem::new(429, "group-refused", "The group was refused", detail);
        Problem { retry_after_s: Some(retry_after_s), ..problem }
    }

    /// Members of the group may have run, or may still run.
    pub fn group_failed(detail: &str) -> Problem {
        Problem::new(502, "group-failed", "The group failed", detail)
    }

    /// Adds the index of the group's member that it is about.
    pub fn of_member(self, at: usize) -> Problem {
        Problem { detail: format!("member {at}: {}", self.detail), ..self }
    }

    /// Adds the group that it is about.
    pub fn about_group(self, group: Value) -> Problem {
        Problem { about: Some(Box::new(("group", group))), ..self }
    }

    /// The job failed and may have run.
    pub fn failed(detail: &str) -> Problem {
        Problem::new(502, "failed", "The job failed", detail)
    }

    /// The job's deadline passed.
    pub fn deadline(detail: &str, retry_after_s: f64) -> Problem {
        let problem = Problem::new(504, "deadline-passed", "The deadline passed", detail);
        Problem { retry_after_s: Some(retry_after_s), ..problem }
    }

    /// The job was cancelled or lost while the request waited for it.
    pub fn ended(detail: &str) -> Problem {
        Problem::new(409, "job-ended", "The job has ended", detail)
    }

    /// The request is invalid.
    pub fn bad(detail: &str) -> Problem {
        Problem::new(400, "bad-request", "The request cannot be understood", detail)
    }

    /// The resource does not exist.
    pub fn unknown(detail: &str) -> Problem {
        Problem::new(404, "not-found", "Not found", detail)
    }

    pub fn method() -> Problem {
        Problem::new(
            405,
            "method-not-allowed",
            "Method not allowed",
            "this resource does not take that method",
        )
    }

    /// The resource version is no longer in the history.
    pub fn gone(detail: &str) -> Problem {
        Problem::new(410, "version-gone", "The version is gone", detail)
    }

    pub fn too_large(max_bytes: usize) -> Problem {
        Problem::new(
            413,
            "body-too-large",
            "The body is too large",
            &format!("at most {max_bytes} bytes are taken"),
        )
    }

    /// The idempotency key was used with another body.
    pub fn key_reused() -> Problem {
        let detail = "the Idempotency-Key belongs to a request with another body";
        Problem::new(422, "key-reused", "The key belongs to another request", detail)
    }

    /// This planner, or the one that owns the key, cannot accept the request now.
    pub fn unavailable(detail: &str, retry_after_s: f64) -> Problem {
        let problem = Problem::new(503, "unavailable", "Unavailable", detail);
        Problem { retry_after_s: Some(retry_after_s), ..problem }
    }

    /// Adds the job that it is about.
    pub fn about(self, job: Value) -> Problem {
        Problem { about: Some(Box::new(("job", job))), ..self }
    }

    /// The problem as an object.
    pub fn body(&self) -> Value {
        let mut body = json!({
            "type": format!("urn:burlhook:problem:{}", self.kind),
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
        });
        if let Some(seconds) = self.retry_after_s {
            body["retryAfterMs"] = json!((seconds * 1e3).round() as u64);
        }
        if let Some(about) = &self.about {
            body[about.0] = about.1.clone();
        }
        body
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut response = respond(self.status, "application/problem+json", &self.body());
        if let Some(seconds) = self.retry_after_s {
            // The header has a resolution of a second, the body of a millisecond.
            let seconds = HeaderValue::from(seconds.ceil().max(1.0) as u64);
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// A JSON response.
pub fn json(status: u16, body: &Value) -> Response {
    respond(status, "application/json", body)
}

fn respond(status: u16, kind: &'static str, body: &Value) -> Response {
    let mut response = Response::new(complete_body(format!("{body}\n")));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// The parsed query, or a problem if it is invalid.
pub fn query<T>(parsed: Result<Query<T>, QueryRejection>) -> Result<T, Problem> {
    parsed.map(|Query(query)| query).map_err(|e| Problem::bad(&e.body_text()))
}
