//! Jobs, groups and machines as JSON objects.

use super::Api;
use crate::decide::groups;
use crate::decide::limits::Why;
use crate::placer::*;
use crate::state::{GroupView, JobView, MachineView, MemberView, Phase};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A job as a client submits it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewJob {
    /// Its class, as the settings name it.
    pub class: String,
    /// The service whose program it runs.
    pub service: String,
    /// Cores that it requests.
    pub cores: f64,
    /// Memory that it requests.
    pub memory: f64,
    /// Milliseconds within which it must be placed.
    pub deadline_ms: u64,
    /// Text that is passed to the machine with the task.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub description: String,
}

impl NewJob {
    /// The service's number: its name, if that is 16 hex digits as on the platform, otherwise a digest of the
    /// name.
    pub fn service_id(&self) -> ServiceId {
        let hex = self.service.len() == 16 && self.service.bytes().all(|b| b.is_ascii_hexdigit());
        let number = hex.then(|| u64::from_str_radix(&self.service, 16).ok()).flatten();
        ServiceId(number.unwrap_or_else(|| digest(self.service.as_bytes())))
    }

    /// A digest of the job's fields, which does not depend on the body's white space or field order.
    pub fn digest(&self) -> u64 {
        digest(json!(self).to_string().as_bytes())
    }
}

/// A digest that is the same in every process.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hash = SipHasher13::new();
    hash.write(bytes);
    hash.finish()
}

/// The name of a phase.
pub fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Pending => "Pending",
        Phase::Running => "Running",
        Phase::Succeeded => "Succeeded",
        Phase::Refused => "Refused",
        Phase::Failed => "Failed",
        Phase::DeadlinePassed => "DeadlinePassed",
        Phase::Cancelled => "Cancelled",
        Phase::Lost => "Lost",
    }
}

/// The text for the end of an attempt.
pub fn reason(last: Option<(Outcome, Reason)>) -> Option<&'static str> {
    Some(match last? {
        (_, Reason::NoCores) => "no cores left",
        (_, Reason::NoMemory) => "no memory left",
        (_, Reason::LineFull) => "too many offers wait",
        (_, Reason::NotHere) => "not here",
        (_, Reason::Evicted) => "evicted for memory",
        (_, Reason::PushedOut) => "pushed out",
        (_, Reason::SentAway) => "sent away by a drain",
        (_, Reason::Broken) => "the connection to the machine broke",
        (Outcome::Ok, _) => "ended",
        (Outcome::Error, _) => "the machine answered with an error",
        (Outcome::Full, _) => "the machine is full",
        (Outcome::TimedOut, _) => "the machine did not answer in time",
        (Outcome::ConnectFailed, _) => "no connection to the machine",
        (Outcome::Lost, _) => "the machine or the connection to it was lost",
        (Outcome::Cancelled, _) => "cancelled",
        (Outcome::Moot, _) => "not sent",
    })
}

/// The text for the limit that rejected a job.
pub fn limit(why: Why) -> &'static str {
    match why {
        Why::Rate => "more jobs came than the rate allows",
        Why::InFlight => "as many jobs are in flight as may be",
        Why::RetryBudget => "the budget of further tries is spent",
    }
}

/// A job's id in a path.
pub fn id(job: RequestId) -> String {
    format!("{:016x}", job.0)
}

/// A job as an object.
pub(super) fn job(api: &Api, view: &JobView) -> Value {
    let mut job = json!({
        "kind": "Job",
        "id": id(view.id),
        "resourceVersion": api.version(view.version),
        "class": view.spec.class,
        "service": view.spec.service,
        "cores": view.room.cores,
        "memory": view.room.memory,
        "deadline": rfc3339(view.deadline),
        "status": {"phase": phase(view.phase), "attempts": view.attempts},
    });
    if let Some(key) = &view.spec.key {
        job["idempotencyKey"] = json!(key);
    }
    if let Some(machine) = &view.machine {
        job["status"]["machine"] = json!(machine);
    }
    let limit_reason = view.limit_rejection.map(|limit_rejection| limit(limit_rejection.why));
    if let Some(reason) = limit_reason.or(reason(view.last)) {
        job["status"]["reason"] = json!(reason);
    }
    if matches!(view.phase, Phase::Refused | Phase::DeadlinePassed) {
        job["status"]["retryAfterMs"] = json!((view.retry_in_s * 1e3).round() as u64);
    }
    job
}

/// A group as an object.
pub(super) fn group(api: &Api, view: &GroupView) -> Value {
    let member = |(at, of): (usize, &MemberView)| {
        let mut member = json!({"member": at});
        if let Some(job) = of.job {
            member["job"] = json!(id(job));
        }
        if let Some(job_phase) = of.phase {
            member["phase"] = json!(phase(job_phase));
        }
        if let Some(machine) = &of.machine {
            member["machine"] = json!(machine);
        }
        if !of.unreachable.is_empty() {
            member["unreachable"] = json!(of.unreachable);
        }
        member
    };
    let members: Vec<Value> = view.members.iter().enumerate().map(member).collect();
    let mut group = json!({
        "kind": "Group",
        "id": format!("{:016x}", view.id.0),
        "resourceVersion": api.version(view.version),
        "deadline": rfc3339(view.deadline),
        "status": {"phase": format!("{:?}", view.phase), "tries": view.tries, "members": members},
    });
    if let Some(key) = &view.key {
        group["idempotencyKey"] = json!(key);
    }
    let answer = view.answer.map(|answer| match answer {
        groups::Answer::Placed => "placed",
        groups::Answer::Refused { .. } => "refused",
        groups::Answer::Failed { .. } => "failed",
    });
    if let Some(answer) = answer {
        group["status"]["answer"] = json!(answer);
    }
    if let Some(why) = view.why {
        group["status"]["reason"] = json!(group_reason(why));
    }
    if let Some(groups::Answer::Refused { retry_in_s, .. }) = view.answer {
        group["status"]["retryAfterMs"] = json!((retry_in_s * 1e3).round() as u64);
    }
    group
}

/// The text for the reason why a group was given up.
pub fn group_reason(why: groups::Why) -> &'static str {
    match why {
        groups::Why::NoRoom => "there is no room for the whole group",
        groups::Why::Refused => "a member was refused",
        groups::Why::Failed => "a member failed",
        groups::Why::Lost => "a member was lost",
        groups::Why::Partial => "it did not stand whole in time",
        groups::Why::Deadline => "its deadline passed",
        groups::Why::Cancelled => "its owner gave it up",
        groups::Why::Stopping => "the planner is stopping",
    }
}

/// A machine as an object.
pub(super) fn machine(api: &Api, view: &MachineView) -> Value {
    let mut machine = json!({
        "kind": "Machine",
        "name": view.name,
        "resourceVersion": api.version(view.version),
        "zone": view.zone,
        "cell": view.cell.0,
        "free": {"cores": view.free.cores, "memory": view.free.memory},
        "state": match view.standing {
            Standing::Ready => "Ready",
            Standing::Draining => "Draining",
            Standing::Gone => "Gone",
        },
    });
    if view.started > 0.0 {
        machine["started"] = json!(rfc3339(view.started));
    }
    machine
}

/// A time in the format of RFC 3339.
pub(super) fn rfc3339(at: Seconds) -> String {
    let time = chrono::DateTime::from_timestamp_millis((at * 1e3) as i64);
    time.map(|t| t.to_rfc3339_opts(chrono::SecondsFormat::Millis, true)).unwrap_or_default()
}
