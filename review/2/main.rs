//! Case 2: a fifth of the boxes fall silent for 5 s while tasks stand on them. The planners tell the owners
//! that these tasks are lost; the platform finds after `owner_wait_s` that the boxes hold them, and hands them
//! back with `at`. Each has to be released towards its owner once it is over.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;

const BOXES: usize = 20;
const CUT_OFF: usize = 4;
const PLANNERS: usize = 3;
const TASKS: u64 = 240;
const CUT_OFF_MS: u64 = 5000;
/// Seconds. `owner_wait_s` of the settings.
const OWNER_WAIT_S: f64 = 3.0;
const AFTER_RELEASE_S: f64 = 1.05;
const AFTER_END_S: f64 = 8.05;
const SPARE_S: f64 = 0.5;

fn main() {
    let folder = std::env::var("TMPDIR").expect("TMPDIR");
    let record = Record::create(&std::env::var("RECORD").expect("RECORD"));
    let plan = Arc::new(|_: &Json| Plan { start_ms: 150, life_ms: 22_000 + random() % 5000 });
    let machines: Vec<_> =
        (0..BOXES).map(|n| Machine::start(&format!("s-{n:02}"), &record, PLANNERS, plan.clone())).collect();
    let board = board();
    let (mut planners, mut owners) = (Vec::new(), Vec::new());
    for n in 0..PLANNERS {
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let (name, settings) = (format!("n{}", n + 1), settings(PLANNERS as u32, n as u32));
        planners.push(Planner::start(&record, &name, listen, &folder, board, (&machines, n), &settings, ""));
    }
    for n in 0..PLANNERS {
        if !planners[n].wait_until_listening() {
            finish(&record, planners, 2, "a planner did not listen");
        }
    }
    sleep_ms(2000);
    for (n, planner) in planners.iter().enumerate() {
        let from = Ipv4Addr::new(127, 0, 0, 21 + n as u8);
        owners.extend(Client::connect(&record, &format!("owner at n{}", n + 1), from, planner.listen));
    }
    if owners.len() < PLANNERS {
        finish(&record, planners, 2, "no connection to a planner");
    }
    let tasks: Vec<(u64, &str, u64)> = (0..TASKS)
        .map(|n| (random(), if n % 5 < 3 { "stateless" } else { "keyed" }, 0xa00 + n * 7))
        .collect();
    for (n, &(task, class, service)) in tasks.iter().enumerate() {
        let bytes = set_up(task, class, 8000, service, None, "run");
        owners[n % PLANNERS].send(&format!("set-up {task:016x} {class}"), &bytes);
        sleep_ms(20);
    }
    sleep_ms(2500);
    if trouble() {
        for machine in machines.iter().take(CUT_OFF).cloned() {
            thread::spawn(move || machine.cut_off(CUT_OFF_MS));
        }
    }
    // The platform: a task that was lost and that a box holds 3 s later is handed to the planner.
    let mut handed: BTreeMap<u64, f64> = BTreeMap::new();
    loop {
        sleep_ms(20);
        let now = record.now();
        let got: Vec<(usize, Got)> =
            owners.iter().enumerate().flat_map(|(n, o)| o.got().into_iter().map(move |g| (n, g))).collect();
        for (n, got) in got {
            let is_loss = got.kind == RELEASE && got.cause != Some(16);
            if !is_loss || handed.contains_key(&got.task) || now < got.at + OWNER_WAIT_S {
                continue;
            }
            let Some(&(task, class, service)) = tasks.iter().find(|(task, _, _)| *task == got.task) else {
                continue;
            };
            let uid = format!("{task:016x}");
            match machines.iter().find(|m| m.holds(&uid)) {
                Some(machine) => {
                    let at = machine.name.as_str();
                    let bytes = set_up(task, class, 8000, service, Some(at), "run");
                    let sent = owners[n].send(&format!("set-up {uid} at:{at}"), &bytes);
                    handed.insert(task, sent);
                }
                None => {
                    record.line(format!("{uid} is held by no box: its owner would ask anew"));
                    handed.insert(task, f64::INFINITY);
                }
            }
        }
        let runs: Vec<Run> = machines.iter().flat_map(|m| m.runs()).collect();
        let last = runs
            .iter()
            .filter(|r| r.runs.is_some())
            .map(|r| r.over.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        if now > last + AFTER_END_S + SPARE_S + 1.0 {
            break;
        }
        if now > MOST_S as f64 - 10.0 {
            finish(&record, planners, 2, "tasks did not end in time");
        }
    }
    if planners.iter_mut().any(Planner::has_ended) {
        finish(&record, planners, 1, "a planner has ended");
    }
    let seen: Vec<Got> = owners.iter().flat_map(Client::got).collect();
    let (mut stood, mut unreleased, mut cut) = (0, 0, 0);
    let back = handed.values().filter(|at| at.is_finite()).count();
    for run in machines.iter().flat_map(|m| m.runs()) {
        let task = u64::from_str_radix(&run.uid, 16).unwrap();
        let (Some(over), Some(_)) = (run.over, run.runs) else { continue };
        stood += 1;
        // What was handed back stands for its owner from then on.
        let since = handed.get(&task).copied().filter(|at| at.is_finite()).unwrap_or(0.0);
        if since > over {
            continue;
        }
        let due = (over + AFTER_END_S).max(run.released.map_or(0.0, |at| at + AFTER_RELEASE_S)) + SPARE_S;
        if !seen.iter().any(|g| g.task == task && g.kind == RELEASE && g.at > since && g.at <= due) {
            unreleased += 1;
            cut += u32::from(run.how == "cut");
            record.line(format!(
                "NOT RELEASED {} handed back {since:.3}, {} at its box {over:.3}",
                run.uid, run.how
            ));
        }
    }
    if stood < TASKS as usize / 2 {
        finish(&record, planners, 2, "too few tasks were placed");
    }
    if trouble() && back == 0 {
        finish(&record, planners, 2, "no task was handed back: the case did not come about");
    }
    let why = format!("{stood} tasks stood, {back} were handed back; {unreleased} never released, {cut} of them cut by the planner");
    finish(&record, planners, i32::from(unreleased > 0), &why);
}
