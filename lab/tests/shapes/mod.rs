//! Whether counts at small sizes keep the shape that the records under `docs/capacity` state.

use burlhook_lab::capacity::ladder::Ladder;

/// A figure's values at some sizes, ascending.
pub struct Growth {
    figure: String,
    values: Vec<(f64, f64)>,
}

/// Share. By so much a value may be above what its shape says, so that a new field does not break the build.
const TOLERANCE: f64 = 0.1;

impl Growth {
    /// Runs a ladder at these sizes.
    pub fn of(ladder: &Ladder, figure: &str, sizes: &[usize]) -> Growth {
        let value =
            |&size: &usize| (size as f64, ladder.value(size, figure).expect("the run gives the figure"));
        Growth { figure: format!("{}: {figure}", ladder.name), values: sizes.iter().map(value).collect() }
    }

    /// What is wrong where it does not stay the same from the first size on; it may fall.
    pub fn constant(&self) -> Option<String> {
        let (_, first) = self.values[0];
        let over = self.values.iter().find(|(_, value)| *value > first * (1.0 + TOLERANCE));
        over.map(|_| format!("{} is to stay as it is, and grows: {:?}", self.figure, self.values))
    }

    /// What is wrong where it grows faster than with the size: each step's part for a unit may not rise.
    pub fn linear(&self) -> Option<String> {
        let step = |pair: &[(f64, f64)]| (pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0);
        let steps: Vec<f64> = self.values.windows(2).map(step).collect();
        let rises =
            steps.windows(2).any(|pair| pair[1] > pair[0].max(0.0) * (1.0 + TOLERANCE) + f64::EPSILON);
        rises.then(|| format!("{} is to grow with the size at the most: {:?}", self.figure, self.values))
    }

    /// What is wrong where a value is above the bound at its size.
    pub fn within(&self, bound: impl Fn(f64) -> f64) -> Option<String> {
        let over = self.values.iter().find(|(size, value)| *value > bound(*size));
        over.map(|(size, value)| {
            format!("{} is {value} at {size}; {} is the most", self.figure, bound(*size))
        })
    }
}

/// Fails with all that is wrong.
pub fn assert_none(wrong: impl IntoIterator<Item = Option<String>>) {
    let wrong: Vec<String> = wrong.into_iter().flatten().collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
