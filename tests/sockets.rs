//! Boxes that fall silent, watchers that do not read, and files that cannot be used.

mod exchange;

use exchange::{
    faults, fill, instance, knows, protocol, settings, short_box, stand_in, unescape, Planner, Wire,
};
use serde_json::json;
use std::io::ErrorKind::{TimedOut, WouldBlock};
use std::net::TcpListener;
use std::process::Command;

const SET_UP: &str = "\\x00_\\x01\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x01\\x03\\x00\\x09stateless\\x04\\x00\\x045000\\x07\\x00\\x01c\
    \\x08\\x00)cores:1;memory:2;service:00000000000000aa\\x12\\x00\\x10GET /run there\\x0d\\x0a";
const RUNNING: &str = r#"{"kind":"running","uid":"0000000000000001","meta":{},"body":"here"}"#;
const STOP: &str = r#"{"kind":"stop","uid":"0000000000000001","meta":{},"reason":16}"#;

/// A task that stands at a short box, what happens meanwhile, and the cause of its release.
fn silent(meanwhile: impl FnOnce(&socket2::Socket, &str, &mut Wire)) -> u8 {
    let (listener, address) = short_box();
    let planner = Planner::start(std::slice::from_ref(&address), None, None);
    let mut link = Wire::new(listener.accept().expect("the planner connects").0.into());
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&unescape(SET_UP));
    link.line().expect("a set-up");
    link.send(format!("{RUNNING}\n").as_bytes());
    assert_eq!(owner.frame().expect("an answer")[2], 9);
    meanwhile(&listener, &address, &mut link);
    let release = owner.frame().expect("a release");
    *release.last().expect("a cause")
}

/// Guards rule 1 and owners' time: a set-up for a box to which no connection comes up never ran, and its owner is
/// refused once the module gives up, long before the deadline.
#[test]
fn a_box_that_takes_no_connection_holds_nobody_up() {
    let (_listener, address) = short_box();
    let _full = fill(&address);
    let planner = Planner::start(&[address], None, None);
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&unescape(SET_UP));
    let refusal = owner.frame().expect("an answer");
    // Near the deadline the cause would be 102.
    assert_eq!((refusal[2], refusal.last()), (12, Some(&34)));
}

/// Guards what stands at a box that hangs: it says nothing, but it still takes connections.
#[test]
fn a_silent_box_that_takes_connections_keeps_its_tasks() {
    let cause = silent(|listener, _, _| {
        // Each look takes the place of the connection before.
        let looks: Vec<_> =
            (0..3).map(|_| listener.accept().expect("it looks whether the box is there")).collect();
        let mut last =
            looks.into_iter().next_back().map(|(stream, _)| Wire::new(stream.into())).expect("a look");
        last.send(format!("{STOP}\n").as_bytes());
    });
    assert_eq!(cause, 16);
}

/// Guards owners of what stood at a box that vanished: nothing is said, and no connection comes up.
#[test]
fn a_silent_box_that_takes_none_has_lost_them() {
    let mut full = Vec::new();
    let cause = silent(|_, address, _| full = fill(address));
    assert_eq!(cause, 41);
}

/// Guards owners of what stood at a box that ends its service: it takes no new connections, answers every test on the
/// old one, and tells of no end, nor does the list. Its owner hears within the protocol's 8 s.
#[test]
fn a_box_that_refuses_connections_and_tells_nothing_has_lost_them() {
    let since = std::time::Instant::now();
    let (mut tests, mut over) = (0, None);
    let cause = silent(|listener, _, link| {
        listener.shutdown(std::net::Shutdown::Both).expect("it takes no more");
        while let Some(line) = link.line() {
            let said: serde_json::Value = serde_json::from_slice(&line).expect("a message");
            match said["kind"].as_str() {
                Some("check") => {
                    tests += 1;
                    let answer = json!({"kind": "checked", "uid": said["uid"], "meta": {}, "reason": 0});
                    link.send(format!("{answer}\n").as_bytes());
                }
                Some("stop") => {
                    over = Some(since.elapsed());
                    break;
                }
                other => assert_eq!(other, Some("staging"), "a free word"),
            }
        }
    });
    let over = over.expect("the box is told to cut what counts as lost").as_secs_f64();
    assert_eq!((cause, tests), (41, 0), "no test was paid for");
    assert!((6.4..8.0).contains(&over), "told after {over} s");
}

/// Guards what stands at a box whose connection brings nothing any more, though it takes others: what it owes comes on
/// the next one, which takes the mute one's place, and no test is paid for.
#[test]
fn a_mute_connection_is_gone_over_from() {
    let since = std::time::Instant::now();
    let mut next = None;
    let cause = silent(|listener, _, _| {
        let mut wire = Wire::new(listener.accept().expect("the planner dials").0.into());
        wire.send(format!("{STOP}\n").as_bytes());
        next = Some(wire);
    });
    assert_eq!(cause, 16);
    assert!(since.elapsed().as_secs_f64() < 4.0 && next.is_some());
}

/// Guards usual owners against a crowd that connects and says nothing: it is the crowd that makes room.
#[test]
fn a_silent_crowd_keeps_nobody_out() {
    let planner = Planner::small(32);
    let test = unescape("\\x00\\x0d4\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\x09\\x11\\x00\\x01\\x00");
    let mut usual = Wire::connect(&planner.owners);
    usual.send(&test);
    usual.frame().expect("a passed test");
    let mut crowd: Vec<Wire> = (0..100).map(|_| Wire::connect(&planner.owners)).collect();
    let mut late = Wire::connect(&planner.owners);
    for wire in [&mut late, &mut usual] {
        wire.send(&test);
        assert_eq!(wire.frame().expect("a passed test")[2], 53);
    }
    assert!(crowd.iter_mut().all(|wire| wire.frame().is_none()), "each is closed in its turn");
}

/// Guards usual owners' time against one that floods with what cannot be used: it is told so, and then closed.
#[test]
fn a_flood_of_what_cannot_be_used_ends() {
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

/// Guards the planner's memory: a watcher that does not read is cut, and the others go on.
#[test]
fn a_watcher_that_does_not_read_is_cut() {
    let (address, _launches) = stand_in();
    let planner =
        Planner::start(&[address], None, Some("slowWatcherMs: 50, maxWatchers: 1, maxBodyBytes: 20000"));
    let mut lazy = Wire::connect(&planner.rest);
    lazy.ask("GET /v1/jobs?watch=true");
    lazy.answer().expect("a stream");
    let (mut client, mut next) = (Wire::connect(&planner.rest), Wire::connect(&planner.rest));
    // Each key is told in every change, so that few jobs fill what lies between.
    let key = "k".repeat(250);
    let mut number = 0;
    loop {
        number += 1;
        assert!(number < 100_000, "it was never cut");
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

/// Guards operators against a planner that starts with half a configuration, or ends without a plain word.
#[test]
fn a_bad_file_is_told_in_one_line() {
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
        let told = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), wanted.is_none(), "{told}");
        assert!(told.contains(wanted.unwrap_or_default()), "{told}");
        assert_eq!(told.lines().count(), usize::from(wanted.is_some()), "{told}");
    }
    std::fs::remove_dir_all(folder).expect("the folder goes");
}

/// Guards the importer against one bad entry, a size that is not known, and the mark that some writers put first.
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
    std::fs::remove_file(&path).expect("the file goes");
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(told.contains(&format!("{name}:2: startedDateTime \"yesterday\"")), "{told}");
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

/// Guards the rule of one attempt out: a connection that the planner gives up is closed, which gives up what is open on
/// it, before that goes elsewhere.
#[test]
fn a_connection_is_closed_before_its_attempts_go_elsewhere() {
    let boxes: Vec<TcpListener> = (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let addresses: Vec<String> =
        boxes.iter().map(|b| b.local_addr().expect("its address").to_string()).collect();
    let planner = Planner::start(&addresses, None, None);
    let mut wires: Vec<Wire> =
        boxes.iter().map(|b| Wire::new(b.accept().expect("the planner connects").0)).collect();
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&unescape(SET_UP));
    let wait = |wire: &Wire, ms| {
        wire.stream.set_read_timeout(Some(std::time::Duration::from_millis(ms))).expect("a time-out");
    };
    // It goes to either; the one that got it writes what cannot be read.
    wires.iter().for_each(|wire| wait(wire, 20));
    let asked = |wire: &Wire| matches!(wire.stream.peek(&mut [0]), Ok(1));
    let first = (0..).map(|turn| turn % 2).find(|&at| asked(&wires[at])).expect("a set-up");
    wires.iter().for_each(|wire| wait(wire, 10_000));
    wires[first].line().expect("a set-up");
    wires[first].send(b"?\n");
    let end = std::io::Read::read(&mut wires[first].stream, &mut [0]);
    assert!(matches!(end, Ok(0)), "the planner ends the connection: {end:?}");
    // Nothing goes elsewhere while its machine has not ended it, too.
    wait(&wires[1 - first], 20);
    let early = wires[1 - first].stream.peek(&mut [0]);
    assert!(matches!(&early, Err(e) if matches!(e.kind(), WouldBlock | TimedOut)), "{early:?}");
    wait(&wires[1 - first], 10_000);
    wires[first].stream.shutdown(std::net::Shutdown::Both).expect("it is up");
    wires[1 - first].line().expect("the set-up goes to the other");
}

/// Guards the list and requests against reads and writes that are short: what the system has still is read, and what it did not
/// take is written.
#[test]
fn a_planner_whose_reads_and_writes_are_all_short_follows_the_list() {
    let (list, list_address) = protocol::listener();
    let (machine, address) = protocol::listener();
    let planner = Planner::start_in(knows(&[], Some(&list_address)), None, &faults(1, 0, 1));
    let mut watch = protocol::accept(&list);
    assert_eq!(watch.line().expect("watch N"), b"watch 1\n");
    let instances: Vec<_> =
        (2..=20).map(|n| instance(&format!("b{n}"), "127.0.0.1:1", "terminating")).collect();
    watch.send(&protocol::event(2, &instances));
    watch.send(&protocol::event(3, &[instance("b1", &address, "in_service")]));
    let mut link = protocol::accept(&machine);
    let mut owner = Wire::connect(&planner.owners);
    owner.send(&protocol::set_up(1, "stateless", 8000, &"x".repeat(2000)));
    assert_eq!(protocol::told(&link.line().expect("a set-up")), ("launch".into(), 1));
    link.send(&protocol::running(1));
    assert_eq!(protocol::answered(&mut owner), Some((protocol::ANSWER, 1, None)));
}
