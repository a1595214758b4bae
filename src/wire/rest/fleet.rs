//! The planner that owns an idempotency key: rendezvous hashing over the configured planners.

use super::client::{self, Call};
use super::objects::digest;
use std::time::Duration;

/// The time within which the owner of a key must answer a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The planner that owns the key of a job.
#[derive(Debug, PartialEq)]
pub enum KeyOwner {
    /// This planner.
    This,
    /// Another planner, by its URL.
    Other(String),
    /// Another planner that does not answer the health check, by its URL.
    Unreachable(String),
}

/// The planners among which the keys are divided.
pub struct Fleet {
    planners: Vec<String>,
    own: String,
}

impl Fleet {
    pub fn new(planners: &[String], own: &str) -> Fleet {
        let mut planners: Vec<String> =
            planners.iter().map(|p| p.trim_end_matches('/').to_string()).collect();
        planners.sort();
        planners.dedup();
        Fleet { planners, own: own.trim_end_matches('/').to_string() }
    }

    /// The planner that owns a key: the one with the highest hash, which is the same at every planner.
    pub fn owner(&self, class: &str, key: &str) -> Option<&str> {
        let hash = |planner: &str| digest(format!("{planner}\n{class}\n{key}").as_bytes());
        self.planners.iter().map(String::as_str).max_by_key(|planner| hash(planner))
    }

    /// Finds the planner to which a keyed job belongs. A key never moves to another planner because its owner
    /// is down: two planners that both own it could each send an attempt of the same job.
    pub async fn locate(&self, class: &str, key: &str) -> KeyOwner {
        let Some(owner) = self.owner(class, key).filter(|owner| *owner != self.own) else {
            return KeyOwner::This;
        };
        let health_check =
            client::call(Call { method: "GET", url: format!("{owner}/healthz"), key: None, body: None });
        match tokio::time::timeout(HEALTH_CHECK_TIMEOUT, health_check).await {
            Ok(Ok(reply)) if reply.status == 200 => KeyOwner::Other(owner.to_string()),
            _ => KeyOwner::Unreachable(owner.to_string()),
        }
    }
}

#[cfg(test)]
mod tests;
