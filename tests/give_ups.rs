//! When an attempt is over: not before its machine is known to have given it up. A second attempt of the same request
//! that goes out earlier runs beside the first.

mod exchange;

use exchange::protocol::{
    accept, answered, event, give_up, listener, running, set_up, table_address, told, ANSWER,
};
use exchange::{fill, instance, knows, short_box, Planner, Wire};
use serde_json::{json, Value};
use socket2::Socket;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Far longer than anything takes: it only ends a test that hangs.
const PATIENCE: Duration = Duration::from_secs(20);
/// Seconds. A dial that hangs does so for longer than any of these tests takes.
const DIAL_S: f64 = 5.0;
/// Milliseconds. How long clients wait.
const WAIT_MS: u32 = 8000;
/// The state of a socket that dials, as the system's table of sockets writes it.
const SYN_SENT: &str = "02";

/// Whether a dial to an address has neither come up nor failed, by the system's table of sockets.
fn dial_hangs(address: &str) -> bool {
    let remote = table_address(address.parse().expect("an address"));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table.lines().any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(2) == Some(&remote.as_str()) && columns.get(3) == Some(&SYN_SENT)
    })
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < PATIENCE, "{what}");
        std::thread::yield_now();
    }
}

/// A planner that follows a machine list, with one machine on whose connection a task runs and request 2 is out, while
/// the dial beside that silent connection hangs.
struct HangingDial {
    planner: Planner,
    client: Wire,
    machine: Wire,
    address: String,
    list: Wire,
    _listeners: (Socket, TcpListener),
    _full: Vec<TcpStream>,
}

impl HangingDial {
    fn start() -> HangingDial {
        let (machine_listener, address) = short_box();
        let (list_listener, list_address) = listener();
        let mut config = knows(&[instance("b1", &address, "in_service")], Some(&list_address));
        config["settings"]["permissions"]["dial_timeout_s"] = json!(DIAL_S);
        let planner = Planner::start_with(config, None);
        let mut machine = Wire::new(machine_listener.accept().expect("the planner connects").0.into());
        let mut list = accept(&list_listener);
        list.line().expect("watch N");
        let mut client = Wire::connect(&planner.owners);
        client.send(&set_up(1, "stateless", WAIT_MS, "x"));
        assert_eq!(told(&machine.line().expect("a set-up")), ("launch".into(), 1));
        machine.send(&running(1));
        assert_eq!(answered(&mut client), Some((ANSWER, 1, None)));
        let full = fill(&address);
        client.send(&set_up(2, "stateless", WAIT_MS, "x"));
        assert_eq!(told(&machine.line().expect("a set-up")), ("launch".into(), 2));
        wait_until("it dials beside the silent connection", || dial_hangs(&address));
        let _listeners = (machine_listener, list_listener);
        HangingDial { planner, client, machine, address, list, _listeners, _full: full }
    }
}

/// Reads what a machine is told until a request is given up: by a word, or by the end of its connection.
fn until_given_up(machine: &mut Wire, task: u64) {
    while let Some(line) = machine.line() {
        if told(&line) == ("stop".into(), task) {
            return;
        }
    }
}

/// Guards what must not be repeated: a machine that leaves the list while a dial beside its connection hangs gives its
/// attempts up before they go to another.
#[test]
fn a_machine_that_leaves_during_a_hanging_dial_has_no_second_copy_beside_it() {
    let mut case = HangingDial::start();
    let (other, other_address) = listener();
    let given_up = Arc::new(AtomicBool::new(false));
    let mut machine = case.machine;
    let booked = given_up.clone();
    let reader = std::thread::spawn(move || {
        until_given_up(&mut machine, 2);
        booked.store(true, Ordering::SeqCst);
    });
    let change: [Value; 2] =
        [instance("b1", &case.address, "terminated"), instance("b2", &other_address, "in_service")];
    case.list.send(&event(2, &change));
    let mut second = accept(&other);
    assert_eq!(told(&second.line().expect("a set-up")), ("launch".into(), 2));
    assert!(given_up.load(Ordering::SeqCst), "the first copy is out still");
    second.send(&running(2));
    reader.join().expect("it ends");
}

/// Guards what its client gave up: the machine hears of it, and of new requests, while a dial beside its connection hangs.
#[test]
fn a_connection_is_written_to_while_a_dial_beside_it_hangs() {
    let mut case = HangingDial::start();
    case.client.send(&give_up(2));
    case.client.send(&set_up(3, "stateless", WAIT_MS, "x"));
    assert_eq!(told(&case.machine.line().expect("a give-up")), ("stop".into(), 2));
    assert_eq!(told(&case.machine.line().expect("a set-up")), ("launch".into(), 3));
    assert!(dial_hangs(&case.address), "it was heard only once the dial had ended");
    case.machine.send(&running(3));
    assert_eq!(answered(&mut case.client), Some((ANSWER, 3, None)));
    drop(case.planner);
}

/// A planner that follows a machine list, with one machine that has heard request 2 and says nothing to it.
struct OneOut {
    planner: Planner,
    client: Wire,
    machine: Wire,
    address: String,
    list: Wire,
    _listeners: (TcpListener, TcpListener),
}

impl OneOut {
    fn start() -> OneOut {
        let (machine_listener, address) = listener();
        let (list_listener, list_address) = listener();
        let planner = Planner::start(std::slice::from_ref(&address), Some(&list_address), None);
        let mut machine = accept(&machine_listener);
        let mut list = accept(&list_listener);
        list.line().expect("watch N");
        let mut client = Wire::connect(&planner.owners);
        client.send(&set_up(2, "stateless", WAIT_MS, "x"));
        assert_eq!(told(&machine.line().expect("a set-up")), ("launch".into(), 2));
        let _listeners = (machine_listener, list_listener);
        OneOut { planner, client, machine, address, list, _listeners }
    }

    /// The first machine ends its connection only after another request went to a second one; tells which requests came
    /// there, in order.
    fn arrivals_at_a_second_machine(mut self, other: &TcpListener) -> [u64; 2] {
        while self.machine.line().is_some() {}
        self.client.send(&set_up(3, "stateless", WAIT_MS, "x"));
        let mut second = accept(other);
        let (_, first_task) = told(&second.line().expect("a set-up"));
        drop(self.machine);
        let (_, second_task) = told(&second.line().expect("a set-up"));
        second.send(&[running(2), running(3)].concat());
        let answers = [answered(&mut self.client), answered(&mut self.client)];
        assert!(answers.iter().all(|answer| answer.is_some_and(|(kind, ..)| kind == ANSWER)), "{answers:?}");
        drop((self.planner, self.list));
        [first_task, second_task]
    }
}

/// Guards what must not be repeated: an attempt at a machine that leaves the list is out until that machine has ended its
/// connection, which shows that it gave the attempt up.
#[test]
fn an_attempt_at_a_machine_that_leaves_is_out_until_it_ended_its_connection() {
    let mut case = OneOut::start();
    let (other, other_address) = listener();
    let change = [instance("b1", &case.address, "terminated"), instance("b2", &other_address, "in_service")];
    case.list.send(&event(2, &change));
    assert_eq!(case.arrivals_at_a_second_machine(&other), [3, 2]);
}

/// Guards what must not be repeated: an attempt on a connection that the planner ends, as half a line came and no more, is
/// out until its machine has ended it, too.
#[test]
fn an_attempt_on_a_connection_that_the_planner_ends_is_out_until_its_machine_ended_it() {
    let mut case = OneOut::start();
    let (other, other_address) = listener();
    let change = [instance("b1", &case.address, "terminating"), instance("b2", &other_address, "in_service")];
    case.list.send(&event(2, &change));
    case.machine.send(br#"{"kind":"running","uid":"0000"#);
    assert_eq!(case.arrivals_at_a_second_machine(&other), [3, 2]);
}
