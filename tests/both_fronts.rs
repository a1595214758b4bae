//! The same job mix through the platform protocol and the REST API, concurrent retries, and keys that another
//! planner owns.

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

/// Imports a job mix from `LOG` with the program's own importer; returns the jobs and the importer's error
/// output.
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
    let stderr = String::from_utf8_lossy(&output.stderr).replace(&path.display().to_string(), "LOG");
    (lines.lines().map(|l| serde_json::from_str(l).expect("a job")).collect(), stderr)
}

/// The result of a job: how it ended, the retry delay in milliseconds, and the number of set-ups that the
/// machine received.
type JobOutcome = (String, Option<u64>, usize);

fn parameter(code: u8, value: &str) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value.as_bytes()].concat()
}

/// The value of a parameter in a message.
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

fn by_platform(mix: &[Value]) -> Vec<JobOutcome> {
    let (address, set_ups) = stand_in();
    let planner = Planner::start(&[address], None, None);
    let mut owner = Wire::connect(&planner.owners);
    let outcome_of = |(number, job): (u64, &Value)| {
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
        let mut response = owner.frame().expect("an answer");
        let placed = response[2] == 9;
        let ends = !text("description").ends_with("/run");
        if placed && ends {
            response = owner.frame().expect("a release");
        }
        let cause = find(&response, 17).map(|c| c[0]);
        let retry_after_ms = find(&response, 9).and_then(|ms| String::from_utf8(ms).ok()?.parse().ok());
        let outcome = match (placed, cause) {
            (true, None) => "Running",
            (true, Some(16)) => "Succeeded",
            (true, Some(_)) => "Lost",
            (false, Some(34)) => "refused",
            (false, Some(102)) => "deadline-passed",
            (false, _) => "failed",
        };
        (outcome.to_string(), retry_after_ms, set_ups.offers())
    };
    (1..).zip(mix).map(outcome_of).collect()
}

fn by_rest(mix: &[Value]) -> Vec<JobOutcome> {
    let (address, set_ups) = stand_in();
    let planner = Planner::start(&[address], None, Some(""));
    let (mut client, mut watcher) = (Wire::connect(&planner.rest), Wire::connect(&planner.rest));
    watcher.ask("GET /v1/jobs?watch=true");
    watcher.answer().expect("a stream");
    let outcome_of = |job: &Value| {
        client.ask(&format!("POST /v1/jobs {} {}", job["key"].as_str().unwrap_or("-"), job["job"]));
        let response = client.answer().expect("an answer");
        let body: Value = serde_json::from_str(response.split_once('\n').expect("a body").1).expect("JSON");
        let outcome = match body["type"].as_str().and_then(|kind| kind.rsplit(':').next()) {
            Some(kind) if kind != "job-ended" => kind.to_string(),
            // The job was placed; the watch shows how it went on.
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
        (outcome, body["retryAfterMs"].as_u64(), set_ups.offers())
    };
    mix.iter().map(outcome_of).collect()
}

#[test]
fn the_same_mix_ends_alike_through_both_fronts() {
    let (mut mix, stderr) = mix();
    assert_eq!(stderr, "LOG:6: not an access log line, from byte 14\n");
    let mut once = mix[7].clone();
    (once["job"]["class"], once["key"]) = (json!("once"), json!("once-1"));
    mix.insert(7, once);
    let (platform, rest) = std::thread::scope(|s| {
        let platform = s.spawn(|| by_platform(&mix));
        (platform.join().expect("no panic"), by_rest(&mix))
    });
    let outcome: Vec<&str> = platform.iter().map(|(outcome, _, _)| outcome.as_str()).collect();
    let refused = ["refused", "refused", "deadline-passed", "deadline-passed"];
    let wanted =
        [&["Running", "Succeeded"][..], &refused, &["refused", "failed", "refused", "Succeeded", "Lost"]];
    assert_eq!(outcome, wanted.concat());
    assert_eq!(platform, rest);
}

/// The sub-command `submit` prints how each job of a mix ended, and follows redirects to the planner that
/// owns a key.
#[test]
fn a_mix_is_submitted_by_the_client() {
    let (address, set_ups) = stand_in();
    let owner = Planner::start(&[address], None, Some(""));
    let url = format!("http://{}", owner.rest);
    let rest = format!("ownUrl: \"http://127.0.0.1:1\", fleet: [\"http://127.0.0.1:1\", \"{url}\"]");
    let (elsewhere, set_ups_at_first) = stand_in();
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
    std::fs::remove_file(&path).expect("the mix is deleted");
    let lines: Vec<String> = String::from_utf8_lossy(&output.stdout).lines().map(str::to_string).collect();
    let wanted: Vec<String> =
        (1..=8).map(|n| format!("{n} 201 Running")).chain(["total 201 8".into()]).collect();
    assert_eq!(lines, wanted);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && stderr.contains(".jsonl:9: "), "{stderr}");
    let (there, here) = (set_ups.offers(), set_ups_at_first.offers());
    assert_eq!((there + here, there > 0, here > 0), (8, true, true));
}

#[test]
fn retries_at_the_same_time_make_one_attempt() {
    let (address, set_ups) = stand_in();
    let planner = Planner::start(&[address], None, Some(""));
    let body =
        r#"{"class":"keyed","service":"s","cores":1,"memory":1,"deadlineMs":4000,"description":"POST /run"}"#;
    let ask = || {
        let mut client = Wire::connect(&planner.rest);
        client.ask(&format!("POST /v1/jobs same {body}"));
        let response = client.answer().expect("an answer");
        let job: Value = serde_json::from_str(response.split_once('\n').expect("a body").1).expect("JSON");
        (response[..3].to_string(), job["id"].to_string())
    };
    let mut responses: Vec<(String, String)> = std::thread::scope(|s| {
        let asked: Vec<_> = (0..16).map(|_| s.spawn(ask)).collect();
        asked.into_iter().map(|a| a.join().expect("no panic")).collect()
    });
    assert!(responses.iter().all(|(_, id)| *id == responses[0].1), "{responses:?}");
    responses.sort();
    assert_eq!(
        responses.iter().filter(|(status, _)| status == "201").count(),
        1,
        "one job is new, the other requests joined it"
    );
    assert_eq!(set_ups.offers(), 1);
}

#[test]
fn a_key_of_another_planner_is_never_tried_here() {
    let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let url = format!("http://{}", other.local_addr().expect("its address"));
    let (address, set_ups) = stand_in();
    let rest = format!("ownUrl: \"http://127.0.0.1:1\", fleet: [\"http://127.0.0.1:1\", \"{url}\"]");
    let planner = Planner::start(&[address], None, Some(&rest));
    let mut client = Wire::connect(&planner.rest);
    let body =
        r#"{"class":"keyed","service":"s","cores":1,"memory":1,"deadlineMs":4000,"description":"POST /run"}"#;
    let mut ask = |key: usize| {
        client.ask(&format!("POST /v1/jobs?wait=true key{key} {body}"));
        client.answer().expect("an answer")
    };
    let health_checks = std::thread::spawn(move || {
        // Health checks succeed during the first round of requests.
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
    let location = format!("location: {url}/v1/jobs?wait=true");
    for response in &first {
        assert!(response.starts_with("201") || response.contains(&location), "{response}");
    }
    assert!(!elsewhere.is_empty() && elsewhere.len() < 12, "{elsewhere:?}");
    // A connection without a request ends the other planner's thread.
    drop(std::net::TcpStream::connect(url.trim_start_matches("http://")).expect("a connection"));
    assert_eq!(health_checks.join().expect("no panic"), elsewhere.len());
    assert!(elsewhere.iter().all(|&key| ask(key).starts_with("503")));
    assert_eq!(set_ups.offers(), 12 - elsewhere.len());
}
