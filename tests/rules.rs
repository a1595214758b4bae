//! The placer's five rules, each at its boundary, and the ordinary path.

mod common;
use burlhook::*;
use common::*;

fn two() -> Vec<Entry> {
    vec![entry(0, 8.0), entry(1, 8.0)]
}

#[test]
fn binds_at_the_lowest_sum() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 2.0), entry(1, 9.0)]);
    for n in 0..5 {
        assert_eq!(binds(&rig.submit(2.0, n, task(n, 7.0))), [1], "bind {n}");
        rig.feed(2.0, Event::Noted { request: RequestId(n), attempt: 0, note: Note::Runs });
    }
}

#[test]
fn own_binds_count_until_the_view_shows_them() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &two());
    let mut count = [0u32; 2];
    for n in 0..8 {
        count[binds(&rig.submit(2.0, n, task(n, 7.0)))[0] as usize] += 1;
    }
    assert!(count[0].abs_diff(count[1]) <= 2, "{count:?}");
    // The machine list now shows that others left machine 0, at a time by which it includes all binds.
    rig.list(9.0, &[entry(0, 10.0), entry(1, 4.0)]);
    assert_eq!(binds(&rig.submit(9.1, 20, task(20, 15.0))), [0]);
}

#[test]
fn holds_then_answers_just_before_the_deadline_and_only_once() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 0.5)]);
    let first = rig.submit(2.0, 1, task(1, 7.0));
    assert!(binds(&first).is_empty() && !refused(&first));
    assert!(!refused(&rig.feed(6.9, Event::Timer)));
    assert!(refused(&rig.feed(6.995, Event::Timer)));
    rig.list(6.996, &[entry(0, 10.0)]);
    let after = rig.feed(7.2, Event::Timer);
    assert!(binds(&after).is_empty() && !refused(&after) && !failed(&after));
}

#[test]
fn a_request_that_comes_too_late_is_answered_at_once() {
    let mut rig = Rig::new(settings(Idempotency::Once), &two());
    assert!(refused(&rig.submit(2.0, 1, task(1, 2.0))));
}

#[test]
fn a_refusal_as_full_is_followed_by_a_pause() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &two());
    let first = binds(&rig.submit(2.0, 1, task(1, 7.0)))[0];
    let after = rig.end(2.02, 1, 0, Outcome::Full, Reason::NoCores);
    assert!(binds(&after).is_empty());
    let wake = after.iter().find_map(|a| if let Action::SetTimer { at } = a { Some(*at) } else { None });
    let wake = wake.expect("a timer for the end of the back-off");
    assert!(wake > 2.02);
    let again = binds(&rig.feed(2.2, Event::Timer));
    assert_eq!(again, [1 - first], "the machine that refused counts as full for tasks of that size");
}

/// Guards against a request that fails on every machine: each machine in turn would be barred because of it,
/// and ordinary requests would find no machine.
#[test]
fn a_request_that_fails_on_every_machine_bars_none() {
    let fleet = [entry(0, 10.0), entry(1, 5.0), entry(2, 4.0), entry(3, 1.0)];
    for errors in [1, 2, 4] {
        let mut rig = Rig::new(settings(Idempotency::Repeatable), &fleet);
        assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [0]);
        for attempt in 0..errors {
            rig.end(2.05, 1, attempt, Outcome::Error, Reason::Unknown);
        }
        rig.feed(2.06, Event::Withdrawn { request: RequestId(1) });
        let barred = errors < 4;
        let next = binds(&rig.submit(2.1, 2, task(2, 7.0)));
        assert_eq!(next == [0], !barred, "after {errors} errors: {next:?}");
    }
}

#[test]
fn once_is_only_failed_after_it_might_have_run() {
    let mut rig = Rig::new(settings(Idempotency::Once), &two());
    rig.submit(2.0, 1, task(1, 7.0));
    let after = rig.end(3.0, 1, 0, Outcome::TimedOut, Reason::Unknown);
    assert!(failed(&after) && binds(&after).is_empty() && !refused(&after));
}

#[test]
fn once_goes_on_after_proof_that_it_never_ran() {
    let mut rig = Rig::new(settings(Idempotency::Once), &two());
    let first = binds(&rig.submit(2.0, 1, task(1, 7.0)))[0];
    let after = rig.end(2.3, 1, 0, Outcome::ConnectFailed, Reason::Unknown);
    assert_eq!(binds(&after), [1 - first]);
}

#[test]
fn a_keyed_task_stays_in_its_cell_and_window() {
    let keyed = Idempotency::Keyed { group: Place::Cell, window_s: 4.0 };
    let fleet = [entry(0, 8.0), entry(1, 8.0), entry(2, 10.0)];
    let mut rig = Rig::new(settings(keyed), &fleet);
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 9.0))), [2]);
    let after = rig.end(3.0, 1, 0, Outcome::TimedOut, Reason::Unknown);
    assert!(failed(&after) && binds(&after).is_empty(), "its cell has no other machine");
    rig.list(3.1, &[entry(2, 0.0)]);
    let first = binds(&rig.submit(3.2, 2, task(2, 9.0)))[0];
    assert_eq!(binds(&rig.end(4.0, 2, 0, Outcome::TimedOut, Reason::Unknown)), [1 - first]);
    let late = rig.end(7.0, 2, 1, Outcome::ConnectFailed, Reason::Unknown);
    assert!(failed(&late) && binds(&late).is_empty(), "the window is almost over");
}

#[test]
fn a_draining_or_gone_machine_gets_nothing() {
    for standing in [Standing::Draining, Standing::Gone] {
        let mut rig = Rig::new(settings(Idempotency::Repeatable), &two());
        rig.list(1.5, &[Entry { standing, ..entry(0, 10.0) }]);
        for n in 0..6 {
            assert!(!binds(&rig.submit(2.0, n, task(n, 7.0))).contains(&0));
        }
    }
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &two());
    rig.feed(1.5, Event::List { kind: ListKind::Whole, entries: vec![entry(1, 5.0)] });
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [1]);
}

#[test]
fn a_cold_machine_gets_its_part_of_the_budget() {
    let mut wanted = settings(Idempotency::Repeatable);
    (wanted.cold_offer_limit, wanted.placers) = (5.0, 2);
    let mut rig = Rig::new(wanted, &[Entry { started: 1.0, ..entry(0, 10.0) }]);
    let mut sent = 0;
    for n in 0..20 {
        let now = 5.0 + n as f64 * 0.1;
        sent += binds(&rig.submit(now, n, task(n, now + 5.0))).len();
        let note = Event::Noted { request: RequestId(n), attempt: 0, note: Note::Runs };
        sent += binds(&rig.feed(now + 0.05, note)).len();
    }
    assert_eq!(sent, 2, "half of the budget of five, less the reserve");
    // After one window the budget allows more.
    assert!(!binds(&rig.feed(9.0, Event::Timer)).is_empty());
}

#[test]
fn spread_counts_attempts_and_residents() {
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.classes[0].spread = Some((Place::Cell, 2));
    let mut rig = Rig::new(wanted, &two());
    let resident = Event::Resident { request: RequestId(1), task: task(9, 50.0), machine: MachineId(0) };
    rig.feed(1.5, resident);
    assert_eq!(binds(&rig.submit(2.0, 2, task(9, 7.0))).len(), 1);
    assert!(binds(&rig.submit(2.0, 3, task(9, 7.0))).is_empty(), "the cell already has two");
    let after = rig.end(2.5, 1, 0, Outcome::Ok, Reason::Unknown);
    assert_eq!(binds(&after).len(), 1, "a task that ends makes room");
}

#[test]
fn attempts_stay_within_the_maximum() {
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.max_attempts = 2;
    let mut rig = Rig::new(wanted, &[entry(0, 8.0), entry(1, 8.0), entry(2, 8.0)]);
    rig.submit(2.0, 1, task(1, 7.0));
    rig.end(2.3, 1, 0, Outcome::ConnectFailed, Reason::Unknown);
    assert!(refused(&rig.end(2.6, 1, 1, Outcome::ConnectFailed, Reason::Unknown)));
}

#[test]
fn a_failed_call_for_the_list_is_repeated_in_time() {
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.ask_for_list = true;
    let mut rig = Rig { placer: Placer::new(wanted, 7).expect("settings that can be served") };
    let first = rig.feed(1.0, Event::List { kind: ListKind::Persisted, entries: two() });
    assert!(first.contains(&Action::Subscribe));
    let mut now = 1.0;
    for _ in 0..6 {
        let failed_at = now;
        rig.feed(now, Event::List { kind: ListKind::Failed, entries: vec![] });
        while !rig.feed(now, Event::Timer).contains(&Action::Subscribe) {
            now += 0.05;
            assert!(now < failed_at + 5.0, "subscribes again within five seconds");
        }
    }
}

#[test]
fn settings_that_cannot_be_served_are_refused() {
    let no_classes = Settings { classes: vec![], ..settings(Idempotency::Once) };
    assert!(Placer::new(no_classes, 1).is_err());
    let no_size = Settings {
        kinds: vec![Kind { size: Room { cores: -1.0, memory: 1.0 } }],
        ..settings(Idempotency::Once)
    };
    assert!(Placer::new(no_size, 1).is_err());
}

#[test]
fn odd_but_legal_events_change_nothing() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &two());
    let nobody = RequestId(99);
    rig.feed(1.1, Event::Withdrawn { request: nobody });
    rig.feed(1.1, Event::Bound { request: nobody, attempt: 3, took_s: 0.1 });
    rig.end(1.1, 99, 5, Outcome::Ok, Reason::Unknown);
    rig.feed(1.2, Event::Probed { machine: MachineId(77), outcome: Outcome::Ok, report: None });
    rig.list(1.3, &[]);
    rig.list(1.3, &[Entry { kind: None, ..entry(5, 100.0) }]);
    let wanted = rig.submit(2.0, 1, task(1, 7.0));
    assert_eq!(binds(&wanted).len(), 1);
    assert_ne!(binds(&wanted), [5], "a machine of unknown kind has no known size");
    rig.feed(2.1, Event::Bound { request: RequestId(1), attempt: 0, took_s: 0.1 });
    rig.end(3.0, 1, 0, Outcome::Ok, Reason::Unknown);
    assert!(rig
        .end(3.1, 1, 0, Outcome::Ok, Reason::Unknown)
        .iter()
        .all(|a| matches!(a, Action::SetTimer { .. } | Action::Probe { .. })));
}

#[test]
fn a_machine_that_sends_its_tasks_away_is_passed_over_before_the_list_says_so() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 9.0), entry(1, 3.0)]);
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [0]);
    rig.feed(2.1, Event::Bound { request: RequestId(1), attempt: 0, took_s: 0.1 });
    rig.end(2.2, 1, 0, Outcome::Lost, Reason::SentAway);
    assert_eq!(binds(&rig.submit(2.4, 2, task(2, 7.0))), [1]);
    assert_eq!(
        binds(&rig.submit(12.5, 3, task(3, 17.0))),
        [0],
        "the bar lasts only as long as a few own tasks"
    );
}

#[test]
fn own_tasks_count_though_the_list_does_not_show_them() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 10.0)]);
    for n in 0..9 {
        let resident = Event::Resident { request: RequestId(n), task: task(n, 50.0), machine: MachineId(0) };
        rig.feed(1.5, resident);
    }
    assert_eq!(binds(&rig.submit(2.0, 20, task(20, 7.0))), [0]);
    assert!(binds(&rig.submit(2.0, 21, task(21, 7.0))).is_empty(), "all ten cores are in use");
}

#[test]
fn a_machine_that_keeps_the_program_is_favoured() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 8.0), entry(1, 9.0)]);
    let resident = Event::Resident { request: RequestId(1), task: task(9, 50.0), machine: MachineId(0) };
    rig.feed(1.5, resident);
    assert_eq!(binds(&rig.submit(2.0, 2, task(9, 7.0))), [0]);
    assert_eq!(binds(&rig.submit(2.0, 3, task(8, 7.0))), [1]);
}

#[test]
fn a_machine_that_fails_one_class_is_passed_over_for_that_class_alone() {
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.classes.push(wanted.classes[0].clone());
    let mut rig = Rig::new(wanted, &[entry(0, 9.0), entry(1, 3.0)]);
    let mut now = 2.0;
    let mut tried = 0;
    for n in 0..40 {
        if binds(&rig.submit(now, n, task(n, now + 5.0))) == [0] {
            tried += 1;
            rig.end(now + 0.1, n, 0, Outcome::Full, Reason::Unknown);
            rig.feed(now + 0.2, Event::Withdrawn { request: RequestId(n) });
        } else {
            rig.feed(now + 0.1, Event::Bound { request: RequestId(n), attempt: 0, took_s: 0.1 });
            rig.end(now + 0.2, n, 0, Outcome::Ok, Reason::Unknown);
        }
        now += 0.25;
    }
    assert!((2..=6).contains(&tried), "retried occasionally: {tried} times in forty tasks");
    let other = Task { class: 1, ..task(99, now + 5.0) };
    assert_eq!(binds(&rig.submit(now, 99, other)), [0]);
}

#[test]
fn a_machine_that_answers_probes_but_no_offers_is_tried_by_one_task_at_a_time() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 9.0), entry(1, 3.0)]);
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [0]);
    rig.end(3.0, 1, 0, Outcome::TimedOut, Reason::Unknown);
    let answer = || Event::Probed { machine: MachineId(0), outcome: Outcome::Ok, report: None };
    rig.feed(3.1, answer());
    assert_eq!(
        binds(&rig.submit(3.2, 2, task(2, 8.0))),
        [1],
        "the machine stays barred in spite of the answered probe"
    );
    rig.feed(12.5, answer());
    assert_eq!(binds(&rig.submit(12.6, 3, task(3, 17.0))), [0], "one task tests the machine");
    assert_eq!(binds(&rig.submit(12.6, 4, task(4, 17.0))), [1]);
}
