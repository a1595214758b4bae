//! Case 1: one of three planners is killed outright and started again. Tasks that end while it is away are released by
//! their boxes on the next connection, as the protocol says, and their owners hand them to the new process with
//! `at` as soon as it has passed a test. Each such task has to be released towards its owner.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const PLANNERS: usize = 3;
const BOXES: usize = 12;
const TASKS: u64 = 96;
/// The front asks the planner once a second whether it is up.
const TEST_EVERY_MS: u64 = 1000;
/// Seconds. The rule's bounds, each 50 ms longer on sockets.
const AFTER_RELEASE_S: f64 = 1.05;
const AFTER_END_S: f64 = 8.05;
/// Seconds that the judge adds for its own clock readings.
const SPARE_S: f64 = 0.5;

fn with(planner: Planner, mut others: Vec<Planner>) -> Vec<Planner> {
    others.push(planner);
    others
}

fn main() {
    let folder = std::env::var("TMPDIR").expect("TMPDIR");
    let record = Record::create(&std::env::var("RECORD").expect("RECORD"));
    // Each task starts within 150 ms and then runs for 4 to 12 s.
    let plan = Arc::new(|_: &Json| Plan { start_ms: 150, life_ms: 4000 + random() % 8000 });
    let machines: Vec<_> =
        (0..BOXES).map(|n| Machine::start(&format!("s-{n:02}"), &record, PLANNERS, plan.clone())).collect();
    let board = board();
    let all_settings: Vec<String> = (0..PLANNERS).map(|n| settings(PLANNERS as u32, n as u32)).collect();
    let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
    let from = Ipv4Addr::new(127, 0, 0, 21);
    let start =
        || Planner::start(&record, "n1", listen, &folder, board, (&machines, 0), &all_settings[0], "");
    let mut planner = start();
    if !planner.wait_until_listening() {
        finish(&record, vec![planner], 2, "the planner did not listen");
    }
    // The other planners stay up and have no tasks here.
    let mut others = Vec::new();
    for n in 1..PLANNERS {
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let name = format!("n{}", n + 1);
        let mut other =
            Planner::start(&record, &name, listen, &folder, board, (&machines, n), &all_settings[n], "");
        let listens = other.wait_until_listening();
        others.push(other);
        if !listens {
            finish(&record, with(planner, others), 2, "a planner did not listen");
        }
    }
    sleep_ms(2000);

    // The owner's tasks: about 36 new ones a second.
    let Some(mut owner) = Client::connect(&record, "owner", from, listen) else {
        finish(&record, with(planner, others), 2, "no connection to the planner");
    };
    let tasks: Vec<(u64, &str, u64)> =
        (0..TASKS).map(|n| (random(), if n % 5 < 3 { "stateless" } else { "keyed" }, 0xa0 + n % 8)).collect();
    for &(task, class, service) in &tasks {
        owner.send(&format!("set-up {task:016x} {class}"), &set_up(task, class, 8000, service, None, "run"));
        sleep_ms(28);
    }
    sleep_ms(2300);

    // What each task's owner has seen so far, on whatever connection.
    let mut seen: Vec<Got> = Vec::new();
    let mut new_process_at = f64::INFINITY;
    if trouble() {
        planner.kill();
        sleep_ms(50);
        seen = owner.got();
        owner.close();
        // The process is away for 3 s.
        sleep_ms(3000);
        planner = start();
        new_process_at = record.now();
        // The front asks once a second; its next question comes 0.7 s after the process was started.
        sleep_ms(700);
        let mut taken = None;
        for _ in 0..20 {
            if let Some(mut client) = Client::connect(&record, "owner (new)", from, listen) {
                client.send("test", &test(1));
                if client.wait(500, |g| g.kind == TESTED && g.cause == Some(1)).is_some() {
                    taken = Some(client);
                    break;
                }
            }
            sleep_ms(TEST_EVERY_MS);
        }
        let Some(mut client) = taken else {
            finish(&record, with(planner, others), 2, "the new process passed no test")
        };
        // The set-ups of a start arrive as soon as the first test has been passed: all that stands as far as
        // its owner was told.
        let runs: BTreeMap<String, Run> = machines
            .iter()
            .flat_map(|m| m.runs())
            .filter(|r| r.runs.is_some())
            .map(|r| (r.uid.clone(), r))
            .collect();
        for &(task, class, service) in &tasks {
            let answered = seen.iter().any(|g| g.task == task && g.kind == ANSWER);
            let over = seen.iter().any(|g| g.task == task && g.kind == RELEASE);
            if let (true, false, Some(run)) = (answered, over, runs.get(&format!("{task:016x}"))) {
                let at = run.machine.clone();
                client.send(
                    &format!("set-up {task:016x} at:{at}"),
                    &set_up(task, class, 8000, service, Some(&at), "run"),
                );
            }
        }
        owner = client;
    }

    // Until each task's end is long past every bound.
    loop {
        sleep_ms(500);
        let runs: Vec<Run> = machines.iter().flat_map(|m| m.runs()).collect();
        let last = runs
            .iter()
            .filter(|r| r.runs.is_some())
            .map(|r| r.over.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        if record.now() > last + AFTER_END_S + AFTER_RELEASE_S + 2.0 {
            break;
        }
        if record.now() > MOST_S as f64 - 15.0 {
            finish(&record, with(planner, others), 2, "tasks did not end in time");
        }
    }
    seen.extend(owner.got());
    // Those among the broken ones that the box still held when the new process was started.
    let mut told_new_process = 0;
    let (mut ended, mut late, mut unreleased) = (0, 0, 0);
    for run in machines.iter().flat_map(|m| m.runs()) {
        let task = u64::from_str_radix(&run.uid, 16).unwrap();
        let answered = seen.iter().any(|g| g.task == task && g.kind == ANSWER);
        let Some(over) = run.over.filter(|_| answered && run.how == "ended") else { continue };
        ended += 1;
        let told = seen.iter().find(|g| g.task == task && g.kind == RELEASE).map(|g| g.at);
        let due = (over + AFTER_END_S).max(run.released.map_or(0.0, |at| at + AFTER_RELEASE_S)) + SPARE_S;
        let box_told = run.released.map_or("never".into(), |at| format!("{at:.3}"));
        match told {
            Some(at) if at <= due => {}
            Some(at) => {
                late += 1;
                record.line(format!(
                    "LATE {} ended {over:.3}, box told {box_told}, owner told {at:.3}",
                    run.uid
                ));
            }
            None => {
                unreleased += 1;
                told_new_process += u32::from(over > new_process_at);
                record.line(format!(
                    "NOT RELEASED {} ended {over:.3}, box told {box_told}, due {due:.3}",
                    run.uid
                ));
            }
        }
    }
    if ended < TASKS as usize / 2 {
        finish(&record, with(planner, others), 2, &format!("only {ended} tasks stood and ended"));
    }
    let why = format!(
        "{ended} tasks stood and ended; {unreleased} were never released ({told_new_process} of them ended after \
         the new process was started), {late} too late"
    );
    finish(&record, with(planner, others), i32::from(unreleased + late > 0), &why);
}
