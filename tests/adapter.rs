//! The adapter program, which exchanges lines of JSON on its standard streams.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"{"areas":["here"],"family_info":{"apart_by":["silent"],"calm_level":[0.8],"class_fade":[0.2],
"class_kind":[-1],"cold_bears":10.0,"cores_multiple":1.0,"free_by":"asked","mem_booking":1.0,"memory_by_kind":[20.0],
"prompt_start_s":[8.0],"says_yes":"accepted","shows_free":true,"size_cores":[10],"spread_most":[2],"novelty":1},
"grades":[{"deadline_s":5.0,"group":"all","idempotency":"repeatable","importance":1.0,"name":"jobs","on_time_s":1.0}],
"kinds":["box"],"membership_mode":"push","n_instances":1,"permissions":{"max_attempts":3,"probes":true},
"report":{"fields":["x0","x1"],"source":"silent"},"rules":{"ask_every_s":10.0,"fall_s":3.0,"warm_within_s":18.0},
"tick_s":0.002,"zone":"here","another_novelty":[1,2]}"#;

const NODES: &str = r#"[{"machine":"m-1","campus":"here","class_of_host":"box","spare_mem":18,"block":0,
"lifecycle":"ready","scale":1,"open_cores":9}]"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_burlhook-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read everything, so a failed write is no error; the tests check its
    // output.
    let _ = child.stdin.take().expect("its input").write_all(input.as_bytes());
    child.wait_with_output().expect("it ends")
}

fn opening(boot: &str) -> String {
    let line = format!(
        r#"{{"at_time_s":1.0,"turn":1,"arrivals":[{{"op":"OPEN_INSTANCE","who":3,"nonce64":7,"boot_info":{boot}}},
{{"op":"DEFINE_LIST","ref":0,"nodes_list":{NODES}}},{{"op":"FLEET","who":3,"mode":"Persisted","index":1,"ref":0}}]}}"#
    );
    line.replace('\n', "") + "\n"
}

fn submit(turn: u32) -> String {
    format!(
        r#"{{"at_time_s":2.0,"turn":{turn},"arrivals":[{{"op":"SUBMIT","who":3,"call":{turn},"qos":"jobs","task":5,"expires_s":7.0,"program":9,"cpu":1,"ram_units":1}}]}}"#
    ) + "\n"
}

#[test]
fn places_a_task_and_ends_with_its_input() {
    let output = run(&(opening(BOOT) + &submit(2)));
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success());
    assert_eq!(text.lines().count(), 2, "one reply a batch: {text}");
    let reply: serde_json::Value = serde_json::from_str(text.lines().last().expect("a line")).expect("JSON");
    assert_eq!(reply["turn"], 2);
    let acts = reply["do"].as_array().expect("actions");
    let offer = acts.iter().find(|a| a["op"] == "TRY").expect("an offer");
    assert_eq!((&offer["who"], &offer["call"], &offer["machine"]), (&3.into(), &2.into(), &"m-1".into()));
}

#[test]
fn the_same_input_gives_the_same_output() {
    let input = opening(BOOT) + &submit(2) + &submit(3) + &submit(4);
    assert_eq!(run(&input).stdout, run(&input).stdout);
}

#[test]
fn bad_input_ends_it_with_a_plain_message() {
    let broken = [
        ("{\"at_time_s\":1.0,\"turn\":1,\"arr".to_string(), "first batch"),
        (opening(BOOT) + &submit(2).replace(r#""cpu":1,"#, ""), "batch 2: missing field `cpu`"),
        (opening(BOOT) + &submit(2).replace("SUBMIT", "SUMMIT"), "batch 2: unknown variant `SUMMIT`"),
        (opening(BOOT) + &submit(2).replace("\"jobs\"", "\"jests\""), "field qos"),
        (submit(2), "batch 2: arrival 0: field who"),
    ];
    for (input, wanted) in broken {
        let output = run(&input);
        let message = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{wanted}");
        assert!(message.contains(wanted), "{message:?} should contain {wanted:?}");
        assert_eq!(message.lines().count(), 1);
    }
}

#[test]
fn settings_that_cannot_be_served_are_refused_at_the_start() {
    let unequal = BOOT.replace("\"spread_most\":[2]", "\"spread_most\":[2,3]");
    let none = BOOT.replace("\"size_cores\":[10]", "\"size_cores\":[-10]");
    for (boot, wanted) in [(unequal, "differ in length"), (none, "no cores")] {
        let output = run(&opening(&boot));
        let message = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert!(message.contains("boot_info") && message.contains(wanted), "{message}");
    }
}

#[test]
fn a_site_without_tenants_may_carry_quotas() {
    let boot = BOOT.replace("\"spread_most\":[2]", "\"spread_most\":[2],\"tenant_quota_cores\":[5.0,6.0]");
    assert_ne!(boot, BOOT);
    let output = run(&(opening(&boot) + &submit(2)));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
