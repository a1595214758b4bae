//! Operators' files that must be refused, with each fault's line, path and rule; a refused file leaves the
//! old one in force.

mod exchange;

use exchange::{settings, Planner, Wire};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

fn corpus() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/operators");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).expect("a folder").map(|f| f.expect("a file").path()).collect();
    files.sort();
    files
}

fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("burlhook-operators-{}-{name}", std::process::id()))
}

/// Runs a command of the program, such as `check`, on a file; returns whether it succeeded, its standard
/// output and error.
fn run(arguments: &[&str], file: &Path) -> (bool, String, String) {
    // Tests run in parallel and may use the same file.
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let config = scratch(&format!("{}.config", COUNT.fetch_add(1, Ordering::Relaxed)));
    let text = json!({"listen": "127.0.0.1:0", "settings": settings()});
    std::fs::write(&config, text.to_string()).expect("a configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_burlhook"));
    let output = command.args(arguments).arg("--config").arg(&config).arg("--operators").arg(file).output();
    let output = output.expect("it runs");
    let _ = std::fs::remove_file(config);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&file.display().to_string(), "FILE");
    (output.status.success(), text(&output.stdout), text(&output.stderr))
}

/// Guards the rules for operators' files: each invalid file is refused, and its faults are reported as
/// recorded.
#[test]
fn every_bad_file_is_refused_with_place_and_rule() {
    let files = corpus();
    assert!(files.len() >= 40, "{} files", files.len());
    for file in files {
        let (succeeded, _, printed) = run(&["check"], &file);
        assert!(!succeeded, "{} was accepted", file.display());
        let name = file.file_stem().expect("a name").to_string_lossy().into_owned();
        // Only the lines that begin with the file are stable output; the excerpts below them are for people.
        let lines: Vec<&str> = printed.lines().filter(|l| l.starts_with("FILE")).collect();
        assert!(!lines.is_empty(), "{name}: {printed}");
        insta::with_settings!({prepend_module_to_snapshot => false, omit_expression => true, snapshot_path => "snapshots/operators"}, {
            insta::assert_snapshot!(name, lines.join("\n"));
        });
    }
}

/// Guards readers of a fault report: it shows the faulty line of the file, with a mark.
#[test]
fn a_fault_is_shown_in_its_line() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/operators");
    let (_, _, printed) = run(&["check"], &folder.join("attempts_five.json5"));
    insta::assert_snapshot!("a_fault_is_shown_in_its_line", printed);
}

/// Guards the start of a planner: any invalid operators' file ends the program with a one-line message.
#[test]
fn a_bad_file_ends_the_start_in_one_line() {
    let large = scratch("large");
    std::fs::write(&large, format!("{{}} // {}", "x".repeat(4 << 20))).expect("a file");
    let folder = scratch("folder");
    std::fs::create_dir_all(&folder).expect("a folder");
    let many = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/operators/many_at_once.json5");
    let cases = [
        (large.clone(), "is larger than 4194304 bytes"),
        (folder.clone(), "is a folder"),
        (scratch("absent"), "cannot be read"),
        (many, "(and 7 more faults)"),
    ];
    for (file, wanted) in cases {
        let (succeeded, _, printed) = run(&["serve"], &file);
        assert!(!succeeded && printed.contains(wanted), "{printed}");
        assert_eq!(printed.lines().count(), 1, "{printed}");
    }
    let _ = (std::fs::remove_file(large), std::fs::remove_dir_all(folder));
}

fn limits(client: &mut Wire) -> Value {
    client.ask("GET /v1/limits");
    let answer = client.answer().expect("an answer");
    serde_json::from_str(answer.split_once('\n').expect("a body").1).expect("JSON")
}

/// Polls `/v1/limits` until `done` holds for it, as the planner reads its file some time after a signal: an
/// applied file increments the generation, a refused one is shown in `lastRefusal`.
fn wait_for_limits(client: &mut Wire, done: impl Fn(&Value) -> bool) -> Value {
    let started = std::time::Instant::now();
    loop {
        let now = limits(client);
        if done(&now) {
            return now;
        }
        assert!(started.elapsed().as_secs() < 20, "not reached within 20 s: {now}");
    }
}

/// Guards a running planner: each invalid file leaves the old one in force, and the REST API shows the
/// reason.
#[test]
fn a_refused_file_leaves_the_old_one_in_force() {
    let good = "{rest: {listen: '127.0.0.1:0'}, limits: {default: {attempts: 2}, classes: {keyed: {attemptMs: 700}}}}";
    let planner = Planner::start(&[], None, Some(good));
    let mut client = Wire::connect(&planner.rest);
    let first = limits(&mut client);
    assert_eq!((&first["generation"], &first["default"]["attempts"]), (&json!(1), &json!(2)));
    let same = |a: &Value, b: &Value| {
        ["generation", "digest", "default", "classes", "routes"].iter().all(|name| a[name] == b[name])
    };
    let mut last = Value::Null;
    for file in corpus() {
        planner.reload_operators(std::fs::read(&file).expect("a file"));
        let now = wait_for_limits(&mut client, |now| now["lastRefusal"] != last);
        assert!(same(&first, &now), "{}: {now}", file.display());
        assert!(now["lastRefusal"]["faults"][0].is_string());
        last = now["lastRefusal"].clone();
    }
    // A valid file is still applied.
    planner.reload_operators(good.replace("attempts: 2", "attempts: 3"));
    let now = wait_for_limits(&mut client, |now| now["generation"] == json!(2));
    assert_eq!((&now["default"]["attempts"], now["digest"] == first["digest"]), (&json!(3), false));
}

/// Guards the example file `deploy/operators.json5`: it is valid, and `limits explain` and `limits diff`
/// print what is recorded.
#[test]
fn limits_are_explained_and_compared() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/operators.json5");
    assert_eq!(run(&["check"], &file), (true, String::new(), String::new()));
    let of = ["limits", "explain", "--class", "keyed", "--service", "notices-7", "--front", "rest"];
    let (succeeded, printed, _) = run(&of, &file);
    assert!(succeeded);
    insta::assert_snapshot!("limits_explain", printed);
    let (old, new) = (scratch("old"), scratch("new"));
    std::fs::write(&old, std::fs::read(&file).expect("a file")).expect("a file");
    let text = std::fs::read_to_string(&file).expect("a file");
    let changed = text.replace("totalMs: 6000", "totalMs: 5000").replace("notices-from-rest", "notices");
    std::fs::write(&new, changed).expect("a file");
    let config = scratch("diff.config");
    let settings = json!({"listen": "127.0.0.1:0", "settings": settings()});
    std::fs::write(&config, settings.to_string()).expect("a configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_burlhook"));
    let output = command.args(["limits", "diff", "--config"]).args([&config, &old, &new]).output();
    insta::assert_snapshot!("limits_diff", String::from_utf8_lossy(&output.expect("it runs").stdout));
    [old, new, config].iter().for_each(|f| std::fs::remove_file(f).expect("the files are deleted"));
}
