//! Checks that counts at small sizes grow as the records under `docs/capacity` state.

use burlhook_lab::capacity::in_process_slope::InProcessSlope;

/// Values of a figure at ascending sizes.
pub struct Growth {
    figure: String,
    values: Vec<(f64, f64)>,
}

/// Share by which a value may exceed its expected growth, so that a new field does not fail the tests.
const TOLERANCE: f64 = 0.1;

impl Growth {
    /// Runs a slope at these sizes and collects one figure.
    pub fn of(in_process_slope: &InProcessSlope, figure: &str, sizes: &[usize]) -> Growth {
        let value = |&size: &usize| {
            (size as f64, in_process_slope.value(size, figure).expect("the run gives the figure"))
        };
        Growth {
            figure: format!("{}: {figure}", in_process_slope.name),
            values: sizes.iter().map(value).collect(),
        }
    }

    /// Describes the violation if a value exceeds that of the first size; values may fall.
    pub fn constant(&self) -> Option<String> {
        let (_, first) = self.values[0];
        let over = self.values.iter().find(|(_, value)| *value > first * (1.0 + TOLERANCE));
        over.map(|_| format!("{} must not grow with the size: {:?}", self.figure, self.values))
    }

    /// Describes the violation if the growth is faster than linear: the growth per unit of size may not rise
    /// from step to step.
    pub fn linear(&self) -> Option<String> {
        let step = |pair: &[(f64, f64)]| (pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0);
        let steps: Vec<f64> = self.values.windows(2).map(step).collect();
        let rises =
            steps.windows(2).any(|pair| pair[1] > pair[0].max(0.0) * (1.0 + TOLERANCE) + f64::EPSILON);
        rises.then(|| format!("{} must grow at most linearly with the size: {:?}", self.figure, self.values))
    }

    /// Describes the violation if a value exceeds the bound for its size.
    pub fn within(&self, bound: impl Fn(f64) -> f64) -> Option<String> {
        let over = self.values.iter().find(|(size, value)| *value > bound(*size));
        over.map(|(size, value)| {
            format!("{} is {value} at size {size}; the bound is {}", self.figure, bound(*size))
        })
    }
}

/// Fails with all violations.
pub fn assert_no_violations(violations: impl IntoIterator<Item = Option<String>>) {
    let violations: Vec<String> = violations.into_iter().flatten().collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
