//! How a figure grows: a shape fitted by weighted least squares, with 95% intervals.
//!
//! **Scale.** A run's error grows with what it measures, and sizes span three orders of magnitude. Least squares on the
//! raw values would be ruled by the largest sizes alone, so each residual is divided by the median at its size: what
//! is least is the sum of squared relative errors. Medians under a thousandth of the largest count as that much.
//!
//! **Shape.** The one with the least Bayesian information criterion, but a simpler shape within [`CLEARLY_BETTER`] of
//! that is preferred. (The corrected Akaike criterion is not defined for as few values as a slope may have.)
//!
//! **Error.** What the repeats and the shape leave over together; where an F test says that the sizes scatter about the
//! shape by more than the repeats explain, the scatter of the sizes alone, so that repeats of the same runs do not
//! make a shape that fits badly look certain. Quantiles are Student's t for the degrees of freedom of that error.

use super::record::{Estimate, Figure, Fit, HeldOut, Point, Shape};
use nalgebra::{Cholesky, DMatrix, DVector, Dyn};
use statrs::distribution::{ContinuousCDF, FisherSnedecor, StudentsT};
use thiserror::Error;

/// The sizes that a fit needs, with the one that is held out.
pub const SIZES_NEEDED: usize = 5;

/// How much lower the criterion of a less simple shape must be: "positive evidence" by Kass and Raftery (1995).
pub const CLEARLY_BETTER: f64 = 2.0;

/// The probability that an interval covers.
const CONFIDENCE: f64 = 0.95;

/// The significance at which the sizes count as scattering by more than the repeats explain.
const LACK_OF_FIT: f64 = 0.05;

/// The least scale of a size, as a share of the largest size's.
const LEAST_SCALE: f64 = 1e-3;

/// The relative error under which a shape counts as exact; rounding stays below it.
const EXACT: f64 = 1e-9;

/// All shapes, the simplest first.
const SHAPES: [Shape; 4] = [Shape::Constant, Shape::Linear, Shape::NLogN, Shape::Square];

/// Why a figure cannot be fitted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FitError {
    /// There are too few sizes.
    #[error("{figure}: {has} sizes, where a fit needs {SIZES_NEEDED} with the one that is held out")]
    TooFewSizes {
        /// The figure.
        figure: String,
        /// The sizes that it has.
        has: usize,
    },
    /// The sizes are not numbers from 0 on in ascending order.
    #[error("{figure}: sizes must be 0 or more and ascend")]
    SizesOutOfOrder {
        /// The figure.
        figure: String,
    },
    /// A size has no value, or one that is not a finite number.
    #[error("{figure}: the values at size {size} are none, or not finite")]
    NotFinite {
        /// The figure.
        figure: String,
        /// The size.
        size: f64,
    },
}

/// A shape fitted to a figure, which can be asked for any size.
#[derive(Clone, Debug)]
pub struct Model {
    shape: Shape,
    /// The largest size that was fitted; the shape is 1 there, which keeps the matrix well scaled.
    unit: f64,
    coefficients: DVector<f64>,
    /// The coefficients' covariance for an error of 1.
    covariance: DMatrix<f64>,
    /// The relative standard error of one run.
    error: f64,
    /// Student's t at the bounds of an interval.
    quantile: f64,
    /// The least scale of a prediction.
    least_scale: f64,
    criterion: f64,
}

impl Figure {
    /// Fits all sizes but the largest, and notes how far off the prediction for that one is.
    ///
    /// # Errors
    /// If there are too few sizes, or values that cannot be fitted; the figure is left as it was.
    pub fn fit(&mut self) -> Result<(), FitError> {
        let model = Model::of(self)?;
        let Some(largest) = self.points.last() else { return Ok(()) };
        let predicted = model.predict(largest.size);
        let measured = largest.median();
        let off_by = share_off(predicted.value, measured);
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
        let simplest = models.into_iter().find(|model| model.criterion <= least + CLEARLY_BETTER);
        simplest
            .ok_or_else(|| FitError::TooFewSizes { figure: figure.name.clone(), has: figure.points.len() })
    }

    /// The shape that was chosen.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// What one run at a size is predicted to give, with the 95% interval of such a prediction.
    pub fn predict(&self, size: f64) -> Estimate {
        let row = row(self.shape, size, self.unit);
        let value = row.dot(&self.coefficients);
        let scale = value.abs().max(self.least_scale);
        let variance = self.variance(&row) + (self.error * scale).powi(2);
        around(value, self.quantile * variance.sqrt())
    }

    /// The part that does not grow.
    pub fn intercept(&self) -> Estimate {
        self.coefficient(0, 1.0)
    }

    /// The part for each unit of the shape; none for a constant.
    pub fn slope(&self) -> Option<Estimate> {
        (self.shape != Shape::Constant).then(|| self.coefficient(1, grown(self.shape, self.unit)))
    }

    fn coefficient(&self, index: usize, unit: f64) -> Estimate {
        let mut row = DVector::zeros(self.coefficients.len());
        row[index] = 1.0 / unit;
        around(row.dot(&self.coefficients), self.quantile * self.variance(&row).sqrt())
    }

    /// The variance of a combination of the coefficients.
    fn variance(&self, row: &DVector<f64>) -> f64 {
        let variance = (row.transpose() * &self.covariance * row)[(0, 0)];
        variance.max(0.0) * self.error.powi(2)
    }
}

/// Whether a figure can be fitted.
fn check(figure: &Figure) -> Result<(), FitError> {
    let named = || figure.name.clone();
    let sizes: Vec<f64> = figure.points.iter().map(|point| point.size).collect();
    if sizes.len() < SIZES_NEEDED {
        return Err(FitError::TooFewSizes { figure: named(), has: sizes.len() });
    }
    let ascending = sizes.windows(2).all(|pair| pair[0] < pair[1]);
    if !ascending || sizes[0] < 0.0 || !sizes.iter().all(|size| size.is_finite()) {
        return Err(FitError::SizesOutOfOrder { figure: named() });
    }
    let usable =
        |point: &Point| !point.values.is_empty() && point.values.iter().all(|value| value.is_finite());
    match figure.points.iter().find(|point| !usable(point)) {
        Some(point) => Err(FitError::NotFinite { figure: named(), size: point.size }),
        None => Ok(()),
    }
}

/// Fits one shape; none if the sizes do not tell its coefficients apart.
fn fit_shape(shape: Shape, points: &[Point]) -> Option<Model> {
    let unit = points.last()?.size;
    let scales = scales(points);
    let rows: Vec<DVector<f64>> = points.iter().map(|point| row(shape, point.size, unit)).collect();
    let values: usize = points.iter().map(|point| point.values.len()).sum();
    let coefficients = rows[0].len();

    let mut matrix = DMatrix::zeros(values, coefficients);
    let mut wanted = DVector::zeros(values);
    let each =
        points.iter().enumerate().flat_map(|(at, point)| point.values.iter().map(move |value| (at, *value)));
    for (index, (at, value)) in each.enumerate() {
        matrix.set_row(index, &(rows[at].transpose() / scales[at]));
        wanted[index] = value / scales[at];
    }

    let normal: Cholesky<f64, Dyn> = (matrix.transpose() * &matrix).cholesky()?;
    let solved = normal.solve(&(matrix.transpose() * &wanted));
    let predicted: Vec<f64> = rows.iter().map(|row| row.dot(&solved)).collect();
    let errors = Errors::of(points, &scales, &predicted, coefficients);
    let (error, quantile) = errors.error_and_quantile()?;
    let least_scale = scales.iter().copied().fold(f64::INFINITY, f64::min);
    let criterion = errors.criterion(coefficients);
    Some(Model {
        shape,
        unit,
        coefficients: solved,
        covariance: normal.inverse(),
        error,
        quantile,
        least_scale,
        criterion,
    })
}

/// What a shape leaves over, as sums of squared relative errors.
struct Errors {
    /// Of the repeats about the mean at their size.
    repeats: f64,
    /// Of these means about the shape.
    sizes: f64,
    /// Degrees of freedom of the repeats.
    repeats_free: f64,
    /// Degrees of freedom of the means.
    sizes_free: f64,
    /// The count of values.
    values: f64,
}

impl Errors {
    fn of(points: &[Point], scales: &[f64], predicted: &[f64], coefficients: usize) -> Errors {
        let mut errors = Errors { repeats: 0.0, sizes: 0.0, repeats_free: 0.0, sizes_free: 0.0, values: 0.0 };
        for ((point, scale), predicted) in points.iter().zip(scales).zip(predicted) {
            let count = point.values.len() as f64;
            let mean = point.values.iter().sum::<f64>() / count;
            errors.repeats += point.values.iter().map(|value| ((value - mean) / scale).powi(2)).sum::<f64>();
            errors.sizes += count * ((mean - predicted) / scale).powi(2);
            errors.repeats_free += count - 1.0;
            errors.values += count;
        }
        errors.sizes_free = points.len() as f64 - coefficients as f64;
        errors
    }

    /// The Bayesian information criterion; all shapes that are exact count as equally exact.
    fn criterion(&self, coefficients: usize) -> f64 {
        let mean = ((self.repeats + self.sizes) / self.values).max(EXACT.powi(2));
        self.values * mean.ln() + coefficients as f64 * self.values.ln()
    }

    /// The relative standard error of one run, and Student's t for its degrees of freedom.
    fn error_and_quantile(&self) -> Option<(f64, f64)> {
        let together_free = self.repeats_free + self.sizes_free;
        let (sum, free) = match self.sizes_scatter_more() {
            true => (self.sizes, self.sizes_free),
            false => (self.repeats + self.sizes, together_free),
        };
        let error = (sum / free).sqrt();
        let student = StudentsT::new(0.0, 1.0, free).ok()?;
        let quantile = student.inverse_cdf((1.0 + CONFIDENCE) / 2.0);
        Some((if error < EXACT { 0.0 } else { error }, quantile))
    }

    /// Whether the sizes scatter about the shape by more than the repeats explain (an F test).
    fn sizes_scatter_more(&self) -> bool {
        if self.repeats_free == 0.0 {
            return false;
        }
        let repeats = self.repeats / self.repeats_free;
        let sizes = self.sizes / self.sizes_free;
        if repeats < EXACT.powi(2) {
            return sizes >= EXACT.powi(2);
        }
        let spread = FisherSnedecor::new(self.sizes_free, self.repeats_free);
        spread.is_ok_and(|spread| spread.cdf(sizes / repeats) > 1.0 - LACK_OF_FIT)
    }
}

/// The scale of the error at each size.
fn scales(points: &[Point]) -> Vec<f64> {
    let medians: Vec<f64> = points.iter().map(|point| point.median().abs()).collect();
    let largest = medians.iter().copied().fold(0.0, f64::max);
    if largest == 0.0 {
        return vec![1.0; points.len()];
    }
    medians.iter().map(|median| median.max(largest * LEAST_SCALE)).collect()
}

/// The row of a size in the matrix.
fn row(shape: Shape, size: f64, unit: f64) -> DVector<f64> {
    match shape {
        Shape::Constant => DVector::from_element(1, 1.0),
        _ => DVector::from_vec(vec![1.0, grown(shape, size) / grown(shape, unit)]),
    }
}

/// What a shape is at a size.
fn grown(shape: Shape, size: f64) -> f64 {
    match shape {
        Shape::Constant => 1.0,
        Shape::Linear => size,
        // What it tends to at 0.
        Shape::NLogN if size == 0.0 => 0.0,
        Shape::NLogN => size * size.ln(),
        Shape::Square => size * size,
    }
}

/// How far a prediction is off, as a share of what was measured; wholly, where nothing was and something was predicted.
fn share_off(predicted: f64, measured: f64) -> f64 {
    match (predicted - measured).abs() {
        0.0 => 0.0,
        _ if measured == 0.0 => 1.0,
        difference => difference / measured.abs(),
    }
}

fn around(value: f64, half: f64) -> Estimate {
    Estimate { value, low: value - half, high: value + half }
}

#[cfg(test)]
mod tests;
