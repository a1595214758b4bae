//! Fits of synthetic figures whose true shape is known.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MACHINES: [f64; 7] = [20.0, 60.0, 200.0, 600.0, 2_000.0, 6_000.0, 18_000.0];

/// A figure with `repeats` runs per size, each with a normally distributed relative error.
fn figure(repeats: usize, noise: f64, seed: u64, truth: impl Fn(f64) -> f64) -> Figure {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut run = |size: f64| truth(size) * (1.0 + noise * normal(&mut rng));
    let point = |&size: &f64| Point { size, values: (0..repeats).map(|_| run(size)).collect() };
    let points = MACHINES.iter().map(point).collect();
    Figure { name: "processor time".into(), unit: "ms".into(), exact: noise == 0.0, points, fit: None }
}

/// An approximately standard normal draw: the sum of twelve uniform draws.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    (0..12).map(|_| rng.gen_range(0.0..1.0)).sum::<f64>() - 6.0
}

fn true_curve(shape: Shape) -> impl Fn(f64) -> f64 {
    move |size| match shape {
        Shape::Constant => 7.0,
        shape => 7.0 + 0.03 * shape_value(shape, size),
    }
}

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= 1e-6 * expected.abs().max(1e-9)
}

#[test]
fn exact_figures_give_their_shape_and_coefficients_without_an_error() {
    for shape in SHAPES {
        let mut figure = figure(2, 0.0, 0, true_curve(shape));
        figure.fit().unwrap();
        let fit = figure.fit.unwrap();
        assert_eq!(fit.shape, shape);
        assert!(near(fit.intercept.value, 7.0), "{shape:?}: {:?}", fit.intercept);
        assert_eq!(fit.slope.is_some(), shape != Shape::Constant);
        assert!(fit.slope.is_none_or(|slope| near(slope.value, 0.03)), "{shape:?}: {:?}", fit.slope);
        assert!(fit.held_out.off_by < 1e-6 && fit.held_out.predicted.low.is_finite(), "{:?}", fit.held_out);
        assert_eq!(fit.held_out.size, 18_000.0);
    }
}

#[test]
fn a_figure_that_is_zero_throughout_is_a_constant() {
    let mut figure = figure(1, 0.0, 0, |_| 0.0);
    figure.fit().unwrap();
    let fit = figure.fit.unwrap();
    assert_eq!(fit.shape, Shape::Constant);
    assert_eq!(fit.held_out.off_by, 0.0);
    assert_eq!(fit.intercept, Estimate { value: 0.0, low: 0.0, high: 0.0 });
}

#[test]
fn shapes_are_found_under_noise() {
    for shape in SHAPES {
        let found = |seed| Model::of(&figure(3, 0.05, seed, true_curve(shape))).unwrap().shape() == shape;
        let right = (0..200).filter(|&seed| found(seed)).count();
        assert!(right >= 180, "{shape:?}: {right} of 200");
    }
}

#[test]
fn small_sizes_count_as_much_as_large_ones() {
    let mut figure = figure(1, 0.0, 0, |size| 100.0 + 0.5 * size);
    figure.points[4].values[0] *= 1.2;
    let model = Model::of(&figure).unwrap();
    let small = model.predict(20.0).value;
    assert!(
        (small - 110.0).abs() < 11.0,
        "an error of 20% at 2,000 machines moved the prediction at 20 machines to {small}"
    );
}

/// The share of `figures` synthetic figures for which `covers` holds of the fitted model.
fn covered(figures: u64, covers: impl Fn(&Model, u64) -> bool, repeats: usize) -> f64 {
    let truth = true_curve(Shape::Linear);
    let covered = (0..figures).filter(|&seed| {
        let model = Model::of(&figure(repeats, 0.05, seed, &truth)).unwrap();
        covers(&model, seed)
    });
    covered.count() as f64 / figures as f64
}

#[test]
fn intervals_of_coefficients_cover_nineteen_times_in_twenty() {
    let holds = |estimate: Estimate, truth: f64| estimate.low <= truth && truth <= estimate.high;
    let covers = |model: &Model, _| {
        let linear = model.shape() == Shape::Linear;
        linear && holds(model.slope().unwrap(), 0.03) && holds(model.intercept(), 7.0)
    };
    // Below 95%, since two intervals must cover at once and the wrong shape is chosen occasionally.
    for repeats in [1, 3] {
        let share = covered(1_000, covers, repeats);
        assert!((0.85..0.99).contains(&share), "{repeats} repeats: {share}");
    }
}

#[test]
fn intervals_of_a_prediction_cover_nineteen_times_in_twenty() {
    let truth = true_curve(Shape::Linear);
    let covers = |model: &Model, seed| {
        let run = figure(1, 0.05, 10_000 + seed, &truth).points[6].values[0];
        let predicted = model.predict(18_000.0);
        predicted.low <= run && run <= predicted.high
    };
    for repeats in [1, 3] {
        let share = covered(1_000, covers, repeats);
        assert!((0.91..0.99).contains(&share), "{repeats} repeats: {share}");
    }
}

#[test]
fn repeats_of_a_bad_shape_do_not_make_it_certain() {
    // No shape has a hump: many repeats with little noise must not hide that the shape fits badly.
    let hump = |size: f64| if size == 600.0 { 2.0 } else { 1.0 };
    let model = Model::of(&figure(20, 0.001, 1, hump)).unwrap();
    let predicted = model.predict(18_000.0);
    assert!(predicted.high - predicted.low > 1.0, "{predicted:?}");
}

#[test]
fn too_few_sizes_are_an_error() {
    let mut figure = figure(3, 0.05, 1, |size| size);
    figure.points.truncate(4);
    let before = figure.clone();
    assert_eq!(figure.fit(), Err(FitError::TooFewSizes { figure: "processor time".into(), has: 4 }));
    assert_eq!(figure, before);
}

#[test]
fn unusable_sizes_and_values_are_errors() {
    let mut empty = figure(1, 0.0, 0, |size| size);
    empty.points[2].values.clear();
    assert_eq!(empty.fit(), Err(FitError::NotFinite { figure: "processor time".into(), size: 200.0 }));

    let mut infinite = figure(1, 0.0, 0, |size| size);
    infinite.points[6].values[0] = f64::INFINITY;
    assert!(matches!(infinite.fit(), Err(FitError::NotFinite { size: 18_000.0, .. })));

    let mut twice = figure(1, 0.0, 0, |size| size);
    twice.points[1].size = 20.0;
    assert!(matches!(twice.fit(), Err(FitError::SizesOutOfOrder { .. })));

    let mut negative = figure(1, 0.0, 0, |size| size);
    negative.points[0].size = -1.0;
    assert!(matches!(negative.fit(), Err(FitError::SizesOutOfOrder { .. })));
}

#[test]
fn a_fit_survives_its_record() {
    let mut figure = figure(3, 0.05, 1, |size| 3.0 + size);
    figure.fit().unwrap();
    let text = serde_json::to_string(&figure).unwrap();
    let read: Figure = serde_json::from_str(&text).unwrap();
    let (before, after) = (figure.fit.unwrap(), read.fit.unwrap());
    assert_eq!(after.shape, before.shape);
    // serde_json may read the last bit of a number differently.
    let same = |after: f64, before: f64| (after - before).abs() <= 1e-15 * before.abs();
    assert!(same(after.held_out.predicted.high, before.held_out.predicted.high));
    assert!(same(after.slope.unwrap().low, before.slope.unwrap().low));
}

#[test]
fn a_prediction_is_wholly_off_where_zero_was_measured() {
    let mut figure = figure(1, 0.0, 0, |_| 5.0);
    figure.points[6].values[0] = 0.0;
    figure.fit().unwrap();
    assert_eq!(figure.fit.unwrap().held_out.off_by, 1.0);
}

#[test]
fn size_zero_can_be_fitted() {
    for shape in SHAPES {
        let mut figure = figure(1, 0.0, 0, |_| 0.0);
        figure.points[0].size = 0.0;
        let truth = true_curve(shape);
        figure.points.iter_mut().for_each(|point| point.values = vec![truth(point.size)]);
        figure.fit().unwrap();
        assert_eq!(figure.fit.unwrap().shape, shape);
    }
}
