//! Fits a shape of growth to a figure by weighted least squares, with 95% intervals.
//!
//! **Scale.** A run's error grows with the measured value, and sizes span three orders of magnitude. Least
//! squares on the raw values would be dominated by the largest sizes, so each residual is divided by the
//! median at its size: the fit minimises the sum of squared relative errors. A median below a thousandth of
//! the largest median is raised to that.
//!
//! **Shape.** The shape with the lowest Bayesian information criterion is chosen, but a simpler shape within
//! [`CRITERION_MARGIN`] of the lowest is preferred. (The corrected Akaike criterion is not defined for as few
//! values as a slope may have.)
//!
//! **Error.** The error pools the scatter of the repeats at each size and the scatter of the sizes about the
//! shape. Where an F test (lack of fit) finds that the sizes scatter by more than the repeats explain, the
//! scatter of the sizes alone is used; otherwise many repeats would make a badly fitting shape look certain.
//! Quantiles are Student's t for the degrees of freedom of that error.

use super::record::{Estimate, Figure, Fit, HeldOut, Point, Shape};
use nalgebra::{Cholesky, DMatrix, DVector, Dyn};
use statrs::distribution::{ContinuousCDF, FisherSnedecor, StudentsT};
use thiserror::Error;

/// The fewest sizes that can be fitted, including the one that is held out.
pub const MIN_SIZES: usize = 5;

/// A more complex shape is chosen only if its criterion is lower by more than this: the threshold of
/// "positive evidence" in Kass and Raftery (1995).
pub const CRITERION_MARGIN: f64 = 2.0;

/// The coverage probability of the intervals.
const CONFIDENCE: f64 = 0.95;

/// The significance level of the F test for lack of fit.
const LACK_OF_FIT_SIGNIFICANCE: f64 = 0.05;

/// The lower bound of the scale at a size, as a share of the largest scale.
const MIN_RELATIVE_SCALE: f64 = 1e-3;

/// Relative errors below this count as zero; rounding errors stay below it.
const EXACT_TOLERANCE: f64 = 1e-9;

/// All shapes, the simplest first.
const SHAPES: [Shape; 4] = [Shape::Constant, Shape::Linear, Shape::NLogN, Shape::Square];

/// Why a figure cannot be fitted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FitError {
    /// The figure has too few sizes.
    #[error("{figure}: {has} sizes are too few; a fit needs {MIN_SIZES}, including the held-out one")]
    TooFewSizes {
        /// The figure.
        figure: String,
        /// The number of sizes that it has.
        has: usize,
    },
    /// The sizes are negative, not finite or not in ascending order.
    #[error("{figure}: sizes must be finite, not negative, and in ascending order")]
    SizesOutOfOrder {
        /// The figure.
        figure: String,
    },
    /// A size has no values, or a value that is not finite.
    #[error("{figure}: size {size} has no values, or a value that is not finite")]
    NotFinite {
        /// The figure.
        figure: String,
        /// The size.
        size: f64,
    },
}

/// A shape fitted to a figure, which predicts the value at any size.
#[derive(Clone, Debug)]
pub struct Model {
    shape: Shape,
    /// The largest fitted size. Shapes are normalised to 1 there, which keeps the matrix well conditioned.
    unit: f64,
    coefficients: DVector<f64>,
    /// The covariance of the coefficients for a standard error of 1.
    covariance: DMatrix<f64>,
    /// The relative standard error of one run.
    error: f64,
    /// The quantile of Student's t at the bounds of an interval.
    quantile: f64,
    /// The lower bound of the scale of a prediction's error.
    min_scale: f64,
    criterion: f64,
}

impl Figure {
    /// Fits all sizes but the largest, and stores the fit with the error of its prediction for the largest.
    ///
    /// # Errors
    /// If there are too few sizes, or values that cannot be fitted; the figure is then unchanged.
    pub fn fit(&mut self) -> Result<(), FitError> {
        let model = Model::of(self)?;
        let Some(largest) = self.points.last() else { return Ok(()) };
        let predicted = model.predict(largest.size);
        let measured = largest.median();
        let off_by = relative_error(predicted.value, measured);
        let held_out = HeldOut { size: largest.size, predicted, measured, off_by };
        self.fit =
            Some(Fit { shape: model.shape, intercept: model.intercept(), slope: model.slope(), held_out });
        Ok(())
    }
}

impl Model {
    /// Fits all sizes of a figure but the largest.
    ///
    /// # Errors
    /// If there are too few sizes, or values that cannot be fitted.
    pub fn of(figure: &Figure) -> Result<Model, FitError> {
        check(figure)?;
        let fitted = &figure.points[..figure.points.len() - 1];
        let models: Vec<Model> = SHAPES.iter().filter_map(|&shape| fit_shape(shape, fitted)).collect();
        let least = models.iter().map(|model| model.criterion).fold(f64::INFINITY, f64::min);
        let simplest = models.into_iter().find(|model| model.criterion <= least + CRITERION_MARGIN);
        simplest
            .ok_or_else(|| FitError::TooFewSizes { figure: figure.name.clone(), has: figure.points.len() })
    }

    /// The chosen shape.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The predicted value of a single run at a size, with its 95% prediction interval.
    pub fn predict(&self, size: f64) -> Estimate {
        let design_row = design_row(self.shape, size, self.unit);
        let value = design_row.dot(&self.coefficients);
        let scale = value.abs().max(self.min_scale);
        let variance = self.variance(&design_row) + (self.error * scale).powi(2);
        symmetric_interval(value, self.quantile * variance.sqrt())
    }

    /// The constant term.
    pub fn intercept(&self) -> Estimate {
        self.coefficient(0, 1.0)
    }

    /// The coefficient of the shape; `None` for a constant.
    pub fn slope(&self) -> Option<Estimate> {
        (self.shape != Shape::Constant).then(|| self.coefficient(1, shape_value(self.shape, self.unit)))
    }

    fn coefficient(&self, index: usize, unit: f64) -> Estimate {
        let mut design_row = DVector::zeros(self.coefficients.len());
        design_row[index] = 1.0 / unit;
        symmetric_interval(
            design_row.dot(&self.coefficients),
            self.quantile * self.variance(&design_row).sqrt(),
        )
    }

    /// The variance of a linear combination of the coefficients.
    fn variance(&self, design_row: &DVector<f64>) -> f64 {
        let variance = (design_row.transpose() * &self.covariance * design_row)[(0, 0)];
        variance.max(0.0) * self.error.powi(2)
    }
}

/// Checks that a figure can be fitted.
fn check(figure: &Figure) -> Result<(), FitError> {
    let figure_name = || figure.name.clone();
    let sizes: Vec<f64> = figure.points.iter().map(|point| point.size).collect();
    if sizes.len() < MIN_SIZES {
        return Err(FitError::TooFewSizes { figure: figure_name(), has: sizes.len() });
    }
    let ascending = sizes.windows(2).all(|pair| pair[0] < pair[1]);
    if !ascending || sizes[0] < 0.0 || !sizes.iter().all(|size| size.is_finite()) {
        return Err(FitError::SizesOutOfOrder { figure: figure_name() });
    }
    let usable =
        |point: &Point| !point.values.is_empty() && point.values.iter().all(|value| value.is_finite());
    match figure.points.iter().find(|point| !usable(point)) {
        Some(point) => Err(FitError::NotFinite { figure: figure_name(), size: point.size }),
        None => Ok(()),
    }
}

/// Fits one shape; `None` if the sizes do not determine its coefficients.
fn fit_shape(shape: Shape, points: &[Point]) -> Option<Model> {
    let unit = points.last()?.size;
    let scales = scales(points);
    let rows: Vec<DVector<f64>> = points.iter().map(|point| design_row(shape, point.size, unit)).collect();
    let values: usize = points.iter().map(|point| point.values.len()).sum();
    let coefficients = rows[0].len();

    let mut matrix = DMatrix::zeros(values, coefficients);
    let mut target = DVector::zeros(values);
    let values_by_size =
        points.iter().enumerate().flat_map(|(at, point)| point.values.iter().map(move |value| (at, *value)));
    for (index, (at, value)) in values_by_size.enumerate() {
        matrix.set_row(index, &(rows[at].transpose() / scales[at]));
        target[index] = value / scales[at];
    }

    let normal: Cholesky<f64, Dyn> = (matrix.transpose() * &matrix).cholesky()?;
    let solution = normal.solve(&(matrix.transpose() * &target));
    let predicted: Vec<f64> = rows.iter().map(|design_row| design_row.dot(&solution)).collect();
    let errors = ResidualSums::of(points, &scales, &predicted, coefficients);
    let (error, quantile) = errors.error_and_quantile()?;
    let min_scale = scales.iter().copied().fold(f64::INFINITY, f64::min);
    let criterion = errors.criterion(coefficients);
    Some(Model {
        shape,
        unit,
        coefficients: solution,
        covariance: normal.inverse(),
        error,
        quantile,
        min_scale,
        criterion,
    })
}

/// The residuals of a fitted shape, as sums of squared relative errors.
struct ResidualSums {
    /// Scatter of the repeats about the mean at their size.
    repeats: f64,
    /// Scatter of these means about the shape.
    sizes: f64,
    /// Degrees of freedom of the repeats.
    repeats_dof: f64,
    /// Degrees of freedom of the means.
    sizes_dof: f64,
    /// The number of values.
    values: f64,
}

impl ResidualSums {
    fn of(points: &[Point], scales: &[f64], predicted: &[f64], coefficients: usize) -> ResidualSums {
        let mut errors =
            ResidualSums { repeats: 0.0, sizes: 0.0, repeats_dof: 0.0, sizes_dof: 0.0, values: 0.0 };
        for ((point, scale), predicted) in points.iter().zip(scales).zip(predicted) {
            let count = point.values.len() as f64;
            let mean = point.values.iter().sum::<f64>() / count;
            errors.repeats += point.values.iter().map(|value| ((value - mean) / scale).powi(2)).sum::<f64>();
            errors.sizes += count * ((mean - predicted) / scale).powi(2);
            errors.repeats_dof += count - 1.0;
            errors.values += count;
        }
        errors.sizes_dof = points.len() as f64 - coefficients as f64;
        errors
    }

    /// The Bayesian information criterion. Errors below [`EXACT_TOLERANCE`] are raised to it, so that
    /// rounding does not decide between shapes that all fit exactly.
    fn criterion(&self, coefficients: usize) -> f64 {
        let mean = ((self.repeats + self.sizes) / self.values).max(EXACT_TOLERANCE.powi(2));
        self.values * mean.ln() + coefficients as f64 * self.values.ln()
    }

    /// The relative standard error of one run, and the quantile of Student's t for its degrees of freedom.
    fn error_and_quantile(&self) -> Option<(f64, f64)> {
        let pooled_dof = self.repeats_dof + self.sizes_dof;
        let (sum, dof) = match self.lacks_fit() {
            true => (self.sizes, self.sizes_dof),
            false => (self.repeats + self.sizes, pooled_dof),
        };
        let error = (sum / dof).sqrt();
        let student = StudentsT::new(0.0, 1.0, dof).ok()?;
        let quantile = student.inverse_cdf((1.0 + CONFIDENCE) / 2.0);
        Some((if error < EXACT_TOLERANCE { 0.0 } else { error }, quantile))
    }

    /// Whether the sizes scatter about the shape by more than the repeats explain (F test for lack of fit).
    fn lacks_fit(&self) -> bool {
        if self.repeats_dof == 0.0 {
            return false;
        }
        let repeats = self.repeats / self.repeats_dof;
        let sizes = self.sizes / self.sizes_dof;
        if repeats < EXACT_TOLERANCE.powi(2) {
            return sizes >= EXACT_TOLERANCE.powi(2);
        }
        let f_distribution = FisherSnedecor::new(self.sizes_dof, self.repeats_dof);
        f_distribution
            .is_ok_and(|f_distribution| f_distribution.cdf(sizes / repeats) > 1.0 - LACK_OF_FIT_SIGNIFICANCE)
    }
}

/// The scale by which the residuals at each size are divided.
fn scales(points: &[Point]) -> Vec<f64> {
    let medians: Vec<f64> = points.iter().map(|point| point.median().abs()).collect();
    let largest = medians.iter().copied().fold(0.0, f64::max);
    if largest == 0.0 {
        return vec![1.0; points.len()];
    }
    medians.iter().map(|median| median.max(largest * MIN_RELATIVE_SCALE)).collect()
}

/// The row of the design matrix for a size.
fn design_row(shape: Shape, size: f64, unit: f64) -> DVector<f64> {
    match shape {
        Shape::Constant => DVector::from_element(1, 1.0),
        _ => DVector::from_vec(vec![1.0, shape_value(shape, size) / shape_value(shape, unit)]),
    }
}

/// The value of a shape at a size.
fn shape_value(shape: Shape, size: f64) -> f64 {
    match shape {
        Shape::Constant => 1.0,
        Shape::Linear => size,
        // The limit at 0, where the logarithm is not defined.
        Shape::NLogN if size == 0.0 => 0.0,
        Shape::NLogN => size * size.ln(),
        Shape::Square => size * size,
    }
}

/// The error of a prediction as a share of the measured value; 1 where that is zero and the prediction is
/// not.
fn relative_error(predicted: f64, measured: f64) -> f64 {
    match (predicted - measured).abs() {
        0.0 => 0.0,
        _ if measured == 0.0 => 1.0,
        difference => difference / measured.abs(),
    }
}

fn symmetric_interval(value: f64, half_width: f64) -> Estimate {
    Estimate { value, low: value - half_width, high: value + half_width }
}

#[cfg(test)]
mod tests;
