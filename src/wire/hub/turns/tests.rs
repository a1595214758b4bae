use super::*;

fn unread_since(turns: &Turns) -> Option<Seconds> {
    turns.turn.lock().expect("a turn").unread_since
}

/// Guards the arrival time of requests: one that arrives while the planner is busy counts from the start of
/// that turn, and one that wakes the planner counts from the wake-up.
#[test]
fn a_request_during_a_turn_counts_from_its_start() {
    let turns = Turns::default();
    assert_eq!(unread_since(&turns), None);
    turns.park_at(10.0);
    turns.unpark_at(11.0);
    assert_eq!(unread_since(&turns), Some(11.0), "the thread waited, and the request woke it");
    turns.park_at(11.4);
    turns.unpark_at(11.4001);
    assert_eq!(unread_since(&turns), Some(11.0), "the request arrived during the previous turn");
    turns.park_at(11.5);
    turns.unpark_at(11.5001);
    assert_eq!(unread_since(&turns), Some(11.4001));
    turns.park_at(11.6);
    turns.unpark_at(12.0);
    assert_eq!(unread_since(&turns), Some(12.0));
}
