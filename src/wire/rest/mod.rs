//! The REST API: jobs, groups, machines and limits over HTTP, with watches. It is off unless the operators'
//! file has a section `rest`.

mod answers;
mod client;
mod fleet;
mod groups;
mod held;
mod jobs;
mod limits;
mod objects;
mod submit;
mod watch;

pub use client::loopback;
pub use groups::NewGroup;
pub use objects::{digest, NewJob};
pub use submit::{count, submit};

use crate::decide::key_owners::KeyOwners;
use crate::document::Item;
use crate::wire::hub::Hub;
use answers::{Answer, Problem};
use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::Uri;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// A connection whose request headers take longer than this to arrive is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Seconds. The longest time that the section accepts.
const MAX_SETTING_S: f64 = 86_400.0;
/// The largest count that the section accepts.
const MAX_SETTING_COUNT: u64 = 16 * 1024 * 1024;
const LOOPBACK: &str = "the REST API uses loopback addresses only";
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The section `rest` of the operators' file. Every resource that the API uses has a bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The loopback address on which it listens.
    pub listen: String,
    /// Bytes. The largest body of a request.
    pub max_body_bytes: usize,
    /// The most jobs of its clients that wait or run at once.
    pub max_open_jobs: usize,
    /// The most watches that are open at once.
    pub max_watchers: usize,
    /// The most connections that are open at once.
    pub max_connections: usize,
    /// Count. The latest changes, which are kept so that watches can resume.
    pub history: usize,
    /// The most jobs that are kept for reading after they are over.
    pub keep_over: usize,
    /// Seconds for which such a job is kept.
    pub keep_over_s: f64,
    /// Seconds between bookmarks on a watch without changes.
    pub bookmark_s: f64,
    /// Seconds after which the connection of a watcher that does not read is closed.
    pub slow_watcher_s: f64,
    /// The planners that share the keys, this one included, as `http://ADDRESS:PORT`.
    pub fleet: Vec<String>,
    /// This planner's own entry in `fleet`.
    pub own_url: String,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            listen: "127.0.0.1:8080".into(),
            max_body_bytes: 64 * 1024,
            max_open_jobs: 4096,
            max_watchers: 64,
            max_connections: 256,
            history: 4096,
            keep_over: 1024,
            keep_over_s: 300.0,
            bookmark_s: 5.0,
            slow_watcher_s: 5.0,
            fleet: Vec::new(),
            own_url: String::new(),
        }
    }
}

impl Options {
    /// Reads the section. Returns `None` if it has faults, which go to the item's sink.
    pub fn read(item: &Item<'_>) -> Option<Options> {
        let section = item.section()?;
        let before = item.sink().count();
        let mut parsed = Options::default();
        let count_from = |least, name, into: &mut usize| {
            if let Some(n) = section.get(name).and_then(|i| i.count(least..=MAX_SETTING_COUNT)) {
                *into = n as usize;
            }
        };
        let count = |name, into: &mut usize| count_from(1, name, into);
        count("maxBodyBytes", &mut parsed.max_body_bytes);
        count_from(0, "maxOpenJobs", &mut parsed.max_open_jobs);
        count_from(0, "maxWatchers", &mut parsed.max_watchers);
        count("maxConnections", &mut parsed.max_connections);
        count("history", &mut parsed.history);
        count("keepOver", &mut parsed.keep_over);
        let time = |name, into: &mut f64| {
            if let Some(seconds) = section.get(name).and_then(|i| i.millis(MAX_SETTING_S * 1e3)) {
                *into = seconds;
            }
        };
        time("keepOverMs", &mut parsed.keep_over_s);
        time("bookmarkMs", &mut parsed.bookmark_s);
        time("slowWatcherMs", &mut parsed.slow_watcher_s);
        if let Some(item) = section.get("listen") {
            let address = item.text().map(|text| (text, text.parse::<std::net::SocketAddr>()));
            match address {
                Some((text, Ok(address))) if address.ip().is_loopback() => parsed.listen = text.into(),
                Some((_, Ok(_))) => item.breaks("is not a loopback address", LOOPBACK),
                Some((text, Err(_))) => {
                    item.fault(format!("{text:?} is no address; ADDRESS:PORT is expected"))
                }
                None => {}
            }
        }
        for item in section.get("fleet").and_then(|i| i.list()).unwrap_or_default() {
            let Some(url) = item.text() else { continue };
            match client::loopback(url) {
                Ok(_) => parsed.fleet.push(url.into()),
                Err(why) => item.breaks(why, LOOPBACK),
            }
        }
        let own_url = section.get("ownUrl");
        if let Some(url) = own_url.as_ref().and_then(|i| i.text()) {
            parsed.own_url = url.into();
        }
        if !parsed.fleet.is_empty() && !parsed.fleet.contains(&parsed.own_url) {
            own_url.unwrap_or_else(|| item.clone()).fault("must be one of the fleet's planners (ownUrl)");
        }
        section.close(|_| None);
        (item.sink().count() == before).then_some(parsed)
    }
}

/// State that all requests share.
struct Api {
    hub: Arc<Hub>,
    options: Options,
    key_owners: KeyOwners,
    watchers: Arc<Semaphore>,
    /// Identifies this run of the program in resource versions; versions of another run are gone.
    epoch: u64,
}

impl Api {
    fn version(&self, version: u64) -> String {
        format!("{:x}-{version}", self.epoch)
    }
}

/// Serves HTTP for as long as the program runs.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener, options: Options) {
    let epoch = (hub.now() * 1e3) as u64;
    let connection_permits = Arc::new(Semaphore::new(options.max_connections));
    let key_owners = KeyOwners::new(&options.fleet);
    let watchers = Arc::new(Semaphore::new(options.max_watchers));
    let api = Arc::new(Api { hub, options, key_owners, watchers, epoch });
    let app = Router::new()
        .route("/healthz", get(health))
        .route("/v1/jobs", get(list_jobs).post(jobs::submit))
        .route("/v1/jobs/{id}", get(jobs::get).delete(jobs::cancel))
        .route("/v1/groups", get(list_groups).post(groups::submit))
        .route("/v1/groups/{id}", get(groups::get).delete(groups::cancel))
        .route("/v1/limits", get(limits::get))
        .route("/v1/machines", get(list_machines))
        .route("/v1/machines/{name}", get(get_machine))
        .fallback(|uri: Uri| async move { Problem::unknown(&format!("there is nothing at {}", uri.path())) })
        .method_not_allowed_fallback(|| async { Problem::method() })
        .with_state(api);
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "cannot accept a connection of the REST API");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let service = TowerToHyperService::new(app.clone());
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let mut builder = http1::Builder::new();
            let builder = builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                tracing::debug!(%error, "connection of the REST API failed");
            }
            drop(permit);
        });
    }
}

async fn health(State(api): State<Arc<Api>>) -> Answer {
    if api.hub.lock().draining {
        return Err(Problem::unavailable("the planner is stopping", 1.0));
    }
    Ok(answers::json(200, &json!({"status": "ok"})))
}

async fn list_jobs(
    State(api): State<Arc<Api>>,
    query: Result<Query<watch::ListQuery>, QueryRejection>,
) -> Answer {
    watch::list(api, watch::Kind::Jobs, answers::query(query)?)
}

async fn list_groups(
    State(api): State<Arc<Api>>,
    query: Result<Query<watch::ListQuery>, QueryRejection>,
) -> Answer {
    watch::list(api, watch::Kind::Groups, answers::query(query)?)
}

async fn list_machines(
    State(api): State<Arc<Api>>,
    query: Result<Query<watch::ListQuery>, QueryRejection>,
) -> Answer {
    watch::list(api, watch::Kind::Machines, answers::query(query)?)
}

async fn get_machine(State(api): State<Arc<Api>>, Path(name): Path<String>) -> Answer {
    let view = api.hub.lock().core.machine_views().into_iter().find(|m| m.name == name);
    let view = view.ok_or_else(|| Problem::unknown(&format!("no machine is called {name:?}")))?;
    Ok(answers::json(200, &objects::machine(&api, &view)))
}

/// A body whose length is known, as opposed to the stream of a watch.
fn complete_body(text: String) -> Body {
    Body::from(text)
}
