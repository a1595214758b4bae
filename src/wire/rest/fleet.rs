//! Sends requests under an idempotency key to the planner that owns the key.

use super::answers::{self, Problem};
use super::client::{self, Call};
use axum::http::{header, HeaderValue, Uri};
use axum::response::Response;
use serde_json::json;
use std::time::Duration;

/// The time within which the owner of a key must answer a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Seconds. The retry delay in a response if the owner of a key cannot be reached.
const UNREACHABLE_RETRY_S: f64 = 1.0;

/// The response to a request whose keys another planner owns: a redirect to that planner, or `None` where
/// `owner` is this planner (`own_url`) or there is no fleet. A key never moves to another planner because its
/// owner is down: two planners that both own it could each send an attempt of the same job.
///
/// # Errors
/// The owner does not answer the health check.
pub async fn redirect_to(owner: Option<&str>, own_url: &str, uri: &Uri) -> Result<Option<Response>, Problem> {
    let Some(owner) = owner.filter(|owner| *owner != own_url.trim_end_matches('/')) else {
        return Ok(None);
    };
    if !is_up(owner).await {
        let detail = format!("the key belongs to {owner}, which cannot be reached");
        return Err(Problem::unavailable(&detail, UNREACHABLE_RETRY_S));
    }
    let location = format!("{owner}{}", uri.path_and_query().map_or(uri.path(), |path| path.as_str()));
    let mut response = answers::json(307, &json!({"planner": owner}));
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    Ok(Some(response))
}

async fn is_up(planner: &str) -> bool {
    let call = Call { method: "GET", url: format!("{planner}/healthz"), key: None, body: None };
    let health_check = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, client::call(call)).await;
    matches!(health_check, Ok(Ok(reply)) if reply.status == 200)
}
