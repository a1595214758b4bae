//! Which planner of a fleet owns a key: rendezvous hashing over the configured set.

use super::client::{self, Call};
use super::objects::digest;
use std::time::Duration;

/// The owner of a key must say that it is well within this time.
const WELL: Duration = Duration::from_millis(500);

/// Where a keyed job belongs.
#[derive(Debug, PartialEq)]
pub enum Way {
    Here,
    There(String),
    Unreachable(String),
}

/// The planners that share the keys.
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

    /// The one planner that owns a key: the highest draw, the same at every planner.
    pub fn owner(&self, class: &str, key: &str) -> Option<&str> {
        let draw = |planner: &str| digest(format!("{planner}\n{class}\n{key}").as_bytes());
        self.planners.iter().map(String::as_str).max_by_key(|planner| draw(planner))
    }

    /// Where the job goes. A key never moves to another planner because its owner is down: two owners of one
    /// key might have two attempts out.
    pub async fn way(&self, class: &str, key: &str) -> Way {
        let Some(owner) = self.owner(class, key).filter(|owner| *owner != self.own) else { return Way::Here };
        let asked =
            client::call(Call { method: "GET", url: format!("{owner}/healthz"), key: None, body: None });
        match tokio::time::timeout(WELL, asked).await {
            Ok(Ok(reply)) if reply.status == 200 => Way::There(owner.to_string()),
            _ => Way::Unreachable(owner.to_string()),
        }
    }
}

#[cfg(test)]
mod tests;
