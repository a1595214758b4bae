use super::*;

const CAPACITY: usize = 8;

fn task(job: u64) -> TaskAtMachine {
    (RequestId(job), MachineId(0))
}

/// Guards memory against any number of ends that nobody claims: the newest are kept, and none for long.
#[test]
fn kept_ends_are_bounded_in_number_and_time() {
    let mut ends = UnclaimedEnds::default();
    for job in 0..3 * CAPACITY as u64 {
        ends.record(0.0, task(job), Outcome::Ok, CAPACITY);
    }
    assert_eq!((ends.ends.len(), ends.order.len()), (CAPACITY, CAPACITY));
    assert_eq!(ends.claim(0.0, task(0)), None, "the oldest was dropped");
    assert_eq!(ends.claim(0.0, task(3 * CAPACITY as u64 - 1)), Some(Outcome::Ok));
    ends.record(RETENTION_S + 1.0, task(99), Outcome::Ok, CAPACITY);
    assert_eq!((ends.ends.len(), ends.order.len()), (1, 1));
}

/// Guards a second end of the same task against the expiry of the first, which was claimed.
#[test]
fn an_end_outlives_an_earlier_claimed_one() {
    let mut ends = UnclaimedEnds::default();
    ends.record(0.0, task(1), Outcome::Ok, CAPACITY);
    assert_eq!(ends.claim(1.0, task(1)), Some(Outcome::Ok));
    ends.record(40.0, task(1), Outcome::Lost, CAPACITY);
    ends.record(50.0, task(2), Outcome::Ok, CAPACITY);
    assert_eq!(ends.claim(50.0, task(1)), Some(Outcome::Lost));
}

/// Guards a machine's second report of an end, on its next connection, against an expired first one: the task can
/// still be claimed, and nothing expired is kept.
#[test]
fn an_end_that_is_reported_again_after_its_expiry_is_kept() {
    let mut ends = UnclaimedEnds::default();
    ends.record(0.0, task(1), Outcome::Ok, CAPACITY);
    let again_at = RETENTION_S + 1.0;
    ends.record(again_at, task(1), Outcome::Ok, CAPACITY);
    assert_eq!((ends.ends.len(), ends.order.len()), (1, 1));
    assert_eq!(ends.claim(again_at + 1.0, task(1)), Some(Outcome::Ok));
}
