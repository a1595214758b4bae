//! The demonstration: a planner and five stand-in nodes on free ports, a short mix of jobs, and the outcome
//! of each.

use super::nodes;
use crate::node::{Act, Plan};
use crate::planner::{config, Planner, Program};
use crate::Clock;
use serde_json::{json, Value};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

const FILE: &str = "{
  rest: { listen: \"127.0.0.1:0\" },
  limits: {
    classes: { keyed: { attempts: 3, totalMs: 6000 } },
    routes: [ { name: \"bulk\", match: { service: \"bulk-*\" }, ratePerS: 0.5, burst: 1 } ],
  },
}";

fn post(to: SocketAddr, key: Option<&str>, body: &Value) -> io::Result<(u16, Value)> {
    use std::io::Read;
    let mut stream = std::net::TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let key = key.map(|k| format!("Idempotency-Key: {k}\r\n")).unwrap_or_default();
    let body = body.to_string();
    let length = body.len();
    let head =
        format!("POST /v1/jobs HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n{key}Content-Length: {length}");
    stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default();
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, serde_json::from_str(body).unwrap_or_default()))
}

/// Runs the demonstration and writes a table of the jobs; returns the number of jobs without an answer.
///
/// # Errors
/// If a process or node cannot be started or reached, or the output cannot be written.
pub fn run(program: &Program, out: &mut impl Write) -> io::Result<usize> {
    let plan = |at: usize| {
        let usual =
            Plan { name: format!("node-{at}"), seed: at as u64, life_ms: (300, 900), ..Plan::default() };
        match at {
            1 => Plan { refuse: 0.8, ..usual },
            2 => Plan { fail: 0.6, ..usual },
            _ => usual,
        }
    };
    let nodes = nodes(5, Clock::start(), plan)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address()).collect();
    let planner = Planner::start(program, &config(&addresses, 7), Some(FILE))?;
    let rest = planner.rest.ok_or_else(|| io::Error::other("the planner has no REST front"))?;
    writeln!(out, "planner: owners at {}, REST at http://{rest}", planner.owners)?;
    writeln!(
        out,
        "five stand-in nodes; node-1 refuses most offers, node-2 fails many, node-3 hangs from job 13 on\n"
    )?;
    writeln!(
        out,
        "{:<4} {:<10} {:<12} {:<16} {:<9} {:<8} why",
        "job", "class", "service", "status", "node", "tries"
    )?;
    let mut unanswered = 0;
    for number in 1..=24 {
        if number == 13 {
            nodes[3].act(Act::Hang);
        }
        let (class, service) = match number % 6 {
            0 => ("stateless", "bulk-index"),
            1 | 4 => ("keyed", "notices"),
            _ => ("stateless", "search"),
        };
        // The last request repeats job 22, as a client does that lost the answer.
        let (class, service, of) =
            if number == 24 { ("keyed", "notices", 22) } else { (class, service, number) };
        let key = format!("umbrella-{of}");
        let body = json!({"class": class, "service": service, "cores": 0.5, "memory": 1.0, "deadlineMs": 3000,
            "description": format!("POST /{service}")});
        let key = (class == "keyed").then_some(key.as_str());
        let (status, answer) = post(rest, key, &body).unwrap_or_default();
        unanswered += usize::from(status == 0);
        let job = answer.get("job").unwrap_or(&answer);
        let phase =
            job["status"]["phase"].as_str().unwrap_or(answer["title"].as_str().unwrap_or("no answer"));
        let node = job["status"]["machine"].as_str().unwrap_or("-");
        let tries = job["status"]["attempts"].as_u64().map_or("-".to_string(), |n| n.to_string());
        let mut why = answer["detail"].as_str().unwrap_or_default().to_string();
        if let Some(ms) = answer["retryAfterMs"].as_u64() {
            why += &format!("; retry in {ms} ms");
        }
        let status = format!("{status} {}", phase.chars().take(11).collect::<String>());
        writeln!(out, "{number:<4} {class:<10} {service:<12} {status:<16} {node:<9} {tries:<8} {why}")?;
    }
    writeln!(out, "\n{:<8} {:>6} {:>6} {:>8}", "node", "offers", "ran", "refused")?;
    for node in &nodes {
        let ledger = node.ledger();
        let ran = ledger.count(|w| matches!(w, crate::node::What::Runs | crate::node::What::RunsUntold));
        let refused = ledger.count(|w| matches!(w, crate::node::What::Refused));
        writeln!(out, "{:<8} {:>6} {ran:>6} {refused:>8}", ledger.node, ledger.asks())?;
    }
    planner.stop(Duration::from_secs(20))?;
    writeln!(out, "\nthe planner was stopped: it answered all accepted jobs and exited")?;
    Ok(unanswered)
}
