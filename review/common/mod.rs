//! Shared parts of the review cases: the record, a small JSON reader, stand-ins for the notice board, the boxes
//! and the owners of tasks, and the planner as a separate process. Standard library only.
//!
//! The stand-ins follow the protocol page. Where it is silent they behave like a sound peer.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ends the process after this time, whatever happens.
pub const MOST_S: u64 = 115;

/// The record of what was sent, answered and run; each line begins with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3}  {}", text.as_ref());
        now
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the script runs with the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Random bits that differ between runs; only for ids.
pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let mut x = nanos ^ (COUNT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    for _ in 0..3 {
        x ^= x >> 30;
        x = x.wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x ^= x >> 27;
        x = x.wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^= x >> 31;
    }
    x | 1
}

// ---- JSON -------------------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Json::value(text, &mut at)?;
        Json::space(text, &mut at);
        (at == text.len()).then_some(value)
    }

    fn space(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Json::space(text, at);
        match *text.get(*at)? {
            b'{' => {
                let mut object = BTreeMap::new();
                *at += 1;
                loop {
                    Json::space(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(object));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Json::value(text, at)? else { return None };
                            Json::space(text, at);
                            if *text.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            object.insert(name, Json::value(text, at)?);
                        }
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Json::space(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Json::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(out).ok()?));
                        }
                        b'\\' => {
                            let escape = *text.get(*at + 1)?;
                            *at += 2;
                            match escape {
                                b'n' => out.push(b'\n'),
                                b'r' => out.push(b'\r'),
                                b't' => out.push(b'\t'),
                                b'b' => out.push(8),
                                b'f' => out.push(12),
                                b'u' => {
                                    let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                                    out.extend(c.to_string().into_bytes());
                                    *at += 4;
                                }
                                other => out.push(other),
                            }
                        }
                        byte => {
                            out.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|b| !b",]} \t\r\n".contains(b)) {
                    *at += 1;
                }
                match &text[from..*at] {
                    b"null" => Some(Json::Null),
                    b"true" => Some(Json::Bool(true)),
                    b"false" => Some(Json::Bool(false)),
                    number => std::str::from_utf8(number).ok()?.parse().ok().map(Json::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(object) => object.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

// ---- boxes ------------------------------------------------------------------------------------------------

/// What a box does with a set-up that has come whole.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Milliseconds until it runs.
    pub start_ms: u64,
    /// Milliseconds for which it then runs.
    pub life_ms: u64,
}

/// The life of one set-up at a box, as the box knows it. Times are seconds since the start.
#[derive(Clone, Debug)]
pub struct Run {
    pub uid: String,
    pub machine: String,
    pub idem: Option<String>,
    pub came: f64,
    pub runs: Option<f64>,
    /// The end of what ran, or of what was given up before it ran.
    pub over: Option<f64>,
    pub how: &'static str,
    /// When its release was first written to some connection.
    pub released: Option<f64>,
}

struct BoxState {
    conns: BTreeMap<u64, TcpStream>,
    /// What could not be written while the box was cut off, with its connection.
    held: Vec<(u64, String)>,
    /// Index into `runs` and the connection of the set-up, by id; until the end.
    live: HashMap<String, (usize, u64)>,
    /// Releases that are sent on the next connection that is opened at a door, with the run that they are about.
    owed: Vec<(usize, usize, String)>,
    runs: Vec<Run>,
}

pub struct Machine {
    pub name: String,
    /// One address for each planner; a box tells planners apart by the address that they reach it at.
    pub doors: Vec<SocketAddr>,
    state: Arc<Mutex<BoxState>>,
    record: Arc<Record>,
    listeners: Vec<TcpListener>,
    /// While set, nothing passes between the box and anybody else.
    cut_off: AtomicBool,
    /// Local addresses of the connections that fill the listen queue while it is cut off.
    fillers: Mutex<Vec<SocketAddr>>,
}

/// Connections of door D have the numbers from D times this on.
const DOOR: u64 = 1_000_000;

fn door_of(conn: u64) -> usize {
    (conn / DOOR) as usize
}

/// The keys of which a copy starts or stands at some box. All boxes let one copy stand and drop repeated starts.
static KEYS: Mutex<BTreeMap<String, String>> = Mutex::new(BTreeMap::new());
/// Milliseconds in which a box looks at an offer that it turns away.
const LOOK_MS: u64 = 20;

/// Forgets the key of a run that is over.
fn free_key(run: &Run) {
    let mut keys = KEYS.lock().unwrap();
    if run.idem.as_ref().is_some_and(|key| keys.get(key) == Some(&run.uid)) {
        keys.remove(run.idem.as_ref().unwrap());
    }
}

type Behaviour = dyn Fn(&Json) -> Plan + Send + Sync;

impl Machine {
    /// A box with so many doors, one for each planner.
    pub fn start(name: &str, record: &Arc<Record>, doors: usize, plan: Arc<Behaviour>) -> Arc<Machine> {
        let listeners: Vec<TcpListener> =
            (0..doors).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        listeners.iter().for_each(|l| l.set_nonblocking(true).unwrap());
        let state = BoxState {
            conns: BTreeMap::new(),
            held: vec![],
            live: HashMap::new(),
            owed: vec![],
            runs: vec![],
        };
        let machine = Arc::new(Machine {
            name: name.into(),
            doors: listeners.iter().map(|l| l.local_addr().unwrap()).collect(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            listeners,
            cut_off: AtomicBool::new(false),
            fillers: Mutex::default(),
        });
        for door in 0..doors {
            let (this, plan) = (machine.clone(), plan.clone());
            thread::spawn(move || {
                let mut conn = door as u64 * DOOR;
                loop {
                    if this.cut_off.load(Ordering::SeqCst) {
                        sleep_ms(2);
                        continue;
                    }
                    let Ok((stream, peer)) = this.listeners[door].accept() else {
                        sleep_ms(2);
                        continue;
                    };
                    if this.fillers.lock().unwrap().contains(&peer) {
                        continue;
                    }
                    let _ = stream.set_nonblocking(false);
                    conn += 1;
                    let (this, plan) = (this.clone(), plan.clone());
                    thread::spawn(move || this.connection(conn, stream, plan));
                }
            });
        }
        machine
    }

    /// Cuts the box off for so many milliseconds: open connections stay open and silent, and new ones never
    /// come up. What runs on it goes on.
    pub fn cut_off(self: &Arc<Self>, ms: u64) {
        let now = self.record.line(format!("{} is cut off for {ms} ms", self.name));
        self.cut_off.store(true, Ordering::SeqCst);
        sleep_ms(10);
        self.listeners.iter().for_each(|listener| set_backlog(listener, 0));
        // A full listen queue drops the requests for further connections, as a network that is cut does.
        let mut fillers = Vec::new();
        for door in &self.doors {
            while let Ok(stream) = TcpStream::connect_timeout(door, Duration::from_millis(50)) {
                self.fillers.lock().unwrap().push(stream.local_addr().unwrap());
                fillers.push(stream);
            }
        }
        while self.record.now() < now + ms as f64 / 1e3 {
            sleep_ms(2);
        }
        drop(fillers);
        self.listeners.iter().for_each(|listener| set_backlog(listener, 128));
        let mut state = self.state.lock().unwrap();
        self.cut_off.store(false, Ordering::SeqCst);
        for (conn, line) in std::mem::take(&mut state.held) {
            if let Some(stream) = state.conns.get_mut(&conn) {
                let _ = stream.write_all(line.as_bytes());
            }
        }
        self.record.line(format!("{} is back", self.name));
    }

    /// Whether the task stands at this box now.
    pub fn holds(&self, uid: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.live.get(uid).is_some_and(|(run, _)| state.runs[*run].runs.is_some())
    }

    /// Writes a line on a connection, or keeps it until the box is back. False where the connection is gone.
    fn write(&self, state: &mut BoxState, conn: u64, line: &str) -> bool {
        if self.cut_off.load(Ordering::SeqCst) {
            state.held.push((conn, line.into()));
            return state.conns.contains_key(&conn);
        }
        state.conns.get_mut(&conn).is_some_and(|stream| stream.write_all(line.as_bytes()).is_ok())
    }

    fn wait_while_cut_off(&self) {
        while self.cut_off.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    fn connection(self: Arc<Self>, conn: u64, stream: TcpStream, plan: Arc<Behaviour>) {
        let _ = stream.set_nodelay(true);
        {
            let mut state = self.state.lock().unwrap();
            let mut writer = stream.try_clone().unwrap();
            self.record.line(format!("{} accepted connection {conn}", self.name));
            // What is owed goes out on the next connection that is opened.
            let (here, elsewhere) =
                std::mem::take(&mut state.owed).into_iter().partition(|o| o.0 == door_of(conn));
            state.owed = elsewhere;
            let here: Vec<(usize, usize, String)> = here;
            for (_, run, line) in here {
                if writer.write_all(line.as_bytes()).is_ok() {
                    let now = self.record.line(format!("{} > {}", self.name, line.trim()));
                    state.runs[run].released.get_or_insert(now);
                }
            }
            state.conns.insert(conn, writer);
        }
        let (mut buffer, mut bytes) = (Vec::new(), [0; 65536]);
        let mut reader = stream;
        while let Ok(count) = reader.read(&mut bytes) {
            self.wait_while_cut_off();
            if count == 0 {
                break;
            }
            buffer.extend_from_slice(&bytes[..count]);
            while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                if let Some(line) = Json::parse(&line) {
                    self.message(conn, &line, &plan);
                }
            }
        }
        self.wait_while_cut_off();
        let mut state = self.state.lock().unwrap();
        state.conns.remove(&conn);
        let now = self.record.line(format!("{} connection {conn} ended", self.name));
        // Set-ups open on a connection that ends are given up; what stands goes on.
        let open: Vec<String> = state
            .live
            .iter()
            .filter(|(_, (run, of))| *of == conn && state.runs[*run].runs.is_none())
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in open {
            if let Some((run, _)) = state.live.remove(&uid) {
                (state.runs[run].over, state.runs[run].how) = (Some(now), "given up with its connection");
                free_key(&state.runs[run]);
            }
        }
    }

    fn message(self: &Arc<Self>, conn: u64, line: &Json, plan: &Arc<Behaviour>) {
        let kind = line.get("kind").and_then(Json::text).unwrap_or("");
        let uid = line.get("uid").and_then(Json::text).unwrap_or("").to_string();
        let mut state = self.state.lock().unwrap();
        match kind {
            "launch" => {
                let idem = line.get("meta").and_then(|m| m.get("idem")).and_then(Json::text);
                let now = self.record.line(format!("{} < launch {uid} idem {idem:?}", self.name));
                let run = state.runs.len();
                state.runs.push(Run {
                    uid: uid.clone(),
                    machine: self.name.clone(),
                    idem: idem.map(str::to_string),
                    came: now,
                    runs: None,
                    over: None,
                    how: "",
                    released: None,
                });
                state.live.insert(uid.clone(), (run, conn));
                let Plan { start_ms, life_ms } = plan(line);
                let this = self.clone();
                let is_repeat = idem.is_some_and(|key| {
                    let mut keys = KEYS.lock().unwrap();
                    keys.entry(key.into()).or_insert_with(|| uid.clone()) != &uid
                });
                thread::spawn(move || {
                    if is_repeat {
                        sleep_ms(LOOK_MS);
                        return this.turn_away(&uid, run);
                    }
                    sleep_ms(start_ms);
                    if this.begin(&uid, run) {
                        sleep_ms(life_ms);
                        this.end(&uid, run);
                    }
                });
            }
            "stop" => {
                let now = self.record.line(format!("{} < stop {uid}", self.name));
                if let Some((run, _)) = state.live.remove(&uid) {
                    let how = if state.runs[run].runs.is_some() { "cut" } else { "given up" };
                    (state.runs[run].over, state.runs[run].how) = (Some(now), how);
                    free_key(&state.runs[run]);
                    if how == "cut" {
                        // Says that it was cut on order, as the project's own node does.
                        let line =
                            format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{}},\"reason\":31}}\n");
                        self.write(&mut state, conn, &line);
                        state.runs[run].released = Some(now);
                        self.record.line(format!("{} > {}", self.name, line.trim()));
                    }
                }
            }
            "check" => {
                let load = "x0:40;x1:80;queue:0";
                let answer = format!(
                    "{{\"kind\":\"checked\",\"uid\":\"{uid}\",\"meta\":{{\"load\":\"{load}\"}},\"reason\":1}}\n"
                );
                self.write(&mut state, conn, &answer);
            }
            _ => {}
        }
    }

    /// A copy of the task starts or stands: the repeated start is refused and never ran.
    fn turn_away(&self, uid: &str, run: usize) {
        let mut state = self.state.lock().unwrap();
        let Some(&(_, conn)) = state.live.get(uid).filter(|(of, _)| *of == run) else { return };
        state.live.remove(uid);
        let line =
            format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{\"note\":\"nh\"}},\"reason\":34}}\n");
        let now = self.record.line(format!("{} > {}", self.name, line.trim()));
        (state.runs[run].over, state.runs[run].how) = (Some(now), "turned away");
        self.write(&mut state, conn, &line);
    }

    /// The task runs: answers on the connection of the set-up.
    fn begin(&self, uid: &str, run: usize) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(&(_, conn)) = state.live.get(uid).filter(|(of, _)| *of == run) else { return false };
        let line = format!(
            "{{\"kind\":\"running\",\"uid\":\"{uid}\",\"meta\":{{}},\"body\":\"at {}\"}}\n",
            self.name
        );
        let now = self.record.line(format!("{} > running {uid}", self.name));
        state.runs[run].runs = Some(now);
        self.write(&mut state, conn, &line);
        true
    }

    /// The task comes to its end: its release goes on the connection of the set-up, else on any open one, and
    /// also on the next one that is opened.
    fn end(&self, uid: &str, run: usize) {
        let mut state = self.state.lock().unwrap();
        if state.live.get(uid).is_none_or(|(of, _)| *of != run) {
            return;
        }
        let Some((_, conn)) = state.live.remove(uid) else { return };
        let line = format!("{{\"kind\":\"stop\",\"uid\":\"{uid}\",\"meta\":{{}},\"reason\":16}}\n");
        let to =
            if state.conns.contains_key(&conn) { Some(conn) } else { state.conns.keys().next().copied() };
        let sent = to.is_some_and(|to| self.write(&mut state, to, &line));
        let now = self.record.line(format!("{} task {uid} ended; release sent now: {sent}", self.name));
        (state.runs[run].over, state.runs[run].how) = (Some(now), "ended");
        free_key(&state.runs[run]);
        if sent {
            state.runs[run].released = Some(now);
        }
        state.owed.push((door_of(conn), run, line));
    }
}

// ---- notice board -----------------------------------------------------------------------------------------

/// The list of boxes as one event, with the addresses of one door.
pub fn list_event(rev: u64, machines: &[Arc<Machine>], door: usize) -> String {
    let one = |m: &Arc<Machine>| {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"hall-a\",\"machineType\":\"std-48\",\"cell\":0,\
             \"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":0,\"free\":[44,90]}}",
            m.name, m.doors[door]
        )
    };
    let all: Vec<String> = machines.iter().map(one).collect();
    format!(
        "{{\"rev\":{rev},\"pool\":{{\"generation\":1,\"reset\":true,\"instances\":[{}]}}}}",
        all.join(",")
    )
}

/// A notice board on which nothing changes after event 1: it writes the last number every second.
pub fn board() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                while stream.write_all(b"1\n").is_ok() {
                    sleep_ms(1000);
                }
            });
        }
    });
    address
}

// ---- planner ----------------------------------------------------------------------------------------------

/// The settings of a small deployment: two classes, one kind of box.
pub fn settings(planners: u32, me: u32) -> String {
    format!(
        r#"{{"areas":["hall-a"],"zone":"hall-a","kinds":["std-48"],"n_instances":{planners},"me":{me},
"membership_mode":"ask","tick_s":0.002,"weights":"silent","worth_by":"work","service_type":"place","tenants":[],
"clients":{{"marks_retry":true}},
"family_info":{{"apart_by":["silent","silent"],"class_kind":[-1,-1],"class_priority":[0,0],"cold_bears":70.0,
"cores_multiple":2.0,"free_by":"used","mean_cores":0.94,"mem_booking":1.5,"memory_by_kind":[94.0],"owner_wait_s":3.0,
"prompt_start_s":[8.0,12.0],"says_yes":"running","shows_free":true,"size_cores":[44],"spread_most":[2,2]}},
"grades":[{{"deadline_s":8.0,"group":"all","idempotency":"repeatable","importance":1.0,"late_share":0.1,
"name":"stateless","on_time_s":0.7,"repeat_window_s":5.0,"stays":true}},
{{"deadline_s":8.0,"group":"all","idempotency":"by_key","importance":5.0,"late_share":0.1,"name":"keyed",
"on_time_s":0.6,"repeat_window_s":6.0,"stays":true}}],
"permissions":{{"cancelling":true,"dial_timeout_s":0.25,"keepalive_s":15.0,"max_attempts":4,"max_retry_after_s":3.0,
"parallel_tries":false,"peer_messages":true,"probes":true,"retry_after":true}},
"report":{{"fields":["x0","x1","pending"],"source":"piggyback"}},
"rules":{{"answer_slack_s":0.008,"ask_every_s":10.0,"cold_share":0.16,"drain_grace_s":0.5,"fall_multiple":2.0,
"fall_s":2.0,"warm_within_s":16.0}}}}"#
    )
}

/// A free port on loopback; it was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

pub struct Planner {
    pub child: Child,
    pub listen: SocketAddr,
    name: String,
    record: Arc<Record>,
}

impl Planner {
    /// Starts the deploy file's `run` command from the root; `extra` is appended to it.
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        listen: SocketAddr,
        folder: &str,
        board: SocketAddr,
        (machines, door): (&[Arc<Machine>], usize),
        settings: &str,
        extra: &str,
    ) -> Planner {
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"board\":\"{board}\",\
             \"known\":{{\"rev\":1,\"notices\":[{}]}},\"settings\":{settings}}}",
            random(),
            list_event(1, machines, door),
        );
        let path = format!("{folder}/{name}.json");
        std::fs::write(&path, config).expect("the configuration can be written");
        let run = std::env::var("PLANNER_RUN").expect("PLANNER_RUN holds the deploy file's run command");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{folder}/{name}.log"))
            .expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{run} {extra}")])
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the planner starts");
        record.line(format!("planner {name} started at {listen} with the process id {}", child.id()));
        Planner { child, listen, name: name.into(), record: record.clone() }
    }

    pub fn signal(&self, signal: &str) {
        self.record.line(format!("planner {} gets the signal {signal}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until a connection to its listener comes up.
    pub fn wait_until_listening(&mut self) -> bool {
        for _ in 0..300 {
            if TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_ok() {
                return true;
            }
            if self.has_ended() {
                return false;
            }
            sleep_ms(100);
        }
        false
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- owners -----------------------------------------------------------------------------------------------

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

pub fn message(kind: u8, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(task.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    let mut out = (body.len() as u16).to_be_bytes().to_vec();
    out.extend(body);
    out
}

pub fn set_up(task: u64, class: &str, wait_ms: u64, service: u64, at: Option<&str>, body: &str) -> Vec<u8> {
    let mut figures = format!("cores:0.5;memory:1.5;service:{service:016x}");
    if let Some(at) = at {
        figures += &format!(";at:{at}");
    }
    let (wait, name, key) = (wait_ms.to_string(), format!("{task:016x}"), format!("{task:032x}"));
    let mut parameters: Vec<(u8, &[u8])> =
        vec![(3, class.as_bytes()), (4, wait.as_bytes()), (7, name.as_bytes())];
    if class == "keyed" {
        parameters.push((16, key.as_bytes()));
    }
    parameters.push((8, figures.as_bytes()));
    parameters.push((18, body.as_bytes()));
    message(SET_UP, task, &parameters)
}

pub fn release(task: u64, cause: u8) -> Vec<u8> {
    message(RELEASE, task, &[(17, &[cause])])
}

pub fn test(task: u64) -> Vec<u8> {
    message(TEST, task, &[(17, &[0])])
}

/// A message that an owner received.
#[derive(Clone, Debug)]
pub struct Got {
    pub at: f64,
    pub kind: u8,
    pub task: u64,
    pub cause: Option<u8>,
    pub body: Option<String>,
}

/// One connection of an owner. What comes is kept with its time.
pub struct Client {
    pub name: String,
    writer: TcpStream,
    got: Arc<Mutex<Vec<Got>>>,
    closed: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Client {
    /// Connects from the given loopback address.
    pub fn connect(record: &Arc<Record>, name: &str, from: Ipv4Addr, to: SocketAddr) -> Option<Client> {
        let stream = connect_from(from, to)?;
        let _ = stream.set_nodelay(true);
        let client = Client {
            name: name.into(),
            writer: stream.try_clone().ok()?,
            got: Arc::default(),
            closed: Arc::default(),
            record: record.clone(),
        };
        record.line(format!("{name} connected from {from}"));
        let (got, closed, record, name) =
            (client.got.clone(), client.closed.clone(), record.clone(), name.to_string());
        thread::spawn(move || {
            let (mut reader, mut buffer, mut bytes) = (stream, Vec::new(), [0; 65536]);
            while let Ok(count) = reader.read(&mut bytes) {
                if count == 0 {
                    break;
                }
                buffer.extend_from_slice(&bytes[..count]);
                while buffer.len() >= 2 {
                    let length = usize::from(u16::from_be_bytes([buffer[0], buffer[1]]));
                    if buffer.len() < 2 + length {
                        break;
                    }
                    let whole: Vec<u8> = buffer.drain(..2 + length).collect();
                    let (kind, task) = (whole[2], u64::from_be_bytes(whole[3..11].try_into().unwrap()));
                    let (mut at, mut cause, mut body) = (11, None, None);
                    while at + 3 <= whole.len() {
                        let size = usize::from(u16::from_be_bytes([whole[at + 1], whole[at + 2]]));
                        let value = &whole[at + 3..at + 3 + size];
                        match whole[at] {
                            17 => cause = value.first().copied(),
                            18 => body = Some(String::from_utf8_lossy(value).into_owned()),
                            _ => {}
                        }
                        at += 3 + size;
                    }
                    let now = record
                        .line(format!("{name} < type {kind} task {task:016x} cause {cause:?} {body:?}"));
                    got.lock().unwrap().push(Got { at: now, kind, task, cause, body });
                }
            }
            record.line(format!("{name} connection ended"));
            closed.store(true, Ordering::SeqCst);
        });
        Some(client)
    }

    pub fn send(&mut self, what: &str, bytes: &[u8]) -> f64 {
        let now = self.record.line(format!("{} > {what}", self.name));
        let _ = self.writer.write_all(bytes);
        now
    }

    pub fn got(&self) -> Vec<Got> {
        self.got.lock().unwrap().clone()
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// The first message about a task that satisfies the predicate, waited for up to so many milliseconds.
    pub fn wait(&self, most_ms: u64, is: impl Fn(&Got) -> bool) -> Option<Got> {
        let until = Instant::now() + Duration::from_millis(most_ms);
        loop {
            if let Some(found) = self.got().into_iter().find(|g| is(g)) {
                return Some(found);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep_ms(5);
        }
    }

    pub fn close(&self) {
        self.record.line(format!("{} closes its connection", self.name));
        let _ = self.writer.shutdown(std::net::Shutdown::Both);
    }
}

/// Sets how many connections may wait in a listen queue.
fn set_backlog(listener: &TcpListener, backlog: i32) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn listen(fd: i32, backlog: i32) -> i32;
    }
    // SAFETY: the descriptor is open for as long as the listener is borrowed.
    unsafe {
        listen(listener.as_raw_fd(), backlog);
    }
}

/// Connects from a given loopback address. The standard library cannot bind before it connects, so this asks
/// the system for it by the C library, which every program here is linked with.
pub fn connect_from(from: Ipv4Addr, to: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    #[repr(C)]
    struct SockAddr {
        family: u16,
        port: u16,
        address: u32,
        zero: [u8; 8],
    }
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn bind(fd: i32, address: *const SockAddr, length: u32) -> i32;
        fn connect(fd: i32, address: *const SockAddr, length: u32) -> i32;
    }
    let IpAddr::V4(ip) = to.ip() else { return None };
    assert!(ip.is_loopback() && from.is_loopback());
    let address = |ip: Ipv4Addr, port: u16| SockAddr {
        family: 2,
        port: port.to_be(),
        address: u32::from_ne_bytes(ip.octets()),
        zero: [0; 8],
    };
    // SAFETY: the structures live across the calls and have the layout of `sockaddr_in`; the descriptor is
    // owned by the stream made from it.
    unsafe {
        let fd = socket(2, 1 | 0o2000000, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        if bind(fd, &address(from, 0), 16) != 0 || connect(fd, &address(ip, to.port()), 16) != 0 {
            return None;
        }
        Some(stream)
    }
}

// ---- HTTP -------------------------------------------------------------------------------------------------

/// One HTTP request on a connection of its own: the status, the head and the body. `None` where none came.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    most_ms: u64,
) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(most_ms))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((status, head.into(), body.into()))
}

/// The end of a case: writes the verdict and ends the process.
pub fn finish(record: &Record, planners: Vec<Planner>, code: i32, why: &str) -> ! {
    record.say(format!("{}: {why}", ["HELD", "BROKEN", "COULD NOT RUN"][code as usize]));
    drop(planners);
    std::process::exit(code)
}
