//! Submits a job mix to a planner, a bounded number of jobs at a time, and collects the result of each.

use super::client::{call, Call, CallError, Reply};
use crate::wire::import::{MixJob, Work};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Count. Redirects that are followed; one is enough to reach a key's owner.
const MAX_REDIRECTS: usize = 2;

/// The result of a job or group of a mix.
#[derive(Debug, PartialEq)]
pub struct JobResult {
    /// Its index in the mix, from 1.
    pub number: usize,
    /// The HTTP status, or 0 if there was no response.
    pub status: u16,
    /// The phase, the problem's detail, or the error of the request.
    pub detail: String,
}

/// Sends a request, and follows redirects to the planner that owns its key.
async fn follow(mut request: Call) -> Result<Reply, CallError> {
    for _ in 0..MAX_REDIRECTS {
        let reply = call(request.clone()).await?;
        match &reply.location {
            Some(location) if reply.status == 307 => request.url = location.clone(),
            _ => return Ok(reply),
        }
    }
    call(request).await
}

async fn submit_one(number: usize, url: String, job: MixJob) -> JobResult {
    let (path, body) = match &job.work {
        Work::Job(job) => ("jobs", serde_json::to_vec(job).ok()),
        Work::Group(group) => ("groups", serde_json::to_vec(group).ok()),
    };
    let request = Call { method: "POST", url: format!("{url}/v1/{path}"), key: job.key, body };
    match follow(request).await {
        Ok(reply) => {
            let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
            let detail = body.pointer("/status/phase").or(body.get("detail")).and_then(Value::as_str);
            JobResult {
                number,
                status: reply.status,
                detail: detail.unwrap_or("neither phase nor detail in the response").to_string(),
            }
        }
        Err(error) => JobResult { number, status: 0, detail: error.to_string() },
    }
}

/// Submits all jobs in their order, at most `at_once` of them open at a time. The results are in the same
/// order.
pub async fn submit(url: &str, mix: Vec<MixJob>, at_once: usize) -> Vec<JobResult> {
    let permits = Arc::new(Semaphore::new(at_once.max(1)));
    let mut tasks = JoinSet::new();
    for (at, job) in mix.into_iter().enumerate() {
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        let url = url.trim_end_matches('/').to_string();
        tasks.spawn(async move {
            let result = submit_one(at + 1, url, job).await;
            drop(permit);
            result
        });
    }
    let mut results = tasks.join_all().await;
    results.sort_by_key(|result| result.number);
    results
}

/// The number of jobs by status.
pub fn count(results: &[JobResult]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for result in results {
        *counts.entry(result.status).or_default() += 1;
    }
    counts
}
