//! Shared test support: starts the program, runs scripted exchanges against it, and records what it sends.
//!
//! A script is a text file. `#` begins a comment. The first lines set the peers up: `boxes N` (machines),
//! `board` and `board2` (discovery services), `rest OPTION...` (members of `rest` in the operators' file),
//! and `start`, which starts the program. The other lines are:
//!
//! - `PEER > BYTES` sends a message, and `PEER half BYTES` a line without its end;
//! - `PEER >` only connects, `PEER close` closes, and `PEER hush` keeps the connection open but unused;
//! - `PEER <` receives one message;
//! - `hup BOARD` has the program reload a configuration with that discovery address, and `hup -` one that
//!   cannot be parsed;
//! - `term` sends SIGTERM, and `exit` waits for the program to exit.
//!
//! Peers are `o1`… (owners), `b1`… (machines), `h1`… (HTTP clients), and `board`. Non-printable bytes are
//! written as `\xNN`. In a transcript, generated ids are replaced by `J1`…, times by `T`.
#![allow(dead_code)]

pub mod protocol;

use burlhook_lab::node::{Node, Plan};
use burlhook_lab::Clock;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

/// Ends a test that hangs; far longer than any step takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

fn unused_path(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("burlhook-test-{}-{number}-{name}", std::process::id()))
}

/// Default settings for tests: one class of each idempotency, four attempts.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "deadline_s": 1.0, "group": "all", "idempotency": effect, "importance": 1.0,
            "late_share": 0.1, "on_time_s": 0.5, "repeat_window_s": 6.0})
    };
    json!({"areas": ["hall-a"], "family_info": {"apart_by": ["silent", "silent", "silent"], "class_kind": [-1, -1, -1],
        "cold_bears": 70.0, "cores_multiple": 2.0, "free_by": "used", "mem_booking": 1.5, "memory_by_kind": [94.0],
        "prompt_start_s": [8.0, 12.0, 8.0], "says_yes": "running", "shows_free": true, "size_cores": [41],
        "spread_most": [2, 2, 2]},
        "grades": [class("stateless", "repeatable"), class("keyed", "by_key"), class("once", "once")], "kinds": ["std-48"],
        "membership_mode": "ask", "n_instances": 1, "permissions": {"max_attempts": 4, "probes": false},
        "report": {"fields": ["x0", "x1", "pending"], "source": "piggyback"},
        "rules": {"ask_every_s": 10.0, "fall_s": 2.0, "warm_within_s": 16.0}, "tick_s": 0.002, "zone": "hall-a"})
}

/// A machine's entry in the discovery service's list.
pub fn instance(name: &str, address: &str, state: &str) -> Value {
    json!({"instanceId": name, "hostPort": address, "zone": "hall-a", "machineType": "std-48", "cell": 0,
        "lifecycle": state, "weight": 1, "startedAtMs": 0, "free": [30.0, 60.0]})
}

/// A configuration with these machines, and with the discovery service at that address.
pub fn config_with(instances: &[Value], list: Option<&str>) -> Value {
    let known = json!({"rev": 1, "notices": [{"rev": 1, "pool": {"reset": true, "instances": instances}}]});
    json!({"listen": "127.0.0.1:0", "board": list, "known": known, "settings": settings()})
}

/// A running planner process, killed on drop.
pub struct Planner {
    pub child: Child,
    pub owners: String,
    pub rest: String,
    config: Value,
    path: PathBuf,
    /// The operators' file, if the planner has one.
    operators: Option<PathBuf>,
}

/// An operators' file with these members in its section `rest`; a text that begins with `{` is used as the
/// whole file.
pub fn operators_file(rest: &str) -> String {
    match rest.starts_with('{') {
        true => rest.to_string(),
        false => format!("{{rest: {{listen: \"127.0.0.1:0\", {rest}}}}}"),
    }
}

impl Planner {
    pub fn start(machines: &[String], board: Option<&str>, rest: Option<&str>) -> Planner {
        let instances: Vec<Value> =
            machines.iter().zip(1..).map(|(a, n)| instance(&format!("b{n}"), a, "in_service")).collect();
        let first = json!({"rev": 1, "pool": {"reset": true, "instances": instances}});
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed", "board": board,
            "known": {"rev": 1, "notices": [first]}, "settings": settings()});
        Planner::start_with(config, rest)
    }

    /// Starts a planner without machines and with a limit on its descriptors.
    pub fn small(sockets: u32) -> Planner {
        let limits = json!({"cores": 0.2, "memory_mb": 32, "sockets": sockets});
        let config = json!({"listen": "127.0.0.1:0", "limits": limits, "settings": settings()});
        Planner::start_with(config, None)
    }

    pub fn start_with(config: Value, rest: Option<&str>) -> Planner {
        Planner::start_in(config, rest, &[])
    }

    /// Starts a planner with these environment variables.
    pub fn start_in(config: Value, rest: Option<&str>, variables: &[(&str, String)]) -> Planner {
        let path = unused_path("config.json");
        std::fs::write(&path, config.to_string()).expect("a configuration");
        // The system enforces the descriptor limit of the configuration.
        let mut command = Command::new("/bin/sh");
        let socket_limit = config["limits"]["sockets"]
            .as_u64()
            .map_or("unlimited".into(), |socket_limit| socket_limit.to_string());
        command.args(["-c", "[ $1 = unlimited ] || ulimit -n $1; shift; exec \"$@\"", "sh", &socket_limit]);
        command
            .arg(env!("CARGO_BIN_EXE_burlhook"))
            .args(["serve", "--config"])
            .arg(&path)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped());
        let operators = rest.map(|rest| {
            let file = unused_path("operators.json5");
            std::fs::write(&file, operators_file(rest)).expect("an operators' file");
            command.arg("--operators").arg(&file);
            file
        });
        let mut child = command.spawn().expect("the planner starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let (mut owners, mut rest_address, mut seen) = (String::new(), String::new(), String::new());
        while owners.is_empty() || (rest.is_some() && rest_address.is_empty()) {
            let mut line = String::new();
            assert_ne!(log.read_line(&mut line).expect("a log line"), 0, "the planner exited: {seen}");
            let address =
                || line.trim().rsplit_once("address=").map(|(_, a)| a.to_string()).expect("an address");
            if line.contains("listening for REST") {
                rest_address = address();
            } else if line.contains("listening") {
                owners = address();
            }
            seen += &line;
        }
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Planner { child, owners, rest: rest_address, config, path, operators }
    }

    pub fn term(&self) {
        self.signal("-TERM");
    }

    /// Has the planner reload a configuration with another discovery address, or, for `None`, one that cannot
    /// be parsed.
    pub fn reload(&mut self, board: Option<&str>) {
        self.config["board"] = json!(board);
        let text = board.map_or("{".to_string(), |_| self.config.to_string());
        std::fs::write(&self.path, text).expect("a configuration");
        self.signal("-HUP");
    }

    /// Changes the configuration file for the next reload.
    pub fn rewrite(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        std::fs::write(&self.path, self.config.to_string()).expect("a configuration");
    }

    /// Has the planner reload with this text as its operators' file.
    pub fn reload_operators(&self, text: impl AsRef<[u8]>) {
        std::fs::write(self.operators.as_ref().expect("it has one"), text).expect("an operators' file");
        self.signal("-HUP");
    }

    /// Pauses the process with SIGSTOP while `meanwhile` runs, so that it finds all resulting events at once.
    pub fn paused<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = || std::fs::read_to_string(&stat).expect("its state").contains(") T ");
        while !is_stopped() {
            std::thread::yield_now();
        }
        let out = meanwhile();
        self.signal("-CONT");
        out
    }

    /// Sends a signal, named by its option of `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.path));
        let _ = self.operators.as_ref().map(std::fs::remove_file);
    }
}

/// Environment variables that load the fault injector (`shim/faults.c`): one system call in `one_in` fails,
/// and one read or write in `short_one_in` is short; 0 turns either off.
pub fn faults(seed: u64, one_in: u64, short_one_in: u64) -> Vec<(&'static str, String)> {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    let shim = SHIM.get_or_init(|| {
        let (source, library) =
            (concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faults.c"), unused_path("faults.so"));
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .arg(source)
            .arg("-ldl")
            .status();
        assert!(built.expect("a C compiler, as the linker needs one").success());
        library
    });
    vec![
        ("LD_PRELOAD", shim.display().to_string()),
        ("FAULTS_SEED", seed.to_string()),
        ("FAULTS_ONE_IN", one_in.to_string()),
        ("FAULTS_SHORT_ONE_IN", short_one_in.to_string()),
    ]
}

/// One end of a connection.
pub struct Wire {
    pub stream: TcpStream,
    bytes: Vec<u8>,
    chunked: bool,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Wire { stream, bytes: Vec::new(), chunked: false }
    }

    pub fn connect(address: &str) -> Wire {
        Wire::new(TcpStream::connect(address).expect("a connection"))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sent");
    }

    /// Reads until `until` returns a length, and takes that many bytes; `None` at the end of the connection.
    fn fill(&mut self, until: impl Fn(&[u8]) -> Option<usize>) -> Option<Vec<u8>> {
        loop {
            if let Some(length) = until(&self.bytes) {
                return Some(self.bytes.drain(..length).collect());
            }
            let mut more = [0; 4096];
            match self.stream.read(&mut more) {
                Ok(0) => return None,
                Ok(count) => self.bytes.extend(&more[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                // A read with a time-out is interrupted if this process is stopped for a moment.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => panic!("no complete message: {e}; so far {:?}", escape(&self.bytes)),
            }
        }
    }

    pub fn line(&mut self) -> Option<Vec<u8>> {
        self.fill(|b| b.iter().position(|&c| c == b'\n').map(|at| at + 1))
    }

    pub fn frame(&mut self) -> Option<Vec<u8>> {
        self.fill(frame_length)
    }

    /// Whether a complete frame has been read already.
    pub fn has_frame(&self) -> bool {
        frame_length(&self.bytes).is_some()
    }

    /// Sends an HTTP request given as `METHOD PATH KEY BODY`; key (`-` for none) and body may be absent.
    pub fn ask(&mut self, request: &str) {
        let mut parts = request.splitn(4, ' ');
        let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let key = parts
            .next()
            .filter(|k| *k != "-")
            .map(|k| format!("Idempotency-Key: {k}\r\n"))
            .unwrap_or_default();
        let body = parts.next().unwrap_or_default();
        let length = body.len();
        self.send(
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\n{key}Content-Length: {length}\r\n\r\n{body}")
                .as_bytes(),
        );
    }

    /// Reads an HTTP response, the head of a stream, or the next line of a stream.
    pub fn answer(&mut self) -> Option<String> {
        if self.chunked {
            // Each change is a line; a chunk may hold several.
            let mut line = self.line()?;
            while !line.starts_with(b"{") {
                line = self.line()?;
            }
            return Some(String::from_utf8_lossy(&line).trim_end().to_string());
        }
        let head = self.fill(|b| b.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4))?;
        let head = String::from_utf8(head).expect("text");
        let header = |name: &str| {
            let of = |l: &str| {
                l.to_ascii_lowercase().strip_prefix(name).map(|_| l[name.len()..].trim().to_string())
            };
            head.lines().find_map(of)
        };
        let mut response = head.lines().next().unwrap_or_default().replace("HTTP/1.1 ", "");
        for name in ["content-type:", "location:", "retry-after:"] {
            response += &header(name).map(|v| format!("; {name} {v}")).unwrap_or_default();
        }
        match header("content-length:").and_then(|l| l.parse::<usize>().ok()) {
            Some(length) => {
                let body = self.fill(|b| (b.len() >= length).then_some(length))?;
                Some(format!("{response}\n    {}", String::from_utf8_lossy(&body).trim_end()))
            }
            None => {
                self.chunked = true;
                Some(response)
            }
        }
    }
}

/// The length of the first frame, if it is complete.
pub fn frame_length(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(..2).map(|l| 2 + usize::from(u16::from_be_bytes([l[0], l[1]])))?;
    (length <= bytes.len()).then_some(length)
}

/// Bytes as text, with non-printable ones as `\xNN`.
pub fn escape(bytes: &[u8]) -> String {
    let one = |&b: &u8| match b {
        b'\\' => "\\\\".to_string(),
        b' '..=b'~' => (b as char).to_string(),
        _ => format!("\\x{b:02x}"),
    };
    bytes.iter().map(one).collect()
}

/// The inverse of `escape`.
pub fn unescape(text: &str) -> Vec<u8> {
    let (mut out, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&head, after)) = rest.split_first() {
        let byte;
        (byte, rest) = match (head, after) {
            (b'\\', [b'x', high, low, after @ ..]) => {
                let hex = [*high, *low];
                let hex = std::str::from_utf8(&hex).expect("hex");
                (u8::from_str_radix(hex, 16).expect("hex"), after)
            }
            (b'\\', [b'\\', after @ ..]) => (b'\\', after),
            _ => (head, after),
        };
        out.push(byte);
    }
    out
}

/// Ids and versions that the program generates, which differ from run to run; a transcript replaces them by
/// fixed names.
#[derive(Default)]
struct GeneratedIds {
    jobs: Vec<String>,
    version: String,
}

impl GeneratedIds {
    /// Replaces generated values and addresses in the text by fixed names.
    fn mask(&mut self, text: &str, addresses: &[(String, String)]) -> String {
        let mut text = text.to_string();
        for (address, name) in addresses {
            text = text.replace(address, name);
        }
        let mut out = String::new();
        let mut rest = text.as_str();
        while let Some((at, mark)) = [
            "\"id\":\"",
            "\"uid\":\"",
            "\"resourceVersion\":\"",
            "\"deadline\":\"",
            "\"left\":\"",
            "/v1/jobs/",
        ]
        .iter()
        .filter_map(|mark| rest.find(mark).map(|at| (at, *mark)))
        .min()
        {
            let (before, after) = rest.split_at(at + mark.len());
            let end = after.find(['"', '\n', ';']).unwrap_or(after.len());
            let value = &after[..end];
            out += before;
            out += &match mark {
                "\"deadline\":\"" | "\"left\":\"" => "T".to_string(),
                "\"resourceVersion\":\"" => {
                    self.version = value.to_string();
                    format!("V-{}", value.rsplit('-').next().unwrap_or_default())
                }
                _ if value.starts_with("00000000") || value.len() != 16 => value.to_string(),
                _ => {
                    let known = self.jobs.iter().position(|j| j == value);
                    let number = known.unwrap_or_else(|| {
                        self.jobs.push(value.to_string());
                        self.jobs.len() - 1
                    });
                    format!("J{}", number + 1)
                }
            };
            rest = &after[end..];
        }
        let text = out + rest;
        // The machine protocol names a REST job by its id.
        self.jobs.iter().zip(1..).fold(text, |text, (job, n)| text.replace(job, &format!("J{n}")))
    }

    fn unmask(&self, text: &str) -> String {
        let epoch = self.version.split('-').next().unwrap_or_default();
        let text = text.replace("$V", &self.version).replace("$E", epoch);
        self.jobs.iter().zip(1..).fold(text, |text, (job, n)| text.replace(&format!("$J{n}"), job))
    }
}

/// Runs a script and returns the transcript.
pub fn play(script: &str) -> String {
    let (mut transcript, mut ids) = (String::new(), GeneratedIds::default());
    let mut listeners: BTreeMap<String, TcpListener> = BTreeMap::new();
    let mut wires: BTreeMap<String, Wire> = BTreeMap::new();
    let mut hushed: Vec<Wire> = Vec::new();
    let (mut rest, mut planner): (Option<String>, Option<Planner>) = (None, None);
    let mut addresses: Vec<(String, String)> = Vec::new();
    for line in script.lines().map(str::trim_end).filter(|l| !l.is_empty()) {
        eprintln!("{line}"); // Shown only if the test fails.
        transcript += line;
        transcript.push('\n');
        let (first, after) = line.split_once(' ').unwrap_or((line, ""));
        match first {
            "#" => continue,
            "boxes" | "board" | "board2" if planner.is_none() => {
                let names: Vec<String> = match after.parse::<usize>() {
                    Ok(count) => (1..=count).map(|n| format!("b{n}")).collect(),
                    Err(_) => vec![first.to_string()],
                };
                for name in names {
                    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                    addresses
                        .push((listener.local_addr().expect("its address").to_string(), format!("@{name}")));
                    listeners.insert(name, listener);
                }
                continue;
            }
            "rest" => {
                rest = Some(after.to_string());
                continue;
            }
            "start" => {
                let address = |name: &String| listeners[name].local_addr().expect("an address").to_string();
                let machines: Vec<String> = listeners
                    .keys()
                    .filter(|n| n.starts_with('b') && !n.starts_with("board"))
                    .map(address)
                    .collect();
                let board = listeners.contains_key("board").then(|| address(&"board".to_string()));
                planner = Some(Planner::start(&machines, board.as_deref(), rest.as_deref()));
                continue;
            }
            _ => {}
        }
        let running = planner.as_mut().expect("`start` comes first");
        match first {
            "term" => running.term(),
            "hup" => {
                let board = listeners.get(after).map(|l| l.local_addr().expect("an address").to_string());
                running.reload(board.as_deref());
            }
            "exit" => transcript += &format!("  {}\n", running.child.wait().expect("it ends")),
            _ if after == "close" => drop(wires.remove(first)),
            // The connection stays open and unused; the peer's next message uses a new one.
            _ if after == "hush" => hushed.extend(wires.remove(first)),
            _ => {
                let wire = wires.entry(first.to_string()).or_insert_with(|| match listeners.get(first) {
                    Some(listener) => Wire::new(listener.accept().expect("the planner connects").0),
                    None if first.starts_with('h') => Wire::connect(&running.rest),
                    None => Wire::connect(&running.owners),
                });
                if let Some(bytes) = after.strip_prefix("half ") {
                    wire.send(&unescape(bytes));
                    continue;
                }
                if after == ">" {
                    continue; // The peer only connects.
                }
                if let Some(bytes) = after.strip_prefix("> ") {
                    let text = addresses
                        .iter()
                        .fold(ids.unmask(bytes), |t, (address, name)| t.replace(name, address));
                    match (first.starts_with('h'), first.starts_with('b')) {
                        (true, _) => wire.ask(&text),
                        (_, true) => wire.send(&[&unescape(&text)[..], b"\n"].concat()),
                        _ => wire.send(&unescape(&text)),
                    }
                    continue;
                }
                let got = match (first.starts_with('h'), first.starts_with('b')) {
                    (true, _) => wire.answer(),
                    (_, true) => wire.line().map(|l| String::from_utf8_lossy(&l).trim_end().to_string()),
                    _ => wire.frame().map(|f| escape(&f)),
                };
                let got = got.unwrap_or_else(|| "(closed)".into());
                eprintln!("  {got}");
                transcript += &format!("  {}\n", ids.mask(&got, &addresses));
            }
        }
    }
    transcript
}

/// A stand-in machine that acts by the path in a task's description, and counts the set-ups that it receives.
pub struct StandIn {
    node: Node,
    seen: std::cell::Cell<usize>,
}

impl StandIn {
    /// The number of set-ups since the last call.
    pub fn offers(&self) -> usize {
        let asks = self.node.ledger().asks();
        asks - self.seen.replace(asks)
    }
}

pub fn stand_in() -> (String, StandIn) {
    let forever = (3_600_000, 3_600_000);
    let plan = Plan { by_path: true, life_ms: forever, ..Plan::default() };
    let node = Node::start("127.0.0.1:0", plan, Clock::start()).expect("a free port");
    (node.address().to_string(), StandIn { node, seen: Default::default() })
}

/// A listener with a backlog so short that a few connections fill it, and its address.
pub fn short_backlog_listener() -> (socket2::Socket, String) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a free port");
    listener.listen(0).expect("it listens");
    let address = listener.local_addr().expect("its address").as_socket().expect("IP").to_string();
    (listener, address)
}

/// Fills the backlog of a listener, so that no further connection is established.
pub fn fill(address: &str) -> Vec<TcpStream> {
    let to = address.parse().expect("an address");
    let more = || TcpStream::connect_timeout(&to, Duration::from_millis(200)).ok();
    std::iter::from_fn(more).collect()
}
