use super::*;

const MACHINE: MachineId = MachineId(1);
const LIVE: NoticeContext = NoticeContext { now: 10_000.0, is_live: true, has_stepped: false };

/// A machine that is warm must not be treated as cold because the list arrives late: a listed start time
/// that is possible is used, and listing it again changes nothing.
#[test]
fn what_the_list_tells_counts_while_clocks_agree() {
    let mut starts = StartTimes::new(16.0);
    assert_eq!(starts.take(MACHINE, 9_996.0, LIVE), 9_996.0);
    let later = NoticeContext { now: 10_100.0, has_stepped: true, ..LIVE };
    assert_eq!(starts.take(MACHINE, 9_996.0, later), 9_996.0, "the start is not a new one");
    let at_start = NoticeContext { is_live: false, ..LIVE };
    assert_eq!(starts.take(MachineId(2), 100.0, at_start), 100.0, "it has been warm for long");
    assert_eq!(starts.take(MachineId(3), 0.0, LIVE), 0.0);
}

/// A cold machine must not be treated as warm because the wall clock stepped.
#[test]
fn a_start_after_the_clock_stepped_counts_from_when_it_was_heard() {
    for (listed, notice) in [
        (6_399.0, LIVE),                                        // the list's clock is an hour behind
        (13_599.0, LIVE),                                       // the list's clock is an hour ahead
        (13_599.0, NoticeContext { is_live: false, ..LIVE }),   // the same, in a replayed list
        (9_990.0, NoticeContext { has_stepped: true, ..LIVE }), // this planner's clock has stepped
        (9_990.0, NoticeContext { has_stepped: true, is_live: false, ..LIVE }),
    ] {
        assert_eq!(StartTimes::new(16.0).take(MACHINE, listed, notice), 10_000.0, "{listed} {notice:?}");
    }
}

/// If a machine restarts while the clock steps back, the restart must be noticed; otherwise the tasks that it
/// held would be considered still running.
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
