//! A client that sends requests on one connection after another, cancels some of them and sometimes
//! disconnects.

use crate::exchange::frame_length;
use crate::exchange::protocol::{give_up, set_up, ANSWER, RELEASE};
use crate::ledger::Ledger;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// By the protocol, a client repeats a request that it sent so shortly before the connection ended and that
/// was not read.
const UNREAD_WITHIN: Duration = Duration::from_millis(50);
/// The time within which a reset follows the end of a connection, if at all.
const RESET_WITHIN: Duration = Duration::from_millis(20);
/// Maximum number of open requests of a client.
const MAX_OPEN: usize = 24;

/// The current address of a planner, which changes with each restart of its process.
#[derive(Default)]
pub struct PlannerSlot {
    pub address: Mutex<String>,
    /// Addresses of processes that were ended by SIGKILL without a SIGTERM.
    pub killed: Mutex<BTreeSet<String>>,
}

/// State that all clients share.
pub struct Shared {
    pub ledger: Arc<Ledger>,
    pub next_task: AtomicU64,
    /// The run is over: no further request is sent.
    pub is_over: AtomicBool,
}

/// One connection and its open requests.
struct Link {
    stream: TcpStream,
    address: String,
    bytes: Vec<u8>,
    open: BTreeMap<u64, Instant>,
}

/// The result of a read.
enum ReadOutcome {
    Some,
    Nothing,
    /// The connection has ended. If by a reset, the planner has not read the last requests.
    End {
        is_reset: bool,
    },
}

/// Sends requests until the run is over, then waits for the open ones.
pub fn run(shared: &Shared, slot: &PlannerSlot, mut rng: Pcg64Mcg) {
    while !shared.is_over.load(Ordering::SeqCst) {
        let address = slot.address.lock().expect("lock").clone();
        let Ok(stream) = TcpStream::connect(&address) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let link = Link { stream, address, bytes: Vec::new(), open: BTreeMap::new() };
        link.serve(shared, slot, &mut rng);
    }
}

impl Link {
    fn serve(mut self, shared: &Shared, slot: &PlannerSlot, rng: &mut Pcg64Mcg) {
        let mut waits_until: Option<Instant> = None;
        loop {
            let interval = Duration::from_millis(rng.gen_range(3..25));
            let until = Instant::now() + interval;
            while Instant::now() < until {
                match self.read_messages(shared, until - Instant::now()) {
                    ReadOutcome::Some | ReadOutcome::Nothing => {}
                    ReadOutcome::End { is_reset } => return self.ended(shared, slot, is_reset),
                }
            }
            let is_over = shared.is_over.load(Ordering::SeqCst);
            if is_over {
                let last = *waits_until.get_or_insert_with(|| Instant::now() + Duration::from_secs(4));
                if self.open.is_empty() || Instant::now() > last {
                    return;
                }
                continue;
            }
            match rng.gen_range(0..1000) {
                0..=5 => return self.leave(shared),
                6..=40 => self.cancel(shared),
                _ if self.open.len() < MAX_OPEN => self.send(shared, rng),
                _ => {}
            }
        }
    }

    fn send(&mut self, shared: &Shared, rng: &mut Pcg64Mcg) {
        let task = shared.next_task.fetch_add(1, Ordering::SeqCst);
        let class = ["stateless", "keyed", "once"][rng.gen_range(0..3)];
        let wait_ms = rng.gen_range(20..2000);
        shared.ledger.request_sent(task, f64::from(wait_ms) / 1e3);
        self.open.insert(task, Instant::now());
        let bytes = set_up(task, class, wait_ms, "x");
        // Some requests are sent in two segments.
        let cut = if rng.gen_bool(0.1) { bytes.len() / 2 } else { bytes.len() };
        let _ = self.stream.write_all(&bytes[..cut]);
        let _ = self.stream.write_all(&bytes[cut..]);
    }

    fn cancel(&mut self, shared: &Shared) {
        let Some((task, _)) = self.open.pop_first() else { return };
        let _ = self.stream.write_all(&give_up(task));
        shared.ledger.update_request(task, |request, now| request.cancelled_at = Some(now));
    }

    /// Closes the connection and so cancels its open requests.
    fn leave(self, shared: &Shared) {
        let _ = self.stream.shutdown(Shutdown::Both);
        for task in self.open.keys() {
            shared.ledger.update_request(*task, |request, now| request.cancelled_at = Some(now));
        }
    }

    /// Handles the end of the connection by the planner: open requests count as lost, unless the planner was
    /// killed or did not read them.
    fn ended(self, shared: &Shared, slot: &PlannerSlot, is_reset: bool) {
        let was_killed = slot.killed.lock().expect("lock").contains(&self.address);
        for (task, sent_at) in &self.open {
            let was_unread = is_reset && sent_at.elapsed() < UNREAD_WITHIN + RESET_WITHIN;
            if was_killed || was_unread {
                shared.ledger.update_request(*task, |request, _| request.is_excused = true);
            }
        }
    }

    fn read_messages(&mut self, shared: &Shared, wait: Duration) -> ReadOutcome {
        let wait = wait.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(wait)).expect("a time-out");
        let mut part = [0; 4096];
        match self.stream.read(&mut part) {
            Ok(0) => return ReadOutcome::End { is_reset: reset_follows(&self.stream) },
            Ok(count) => self.bytes.extend(&part[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return ReadOutcome::Nothing
            }
            Err(_) => return ReadOutcome::End { is_reset: true },
        }
        while let Some(length) = frame_length(&self.bytes) {
            let message: Vec<u8> = self.bytes.drain(..length).collect();
            let task = u64::from_be_bytes(message[3..11].try_into().expect("eight bytes"));
            // A release of a running task is not an answer.
            if matches!(message[2], ANSWER | RELEASE) && self.open.remove(&task).is_some() {
                shared.ledger.update_request(task, |request, now| request.answers.push(now));
            } else if message[2] == ANSWER {
                shared.ledger.update_request(task, |request, now| {
                    if request.cancelled_at.is_none() {
                        request.answers.push(now);
                    }
                });
            }
        }
        ReadOutcome::Some
    }
}

/// Whether a reset follows the end of a connection, which shows that the last bytes arrived after the peer
/// had closed.
fn reset_follows(stream: &TcpStream) -> bool {
    let since = Instant::now();
    while since.elapsed() < RESET_WITHIN {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    false
}
