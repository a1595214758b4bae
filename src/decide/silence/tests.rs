use super::*;

#[test]
fn many_silent_machines_are_waited_for() {
    let table = [
        // Failed dials, seconds of silence, machines silent now, lost.
        (2, 1.5, 1, false),
        (3, 1.8, 1, true),
        (3, 1.8, MANY_SILENT - 1, true),
        (3, 1.8, MANY_SILENT, false),
        (9, 6.4, 400, false),
        (9, 6.5, 400, true),
        (2, 9.0, 400, false),
    ];
    for (dials, quiet, silent, lost) in table {
        assert_eq!(is_lost(dials, quiet, silent), lost, "{dials} dials, {quiet} s, {silent} silent");
    }
}

/// Runs the checks of one connection to a machine that answers each dial as given, until the connection is
/// closed or replaced or its tasks are reported lost. Returns the time of that and the steps up to it. With
/// `answers_probes`, the machine answers a probe every two seconds.
fn simulate(dial: Dial, attempt_open: bool, dial_s: Seconds, answers_probes: bool) -> (Seconds, Vec<Step>) {
    let (mut watch, mut now, mut steps) = (Watch::new(0.0), 0.0, Vec::new());
    while now < 20.0 {
        now += 0.25;
        if answers_probes && now % 2.0 == 0.0 {
            watch.record_received(now, false);
        }
        let mut step = watch.check(now, true, 1.0);
        if step == Step::Dial {
            now += if dial == Dial::Silent { dial_s } else { 0.0 };
            step = watch.dialled(now, dial, attempt_open);
        }
        if step != Step::Wait {
            steps.push(step);
        }
        if matches!(step, Step::Close | Step::Swap | Step::Lost) {
            break;
        }
    }
    (now, steps)
}

/// A dial that starts just before the limit, after the longest back-off, and runs into its time-out must
/// still leave time to answer the owner within the protocol's 8 s. A silent connection is replaced or
/// closed before that, whatever the results of the dials.
#[test]
fn a_lost_task_is_told_in_time() {
    let (max_backoff, dial, check_interval): (Seconds, Seconds, Seconds) = (1.0, 0.25, 0.25);
    for attempt_open in [false, true] {
        for kind in [Dial::Up, Dial::Refused, Dial::Silent, Dial::NoResources] {
            let (mut at, steps) = simulate(kind, attempt_open, dial, false);
            assert!(at <= LOST_AFTER_S + 2.0 * check_interval, "{kind:?}: {at}");
            if steps.ends_with(&[Step::Swap]) || steps.ends_with(&[Step::Lost]) {
                continue; // Another connection is up, or the loss is reported.
            }
            // From now on every dial fails, and the back-off doubles.
            let (mut dials, mut backoff) = (if kind == Dial::Silent { MIN_FAILED_DIALS } else { 0 }, 0.05);
            while !is_lost(dials, at, usize::MAX) {
                at += dial + backoff;
                backoff = max_backoff.min(2.0 * backoff);
                dials += 1;
            }
            assert!(at <= 8.0, "{kind:?}: reported after {at} s");
        }
    }
    assert!(
        !is_lost(MIN_FAILED_DIALS, LOST_AFTER_S - 0.01, MANY_SILENT)
            && is_lost(MIN_FAILED_DIALS, LOST_AFTER_S, MANY_SILENT)
    );
}

/// A machine that drains takes no new connections, answers probes on the old one, and reports no ends of
/// tasks; its tasks must be reported lost. A machine that only just began to refuse dials after a long
/// silence must not be reported lost at once.
#[test]
fn a_drain_that_tells_of_no_end_is_not_waited_for() {
    for answers_probes in [false, true] {
        let (at, steps) = simulate(Dial::Refused, false, 0.25, answers_probes);
        assert!(
            steps.ends_with(&[Step::Lost]) && (LOST_AFTER_S..=LOST_AFTER_S + 0.25).contains(&at),
            "{at}: {steps:?}"
        );
        assert!(steps.iter().filter(|s| **s == Step::ProvokeReset).count() >= 2);
    }
    let mut watch = Watch::new(0.0);
    assert_eq!(watch.dialled(29.0, Dial::Up, true), Step::ReadNewToEnd);
    assert_eq!(watch.dialled(30.0, Dial::Refused, true), Step::ProvokeReset);
    assert_eq!(watch.check(35.0, true, 0.0), Step::Dial);
    assert_eq!(watch.check(35.5, true, 0.0), Step::Lost);
    watch.record_received(35.6, true);
    assert_eq!(watch.check(36.0, true, 0.0), Step::Wait, "it reports on a task again");
}

/// A silent connection must be replaced by the next one that comes up, so that no probe is spent on it and no
/// end of a task stays undelivered. If an attempt is open on it, which replacing it would abandon, it is
/// closed later.
#[test]
fn a_dial_that_comes_up_takes_a_mute_connections_place() {
    assert_eq!(simulate(Dial::Up, false, 0.25, false), (1.25, vec![Step::Swap]));
    let (at, steps) = simulate(Dial::Up, true, 0.25, false);
    assert_eq!((at, steps.ends_with(&[Step::ReadNewToEnd, Step::Close])), (5.75, true));
    assert_eq!(simulate(Dial::Silent, false, 0.25, false).1, vec![Step::Close]);
}

/// Planners that dial the same machine must not do so in step.
#[test]
fn dials_are_spread_by_each_planners_draw() {
    let second = |draw: f64| {
        let mut watch = Watch::new(0.0);
        let checks = (1..400).map(|n| f64::from(n) * 0.01);
        let mut dials = checks.filter(|&now| {
            let due = watch.check(now, true, draw) == Step::Dial;
            due && watch.dialled(now, Dial::Up, true) == Step::ReadNewToEnd
        });
        dials.nth(1).expect("a second dial")
    };
    assert!(second(1.0) - second(0.0) > 0.45);
}
