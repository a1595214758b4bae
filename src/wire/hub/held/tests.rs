use super::*;
use crate::state::Spec;
use std::sync::Arc;

fn held(owner_link: u64, job: u64) -> HeldSetUp {
    let (machine, link_id) = (MachineId(1), 1);
    let set_up =
        SetUp { job: RequestId(job), attempt: 0, until: 1.0, fence: None, spec: Arc::new(Spec::default()) };
    HeldSetUp { owner_link, machine, link_id, set_up }
}

/// Guards against a memory leak and against loss: a set-up that is cancelled or released is removed, and the
/// others stay.
#[test]
fn withdrawn_and_taken_set_ups_are_removed() {
    let mut all = HeldSetUps::default();
    [(1, 10), (2, 20), (1, 11)].into_iter().for_each(|(owner_link, job)| all.push(held(owner_link, job)));
    assert!(all.withdraw(MachineId(1), RequestId(10)) && !all.withdraw(MachineId(1), RequestId(10)));
    assert!(!all.withdraw(MachineId(2), RequestId(20)), "it is held for another machine");
    let jobs: Vec<u64> = all.take(1).iter().map(|held| held.set_up.job.0).collect();
    assert_eq!((jobs, all.all.len()), (vec![11], 1));
    assert_eq!((all.take(2).len(), all.all.len()), (1, 0));
}
