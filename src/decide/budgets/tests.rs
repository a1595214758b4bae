//! Single safeguards of the division, and books from use to use. Whole fleets under faults are simulated by the laboratory
//! (`tests/twin.rs`); orders of words are checked by `model`.

use super::*;
use crate::decide::fleet::{Ground, Member, Micros, Terms};
use std::sync::Arc;

const MS: Micros = 1_000;
const TERMS: Terms =
    Terms { lease: 2_000 * MS, rate_error_ppm: 10_000, ask_every: 50 * MS, floor_permille: 500 };

/// A lender and a borrower of one unit each, past their quiet times, and the borrower's ask granted.
fn pair(ground: &Ground) -> (Share, Share, Micros) {
    let share = |me: Member| Share::new((me, 2), u64::from(me) + 1, (2, 0), (TERMS, 1000), 0);
    let (mut lender, mut borrower, now) = (share(0), share(1), 10 * TERMS.lease);
    borrower.set_need(5, 1, now + 100 * MS);
    let (_, ask) = borrower.tick(ground, now)[0];
    let grant = lender.asked(ground, now + MS, 1, ask).expect("an answer");
    borrower.granted(now + 2 * MS, 0, grant);
    (lender, borrower, now + 2 * MS)
}

/// Guards the whole against uses that go on after the loan which they count on has lapsed, and a loan in use against
/// being given back.
#[test]
fn a_use_ends_before_the_loan_that_it_counts_on() {
    let ground = Ground::default();
    let (lender, mut borrower, now) = pair(&ground);
    assert_eq!((lender.usable(&ground, now), borrower.usable(&ground, now)), (0, 2));
    assert!(borrower.admits(&ground, now, 500 * MS) && !borrower.admits(&ground, now, 2 * TERMS.lease));
    borrower.set_need(0, 2, now + 500 * MS);
    assert!(borrower.tick(&ground, now).is_empty(), "both units are in use");
    assert_eq!(borrower.usable(&ground, now), 2);
    borrower.set_need(0, 0, 0);
    let back = borrower.tick(&ground, now + TERMS.ask_every);
    assert!(matches!(back[..], [(0, Ask { wants: 0, holds: 0, .. })]), "{back:?}");
}

/// Guards uses in flight against giving back the loan that outlasts them, where another that lapses sooner would cover as
/// many now.
#[test]
fn a_loan_in_use_is_kept_beside_one_that_lapses_sooner() {
    // Its own floor is not to be had yet: what it uses is borrowed.
    let ground = Ground { quiet_until: Micros::MAX, slots: vec![] };
    let mut share = Share::new((2, 3), 3, (9, 0), (TERMS, 1000), 0);
    let now = 10 * TERMS.lease;
    let grant = |units, span| Grant { life: 3, number: 1, units, span, whole: 9, hold: 0 };
    share.set_need(3, 0, 0);
    assert_eq!(share.tick(&ground, now)[0].0, 1);
    share.granted(now, 1, grant(1, 900 * MS));
    let later = now + 2 * TERMS.ask_every;
    assert!(share.tick(&ground, later).iter().any(|(to, ask)| *to == 0 && ask.wants == 2));
    share.granted(later, 0, grant(2, TERMS.lease));
    let look = later + 600 * MS;
    share.set_need(0, 2, look + 500 * MS);
    assert_eq!(share.usable(&ground, look), 3);
    let asks = share.tick(&ground, look);
    let wants = |of: Member| asks.iter().find(|(to, _)| *to == of).map(|(_, ask)| ask.wants);
    assert_eq!((wants(0), wants(1)), (Some(2), Some(0)), "{asks:?}");
}

/// Guards a lender's own uses: what it uses it does not lend, also where it needs nothing more.
#[test]
fn what_is_in_use_is_not_lent() {
    let ground = Ground::default();
    let (mut lender, mut borrower, now) = pair(&ground);
    let later = now + 2 * TERMS.lease;
    lender.set_need(0, 1, later + MS);
    let asks = borrower.tick(&ground, later);
    let granted = lender.asked(&ground, later, 1, asks[0].1);
    assert!(granted.is_some_and(|grant| grant.units == 0), "{granted:?}");
}

/// Guards a slot's next holder: neither a use nor a loan that counts on a slot outlasts it, and one on which something
/// counts is not given back.
#[test]
fn nothing_outlasts_the_slot_that_it_counts_on() {
    let now = 10 * TERMS.lease;
    let end = now + 1_500 * MS;
    let ground = Ground { quiet_until: 0, slots: vec![(0, end)] };
    let mut share = Share::new((0, 2), 1, (20, 0), (TERMS, 500), 0);
    share.set_need(0, 5, now + 100 * MS);
    assert!(
        share.admits(&ground, now, 2_000 * MS) == (share.usable(&Ground::default(), now) > 5),
        "the floor is 5"
    );
    assert!(share.admits(&ground, now, 1_000 * MS), "within the slot's time there are 10");
    assert!(share.spares(&ground, now, 0), "the floor covers what is in use");
    let ask = Ask { life: 9, number: 1, wants: 50, holds: 0, whole: 20, hold: 0 };
    let grant = share.asked(&ground, now, 1, ask).expect("an answer");
    assert_eq!(grant.units, 5);
    assert!(now + TERMS.given_for(grant.span) <= end, "lent for {} us", grant.span);
    assert!(!share.spares(&ground, now, 0), "the loan counts on it");
    assert_eq!(share.usable(&ground, now), 5);
    assert_eq!(share.usable(&ground, end), 5, "slot and loan have lapsed together");
}

/// Guards a fleet whose files differ: the lower whole and the longer use hold as long as another tells of them.
#[test]
fn of_two_files_the_lower_holds() {
    let ground = Ground::default();
    let (mut lender, _, now) = pair(&ground);
    let ask = Ask { life: 77, number: 1, wants: 0, holds: 0, whole: 1, hold: 40 * MS };
    lender.asked(&ground, now, 1, ask);
    assert_eq!((lender.whole(now), lender.hold(now)), (1, 40 * MS));
    let later = now + 2 * TERMS.lease;
    assert_eq!((lender.whole(later), lender.hold(later)), (2, 0));
    lender.set_whole(0, 0);
    assert_eq!(lender.usable(&ground, later), 0, "and its own at once");
}

fn books(whole: u64, hold: Micros, kind: Kind) -> (Books, BudgetId) {
    let plan = Plan { place: (0, 2), voters: vec![], terms: TERMS };
    let mut books = Books::new(&plan, 5, 0);
    let place: Arc<str> = "default".into();
    books.set(0, [Wanted { place: place.clone(), kind, whole, hold }]);
    (books, kind.id(&place))
}

/// Guards a rate: each unit comes back after its time and no sooner, given back or not, and nobody takes one in the time
/// after a start in which an earlier life may have.
#[test]
fn a_unit_of_a_rate_comes_back_with_time_alone() {
    let hold = 3_000 * MS;
    let (mut books, id) = books(4, hold, Kind::Rate);
    let quiet = TERMS.given_for(hold);
    assert!(books.take(quiet - 1, id, 0).is_err(), "an earlier life's uses may not be over");
    let first = books.take(quiet, id, 0).expect("a unit").expect("a use");
    books.take(quiet + 10, id, 0).expect("the second of its base");
    assert!(books.take(quiet + 20, id, 0).is_err());
    books.give_back(quiet + 30, first);
    assert!(books.take(quiet + hold, id, 0).is_err(), "not before its time, by any clock");
    books.take(quiet + TERMS.given_for(hold), id, 0).expect("the first again");
    assert!(books.take(quiet + TERMS.given_for(hold), id, 0).is_err(), "and the second not yet");
}

/// Guards jobs in flight: a place comes back with the answer, and with the deadline where no answer was told.
#[test]
fn a_place_in_flight_comes_back_with_the_answer() {
    let (mut books, id) = books(2, 0, Kind::InFlight);
    let now = 10 * TERMS.lease;
    let first = books.take(now, id, 300 * MS).expect("a place").expect("a use");
    assert!(books.take(now, id, 300 * MS).is_err());
    books.give_back(now + MS, first);
    books.give_back(now + MS, first);
    books.take(now + MS, id, 300 * MS).expect("it is free again, once");
    assert!(books.take(now + 2 * MS, id, 300 * MS).is_err());
    books.take(now + 302 * MS, id, 300 * MS).expect("its deadline has passed");
}

/// Guards a budget that a new file drops: what it lent stays booked until it has lapsed, also where the file comes back.
#[test]
fn a_dropped_budget_remembers_what_it_lent() {
    let (mut books, id) = books(2, 0, Kind::InFlight);
    let now = 10 * TERMS.lease;
    let ask = Ask { life: 9, number: 1, wants: 1, holds: 0, whole: 2, hold: 0 };
    let mut out = Vec::new();
    books.hear(now, (1, 9), Word::Ask(id, ask), &mut out);
    assert!(matches!(out[..], [(1, Word::Grant(_, Grant { units: 1, .. }))]), "{out:?}");
    books.set(now + MS, []);
    books.tick(now + 2 * MS, &mut out);
    books.set(now + 3 * MS, [Wanted { place: "default".into(), kind: Kind::InFlight, whole: 2, hold: 0 }]);
    assert!(books.take(now + 4 * MS, id, MS).is_err(), "its unit is lent");
    books.take(now + TERMS.lender_term(), id, MS).expect("the loan has lapsed");
}
