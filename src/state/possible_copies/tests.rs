use super::*;

/// Guards memory against any number of ids: only the newest are kept.
#[test]
fn only_the_newest_ids_are_kept() {
    let mut possible_copies = PossibleCopies::default();
    let last = 3 * MAX_IDS as u64;
    for job in 1..=last {
        possible_copies.record(RequestId(job), MachineId(1));
        possible_copies.record(RequestId(job), MachineId(2));
    }
    assert_eq!((possible_copies.machines.len(), possible_copies.order.len()), (MAX_IDS, MAX_IDS));
    assert!(possible_copies.may_run(RequestId(last)) && !possible_copies.may_run(RequestId(1)));
    possible_copies.prove_gone(RequestId(last), MachineId(1));
    assert!(possible_copies.may_run(RequestId(last)));
    possible_copies.prove_all_gone(MachineId(1));
    possible_copies.prove_all_gone(MachineId(2));
    assert_eq!((possible_copies.machines.len(), possible_copies.order.len()), (0, 0));
}
