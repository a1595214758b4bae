//! Terms of the standing test that one planner can be held to, on real sockets; `docs/design/standing.md` is their table.
//! Peers wait for each other at known points: a test that a planner answers proves that it has heard what came before, and
//! the number with which it watches the machine list anew proves which events it has taken.

mod exchange;

use exchange::protocol::*;
use exchange::{fill, instance, knows, short_box, Planner, Wire};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

/// Cause of a release: no machine took the task.
const REFUSED: u8 = 34;
/// Cause of a release: the task came to its end.
const OVER: u8 = 16;
/// Milliseconds. Longer than any of these tests takes.
const PATIENT_MS: u32 = 8000;

/// The number with which a planner watches the machine list next.
fn watches(list: &TcpListener) -> (Wire, Vec<u8>) {
    let mut watch = accept(list);
    let line = watch.line().expect("watch N");
    (watch, line)
}

/// Has a planner take all events that were sent on a watch: it asks anew, from the last of them.
fn taken(list: &TcpListener, watch: Wire, rev: u64) -> Wire {
    close(watch);
    let (watch, line) = watches(list);
    assert_eq!(line, format!("watch {rev}\n").into_bytes());
    watch
}

/// Has a task run at the machine behind this connection.
fn runs(client: &mut Wire, link: &mut Wire, task: u64) {
    client.send(&set_up(task, "keyed", PATIENT_MS, "x"));
    assert_eq!(told(&link.line().expect("a set-up")), ("launch".into(), task));
    link.send(&running(task));
    assert_eq!(answered(client), Some((ANSWER, task, None)));
}

/// The same, and the task comes to its end.
fn serves(client: &mut Wire, link: &mut Wire, task: u64) {
    runs(client, link, task);
    link.send(&stop(task, OVER));
    assert_eq!(answered(client), Some((RELEASE, task, Some(OVER))));
}

/// The next set-up that reaches one of the machines behind these connections: which, and its task. Give-ups are passed over.
fn next_launch(links: &mut [Wire; 2]) -> (usize, u64) {
    for at in (0..).map(|turn| turn % 2) {
        if has_word(&links[at]) {
            let (kind, task) = told(&links[at].line().expect("a word"));
            if kind == "launch" {
                return (at, task);
            }
        }
    }
    unreachable!("it looks until one comes")
}

/// Whether a machine was told anything that it has not read.
fn has_word(link: &Wire) -> bool {
    let wait = |time| link.stream.set_read_timeout(Some(time)).expect("a time-out");
    wait(Duration::from_millis(5));
    let has = matches!(link.stream.peek(&mut [0]), Ok(1));
    wait(Duration::from_secs(20));
    has
}

/// Returns once so many jobs count as given up by their clients.
fn until_cancelled(planner: &Planner, wanted: usize) {
    let mut rest = Wire::connect(&planner.rest);
    let since = Instant::now();
    loop {
        rest.ask("GET /v1/jobs");
        let jobs = rest.answer().expect("the jobs");
        if jobs.matches("\"Cancelled\"").count() == wanted {
            return;
        }
        assert!(since.elapsed() < Duration::from_secs(10), "{jobs}");
    }
}

/// Two machines behind listeners of the test, by name, and the machine list's.
fn two_machines() -> ((TcpListener, String), (TcpListener, String), (TcpListener, String)) {
    (listener(), listener(), listener())
}

/// Guards requests and answers that come in pieces: wherever they are cut, each is taken once it is whole, and once.
#[test]
fn a_request_in_pieces_is_one_request() {
    let (machine, address) = listener();
    let planner = Planner::start(&[address], None, None);
    let mut link = accept(&machine);
    let mut client = Wire::connect(&planner.owners);
    let length = set_up(1, "stateless", PATIENT_MS, "GET /a").len();
    for cut in 1..length {
        let task = cut as u64;
        let request = set_up(task, "stateless", PATIENT_MS, "GET /a");
        client.send(&request[..cut]);
        wait_until_read(&client.stream);
        client.send(&request[cut..]);
        assert_eq!(told(&link.line().expect("a set-up")), ("launch".into(), task), "cut at {cut}");
        let words = [running(task), stop(task, OVER)].concat();
        let cut = cut % words.len();
        link.send(&words[..cut]);
        wait_until_read(&link.stream);
        link.send(&words[cut..]);
        assert_eq!(answered(&mut client), Some((ANSWER, task, None)), "cut at {cut}");
        assert_eq!(answered(&mut client), Some((RELEASE, task, Some(OVER))), "cut at {cut}");
    }
    assert_eq!(answered_before_test(&mut client).len(), 0);
}

/// Guards machines against a request of which the rest never comes: nothing of it begins, also where whole requests lie
/// before it, which were given up with it.
#[test]
fn a_request_whose_client_leaves_amid_it_never_begins() {
    let (machine, address) = listener();
    let planner = Planner::start(&[address], None, None);
    let mut link = accept(&machine);
    let request = set_up(1, "keyed", PATIENT_MS, "GET /a");
    for cut in 1..request.len() {
        let mut client = Wire::connect(&planner.owners);
        client.send(&request[..cut]);
        wait_until_read(&client.stream);
        match cut % 2 {
            0 => client.stream.shutdown(Shutdown::Write).expect("half closed"),
            _ => close(client),
        }
    }
    let mut client = Wire::connect(&planner.owners);
    runs(&mut client, &mut link, 2);
}

/// Guards machines that drain against a planner that reloads at that moment: what the new configuration knows of drains
/// holds from the reload on, new work goes elsewhere, and what stands at the machine that drains goes on to its end.
#[test]
fn a_reload_that_brings_a_drain_moves_new_work_at_once() {
    let ((first, first_at), (second, second_at), (list, list_at)) = two_machines();
    let before = [instance("b1", &first_at, "in_service"), instance("b2", &second_at, "terminating")];
    let mut planner = Planner::start_with(knows(&before, None), None);
    let (mut first, mut second) = (accept(&first), accept(&second));
    let mut client = Wire::connect(&planner.owners);
    runs(&mut client, &mut first, 1);
    // One more is out at the machine as the drain comes.
    client.send(&set_up(2, "keyed", PATIENT_MS, "x"));
    assert_eq!(told(&first.line().expect("a set-up")), ("launch".into(), 2));
    let drain = json!({"rev": 2, "pool": {"reset": false, "instances":
        [instance("b1", &first_at, "terminating"), instance("b2", &second_at, "in_service")]}});
    planner.rewrite(|config| {
        config["known"]["rev"] = json!(2);
        config["known"]["notices"].as_array_mut().expect("notices").push(drain);
        config["board"] = json!(list_at);
    });
    planner.signal("-HUP");
    let (mut watch, line) = watches(&list);
    assert_eq!(line, b"watch 2\n");
    for task in 3..10 {
        runs(&mut client, &mut second, task);
    }
    first.send(&[running(2), stop(1, OVER)].concat());
    assert_eq!(answered(&mut client), Some((ANSWER, 2, None)));
    assert_eq!(answered(&mut client), Some((RELEASE, 1, Some(OVER))));
    // And the other way round, by the list that the reload moved to.
    watch.send(&event(3, &before));
    let _watch = taken(&list, watch, 3);
    runs(&mut client, &mut first, 10);
}

/// Guards what has come to a planner that is told to reload and to stop at one moment, as a machine drains by the list that
/// the reload names: all is answered, what comes after the drain goes elsewhere, and the planner ends well.
#[test]
fn a_reload_a_stop_and_a_drain_that_meet_lose_no_request() {
    // Which signal it heeds first is left to chance.
    for _ in 0..4 {
        let ((first, first_at), (second, second_at), (list, list_at)) = two_machines();
        let before = [instance("b1", &first_at, "in_service"), instance("b2", &second_at, "terminating")];
        let mut planner = Planner::start_with(knows(&before, None), None);
        let (mut first, mut second) = (accept(&first), accept(&second));
        let mut client = Wire::connect(&planner.owners);
        runs(&mut client, &mut first, 1);
        client.send(&set_up(2, "keyed", PATIENT_MS, "x"));
        assert_eq!(told(&first.line().expect("a set-up")), ("launch".into(), 2));
        planner.rewrite(|config| config["board"] = json!(list_at));
        planner.paused(|| {
            planner.signal("-TERM");
            planner.signal("-HUP");
            client.send(&set_up(3, "keyed", PATIENT_MS, "x"));
        });
        assert_eq!(told(&first.line().expect("a set-up")), ("launch".into(), 3));
        let (mut watch, line) = watches(&list);
        assert_eq!(line, b"watch 1\n");
        let drain = [instance("b1", &first_at, "terminating"), instance("b2", &second_at, "in_service")];
        watch.send(&event(2, &drain));
        let _watch = taken(&list, watch, 2);
        runs(&mut client, &mut second, 4);
        first.send(&[running(2), running(3)].concat());
        assert_eq!(answered(&mut client), Some((ANSWER, 2, None)));
        assert_eq!(answered(&mut client), Some((ANSWER, 3, None)));
        assert!(planner.child.wait().expect("it ends").success());
    }
}

/// Guards the list against silences that come late: after events, again on the watch that took its place, and amid an
/// event. Each time it is asked from the last whole event, and what it then tells holds.
#[test]
fn a_list_that_falls_silent_late_is_asked_from_its_last_event() {
    let ((first, first_at), (second, second_at), (list, list_at)) = two_machines();
    let machines =
        |one: &str, other: &str| [instance("b1", &first_at, one), instance("b2", &second_at, other)];
    let planner = Planner::start_with(knows(&machines("in_service", "terminating"), Some(&list_at)), None);
    let (mut first, mut second) = (accept(&first), accept(&second));
    let mut client = Wire::connect(&planner.owners);
    let (mut watch, mut line) = watches(&list);
    serves(&mut client, &mut first, 100);
    let mut silent = Vec::new();
    let mut rev = 1;
    for amid in [false, true, false] {
        assert_eq!(line, format!("watch {rev}\n").into_bytes());
        // It has been up for a while by what came of it.
        for _ in 0..3 {
            rev += 2;
            watch.send(&event(rev - 1, &machines("terminating", "in_service")));
            watch.send(&event(rev, &machines("in_service", "terminating")));
            watch.send(format!("{}\n", json!({ "rev": rev })).as_bytes());
        }
        if amid {
            let half = event(rev + 1, &machines("terminated", "terminated"));
            watch.send(&half[..half.len() / 2]);
        }
        silent.push(watch);
        (watch, line) = watches(&list);
        serves(&mut client, &mut first, rev);
    }
    watch.send(&event(rev + 1, &machines("terminating", "in_service")));
    let _watch = taken(&list, watch, rev + 1);
    runs(&mut client, &mut second, rev + 1);
    assert_eq!(answered_before_test(&mut client).len(), 0);
}

/// Guards clients against a machine that has served for a while and then says nothing more: what is out there may run, so that
/// it goes nowhere else, but its client is answered, the machine is told, what it says in the end changes nothing, and what
/// comes next goes to another machine.
#[test]
fn a_machine_that_falls_silent_late_leaves_no_request_unanswered() {
    let ((first, first_at), (second, second_at), _) = two_machines();
    let planner = Planner::start(&[first_at, second_at], None, None);
    let mut links = [accept(&first), accept(&second)];
    let mut client = Wire::connect(&planner.owners);
    // Which machine a task goes to is the module's to say.
    for task in 1..=10 {
        client.send(&set_up(task, "stateless", PATIENT_MS, "x"));
        let (at, asked) = next_launch(&mut links);
        assert_eq!(asked, task);
        links[at].send(&[running(task), stop(task, OVER)].concat());
        assert_eq!(answered(&mut client), Some((ANSWER, task, None)));
        assert_eq!(answered(&mut client), Some((RELEASE, task, Some(OVER))));
    }
    client.send(&set_up(11, "stateless", PATIENT_MS, "x"));
    let (silent, asked) = next_launch(&mut links);
    assert_eq!(asked, 11);
    let (kind, task, _) = answered(&mut client).expect("an answer");
    assert_eq!((kind, task), (RELEASE, 11));
    assert_eq!(told(&links[silent].line().expect("a word")), ("stop".into(), 11));
    client.send(&set_up(12, "stateless", PATIENT_MS, "x"));
    assert_eq!(next_launch(&mut links), (1 - silent, 12));
    links[silent].send(&[running(11), stop(11, 31)].concat());
    wait_until_read(&links[silent].stream);
    links[1 - silent].send(&running(12));
    assert_eq!(answered(&mut client), Some((ANSWER, 12, None)));
    assert_eq!(answered_before_test(&mut client).len(), 0);
}

/// Guards what is in flight and what stands against whole lists that come again, on the watch and on the next one, with the
/// same number and with others: no connection is opened, nothing is lost, a drain stays one, and what a whole list leaves out is gone.
#[test]
fn a_whole_list_that_comes_again_changes_nothing() {
    let ((first, first_at), (second, second_at), (list, list_at)) = two_machines();
    let same = [instance("b1", &first_at, "in_service"), instance("b2", &second_at, "terminating")];
    let planner = Planner::start_with(knows(&same, Some(&list_at)), None);
    let (mut link, mut draining) = (accept(&first), accept(&second));
    let mut client = Wire::connect(&planner.owners);
    let (mut watch, _) = watches(&list);
    runs(&mut client, &mut link, 1);
    client.send(&set_up(2, "once", PATIENT_MS, "x"));
    assert_eq!(told(&link.line().expect("a set-up")), ("launch".into(), 2));
    for rev in 2..=4 {
        watch.send(&[whole_list(rev, &same), whole_list(rev, &same)].concat());
        watch = taken(&list, watch, rev);
        // The next watch begins with what is known.
        watch.send(&whole_list(rev, &same));
        runs(&mut client, &mut link, 10 + rev);
    }
    link.send(&[running(2), stop(1, OVER)].concat());
    assert_eq!(answered(&mut client), Some((ANSWER, 2, None)));
    assert_eq!(answered(&mut client), Some((RELEASE, 1, Some(OVER))));
    for machine in [&first, &second] {
        machine.set_nonblocking(true).expect("no wait");
        assert!(machine.accept().is_err(), "a connection was opened anew");
    }
    // The first is left out: what stands there is lost, and the second serves.
    watch.send(&whole_list(5, &[instance("b2", &second_at, "in_service")]));
    let _watch = taken(&list, watch, 5);
    let mut lost: Vec<_> = (0..4).map(|_| answered(&mut client).expect("a release")).collect();
    lost.sort_unstable();
    assert_eq!(lost, [2, 12, 13, 14].map(|task| (RELEASE, task, Some(41))));
    runs(&mut client, &mut draining, 3);
}

/// Guards clients where no machine gives an answer: each request has one of its own, and one alone, of every class.
#[test]
fn every_request_has_one_answer_where_no_machine_gives_any() {
    const EACH: u64 = 10;
    let (silent, silent_at) = listener();
    let (_short, full_at) = short_box();
    let _full = fill(&full_at);
    let (_, refusing_at) = listener();
    for machines in [vec![silent_at], vec![full_at], vec![refusing_at], vec![]] {
        let instances: Vec<Value> = machines.iter().map(|at| instance("b1", at, "in_service")).collect();
        let planner = Planner::start_with(knows(&instances, None), None);
        let mut client = Wire::connect(&planner.owners);
        let classes = ["stateless", "keyed", "once"];
        let mut wanted: BTreeMap<u64, usize> = BTreeMap::new();
        for (at, class) in (0..).zip(classes) {
            for task in (at * EACH..(at + 1) * EACH).map(|task| task + 1) {
                client.send(&set_up(task, class, 400 + 10 * task as u32, "x"));
                wanted.insert(task, 1);
            }
        }
        let mut answers: BTreeMap<u64, usize> = BTreeMap::new();
        while answers.len() < wanted.len() {
            let (kind, task, _) = answered(&mut client).expect("an answer");
            assert_eq!(kind, RELEASE, "nothing runs");
            *answers.entry(task).or_default() += 1;
        }
        assert_eq!(answers, wanted);
        assert_eq!(answered_before_test(&mut client).len(), 0);
    }
    drop(silent);
}

/// Guards machines against requests whose clients left while they waited for room, whichever way they left: nothing of them
/// is sent once there is room.
#[test]
fn what_waits_for_room_is_not_sent_once_its_client_has_left() {
    const EACH: u64 = 5;
    let (machine, address) = listener();
    let (list, list_at) = listener();
    let full = [instance("b1", &address, "terminating")];
    let planner = Planner::start_with(knows(&full, Some(&list_at)), Some("maxOpenJobs: 10"));
    let mut link = accept(&machine);
    let (mut watch, _) = watches(&list);
    let ways = ["cancel", "close", "half-close", "reset"];
    let mut left = Vec::new();
    for task in 1..=EACH * ways.len() as u64 {
        let mut client = Wire::connect(&planner.owners);
        client.send(&set_up(task, "stateless", PATIENT_MS, "x"));
        assert_eq!(answered_before_test(&mut client).len(), 0, "it waits");
        match ways[task as usize % ways.len()] {
            "cancel" => {
                client.send(&give_up(task));
                answered_before_test(&mut client);
            }
            "close" => client.stream.shutdown(Shutdown::Both).expect("closed"),
            "half-close" => {
                client.stream.shutdown(Shutdown::Write).expect("half closed");
                assert_eq!(answered(&mut client), None, "it closes, too");
            }
            _ => {
                let socket = socket2::SockRef::from(&client.stream);
                socket.set_linger(Some(Duration::ZERO)).expect("no linger");
                continue; // It is dropped, which resets it.
            }
        }
        left.push(client);
    }
    until_cancelled(&planner, EACH as usize * ways.len());
    watch.send(&event(2, &[instance("b1", &address, "in_service")]));
    let _watch = taken(&list, watch, 2);
    let mut client = Wire::connect(&planner.owners);
    runs(&mut client, &mut link, 1000);
    drop(left);
}

/// Guards machines against requests whose clients leave in the pause after a refusal, at the very moment of it: no other
/// machine gets one.
#[test]
fn what_pauses_after_a_refusal_is_not_sent_once_its_client_has_left() {
    const ROUNDS: u64 = 8;
    let ((first, first_at), (second, second_at), _) = two_machines();
    let planner = Planner::start(&[first_at, second_at], None, Some("maxOpenJobs: 10"));
    let mut links = [accept(&first), accept(&second)];
    for task in 1..=ROUNDS {
        let mut leaves = Wire::connect(&planner.owners);
        leaves.send(&set_up(task, "stateless", PATIENT_MS, "x"));
        let (at, asked) = next_launch(&mut links);
        assert_eq!(asked, task, "nothing of an earlier one");
        planner.paused(|| {
            links[at].send(&stop(task, REFUSED));
            close(leaves);
        });
    }
    until_cancelled(&planner, ROUNDS as usize);
    let mut client = Wire::connect(&planner.owners);
    for task in 100..104 {
        client.send(&set_up(task, "stateless", PATIENT_MS, "x"));
        let (at, asked) = next_launch(&mut links);
        assert_eq!(asked, task, "nothing of those that left");
        links[at].send(&running(task));
        assert_eq!(answered(&mut client), Some((ANSWER, task, None)));
    }
    for link in &mut links {
        while has_word(link) {
            assert_ne!(told(&link.line().expect("a word")).0, "launch");
        }
    }
}
