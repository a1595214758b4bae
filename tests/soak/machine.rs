//! A stand-in machine that speaks the platform protocol and reacts to set-ups at random.

use crate::exchange::protocol::{kind_and_task, running, stop};
use crate::ledger::{Ledger, Seconds};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Cause of a release: the machine is full.
const FULL: u8 = 34;
/// Cause of a release: an error.
const ERROR: u8 = 47;
/// Cause of a release: the task has completed.
const COMPLETED: u8 = 16;

/// A machine's reaction to a set-up.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// The task starts after `after`, and completes `run_for` later.
    Run { after: Duration, run_for: Duration },
    /// The set-up is refused with this cause.
    Refuse(u8),
    /// The machine does not answer.
    Silence,
    /// The connection is reset.
    Reset,
    /// The connection is closed.
    Close,
}

impl Reaction {
    fn draw(rng: &mut Pcg64Mcg) -> Reaction {
        let mut ms = |range| Duration::from_millis(rng.gen_range(range));
        let (short_delay, long_delay, run_time) = (ms(0..30), ms(200..1500), ms(20..400));
        match rng.gen_range(0..100) {
            0..=59 => Reaction::Run { after: short_delay, run_for: run_time },
            60..=69 => Reaction::Refuse(FULL),
            70..=74 => Reaction::Refuse(ERROR),
            75..=86 => Reaction::Run { after: long_delay, run_for: run_time },
            87..=95 => Reaction::Silence,
            96..=97 => Reaction::Reset,
            _ => Reaction::Close,
        }
    }
}

/// One connection, shared by the threads that write to it.
struct Connection {
    stream: TcpStream,
    /// Open copies by task: the copy's index in the ledger, and whether the task runs.
    open: Mutex<BTreeMap<u64, (usize, bool)>>,
}

impl Connection {
    fn write(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }
}

/// A line, and the time at which it was complete.
struct Arrival {
    at: Seconds,
    line: Vec<u8>,
}

/// Reads lines as they arrive, until the connection ends.
fn read_lines(ledger: &Ledger, stream: TcpStream, arrivals: &Sender<Arrival>) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut line = Vec::new();
        let is_complete = lines.read_until(b'\n', &mut line).is_ok() && line.ends_with(b"\n");
        if !is_complete || arrivals.send(Arrival { at: ledger.now(), line }).is_err() {
            return;
        }
    }
}

/// A machine that listens until `end` is called.
#[derive(Clone)]
pub struct Machine {
    number: usize,
    pub address: String,
    ledger: Arc<Ledger>,
    is_ended: Arc<AtomicBool>,
    is_hung: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Machine {
    pub fn start(number: usize, ledger: Arc<Ledger>, rng: Pcg64Mcg) -> Machine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address").to_string();
        let machine = Machine {
            number,
            address,
            ledger,
            is_ended: Arc::default(),
            is_hung: Arc::default(),
            connections: Arc::default(),
        };
        let accepts = machine.clone();
        spawn(move || accepts.accept(&listener, rng));
        machine
    }

    /// Ends the machine as if its process had exited: its connections are reset, and its copies are over.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
            self.drop_all(&connection);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(&self.address);
    }

    /// Makes the machine handle no messages for a while.
    pub fn hang(&self, time: Duration) {
        let hung = self.is_hung.clone();
        hung.store(true, Ordering::SeqCst);
        spawn(move || {
            sleep(time);
            hung.store(false, Ordering::SeqCst);
        });
    }

    fn accept(&self, listener: &TcpListener, mut rng: Pcg64Mcg) {
        for stream in listener.incoming().flatten() {
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let connection = Arc::new(Connection { stream, open: Mutex::default() });
            self.connections.lock().expect("lock").push(connection.clone());
            let (machine, rng) = (self.clone(), Pcg64Mcg::new(rng.gen()));
            spawn(move || machine.serve(&connection, rng));
        }
    }

    fn serve(&self, connection: &Arc<Connection>, mut rng: Pcg64Mcg) {
        // A hanging machine still receives messages, whose arrival times count; it handles them later.
        let (sender, arrivals) = channel();
        let (ledger, stream) = (self.ledger.clone(), connection.stream.try_clone().expect("a second handle"));
        spawn(move || read_lines(&ledger, stream, &sender));
        for arrival in arrivals {
            while self.is_hung.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(2));
            }
            self.handle_line(connection, &arrival, &mut rng);
        }
        // The end of the connection cancels its open copies; running tasks continue, but their end is not
        // reported here.
        self.drop_all(connection);
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn drop_all(&self, connection: &Connection) {
        let open = std::mem::take(&mut *connection.open.lock().expect("lock"));
        open.values().for_each(|(copy, _)| self.ledger.record_end(*copy));
    }

    fn handle_line(&self, connection: &Arc<Connection>, arrival: &Arrival, rng: &mut Pcg64Mcg) {
        let line = &arrival.line[..];
        let (kind, task) = kind_and_task(line);
        match kind.as_str() {
            "launch" => self.handle_launch(connection, arrival, task, rng),
            "stop" => self.end_copy(connection, task),
            "check" => {
                let message: Value = serde_json::from_slice(line).expect("a message");
                let answer = json!({"kind": "checked", "uid": message["uid"], "meta": {}, "reason": 1});
                connection.write(format!("{answer}\n").as_bytes());
            }
            _ => {}
        }
    }

    fn end_copy(&self, connection: &Connection, task: u64) {
        if let Some((copy, _)) = connection.open.lock().expect("lock").remove(&task) {
            self.ledger.record_end(copy);
        }
    }

    fn handle_launch(&self, connection: &Arc<Connection>, arrival: &Arrival, task: u64, rng: &mut Pcg64Mcg) {
        let message: Value = serde_json::from_slice(&arrival.line).expect("a message");
        let left_ms: f64 =
            message["meta"]["left"].as_str().and_then(|left| left.parse().ok()).expect("a time");
        let copy = self.ledger.arrived(task, self.number, (arrival.at, left_ms / 1e3));
        connection.open.lock().expect("lock").insert(task, (copy, false));
        match Reaction::draw(rng) {
            Reaction::Silence => {}
            Reaction::Refuse(cause) => {
                self.end_copy(connection, task);
                connection.write(&stop(task, cause));
            }
            Reaction::Reset => {
                let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
                self.drop_all(connection);
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            Reaction::Close => {
                self.drop_all(connection);
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            Reaction::Run { after, run_for } => {
                let (machine, connection) = (self.clone(), connection.clone());
                spawn(move || machine.run(&connection, task, after, run_for));
            }
        }
    }

    fn run(&self, connection: &Connection, task: u64, after: Duration, run_for: Duration) {
        sleep(after);
        {
            let mut open = connection.open.lock().expect("lock");
            let Some((_, runs)) = open.get_mut(&task) else { return };
            *runs = true;
            connection.write(&running(task));
        }
        sleep(run_for);
        let was_open = connection.open.lock().expect("lock").contains_key(&task);
        self.end_copy(connection, task);
        if was_open {
            connection.write(&stop(task, COMPLETED));
        }
    }
}
