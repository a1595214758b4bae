//! Submits a mix to a planner, a bounded number of jobs at once, and tells how each one ended.

use super::client::{call, Call, CallError, Reply};
use crate::wire::import::{MixJob, Work};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Count. Redirects that are followed: one leads to a key's owner.
const REDIRECTS: usize = 2;

/// How a job of a mix ended.
#[derive(Debug, PartialEq)]
pub struct Ended {
    /// Its place in the mix, from 1.
    pub number: usize,
    /// The HTTP status, or 0 where there was no answer.
    pub status: u16,
    /// The phase or the problem's detail.
    pub words: String,
}

/// Makes a call, and follows it to the planner that owns its key.
async fn follow(mut request: Call) -> Result<Reply, CallError> {
    for _ in 0..REDIRECTS {
        let reply = call(request.clone()).await?;
        match &reply.location {
            Some(place) if reply.status == 307 => request.url = place.clone(),
            _ => return Ok(reply),
        }
    }
    call(request).await
}

async fn one(number: usize, url: String, job: MixJob) -> Ended {
    let (path, body) = match &job.work {
        Work::Job(job) => ("jobs", serde_json::to_vec(job).ok()),
        Work::Group(group) => ("groups", serde_json::to_vec(group).ok()),
    };
    let request = Call { method: "POST", url: format!("{url}/v1/{path}"), key: job.key, body };
    match follow(request).await {
        Ok(reply) => {
            let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
            let said = body.pointer("/status/phase").or(body.get("detail")).and_then(Value::as_str);
            Ended { number, status: reply.status, words: said.unwrap_or("no word").to_string() }
        }
        Err(error) => Ended { number, status: 0, words: error.to_string() },
    }
}

/// Submits all jobs in their order, at most `at_once` of them open; the ends come in that order too.
pub async fn submit(url: &str, mix: Vec<MixJob>, at_once: usize) -> Vec<Ended> {
    let places = Arc::new(Semaphore::new(at_once.max(1)));
    let mut tasks = JoinSet::new();
    for (at, job) in mix.into_iter().enumerate() {
        let Ok(place) = places.clone().acquire_owned().await else { break };
        let url = url.trim_end_matches('/').to_string();
        tasks.spawn(async move {
            let ended = one(at + 1, url, job).await;
            drop(place);
            ended
        });
    }
    let mut ends = tasks.join_all().await;
    ends.sort_by_key(|e| e.number);
    ends
}

/// How many jobs ended with each status.
pub fn count(ends: &[Ended]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for end in ends {
        *counts.entry(end.status).or_default() += 1;
    }
    counts
}
