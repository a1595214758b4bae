//! One planner connection of a node: JSON lines in both directions. Messages are read and recorded in the
//! ledger on arrival, even while the node hangs or is paused.

use super::ledger::What;
use super::state::{Decision, Offer, State};
use super::Shared;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

/// Count. Messages that are queued while a node is paused; a connection that sends more is closed.
const MAX_QUEUED_MESSAGES: usize = 10_000;

pub(crate) async fn serve(shared: Arc<Shared>, stream: TcpStream, id: u64) {
    let _ = stream.set_nodelay(true);
    // The reason does not matter: tasks of this connection that have not started are dropped in any case.
    let _ = process_messages(&shared, stream, id).await;
    let now = shared.clock.now();
    shared.lock().connection_closed(now, id);
}

async fn process_messages(shared: &Arc<Shared>, mut stream: TcpStream, id: u64) -> io::Result<()> {
    let (out, mut queue) = unbounded_channel::<Value>();
    let mut epoch = shared.epoch.subscribe();
    epoch.mark_unchanged();
    let mut closes = shared.closes.subscribe();
    closes.mark_unchanged();
    let now = shared.clock.now();
    shared.lock().connection_opened(now, id, out);
    let mut waiting: VecDeque<Value> = VecDeque::new();
    let (read, mut write) = stream.split();
    let mut lines = BufReader::new(read).lines();
    let ended = loop {
        let pause = {
            let state = shared.lock();
            if state.hangs() {
                Duration::MAX
            } else {
                state.pause(shared.clock.now())
            }
        };
        if pause.is_zero() {
            let mut reset = false;
            while let Some(message) = waiting.pop_front() {
                reset |= !handle_message(shared, id, &message);
                if reset || !shared.lock().pause(shared.clock.now()).is_zero() {
                    break;
                }
            }
            if reset {
                break Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        // The end of a hang is not signalled, so that the state is polled.
        let poll_after = pause.min(Duration::from_millis(20));
        tokio::select! {
            line = lines.next_line() => match line? {
                None => {
                    // Queued messages are written before this end closes too.
                    while let Ok(message) = queue.try_recv() {
                        write.write_all(format!("{message}\n").as_bytes()).await?;
                    }
                    break Ok(());
                }
                Some(line) => {
                    let message: Value = serde_json::from_str(&line).map_err(io::Error::other)?;
                    record_arrival(shared, id, &message);
                    waiting.push_back(message);
                    if waiting.len() > MAX_QUEUED_MESSAGES {
                        break Err(io::Error::other("too many messages queued while the node is paused"));
                    }
                }
            },
            Some(message) = queue.recv(), if pause.is_zero() => {
                write.write_all(format!("{message}\n").as_bytes()).await?;
            }
            () = tokio::time::sleep(poll_after), if !pause.is_zero() => {}
            changed = closes.changed() => {
                if changed.is_ok() {
                    break Ok(());
                }
            }
            changed = epoch.changed() => {
                if changed.is_ok() {
                    break Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
    };
    if ended.is_err() {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    ended
}

fn uid(message: &Value) -> u64 {
    message["uid"].as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok()).unwrap_or_default()
}

fn parse_offer(id: u64, message: &Value) -> Offer {
    let meta = &message["meta"];
    let text = |value: &Value| value.as_str().map(str::to_string);
    let class = text(&meta["class"]).unwrap_or_default();
    // The program is identified by the class and the first path segment of the description.
    let body = message["body"].as_str().unwrap_or_default();
    let segment = body.split('/').nth(1).and_then(|s| s.split([' ', '\r']).next()).unwrap_or_default();
    let program = format!("{class}/{segment}");
    Offer { job: uid(message), connection: id, class, key: text(&meta["idem"]), program }
}

/// Records a launch or a stop in the ledger on arrival, whatever the node does with it later.
fn record_arrival(shared: &Shared, id: u64, message: &Value) {
    let now = shared.clock.now();
    let left = message["meta"]["left"].as_str().and_then(|ms| ms.parse().ok());
    let what = match message["kind"].as_str() {
        Some("launch") => {
            let Offer { class, key, .. } = parse_offer(id, message);
            let body = message["body"].as_str().unwrap_or_default().trim_end().to_string();
            What::Ask { class, key, left_ms: left.unwrap_or_default(), body }
        }
        Some("stop") => What::Stopped,
        _ => return,
    };
    shared.lock().ledger.record(now, uid(message), id, what);
}

/// Handles one message; returns false if the connection is to be reset.
fn handle_message(shared: &Arc<Shared>, id: u64, message: &Value) -> bool {
    let now = shared.clock.now();
    let job = uid(message);
    let send = |message: Value| shared.lock().send(id, message);
    let stopped = |reason: u8, note: Option<&str>| {
        let mut meta = json!({"load": load(&shared.lock())});
        if let Some(note) = note {
            meta["note"] = json!(note);
        }
        json!({"kind": "stop", "uid": format!("{job:016x}"), "meta": meta, "reason": reason})
    };
    match message["kind"].as_str() {
        Some("launch") => {
            let offer = parse_offer(id, message);
            let decision = shared.lock().receive(now, &offer);
            let record = |what| shared.lock().ledger.record(shared.clock.now(), job, id, what);
            match decision {
                Decision::Reset => return false,
                Decision::Unanswered | Decision::Wait => {}
                Decision::Refuse(note) => {
                    record(What::Refused);
                    send(stopped(34, Some(note)));
                }
                Decision::Fail => {
                    record(What::Failed);
                    send(stopped(47, None));
                }
                Decision::Start { after } => start(shared.clone(), offer, after),
            }
        }
        Some("stop") => {
            let ran = shared.lock().stop(job);
            if ran == Some(true) {
                shared.lock().ledger.record(now, job, id, What::Cut);
            }
            let reason = if ran.is_some() { 31 } else { 102 };
            send(stopped(reason, None));
        }
        Some("check") => {
            let uid = message["uid"].clone();
            send(json!({"kind": "checked", "uid": uid, "meta": {"load": load(&shared.lock())}, "reason": 1}));
        }
        _ => {}
    }
    true
}

fn load(state: &State) -> String {
    let (cores, memory, queued) = state.report();
    format!("x0:{cores};x1:{memory};queue:{queued}")
}

/// Starts a task after `after`, reports that it runs, and ends it after its run time.
fn start(shared: Arc<Shared>, offer: Offer, after: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        let uid = format!("{:016x}", offer.job);
        let (run_time, next) = {
            let mut state = shared.lock();
            let (run_time, next) = state.started(shared.clock.now(), offer.job);
            if run_time.is_some() {
                let body = format!("at {}", state.plan.name);
                state
                    .send(offer.connection, json!({"kind": "running", "uid": uid, "meta": {}, "body": body}));
            }
            (run_time, next)
        };
        if let Some((next, after)) = next {
            start(shared.clone(), next, after);
        }
        let Some(run_time) = run_time else { return };
        tokio::time::sleep(run_time).await;
        let mut state = shared.lock();
        if let Some(cause) = state.ended(shared.clock.now(), offer.job) {
            let meta = json!({"load": load(&state)});
            state.send(offer.connection, json!({"kind": "stop", "uid": uid, "meta": meta, "reason": cause}));
        }
    });
}
