//! Converts HAR files and access logs to a job mix, one JSON object per line.
//!
//! Each request becomes one job. The mapping is the same for all formats:
//!
//! | field of the job | value from the request |
//! | --- | --- |
//! | `atMs` | milliseconds since the earliest request |
//! | class | `GET`, `HEAD` and `OPTIONS`: the stateless class; every other method: the keyed class |
//! | key | keyed class only: a digest of the source's name, the line or entry, and the request |
//! | service | host (HAR) and the first segment of the path, without its digits |
//! | cores | by time taken: under 100 ms 0.25, under 300 ms 0.5, under 1 s 1, else 2; without a time 0.25 |
//! | memory | by bytes answered: under 10 kB 0.5, under 100 kB 1.5, under 1 MB 2, else 3; without a size 0.5 |
//! | deadline | the same for all jobs |
//! | description | method and path, without the query |

pub mod access_log;
pub mod har;

use crate::wire::rest::{digest, NewGroup, NewJob};
use chrono::{DateTime, FixedOffset};
use serde::{Deserialize, Serialize};

/// A request of a HAR file or an access log.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Line of an access log or number of a HAR entry, from 1.
    pub number: usize,
    pub at: DateTime<FixedOffset>,
    pub method: String,
    pub host: String,
    pub path: String,
    pub took_ms: Option<f64>,
    pub bytes: Option<u64>,
}

/// A line or entry that could not be parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidLine {
    pub number: usize,
    pub why: String,
}

/// The work that a line of a mix requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// One job.
    Job(NewJob),
    /// A group, all or nothing.
    Group(NewGroup),
}

/// One job or group of a mix.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(try_from = "MixLine", into = "MixLine")]
pub struct MixJob {
    /// Milliseconds from the earliest job of the mix to this one.
    pub at_ms: u64,
    /// The Idempotency-Key, for jobs of keyed classes and for groups that have one.
    pub key: Option<String>,
    /// The job or group.
    pub work: Work,
}

/// A line in its JSON form; it has either a job or a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct MixLine {
    at_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    job: Option<NewJob>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    group: Option<NewGroup>,
}

impl TryFrom<MixLine> for MixJob {
    type Error = &'static str;
    fn try_from(line: MixLine) -> Result<MixJob, &'static str> {
        let work = match (line.job, line.group) {
            (Some(job), None) => Work::Job(job),
            (None, Some(group)) => Work::Group(group),
            _ => return Err("exactly one of job and group is expected"),
        };
        Ok(MixJob { at_ms: line.at_ms, key: line.key, work })
    }
}

impl From<MixJob> for MixLine {
    fn from(of: MixJob) -> MixLine {
        let (job, group) = match of.work {
            Work::Job(job) => (Some(job), None),
            Work::Group(group) => (None, Some(group)),
        };
        MixLine { at_ms: of.at_ms, key: of.key, job, group }
    }
}

/// Parameters of the mapping that requests do not contain.
#[derive(Clone, Debug)]
pub struct Mapping {
    pub source: String,
    pub stateless: String,
    pub keyed: String,
    pub deadline_ms: u64,
}

fn step(value: f64, bounds: [f64; 3], steps: [f64; 4]) -> f64 {
    steps[bounds.iter().filter(|&&bound| value >= bound).count()]
}

impl Mapping {
    /// The mix, ordered by time.
    pub fn mix(&self, requests: &[Request]) -> Vec<MixJob> {
        let Some(first) = requests.iter().map(|r| r.at).min() else { return Vec::new() };
        let mut mix: Vec<MixJob> = requests.iter().map(|r| self.job(first, r)).collect();
        mix.sort_by_key(|job| job.at_ms);
        mix
    }

    fn job(&self, first: DateTime<FixedOffset>, request: &Request) -> MixJob {
        let stateless = matches!(request.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let path = request.path.split(['?', '#']).next().unwrap_or_default();
        let segment = path.split('/').find(|s| !s.is_empty()).unwrap_or("root");
        let segment: String = segment.chars().filter(|c| !c.is_ascii_digit()).collect();
        let identity = format!("{}\n{}\n{} {}", self.source, request.number, request.method, request.path);
        let service = if request.host.is_empty() { segment } else { format!("{}/{segment}", request.host) };
        MixJob {
            at_ms: (request.at - first).num_milliseconds().max(0) as u64,
            key: (!stateless).then(|| format!("{:016x}", digest(identity.as_bytes()))),
            work: Work::Job(NewJob {
                class: if stateless { self.stateless.clone() } else { self.keyed.clone() },
                service: if service.is_empty() { "root".into() } else { service },
                cores: step(request.took_ms.unwrap_or(0.0), [100.0, 300.0, 1000.0], [0.25, 0.5, 1.0, 2.0]),
                memory: step(request.bytes.unwrap_or(0) as f64, [1e4, 1e5, 1e6], [0.5, 1.5, 2.0, 3.0]),
                deadline_ms: self.deadline_ms,
                description: format!("{} {path}", request.method),
            }),
        }
    }
}

/// Parses a mix; invalid lines are returned with their numbers.
pub fn read_mix(text: &str) -> (Vec<MixJob>, Vec<InvalidLine>) {
    let (mut mix, mut invalid) = (Vec::new(), Vec::new());
    for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(job) => mix.push(job),
            Err(error) => invalid.push(InvalidLine { number: at + 1, why: error.to_string() }),
        }
    }
    (mix, invalid)
}
