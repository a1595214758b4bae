use super::Figures;

#[test]
fn values_are_kept_by_figure_and_size() {
    let mut figures = Figures::default();
    figures.measured("time", "ms", 20.0, 2.0);
    figures.counted("looks", "count", 10.0, 7.0);
    figures.measured("time", "ms", 10.0, 1.0);
    figures.measured("time", "ms", 20.0, 4.0);
    let figures = figures.done();
    let names: Vec<(&str, bool)> = figures.iter().map(|f| (f.name.as_str(), f.exact)).collect();
    assert_eq!(names, [("time", false), ("looks", true)]);
    let points: Vec<(f64, &[f64])> =
        figures[0].points.iter().map(|p| (p.size, p.values.as_slice())).collect();
    assert_eq!(points, [(10.0, [1.0].as_slice()), (20.0, &[2.0, 4.0])]);
}
