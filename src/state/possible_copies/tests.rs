use super::*;

const MACHINE: MachineId = MachineId(1);

fn key(name: &str) -> ClassAndKey {
    ("c".into(), name.into())
}

fn copy(machine: MachineId, confirmation: Confirmation) -> PossibleCopy {
    PossibleCopy { machine, confirmation, begun_by: 1.0 }
}

impl PossibleCopies {
    fn sizes(&self) -> (usize, usize, usize, usize) {
        (self.records.len(), self.unkeyed.len(), self.keyed.len(), self.keys.len())
    }
}

/// Guards memory against any number of ids: only the newest are kept.
#[test]
fn only_the_newest_ids_are_kept() {
    let mut copies = PossibleCopies::default();
    let last = 3 * MAX_UNKEYED as u64;
    for job in 1..=last {
        copies.record(1.0, RequestId(job), None, copy(MACHINE, Confirmation::Report));
        copies.record(1.0, RequestId(job), None, copy(MachineId(2), Confirmation::Report));
    }
    assert_eq!(copies.sizes(), (MAX_UNKEYED, MAX_UNKEYED, 0, 0));
    assert!(copies.may_run(RequestId(last)) && !copies.may_run(RequestId(1)));
    copies.prove_gone(RequestId(last), MACHINE);
    assert!(copies.may_run(RequestId(last)));
    for machine in [MACHINE, MachineId(2)] {
        let there: Vec<RequestId> = copies.begun_at(machine, 1.0).collect();
        there.into_iter().for_each(|job| copies.prove_gone(job, machine));
    }
    assert_eq!(copies.sizes(), (0, 0, 0, 0));
}

/// Guards keys against a crowd of copies: none is dropped to make room, and the crowd is known to be one.
#[test]
fn a_crowd_of_copies_frees_no_key() {
    let mut copies = PossibleCopies::default();
    copies.record(1.0, RequestId(1), Some(key("first")), copy(MACHINE, Confirmation::Report));
    for job in 2..=2 * MAX_UNKEYED as u64 {
        copies.record(1.0, RequestId(job), None, copy(MACHINE, Confirmation::Report));
    }
    assert!(copies.key_may_run(1.0, &key("first")) && !copies.is_full());
    for job in 1..MAX_KEYED as u64 {
        let own = key(&job.to_string());
        copies.record(1.0, RequestId(1 << 40 | job), Some(own), copy(MACHINE, Confirmation::Report));
    }
    assert!(copies.key_may_run(1.0, &key("first")) && copies.is_full());
}

/// Guards memory and callers against a copy whose machine never confirms anything: it is forgotten in time.
#[test]
fn an_unconfirmed_copy_is_forgotten_in_time() {
    let mut copies = PossibleCopies::default();
    copies.record(1.0, RequestId(1), Some(key("a")), copy(MACHINE, Confirmation::Report));
    copies.record(2.0, RequestId(2), None, copy(MACHINE, Confirmation::Report));
    assert!(copies.key_may_run(RETENTION_S, &key("a")));
    assert!(!copies.key_may_run(RETENTION_S + 1.0, &key("a")));
    copies.record(RETENTION_S + 3.0, RequestId(3), None, copy(MACHINE, Confirmation::Report));
    assert_eq!(copies.sizes(), (1, 1, 0, 0));
}

/// Guards keys against a connection check of a former connection: it confirms nothing that was ordered on the next one.
#[test]
fn a_check_confirms_only_what_was_written_before_it() {
    let mut copies = PossibleCopies::default();
    copies.record(1.0, RequestId(1), Some(key("a")), copy(MACHINE, Confirmation::Fence(5)));
    copies.record(1.0, RequestId(2), Some(key("a")), copy(MACHINE, Confirmation::Fence(7)));
    assert_eq!(copies.confirmed_by(MACHINE, 4), []);
    assert_eq!(copies.confirmed_by(MACHINE, 6), [RequestId(1)]);
    copies.forget_fences(MACHINE);
    assert_eq!(copies.confirmed_by(MACHINE, 9), []);
    copies.confirm_by(RequestId(2), MACHINE, Confirmation::Fence(9));
    assert_eq!(copies.confirmed_by(MACHINE, 9), [RequestId(2)]);
    copies.prove_gone(RequestId(2), MACHINE);
    assert!(copies.key_may_run(1.0, &key("a")), "the other copy with the key may run");
    copies.prove_gone(RequestId(1), MACHINE);
    assert!(!copies.key_may_run(1.0, &key("a")));
}
