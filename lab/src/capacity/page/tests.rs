use super::number::{all_digits, interval, number, percent};
use super::planners::{Costs, View};
use super::reading::{Crossing, Origin, Reading, Records};
use super::*;
use crate::capacity::compare::{Compared, Comparison, Setting};
use crate::capacity::missing::{Onset, MISSING};
use crate::capacity::record::{Estimate, Figure, Point, Run};
use crate::capacity::rows::{self, Section, HOLLOW_AND_REAL};
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
        figure.fit().expect("enough sizes for a fit");
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

/// Records of a planner that at rest uses 0.0099% of a core per machine, and 8 MB of memory plus 7.9 KB per
/// machine; a request takes 0.4 ms plus 0.2 microseconds per machine.
fn planner_records() -> Records {
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

fn of(slope: &'static str, figure: &'static str, multiplier: f64) -> Reading {
    Reading { slope, figure, added_figure: None, multiplier, multiplied_by_size: false, unit: "%" }
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
        (all_digits(1_024.0), all_digits(4_194_304.0), all_digits(1.234)),
        ("1,024".into(), "4,194,304".into(), "1.23".into())
    );
    assert_eq!(interval(Estimate { value: 2.0, low: 1.0, high: 3.0 }), "2 (1 to 3)");
}

#[test]
fn the_size_that_exceeds_a_bound_is_found_from_the_fit() {
    let records = planner_records();
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    let Crossing::At { size, extrapolated } = source.crossing(1.5, 18_000.0) else {
        panic!("bound not exceeded")
    };
    assert!((size - 1.5 / 0.0099).abs() < 1e-3 && !extrapolated, "{size}");
    let Crossing::At { size, extrapolated } = source.crossing(150.0, 18_000.0) else {
        panic!("bound not exceeded")
    };
    assert!((size - 150.0 / 0.0099).abs() < 0.1 && extrapolated, "{size}");
    assert_eq!(source.crossing(0.1, 18_000.0), Crossing::AtSmallest { size: 20.0 });
    assert_eq!(source.crossing(1e9, 18_000.0), Crossing::BeyondSearch { size: 1_800_000.0 });
    let flat = of("ask-machines", "answer at 200 a second, p99", 1.0).source(&records).unwrap().unwrap();
    assert_eq!(flat.crossing(300.0, 18_000.0), Crossing::Never);
}

#[test]
fn a_size_that_was_not_run_is_an_extrapolation() {
    let records = planner_records();
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    assert_eq!(source.at(10_000.0).origin, Origin::Fitted);
    assert_eq!(source.at(10_000.0).measured, Some(99.0));
    let beyond = source.at(18_000.0);
    assert_eq!((beyond.origin, beyond.measured), (Origin::Extrapolated, None));
    assert!((beyond.estimate.value - 178.2).abs() < 1e-6);
    assert!(render(&records).unwrap().contains("178 % of a core, *extrapolated*"));
}

/// A figure that exceeds its bound in a single step: a line fitted through all sizes would place the crossing
/// far higher.
#[test]
fn a_measured_crossing_takes_precedence_over_a_later_fitted_one() {
    let step = |size: f64| if size >= 400.0 { 4.0 } else { 0.1 };
    let records = records(vec![slope("rest-machines", vec![figure("processor time at rest", "%", step)])]);
    let source = of("rest-machines", "processor time at rest", 1.0).source(&records).unwrap().unwrap();
    let fitted = source.fitted_crossing(source.model().unwrap(), 3.9, 18_000.0).size();
    assert_eq!(source.crossing(3.9, 18_000.0), Crossing::At { size: 400.0, extrapolated: false });
    assert!(fitted.is_none_or(|at| at > 400.0), "the fit alone gives {fitted:?}");
}

#[test]
fn too_few_sizes_are_shown_as_measured() {
    let mut records = planner_records();
    let figure = &mut records.slopes.get_mut("rest-machines").unwrap().figures[0];
    figure.points.truncate(3);
    figure.fit = None;
    let source = of("rest-machines", "processor time at rest", 100.0).source(&records).unwrap().unwrap();
    let value = source.at(18_000.0);
    assert_eq!((value.origin, value.size), (Origin::Measured, 400.0));
    assert!((value.estimate.value - 3.96).abs() < 1e-9);
    assert_eq!(source.crossing(1.5, 18_000.0), Crossing::At { size: 400.0, extrapolated: false });
    assert_eq!(source.crossing(5.0, 18_000.0), Crossing::NotInRuns);
}

#[test]
fn without_records_all_rows_are_not_measured() {
    let tables = render(&Records::default()).unwrap();
    assert_eq!(
        tables.matches("not measured").count(),
        rows::all().count() + HOLLOW_AND_REAL.len() + 2 + mechanisms_with_rows()
    );
}

fn mechanisms_with_rows() -> usize {
    MISSING.iter().filter(|missing| matches!(missing.onset, Onset::Rows(_))).count()
}

#[test]
fn a_record_without_the_figure_is_refused() {
    let mut records = planner_records();
    records.slopes.get_mut("ask-machines").unwrap().figures.pop();
    let refused = render(&records).unwrap_err().to_string();
    assert!(refused.contains("200 a second, p99") && refused.contains("an ask, without rest"), "{refused}");
}

#[test]
fn a_fit_that_does_not_match_its_points_is_refused() {
    let mut records = planner_records();
    records.slopes.get_mut("rest-machines").unwrap().figures[0].points[2].values = vec![0.041];
    let refused = render(&records).unwrap_err();
    assert!(matches!(refused, PageError::StaleFit { .. }), "{refused}");
}

#[test]
fn planner_counts_follow_from_the_costs_of_one_planner() {
    let records = planner_records();
    let costs = Costs::read(&records).unwrap().unwrap();
    // At 20 machines: (0.7 - 0.00198) of a second for 0.404 ms each.
    let starts = costs.starts_per_planner(20.0);
    assert!((starts - (assumed::PLANNED_CORE_SHARE - 0.00198) / 0.000_404).abs() < 1e-6, "{starts}");
    // At rest, 18,000 machines take more than one core.
    let all_machines = costs.count(View::AllMachines);
    assert_eq!((all_machines.starts, all_machines.processor, all_machines.memory), (None, None, None));
    // 151.5 machines take 1.5% of a core; with 238 planners each handles 18,000 x 2 / 238, which is fewer.
    let part = costs.count(View::PartOfMachines { replicas: 2 });
    assert_eq!(part.processor, Some(238));
    // 3,038 machines fit into 32 MB.
    assert_eq!(part.memory, Some(12));
    assert_eq!(part.bytes, Some(33));
    let planners = costs.planners().unwrap();
    assert_eq!((planners.after_zone_loss, planners.total), (238, 280));
    assert!(control::PROCESSOR_SHARE > costs_at(&records, 18_000.0 * 2.0 / 238.0));
}

fn costs_at(records: &Records, machines: f64) -> f64 {
    let source = of("rest-machines", "processor time at rest", 1.0).source(records).unwrap().unwrap();
    source.at(machines).estimate.value
}

#[test]
fn missing_mechanisms_are_listed_by_the_size_at_which_they_are_needed() {
    let tables = render(&planner_records()).unwrap();
    let at = |name: &str| tables.find(name).unwrap_or_else(|| panic!("the page lacks {name}"));
    assert!(tables.contains("**152** machines (processor time at rest)"), "{tables}");
    assert!(at("Teams' quotas") < at("A planner serves a bounded part"));
    assert!(at("A planner serves a bounded part") < at("Configuration as changes"));
}

#[test]
fn compared_programs_are_shown_with_their_medians() {
    let point = |size: f64, values: &[f64]| Point { size, values: values.to_vec() };
    let figure = Compared {
        name: "answer, p99".into(),
        unit: "ms".into(),
        before: vec![point(20.0, &[7.0, 9.0, 8.0]), point(18_000.0, &[400.0])],
        after: vec![point(20.0, &[6.0])],
    };
    let run = planner_records().slopes["ask-machines"].run.clone();
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
    let tables = render(&Records { comparison, ..planner_records() }).unwrap();
    assert!(tables.contains("| figure | 20 | 18,000 |"), "{tables}");
    assert!(tables.contains("| answer, p99, ms | 8 and 6 | 400 and not measured |"), "{tables}");
}

/// A cost per event whose rate is proportional to the machines is multiplied by the number of machines.
#[test]
fn a_cost_per_unit_of_the_size_is_multiplied_by_the_size() {
    let records = planner_records();
    let reading =
        Reading { multiplied_by_size: true, ..of("ask-machines", "answer at 200 a second, p99", 0.5) };
    let source = reading.source(&records).unwrap().unwrap();
    assert_eq!(source.at(400.0).measured, Some(1_200.0));
    assert!((source.at(400.0).estimate.value - 1_200.0).abs() < 1e-6);
    let Crossing::At { size, .. } = source.crossing(300.0, 18_000.0) else { panic!("bound not exceeded") };
    assert!((size - 100.0).abs() < 1e-6, "{size}");
}

#[test]
fn two_figures_of_the_same_runs_are_added_run_by_run() {
    let mut records = planner_records();
    let figures = &mut records.slopes.get_mut("rest-machines").unwrap().figures;
    let bytes_in = figures.iter_mut().find(|figure| figure.name == "bytes in at rest").unwrap();
    bytes_in.points[0].values = vec![80.0, 90.0];
    let reading =
        Reading { added_figure: Some("bytes out at rest"), ..of("rest-machines", "bytes in at rest", 1.0) };
    let source = reading.source(&records).unwrap().unwrap();
    // The first figure has a second run, but the other does not, so that run is left out.
    assert_eq!(source.figure.points[0].values, [200.0]);
    assert_eq!(source.at(400.0).measured, Some(4_000.0));
}

#[test]
fn hollow_figures_are_compared_with_real_ones_at_sizes_that_both_ran() {
    let mut records = planner_records();
    let half = figure("messages to machines a second", "messages/s", |n| n / 2.0);
    let mut hollow = slope("rest-hollow", vec![half]);
    hollow.figures[0].points[1].size = 200.0;
    hollow.figures[0].fit().expect("enough sizes for a fit");
    records.slopes.insert(hollow.name.clone(), hollow);
    let tables = render(&records).unwrap();
    assert!(tables.contains("| 400 machines | 200 messages/s | 400 messages/s | 2 |"), "{tables}");
    assert!(!tables.contains("| 200 machines |"), "{tables}");
}

#[test]
fn row_ids_are_unique_and_missing_mechanisms_refer_to_bounded_rows() {
    let ids: BTreeSet<&str> = rows::all().map(|row| row.id).collect();
    assert_eq!(ids.len(), rows::all().count());
    for missing in MISSING {
        let Onset::Rows(ids) = missing.onset else { continue };
        let has_bound = |id: &&str| rows::all().any(|row| row.id == *id && row.bound.is_some());
        assert!(ids.iter().all(has_bound), "{}", missing.name);
    }
    // A section whose rows are not adjacent would get a second table.
    let mut sections: Vec<Section> = rows::all().map(|row| row.section).collect();
    sections.dedup();
    assert!((1..sections.len()).all(|at| !sections[..at].contains(&sections[at])));
}

#[test]
fn a_count_that_is_far_off_needs_a_reason() {
    let mut records = planner_records();
    let figure = &mut records.slopes.get_mut("rest-machines").unwrap().figures[0];
    figure.points.last_mut().unwrap().values = vec![3.0];
    figure.fit().unwrap();
    assert_eq!(tables::unexplained(&records).unwrap(), ["rest-machines: processor time at rest"]);
    assert!(render(&records).unwrap().contains("**no reason is known yet**"));
}
