use super::message::Line;
use super::plan::{address, machine_at, Plan};
use super::state::{Answer, Fleet, TaskKey};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

const PORT: u16 = 7;

fn fleet(plan: Plan) -> (Fleet, UnboundedReceiver<Vec<u8>>) {
    let mut fleet = Fleet::new(plan, PORT);
    let (out, queue) = unbounded_channel();
    fleet.open(3, 1, out);
    (fleet, queue)
}

fn receive(fleet: &mut Fleet, kind: &str, uid: &str) -> Answer {
    fleet.receive(3, 1, &Line { kind, uid })
}

#[test]
fn every_machine_has_an_address_of_its_own() {
    for machine in [0, 1, 249, 250, 62_499, 62_500, 125_003] {
        let std::net::SocketAddr::V4(at) = address(machine, PORT) else { panic!("not IPv4") };
        assert!(at.ip().is_loopback());
        assert_eq!(machine_at(*at.ip()), Some(machine), "{at}");
    }
    assert_eq!(machine_at("127.0.0.1".parse().unwrap()), None);
    assert_eq!(machine_at("10.1.1.1".parse().unwrap()), None);
}

#[test]
fn a_full_machine_refuses_and_an_end_makes_room() {
    let (mut fleet, mut queue) = fleet(Plan { slots: 1, ..Plan::default() });
    let start = receive(&mut fleet, "launch", "a").start.expect("it starts");
    assert_eq!(start, TaskKey { machine: 3, job: 10 });
    assert!(receive(&mut fleet, "launch", "b").start.is_none());
    assert_eq!((fleet.counts.launches, fleet.counts.refused, fleet.counts.held), (2, 1, 1));
    assert!(fleet.started(start));
    fleet.ended(start);
    assert!(receive(&mut fleet, "launch", "c").start.is_some());
    let text = |line: Vec<u8>| String::from_utf8(line).expect("text");
    assert!(text(queue.try_recv().expect("an answer")).contains("running"));
    assert!(text(queue.try_recv().expect("an end")).contains("\"reason\":16"));
    assert!(queue.try_recv().is_err());
}

#[test]
fn an_end_without_a_connection_goes_to_the_next_one() {
    let (mut fleet, _queue) = fleet(Plan::default());
    let start = receive(&mut fleet, "launch", "a").start.expect("it starts");
    assert!(fleet.started(start));
    fleet.closed(3, 1);
    assert_eq!(fleet.counts.held, 1);
    fleet.ended(start);
    let (out, mut next) = unbounded_channel();
    fleet.open(3, 2, out);
    assert!(next.try_recv().is_ok());
    assert!(next.try_recv().is_err());
    assert_eq!((fleet.counts.held, fleet.counts.ended, fleet.counts.open), (0, 1, 1));
}

#[test]
fn a_start_on_a_closed_connection_is_given_up() {
    let (mut fleet, _queue) = fleet(Plan::default());
    let start = receive(&mut fleet, "launch", "a").start.expect("it starts");
    fleet.closed(3, 1);
    assert!(!fleet.started(start));
    assert_eq!(fleet.counts.held, 0);
}

#[test]
fn refusals_are_spread_evenly() {
    let (mut fleet, _queue) = fleet(Plan { refuse: 0.25, slots: 100, ..Plan::default() });
    let launched = |fleet: &mut Fleet, n: usize| receive(fleet, "launch", &format!("{n:x}")).start.is_some();
    let taken: Vec<bool> = (1..=8).map(|n| launched(&mut fleet, n)).collect();
    assert_eq!(taken, [true, true, true, false, true, true, true, false]);
}

#[test]
fn the_spare_room_is_the_stated_share() {
    for spare in [1.0, 0.5, 0.1] {
        let plan = Plan { spare, ..Plan::default() };
        let free: usize = (0..400).map(|machine| plan.free(machine)).sum();
        assert_eq!(free as f64, 400.0 * plan.slots as f64 * spare, "{spare}");
    }
}
