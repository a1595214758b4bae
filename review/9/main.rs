//! Case 9: the answer of one member of a group is lost. The group is given up, but that member runs on, alone.

mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::sleep;

/// How long a part of a group may run: a second, and 50 ms as on sockets every limit is longer by that.
const PART_MS: u64 = 1_050;

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
        let groups = "groups: { default: { maxMembers: 8, partialMs: 1000, cutWaitMs: 250, tries: 2 } }";
        let planner = Planner::start(place, |listen| config(listen, &first, Some(board.port)), "", groups)?;
        wait_for_nodes(planner.rest, entries.len())?;

        let member = |service: &str| {
            format!("{{\"class\":\"keyed\",\"service\":\"{service}\",\"cores\":0.5,\"memory\":1.5}}")
        };
        let members = ["00000000b4d65521", "00000000b4d65522", "00000000b4d65529"].map(member).join(",");
        let body = format!("{{\"deadlineMs\":8000,\"members\":[{members}]}}");
        let reply = told_call(planner.rest, "POST", "/v1/groups", Some("night-1"), &body)?;
        sleep(ms(10_000));
        let _ = told_call(planner.rest, "GET", "/v1/groups", None, "")?;
        if reply.status == 201 {
            note("the group stands whole");
            return Ok(true);
        }
        // It does not stand whole: no member may have run for longer than a second.
        let mut held = true;
        for copy in ledger.copies.lock().unwrap().iter() {
            let Some(from) = copy.ran_from else { continue };
            let ran = copy.over.unwrap_or(at()) - from;
            let now = if copy.over.is_none() { " and runs still" } else { "" };
            note(&format!("member {} ran at {} for {ran} ms{now}", copy.idem, copy.node));
            if ran > PART_MS {
                held = false;
                note(&format!("BROKEN: a part of the group, member {}, outlived a second", copy.idem));
            }
        }
        drop(planner);
        Ok(held)
    })
}
