//! Tests that the simulation reads and writes the same bytes as the program, and rejects invalid inputs.

use super::*;
use serde_json::json;

fn settings() -> Value {
    json!({
        "areas": ["north"], "kinds": ["std"], "membership_mode": "push", "n_instances": 1, "tick_s": 0.002,
        "family_info": {
            "apart_by": ["silent"], "class_kind": [-1], "cold_bears": 50, "cores_multiple": 1, "free_by": "used",
            "mem_booking": 1, "memory_by_kind": [64], "prompt_start_s": [8], "says_yes": "running",
            "shows_free": true, "size_cores": [32], "spread_most": [2]
        },
        "grades": [{
            "name": "stateless", "deadline_s": 8, "idempotency": "repeatable", "importance": 1, "on_time_s": 1
        }],
        "permissions": {"max_attempts": 4, "probes": true},
        "report": {"fields": ["x0", "x1"], "source": "piggyback"},
        "rules": {"ask_every_s": 10, "fall_s": 2, "warm_within_s": 16}
    })
}

const LIST: &[u8] = br#"{"rev": 1, "pool": {"reset": true, "instances": [{"instanceId": "m-1",
    "hostPort": "10.0.0.1:80", "zone": "north", "machineType": "std", "lifecycle": "in_service", "free": [32, 64]}]}}"#;

fn planner() -> (Planner, MachineId) {
    let mut planner = Planner::new(&settings(), Start::default()).expect("valid settings");
    let mut out = Vec::new();
    planner.list(100.0, LIST, &mut out).expect("valid list");
    match &out[..] {
        [Output::Connect { machine, .. }] => (planner, *machine),
        other => panic!("expected one connection: {other:?}"),
    }
}

fn set_up(task: u64) -> Vec<u8> {
    let parameter = |code: u8, value: &str| [&[code, 0, value.len() as u8][..], value.as_bytes()].concat();
    let message = [
        vec![owner::kind::SET_UP],
        task.to_be_bytes().to_vec(),
        parameter(3, "stateless"),
        parameter(4, "5000"),
        parameter(7, "name"),
        parameter(8, "cores:2;memory:2;service:07"),
        parameter(18, "POST /run"),
    ]
    .concat();
    [&(message.len() as u16).to_be_bytes()[..], &message].concat()
}

#[test]
fn a_request_is_offered_and_answered_once_its_machine_took_it() {
    let (mut planner, machine) = planner();
    let mut out = Vec::new();
    planner.request(101.0, 9, &set_up(5), &mut out).expect("valid request");
    let [Output::ToMachine { machine: to, bytes }] = &out[..] else { panic!("expected one offer: {out:?}") };
    let offer: Value = serde_json::from_slice(bytes).expect("a line of JSON");
    assert_eq!((*to, &offer["kind"], &offer["uid"]), (machine, &json!("launch"), &json!("0000000000000005")));
    assert_eq!(planner.machines_examined(), 1);
    out.clear();
    let line = br#"{"kind": "running", "uid": "0000000000000005", "meta": {}, "body": "ok"}"#;
    planner.answer(101.5, machine, line, &mut out).expect("valid answer");
    let answer = owner::answer(5, "ok").expect("the answer fits into a message");
    assert_eq!(out, [Output::ToClient { connection: 9, bytes: answer }]);
    assert_eq!((planner.running_at(machine), planner.pending()), (1, 0));
}

#[test]
fn invalid_inputs_are_rejected_and_change_nothing() {
    let (mut planner, machine) = planner();
    let mut out = Vec::new();
    let truncated = &set_up(5)[..20];
    assert!(matches!(planner.request(101.0, 9, truncated, &mut out), Err(Rejected::Request(_))));
    assert!(matches!(planner.answer(101.0, machine, b"{}", &mut out), Err(Rejected::Machine(_))));
    assert!(matches!(planner.list(101.0, b"no list", &mut out), Err(Rejected::List(_))));
    assert!(matches!(planner.configure(101.0, "{ limit: 1 }", &mut out), Err(Rejected::Operators(_))));
    assert!(matches!(planner.datagram(101.0, 1, &[1; 40], &mut out), Err(Rejected::Datagram(_))));
    let group = GroupRequest {
        id: 1,
        class: "stateless".into(),
        service: "gang".into(),
        room: Room { cores: 1.0, memory: 1.0 },
        members: 2,
        deadline_s: 5.0,
    };
    assert!(matches!(planner.group(101.0, &group, &mut out), Err(Rejected::Group(_))));
    assert_eq!((out, planner.pending()), (vec![], 0));
}

#[test]
fn a_datagram_is_accepted_only_from_the_planner_that_it_names() {
    let file = |own: &str| {
        format!(
            "{{ fleet: {{ name: \"f\", own: \"{own}\", listen: \"127.0.0.1:7101\", voters: [\"a\"], planners: [\
             {{ name: \"a\", address: \"127.0.0.1:7101\" }}, {{ name: \"b\", address: \"127.0.0.1:7102\" }}] }} }}"
        )
    };
    let mut planners: Vec<Planner> = ["a", "b"]
        .iter()
        .map(|own| {
            let mut planner = Planner::new(&settings(), Start::default()).expect("valid settings");
            planner.configure(100.0, &file(own), &mut Vec::new()).expect("valid operators' file");
            planner
        })
        .collect();
    let mut out = Vec::new();
    planners[1].tick(101.0, &mut out);
    let Some(Output::ToPlanner { planner: 0, bytes }) = out.first() else {
        panic!("expected a claim: {out:?}")
    };
    assert!(planners[0].datagram(101.0, 0, bytes, &mut Vec::new()).is_err());
    planners[0].datagram(101.0, 1, bytes, &mut Vec::new()).expect("a datagram of the second planner");
    assert_eq!(planners[0].membership(101.0).map(|(here, _)| here), Some(1));
}
