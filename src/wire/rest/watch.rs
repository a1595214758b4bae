//! Lists and watches. A list tells its version; a watch from that version brings every later change once.

use super::answers::{self, Answer, Problem};
use super::{objects, Front};
use crate::state::{Change, ChangeKind, Object, Resume};
use axum::body::Body;
use axum::http::{header, HeaderValue};
use axum::response::Response;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

/// Count. Changes that are written at once.
const COALESCED: usize = 128;
/// Count. Writes that may wait for a watcher.
const WAITING: usize = 2;
/// Seconds. When to come back where all places for watchers are taken.
const RETRY_S: f64 = 5.0;

/// What can be listed and watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Jobs,
    Machines,
    Groups,
}

impl Kind {
    /// The name of its list.
    fn list_name(self) -> &'static str {
        match self {
            Kind::Jobs => "JobList",
            Kind::Machines => "MachineList",
            Kind::Groups => "GroupList",
        }
    }
}

/// The query of a list or watch.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Asked {
    #[serde(default)]
    watch: Option<String>,
    resource_version: Option<String>,
    timeout_seconds: Option<u64>,
}

/// Answers a list, or opens a watch.
pub(super) fn list(front: Arc<Front>, kind: Kind, asked: Asked) -> Answer {
    match asked.watch.as_deref() {
        None | Some("false" | "0") => {
            let (items, version) = snapshot(&front, kind);
            let version = front.version(version);
            Ok(answers::json(
                200,
                &json!({"kind": kind.list_name(), "resourceVersion": version, "items": items}),
            ))
        }
        Some("true" | "1" | "") => watch(front, kind, asked),
        Some(other) => Err(Problem::bad(&format!("watch: {other:?} is neither true nor false"))),
    }
}

/// All that is there now, and the version that it is at.
fn snapshot(front: &Front, kind: Kind) -> (Vec<Value>, u64) {
    let inner = front.hub.lock();
    let (core, version) = (&inner.core, inner.core.history().version());
    let objects = match kind {
        Kind::Jobs => core.job_views().into_iter().map(|v| Object::Job(Arc::new(v))).collect(),
        Kind::Machines => core.machine_views().into_iter().map(|v| Object::Machine(Arc::new(v))).collect(),
        Kind::Groups => {
            core.group_views().into_iter().map(|v| Object::Group(Arc::new(v))).collect::<Vec<_>>()
        }
    };
    drop(inner);
    (objects.iter().filter_map(|object| worded(front, kind, object)).collect(), version)
}

/// An object in words, where it is of the kind that was asked for.
fn worded(front: &Front, kind: Kind, object: &Object) -> Option<Value> {
    match (object, kind) {
        (Object::Job(view), Kind::Jobs) => Some(objects::job(front, view)),
        (Object::Machine(view), Kind::Machines) => Some(objects::machine(front, view)),
        (Object::Group(view), Kind::Groups) => Some(objects::group(front, view)),
        _ => None,
    }
}

/// Reads a version of this life.
fn parse(front: &Front, text: &str) -> Result<u64, Problem> {
    let (epoch, version) =
        text.split_once('-').ok_or_else(|| Problem::bad("resourceVersion is malformed"))?;
    let epoch = u64::from_str_radix(epoch, 16).map_err(|_| Problem::bad("resourceVersion is malformed"))?;
    let version = version.parse().map_err(|_| Problem::bad("resourceVersion is malformed"))?;
    if epoch != front.epoch {
        return Err(Problem::gone("the planner has started anew since that version: list again"));
    }
    Ok(version)
}

fn left_history() -> Problem {
    Problem::gone("that version has left the history: list again")
}

fn watch(front: Arc<Front>, kind: Kind, asked: Asked) -> Answer {
    let place = front.watchers.clone().try_acquire_owned();
    let place = place.map_err(|_| Problem::unavailable("all places for watchers are taken", RETRY_S))?;
    let (first, version) = match &asked.resource_version {
        Some(text) => {
            let version = parse(&front, text)?;
            if matches!(front.hub.lock().core.history().since(version, 0), Resume::Gone) {
                return Err(left_history());
            }
            (Vec::new(), version)
        }
        None => {
            let (items, version) = snapshot(&front, kind);
            let mut first = Vec::new();
            items.iter().for_each(|item| write(&mut first, "ADDED", item));
            (first, version)
        }
    };
    let (chunks, body) = mpsc::channel(WAITING);
    let watcher = Watcher { front, kind, version, chunks, _place: place };
    let until = asked.timeout_seconds.map(Duration::from_secs);
    tokio::spawn(async move {
        match until {
            Some(until) => drop(tokio::time::timeout(until, watcher.run(first)).await),
            None => watcher.run(first).await,
        }
    });
    let mut response = Response::new(Body::from_stream(ReceiverStream::new(body)));
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

fn write(out: &mut Vec<u8>, kind: &str, object: &Value) {
    out.extend(json!({"type": kind, "object": object}).to_string().into_bytes());
    out.push(b'\n');
}

struct Watcher {
    front: Arc<Front>,
    kind: Kind,
    version: u64,
    chunks: mpsc::Sender<Result<Bytes, Infallible>>,
    _place: OwnedSemaphorePermit,
}

impl Watcher {
    /// Writes changes as they come; ends with its reader, or where that is too slow.
    async fn run(mut self, first: Vec<u8>) {
        let mut changes = self.front.hub.changes.subscribe();
        let mut out = first;
        let pause = Duration::from_secs_f64(self.front.options.bookmark_s);
        let mut bookmark = Instant::now() + pause;
        loop {
            let since = self.front.hub.lock().core.history().since(self.version, COALESCED);
            let more = match since {
                Resume::Changes(batch) => self.take(&batch, &mut out),
                Resume::Gone => {
                    write(&mut out, "ERROR", &left_history().body());
                    self.send(&mut out).await;
                    return;
                }
            };
            if !self.send(&mut out).await {
                return;
            }
            if more {
                continue;
            }
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(bookmark) => {
                    bookmark = Instant::now() + pause;
                    let version = self.front.version(self.version);
                    write(&mut out, "BOOKMARK", &json!({"resourceVersion": version}));
                }
                () = self.chunks.closed() => return,
            }
        }
    }

    /// Puts a batch into words; tells whether there may be more.
    fn take(&mut self, batch: &[Change], out: &mut Vec<u8>) -> bool {
        for change in batch {
            self.version = change.version;
            let Some(object) = worded(&self.front, self.kind, &change.object) else { continue };
            let kind = match change.kind {
                ChangeKind::Added => "ADDED",
                ChangeKind::Modified => "MODIFIED",
                ChangeKind::Deleted => "DELETED",
            };
            write(out, kind, &object);
        }
        batch.len() == COALESCED
    }

    /// Guards the planner's memory against a watcher that does not read: it is cut, and resumes later.
    async fn send(&self, out: &mut Vec<u8>) -> bool {
        if out.is_empty() {
            return true;
        }
        let slow = Duration::from_secs_f64(self.front.options.slow_watcher_s);
        let chunk = Ok(Bytes::from(std::mem::take(out)));
        let sent = self.chunks.send_timeout(chunk, slow).await;
        if sent.is_err() {
            tracing::debug!("a watcher left or was cut");
        }
        sent.is_ok()
    }
}
