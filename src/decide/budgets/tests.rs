//! Tests of single rules of the division, and of the ledger from use to use. `tests/twin.rs` simulates whole
//! fleets under faults; `model` checks all orders of messages.

use super::*;
use crate::decide::fleet::{Member, Micros, SlotLeases, Terms};
use std::sync::Arc;

const MS: Micros = 1_000;
const TERMS: Terms =
    Terms { lease: 2_000 * MS, rate_error_ppm: 10_000, ask_every: 50 * MS, floor_permille: 500 };

/// A lender and a borrower of one unit each, past their grace periods, where the borrower's ask was granted.
fn pair(leases: &SlotLeases) -> (Share, Share, Micros) {
    let share = |me: Member| Share::new((me, 2), u64::from(me) + 1, (2, 0), (TERMS, 1000), 0);
    let (mut lender, mut borrower, now) = (share(0), share(1), 10 * TERMS.lease);
    borrower.set_need(5, 1, now + 100 * MS);
    let (_, ask) = borrower.tick(leases, now)[0];
    let grant = lender.on_ask(leases, now + MS, 1, ask).expect("a grant");
    borrower.on_grant(now + 2 * MS, 0, grant);
    (lender, borrower, now + 2 * MS)
}

/// A use must not go on after the loan that it relies on has ended, and a loan in use must not be given back.
#[test]
fn a_use_ends_before_the_loan_that_it_counts_on() {
    let leases = SlotLeases::default();
    let (lender, mut borrower, now) = pair(&leases);
    assert_eq!((lender.usable(&leases, now), borrower.usable(&leases, now)), (0, 2));
    assert!(borrower.admits(&leases, now, 500 * MS) && !borrower.admits(&leases, now, 2 * TERMS.lease));
    borrower.set_need(0, 2, now + 500 * MS);
    assert!(borrower.tick(&leases, now).is_empty(), "both units are in use");
    assert_eq!(borrower.usable(&leases, now), 2);
    borrower.set_need(0, 0, 0);
    let given_back = borrower.tick(&leases, now + TERMS.ask_every);
    assert!(matches!(given_back[..], [(0, Ask { wants: 0, holds: 0, .. })]), "{given_back:?}");
}

/// While uses are in flight, the loan that outlasts them must be kept, even if another one that ends sooner
/// would cover them at the moment.
#[test]
fn a_loan_in_use_is_kept_beside_one_that_lapses_sooner() {
    // Its own floor is not available yet: all that it uses is borrowed.
    let leases = SlotLeases { grace_until: Micros::MAX, slots: vec![] };
    let mut share = Share::new((2, 3), 3, (9, 0), (TERMS, 1000), 0);
    let now = 10 * TERMS.lease;
    let grant = |units, span| Grant { incarnation: 3, number: 1, units, span, total: 9, hold: 0 };
    share.set_need(3, 0, 0);
    assert_eq!(share.tick(&leases, now)[0].0, 1);
    share.on_grant(now, 1, grant(1, 900 * MS));
    let later = now + 2 * TERMS.ask_every;
    assert!(share.tick(&leases, later).iter().any(|(to, ask)| *to == 0 && ask.wants == 2));
    share.on_grant(later, 0, grant(2, TERMS.lease));
    let check_at = later + 600 * MS;
    share.set_need(0, 2, check_at + 500 * MS);
    assert_eq!(share.usable(&leases, check_at), 3);
    let asks = share.tick(&leases, check_at);
    let wants =
        |lender_index: Member| asks.iter().find(|(to, _)| *to == lender_index).map(|(_, ask)| ask.wants);
    assert_eq!((wants(0), wants(1)), (Some(2), Some(0)), "{asks:?}");
}

/// A lender must not lend units that it uses itself, even if it needs no more.
#[test]
fn what_is_in_use_is_not_lent() {
    let leases = SlotLeases::default();
    let (mut lender, mut borrower, now) = pair(&leases);
    let later = now + 2 * TERMS.lease;
    lender.set_need(0, 1, later + MS);
    let asks = borrower.tick(&leases, later);
    let granted = lender.on_ask(&leases, later, 1, asks[0].1);
    assert!(granted.is_some_and(|grant| grant.units == 0), "{granted:?}");
}

/// Neither a use nor a loan may outlast the slot that it relies on, and a slot that one of them needs must
/// not be given back. Otherwise the slot's next holder would use the same units.
#[test]
fn nothing_outlasts_the_slot_that_it_counts_on() {
    let now = 10 * TERMS.lease;
    let end = now + 1_500 * MS;
    let leases = SlotLeases { grace_until: 0, slots: vec![(0, end)] };
    let mut share = Share::new((0, 2), 1, (20, 0), (TERMS, 500), 0);
    share.set_need(0, 5, now + 100 * MS);
    assert!(
        share.admits(&leases, now, 2_000 * MS) == (share.usable(&SlotLeases::default(), now) > 5),
        "the floor is 5"
    );
    assert!(share.admits(&leases, now, 1_000 * MS), "10 units are available while the slot is held");
    assert!(share.can_spare(&leases, now, 0), "the floor covers what is in use");
    let ask = Ask { incarnation: 9, number: 1, wants: 50, holds: 0, total: 20, hold: 0 };
    let grant = share.on_ask(&leases, now, 1, ask).expect("a grant");
    assert_eq!(grant.units, 5);
    assert!(now + TERMS.lender_span(grant.span) <= end, "lent for {} us", grant.span);
    assert!(!share.can_spare(&leases, now, 0), "the loan needs the slot");
    assert_eq!(share.usable(&leases, now), 5);
    assert_eq!(share.usable(&leases, end), 5, "slot and loan expire together");
}

/// Where the planners' files differ, the lower total and the longer hold time apply for as long as another
/// planner reports them.
#[test]
fn of_two_files_the_lower_holds() {
    let leases = SlotLeases::default();
    let (mut lender, _, now) = pair(&leases);
    let ask = Ask { incarnation: 77, number: 1, wants: 0, holds: 0, total: 1, hold: 40 * MS };
    lender.on_ask(&leases, now, 1, ask);
    assert_eq!((lender.total(now), lender.hold(now)), (1, 40 * MS));
    let later = now + 2 * TERMS.lease;
    assert_eq!((lender.total(later), lender.hold(later)), (2, 0));
    lender.set_total(0, 0);
    assert_eq!(lender.usable(&leases, later), 0, "its own lower total applies at once");
}

/// Guards a raised total and a shortened hold time against two planners that keep the old figures alive for each
/// other: each must report what its own file sets, not what it has heard.
#[test]
fn planners_do_not_echo_a_figure_that_no_file_sets_any_more() {
    let leases = SlotLeases::default();
    let (mut first, mut second, raised_at) = pair(&leases);
    let (old, new) = ((2, 40 * MS), (20, 10 * MS));
    second.set_total(old.0, old.1);
    first.set_total(new.0, new.1);
    let mut now = raised_at;
    while now < raised_at + 8 * TERMS.lease {
        now += TERMS.ask_every;
        // One ask leaves before the second planner reads the new file.
        if now > raised_at + TERMS.ask_every {
            second.set_total(new.0, new.1);
        }
        first.set_need(50, 0, 0);
        second.set_need(50, 0, 0);
        for (_, ask) in second.tick(&leases, now) {
            let grant = first.on_ask(&leases, now, 1, ask);
            grant.into_iter().for_each(|grant| second.on_grant(now, 0, grant));
        }
        for (_, ask) in first.tick(&leases, now) {
            let grant = second.on_ask(&leases, now, 0, ask);
            grant.into_iter().for_each(|grant| first.on_grant(now, 1, grant));
        }
        if now > raised_at + 3 * TERMS.lease {
            assert_eq!((first.total(now), first.hold(now)), new, "{} us after the change", now - raised_at);
            assert_eq!((second.total(now), second.hold(now)), new, "{} us after the change", now - raised_at);
        }
    }
}

fn ledger(total: u64, hold: Micros, kind: Kind) -> (BudgetLedger, BudgetId) {
    let plan = Plan { place: (0, 2), voters: vec![], terms: TERMS };
    let mut ledger = BudgetLedger::new(&plan, 5, 0);
    let place: Arc<str> = "default".into();
    ledger.set(0, [BudgetSpec { place: place.clone(), kind, total, hold }]);
    (ledger, kind.id(&place))
}

/// Each unit of a rate becomes free after its hold time and no sooner, even if it is given back, and none is
/// taken in the grace period after a start, in which an earlier incarnation may have used it.
#[test]
fn a_unit_of_a_rate_comes_back_with_time_alone() {
    let hold = 3_000 * MS;
    let (mut ledger, id) = ledger(4, hold, Kind::Rate);
    let grace = TERMS.lender_span(hold);
    assert!(ledger.take(grace - 1, id, 0).is_err(), "uses of an earlier incarnation may not have ended");
    let first = ledger.take(grace, id, 0).expect("a unit").expect("a use");
    ledger.take(grace + 10, id, 0).expect("the second of its base");
    assert!(ledger.take(grace + 20, id, 0).is_err());
    ledger.give_back(grace + 30, first);
    assert!(ledger.take(grace + hold, id, 0).is_err(), "its hold time has not passed by every clock");
    ledger.take(grace + TERMS.lender_span(hold), id, 0).expect("the first unit is free again");
    assert!(ledger.take(grace + TERMS.lender_span(hold), id, 0).is_err(), "the second is not");
}

/// A unit of jobs in flight becomes free with the answer, or at the deadline if no answer was reported.
#[test]
fn a_place_in_flight_comes_back_with_the_answer() {
    let (mut ledger, id) = ledger(2, 0, Kind::InFlight);
    let now = 10 * TERMS.lease;
    let first = ledger.take(now, id, 300 * MS).expect("a unit").expect("a use");
    assert!(ledger.take(now, id, 300 * MS).is_err());
    ledger.give_back(now + MS, first);
    ledger.give_back(now + MS, first);
    ledger.take(now + MS, id, 300 * MS).expect("one unit is free again");
    assert!(ledger.take(now + 2 * MS, id, 300 * MS).is_err());
    ledger.take(now + 302 * MS, id, 300 * MS).expect("its deadline has passed");
}

/// A budget that a new file drops keeps the record of its loans until they expire, even if another file
/// restores the budget.
#[test]
fn a_dropped_budget_remembers_what_it_lent() {
    let (mut ledger, id) = ledger(2, 0, Kind::InFlight);
    let now = 10 * TERMS.lease;
    let ask = Ask { incarnation: 9, number: 1, wants: 1, holds: 0, total: 2, hold: 0 };
    let mut out = Vec::new();
    ledger.receive(now, (1, 9), PeerMessage::Ask(id, ask), &mut out);
    assert!(matches!(out[..], [(1, PeerMessage::Grant(_, Grant { units: 1, .. }))]), "{out:?}");
    ledger.set(now + MS, []);
    ledger.tick(now + 2 * MS, &mut out);
    ledger
        .set(now + 3 * MS, [BudgetSpec { place: "default".into(), kind: Kind::InFlight, total: 2, hold: 0 }]);
    assert!(ledger.take(now + 4 * MS, id, MS).is_err(), "its unit is still on loan");
    ledger.take(now + TERMS.lender_term(), id, MS).expect("the loan has ended");
}
