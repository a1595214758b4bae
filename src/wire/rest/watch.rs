//! Lists and watches. A list carries its resource version; a watch from that version sends every later change
//! once.

use super::answers::{self, Answer, Problem};
use super::{objects, Api};
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

/// Count. The most changes in one write.
const MAX_BATCH: usize = 128;
/// Count. The most writes that are queued for a watcher.
const QUEUED_WRITES: usize = 2;
/// Seconds. The retry delay in a response if the maximum number of watches is open.
const RETRY_S: f64 = 5.0;

/// The kinds of objects that can be listed and watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Jobs,
    Machines,
    Groups,
}

impl Kind {
    /// The `kind` of its lists.
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
pub struct ListQuery {
    #[serde(default)]
    watch: Option<String>,
    resource_version: Option<String>,
    timeout_seconds: Option<u64>,
}

/// Responds with a list, or opens a watch.
pub(super) fn list(api: Arc<Api>, kind: Kind, query: ListQuery) -> Answer {
    match query.watch.as_deref() {
        None | Some("false" | "0") => {
            let (items, version) = snapshot(&api, kind);
            let version = api.version(version);
            Ok(answers::json(
                200,
                &json!({"kind": kind.list_name(), "resourceVersion": version, "items": items}),
            ))
        }
        Some("true" | "1" | "") => watch(api, kind, query),
        Some(other) => Err(Problem::bad(&format!("watch: {other:?} is neither true nor false"))),
    }
}

/// All objects of the kind, and the version of the history to which they correspond.
fn snapshot(api: &Api, kind: Kind) -> (Vec<Value>, u64) {
    let inner = api.hub.lock();
    let (core, version) = (&inner.core, inner.core.history().version());
    let objects = match kind {
        Kind::Jobs => core.job_views().into_iter().map(|v| Object::Job(Arc::new(v))).collect(),
        Kind::Machines => core.machine_views().into_iter().map(|v| Object::Machine(Arc::new(v))).collect(),
        Kind::Groups => {
            core.group_views().into_iter().map(|v| Object::Group(Arc::new(v))).collect::<Vec<_>>()
        }
    };
    drop(inner);
    (objects.iter().filter_map(|object| object_json(api, kind, object)).collect(), version)
}

/// The JSON of an object, if it is of this kind.
fn object_json(api: &Api, kind: Kind, object: &Object) -> Option<Value> {
    match (object, kind) {
        (Object::Job(view), Kind::Jobs) => Some(objects::job(api, view)),
        (Object::Machine(view), Kind::Machines) => Some(objects::machine(api, view)),
        (Object::Group(view), Kind::Groups) => Some(objects::group(api, view)),
        _ => None,
    }
}

/// Parses a resource version of this run of the program.
fn parse(api: &Api, text: &str) -> Result<u64, Problem> {
    let (epoch, version) =
        text.split_once('-').ok_or_else(|| Problem::bad("resourceVersion is malformed"))?;
    let epoch = u64::from_str_radix(epoch, 16).map_err(|_| Problem::bad("resourceVersion is malformed"))?;
    let version = version.parse().map_err(|_| Problem::bad("resourceVersion is malformed"))?;
    if epoch != api.epoch {
        return Err(Problem::gone("the planner has started anew since that version: list again"));
    }
    Ok(version)
}

fn version_gone() -> Problem {
    Problem::gone("that version has left the history: list again")
}

fn watch(api: Arc<Api>, kind: Kind, query: ListQuery) -> Answer {
    let permit = api.watchers.clone().try_acquire_owned();
    let permit = permit.map_err(|_| Problem::unavailable("all places for watchers are taken", RETRY_S))?;
    let (first, version) = match &query.resource_version {
        Some(text) => {
            let version = parse(&api, text)?;
            if matches!(api.hub.lock().core.history().since(version, 0), Resume::Gone) {
                return Err(version_gone());
            }
            (Vec::new(), version)
        }
        None => {
            let (items, version) = snapshot(&api, kind);
            let mut first = Vec::new();
            items.iter().for_each(|item| write(&mut first, "ADDED", item));
            (first, version)
        }
    };
    let (chunks, body) = mpsc::channel(QUEUED_WRITES);
    let watcher = Watcher { api, kind, version, chunks, _permit: permit };
    let timeout = query.timeout_seconds.map(Duration::from_secs);
    tokio::spawn(async move {
        match timeout {
            Some(timeout) => drop(tokio::time::timeout(timeout, watcher.run(first)).await),
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
    api: Arc<Api>,
    kind: Kind,
    version: u64,
    chunks: mpsc::Sender<Result<Bytes, Infallible>>,
    _permit: OwnedSemaphorePermit,
}

impl Watcher {
    /// Writes changes as they happen, until the client disconnects, reads too slowly, or its version is gone.
    async fn run(mut self, first: Vec<u8>) {
        let mut changes = self.api.hub.changes.subscribe();
        let mut out = first;
        let bookmark_interval = Duration::from_secs_f64(self.api.options.bookmark_s);
        let mut bookmark = Instant::now() + bookmark_interval;
        loop {
            let since = self.api.hub.lock().core.history().since(self.version, MAX_BATCH);
            let more = match since {
                Resume::Changes(batch) => self.write_batch(&batch, &mut out),
                Resume::Gone => {
                    write(&mut out, "ERROR", &version_gone().body());
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
                    bookmark = Instant::now() + bookmark_interval;
                    let version = self.api.version(self.version);
                    write(&mut out, "BOOKMARK", &json!({"resourceVersion": version}));
                }
                () = self.chunks.closed() => return,
            }
        }
    }

    /// Writes a batch of changes as JSON; returns whether there may be more.
    fn write_batch(&mut self, batch: &[Change], out: &mut Vec<u8>) -> bool {
        for change in batch {
            self.version = change.version;
            let Some(object) = object_json(&self.api, self.kind, &change.object) else { continue };
            let kind = match change.kind {
                ChangeKind::Added => "ADDED",
                ChangeKind::Modified => "MODIFIED",
                ChangeKind::Deleted => "DELETED",
            };
            write(out, kind, &object);
        }
        batch.len() == MAX_BATCH
    }

    /// Queues a chunk for the client. A client that does not read is disconnected, which bounds the planner's
    /// memory; it can resume its watch later.
    async fn send(&self, out: &mut Vec<u8>) -> bool {
        if out.is_empty() {
            return true;
        }
        let timeout = Duration::from_secs_f64(self.api.options.slow_watcher_s);
        let chunk = Ok(Bytes::from(std::mem::take(out)));
        let sent = self.chunks.send_timeout(chunk, timeout).await;
        if sent.is_err() {
            tracing::debug!("a watcher disconnected, or was disconnected as it did not read");
        }
        sent.is_ok()
    }
}
