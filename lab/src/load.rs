//! Load on both fronts of a planner, evenly paced, whatever the answers: every ask is booked with what came of it.

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

/// Count. Connections to the platform's front.
const OWNERS: usize = 8;
/// Between two looks of a pour, and the patience of its dials.
const TURN: Duration = Duration::from_millis(5);
/// Microseconds. The longest time that is told apart.
const LONGEST_US: u64 = 120_000_000;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Asks a second.
    pub rate: f64,
    /// For how long.
    pub span: Duration,
    /// Share of asks that come through the REST front.
    pub rest: f64,
    /// Share of keyed asks.
    pub keyed: f64,
    /// How long each waits.
    pub deadline: Duration,
    /// Services asked for, by turns.
    pub services: Vec<String>,
    /// Seed of the mix.
    pub seed: u64,
    /// Cores and memory that each asks for.
    pub room: (f64, f64),
    /// Beyond the deadline, so long an answer is waited for.
    pub patience: Duration,
    /// Ids on the platform's front follow this one; loads beside each other must not share any.
    pub ids_after: u64,
    /// So long after the last answer the releases of what stands are heard.
    pub hear_on: Duration,
}

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// It runs.
    Placed,
    /// No machine took it, or its time was up.
    Refused,
    /// A limit turned it away, or the planner was full.
    TurnedAway,
    /// It may have run.
    Failed,
    /// Nothing came, or what came could not be read.
    Unanswered,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Asks by their end.
    pub ends: BTreeMap<End, u64>,
    /// Asks.
    pub asked: u64,
    /// Second answers, which no ask may have.
    pub twice: u64,
    /// Of those turned away, how many were told when to come back.
    pub told_when: u64,
    /// When the end of a task that stood was told on the platform's front, by its id.
    pub released: Vec<(u64, Instant)>,
    /// Bytes of messages to the platform's front, and from it.
    pub bytes: (u64, u64),
    /// Microseconds until the answer of those that were placed.
    pub placed_us: Histogram<u64>,
    /// Microseconds until the answer of those that were turned away.
    pub turned_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Tally {
        // The bounds are constants that the histogram takes.
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!());
        Tally {
            ends: BTreeMap::new(),
            asked: 0,
            twice: 0,
            told_when: 0,
            released: Vec::new(),
            bytes: (0, 0),
            placed_us: histogram(),
            turned_us: histogram(),
        }
    }

    /// Asks with an end.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    /// Asks with exactly one final answer.
    pub fn answered(&self) -> u64 {
        self.asked - self.count(End::Unanswered)
    }

    fn book(&mut self, end: End, took: Duration, told_when: bool) {
        self.asked += 1;
        *self.ends.entry(end).or_default() += 1;
        let micros = (took.as_micros() as u64).clamp(1, LONGEST_US);
        match end {
            End::Placed => self.placed_us.saturating_record(micros),
            End::TurnedAway => self.turned_us.saturating_record(micros),
            _ => {}
        }
        self.told_when += u64::from(told_when && end == End::TurnedAway);
    }
}

type Shared = Arc<Mutex<Tally>>;

fn with<T>(tally: &Shared, what: impl FnOnce(&mut Tally) -> T) -> T {
    what(&mut tally.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Asks as the shape says, and waits for the last answer.
///
/// # Errors
/// If a front cannot be reached at all.
pub fn run(shape: &Shape, owners: SocketAddr, rest: Option<SocketAddr>) -> io::Result<Tally> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(ask_all(shape, owners, rest))
}

async fn ask_all(shape: &Shape, owners: SocketAddr, rest: Option<SocketAddr>) -> io::Result<Tally> {
    let tally: Shared = Arc::new(Mutex::new(Tally::new()));
    let mut links = Vec::new();
    for _ in 0..OWNERS {
        links.push(Owner::connect(owners, tally.clone()).await?);
    }
    let client = client();
    let mut rng = Pcg64Mcg::seed_from_u64(shape.seed);
    let started = tokio::time::Instant::now();
    let count = (shape.rate * shape.span.as_secs_f64()) as u64;
    let mut asked = Vec::with_capacity(count as usize);
    for number in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / shape.rate)).await;
        let keyed = rng.gen_bool(shape.keyed);
        let service_number = number as usize % shape.services.len();
        let rest = rest.filter(|_| rng.gen_bool(shape.rest));
        let ask = Ask {
            class: if keyed { "keyed" } else { "stateless" },
            key: keyed.then(|| format!("{:016x}{number:016x}", shape.seed)),
            service: shape.services[service_number].clone(),
            service_number,
            room: shape.room,
            deadline: shape.deadline,
        };
        let patience = shape.deadline + shape.patience;
        let tally = tally.clone();
        asked.push(match rest {
            Some(rest) => {
                let client = client.clone();
                tokio::spawn(async move {
                    let from = Instant::now();
                    let answer = tokio::time::timeout(patience, by_rest(&client, rest, &ask)).await;
                    let (end, told) = answer.unwrap_or((End::Unanswered, false));
                    with(&tally, |t| t.book(end, from.elapsed(), told));
                })
            }
            None => {
                let link = links[number as usize % OWNERS].clone();
                let id = shape.ids_after + number + 1;
                tokio::spawn(async move {
                    let from = Instant::now();
                    let answer = tokio::time::timeout(patience, link.ask(id, &ask)).await;
                    let (end, told) = answer.unwrap_or((End::Unanswered, false));
                    with(&tally, |t| t.book(end, from.elapsed(), told));
                })
            }
        });
    }
    for task in asked {
        let _ = task.await;
    }
    tokio::time::sleep(shape.hear_on).await;
    Ok(with(&tally, |t| t.clone()))
}

/// An ask as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id, as in the machines' ledgers.
    pub id: u64,
    /// Whether it has a key.
    pub keyed: bool,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer came, or nothing was expected any more.
    pub answered: Instant,
    /// What the answer was.
    pub end: End,
    /// Whether a time to come back was told.
    pub told_when: bool,
}

/// What a pour may be told while it goes on.
#[derive(Debug, Default)]
pub struct Tap {
    /// Asks in a thousand seconds.
    per_ks: AtomicU64,
    held: AtomicBool,
    shut: AtomicBool,
}

impl Tap {
    /// So many asks a second from now on.
    pub fn set(&self, rate: f64) {
        self.per_ks.store((rate * 1e3) as u64, Ordering::Relaxed);
    }

    /// No asks for a while, or again as many as before.
    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::Relaxed);
    }

    /// No more asks.
    pub fn shut(&self) {
        self.shut.store(true, Ordering::Relaxed);
    }
}

/// Asks at one planner, which may be killed and come back at its address, until the tap is shut; gives all asks with what
/// came of them, and the second answers that came. Of a planner that is not there nothing is asked.
///
/// # Errors
/// If the system gives no runtime.
pub fn pour(shape: &Shape, to: SocketAddr, tap: &Tap) -> io::Result<(Vec<Asked>, u64)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let tally: Shared = Arc::new(Mutex::new(Tally::new()));
        let log: Arc<Mutex<Vec<Asked>>> = Arc::default();
        let mut links: Vec<Option<Arc<Owner>>> = vec![None; OWNERS];
        let mut rng = Pcg64Mcg::seed_from_u64(shape.seed);
        let (mut credit, mut last, mut number) = (0.0, Instant::now(), 0u64);
        let mut asked: Vec<tokio::task::JoinHandle<()>> = Vec::new();
        while !tap.shut.load(Ordering::Relaxed) {
            tokio::time::sleep(TURN).await;
            let now = Instant::now();
            let held = tap.held.load(Ordering::Relaxed);
            let per_s = if held { 0.0 } else { tap.per_ks.load(Ordering::Relaxed) as f64 / 1e3 };
            // What a busy machine made late is not asked all at once.
            credit = (credit + per_s * (now - last).as_secs_f64()).min(per_s * 0.2 + 1.0);
            last = now;
            for link in &mut links {
                if link.as_ref().is_none_or(|owner| owner.closed.load(Ordering::Acquire)) {
                    let dialled = tokio::time::timeout(TURN, Owner::connect(to, tally.clone())).await;
                    *link = dialled.ok().and_then(Result::ok);
                }
            }
            while credit >= 1.0 {
                credit -= 1.0;
                number += 1;
                let Some(link) = links[number as usize % OWNERS].clone() else { continue };
                let (id, keyed) = (shape.ids_after + number, rng.gen_bool(shape.keyed));
                let service_number = number as usize % shape.services.len();
                let ask = Ask {
                    class: if keyed { "keyed" } else { "stateless" },
                    key: keyed.then(|| format!("{id:032x}")),
                    service: shape.services[service_number].clone(),
                    service_number,
                    room: shape.room,
                    deadline: shape.deadline,
                };
                let (patience, log) = (shape.deadline + shape.patience, log.clone());
                asked.push(tokio::spawn(async move {
                    let sent = Instant::now();
                    let answer = tokio::time::timeout(patience, link.ask(id, &ask)).await;
                    let (end, told_when) = answer.unwrap_or((End::Unanswered, false));
                    let answered = Instant::now();
                    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                    log.push(Asked { id, keyed, sent, answered, end, told_when });
                }));
            }
            asked.retain(|task| !task.is_finished());
        }
        for task in asked {
            let _ = task.await;
        }
        let log = std::mem::take(&mut *log.lock().unwrap_or_else(PoisonError::into_inner));
        Ok((log, with(&tally, |t| t.twice)))
    })
}

struct Ask {
    class: &'static str,
    key: Option<String>,
    service: String,
    /// The platform's front names services by numbers.
    service_number: usize,
    room: (f64, f64),
    deadline: Duration,
}

/// A client of the REST front.
pub type RestClient = Client<HttpConnector, Full<Bytes>>;

/// One request to the REST front: status and body, where both came whole.
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

/// A client of its own.
pub fn client() -> RestClient {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn by_rest(client: &RestClient, to: SocketAddr, ask: &Ask) -> (End, bool) {
    let body = json!({"class": ask.class, "service": ask.service, "cores": ask.room.0, "memory": ask.room.1,
        "deadlineMs": ask.deadline.as_millis() as u64, "description": "POST /run"});
    let said = call(client, "POST", to, "/v1/jobs", ask.key.as_deref(), &body).await;
    let Some((status, said)) = said else { return (End::Unanswered, false) };
    let told = said["retryAfterMs"].as_u64().is_some_and(|ms| ms > 0);
    let limited = said["type"].as_str().is_some_and(|t| t.ends_with(":limited"));
    let end = match status {
        // What was placed and is over by the time that it is looked at was placed all the same.
        200 | 201 | 409 => End::Placed,
        429 if limited => End::TurnedAway,
        429 | 504 => End::Refused,
        503 => End::TurnedAway,
        502 => End::Failed,
        _ => End::Unanswered,
    };
    (end, told)
}

type Waiting = Arc<Mutex<BTreeMap<u64, oneshot::Sender<(End, bool)>>>>;

/// A connection to the platform's front that many asks share.
struct Owner {
    write: tokio::sync::Mutex<OwnedWriteHalf>,
    waiting: Waiting,
    tally: Shared,
    closed: Arc<AtomicBool>,
}

/// A parameter of a client's message.
pub(crate) fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// A client's message with its parameters.
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
        tokio::spawn(hear(read, waiting.clone(), tally.clone(), closed.clone()));
        Ok(Arc::new(Owner { write: tokio::sync::Mutex::new(write), waiting, tally, closed }))
    }

    async fn ask(&self, id: u64, ask: &Ask) -> (End, bool) {
        let service = format!("{:016x}", ask.service_number);
        let key = ask.key.as_ref().map(|key| parameter(16, key)).unwrap_or_default();
        let parameters = [
            parameter(3, ask.class),
            parameter(4, &ask.deadline.as_millis().to_string()),
            parameter(7, &format!("{id:016x}")),
            key,
            parameter(8, &format!("cores:{};memory:{};service:{service}", ask.room.0, ask.room.1)),
            parameter(18, "POST /run"),
        ]
        .concat();
        let (told, answer) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(id, told);
        if self.closed.load(Ordering::Acquire) {
            return (End::Unanswered, false);
        }
        let bytes = message(1, id, &parameters);
        with(&self.tally, |tally| tally.bytes.0 += bytes.len() as u64);
        if self.write.lock().await.write_all(&bytes).await.is_err() {
            return (End::Unanswered, false);
        }
        answer.await.unwrap_or((End::Unanswered, false))
    }
}

/// Takes answers in: a set-up has exactly one, and a task that stood then has a release.
async fn hear(mut read: OwnedReadHalf, waiting: Waiting, tally: Shared, closed: Arc<AtomicBool>) {
    let mut placed = std::collections::BTreeSet::new();
    while let Ok(length) = read.read_u16().await {
        let mut message = vec![0; usize::from(length)];
        if read.read_exact(&mut message).await.is_err() || message.len() < 9 {
            break;
        }
        with(&tally, |tally| tally.bytes.1 += 2 + u64::from(length));
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
        let waits = waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        match (message[0], waits) {
            (9, Some(waits)) => {
                placed.insert(id);
                let _ = waits.send((End::Placed, false));
            }
            (12, Some(waits)) => {
                let end = match find(17).and_then(|cause| cause.first().copied()) {
                    Some(34 | 102) => End::Refused,
                    Some(42) => End::TurnedAway,
                    _ => End::Failed,
                };
                let away = find(9).and_then(|ms| String::from_utf8(ms).ok()?.parse::<u64>().ok());
                let _ = waits.send((end, away.is_some_and(|ms| ms > 0)));
            }
            // The release of what stood, once.
            (12, None) if placed.remove(&id) => with(&tally, |t| t.released.push((id, Instant::now()))),
            (9 | 12, None) => with(&tally, |t| t.twice += 1),
            _ => {}
        }
    }
    // Nobody answers any more: whoever waits hears of it.
    closed.store(true, Ordering::Release);
    waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
}
