//! The guarantees of the standing test that need many planners: real processes that are killed and restarted
//! together, judged by what clients and machines see. `docs/design/standing.md` lists them.

mod exchange;

use burlhook_lab::node::{Entry, Node, Plan, What};
use burlhook_lab::planner::address;
use burlhook_lab::Clock;
use exchange::protocol::*;
use exchange::{fill, instance, settings, short_backlog_listener, Planner, Wire};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds. A request deadline that is longer than any of these tests waits for an answer.
const LONG_WAIT_MS: u32 = 8000;
/// Resources and service of a small task.
const SMALL: &str = "cores:0.1;memory:0.1;service:00000000000000aa";

/// A stand-in machine on which tasks run until the test ends.
fn machine(clock: Clock) -> Node {
    let forever = (3_600_000, 3_600_000);
    let plan = Plan { by_path: true, life_ms: forever, slots: 10_000, ..Plan::default() };
    Node::start("127.0.0.1:0", plan, clock).expect("a listener")
}

/// Configurations of planners that know these machines; each has a fixed address, so that a restart listens
/// there again.
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

/// Starts planners in parallel; returns each with the time until it passed a client's health check.
fn start_together(configs: &[Value]) -> Vec<(Planner, Duration)> {
    let start = |config: Value| {
        let since = Instant::now();
        let planner = Planner::start_with(config, None);
        let mut client = Wire::connect(&planner.owners);
        client.send(&test(1));
        let answer = client.frame().expect("the answer to a health check");
        assert_eq!((answer[2], answer.last()), (TESTED, Some(&1)), "the planner passes its health check");
        (planner, since.elapsed())
    };
    std::thread::scope(|scope| {
        let starts: Vec<_> =
            configs.iter().map(|config| scope.spawn(move || start(config.clone()))).collect();
        starts.into_iter().map(|start| start.join().expect("it starts")).collect()
    })
}

/// Submits `each` tasks to each planner on one connection; returns the connections.
fn submit_to_each(planners: &[(Planner, Duration)], each: u64, first: u64) -> Vec<Wire> {
    let submit = |(at, (planner, _)): (u64, &(Planner, Duration))| {
        let mut client = Wire::connect(&planner.owners);
        for task in first + at * each..first + (at + 1) * each {
            client.send(&sized_set_up(task, "stateless", LONG_WAIT_MS, SMALL, "POST /run"));
        }
        client
    };
    (0..).zip(planners).map(submit).collect()
}

/// The number of tasks that each planner placed; checks that each task has one answer.
fn placed(clients: &mut [Wire], each: u64) -> Vec<usize> {
    let of_one = |client: &mut Wire| {
        let answers: Vec<_> = (0..each).map(|_| answered(client).expect("an answer")).collect();
        let tasks: BTreeSet<u64> = answers.iter().map(|answer| answer.1).collect();
        assert_eq!(tasks.len() as u64, each, "one answer each: {answers:?}");
        answers.iter().filter(|answer| answer.0 == ANSWER).count()
    };
    clients.iter_mut().map(of_one).collect()
}

/// Guards a fleet whose processes are all killed and restarted together while discovery does not answer and
/// half of the machines accept no connections: nine in ten planners are ready within 10 s, each places tasks,
/// and every request is answered.
#[test]
fn restarted_planners_are_ready_in_time_and_none_is_idle() {
    const PLANNERS: usize = 20;
    const EACH: u64 = 3;
    const READY: Duration = Duration::from_secs(10);
    let clock = Clock::start();
    let nodes: Vec<Node> = (0..4).map(|_| machine(clock)).collect();
    let down: Vec<_> = (0..4).map(|_| short_backlog_listener()).collect();
    let _full: Vec<_> = down.iter().map(|(_, at)| fill(at)).collect();
    let up = nodes.iter().map(|node| node.address().to_string());
    let all: Vec<Value> = up
        .chain(down.iter().map(|(_, at)| at.clone()))
        .zip(1..)
        .map(|(at, number)| instance(&format!("b{number}"), &at, "in_service"))
        .collect();
    // Discovery accepts connections and sends nothing.
    let (_silent, list_at) = listener();
    let configs = configs(PLANNERS, &all, Some(&list_at));
    let mut planners = start_together(&configs);
    for turn in 0..2 {
        let mut clients = submit_to_each(&planners, EACH, 1 + turn * 1000);
        let placed = placed(&mut clients, EACH);
        assert_eq!(placed.iter().filter(|&&count| count == 0).count(), 0, "idle: {placed:?}");
        if turn == 0 {
            planners.iter_mut().for_each(|(planner, _)| planner.child.kill().expect("it runs"));
            drop(planners);
            planners = start_together(&configs);
            let late: Vec<_> = planners.iter().map(|(_, took)| *took).filter(|took| *took > READY).collect();
            assert!(late.len() * 10 <= PLANNERS, "late: {late:?}");
        }
    }
}

/// Guards clients and machines against a planner that is killed right after it accepted a connection, with
/// the request unread or just written to a machine, or while the machine's acceptance of the task is unread.
/// Client and machine see their connections end at once, the next process listens at the same address, and
/// the repeated request is served once.
#[test]
fn a_planner_killed_right_after_an_accept_serves_again_at_its_address() {
    let (machine, machine_at) = listener();
    let config = configs(1, &[instance("b1", &machine_at, "in_service")], None).remove(0);
    let mut planner = Planner::start_with(config.clone(), None);
    let mut link = accept(&machine);
    for task in 1..=12 {
        // Clients that only connect are in the backlog as well.
        let crowd: Vec<Wire> = (0..4).map(|_| Wire::connect(&planner.owners)).collect();
        let mut client = match task % 3 {
            0 => planner.paused(|| {
                let mut client = Wire::connect(&planner.owners);
                client.send(&set_up(task, "keyed", LONG_WAIT_MS, "x"));
                client
            }),
            case => {
                let mut client = Wire::connect(&planner.owners);
                client.send(&set_up(task, "keyed", LONG_WAIT_MS, "x"));
                assert_eq!(kind_and_task(&link.line().expect("a set-up")), ("launch".into(), task));
                if case == 2 {
                    planner.paused(|| link.send(&running(task)));
                }
                client
            }
        };
        planner.child.kill().expect("it runs");
        planner.child.wait().expect("it ends");
        drop(crowd);
        // At most the acceptance reached the client; then both connections end.
        let answers: Vec<_> = std::iter::from_fn(|| answered(&mut client)).collect();
        assert!(answers.len() <= usize::from(task % 3 == 2), "{answers:?}");
        assert!(answers.iter().all(|answer| *answer == (ANSWER, task, None)), "{answers:?}");
        let rest: Vec<_> = std::iter::from_fn(|| link.line()).map(|line| kind_and_task(&line)).collect();
        let allowed = ("launch".to_string(), task);
        assert!(rest.len() <= usize::from(task % 3 == 0), "{rest:?}");
        assert!(rest.iter().all(|message| *message == allowed), "{rest:?}");
        close_if_up(link);
        planner = Planner::start_with(config.clone(), None);
        link = accept(&machine);
        let mut client = Wire::connect(&planner.owners);
        client.send(&set_up(task, "keyed", LONG_WAIT_MS, "x"));
        assert_eq!(kind_and_task(&link.line().expect("a set-up")), ("launch".into(), task));
        link.send(&[running(task), stop(task, 16)].concat());
        assert_eq!(answered(&mut client), Some((ANSWER, task, None)));
        assert_eq!(answered(&mut client), Some((RELEASE, task, Some(16))));
        assert_eq!(answered_before_test(&mut client).len(), 0);
    }
}

/// Closes a connection that the peer may have reset.
fn close_if_up(wire: Wire) {
    let _ = wire.stream.shutdown(std::net::Shutdown::Both);
}

/// The largest number of set-ups that reached a machine within any window of this length.
fn max_offers_within(entries: &[Entry], window: Duration) -> usize {
    let at: Vec<Duration> =
        entries.iter().filter(|e| matches!(e.what, What::Ask { .. })).map(|e| e.at).collect();
    (0..at.len()).map(|from| at[from..].iter().filter(|&&t| t < at[from] + window).count()).max().unwrap_or(0)
}

/// Guards a cold machine against a few dozen real planners that all want it, half of which are killed and
/// restarted. By the machine's ledger no window brings more than N + 2 * sqrt(N) + 2 offers for a budget of
/// N, a restarted planner sends nothing before a window has passed, and every planner uses the machine.
#[test]
fn a_few_dozen_planners_do_not_overload_a_cold_machine() {
    const PLANNERS: usize = 24;
    const EACH: u64 = 12;
    /// Number of offers per window that the cold machine always bears.
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
    let mut planners = start_together(&configs);
    let mut clients = submit_to_each(&planners, EACH, 1);
    // A planner that has an answer has sent all that its first window allows.
    clients.iter_mut().for_each(|client| assert_eq!(answered(client).expect("an answer").0, ANSWER));
    planners.truncate(PLANNERS / 2);
    clients.truncate(PLANNERS / 2);
    let restarted = start_together(&configs[PLANNERS / 2..]);
    const LATER_TASKS: u64 = 1_000_000;
    let mut restarted_clients = submit_to_each(&restarted, EACH, LATER_TASKS);
    for client in &mut restarted_clients {
        assert_eq!(
            answered_before_test(client).len(),
            0,
            "a restarted planner waits for the end of a window"
        );
    }
    let offers_after_restart =
        |ledger: &burlhook_lab::node::Ledger| ledger.entries.iter().filter(|e| e.job >= LATER_TASKS).count();
    assert_eq!(offers_after_restart(&node.ledger()), 0);
    restarted_clients
        .iter_mut()
        .for_each(|client| assert_eq!(answered(client).expect("an answer").0, ANSWER));
    let entries = node.ledger().entries;
    let max_offers = max_offers_within(&entries, WINDOW);
    let borne = BUDGET + 2.0 * BUDGET.sqrt() + 2.0;
    assert!(max_offers as f64 <= borne, "{max_offers} offers in one window, but the machine bears {borne}");
    assert!(max_offers >= PLANNERS / 2, "only {max_offers} offers: the machine is hardly used");
}
