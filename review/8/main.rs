//! Case 8: a node drains. Its tasks run on until it stops, but the planner places a member of a group anew.

mod kit;

use kit::*;
use std::sync::Arc;
use std::thread::sleep;

/// One of them drains: 8% (up to 16% at a time are allowed).
const NODES: usize = 12;

fn main() {
    run(8, |place| {
        let ledger = Arc::new(Ledger::default());
        let ways = Ways { start_ms: 60, life_ms: 25_000, body_bytes: 60 };
        let nodes: Vec<Arc<Node>> = (1..=NODES).map(|at| Node::start(&format!("node-{at}"), &ledger, ways)).collect();
        let entry_of = |at: usize, state: &str| {
            entry(&nodes[at].name, &nodes[at].address(), ["hall-a", "hall-b"][at % 2], state, (30.0, 60.0))
        };
        let entries: Vec<String> = (0..nodes.len()).map(|at| entry_of(at, "in_service")).collect();
        let first = event(1, &entries);
        let board = Board::start(first.clone());
        let groups = "groups: { default: { maxMembers: 8, partialMs: 1000, cutWaitMs: 250, tries: 2 } }";
        let planner = Planner::start(place, |listen| config(listen, &first, Some(board.port)), "", groups)?;
        wait_for_nodes(planner.rest, entries.len())?;

        let member = |service: &str| {
            format!("{{\"class\":\"keyed\",\"service\":\"{service}\",\"cores\":0.5,\"memory\":1.5}}")
        };
        let body = format!(
            "{{\"deadlineMs\":8000,\"onLoss\":\"replace\",\"members\":[{},{}]}}",
            member("00000000b4d65521"),
            member("00000000b4d65522")
        );
        let reply = told_call(planner.rest, "POST", "/v1/groups", Some("night-1"), &body)?;
        if reply.status != 201 {
            return Err("the group was not placed".into());
        }
        // Longer than the window in which nodes drop repeats.
        sleep(ms(WINDOW_MS + 1_000));
        let holder = ledger.copies.lock().unwrap().iter().find(|c| c.ran_from.is_some()).map(|c| c.node.clone());
        let at_node = nodes.iter().position(|n| Some(&n.name) == holder.as_ref()).ok_or("no member runs")?;
        if trouble() {
            // A rolling deploy: the node drains for 6 s, then it is gone.
            nodes[at_node].drain();
            board.tell(&[entry_of(at_node, "terminating")]);
            sleep(ms(6_000));
            nodes[at_node].halt();
            board.tell(&[entry_of(at_node, "terminated")]);
        } else {
            sleep(ms(6_000));
        }
        sleep(ms(4_000));
        let reply = told_call(planner.rest, "GET", "/v1/groups", None, "")?;
        let doubled = ledger.doubled(100);
        doubled.iter().for_each(|line| note(&format!("BROKEN: {line}")));
        drop(planner);
        if reply.status != 200 {
            return Err("the groups could not be listed".into());
        }
        Ok(doubled.is_empty())
    })
}
