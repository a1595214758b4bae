use super::*;

/// All accepted requests must be answered, and the planner must exit, before the SIGKILL that may follow its
/// SIGTERM.
#[test]
fn all_is_answered_and_over_before_the_earliest_kill() {
    for longest in [0.0, 0.1, 1.0, 2.9, 3.0, 6.5, f64::INFINITY] {
        let earliest_kill = longest.min(3.0) + 0.7;
        let times = Timeline::new(longest);
        assert!(times.answers_by_s() < earliest_kill - 0.2, "longest {longest}");
        assert_eq!(times.step(earliest_kill - 0.09, 0.0), Step::End, "longest {longest}");
        assert_eq!(times.step(times.answers_by_s(), 0.0), Step::EndIfQuiet, "longest {longest}");
        assert!(!times.takes_connections(times.answers_by_s()), "longest {longest}");
    }
}

/// An idle planner must stay available to clients that have not noticed the shutdown.
#[test]
fn a_quiet_planner_stays_as_long_as_clients_may_come() {
    let times = Timeline::new(2.0);
    assert!(times.takes_connections(0.8));
    assert_eq!(times.step(0.89, 0.89), Step::Wait);
    assert_eq!(times.step(0.91, 0.1), Step::Wait);
    assert_eq!(times.step(0.91, 0.2), Step::EndIfQuiet);
    let mut hastened = times;
    hastened.hasten(0.3);
    assert_eq!((hastened.answers_by_s(), hastened.step(0.3, 0.0)), (0.3, Step::EndIfQuiet));
}
