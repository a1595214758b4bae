//! Tests of single steps that the model checks do not reach within their depth.

use super::*;

const SECOND: Micros = 1_000_000;
const TERMS: Terms =
    Terms { lease: 2 * SECOND, rate_error_ppm: 10_000, ask_every: 50_000, floor_permille: 500 };

fn fleet(me: Member, incarnation: Incarnation, now: Micros) -> Fleet {
    Fleet::new((me, 3), incarnation, vec![0, 1, 2], TERMS, now)
}

fn votes(
    voter: &mut Fleet,
    now: Micros,
    from: (Member, Incarnation),
    claims: &[(Member, Claim)],
) -> Vec<Vote> {
    let me = voter.place().0;
    let to = claims.iter().filter(|(to, _)| *to == me);
    to.filter_map(|(_, claim)| voter.on_claim(now, from, *claim)).collect()
}

/// Until when a planner holds slot 0. It may also be offered other slots that are free.
fn held(fleet: &Fleet) -> Option<Micros> {
    fleet.slot_leases().slots.iter().find(|(slot, _)| *slot == 0).map(|(_, until)| *until)
}

/// If the network is partitioned and each side has some votes, a planner must not hold a slot with half of
/// all votes or fewer.
#[test]
fn one_vote_of_three_is_not_enough() {
    let (mut own, mut other) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    let claims = own.tick(now);
    assert_eq!(held(&own), None, "its own vote alone is no majority");
    for vote in votes(&mut other, now, (0, 7), &claims) {
        own.on_vote(now + SECOND / 2, 1, vote);
    }
    assert_eq!(held(&own), Some(now + TERMS.borrower_term()), "counted from when the claim was sent");
    for vote in votes(&mut fleet(2, 9, 0), now, (0, 7), &claims) {
        own.on_vote(now + SECOND, 2, vote);
    }
    assert_eq!(held(&own), Some(now + TERMS.borrower_term()), "not from when the votes arrived");
}

/// After a slot was given back, a vote for an earlier claim must not count, and a claim that arrives late
/// must be ignored.
#[test]
fn what_was_given_back_is_not_held_by_a_late_vote() {
    let (mut own, mut other) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    let claims = own.tick(now);
    let late = votes(&mut other, now, (0, 7), &claims);
    let give_back = own.give_back(now + 1, 0);
    assert!(votes(&mut other, now + 1, (0, 7), &give_back).is_empty(), "a give-back is not answered");
    late.iter().for_each(|vote| _ = own.on_vote(now + 2, 1, *vote));
    assert_eq!(held(&own), None);
    assert!(
        votes(&mut other, now + 3, (0, 7), &claims).is_empty(),
        "the duplicate claim is older than the give-back"
    );
    own.tick(now + SECOND);
    late.iter().for_each(|vote| _ = own.on_vote(now + SECOND, 1, *vote));
    assert_eq!(held(&own), None, "a vote from before the give-back does not count for a later claim");
}

/// A planner that stops in an orderly way must make no more claims, and others must be able to take over its
/// slot without delay.
#[test]
fn one_that_leaves_makes_room_at_once() {
    let (mut own, mut voter) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    voter.tick(now);
    let claims = own.tick(now);
    votes(&mut voter, now, (0, 7), &claims).iter().for_each(|vote| _ = own.on_vote(now, 1, *vote));
    assert!(held(&own).is_some());
    own.leave();
    assert!(own.slots_to_give_back().contains(&0));
    let give_back = own.give_back(now + 1, 0);
    votes(&mut voter, now + 1, (0, 7), &give_back);
    assert!(own.tick(now + SECOND).iter().all(|(_, claim)| !claim.keep), "it makes no more claims");
    let claim = Claim { slot: 0, number: 1, keep: true };
    assert!(
        voter.on_claim(now + 2, (2, 9), claim).is_some_and(|vote| vote.given),
        "the slot is free at once"
    );
}
