//! Evaluates a figure of a record at any size, whether or not that size was run.

use super::PageError;
use crate::capacity::compare::Comparison;
use crate::capacity::fit::Model;
use crate::capacity::record::{Estimate, Figure, Point, Slope};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The search for the size at which a bound is exceeded ends at this multiple of the target size.
const SEARCH_LIMIT: f64 = 100.0;
/// Steps of the bisection that locates this size: far more precise than the digits shown.
const BISECTIONS: usize = 60;

/// All records.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Slopes by name.
    pub slopes: BTreeMap<String, Slope>,
    /// The comparison of two versions of the program.
    pub comparison: Option<Comparison>,
}

/// Selects a figure of a record and the conversion applied to it.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The slope's name.
    pub slope: &'static str,
    /// The figure's name.
    pub figure: &'static str,
    /// The name of a second figure of the same runs, which is added to the first.
    pub added_figure: Option<&'static str>,
    /// The factor by which the figure is multiplied: a rate, a count, or a conversion of units.
    pub multiplier: f64,
    /// Whether the figure is also multiplied by the size, for events whose rate is proportional to the size.
    pub multiplied_by_size: bool,
    /// The unit of the result.
    pub unit: &'static str,
}

/// How a value was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the fit, at a size up to the largest that was run.
    Fitted,
    /// From the fit, at a size beyond the largest that was run.
    Extrapolated,
    /// The median of the runs at the nearest size, because there are too few sizes for a fit.
    Measured,
}

/// A value at a size.
#[derive(Clone, Copy, Debug)]
pub struct Value {
    /// The value, with its interval.
    pub estimate: Estimate,
    /// How it was obtained.
    pub origin: Origin,
    /// The median of the runs at exactly this size, if there are any.
    pub measured: Option<f64>,
    /// The size to which the value applies.
    pub size: f64,
}

/// The smallest size at which a figure exceeds its bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Crossing {
    /// The bound is already exceeded at the smallest size that was run.
    AtSmallest {
        /// That size.
        size: f64,
    },
    /// The bound is first exceeded at this size.
    At {
        /// The size.
        size: f64,
        /// Whether this size is beyond the largest that was run.
        extrapolated: bool,
    },
    /// The figure does not grow, so it never exceeds the bound.
    Never,
    /// The bound is not exceeded up to the size at which the search ends.
    BeyondSearch {
        /// That size.
        size: f64,
    },
    /// There is no fit, and no size that was run exceeds the bound.
    NotInRuns,
}

/// A figure that can be evaluated at any size.
pub struct Source<'a> {
    reading: Reading,
    /// The record.
    pub slope: &'a Slope,
    /// The figure, or the sum of two figures.
    pub figure: Cow<'a, Figure>,
    model: Option<Model>,
}

impl Crossing {
    /// The size at which the bound is exceeded, if it is.
    pub fn size(self) -> Option<f64> {
        match self {
            Crossing::AtSmallest { size } | Crossing::At { size, .. } => Some(size),
            Crossing::Never | Crossing::BeyondSearch { .. } | Crossing::NotInRuns => None,
        }
    }
}

impl Reading {
    /// The factor by which the figure is multiplied at a size.
    fn factor(&self, size: f64) -> f64 {
        if self.multiplied_by_size {
            self.multiplier * size
        } else {
            self.multiplier
        }
    }

    /// Looks the figure up in the records; `None` if the record is missing.
    ///
    /// # Errors
    /// If the record does not contain the figure, or the figure has no values.
    pub fn source<'a>(&self, records: &'a Records) -> Result<Option<Source<'a>>, PageError> {
        let Some(slope) = records.slopes.get(self.slope) else { return Ok(None) };
        let named = |name: &str| {
            let unknown = || PageError::UnknownFigure {
                slope: self.slope.into(),
                figure: name.into(),
                known: slope.figures.iter().map(|figure| figure.name.clone()).collect::<Vec<_>>().join(", "),
            };
            slope.figure(name).ok_or_else(unknown)
        };
        let figure = match self.added_figure {
            None => Cow::Borrowed(named(self.figure)?),
            Some(other) => Cow::Owned(sum(named(self.figure)?, named(other)?)),
        };
        if figure.points.iter().all(|point| point.values.is_empty()) {
            return Err(PageError::NoPoints { slope: self.slope.into(), figure: self.figure.into() });
        }
        let model = Model::of(&figure).ok();
        Ok(Some(Source { reading: *self, slope, figure, model }))
    }
}

impl Source<'_> {
    /// The fit, if there are enough sizes for one.
    pub fn model(&self) -> Option<&Model> {
        self.model.as_ref()
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> Value {
        let measured = self.figure.points.iter().find(|point| point.size == size).map(|point| point.median());
        let factor = self.reading.factor(size);
        let measured = measured.map(|value| value * factor);
        let Some(model) = &self.model else { return self.nearest(size) };
        let estimate = scaled(model.predict(size), factor);
        let origin = if size > self.largest() { Origin::Extrapolated } else { Origin::Fitted };
        Value { estimate, origin, measured, size }
    }

    /// The smallest size at which the value exceeds a bound: by the fit, or by the runs, whichever is
    /// smaller. A fit smooths out a step in the figure, but the runs show it.
    pub fn crossing(&self, bound: f64, target: f64) -> Crossing {
        let measured = self.measured_crossing(bound);
        let Some(model) = &self.model else { return measured };
        let fitted = self.fitted_crossing(model, bound, target);
        match (fitted.size(), measured.size()) {
            (fitted_at, Some(measured_at)) if fitted_at.is_none_or(|at| measured_at < at) => measured,
            _ => fitted,
        }
    }

    pub(super) fn fitted_crossing(&self, model: &Model, bound: f64, target: f64) -> Crossing {
        let value = |size: f64| model.predict(size).value * self.reading.factor(size);
        let (smallest, search_end) = (self.figure.points[0].size, SEARCH_LIMIT * target);
        if value(smallest) > bound {
            return Crossing::AtSmallest { size: smallest };
        }
        if value(search_end) <= value(smallest) {
            return Crossing::Never;
        }
        if value(search_end) <= bound {
            return Crossing::BeyondSearch { size: search_end };
        }
        let (mut within, mut beyond) = (smallest, search_end);
        for _ in 0..BISECTIONS {
            let middle = (within + beyond) / 2.0;
            if value(middle) > bound {
                beyond = middle;
            } else {
                within = middle;
            }
        }
        Crossing::At { size: beyond, extrapolated: beyond > self.largest() }
    }

    fn largest(&self) -> f64 {
        self.figure.points.last().map_or(0.0, |point| point.size)
    }

    /// The measured value at the nearest size that was run.
    fn nearest(&self, size: f64) -> Value {
        let with_values = self.figure.points.iter().filter(|point| !point.values.is_empty());
        let nearest = with_values.min_by(|a, b| (a.size - size).abs().total_cmp(&(b.size - size).abs()));
        let (value, size) = nearest.map_or((f64::NAN, size), |point| (point.median(), point.size));
        let value = value * self.reading.factor(size);
        let estimate = Estimate { value, low: value, high: value };
        Value { estimate, origin: Origin::Measured, measured: Some(value), size }
    }

    fn measured_crossing(&self, bound: f64) -> Crossing {
        let over = |point: &Point| point.median() * self.reading.factor(point.size) > bound;
        let first = self.figure.points.iter().position(over);
        match first {
            Some(0) => Crossing::AtSmallest { size: self.figure.points[0].size },
            Some(at) => Crossing::At { size: self.figure.points[at].size, extrapolated: false },
            None => Crossing::NotInRuns,
        }
    }
}

/// The sum of two figures of the same runs, run by run; a run that lacks one of them is left out.
fn sum(one: &Figure, other: &Figure) -> Figure {
    let add = |point: &Point| {
        let matching = other.points.iter().find(|other| other.size == point.size);
        let other_values = matching.map_or(&[][..], |point| &point.values);
        let values = point.values.iter().zip(other_values).map(|(one, other)| one + other).collect();
        Point { size: point.size, values }
    };
    let points = one.points.iter().map(add).filter(|point| !point.values.is_empty()).collect();
    let mut figure = Figure { points, fit: None, ..one.clone() };
    figure.name = format!("{} + {}", one.name, other.name);
    // With too few sizes the sum has no fit, like any other figure.
    let _ = figure.fit();
    figure
}

fn scaled(estimate: Estimate, multiplier: f64) -> Estimate {
    Estimate {
        value: estimate.value * multiplier,
        low: estimate.low * multiplier,
        high: estimate.high * multiplier,
    }
}
