//! One connection to a node: JSON lines in, JSON lines out. Bytes are taken in, and booked, also while it hangs.

use super::ledger::What;
use super::state::{Ask, Fate, State};
use super::Shared;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

/// Count. Lines that wait while a node is paused; a planner that sends more is cut off.
const MOST_WAITING: usize = 10_000;

pub(crate) async fn serve(shared: Arc<Shared>, stream: TcpStream, id: u64) {
    let _ = stream.set_nodelay(true);
    // Why it ended is nobody's matter: what was open on it is given up either way.
    let _ = talk(&shared, stream, id).await;
    let now = shared.clock.now();
    shared.lock().closed(now, id);
}

async fn talk(shared: &Arc<Shared>, mut stream: TcpStream, id: u64) -> io::Result<()> {
    let (out, mut queue) = unbounded_channel::<Value>();
    let mut life = shared.life.subscribe();
    life.mark_unchanged();
    let now = shared.clock.now();
    shared.lock().open(now, id, out);
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
            let mut cut = false;
            while let Some(message) = waiting.pop_front() {
                cut |= !hear(shared, id, &message);
                if cut || !shared.lock().pause(shared.clock.now()).is_zero() {
                    break;
                }
            }
            if cut {
                break Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        // A hang is looked at again; nobody tells of its end.
        let look = pause.min(Duration::from_millis(20));
        tokio::select! {
            line = lines.next_line() => match line? {
                None => {
                    // What is owed is written before the other end's close is answered.
                    while let Ok(message) = queue.try_recv() {
                        write.write_all(format!("{message}\n").as_bytes()).await?;
                    }
                    break Ok(());
                }
                Some(line) => {
                    let message: Value = serde_json::from_str(&line).map_err(io::Error::other)?;
                    arrived(shared, id, &message);
                    waiting.push_back(message);
                    if waiting.len() > MOST_WAITING {
                        break Err(io::Error::other("too much waits"));
                    }
                }
            },
            Some(message) = queue.recv(), if pause.is_zero() => {
                write.write_all(format!("{message}\n").as_bytes()).await?;
            }
            () = tokio::time::sleep(look), if !pause.is_zero() => {}
            changed = life.changed() => {
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

fn ask(id: u64, message: &Value) -> Ask {
    let meta = &message["meta"];
    let text = |value: &Value| value.as_str().map(str::to_string);
    let class = text(&meta["class"]).unwrap_or_default();
    // The class and the first segment of the path in the description stand for the program.
    let body = message["body"].as_str().unwrap_or_default();
    let segment = body.split('/').nth(1).and_then(|s| s.split([' ', '\r']).next()).unwrap_or_default();
    let program = format!("{class}/{segment}");
    Ask { job: uid(message), connection: id, class, key: text(&meta["idem"]), program }
}

/// Books an ask when its bytes have come, whatever the node then does with it; and so with what takes one back.
fn arrived(shared: &Shared, id: u64, message: &Value) {
    let now = shared.clock.now();
    let left = message["meta"]["left"].as_str().and_then(|ms| ms.parse().ok());
    let what = match message["kind"].as_str() {
        Some("launch") => {
            let Ask { class, key, .. } = ask(id, message);
            let body = message["body"].as_str().unwrap_or_default().trim_end().to_string();
            What::Ask { class, key, left_ms: left.unwrap_or_default(), body }
        }
        Some("stop") => What::Stopped,
        _ => return,
    };
    shared.lock().ledger.book(now, uid(message), id, what);
}

/// Does what a message asks for; false where the connection is to be reset.
fn hear(shared: &Arc<Shared>, id: u64, message: &Value) -> bool {
    let now = shared.clock.now();
    let job = uid(message);
    let say = |message: Value| shared.lock().say(id, message);
    let stopped = |reason: u8, note: Option<&str>| {
        let mut meta = json!({"load": load(&shared.lock())});
        if let Some(note) = note {
            meta["note"] = json!(note);
        }
        json!({"kind": "stop", "uid": format!("{job:016x}"), "meta": meta, "reason": reason})
    };
    match message["kind"].as_str() {
        Some("launch") => {
            let ask = ask(id, message);
            let fate = shared.lock().ask(now, &ask);
            let book = |what| shared.lock().ledger.book(shared.clock.now(), job, id, what);
            match fate {
                Fate::Reset => return false,
                Fate::Untold | Fate::Wait => {}
                Fate::Refuse(note) => {
                    book(What::Refused);
                    say(stopped(34, Some(note)));
                }
                Fate::Fail => {
                    book(What::Failed);
                    say(stopped(47, None));
                }
                Fate::Start { after } => start(shared.clone(), ask, after),
            }
        }
        Some("stop") => {
            let held = shared.lock().stop(job);
            if held == Some(true) {
                shared.lock().ledger.book(now, job, id, What::Cut);
            }
            let reason = if held.is_some() { 31 } else { 102 };
            say(stopped(reason, None));
        }
        Some("check") => {
            let uid = message["uid"].clone();
            say(json!({"kind": "checked", "uid": uid, "meta": {"load": load(&shared.lock())}, "reason": 1}));
        }
        _ => {}
    }
    true
}

fn load(state: &State) -> String {
    let (cores, memory, line) = state.report();
    format!("x0:{cores};x1:{memory};queue:{line}")
}

/// Starts a task, tells of it, and ends it after its life.
fn start(shared: Arc<Shared>, ask: Ask, after: Duration) {
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        let uid = format!("{:016x}", ask.job);
        let (life, next) = {
            let mut state = shared.lock();
            let (life, next) = state.started(shared.clock.now(), ask.job);
            if life.is_some() {
                let body = format!("at {}", state.plan.name);
                state.say(ask.connection, json!({"kind": "running", "uid": uid, "meta": {}, "body": body}));
            }
            (life, next)
        };
        if let Some((next, after)) = next {
            start(shared.clone(), next, after);
        }
        let Some(life) = life else { return };
        tokio::time::sleep(life).await;
        let mut state = shared.lock();
        if let Some(cause) = state.ended(shared.clock.now(), ask.job) {
            let meta = json!({"load": load(&state)});
            state.say(ask.connection, json!({"kind": "stop", "uid": uid, "meta": meta, "reason": cause}));
        }
    });
}
