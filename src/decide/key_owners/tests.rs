use super::*;

fn planners(count: usize) -> Vec<String> {
    (1..=count).map(|n| format!("http://127.0.0.1:{n}")).collect()
}

/// Adding or removing a planner must not change the owner of keys that it does not own.
#[test]
fn a_key_keeps_its_owner_unless_that_one_goes() {
    let planners = planners(4);
    let all_planners = KeyOwners::new(&planners);
    let without_last = KeyOwners::new(&planners[..3]);
    let mut owned = [0; 4];
    for n in 0..400 {
        let key = n.to_string();
        let owner = all_planners.of_job("keyed", &key).expect("an owner");
        let at = planners.iter().position(|p| p == owner).expect("one of the set");
        owned[at] += 1;
        if at < 3 {
            assert_eq!(without_last.of_job("keyed", &key), Some(owner));
        }
    }
    assert!(owned.iter().all(|&n| n > 50), "{owned:?}");
}

/// Guards against two planners that each have an attempt of one key out: whatever the group's key looks like,
/// the keys that its members get by default belong to its owner, for single jobs under these keys as well.
#[test]
fn a_group_has_one_owner_or_none() {
    let owners = KeyOwners::new(&planners(5));
    for key in ["night", "{night}", "a/{b}/c", "a{b", "{}", "night/7", "{{x}}"] {
        let keys: Vec<String> = (0..8).map(|member| owners.member_key(key, member)).collect();
        let class = |member: usize| if member.is_multiple_of(2) { "keyed" } else { "other" };
        let members: Vec<MemberKey<'_>> = keys
            .iter()
            .enumerate()
            .map(|(member, key)| MemberKey { member, class: class(member), key })
            .collect();
        let owner = owners.of_group(Some(key), &members);
        assert!(matches!(owner, Ok(Some(_))), "{key}: {owner:?}");
        assert!(members.iter().all(|m| Ok(owners.of_job(m.class, m.key)) == owner), "{key}");
    }
    // Keys without a common tag belong to several planners, and no planner may place the group.
    let keys: Vec<String> = (0..20).map(|n| format!("own-{n}")).collect();
    let members: Vec<MemberKey<'_>> =
        keys.iter().enumerate().map(|(member, key)| MemberKey { member, class: "keyed", key }).collect();
    assert!(owners.of_group(None, &members).is_err());
    assert!((0..20).any(|n| owners.of_group(Some("night"), &members[n..=n]).is_err()));
    assert!((0..20).all(|n| owners.of_group(None, &members[n..=n]) == Ok(owners.of_job("keyed", &keys[n]))));
}

/// Guards planners without a fleet: they own every key, and their members' keys keep their form.
#[test]
fn without_a_fleet_no_key_has_another_owner() {
    let alone = KeyOwners::new(&[]);
    assert_eq!(alone.member_key("night", 1), "night/1");
    let members = [MemberKey { member: 0, class: "keyed", key: "own" }];
    assert_eq!(alone.of_group(Some("night"), &members), Ok(None));
    assert_eq!(alone.of_job("keyed", "{x}"), None);
}
