//! A stand-in for a machine, by the platform's protocol: most of what it does is drawn.

use crate::exchange::protocol::{running, stop, told};
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
/// Cause of a release: the task came to its end.
const OVER: u8 = 16;

/// What a machine does with a set-up.
#[derive(Clone, Copy, Debug)]
enum Deed {
    /// The task runs after a while, and ends after another.
    Run { after: Duration, for_: Duration },
    /// It is not taken.
    Turn(u8),
    /// Nothing is said.
    Silence,
    /// The connection is reset.
    Reset,
    /// The connection is closed.
    Close,
}

impl Deed {
    fn draw(draws: &mut Pcg64Mcg) -> Deed {
        let mut ms = |range| Duration::from_millis(draws.gen_range(range));
        let (quick, slow, life) = (ms(0..30), ms(200..1500), ms(20..400));
        match draws.gen_range(0..100) {
            0..=59 => Deed::Run { after: quick, for_: life },
            60..=69 => Deed::Turn(FULL),
            70..=74 => Deed::Turn(ERROR),
            75..=86 => Deed::Run { after: slow, for_: life },
            87..=95 => Deed::Silence,
            96..=97 => Deed::Reset,
            _ => Deed::Close,
        }
    }
}

/// One connection, shared by those who write on it.
struct Connection {
    stream: TcpStream,
    /// Copies that are out, by task; true once the task runs.
    out: Mutex<BTreeMap<u64, (usize, bool)>>,
}

impl Connection {
    fn say(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }
}

/// A line, and when it had come whole.
struct Arrival {
    at: Seconds,
    line: Vec<u8>,
}

/// Reads lines as they come, until the connection ends.
fn read_lines(ledger: &Ledger, stream: TcpStream, arrivals: &Sender<Arrival>) {
    let mut lines = BufReader::new(stream);
    loop {
        let mut line = Vec::new();
        let is_whole = lines.read_until(b'\n', &mut line).is_ok() && line.ends_with(b"\n");
        if !is_whole || arrivals.send(Arrival { at: ledger.now(), line }).is_err() {
            return;
        }
    }
}

/// A machine that listens until it is ended.
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
    pub fn start(number: usize, ledger: Arc<Ledger>, draws: Pcg64Mcg) -> Machine {
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
        spawn(move || accepts.accept(&listener, draws));
        machine
    }

    /// Its process ends: its connections are reset, and what it held is over.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("them").drain(..) {
            let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
            self.drop_all(&connection);
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(&self.address);
    }

    /// It reads nothing for a while.
    pub fn hang(&self, time: Duration) {
        let hung = self.is_hung.clone();
        hung.store(true, Ordering::SeqCst);
        spawn(move || {
            sleep(time);
            hung.store(false, Ordering::SeqCst);
        });
    }

    fn accept(&self, listener: &TcpListener, mut draws: Pcg64Mcg) {
        for stream in listener.incoming().flatten() {
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let connection = Arc::new(Connection { stream, out: Mutex::default() });
            self.connections.lock().expect("them").push(connection.clone());
            let (machine, draws) = (self.clone(), Pcg64Mcg::new(draws.gen()));
            spawn(move || machine.serve(&connection, draws));
        }
    }

    fn serve(&self, connection: &Arc<Connection>, mut draws: Pcg64Mcg) {
        // What comes to a machine that hangs has come; it acts on it later.
        let (sender, arrivals) = channel();
        let (ledger, stream) = (self.ledger.clone(), connection.stream.try_clone().expect("a second handle"));
        spawn(move || read_lines(&ledger, stream, &sender));
        for arrival in arrivals {
            while self.is_hung.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(2));
            }
            self.hear(connection, &arrival, &mut draws);
        }
        // What was open on it is given up; what runs goes on to its end, of which nobody hears here.
        self.drop_all(connection);
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn drop_all(&self, connection: &Connection) {
        let out = std::mem::take(&mut *connection.out.lock().expect("them"));
        out.values().for_each(|(copy, _)| self.ledger.over(*copy));
    }

    fn hear(&self, connection: &Arc<Connection>, arrival: &Arrival, draws: &mut Pcg64Mcg) {
        let line = &arrival.line[..];
        let (kind, task) = told(line);
        match kind.as_str() {
            "launch" => self.take(connection, arrival, task, draws),
            "stop" => self.is_over(connection, task),
            "check" => {
                let said: Value = serde_json::from_slice(line).expect("a message");
                let answer = json!({"kind": "checked", "uid": said["uid"], "meta": {}, "reason": 1});
                connection.say(format!("{answer}\n").as_bytes());
            }
            _ => {}
        }
    }

    fn is_over(&self, connection: &Connection, task: u64) {
        if let Some((copy, _)) = connection.out.lock().expect("them").remove(&task) {
            self.ledger.over(copy);
        }
    }

    fn take(&self, connection: &Arc<Connection>, arrival: &Arrival, task: u64, draws: &mut Pcg64Mcg) {
        let said: Value = serde_json::from_slice(&arrival.line).expect("a message");
        let left_ms: f64 = said["meta"]["left"].as_str().and_then(|left| left.parse().ok()).expect("a time");
        let copy = self.ledger.arrived(task, self.number, (arrival.at, left_ms / 1e3));
        connection.out.lock().expect("them").insert(task, (copy, false));
        match Deed::draw(draws) {
            Deed::Silence => {}
            Deed::Turn(cause) => {
                self.is_over(connection, task);
                connection.say(&stop(task, cause));
            }
            Deed::Reset => {
                let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
                self.drop_all(connection);
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            Deed::Close => {
                self.drop_all(connection);
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            Deed::Run { after, for_ } => {
                let (machine, connection) = (self.clone(), connection.clone());
                spawn(move || machine.run(&connection, task, after, for_));
            }
        }
    }

    fn run(&self, connection: &Connection, task: u64, after: Duration, for_: Duration) {
        sleep(after);
        {
            let mut out = connection.out.lock().expect("them");
            let Some((_, runs)) = out.get_mut(&task) else { return };
            *runs = true;
            connection.say(&running(task));
        }
        sleep(for_);
        let was_out = connection.out.lock().expect("them").contains_key(&task);
        self.is_over(connection, task);
        if was_out {
            connection.say(&stop(task, OVER));
        }
    }
}
