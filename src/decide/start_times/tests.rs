use super::*;

const MACHINE: MachineId = MachineId(1);
const LIVE: Heard = Heard { now: 10_000.0, is_live: true, has_stepped: false };

/// Guards warm machines against a late list: while nothing speaks against what it tells, that counts, and says the same again.
#[test]
fn what_the_list_tells_counts_while_clocks_agree() {
    let mut starts = StartTimes::new(16.0);
    assert_eq!(starts.take(MACHINE, 9_996.0, LIVE), 9_996.0);
    let later = Heard { now: 10_100.0, has_stepped: true, ..LIVE };
    assert_eq!(starts.take(MACHINE, 9_996.0, later), 9_996.0, "it is no new start");
    let at_start = Heard { is_live: false, ..LIVE };
    assert_eq!(starts.take(MachineId(2), 100.0, at_start), 100.0, "it is warm long since");
    assert_eq!(starts.take(MachineId(3), 0.0, LIVE), 0.0);
}

/// Guards cold machines against a wall clock that stepped: none counts as warm for it.
#[test]
fn a_start_after_the_clock_stepped_counts_from_when_it_was_heard() {
    for (told, heard) in [
        (6_399.0, LIVE),                                // an hour back, where the list is made
        (13_599.0, LIVE),                               // an hour ahead
        (13_599.0, Heard { is_live: false, ..LIVE }),   // the same, in an old list
        (9_990.0, Heard { has_stepped: true, ..LIVE }), // some seconds back
        (9_990.0, Heard { has_stepped: true, is_live: false, ..LIVE }),
    ] {
        assert_eq!(StartTimes::new(16.0).take(MACHINE, told, heard), 10_000.0, "{told} {heard:?}");
    }
}

/// Guards what stood at a machine that came up anew while the clock stepped back: it is not taken to run on.
#[test]
fn another_start_is_a_later_one() {
    let mut starts = StartTimes::new(16.0);
    let first = starts.take(MACHINE, 9_999.0, LIVE);
    let second = starts.take(MACHINE, 6_400.0, LIVE);
    assert!(second > first);
    assert!(starts.take(MACHINE, 6_399.0, LIVE) > second);
    starts.forget(MACHINE);
    assert_eq!(starts.take(MACHINE, 9_998.0, LIVE), 9_998.0);
}
