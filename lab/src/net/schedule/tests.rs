use super::*;

/// A valid schedule is read in order of its times, and every error of an invalid one is reported.
#[test]
fn a_schedule_is_read_or_all_its_errors_are_reported() {
    let text = "{steps: [{atMs: 500, do: 'kill', planner: 1, againMs: 300}, {atMs: 0, do: 'part', groups: [[0], [1]],
        oneWay: true}, {atMs: 9, do: 'weather', loss: 0.3, delayMs: [1, 20]}]}";
    let schedule = Schedule::read(&Text::new("s", text), 2, 1).expect("a schedule");
    let times: Vec<u64> = schedule.0.iter().map(|s| s.at_ms).collect();
    assert_eq!(times, [0, 9, 500]);
    assert_eq!(schedule.0[2].what, Fault::Kill { planner: 1, again_ms: Some(300) });
    let bad = "{steps: [{atMs: 1, do: 'kil', planner: 0}, {atMs: 1, do: 'stop', planner: 7, forMs: 1}, {do: 'heal'}]}";
    let faults = Schedule::read(&Text::new("s", bad), 2, 1).expect_err("faults").lines();
    assert_eq!(faults.len(), 3, "{faults:?}");
}

/// A partition drops datagrams between groups in both directions; a one-way partition drops only those from
/// the first group.
#[test]
fn partitions_drop_datagrams() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut weather = Weather::without_faults(4);
    let mut reach = |weather: &Weather, from, to| !weather.draw_delays(&mut rng, from, to).is_empty();
    weather.apply(&Fault::Part { groups: vec![vec![0, 1], vec![2, 3]], one_way: false });
    assert!(reach(&weather, 0, 1) && !reach(&weather, 1, 2) && !reach(&weather, 2, 1));
    weather.apply(&Fault::Part { groups: vec![vec![0, 1], vec![2, 3]], one_way: true });
    assert!(!reach(&weather, 0, 2) && reach(&weather, 2, 0));
    weather.apply(&Fault::Heal);
    assert!(reach(&weather, 0, 2));
}
