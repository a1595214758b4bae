//! Case 6: after a short partition many answers come at once. The planner takes its owner for one that does not read,
//! and closes the connection with set-ups open and answers unwritten: requests whose tasks run are never answered.

mod kit;

use kit::*;
use std::sync::Arc;
use std::thread::sleep;

/// Set-ups of one owner on one connection, in `SPAN_MS`: some 85 a second.
const SET_UPS: u64 = 70;
const SPAN_MS: u64 = 820;
/// How long the nodes of the second hall are cut off.
const CUT_MS: u64 = 1_750;
/// How long an owner waits.
const WAIT_MS: u64 = 8_000;

fn main() {
    run(6, |place| {
        let ledger = Arc::new(Ledger::default());
        // The nodes hold no copy of the programs, so that a start takes a second.
        let ways = Ways { start_ms: 1_000, life_ms: 25_000, body_bytes: 15_000 };
        let cut = Cut::default();
        let mut entries = Vec::new();
        for at in 0..12 {
            let zone = ["hall-a", "hall-b"][at % 2];
            let node = Node::start(&format!("node-{}", at + 1), &ledger, ways);
            let port = match zone {
                "hall-b" => proxy_behind(node.port, Arc::new(|_, _| Do::Pass), &cut),
                _ => node.port,
            };
            entries.push(entry(&node.name, &format!("127.0.0.1:{port}"), zone, "in_service", (30.0, 60.0)));
        }
        let first = event(1, &entries);
        let board = Board::start(first.clone());
        let mut planner = Planner::start(place, |listen| config(listen, &first, Some(board.port)), "", "")?;
        wait_for_nodes(planner.rest, entries.len())?;

        let mut owner = Owner::connect(planner.port)?;
        let ids = || (1..=SET_UPS).map(|number| 0x9b1f_03aa_5c7e_0000 + number);
        for (number, id) in ids().enumerate() {
            owner.set_up(id, "stateless", WAIT_MS, 0xb4d6_5521 + number as u64 * 0x77)?;
            sleep(ms(SPAN_MS / SET_UPS));
        }
        if trouble() {
            cut.set(true);
        }
        sleep(ms(CUT_MS));
        if trouble() {
            cut.set(false);
        }
        // The owner reads all that comes, and waits until its time is over.
        sleep(ms(WAIT_MS + 1_000));
        let unanswered: Vec<u64> =
            ids().filter(|id| owner.heard(9, *id).is_none() && owner.heard(12, *id).is_none()).collect();
        note(&format!("{} of {SET_UPS} set-ups were answered", SET_UPS as usize - unanswered.len()));
        for id in &unanswered {
            let uid = format!("{id:016x}");
            let copies = ledger.copies.lock().unwrap();
            let runs: Vec<String> = copies
                .iter()
                .filter(|c| c.uid == uid)
                .map(|c| {
                    let time = |at: Option<u64>| at.map_or("-".to_string(), |at| at.to_string());
                    format!("ran at {} from {} to {} ms", c.node, time(c.ran_from), time(c.over))
                })
                .collect();
            note(&format!("BROKEN: task {uid} had no answer within {WAIT_MS} ms, nor after; it {}", runs.join(", ")));
        }
        if !planner.is_running() {
            note("the planner has ended");
        }
        Ok(unanswered.is_empty())
    })
}
