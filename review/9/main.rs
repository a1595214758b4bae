//! Case 9: an answer never arrives; the client is refused, comes again as it is told, and its key runs twice.

mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::sleep;

fn main() {
    run(9, |place| {
        let ledger = Arc::new(Ledger::default());
        let ways = Ways { start_ms: 60, life_ms: 25_000, body_bytes: 60 };
        let armed = Arc::new(AtomicBool::new(trouble()));
        let mut entries = Vec::new();
        for (at, zone) in ["hall-a", "hall-b", "hall-a", "hall-b"].iter().enumerate() {
            let node = Node::start(&format!("node-{}", at + 1), &ledger, ways);
            let (armed, name) = (armed.clone(), node.name.clone());
            let port = proxy(
                node.port,
                Arc::new(move |to_node, line| {
                    if !to_node && line.contains("\"running\"") && armed.swap(false, SeqCst) {
                        note(&format!("network: an answer of {name} is lost, its connection is of no more use"));
                        return Do::Silence;
                    }
                    Do::Pass
                }),
            );
            entries.push(entry(&node.name, &format!("127.0.0.1:{port}"), zone, "in_service", (30.0, 60.0)));
        }
        let first = event(1, &entries);
        let board = Board::start(first.clone());
        let planner = Planner::start(place, |listen| config(listen, &first, Some(board.port)), "", "")?;
        wait_for_nodes(planner.rest, entries.len())?;

        // The client asks, and after each refusal comes again under its key once the time that it was told is over.
        let mut placed = false;
        while at() < 60_000 && !placed {
            let reply = told_call(planner.rest, "POST", "/v1/jobs", Some("notice-1"), &job("keyed"))?;
            match reply.status {
                200 | 201 => placed = true,
                429 | 503 | 504 => sleep(ms(1_000 * reply.retry_after_s.unwrap_or(1))),
                _ => break, // No promise that a retry is harmless: the client does not come again.
            }
        }
        // Once it is placed, the client asks once more under its key, later than the window after its first try.
        while placed && at() < 1_600 + WINDOW_MS + 1_000 {
            sleep(ms(10));
        }
        if placed {
            told_call(planner.rest, "POST", "/v1/jobs", Some("notice-1"), &job("keyed"))?;
        }
        sleep(ms(1_500));
        let doubled = ledger.doubled(100);
        doubled.iter().for_each(|line| note(&format!("BROKEN: {line}")));
        drop(planner);
        if !trouble() && !placed {
            return Err("without the disruption the job was not placed".into());
        }
        Ok(doubled.is_empty())
    })
}
