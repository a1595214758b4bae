use super::*;

/// Guards memory against any number of ids, and the newest against the oldest.
#[test]
fn the_newest_are_remembered() {
    let mut ghosts = Ghosts::default();
    let last = 3 * MOST_GHOSTS as u64;
    for job in 1..=last {
        ghosts.book(RequestId(job), MachineId(1));
        ghosts.book(RequestId(job), MachineId(2));
    }
    assert_eq!((ghosts.machines.len(), ghosts.order.len()), (MOST_GHOSTS, MOST_GHOSTS));
    assert!(ghosts.may_run(RequestId(last)) && !ghosts.may_run(RequestId(1)));
    ghosts.prove_gone(RequestId(last), MachineId(1));
    assert!(ghosts.may_run(RequestId(last)));
    ghosts.prove_all_gone(MachineId(1));
    ghosts.prove_all_gone(MachineId(2));
    assert_eq!((ghosts.machines.len(), ghosts.order.len()), (0, 0));
}
