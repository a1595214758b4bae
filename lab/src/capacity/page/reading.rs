//! A figure of a record at a size, whether that size was run or not.

use super::PageError;
use crate::capacity::compare::Comparison;
use crate::capacity::fit::Model;
use crate::capacity::record::{Estimate, Figure, Point, Slope};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Times the target at which the search for the size that breaks a bound ends.
const SEARCHED: f64 = 100.0;
/// Halvings of the span in which a bound breaks: far beyond the digits that are written.
const HALVINGS: usize = 60;

/// All records.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Slopes by name.
    pub slopes: BTreeMap<String, Slope>,
    /// Two programs side by side.
    pub comparison: Option<Comparison>,
}

/// Which figure of which record, and what is made of it.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The slope's name.
    pub slope: &'static str,
    /// The figure's name.
    pub figure: &'static str,
    /// The name of a second figure of the same runs that is added to it.
    pub plus: Option<&'static str>,
    /// What the figure is multiplied by: a rate, a count, or a change of unit.
    pub times: f64,
    /// Whether it is multiplied by the size, too: what happens more often the larger the fleet is.
    pub times_size: bool,
    /// The unit of what comes out.
    pub unit: &'static str,
}

/// How a value came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The fit, at a size that was run.
    Fitted,
    /// The fit, at a size beyond the largest that was run.
    Extrapolated,
    /// The median of the runs at the nearest size: there are too few sizes for a fit.
    Measured,
}

/// A value at a size.
#[derive(Clone, Copy, Debug)]
pub struct Value {
    /// The value, with its interval.
    pub estimate: Estimate,
    /// Where it comes from.
    pub origin: Origin,
    /// The median of the runs at this very size, where there were any.
    pub measured: Option<f64>,
    /// The size that the value holds for.
    pub size: f64,
}

/// Where a figure first passes its bound on the way up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Breaks {
    /// It is past the bound at the smallest size that was run.
    Already {
        /// That size.
        size: f64,
    },
    /// It passes the bound at a size.
    At {
        /// The size.
        size: f64,
        /// Whether no such size was run.
        extrapolated: bool,
    },
    /// It does not grow up to the bound.
    Never,
    /// It passes the bound beyond the size to which the search goes.
    Beyond {
        /// That size.
        size: f64,
    },
    /// Only that size was run, and it keeps the bound there.
    Unknown,
}

/// A figure that can be read at any size.
pub struct Source<'a> {
    reading: Reading,
    /// The record.
    pub slope: &'a Slope,
    /// The figure, or the sum of the two.
    pub figure: Cow<'a, Figure>,
    model: Option<Model>,
}

impl Breaks {
    /// The size at which the bound is passed, where it is.
    pub fn size(self) -> Option<f64> {
        match self {
            Breaks::Already { size } | Breaks::At { size, .. } => Some(size),
            Breaks::Never | Breaks::Beyond { .. } | Breaks::Unknown => None,
        }
    }
}

impl Reading {
    /// What the figure is multiplied by at a size.
    fn factor(&self, size: f64) -> f64 {
        if self.times_size {
            self.times * size
        } else {
            self.times
        }
    }

    /// The figure in the records; none if the record is missing.
    ///
    /// # Errors
    /// If the record has no such figure, or one without a point.
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
        let figure = match self.plus {
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
    /// The fit, where there are sizes enough for one.
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

    /// Where the value first passes a bound, on the way up to a target: by the fit, or at the first size that was run past
    /// it, whichever is smaller. A fit smooths a step away; a run does not.
    pub fn breaks(&self, bound: f64, target: f64) -> Breaks {
        let measured = self.breaks_measured(bound);
        let Some(model) = &self.model else { return measured };
        let fitted = self.breaks_fitted(model, bound, target);
        match (fitted.size(), measured.size()) {
            (fitted_at, Some(measured_at)) if fitted_at.is_none_or(|at| measured_at < at) => measured,
            _ => fitted,
        }
    }

    pub(super) fn breaks_fitted(&self, model: &Model, bound: f64, target: f64) -> Breaks {
        let value = |size: f64| model.predict(size).value * self.reading.factor(size);
        let (smallest, most) = (self.figure.points[0].size, SEARCHED * target);
        if value(smallest) > bound {
            return Breaks::Already { size: smallest };
        }
        if value(most) <= value(smallest) {
            return Breaks::Never;
        }
        if value(most) <= bound {
            return Breaks::Beyond { size: most };
        }
        let (mut keeps, mut passes) = (smallest, most);
        for _ in 0..HALVINGS {
            let middle = (keeps + passes) / 2.0;
            if value(middle) > bound {
                passes = middle;
            } else {
                keeps = middle;
            }
        }
        Breaks::At { size: passes, extrapolated: passes > self.largest() }
    }

    fn largest(&self) -> f64 {
        self.figure.points.last().map_or(0.0, |point| point.size)
    }

    /// What was measured at the size that is nearest.
    fn nearest(&self, size: f64) -> Value {
        let with_values = self.figure.points.iter().filter(|point| !point.values.is_empty());
        let nearest = with_values.min_by(|a, b| (a.size - size).abs().total_cmp(&(b.size - size).abs()));
        let (value, size) = nearest.map_or((f64::NAN, size), |point| (point.median(), point.size));
        let value = value * self.reading.factor(size);
        let estimate = Estimate { value, low: value, high: value };
        Value { estimate, origin: Origin::Measured, measured: Some(value), size }
    }

    fn breaks_measured(&self, bound: f64) -> Breaks {
        let over = |point: &Point| point.median() * self.reading.factor(point.size) > bound;
        let first = self.figure.points.iter().position(over);
        match first {
            Some(0) => Breaks::Already { size: self.figure.points[0].size },
            Some(at) => Breaks::At { size: self.figure.points[at].size, extrapolated: false },
            None => Breaks::Unknown,
        }
    }
}

/// The sum of two figures of the same runs, run by run; a run that has only one of them is left out.
fn sum(one: &Figure, other: &Figure) -> Figure {
    let add = |point: &Point| {
        let of_other = other.points.iter().find(|other| other.size == point.size);
        let others = of_other.map_or(&[][..], |point| &point.values);
        let values = point.values.iter().zip(others).map(|(one, other)| one + other).collect();
        Point { size: point.size, values }
    };
    let points = one.points.iter().map(add).filter(|point| !point.values.is_empty()).collect();
    let mut figure = Figure { points, fit: None, ..one.clone() };
    figure.name = format!("{} + {}", one.name, other.name);
    // With too few sizes there is no fit, as for any figure.
    let _ = figure.fit();
    figure
}

fn scaled(estimate: Estimate, times: f64) -> Estimate {
    Estimate { value: estimate.value * times, low: estimate.low * times, high: estimate.high * times }
}
