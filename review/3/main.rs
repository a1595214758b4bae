//! Case 3: a client retries a keyed group through REST, and its retry comes to another planner of the fleet, as
//! the front layer spreads clients over them. No two attempts under one key may be out together. For comparison
//! the same is done with a single keyed job.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

const BOXES: usize = 6;

fn main() {
    let folder = std::env::var("TMPDIR").expect("TMPDIR");
    let record = Record::create(&std::env::var("RECORD").expect("RECORD"));
    let plan = Arc::new(|_: &Json| Plan { start_ms: 2500, life_ms: 10_000 });
    let machines: Vec<_> =
        (0..BOXES).map(|n| Machine::start(&format!("s-{n:02}"), &record, 2, plan.clone())).collect();
    let board = board();
    let rest: Vec<SocketAddr> =
        (0..2).map(|_| format!("127.0.0.1:{}", free_port()).parse().unwrap()).collect();
    let mut planners = Vec::new();
    for n in 0..2 {
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let file = format!("{folder}/operators-{n}.json5");
        let text = format!(
            "{{ rest: {{ listen: \"{}\", fleet: [\"http://{}\", \"http://{}\"], ownUrl: \"http://{}\" }},\n  groups: {{ }} }}\n",
            rest[n], rest[0], rest[1], rest[n]
        );
        std::fs::write(&file, text).unwrap();
        let settings = settings(2, n as u32);
        let extra = format!("--operators {file}");
        let name = format!("n{}", n + 1);
        planners.push(Planner::start(
            &record,
            &name,
            listen,
            &folder,
            board,
            (&machines, n),
            &settings,
            &extra,
        ));
    }
    for planner in &mut planners {
        if !planner.wait_until_listening() {
            finish(&record, planners, 2, "a planner did not listen");
        }
    }
    sleep_ms(2500);
    let key = format!("night-{:016x}", random());
    let member = "{\"class\":\"keyed\",\"service\":\"notices\",\"cores\":0.5,\"memory\":1.5}";
    let body = format!("{{\"deadlineMs\":7000,\"members\":[{member},{member}]}}");
    let headers = format!("idempotency-key: {key}\r\ncontent-type: application/json\r\n");
    // A client follows a redirect to the planner that owns the key.
    let ask = |n: usize, path: &str, headers: &str, body: &str, most_ms: u64| {
        record.line(format!("client > POST {path} to n{}, {}", n + 1, headers.lines().next().unwrap_or("")));
        let mut answer = http(rest[n], "POST", path, headers, body, most_ms);
        if answer.as_ref().is_some_and(|(status, _, _)| *status == 307) {
            record.line(format!("client < 307; client > POST {path} to n{}", 2 - n));
            answer = http(rest[1 - n], "POST", path, headers, body, most_ms);
        }
        match answer {
            Some((status, _, body)) => record.line(format!("client < {status} {}", body.trim())),
            None => record.line(format!("client < no answer within {most_ms} ms; it closes its connection")),
        };
    };
    // The client waits for a second and then asks again, with the same key and the same body.
    let group = |n: usize, most_ms: u64| ask(n, "/v1/groups", &headers, &body, most_ms);
    if trouble() {
        group(0, 1000);
        group(1, 8000);
    } else {
        group(0, 8000);
    }
    // The same with a single keyed job.
    let key = format!("single-{:016x}", random());
    let headers = format!("idempotency-key: {key}\r\ncontent-type: application/json\r\n");
    let body =
        "{\"deadlineMs\":7000,\"class\":\"keyed\",\"service\":\"notices\",\"cores\":0.5,\"memory\":1.5}";
    let job = |n: usize, most_ms: u64| ask(n, "/v1/jobs", &headers, body, most_ms);
    if trouble() {
        job(0, 1000);
        job(1, 8000);
    } else {
        job(0, 8000);
    }
    sleep_ms(3000);
    let mut by_key: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in machines.iter().flat_map(|m| m.runs()) {
        by_key.entry(run.idem.clone().unwrap_or_default()).or_default().push(run);
    }
    let mut together = 0;
    for (key, runs) in &by_key {
        for (a, first) in runs.iter().enumerate() {
            for second in &runs[a + 1..] {
                // An attempt is out until its end, or its answer, is written, or it is given up.
                let end = |r: &Run| r.over.unwrap_or(f64::INFINITY).min(r.runs.unwrap_or(f64::INFINITY));
                if first.came < end(second) && second.came < end(first) {
                    together += 1;
                    let out = |r: &Run| {
                        format!(
                            "task {} at {}, came {:.3}, out until {:.3}",
                            r.uid,
                            r.machine,
                            r.came,
                            end(r)
                        )
                    };
                    record.line(format!("TOGETHER key {key}: {}; {}", out(first), out(second)));
                }
            }
        }
    }
    if by_key.is_empty() {
        finish(&record, planners, 2, "nothing was sent to the boxes");
    }
    let why = format!("{} keys, {together} pairs of attempts of one key were out together", by_key.len());
    finish(&record, planners, i32::from(together > 0), &why);
}
