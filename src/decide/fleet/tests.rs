//! Single steps of the slots that the models do not reach in their depth.

use super::*;

const SECOND: Micros = 1_000_000;
const TERMS: Terms =
    Terms { lease: 2 * SECOND, rate_error_ppm: 10_000, ask_every: 50_000, floor_permille: 500 };

fn fleet(me: Member, life: Life, now: Micros) -> Fleet {
    Fleet::new((me, 3), life, vec![0, 1, 2], TERMS, now)
}

fn votes(voter: &mut Fleet, now: Micros, from: (Member, Life), claims: &[(Member, Claim)]) -> Vec<Vote> {
    let me = voter.place().0;
    let to = claims.iter().filter(|(to, _)| *to == me);
    to.filter_map(|(_, claim)| voter.claimed(now, from, *claim)).collect()
}

/// Until when a planner counts on its slot 0; it may be told to claim others that are free.
fn held(fleet: &Fleet) -> Option<Micros> {
    fleet.ground().slots.iter().find(|(slot, _)| *slot == 0).map(|(_, until)| *until)
}

/// Guards a slot against two sides of a cut that each have some votes: less than half of all is nothing.
#[test]
fn one_vote_of_three_is_not_enough() {
    let (mut own, mut other) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    let claims = own.tick(now);
    assert_eq!(held(&own), None, "its own vote alone");
    for vote in votes(&mut other, now, (0, 7), &claims) {
        own.voted(now + SECOND / 2, 1, vote);
    }
    assert_eq!(held(&own), Some(now + TERMS.borrower_term()), "counted from the claim");
    for vote in votes(&mut fleet(2, 9, 0), now, (0, 7), &claims) {
        own.voted(now + SECOND, 2, vote);
    }
    assert_eq!(held(&own), Some(now + TERMS.borrower_term()), "and not from the votes");
}

/// Guards a slot that was given back: no vote for a claim from before counts again, and a claim that comes late is not
/// obeyed.
#[test]
fn what_was_given_back_is_not_held_by_a_late_vote() {
    let (mut own, mut other) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    let claims = own.tick(now);
    let late = votes(&mut other, now, (0, 7), &claims);
    let back = own.give_back(now + 1, 0);
    assert!(votes(&mut other, now + 1, (0, 7), &back).is_empty(), "a giving is not answered");
    late.iter().for_each(|vote| _ = own.voted(now + 2, 1, *vote));
    assert_eq!(held(&own), None);
    assert!(
        votes(&mut other, now + 3, (0, 7), &claims).is_empty(),
        "the doubled claim is older than the giving"
    );
    own.tick(now + SECOND);
    late.iter().for_each(|vote| _ = own.voted(now + SECOND, 1, *vote));
    assert_eq!(held(&own), None, "a vote from before the giving counts for no later claim");
}

/// Guards what stands on slots while planners stop as they should: nothing is claimed any more, and others need not wait
/// for one that left.
#[test]
fn one_that_leaves_makes_room_at_once() {
    let (mut own, mut voter) = (fleet(0, 7, 0), fleet(1, 8, 0));
    let now = 10 * SECOND;
    voter.tick(now);
    let claims = own.tick(now);
    votes(&mut voter, now, (0, 7), &claims).iter().for_each(|vote| _ = own.voted(now, 1, *vote));
    assert!(held(&own).is_some());
    own.leave();
    assert!(own.giving().contains(&0));
    let back = own.give_back(now + 1, 0);
    votes(&mut voter, now + 1, (0, 7), &back);
    assert!(own.tick(now + SECOND).iter().all(|(_, claim)| !claim.keep), "it claims nothing more");
    let care = Claim { slot: 0, number: 1, keep: true };
    assert!(voter.claimed(now + 2, (2, 9), care).is_some_and(|vote| vote.given), "free at once");
}
