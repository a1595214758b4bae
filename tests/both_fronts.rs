//! The same job mix through both fronts, retries at the same time, and keys that belong to another planner.

mod exchange;

use exchange::{stand_in, Planner, Wire};
use serde_json::{json, Value};
use std::process::Command;

const LOG: &str = r#"10.0.0.1 - - [24/Dec/2025:08:00:00 +0100] "GET /run HTTP/1.1" 200 512
10.0.0.1 - ann [24/Dec/2025:08:00:01 +0100] "POST /end HTTP/1.1" 201 20000 "-" "a \"quoted\" agent"
10.0.0.1 - - [24/Dec/2025:08:00:02 +0100] "GET /full HTTP/1.1" 200 -
10.0.0.1 - - [24/Dec/2025:08:00:03 +0100] "POST /full HTTP/1.1" 200 -
10.0.0.1 - - [24/Dec/2025:08:00:04 +0100] "GET /silent HTTP/1.1" 200 2000000
this line is none
10.0.0.1 - - [24/Dec/2025:08:00:05 +0100] "PUT /silent HTTP/1.1" 200 1
10.0.0.1 - - [24/Dec/2025:08:00:06 +0100] "GET /error HTTP/1.1" 200 1
10.0.0.1 - - [24/Dec/2025:08:00:07 +0100] "DELETE /error?x=1 HTTP/1.1" 200 1
10.0.0.1 - - [24/Dec/2025:08:00:08 +0100] "GET /end HTTP/1.1" 200 1
10.0.0.1 - - [24/Dec/2025:08:00:09 +0100] "POST /lose HTTP/1.1" 200 1
"#;

/// A mix by the program's own importer, with every third of its POSTs made a job that must run once.
fn mix() -> (Vec<Value>, String) {
    let path = std::env::temp_dir().join(format!("burlhook-mix-{}.log", std::process::id()));
    std::fs::write(&path, LOG).expect("a log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_burlhook"));
    let output =
        command.args(["import", "--format", "combined", "--deadline-ms", "1500"]).arg(&path).output();
    let output = output.expect("it runs");
    assert!(output.status.success());
    let lines = String::from_utf8(output.stdout).expect("text");
    let _ = std::fs::remove_file(&path);
    let told = String::from_utf8_lossy(&output.stderr).replace(&path.display().to_string(), "LOG");
    (lines.lines().map(|l| serde_json::from_str(l).expect("a job")).collect(), told)
}

/// What came of a job: how it ended, when its owner may come back, and the offers that the box saw.
type Fate = (String, Option<u64>, usize);

fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// The value of a parameter of a message.
fn find(message: &[u8], wanted: u8) -> Option<Vec<u8>> {
    let mut rest = &message[11..];
    while let [code, high, low, after @ ..] = rest {
        let (value, after) = after.split_at(usize::from(u16::from_be_bytes([*high, *low])));
        if *code == wanted {
            return Some(value.to_vec());
        }
        rest = after;
    }
    None
}

fn by_platform(mix: &[Value]) -> Vec<Fate> {
    let (address, launches) = stand_in();
    let planner = Planner::start(&[address], None, None);
    let mut owner = Wire::connect(&planner.owners);
    let fate = |(number, job): (u64, &Value)| {
        let asked = &job["job"];
        let text = |name: &str| asked[name].as_str().expect("text").to_string();
        let figures = format!("cores:{};memory:{};service:00000000000000aa", asked["cores"], asked["memory"]);
        let key = job["key"].as_str().map(|key| parameter(16, key)).unwrap_or_default();
        let message = [
            vec![1],
            number.to_be_bytes().to_vec(),
            parameter(3, &text("class")),
            parameter(4, &asked["deadlineMs"].to_string()),
            parameter(7, "00000000000000cc"),
            key,
            parameter(8, &figures),
            parameter(18, &text("description")),
        ]
        .concat();
        owner.send(&[&(message.len() as u16).to_be_bytes()[..], &message].concat());
        let mut said = owner.frame().expect("an answer");
        let placed = said[2] == 9;
        let ends = !text("description").ends_with("/run");
        if placed && ends {
            said = owner.frame().expect("a release");
        }
        let cause = find(&said, 17).map(|c| c[0]);
        let stay_away = find(&said, 9).and_then(|ms| String::from_utf8(ms).ok()?.parse().ok());
        let words = match (placed, cause) {
            (true, None) => "Running",
            (true, Some(16)) => "Succeeded",
            (true, Some(_)) => "Lost",
            (false, Some(34)) => "refused",
            (false, Some(102)) => "deadline-passed",
            (false, _) => "failed",
        };
        (words.to_string(), stay_away, launches.offers())
    };
    (1..).zip(mix).map(fate).collect()
}

fn by_rest(mix: &[Value]) -> Vec<Fate> {
    let (address, launches) = stand_in();
    let planner = Planner::start(&[address], None, Some(""));
    let (mut client, mut watcher) = (Wire::connect(&planner.rest), Wire::connect(&planner.rest));
    watcher.ask("GET /v1/jobs?watch=true");
    watcher.answer().expect("a stream");
    let fate = |job: &Value| {
        client.ask(&format!("POST /v1/jobs {} {}", job["key"].as_str().unwrap_or("-"), job["job"]));
        let said = client.answer().expect("an answer");
        let body: Value = serde_json::from_str(said.split_once('\n').expect("a body").1).expect("JSON");
        let words = match body["type"].as_str().and_then(|kind| kind.rsplit(':').next()) {
            Some(kind) if kind != "job-ended" => kind.to_string(),
            // It stood; how it went on is for the watch to tell.
            _ => loop {
                let change: Value = serde_json::from_str(&watcher.answer().expect("a change")).expect("JSON");
                let (object, phase) = (&change["object"], &change["object"]["status"]["phase"]);
                let id = body.get("job").unwrap_or(&body)["id"].clone();
                let stays = job["job"]["description"].as_str().is_some_and(|d| d.ends_with("/run"));
                if object["id"] == id && *phase != "Pending" && (stays || *phase != "Running") {
                    break phase.as_str().expect("text").to_string();
                }
            },
        };
        (words, body["retryAfterMs"].as_u64(), launches.offers())
    };
    mix.iter().map(fate).collect()
}

#[test]
fn the_same_mix_ends_alike_through_both_fronts() {
    let (mut mix, told) = mix();
    assert_eq!(told, "LOG:6: not an access log line, from byte 14\n");
    let mut once = mix[7].clone();
    (once["job"]["class"], once["key"]) = (json!("once"), json!("once-1"));
    mix.insert(7, once);
    let (platform, rest) = std::thread::scope(|s| {
        let platform = s.spawn(|| by_platform(&mix));
        (platform.join().expect("no panic"), by_rest(&mix))
    });
    let words: Vec<&str> = platform.iter().map(|(words, _, _)| words.as_str()).collect();
    let refused = ["refused", "refused", "deadline-passed", "deadline-passed"];
    let wanted =
        [&["Running", "Succeeded"][..], &refused, &["refused", "failed", "refused", "Succeeded", "Lost"]];
    assert_eq!(words, wanted.concat());
    assert_eq!(platform, rest);
}

/// The client sub-command tells how each job of a mix ended, and follows a redirect to a key's owner.
#[test]
fn a_mix_is_submitted_by_the_client() {
    let (address, launches) = stand_in();
    let owner = Planner::start(&[address], None, Some(""));
    let url = format!("http://{}", owner.rest);
    let rest = format!("ownUrl: \"http://127.0.0.1:1\", fleet: [\"http://127.0.0.1:1\", \"{url}\"]");
    let (elsewhere, none_there) = stand_in();
    let first = Planner::start(&[elsewhere], None, Some(&rest));
    let job = |key: usize| {
        json!({"atMs": 0, "key": format!("key{key}"), "job": {"class": "keyed", "service": "s", "cores": 1, "memory": 1,
            "deadlineMs": 4000, "description": "POST /run"}})
    };
    let mix: Vec<String> = (0..8).map(|key| job(key).to_string()).collect();
    let path = std::env::temp_dir().join(format!("burlhook-mix-{}.jsonl", std::process::id()));
    std::fs::write(&path, mix.join("\n") + "\nno job\n").expect("a mix");
    let mut command = Command::new(env!("CARGO_BIN_EXE_burlhook"));
    let output = command.args(["submit", "--url", &format!("http://{}", first.rest)]).arg(&path).output();
    let output = output.expect("it runs");
    std::fs::remove_file(&path).expect("the mix goes");
    let said: Vec<String> = String::from_utf8_lossy(&output.stdout).lines().map(str::to_string).collect();
    let wanted: Vec<String> =
        (1..=8).map(|n| format!("{n} 201 Running")).chain(["total 201 8".into()]).collect();
    assert_eq!(said, wanted);
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && told.contains(".jsonl:9: "), "{told}");
    let (there, here) = (launches.offers(), none_there.offers());
    assert_eq!((there + here, there > 0, here > 0), (8, true, true));
}

#[test]
fn retries_at_the_same_time_make_one_attempt() {
    let (address, launches) = stand_in();
    let planner = Planner::start(&[address], None, Some(""));
    let body =
        r#"{"class":"keyed","service":"s","cores":1,"memory":1,"deadlineMs":4000,"description":"POST /run"}"#;
    let ask = || {
        let mut client = Wire::connect(&planner.rest);
        client.ask(&format!("POST /v1/jobs same {body}"));
        let said = client.answer().expect("an answer");
        let job: Value = serde_json::from_str(said.split_once('\n').expect("a body").1).expect("JSON");
        (said[..3].to_string(), job["id"].to_string())
    };
    let mut said: Vec<(String, String)> = std::thread::scope(|s| {
        let asked: Vec<_> = (0..16).map(|_| s.spawn(ask)).collect();
        asked.into_iter().map(|a| a.join().expect("no panic")).collect()
    });
    assert!(said.iter().all(|(_, id)| *id == said[0].1), "{said:?}");
    said.sort();
    assert_eq!(
        said.iter().filter(|(status, _)| status == "201").count(),
        1,
        "one is new, the others joined it"
    );
    assert_eq!(launches.offers(), 1);
}

#[test]
fn a_key_of_another_planner_is_never_tried_here() {
    let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a place to listen");
    let url = format!("http://{}", other.local_addr().expect("its address"));
    let (address, launches) = stand_in();
    let rest = format!("ownUrl: \"http://127.0.0.1:1\", fleet: [\"http://127.0.0.1:1\", \"{url}\"]");
    let planner = Planner::start(&[address], None, Some(&rest));
    let mut client = Wire::connect(&planner.rest);
    let body =
        r#"{"class":"keyed","service":"s","cores":1,"memory":1,"deadlineMs":4000,"description":"POST /run"}"#;
    let mut ask = |key: usize| {
        client.ask(&format!("POST /v1/jobs?wait=true key{key} {body}"));
        client.answer().expect("an answer")
    };
    let well = std::thread::spawn(move || {
        // The other planner is well for as long as it is asked by the first round.
        let mut count = 0;
        while let Ok((stream, _)) = other.accept() {
            let mut wire = Wire::new(stream);
            if wire.line().is_none() {
                return count;
            }
            count += 1;
            wire.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
        count
    });
    let first: Vec<String> = (0..12).map(&mut ask).collect();
    let elsewhere: Vec<usize> = (0..12).filter(|&key| first[key].starts_with("307")).collect();
    let place = format!("location: {url}/v1/jobs?wait=true");
    for said in &first {
        assert!(said.starts_with("201") || said.contains(&place), "{said}");
    }
    assert!(!elsewhere.is_empty() && elsewhere.len() < 12, "{elsewhere:?}");
    // A connection that says nothing ends the other planner.
    drop(std::net::TcpStream::connect(url.trim_start_matches("http://")).expect("a connection"));
    assert_eq!(well.join().expect("no panic"), elsewhere.len());
    assert!(elsewhere.iter().all(|&key| ask(key).starts_with("503")));
    assert_eq!(launches.offers(), 12 - elsewhere.len());
}
