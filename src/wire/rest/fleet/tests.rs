use super::*;

/// Adding or removing a planner must not change the owner of keys that it does not own.
#[test]
fn a_key_keeps_its_owner_unless_that_one_goes() {
    let planners: Vec<String> = (1..=4).map(|n| format!("http://127.0.0.1:{n}")).collect();
    let all_planners = Fleet::new(&planners, &planners[0]);
    let without_last = Fleet::new(&planners[..3], &planners[0]);
    let mut owned = [0; 4];
    for n in 0..400 {
        let key = n.to_string();
        let owner = all_planners.owner("keyed", &key).expect("an owner");
        let at = planners.iter().position(|p| p == owner).expect("one of the set");
        owned[at] += 1;
        if at < 3 {
            assert_eq!(without_last.owner("keyed", &key), Some(owner));
        }
    }
    assert!(owned.iter().all(|&n| n > 50), "{owned:?}");
}
