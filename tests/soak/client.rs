//! A client that sends requests on one connection after another, cancels some and leaves now and then.

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

/// What is sent so shortly before its connection ends unread is sent again, by the protocol.
const CROSSES: Duration = Duration::from_millis(50);
/// A reset follows the end of a connection within so long, where it does.
const RESET_WITHIN: Duration = Duration::from_millis(20);
/// Count. Requests that a client has open at the most.
const MOST_OPEN: usize = 24;

/// Where a planner listens, and which of its lives that is.
#[derive(Default)]
pub struct Place {
    pub address: Mutex<String>,
    /// Lives that ended by a SIGKILL without a SIGTERM.
    pub killed: Mutex<BTreeSet<String>>,
}

/// What clients share.
pub struct Shared {
    pub ledger: Arc<Ledger>,
    pub next_task: AtomicU64,
    /// No further request is sent.
    pub is_over: AtomicBool,
}

/// One connection and what is open on it.
struct Link {
    stream: TcpStream,
    address: String,
    bytes: Vec<u8>,
    open: BTreeMap<u64, Instant>,
}

/// How a read ended.
enum Heard {
    Some,
    Nothing,
    /// The connection is over; with a reset, what crossed its end was not read.
    End {
        is_reset: bool,
    },
}

/// Sends until the run is over, and waits for what is open.
pub fn run(shared: &Shared, place: &Place, mut draws: Pcg64Mcg) {
    while !shared.is_over.load(Ordering::SeqCst) {
        let address = place.address.lock().expect("it").clone();
        let Ok(stream) = TcpStream::connect(&address) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let link = Link { stream, address, bytes: Vec::new(), open: BTreeMap::new() };
        link.serve(shared, place, &mut draws);
    }
}

impl Link {
    fn serve(mut self, shared: &Shared, place: &Place, draws: &mut Pcg64Mcg) {
        let mut waits_until: Option<Instant> = None;
        loop {
            let pace = Duration::from_millis(draws.gen_range(3..25));
            let until = Instant::now() + pace;
            while Instant::now() < until {
                match self.hear(shared, until - Instant::now()) {
                    Heard::Some | Heard::Nothing => {}
                    Heard::End { is_reset } => return self.ended(shared, place, is_reset),
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
            match draws.gen_range(0..1000) {
                0..=5 => return self.leave(shared),
                6..=40 => self.cancel(shared),
                _ if self.open.len() < MOST_OPEN => self.send(shared, draws),
                _ => {}
            }
        }
    }

    fn send(&mut self, shared: &Shared, draws: &mut Pcg64Mcg) {
        let task = shared.next_task.fetch_add(1, Ordering::SeqCst);
        let class = ["stateless", "keyed", "once"][draws.gen_range(0..3)];
        let wait_ms = draws.gen_range(20..2000);
        shared.ledger.sends(task, f64::from(wait_ms) / 1e3);
        self.open.insert(task, Instant::now());
        let bytes = set_up(task, class, wait_ms, "x");
        // Some come in two pieces.
        let cut = if draws.gen_bool(0.1) { bytes.len() / 2 } else { bytes.len() };
        let _ = self.stream.write_all(&bytes[..cut]);
        let _ = self.stream.write_all(&bytes[cut..]);
    }

    fn cancel(&mut self, shared: &Shared) {
        let Some((task, _)) = self.open.pop_first() else { return };
        let _ = self.stream.write_all(&give_up(task));
        shared.ledger.book(task, |request, now| request.given_up_at = Some(now));
    }

    /// Closes the connection with all that is open on it.
    fn leave(self, shared: &Shared) {
        let _ = self.stream.shutdown(Shutdown::Both);
        for task in self.open.keys() {
            shared.ledger.book(*task, |request, now| request.given_up_at = Some(now));
        }
    }

    /// The planner ended the connection: what is open on it is lost, but for what it never read.
    fn ended(self, shared: &Shared, place: &Place, is_reset: bool) {
        let was_killed = place.killed.lock().expect("them").contains(&self.address);
        for (task, sent_at) in &self.open {
            let crossed = is_reset && sent_at.elapsed() < CROSSES + RESET_WITHIN;
            if was_killed || crossed {
                shared.ledger.book(*task, |request, _| request.is_excused = true);
            }
        }
    }

    fn hear(&mut self, shared: &Shared, wait: Duration) -> Heard {
        let wait = wait.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(wait)).expect("a time-out");
        let mut part = [0; 4096];
        match self.stream.read(&mut part) {
            Ok(0) => return Heard::End { is_reset: reset_follows(&self.stream) },
            Ok(count) => self.bytes.extend(&part[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Heard::Nothing
            }
            Err(_) => return Heard::End { is_reset: true },
        }
        while let Some(length) = frame_length(&self.bytes) {
            let message: Vec<u8> = self.bytes.drain(..length).collect();
            let task = u64::from_be_bytes(message[3..11].try_into().expect("eight bytes"));
            // A release of what runs is no answer.
            if matches!(message[2], ANSWER | RELEASE) && self.open.remove(&task).is_some() {
                shared.ledger.book(task, |request, now| request.answers.push(now));
            } else if message[2] == ANSWER {
                shared.ledger.book(task, |request, now| {
                    if request.given_up_at.is_none() {
                        request.answers.push(now);
                    }
                });
            }
        }
        Heard::Some
    }
}

/// Whether the end of a connection is followed by a reset: what was sent last came after the far end had closed.
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
