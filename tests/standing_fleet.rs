//! Terms of the standing test that need many planners: real processes that are killed and restarted at once, counted by what
//! clients and machines see. `docs/design/standing.md` is their table.

mod exchange;

use burlhook_lab::node::{Entry, Node, Plan, What};
use burlhook_lab::planner::address;
use burlhook_lab::Clock;
use exchange::protocol::*;
use exchange::{fill, instance, settings, short_box, Planner, Wire};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds. Longer than any of these tests waits for an answer.
const PATIENT_MS: u32 = 8000;
/// Figures of a small task.
const SMALL: &str = "cores:0.1;memory:0.1;service:00000000000000aa";

/// A stand-in machine on which whatever asks for it runs on.
fn machine(clock: Clock) -> Node {
    let forever = (3_600_000, 3_600_000);
    let plan = Plan { by_path: true, life_ms: forever, slots: 10_000, ..Plan::default() };
    Node::start("127.0.0.1:0", plan, clock).expect("a place to listen")
}

/// The configurations of so many planners that know these machines, each at an address of its own to which it comes back.
fn configs(planners: usize, instances: &[Value], list: Option<&str>) -> Vec<Value> {
    let known = json!({"rev": 1, "notices": [{"rev": 1, "pool": {"reset": true, "instances": instances}}]});
    let one = |at: usize| {
        let listen = address().expect("a port").to_string();
        let mut config = json!({"listen": listen, "seed": format!("{at:x}"), "board": list, "known": known,
            "settings": settings()});
        config["settings"]["n_instances"] = json!(planners);
        config
    };
    (0..planners).map(one).collect()
}

/// Starts planners at once; gives how long each took until a client's test passed.
fn start_at_once(configs: &[Value]) -> Vec<(Planner, Duration)> {
    let start = |config: Value| {
        let since = Instant::now();
        let planner = Planner::start_with(config, None);
        let mut client = Wire::connect(&planner.owners);
        client.send(&test(1));
        let answer = client.frame().expect("a test's answer");
        assert_eq!((answer[2], answer.last()), (TESTED, Some(&1)), "it passes");
        (planner, since.elapsed())
    };
    std::thread::scope(|scope| {
        let starts: Vec<_> =
            configs.iter().map(|config| scope.spawn(move || start(config.clone()))).collect();
        starts.into_iter().map(|start| start.join().expect("it starts")).collect()
    })
}

/// Asks each planner for so many tasks on one connection; gives the connections.
fn ask_each(planners: &[(Planner, Duration)], each: u64, first: u64) -> Vec<Wire> {
    let ask = |(at, (planner, _)): (u64, &(Planner, Duration))| {
        let mut client = Wire::connect(&planner.owners);
        for task in first + at * each..first + (at + 1) * each {
            client.send(&sized_set_up(task, "stateless", PATIENT_MS, SMALL, "POST /run"));
        }
        client
    };
    (0..).zip(planners).map(ask).collect()
}

/// How many of so many tasks each planner placed; each has one answer.
fn placed(clients: &mut [Wire], each: u64) -> Vec<usize> {
    let of_one = |client: &mut Wire| {
        let answers: Vec<_> = (0..each).map(|_| answered(client).expect("an answer")).collect();
        let tasks: BTreeSet<u64> = answers.iter().map(|answer| answer.1).collect();
        assert_eq!(tasks.len() as u64, each, "one answer each: {answers:?}");
        answers.iter().filter(|answer| answer.0 == ANSWER).count()
    };
    clients.iter_mut().map(of_one).collect()
}

/// Guards the fleet where all its processes are killed and restarted at once while discovery is down and half of the
/// machines take no connections: nine in ten are ready within 10 s, none is idle, and every request has its answer.
#[test]
fn restarted_planners_are_ready_in_time_and_none_is_idle() {
    const PLANNERS: usize = 20;
    const EACH: u64 = 3;
    const READY: Duration = Duration::from_secs(10);
    let clock = Clock::start();
    let nodes: Vec<Node> = (0..4).map(|_| machine(clock)).collect();
    let down: Vec<_> = (0..4).map(|_| short_box()).collect();
    let _full: Vec<_> = down.iter().map(|(_, at)| fill(at)).collect();
    let up = nodes.iter().map(|node| node.address().to_string());
    let all: Vec<Value> = up
        .chain(down.iter().map(|(_, at)| at.clone()))
        .zip(1..)
        .map(|(at, number)| instance(&format!("b{number}"), &at, "in_service"))
        .collect();
    // Discovery takes connections and says nothing.
    let (_silent, list_at) = listener();
    let configs = configs(PLANNERS, &all, Some(&list_at));
    let mut planners = start_at_once(&configs);
    for turn in 0..2 {
        let mut clients = ask_each(&planners, EACH, 1 + turn * 1000);
        let placed = placed(&mut clients, EACH);
        assert_eq!(placed.iter().filter(|&&count| count == 0).count(), 0, "idle: {placed:?}");
        if turn == 0 {
            planners.iter_mut().for_each(|(planner, _)| planner.child.kill().expect("it is there"));
            drop(planners);
            planners = start_at_once(&configs);
            let late: Vec<_> = planners.iter().map(|(_, took)| *took).filter(|took| *took > READY).collect();
            assert!(late.len() * 10 <= PLANNERS, "late: {late:?}");
        }
    }
}

/// Guards clients and machines against a planner that is killed right behind an accept: of a connection, with a request
/// unread or just written to a machine, and of a task, with the machine's yes unread. Its client sees the end at once, so does
/// the machine, the next process is there at the same address, and the request that comes again is served once.
#[test]
fn a_planner_killed_right_behind_an_accept_serves_again_at_its_address() {
    let (machine, machine_at) = listener();
    let config = configs(1, &[instance("b1", &machine_at, "in_service")], None).remove(0);
    let mut planner = Planner::start_with(config.clone(), None);
    let mut link = accept(&machine);
    for task in 1..=12 {
        // Clients that only connect are in the line as well.
        let crowd: Vec<Wire> = (0..4).map(|_| Wire::connect(&planner.owners)).collect();
        let mut client = match task % 3 {
            0 => planner.paused(|| {
                let mut client = Wire::connect(&planner.owners);
                client.send(&set_up(task, "keyed", PATIENT_MS, "x"));
                client
            }),
            written => {
                let mut client = Wire::connect(&planner.owners);
                client.send(&set_up(task, "keyed", PATIENT_MS, "x"));
                assert_eq!(told(&link.line().expect("a set-up")), ("launch".into(), task));
                if written == 2 {
                    planner.paused(|| link.send(&running(task)));
                }
                client
            }
        };
        planner.child.kill().expect("it is there");
        planner.child.wait().expect("it ends");
        drop(crowd);
        // At most the yes came through; then the end of both connections.
        let answers: Vec<_> = std::iter::from_fn(|| answered(&mut client)).collect();
        assert!(answers.len() <= usize::from(task % 3 == 2), "{answers:?}");
        assert!(answers.iter().all(|answer| *answer == (ANSWER, task, None)), "{answers:?}");
        let rest: Vec<_> = std::iter::from_fn(|| link.line()).map(|line| told(&line)).collect();
        let allowed = ("launch".to_string(), task);
        assert!(rest.len() <= usize::from(task % 3 == 0), "{rest:?}");
        assert!(rest.iter().all(|word| *word == allowed), "{rest:?}");
        close_if_up(link);
        planner = Planner::start_with(config.clone(), None);
        link = accept(&machine);
        let mut client = Wire::connect(&planner.owners);
        client.send(&set_up(task, "keyed", PATIENT_MS, "x"));
        assert_eq!(told(&link.line().expect("a set-up")), ("launch".into(), task));
        link.send(&[running(task), stop(task, 16)].concat());
        assert_eq!(answered(&mut client), Some((ANSWER, task, None)));
        assert_eq!(answered(&mut client), Some((RELEASE, task, Some(16))));
        assert_eq!(answered_before_test(&mut client).len(), 0);
    }
}

/// Closes what its other end may have reset.
fn close_if_up(wire: Wire) {
    let _ = wire.stream.shutdown(std::net::Shutdown::Both);
}

/// The most set-ups that reached a machine within a window of this length.
fn most_within(entries: &[Entry], window: Duration) -> usize {
    let at: Vec<Duration> =
        entries.iter().filter(|e| matches!(e.what, What::Ask { .. })).map(|e| e.at).collect();
    (0..at.len()).map(|from| at[from..].iter().filter(|&&t| t < at[from] + window).count()).max().unwrap_or(0)
}

/// Guards a cold machine against a few dozen real planners that all want it, half of which are killed and come up again
/// amid it: by the machine's ledger no window brings more than the budget N and 2 x root of N + 2, what came up again sends
/// nothing before a window has passed, and the machine is used by all of them.
#[test]
fn a_few_dozen_planners_do_not_push_a_cold_machine_over() {
    const PLANNERS: usize = 24;
    const EACH: u64 = 12;
    /// Count. Offers that the cold machine always bears in a window.
    const BUDGET: f64 = 70.0;
    const WINDOW: Duration = Duration::from_secs(2);
    let clock = Clock::start();
    let node = machine(clock);
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64;
    let mut cold = instance("b1", &node.address().to_string(), "in_service");
    cold["startedAtMs"] = json!(now_ms);
    let mut configs = configs(PLANNERS, &[cold], None);
    for config in &mut configs {
        config["settings"]["family_info"]["cold_bears"] = json!(BUDGET);
        config["settings"]["rules"]["fall_s"] = json!(WINDOW.as_secs_f64());
        config["settings"]["rules"]["warm_within_s"] = json!(600.0);
    }
    let mut planners = start_at_once(&configs);
    let mut clients = ask_each(&planners, EACH, 1);
    // Each has sent what it may in its first window once it has an answer.
    clients.iter_mut().for_each(|client| assert_eq!(answered(client).expect("an answer").0, ANSWER));
    planners.truncate(PLANNERS / 2);
    clients.truncate(PLANNERS / 2);
    let again = start_at_once(&configs[PLANNERS / 2..]);
    const AGAIN: u64 = 1_000_000;
    let mut of_again = ask_each(&again, EACH, AGAIN);
    for client in &mut of_again {
        assert_eq!(answered_before_test(client).len(), 0, "it waits for the end of a window");
    }
    let came_again =
        |ledger: &burlhook_lab::node::Ledger| ledger.entries.iter().filter(|e| e.job >= AGAIN).count();
    assert_eq!(came_again(&node.ledger()), 0);
    of_again.iter_mut().for_each(|client| assert_eq!(answered(client).expect("an answer").0, ANSWER));
    let entries = node.ledger().entries;
    let most = most_within(&entries, WINDOW);
    let borne = BUDGET + 2.0 * BUDGET.sqrt() + 2.0;
    assert!(most as f64 <= borne, "{most} offers in one window, {borne} are borne");
    assert!(most >= PLANNERS / 2, "{most} offers: it is used");
}
