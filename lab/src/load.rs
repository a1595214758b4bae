//! Open-loop load on both fronts of a planner: requests are evenly paced, independent of the answers, and the
//! outcome of each is recorded.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Count. Connections to the platform front.
const CONNECTIONS: usize = 8;
/// Interval at which a controlled load sends what is due, and its timeout for connecting.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Microseconds. The longest time that histograms record; longer ones count as this.
const MAX_RECORDED_US: u64 = 120_000_000;

/// The shape of a load.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub span: Duration,
    /// Share of requests that use the REST front.
    pub rest: f64,
    /// Share of requests with an idempotency key.
    pub keyed: f64,
    /// Deadline of each job.
    pub deadline: Duration,
    /// Services that are requested in turn.
    pub services: Vec<String>,
    /// Seed of the mix.
    pub seed: u64,
    /// Cores and memory of each job.
    pub room: (f64, f64),
    /// How long to wait for an answer after the deadline.
    pub answer_wait: Duration,
    /// Job ids on the platform front start after this one; concurrent loads must not share ids.
    pub ids_after: u64,
    /// How long after the last answer releases of running tasks are still received.
    pub release_wait: Duration,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The task runs.
    Placed,
    /// No machine accepted it, or its deadline passed.
    Refused,
    /// Rejected by a limit, or because the planner was full.
    TurnedAway,
    /// It may have run.
    Failed,
    /// No answer came, or it could not be parsed.
    Unanswered,
}

/// The results of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Number of requests by outcome.
    pub ends: BTreeMap<End, u64>,
    /// Number of requests.
    pub requests: u64,
    /// Number of second final answers, which no request may have.
    pub answered_twice: u64,
    /// Number of rejected requests whose answer contains a retry time.
    pub with_retry_time: u64,
    /// Releases of running tasks on the platform front: job id and time of arrival.
    pub released: Vec<(u64, Instant)>,
    /// Bytes sent to the platform front, and received from it.
    pub bytes: (u64, u64),
    /// Microseconds to the answer of placed requests.
    pub placed_us: Histogram<u64>,
    /// Microseconds to the answer of rejected requests.
    pub turned_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Tally {
        // These constant bounds are always valid.
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).unwrap_or_else(|_| unreachable!());
        Tally {
            ends: BTreeMap::new(),
            requests: 0,
            answered_twice: 0,
            with_retry_time: 0,
            released: Vec::new(),
            bytes: (0, 0),
            placed_us: histogram(),
            turned_us: histogram(),
        }
    }

    /// Number of requests with this outcome.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    /// Number of requests that were answered.
    pub fn answered(&self) -> u64 {
        self.requests - self.count(End::Unanswered)
    }

    fn record(&mut self, end: End, took: Duration, with_retry_time: bool) {
        self.requests += 1;
        *self.ends.entry(end).or_default() += 1;
        let micros = (took.as_micros() as u64).clamp(1, MAX_RECORDED_US);
        match end {
            End::Placed => self.placed_us.saturating_record(micros),
            End::TurnedAway => self.turned_us.saturating_record(micros),
            _ => {}
        }
        self.with_retry_time += u64::from(with_retry_time && end == End::TurnedAway);
    }
}

type Shared = Arc<Mutex<Tally>>;

fn with_tally<T>(tally: &Shared, what: impl FnOnce(&mut Tally) -> T) -> T {
    what(&mut tally.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Runs a load of this shape and waits for the last answer.
///
/// # Errors
/// If the platform front cannot be reached.
pub fn run(shape: &Shape, owners: SocketAddr, rest: Option<SocketAddr>) -> io::Result<Tally> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(send_all(shape, owners, rest))
}

async fn send_all(shape: &Shape, owners: SocketAddr, rest: Option<SocketAddr>) -> io::Result<Tally> {
    let tally: Shared = Arc::new(Mutex::new(Tally::new()));
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Owner::connect(owners, tally.clone()).await?);
    }
    let client = client();
    let mut rng = Pcg64Mcg::seed_from_u64(shape.seed);
    let started = tokio::time::Instant::now();
    let count = (shape.rate * shape.span.as_secs_f64()) as u64;
    let mut requests = Vec::with_capacity(count as usize);
    for number in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / shape.rate)).await;
        let keyed = rng.gen_bool(shape.keyed);
        let service_number = number as usize % shape.services.len();
        let rest = rest.filter(|_| rng.gen_bool(shape.rest));
        let request = JobRequest {
            class: if keyed { "keyed" } else { "stateless" },
            key: keyed.then(|| format!("{:016x}{number:016x}", shape.seed)),
            service: shape.services[service_number].clone(),
            service_number,
            room: shape.room,
            deadline: shape.deadline,
        };
        let answer_wait = shape.deadline + shape.answer_wait;
        let tally = tally.clone();
        requests.push(match rest {
            Some(rest) => {
                let client = client.clone();
                tokio::spawn(async move {
                    let from = Instant::now();
                    let answer =
                        tokio::time::timeout(answer_wait, request_by_rest(&client, rest, &request)).await;
                    let (end, with_retry_time) = answer.unwrap_or((End::Unanswered, false));
                    with_tally(&tally, |t| t.record(end, from.elapsed(), with_retry_time));
                })
            }
            None => {
                let connection = connections[number as usize % CONNECTIONS].clone();
                let id = shape.ids_after + number + 1;
                tokio::spawn(async move {
                    let from = Instant::now();
                    let answer = tokio::time::timeout(answer_wait, connection.request(id, &request)).await;
                    let (end, with_retry_time) = answer.unwrap_or((End::Unanswered, false));
                    with_tally(&tally, |t| t.record(end, from.elapsed(), with_retry_time));
                })
            }
        });
    }
    for task in requests {
        let _ = task.await;
    }
    tokio::time::sleep(shape.release_wait).await;
    Ok(with_tally(&tally, |t| t.clone()))
}

/// A request as its client recorded it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The job id, as in the machines' ledgers.
    pub id: u64,
    /// Whether it has an idempotency key.
    pub keyed: bool,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came, or the wait for it timed out.
    pub answered: Instant,
    /// The outcome.
    pub end: End,
    /// Whether the answer contains a retry time.
    pub with_retry_time: bool,
}

/// Changes the rate of a load while it runs.
#[derive(Debug, Default)]
pub struct LoadControl {
    /// Requests per 1,000 seconds.
    per_ks: AtomicU64,
    paused: AtomicBool,
    stopped: AtomicBool,
}

impl LoadControl {
    /// Sets the rate in requests per second.
    pub fn set(&self, rate: f64) {
        self.per_ks.store((rate * 1e3) as u64, Ordering::Relaxed);
    }

    /// Pauses the load, or resumes it at the rate set.
    pub fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    /// Ends the load.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends requests to one planner until `control` ends the load. The planner may be killed and restarted at
/// the same address; while it cannot be reached, nothing is sent. Returns all requests with their outcomes,
/// and the number of second final answers.
///
/// # Errors
/// If the async runtime cannot be created.
pub fn run_controlled(
    shape: &Shape,
    to: SocketAddr,
    control: &LoadControl,
) -> io::Result<(Vec<RequestRecord>, u64)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let tally: Shared = Arc::new(Mutex::new(Tally::new()));
        let log: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
        let mut connections: Vec<Option<Arc<Owner>>> = vec![None; CONNECTIONS];
        let mut rng = Pcg64Mcg::seed_from_u64(shape.seed);
        let (mut credit, mut last, mut number) = (0.0, Instant::now(), 0u64);
        let mut requests: Vec<tokio::task::JoinHandle<()>> = Vec::new();
        while !control.stopped.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = Instant::now();
            let paused = control.paused.load(Ordering::Relaxed);
            let per_s = if paused { 0.0 } else { control.per_ks.load(Ordering::Relaxed) as f64 / 1e3 };
            // Limits the burst after a delay by a busy machine.
            credit = (credit + per_s * (now - last).as_secs_f64()).min(per_s * 0.2 + 1.0);
            last = now;
            for connection in &mut connections {
                if connection.as_ref().is_none_or(|owner| owner.closed.load(Ordering::Acquire)) {
                    let dialled =
                        tokio::time::timeout(POLL_INTERVAL, Owner::connect(to, tally.clone())).await;
                    *connection = dialled.ok().and_then(Result::ok);
                }
            }
            while credit >= 1.0 {
                credit -= 1.0;
                number += 1;
                let Some(connection) = connections[number as usize % CONNECTIONS].clone() else { continue };
                let (id, keyed) = (shape.ids_after + number, rng.gen_bool(shape.keyed));
                let service_number = number as usize % shape.services.len();
                let request = JobRequest {
                    class: if keyed { "keyed" } else { "stateless" },
                    key: keyed.then(|| format!("{id:032x}")),
                    service: shape.services[service_number].clone(),
                    service_number,
                    room: shape.room,
                    deadline: shape.deadline,
                };
                let (answer_wait, log) = (shape.deadline + shape.answer_wait, log.clone());
                requests.push(tokio::spawn(async move {
                    let sent = Instant::now();
                    let answer = tokio::time::timeout(answer_wait, connection.request(id, &request)).await;
                    let (end, with_retry_time) = answer.unwrap_or((End::Unanswered, false));
                    let answered = Instant::now();
                    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                    log.push(RequestRecord { id, keyed, sent, answered, end, with_retry_time });
                }));
            }
            requests.retain(|task| !task.is_finished());
        }
        for task in requests {
            let _ = task.await;
        }
        let log = std::mem::take(&mut *log.lock().unwrap_or_else(PoisonError::into_inner));
        Ok((log, with_tally(&tally, |t| t.answered_twice)))
    })
}

struct JobRequest {
    class: &'static str,
    key: Option<String>,
    service: String,
    /// The platform front identifies services by number.
    service_number: usize,
    room: (f64, f64),
    deadline: Duration,
}

/// An HTTP client for the REST front.
pub type RestClient = Client<HttpConnector, Full<Bytes>>;

/// One request to the REST front: returns status and body, or `None` without a complete JSON answer.
pub async fn call(
    client: &RestClient,
    method: &str,
    to: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &Value,
) -> Option<(u16, Value)> {
    let mut request = hyper::Request::builder().method(method).uri(format!("http://{to}{path}"));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(body.to_string()))).ok()?;
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, serde_json::from_slice(&body.to_bytes()).ok()?))
}

/// A new HTTP client.
pub fn client() -> RestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn request_by_rest(client: &RestClient, to: SocketAddr, request: &JobRequest) -> (End, bool) {
    let body = json!({"class": request.class, "service": request.service, "cores": request.room.0,
        "memory": request.room.1, "deadlineMs": request.deadline.as_millis() as u64, "description": "POST /run"});
    let answer = call(client, "POST", to, "/v1/jobs", request.key.as_deref(), &body).await;
    let Some((status, answer)) = answer else { return (End::Unanswered, false) };
    let with_retry_time = answer["retryAfterMs"].as_u64().is_some_and(|ms| ms > 0);
    let limited = answer["type"].as_str().is_some_and(|t| t.ends_with(":limited"));
    let end = match status {
        // 409: the job was placed and has already ended when its status is read.
        200 | 201 | 409 => End::Placed,
        429 if limited => End::TurnedAway,
        429 | 504 => End::Refused,
        503 => End::TurnedAway,
        502 => End::Failed,
        _ => End::Unanswered,
    };
    (end, with_retry_time)
}

type Waiting = Arc<Mutex<BTreeMap<u64, oneshot::Sender<(End, bool)>>>>;

/// A connection to the platform front that many requests share.
struct Owner {
    write: tokio::sync::Mutex<OwnedWriteHalf>,
    waiting: Waiting,
    tally: Shared,
    closed: Arc<AtomicBool>,
}

/// Encodes a parameter of a client message.
pub(crate) fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// Encodes a client message with its parameters.
pub(crate) fn message(kind: u8, id: u64, parameters: &[u8]) -> Vec<u8> {
    let message = [&[kind][..], &id.to_be_bytes(), parameters].concat();
    [&(message.len() as u16).to_be_bytes()[..], &message].concat()
}

impl Owner {
    async fn connect(to: SocketAddr, tally: Shared) -> io::Result<Arc<Owner>> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let waiting: Waiting = Arc::default();
        let closed = Arc::new(AtomicBool::new(false));
        tokio::spawn(read_answers(read, waiting.clone(), tally.clone(), closed.clone()));
        Ok(Arc::new(Owner { write: tokio::sync::Mutex::new(write), waiting, tally, closed }))
    }

    async fn request(&self, id: u64, request: &JobRequest) -> (End, bool) {
        let service = format!("{:016x}", request.service_number);
        let key = request.key.as_ref().map(|key| parameter(16, key)).unwrap_or_default();
        let parameters = [
            parameter(3, request.class),
            parameter(4, &request.deadline.as_millis().to_string()),
            parameter(7, &format!("{id:016x}")),
            key,
            parameter(8, &format!("cores:{};memory:{};service:{service}", request.room.0, request.room.1)),
            parameter(18, "POST /run"),
        ]
        .concat();
        let (answer_sender, answer) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(id, answer_sender);
        if self.closed.load(Ordering::Acquire) {
            return (End::Unanswered, false);
        }
        let bytes = message(1, id, &parameters);
        with_tally(&self.tally, |tally| tally.bytes.0 += bytes.len() as u64);
        if self.write.lock().await.write_all(&bytes).await.is_err() {
            return (End::Unanswered, false);
        }
        answer.await.unwrap_or((End::Unanswered, false))
    }
}

/// Reads answers: each request has exactly one, and a placed task has one release after it.
async fn read_answers(mut read: OwnedReadHalf, waiting: Waiting, tally: Shared, closed: Arc<AtomicBool>) {
    let mut placed = std::collections::BTreeSet::new();
    while let Ok(length) = read.read_u16().await {
        let mut message = vec![0; usize::from(length)];
        if read.read_exact(&mut message).await.is_err() || message.len() < 9 {
            break;
        }
        with_tally(&tally, |tally| tally.bytes.1 += 2 + u64::from(length));
        let mut id = [0; 8];
        id.copy_from_slice(&message[1..9]);
        let id = u64::from_be_bytes(id);
        let find = |wanted: u8| {
            let mut rest = &message[9..];
            while let [code, high, low, after @ ..] = rest {
                let size = usize::from(u16::from_be_bytes([*high, *low])).min(after.len());
                if *code == wanted {
                    return Some(after[..size].to_vec());
                }
                rest = &after[size..];
            }
            None
        };
        let answer_sender = waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        match (message[0], answer_sender) {
            (9, Some(answer_sender)) => {
                placed.insert(id);
                let _ = answer_sender.send((End::Placed, false));
            }
            (12, Some(answer_sender)) => {
                let end = match find(17).and_then(|cause| cause.first().copied()) {
                    Some(34 | 102) => End::Refused,
                    Some(42) => End::TurnedAway,
                    _ => End::Failed,
                };
                let retry_after = find(9).and_then(|ms| String::from_utf8(ms).ok()?.parse::<u64>().ok());
                let _ = answer_sender.send((end, retry_after.is_some_and(|ms| ms > 0)));
            }
            // The one release of a placed task.
            (12, None) if placed.remove(&id) => with_tally(&tally, |t| t.released.push((id, Instant::now()))),
            (9 | 12, None) => with_tally(&tally, |t| t.answered_twice += 1),
            _ => {}
        }
    }
    // No more answers will come: wakes all requests that wait for one.
    closed.store(true, Ordering::Release);
    waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
}
