//! Machines that fall silent, watchers that do not read, floods of clients, short reads, and invalid files.

mod exchange;

use exchange::{
    config_with, faults, fill, instance, protocol, settings, short_backlog_listener, stand_in, unescape,
    Planner, Wire,
};
use serde_json::json;
use std::io::ErrorKind::{TimedOut, WouldBlock};
use std::net::TcpListener;
use std::process::Command;

const SET_UP: &str = "\\x00_\\x01\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x01\\x03\\x00\\x09stateless\\x04\\x00\\x045000\\x07\\x00\\x01c\
    \\x08\\x00)cores:1;memory:2;service:00000000000000aa\\x12\\x00\\x10GET /run there\\x0d\\x0a";
const RUNNING: &str = r#"{"kind":"running","uid":"0000000000000001","meta":{},"body":"here"}"#;
const STOP: &str = r#"{"kind":"stop","uid":"0000000000000001","meta":{},"reason":16}"#;

/// A planner with one task, which runs on a machine with a short backlog.
struct RunningTask {
    planner: Planner,
    listener: socket2::Socket,
    address: String,
    link: Wire,
    owner: Wire,
}

impl RunningTask {
    fn start() -> RunningTask {
        let (listener, address) = short_backlog_listener();
        let planner = Planner::start(std::slice::from_ref(&address), None, None);
        let mut link = Wire::new(listener.accept().expect("the planner connects").0.into());
        let mut owner = Wire::connect(&planner.owners);
        owner.send(&unescape(SET_UP));
        link.line().expect("a set-up");
        link.send(format!("{RUNNING}\n").as_bytes());
        assert_eq!(owner.frame().expect("an answer")[2], 9);
        RunningTask { planner, listener, address, link, owner }
    }
}

/// The cause of the next release on an owner's connection.
fn release_cause(owner: &mut Wire) -> u8 {
    let release = owner.frame().expect("a release");
    *release.last().expect("a cause")
}

/// Runs a task on a machine that then sends nothing more, calls `meanwhile`, and returns the cause of the task's
/// release.
fn cause_after_silence(meanwhile: impl FnOnce(&socket2::Socket, &str, &mut Wire)) -> u8 {
    let mut task = RunningTask::start();
    meanwhile(&task.listener, &task.address, &mut task.link);
    release_cause(&mut task.owner)
}

/// Guards rule 1 and owners' time: a set-up for a machine to which no connection comes up did not run, and
/// its owner is refused once the placer gives up, long before the deadline.
#[test]
fn an_unreachable_machine_delays_no_request() {
    let (_listener, address) = short_backlog_listener();
    let _full = fill(&address);
    let planner = Planner::start(&[address], None, None);
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&unescape(SET_UP));
    let refusal = owner.frame().expect("an answer");
    // Near the deadline the cause would be 102.
    assert_eq!((refusal[2], refusal.last()), (12, Some(&34)));
}

/// Guards tasks on a machine that hangs: it sends nothing, but still accepts connections.
#[test]
fn a_silent_machine_that_accepts_connections_keeps_its_tasks() {
    let cause = cause_after_silence(|listener, _, _| {
        // Each new connection replaces the one before.
        let connections: Vec<_> =
            (0..3).map(|_| listener.accept().expect("the planner dials to check the machine")).collect();
        let mut last = connections
            .into_iter()
            .next_back()
            .map(|(stream, _)| Wire::new(stream.into()))
            .expect("a connection");
        last.send(format!("{STOP}\n").as_bytes());
    });
    assert_eq!(cause, 16);
}

/// Guards owners of tasks on a machine that vanished: it sends nothing, and no connection comes up.
#[test]
fn a_silent_machine_that_accepts_no_connections_loses_its_tasks() {
    let mut full = Vec::new();
    let cause = cause_after_silence(|_, address, _| full = fill(address));
    assert_eq!(cause, 41);
}

/// Guards owners of tasks on a machine that shuts its service down: it refuses new connections, answers every
/// probe on the old one, and reports no end, nor does the machine list. The owner is notified within the
/// protocol's 8 s, and the machine gets no order to stop a task that its owner may hand to another planner.
#[test]
fn a_machine_that_refuses_connections_and_reports_nothing_loses_its_tasks() {
    let since = std::time::Instant::now();
    let RunningTask { planner, listener, mut link, mut owner, .. } = RunningTask::start();
    listener.shutdown(std::net::Shutdown::Both).expect("it refuses connections from now on");
    let machine = std::thread::spawn(move || {
        let mut kinds = std::collections::BTreeSet::new();
        while let Some(line) = link.line() {
            let message: serde_json::Value = serde_json::from_slice(&line).expect("a message");
            let kind = message["kind"].as_str().expect("a kind").to_string();
            if kind == "check" {
                let answer = json!({"kind": "checked", "uid": message["uid"], "meta": {}, "reason": 0});
                link.send(format!("{answer}\n").as_bytes());
            }
            kinds.insert(kind);
        }
        kinds
    });
    assert_eq!(release_cause(&mut owner), 41);
    let lost_after = since.elapsed().as_secs_f64();
    assert!((6.4..8.0).contains(&lost_after), "the task counted as lost after {lost_after} s");
    drop(planner);
    let kinds = machine.join().expect("no panic");
    let only_free = kinds.iter().all(|kind| kind == "staging");
    assert!(only_free, "probes have a cost, and an order to stop is not due: {kinds:?}");
}

/// Guards tasks on a machine whose connection brings nothing more, though it accepts others: its messages
/// arrive on the next connection, which replaces the silent one; no probe is sent, as each has a cost.
#[test]
fn a_silent_connection_is_replaced() {
    let since = std::time::Instant::now();
    let mut next = None;
    let cause = cause_after_silence(|listener, _, _| {
        let mut wire = Wire::new(listener.accept().expect("the planner dials").0.into());
        wire.send(format!("{STOP}\n").as_bytes());
        next = Some(wire);
    });
    assert_eq!(cause, 16);
    assert!(since.elapsed().as_secs_f64() < 4.0 && next.is_some());
}

/// Guards ordinary owners against many clients that connect and send nothing: the idle ones are closed to
/// make room.
#[test]
fn idle_clients_keep_nobody_out() {
    let planner = Planner::small(32);
    let health_check = unescape("\\x00\\x0d4\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x09\\x11\\x00\\x01\\x00");
    let mut usual = Wire::connect(&planner.owners);
    usual.send(&health_check);
    usual.frame().expect("a passed health check");
    let mut idle_clients: Vec<Wire> = (0..100).map(|_| Wire::connect(&planner.owners)).collect();
    let mut late = Wire::connect(&planner.owners);
    for wire in [&mut late, &mut usual] {
        wire.send(&health_check);
        assert_eq!(wire.frame().expect("a passed health check")[2], 53);
    }
    assert!(idle_clients.iter_mut().all(|wire| wire.frame().is_none()), "each idle connection is closed");
}

/// Guards ordinary owners against one that floods the planner with invalid messages: it gets refusals, and is
/// then closed.
#[test]
fn a_flood_of_invalid_messages_is_cut_off() {
    let planner = Planner::small(32);
    let mut flood = Wire::connect(&planner.owners);
    let bad = unescape("\\x00\\x09\\x01\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x03");
    let mut refusals = 0;
    flood.send(&bad.repeat(40));
    while let Some(refusal) = flood.frame() {
        assert_eq!((refusal[2], refusal.last()), (12, Some(&100)));
        refusals += 1;
    }
    assert_eq!(refusals, 16);
}

/// Guards the planner's memory: a watcher that does not read is disconnected, and a new one is admitted in
/// its place.
#[test]
fn a_watcher_that_does_not_read_is_disconnected() {
    let (address, _launches) = stand_in();
    let planner =
        Planner::start(&[address], None, Some("slowWatcherMs: 50, maxWatchers: 1, maxBodyBytes: 20000"));
    let mut lazy = Wire::connect(&planner.rest);
    lazy.ask("GET /v1/jobs?watch=true");
    lazy.answer().expect("a stream");
    let (mut client, mut next) = (Wire::connect(&planner.rest), Wire::connect(&planner.rest));
    // Every change contains the key, so that long keys fill the socket buffers with few jobs.
    let key = "k".repeat(250);
    let mut number = 0;
    loop {
        number += 1;
        assert!(number < 100_000, "the watcher was never disconnected");
        let body = r#"{"class":"keyed","service":"s","cores":0.01,"memory":0.01,"deadlineMs":4000,"description":"POST /end"}"#;
        client.ask(&format!("POST /v1/jobs {key}{number} {body}"));
        client.answer().expect("an answer");
        if number % 200 == 0 {
            next.ask("GET /v1/jobs?watch=true&timeoutSeconds=0");
            if next.answer().expect("an answer").starts_with("200") {
                return;
            }
        }
    }
}

/// Guards operators against a planner that accepts an incomplete configuration, or rejects one without a
/// one-line reason.
#[test]
fn a_bad_file_is_reported_in_one_line() {
    let folder = std::env::temp_dir().join(format!("burlhook-files-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = |name: &str| folder.join(name).display().to_string();
    let known = json!({"rev": 1, "notices": [{"rev": 1, "pool": {"instances": [instance("b1", "127.0.0.1:1", "in_service")]}}]});
    let good = json!({"listen": "127.0.0.1:0", "known": known, "settings": settings()});
    let with = |name: &str, value: serde_json::Value| {
        let mut bad = good.clone();
        bad[name] = value;
        bad.to_string()
    };
    let (good, fine) = (good.to_string(), "listen: \"127.0.0.1:0\"");
    let cases = [
        (good.clone(), fine, None),
        ("{".into(), fine, Some("EOF while parsing")),
        (with("seed", json!("xyz")), fine, Some("seed \"xyz\" is not hex")),
        (with("settings", json!({})), fine, Some("settings: missing field")),
    ];
    for (config, rest, wanted) in cases {
        std::fs::write(path("config"), config).expect("a file");
        std::fs::write(path("operators"), format!("{{rest: {{{rest}}}}}")).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_burlhook"));
        let output =
            command.args(["check", "--config", &path("config"), "--operators", &path("operators")]).output();
        let output = output.expect("it runs");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), wanted.is_none(), "{stderr}");
        assert!(stderr.contains(wanted.unwrap_or_default()), "{stderr}");
        assert_eq!(stderr.lines().count(), usize::from(wanted.is_some()), "{stderr}");
    }
    std::fs::remove_dir_all(folder).expect("the folder is deleted");
}

/// Guards the HAR importer against one bad entry, an unknown size, and a leading byte order mark.
#[test]
fn a_har_file_becomes_a_mix() {
    let entry = |at: &str, method: &str, url: &str, time: f64, size: i64| {
        json!({"startedDateTime": at, "time": time, "request": {"method": method, "url": url},
            "response": {"content": {"size": size}}})
    };
    let har = json!({"log": {"version": "1.2", "entries": [
        entry("2025-12-24T08:00:01.500Z", "POST", "http://shop.example/notices/7?x=1", 450.0, -1),
        entry("yesterday", "GET", "http://shop.example/", 1.0, 1),
        entry("2025-12-24T09:00:00.000+01:00", "get", "http://shop.example/search2/a", 50.0, 150_000),
    ]}});
    let path = std::env::temp_dir().join(format!("burlhook-{}.har", std::process::id()));
    std::fs::write(&path, format!("\u{feff}{har}")).expect("a file");
    let output =
        Command::new(env!("CARGO_BIN_EXE_burlhook")).args(["import", "--format", "har"]).arg(&path).output();
    let output = output.expect("it runs");
    let name = path.file_name().expect("a name").to_string_lossy().into_owned();
    std::fs::remove_file(&path).expect("the file is deleted");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains(&format!("{name}:2: startedDateTime \"yesterday\"")), "{stderr}");
    let mix: Vec<serde_json::Value> = String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect();
    let job = |class: &str, service: &str, cores: f64, memory: f64, description: &str| {
        json!({"class": class, "service": service, "cores": cores, "memory": memory, "deadlineMs": 8000,
            "description": description})
    };
    assert_eq!(
        mix[0],
        json!({"atMs": 0, "job": job("stateless", "shop.example/search", 0.25, 2.0, "GET /search2/a")})
    );
    assert_eq!(mix[1]["job"], job("keyed", "shop.example/notices", 1.0, 0.5, "POST /notices/7"));
    assert_eq!((&mix[1]["atMs"], mix[1]["key"].as_str().map(str::len)), (&json!(1500), Some(16)));
}

/// Guards the rule of one open attempt per request: a connection that the planner abandons is closed on both
/// sides, which cancels the attempts on it, before they are sent to another machine.
#[test]
fn a_connection_is_closed_before_its_attempts_go_elsewhere() {
    let machines: Vec<TcpListener> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let addresses: Vec<String> =
        machines.iter().map(|b| b.local_addr().expect("its address").to_string()).collect();
    let planner = Planner::start(&addresses, None, None);
    let mut wires: Vec<Wire> =
        machines.iter().map(|b| Wire::new(b.accept().expect("the planner connects").0)).collect();
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&unescape(SET_UP));
    let wait = |wire: &Wire, ms| {
        wire.stream.set_read_timeout(Some(std::time::Duration::from_millis(ms))).expect("a time-out");
    };
    // The request goes to either machine; the one that received it sends an invalid line.
    wires.iter().for_each(|wire| wait(wire, 20));
    let asked = |wire: &Wire| matches!(wire.stream.peek(&mut [0]), Ok(1));
    let first = (0..).map(|turn| turn % 2).find(|&at| asked(&wires[at])).expect("a set-up");
    wires.iter().for_each(|wire| wait(wire, 10_000));
    wires[first].line().expect("a set-up");
    wires[first].send(b"?\n");
    let end = std::io::Read::read(&mut wires[first].stream, &mut [0]);
    assert!(matches!(end, Ok(0)), "the planner ends the connection: {end:?}");
    // Nothing is sent elsewhere until the machine has closed the connection as well.
    wait(&wires[1 - first], 20);
    let early = wires[1 - first].stream.peek(&mut [0]);
    assert!(matches!(&early, Err(e) if matches!(e.kind(), WouldBlock | TimedOut)), "{early:?}");
    wait(&wires[1 - first], 10_000);
    wires[first].stream.shutdown(std::net::Shutdown::Both).expect("an open connection");
    wires[1 - first].line().expect("the set-up goes to the other");
}

/// Guards the machine list and requests against short reads and writes: the planner reads the rest that the
/// kernel still holds, and writes the rest that it did not take.
#[test]
fn a_planner_whose_reads_and_writes_are_all_short_follows_the_list() {
    let (list, list_address) = protocol::listener();
    let (machine, address) = protocol::listener();
    let planner = Planner::start_in(config_with(&[], Some(&list_address)), None, &faults(1, 0, 1));
    let mut watch = protocol::accept(&list);
    assert_eq!(watch.line().expect("watch N"), b"watch 1\n");
    let instances: Vec<_> =
        (2..=20).map(|n| instance(&format!("b{n}"), "127.0.0.1:1", "terminating")).collect();
    watch.send(&protocol::event(2, &instances));
    watch.send(&protocol::event(3, &[instance("b1", &address, "in_service")]));
    let mut link = protocol::accept(&machine);
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&protocol::set_up(1, "stateless", 8000, &"x".repeat(2000)));
    assert_eq!(protocol::kind_and_task(&link.line().expect("a set-up")), ("launch".into(), 1));
    link.send(&protocol::running(1));
    assert_eq!(protocol::answered(&mut owner), Some((protocol::ANSWER, 1, None)));
}
