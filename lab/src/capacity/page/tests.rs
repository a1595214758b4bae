use super::number::{interval, number, percent, whole};
use super::planners::{Costs, View};
use super::reading::{Breaks, Origin, Reading, Records};
use super::*;
use crate::capacity::compare::{Compared, Comparison, Setting};
use crate::capacity::missing::{Felt, MISSING};
use crate::capacity::record::{Estimate, Figure, Point, Run};
use crate::capacity::rows::{self, Place, HOLLOW_AND_REAL};
use crate::capacity::targets::{assumed, control};
use std::collections::{BTreeMap, BTreeSet};

const SIZES: [f64; 6] = [20.0, 100.0, 400.0, 1_000.0, 4_000.0, 10_000.0];

fn figure(name: &str, unit: &str, value: impl Fn(f64) -> f64) -> Figure {
    let point = |&size: &f64| Point { size, values: vec![value(size)] };
    Figure {
        name: name.into(),
        unit: unit.into(),
        exact: true,
        points: SIZES.iter().map(point).collect(),
        fit: None,
    }
}

fn slope(name: &str, mut figures: Vec<Figure>) -> Slope {
    for figure in &mut figures {
        figure.fit().expect("sizes enough");
    }
    let run = Run { date: "2026-12-02".into(), commit: "abc".into(), machine: "test".into(), short: false };
    let held = BTreeMap::new();
    let (question, size) = ("What?".into(), "machines".into());
    Slope { name: name.into(), question, size, held, real: "all".into(), hollow: "none".into(), run, figures }
}

fn records(slopes: Vec<Slope>) -> Records {
    let slopes = slopes.into_iter().map(|slope| (slope.name.clone(), slope)).collect();
    Records { slopes, comparison: None }
}

/// A planner at rest takes 0.0099% of a core for each machine, and 8 MB with 7.9 KB for each; an ask takes 0.4 ms, and 0.2
/// microseconds for each machine.
fn planner() -> Records {
    records(vec![
        slope(
            "rest-machines",
            vec![
                figure("processor time at rest", "share of a core", |n| 0.99e-4 * n),
                figure("resident memory", "KiB", |n| 1024.0 * (8.0 + 0.0079 * n)),
                figure("bytes in at rest", "bytes/s", |n| 4.0 * n),
                figure("bytes out at rest", "bytes/s", |n| 6.0 * n),
                figure("messages at rest", "messages/s", |n| n),
            ],
        ),
        slope(
            "ask-machines",
            vec![
                figure("processor time an ask, without rest", "ms", |n| 0.4 + 0.0002 * n),
                figure("answer at 200 a second, p99", "ms", |_| 6.0),
            ],
        ),
    ])
}

fn of(slope: &'static str, figure: &'static str, times: f64) -> Reading {
    Reading { slope, figure, plus: None, times, times_size: false, unit: "%" }
}

#[test]
fn numbers_have_three_digits() {
    let cases = [
        (0.0, "0"),
        (0.000_123_4, "0.000123"),
        (0.1, "0.1"),
        (1.2345, "1.23"),
        (99.95, "100"),
        (999.6, "1,000"),
        (18_000.0, "18,000"),
        (1_234_567.0, "1,230,000"),
        (-1_234.0, "-1,230"),
        (f64::NAN, "none"),
    ];
    for (value, text) in cases {
        assert_eq!(number(value), text, "{value}");
    }
    assert_eq!((percent(0.1234), percent(2e-16)), ("12.3%".into(), "0%".into()));
    assert_eq!(
        (whole(1_024.0), whole(4_194_304.0), whole(1.234)),
        ("1,024".into(), "4,194,304".into(), "1.23".into())
    );
    assert_eq!(interval(Estimate { value: 2.0, low: 1.0, high: 3.0 }), "2 (1 to 3)");
}

#[test]
fn the_size_that_breaks_a_bound_is_solved_from_the_fit() {
    let records = planner();
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    let Breaks::At { size, extrapolated } = source.breaks(1.5, 18_000.0) else { panic!("it breaks") };
    assert!((size - 1.5 / 0.0099).abs() < 1e-3 && !extrapolated, "{size}");
    let Breaks::At { size, extrapolated } = source.breaks(150.0, 18_000.0) else { panic!("it breaks") };
    assert!((size - 150.0 / 0.0099).abs() < 0.1 && extrapolated, "{size}");
    assert_eq!(source.breaks(0.1, 18_000.0), Breaks::Already { size: 20.0 });
    assert_eq!(source.breaks(1e9, 18_000.0), Breaks::Beyond { size: 1_800_000.0 });
    let flat = of("ask-machines", "answer at 200 a second, p99", 1.0).source(&records).unwrap().unwrap();
    assert_eq!(flat.breaks(300.0, 18_000.0), Breaks::Never);
}

#[test]
fn a_size_that_was_not_run_is_an_extrapolation() {
    let records = planner();
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    assert_eq!(source.at(10_000.0).origin, Origin::Fitted);
    assert_eq!(source.at(10_000.0).measured, Some(99.0));
    let beyond = source.at(18_000.0);
    assert_eq!((beyond.origin, beyond.measured), (Origin::Extrapolated, None));
    assert!((beyond.estimate.value - 178.2).abs() < 1e-6);
    assert!(render(&records).unwrap().contains("178 % of a core, *extrapolated*"));
}

/// Guards a bound that is passed in a step, which a line through all sizes would put far higher.
#[test]
fn a_size_that_was_run_past_the_bound_breaks_it_whatever_the_fit_says() {
    let step = |size: f64| if size >= 400.0 { 4.0 } else { 0.1 };
    let records = records(vec![slope("rest-machines", vec![figure("processor time at rest", "%", step)])]);
    let source = of("rest-machines", "processor time at rest", 1.0).source(&records).unwrap().unwrap();
    let fitted = source.breaks_fitted(source.model().unwrap(), 3.9, 18_000.0).size();
    assert_eq!(source.breaks(3.9, 18_000.0), Breaks::At { size: 400.0, extrapolated: false });
    assert!(fitted.is_none_or(|at| at > 400.0), "the fit alone tells {fitted:?}");
}

#[test]
fn too_few_sizes_are_shown_as_measured() {
    let mut records = planner();
    let figure = &mut records.slopes.get_mut("rest-machines").unwrap().figures[0];
    figure.points.truncate(3);
    figure.fit = None;
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    let value = source.at(18_000.0);
    assert_eq!((value.origin, value.size), (Origin::Measured, 400.0));
    assert!((value.estimate.value - 3.96).abs() < 1e-9);
    assert_eq!(source.breaks(1.5, 18_000.0), Breaks::At { size: 400.0, extrapolated: false });
    assert_eq!(source.breaks(5.0, 18_000.0), Breaks::Unknown);
}

#[test]
fn without_records_all_rows_are_not_measured() {
    let tables = render(&Records::default()).unwrap();
    assert_eq!(
        tables.matches("not measured").count(),
        rows::all().count() + HOLLOW_AND_REAL.len() + 2 + felt_by_rows()
    );
}

fn felt_by_rows() -> usize {
    MISSING.iter().filter(|missing| matches!(missing.felt, Felt::Rows(_))).count()
}

#[test]
fn a_record_without_the_figure_is_refused() {
    let mut records = planner();
    records.slopes.get_mut("ask-machines").unwrap().figures.pop();
    let refused = render(&records).unwrap_err().to_string();
    assert!(refused.contains("200 a second, p99") && refused.contains("an ask, without rest"), "{refused}");
}

#[test]
fn a_fit_that_is_not_that_of_its_points_is_refused() {
    let mut records = planner();
    records.slopes.get_mut("rest-machines").unwrap().figures[0].points[2].values = vec![0.041];
    let refused = render(&records).unwrap_err();
    assert!(matches!(refused, PageError::OtherFit { .. }), "{refused}");
}

#[test]
fn planners_follow_from_what_one_serves_and_costs() {
    let records = planner();
    let costs = Costs::read(&records).unwrap().unwrap();
    // At 20 machines: (0.7 - 0.00198) of a second for 0.404 ms each.
    let starts = costs.starts_of_one(20.0);
    assert!((starts - (assumed::BUSY_SHARE - 0.00198) / 0.000_404).abs() < 1e-6, "{starts}");
    // At rest 18,000 machines take more than the whole core.
    let whole = costs.count(View::Whole);
    assert_eq!((whole.starts, whole.processor, whole.memory), (None, None, None));
    // 151.5 machines keep 1.5% of a core: 18,000 x 2 / 238 is less.
    let part = costs.count(View::Part { replicas: 2 });
    assert_eq!(part.processor, Some(238));
    // 3,038 machines keep 32 MB.
    assert_eq!(part.memory, Some(12));
    assert_eq!(part.bytes, Some(33));
    let planners = costs.planners().unwrap();
    assert_eq!((planners.without_a_zone, planners.listed), (238, 280));
    assert!(control::PROCESSOR_SHARE > costs_at(&records, 18_000.0 * 2.0 / 238.0));
}

fn costs_at(records: &Records, machines: f64) -> f64 {
    let source = of("rest-machines", "processor time at rest", 1.0).source(records).unwrap().unwrap();
    source.at(machines).estimate.value
}

#[test]
fn what_is_missing_stands_in_the_order_in_which_it_is_felt() {
    let tables = render(&planner()).unwrap();
    let at = |name: &str| tables.find(name).unwrap_or_else(|| panic!("{name} is there"));
    assert!(tables.contains("**152** machines (processor time at rest)"), "{tables}");
    assert!(at("Teams' quotas") < at("A planner serves a bounded part"));
    assert!(at("A planner serves a bounded part") < at("Configuration as changes"));
}

#[test]
fn programs_side_by_side_are_shown_as_measured() {
    let point = |size: f64, values: &[f64]| Point { size, values: values.to_vec() };
    let figure = Compared {
        name: "answer, p99".into(),
        unit: "ms".into(),
        before: vec![point(20.0, &[7.0, 9.0, 8.0]), point(18_000.0, &[400.0])],
        after: vec![point(20.0, &[6.0])],
    };
    let run = planner().slopes["ask-machines"].run.clone();
    let commits = vec!["abc".to_string(), "def".to_string()];
    let setting = Setting { listed: 16, sockets: 40_000 };
    let comparison = Comparison {
        run,
        commits,
        setting,
        memory_mb: 512.0,
        rate: 200.0,
        spare: 0.1,
        figures: vec![figure],
    };
    let comparison = Some(comparison);
    let tables = render(&Records { comparison, ..planner() }).unwrap();
    assert!(tables.contains("| figure | 20 | 18,000 |"), "{tables}");
    assert!(tables.contains("| answer, p99, ms | 8 and 6 | 400 and not measured |"), "{tables}");
}

/// What each machine brings is as much more as there are machines.
#[test]
fn what_comes_with_each_unit_of_the_size_grows_with_it() {
    let records = planner();
    let reading = Reading { times_size: true, ..of("ask-machines", "answer at 200 a second, p99", 0.5) };
    let source = reading.source(&records).unwrap().unwrap();
    assert_eq!(source.at(400.0).measured, Some(1_200.0));
    assert!((source.at(400.0).estimate.value - 1_200.0).abs() < 1e-6);
    let Breaks::At { size, .. } = source.breaks(300.0, 18_000.0) else { panic!("it breaks") };
    assert!((size - 100.0).abs() < 1e-6, "{size}");
}

#[test]
fn two_figures_of_the_same_runs_are_added_run_by_run() {
    let mut records = planner();
    let figures = &mut records.slopes.get_mut("rest-machines").unwrap().figures;
    let bytes_in = figures.iter_mut().find(|figure| figure.name == "bytes in at rest").unwrap();
    bytes_in.points[0].values = vec![80.0, 90.0];
    let reading = Reading { plus: Some("bytes out at rest"), ..of("rest-machines", "bytes in at rest", 1.0) };
    let source = reading.source(&records).unwrap().unwrap();
    // The second run of the one has none of the other beside it.
    assert_eq!(source.figure.points[0].values, [200.0]);
    assert_eq!(source.at(400.0).measured, Some(4_000.0));
}

#[test]
fn hollow_figures_stand_beside_real_ones_at_sizes_that_both_ran() {
    let mut records = planner();
    let half = figure("messages to machines a second", "messages/s", |n| n / 2.0);
    let mut hollow = slope("rest-hollow", vec![half]);
    hollow.figures[0].points[1].size = 200.0;
    hollow.figures[0].fit().expect("sizes enough");
    records.slopes.insert(hollow.name.clone(), hollow);
    let tables = render(&records).unwrap();
    assert!(tables.contains("| 400 machines | 200 messages/s | 400 messages/s | 2 |"), "{tables}");
    assert!(!tables.contains("| 200 machines |"), "{tables}");
}

#[test]
fn rows_are_named_once_and_found() {
    let ids: BTreeSet<&str> = rows::all().map(|row| row.id).collect();
    assert_eq!(ids.len(), rows::all().count());
    for missing in MISSING {
        let Felt::Rows(ids) = missing.felt else { continue };
        let broken = |id: &&str| rows::all().any(|row| row.id == *id && row.bound.is_some());
        assert!(ids.iter().all(broken), "{}", missing.name);
    }
    // A place that came again would get a second table.
    let mut places: Vec<Place> = rows::all().map(|row| row.place).collect();
    places.dedup();
    assert!((1..places.len()).all(|at| !places[..at].contains(&places[at])));
}

#[test]
fn a_count_that_is_far_off_needs_a_reason() {
    let mut records = planner();
    let figure = &mut records.slopes.get_mut("rest-machines").unwrap().figures[0];
    figure.points.last_mut().unwrap().values = vec![3.0];
    figure.fit().unwrap();
    assert_eq!(tables::unexplained(&records).unwrap(), ["rest-machines: processor time at rest"]);
    assert!(render(&records).unwrap().contains("**no reason is known yet**"));
}
