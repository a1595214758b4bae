//! Groups through the REST API: every status, keys, watches, a mix, and stops, reloads and kills during
//! placement.

use burlhook_lab::node::{Act, Node, Plan, What};
use burlhook_lab::planner::{config, Planner, Program};
use burlhook_lab::Clock;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const FILE: &str = "{rest: {listen: '127.0.0.1:0'}, groups: {default: {maxMembers: 8, tries: 1}}}";

/// Starts three nodes and a planner over them; returns them with the address of its REST front.
fn start_cluster(file: &str, slots: usize) -> (Vec<Node>, Planner, SocketAddr) {
    let clock = Clock::start();
    let plan =
        |at: usize| Plan { name: format!("n{at}"), slots, life_ms: (60_000, 60_000), ..Plan::default() };
    let node = |at| Node::start("127.0.0.1:0", plan(at), clock).expect("a node");
    let nodes: Vec<Node> = (0..3).map(node).collect();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let program = Program::at(env!("CARGO_BIN_EXE_burlhook"));
    let planner = Planner::start(&program, &config(&addresses, 3), Some(file)).expect("a planner");
    let rest = planner.rest.expect("a REST front");
    (nodes, planner, rest)
}

fn send(to: SocketAddr, head: &str, key: Option<&str>, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    let key = key.map(|k| format!("Idempotency-Key: {k}\r\n")).unwrap_or_default();
    let body = body.to_string();
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{key}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

fn read(mut stream: TcpStream) -> (u16, Value) {
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("an answer");
    let status = response.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let body = response.split_once("\r\n\r\n").expect("a body").1;
    (status, serde_json::from_str(body).expect("JSON"))
}

fn call(to: SocketAddr, head: &str, key: Option<&str>, body: &Value) -> (u16, Value) {
    read(send(to, head, key, body))
}

/// The generation of the operators' file in force.
fn generation(rest: SocketAddr) -> u64 {
    let (status, limits) = call(rest, "GET /v1/limits", None, &Value::Null);
    assert_eq!(status, 200);
    limits["generation"].as_u64().expect("a number")
}

fn group(members: usize, cores: f64) -> Value {
    let member = |at: usize| {
        json!({"class": if at.is_multiple_of(2) { "stateless" } else { "keyed" }, "service": "match", "cores": cores,
            "memory": cores, "description": format!("POST /match/{at}")})
    };
    let members: Vec<Value> = (0..members).map(member).collect();
    json!({"members": members, "deadlineMs": 3000, "onLoss": "cut"})
}

/// Guards clients: each outcome has its own HTTP status, a retry joins its group, and a cancellation ends
/// every member.
#[test]
fn every_way_to_end_has_its_status() {
    let (nodes, _planner, rest) = start_cluster(FILE, 40);
    let post = |key: Option<&str>, body: &Value| call(rest, "POST /v1/groups", key, body);
    let (status, placed) = post(Some("night"), &group(4, 1.0));
    assert_eq!((status, &placed["status"]["answer"]), (201, &json!("placed")), "{placed}");
    let members = placed["status"]["members"].as_array().expect("members");
    assert!(members.iter().all(|m| m["phase"] == "Running" && m["machine"].is_string()), "{placed}");
    assert_eq!(nodes.iter().map(|n| n.running_tasks()).sum::<usize>(), 4);
    let (status, joined) = post(Some("night"), &group(4, 1.0));
    assert_eq!((status, &joined["id"]), (200, &placed["id"]));
    assert_eq!(post(Some("night"), &group(3, 1.0)).0, 422);
    // A group that no machine has room for; then invalid members, which the problem names by index.
    let (status, refused) = post(Some("large"), &group(8, 60.0));
    assert_eq!((status, &refused["type"]), (429, &json!("urn:burlhook:problem:group-refused")), "{refused}");
    assert!(refused["retryAfterMs"].as_u64().is_some_and(|ms| ms > 0), "{refused}");
    let mut bad = group(2, 1.0);
    bad["members"][1]["class"] = json!("none");
    let (status, problem) = post(Some("bad"), &bad);
    assert_eq!((status, &problem["detail"]), (400, &json!("member 1: there is no class \"none\"")));
    assert_eq!(post(Some("many"), &group(9, 1.0)).0, 400);
    assert_eq!(post(None, &group(2, 1.0)).0, 400, "a keyed member has no key");
    // Members are jobs; cancelling the group stops them all.
    let job = members[0]["job"].as_str().expect("a job");
    assert_eq!(
        call(rest, &format!("GET /v1/jobs/{job}"), None, &Value::Null).1["status"]["phase"],
        "Running"
    );
    let id = placed["id"].as_str().expect("an id");
    assert_eq!(call(rest, &format!("DELETE /v1/groups/{id}"), None, &Value::Null).0, 200);
    let terminated = || nodes.iter().map(|n| n.ledger().count(|w| *w == What::Cut)).sum::<usize>();
    let started = std::time::Instant::now();
    while terminated() < 4 {
        assert!(started.elapsed() < Duration::from_secs(10), "{} of 4 copies were stopped", terminated());
        std::thread::yield_now();
    }
    assert_eq!(call(rest, "GET /v1/groups/0000000000000001", None, &Value::Null).0, 404);
}

/// Guards clients that post concurrently under one key: they get one group with one copy of each member.
#[test]
fn the_same_group_at_once_is_one_group() {
    let (nodes, _planner, rest) = start_cluster(FILE, 40);
    let body = group(6, 1.0);
    let responses: Vec<(u16, Value)> = std::thread::scope(|scope| {
        let requests: Vec<_> =
            (0..8).map(|_| scope.spawn(|| call(rest, "POST /v1/groups", Some("one"), &body))).collect();
        requests.into_iter().map(|request| request.join().expect("no panic")).collect()
    });
    assert!(
        responses.iter().all(|(status, of)| matches!(status, 200 | 201) && of["id"] == responses[0].1["id"]),
        "{responses:?}"
    );
    assert_eq!(responses.iter().filter(|(status, _)| *status == 201).count(), 1);
    assert_eq!(nodes.iter().map(|n| n.ledger().asks()).sum::<usize>(), 6);
}

/// Guards operators: groups are off without their section in the operators' file, and a reload can turn them
/// on.
#[test]
fn groups_are_off_without_their_section() {
    let (_nodes, planner, rest) = start_cluster("{rest: {listen: '127.0.0.1:0'}}", 40);
    let post = || call(rest, "POST /v1/groups", Some("a"), &group(2, 1.0)).0;
    assert_eq!(post(), 404);
    planner.reload(FILE).expect("a reload");
    let started = std::time::Instant::now();
    while post() == 404 {
        assert!(started.elapsed() < Duration::from_secs(10), "never turned on");
    }
    assert_eq!(post(), 200);
}

/// Guards watchers: every change of a group arrives, in order, and the last one contains the answer.
#[test]
fn a_group_can_be_watched() {
    let (_nodes, _planner, rest) = start_cluster(FILE, 40);
    let mut watch = BufReader::new(send(rest, "GET /v1/groups?watch=true", None, &Value::Null));
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        watch.read_line(&mut line).expect("a head");
    }
    call(rest, "POST /v1/groups", Some("seen"), &group(3, 1.0));
    let mut phases: Vec<String> = Vec::new();
    loop {
        line.clear();
        watch.read_line(&mut line).expect("a change");
        let Ok(change) = serde_json::from_str::<Value>(&line) else { continue };
        let status = &change["object"]["status"];
        let Some(phase) = status["phase"].as_str() else { continue };
        phases.push(phase.to_string());
        if status["answer"] == "placed" {
            break;
        }
    }
    phases.dedup();
    assert_eq!(phases, ["Admitting", "Placing", "Standing"]);
}

/// Guards a stop of the planner: a group that waits for hanging machines is cancelled and answered before the
/// planner exits.
#[test]
fn a_stop_midway_answers_and_cuts() {
    let (nodes, planner, rest) = start_cluster(FILE, 40);
    nodes.iter().for_each(|node| node.act(Act::Hang));
    let waits = send(rest, "POST /v1/groups", Some("stop"), &group(6, 1.0));
    wait_until_sent(&nodes, 6);
    planner.stop(Duration::from_secs(20)).expect("the planner exits with success");
    let (status, problem) = read(waits);
    assert_eq!((status, &problem["detail"]), (502, &json!("the planner is stopping")), "{problem}");
    // Each machine has received the stop orders, though it has not handled them.
    let stop_orders: usize =
        nodes.iter().map(|n| n.ledger().count(|w| matches!(w, What::Stopped | What::Closed))).sum();
    assert!(stop_orders >= 6, "{stop_orders}");
}

fn wait_until_sent(nodes: &[Node], offers: usize) {
    let started = std::time::Instant::now();
    while nodes.iter().map(|n| n.ledger().asks()).sum::<usize>() < offers {
        assert!(started.elapsed() < Duration::from_secs(10), "not all offers were sent");
        std::thread::yield_now();
    }
}

/// Guards machines against owners that disconnect during placement: a group without a key is cancelled, as
/// nobody can ask for it again; one with a key continues.
#[test]
fn an_owner_that_leaves_cancels_its_group_without_a_key() {
    let (nodes, _planner, rest) = start_cluster(FILE, 40);
    let mut body = group(6, 1.0);
    (0..6).for_each(|at| body["members"][at]["class"] = json!("stateless"));
    for key in [None, Some("kept")] {
        let before: usize = nodes.iter().map(|n| n.ledger().asks()).sum();
        nodes.iter().for_each(|node| node.act(Act::Hang));
        let waits = send(rest, "POST /v1/groups", key, &body);
        wait_until_sent(&nodes, before + 6);
        drop(waits);
        // A group without a key must be cancelled before its machines answer.
        let started = std::time::Instant::now();
        let over = loop {
            let groups = call(rest, "GET /v1/groups", None, &Value::Null).1;
            let last = groups["items"].as_array().and_then(|all| all.last().cloned()).expect("a group");
            if last["status"]["answer"].is_string() {
                break last;
            }
            if key.is_some() {
                nodes.iter().for_each(|node| node.act(Act::Wake));
            }
            assert!(started.elapsed() < Duration::from_secs(10), "{last}");
        };
        let wanted = if key.is_none() { json!("failed") } else { json!("placed") };
        assert_eq!(over["status"]["answer"], wanted, "{over}");
        nodes.iter().for_each(|node| node.act(Act::Wake));
    }
}

/// Guards a group that is being placed while a reload turns groups off: it is placed under the settings that
/// it began with.
#[test]
fn a_reload_midway_changes_nothing_for_a_group() {
    let (nodes, planner, rest) = start_cluster(FILE, 40);
    nodes.iter().for_each(|node| node.act(Act::Hang));
    let waits = send(rest, "POST /v1/groups", Some("kept"), &group(6, 1.0));
    wait_until_sent(&nodes, 6);
    let before = generation(rest);
    planner.reload("{rest: {listen: '127.0.0.1:0'}}").expect("a reload");
    let started = std::time::Instant::now();
    // Posting another group to detect the reload would wait for the hanging nodes, for as long as the first
    // group may.
    while generation(rest) == before {
        assert!(started.elapsed() < Duration::from_secs(10), "the reload did not turn groups off");
    }
    assert_eq!(call(rest, "POST /v1/groups", Some("new"), &group(1, 1.0)).0, 404);
    nodes.iter().for_each(|node| node.act(Act::Wake));
    assert_eq!(read(waits).0, 201);
}

/// Guards a kill of the planner: open set-ups end with their connections and never run. Running tasks
/// continue; a restarted planner could only stop them if planners kept state on disk.
#[test]
fn a_planner_killed_midway_starts_nothing_more() {
    let (nodes, planner, rest) = start_cluster(FILE, 40);
    nodes[1..].iter().for_each(|node| node.act(Act::Hang));
    let waits = send(rest, "POST /v1/groups", Some("killed"), &group(6, 1.0));
    wait_until_sent(&nodes, 6);
    drop(planner);
    let started = std::time::Instant::now();
    // Machines that received no set-up may not have been dialled yet.
    let has_offers = |n: &&Node| n.ledger().asks() > 0;
    while nodes.iter().filter(has_offers).any(|n| n.ledger().count(|w| *w == What::Closed) == 0) {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "a connection remained open after its planner was killed"
        );
        std::thread::yield_now();
    }
    nodes.iter().for_each(|node| node.act(Act::Wake));
    drop(waits);
    let ran = |n: &Node| n.ledger().count(|w| matches!(w, What::Runs | What::RunsUntold));
    assert_eq!(nodes[1..].iter().map(ran).sum::<usize>(), 0, "no open set-up runs");
}

/// Guards `burlhook submit`: a mix may contain groups as well as jobs, and an invalid line is reported with
/// its number.
#[test]
fn a_mix_holds_groups() {
    let (_nodes, _planner, rest) = start_cluster(FILE, 40);
    let job = json!({"class": "stateless", "service": "s", "cores": 1, "memory": 1, "deadlineMs": 2000});
    let lines = [
        json!({"atMs": 0, "job": job}),
        json!({"atMs": 1, "key": "g", "group": group(2, 1.0)}),
        json!({"atMs": 2, "key": "h", "group": group(8, 60.0)}),
        json!({"atMs": 3, "job": job, "group": group(2, 1.0)}),
    ];
    let path = std::env::temp_dir().join(format!("burlhook-groups-{}.jsonl", std::process::id()));
    std::fs::write(&path, lines.map(|l| l.to_string()).join("\n")).expect("a mix");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_burlhook"));
    let output =
        command.args(["submit", "--url", &format!("http://{rest}")]).arg(&path).output().expect("it runs");
    std::fs::remove_file(&path).expect("the mix is deleted");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(stdout.starts_with("1 201 Running\n2 201 Standing\n3 429 there is no room"), "{stdout}");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains(":4: exactly one of job and group is expected"), "{stderr}");
}

/// Guards a key against attempts of two planners together: a group that comes to a planner which does not own
/// its key, as a retry may, is sent to the owner and not placed.
#[test]
fn a_group_is_placed_by_the_owner_of_its_keys() {
    let (_owner_nodes, owner, owner_rest) = start_cluster(FILE, 40);
    let url = format!("http://{owner_rest}");
    let file = format!(
        "{{rest: {{listen: '127.0.0.1:0', ownUrl: 'http://127.0.0.1:1', fleet: ['http://127.0.0.1:1', '{url}']}},
        groups: {{default: {{maxMembers: 40, tries: 1}}}}}}"
    );
    let (nodes, _planner, rest) = start_cluster(&file, 40);
    let body = group(2, 0.25);
    let post = |key: &str| call(rest, "POST /v1/groups", Some(key), &body);
    let keys: Vec<String> = (0..40).map(|n| format!("night-{n}")).collect();
    let (elsewhere, here): (Vec<&String>, Vec<&String>) = keys.iter().partition(|key| {
        let (status, answer) = post(key);
        assert!(status == 201 || (status == 307 && answer["planner"] == json!(url)), "{status} {answer}");
        status == 307
    });
    assert!(!elsewhere.is_empty() && !here.is_empty(), "both planners own keys");
    assert!(here.iter().all(|key| post(key).0 == 200), "a retry joins its group");
    // A refused offer is made again, so that tasks that run are counted. Of the other planner's keys nothing may even
    // be offered.
    let running: usize = nodes.iter().map(|n| n.running_tasks()).sum();
    assert_eq!(running, 2 * here.len(), "each group placed here runs");
    let is_under = |offered: &str, key: &str| offered.starts_with(&format!("{{{key}}}/"));
    for node in &nodes {
        let under = |keys: &[&String]| {
            let is = |offered: &str| keys.iter().any(|key| is_under(offered, key));
            node.ledger().count(|what| matches!(what, What::Ask { key: Some(offered), .. } if is(offered)))
        };
        let keyed = node.ledger().count(|what| matches!(what, What::Ask { key: Some(_), .. }));
        assert_eq!((under(&elsewhere), under(&here)), (0, keyed), "offers under the keys of each planner");
    }
    // Keys of members with one tag have one owner; those without belong to several, and no planner places them.
    let with_member_keys = |count: usize, tag: &str| {
        let member = |n: usize| json!({"class": "keyed", "service": "s", "cores": 1, "memory": 1, "key": format!("{tag}{n}")});
        json!({"deadlineMs": 3000, "members": (0..count).map(member).collect::<Vec<Value>>()})
    };
    let (status, answer) = call(rest, "POST /v1/groups", None, &with_member_keys(2, "{tag}/"));
    assert!(matches!(status, 201 | 307), "{status} {answer}");
    let (status, answer) = call(rest, "POST /v1/groups", None, &with_member_keys(40, "own-"));
    assert_eq!(status, 400, "{answer}");
    assert!(answer["detail"].as_str().is_some_and(|d| d.contains("another planner")), "{answer}");
    // Its owner is gone: the key does not move.
    owner.stop(Duration::from_secs(10)).expect("the owner stops");
    assert!(elsewhere.iter().all(|key| post(key).0 == 503));
}
