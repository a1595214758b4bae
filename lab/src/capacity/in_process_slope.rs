//! Slopes that are measured inside this process: runs one measurement at each size and collects the results
//! into the record of a slope.

use super::record::{Figure, Point, Slope};
use super::slopes::Options;
use std::io;

/// Numbers of machines, up to the expected size of the fleet in two years.
pub const MACHINE_SIZES: &[usize] = &[20, 100, 400, 1_000, 4_000, 10_000, 18_000];
/// Numbers of machines for the short form, which takes only minutes.
pub const MACHINE_SIZES_SHORT: &[usize] = &[20, 100, 400, 1_000];
/// Numbers of running tasks of one planner.
pub const TASK_SIZES: &[usize] = &[100, 1_000, 5_000, 10_000, 30_000, 60_000];
/// Numbers of tasks for the short form, which takes only minutes.
pub const TASK_SIZES_SHORT: &[usize] = &[100, 1_000, 5_000];

/// One value from one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The figure's name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Whether it is a deterministic count, equal in every run.
    pub exact: bool,
    /// The value.
    pub value: f64,
}

impl Sample {
    /// A deterministic count, equal in every run.
    pub fn count(name: &'static str, unit: &'static str, value: f64) -> Sample {
        Sample { name, unit, exact: true, value }
    }

    /// A measured time, which differs between runs.
    pub fn time(name: &'static str, unit: &'static str, value: f64) -> Sample {
        Sample { name, unit, exact: false, value }
    }
}

/// The definition of a slope that is measured in this process.
#[derive(Clone, Copy, Debug)]
pub struct InProcessSlope {
    /// Its name.
    pub name: &'static str,
    /// The question that the slope answers.
    pub question: &'static str,
    /// The size that grows.
    pub size: &'static str,
    /// The sizes that are constant, with their values.
    pub held: &'static [(&'static str, f64)],
    /// Which parts are the real code.
    pub real: &'static str,
    /// Which parts are simulated.
    pub hollow: &'static str,
    /// The sizes, ascending.
    pub sizes: &'static [usize],
    /// The sizes for the short form, which takes only minutes.
    pub short: &'static [usize],
    /// Performs one run at a size.
    pub run: fn(usize) -> io::Result<Vec<Sample>>,
}

impl InProcessSlope {
    /// Performs one run at a size and returns the value of one figure.
    ///
    /// # Errors
    /// If the run fails or does not measure the figure.
    pub fn value(&self, size: usize, name: &str) -> io::Result<f64> {
        let samples = (self.run)(size)?;
        let found = samples.iter().find(|sample| sample.name == name);
        found
            .map(|sample| sample.value)
            .ok_or_else(|| io::Error::other(format!("{} has no figure {name}", self.name)))
    }

    /// Performs all runs at all sizes.
    ///
    /// # Errors
    /// If a run fails, or a count differs between two runs.
    pub fn measure(&self, options: &Options) -> io::Result<Vec<Slope>> {
        let sizes = if options.short { self.short } else { self.sizes };
        let mut figures: Vec<Figure> = Vec::new();
        for &size in sizes {
            for repeat in 1..=options.repeats.max(1) {
                eprintln!("{}: {size} {}, run {repeat}", self.name, self.size);
                for sample in (self.run)(size)? {
                    self.add(&mut figures, size as f64, &sample)?;
                }
            }
        }
        Ok(vec![Slope {
            name: self.name.into(),
            question: self.question.into(),
            size: self.size.into(),
            held: self.held.iter().map(|(name, value)| (name.to_string(), *value)).collect(),
            real: self.real.into(),
            hollow: self.hollow.into(),
            run: options.run.clone(),
            figures,
        }])
    }

    fn add(&self, figures: &mut Vec<Figure>, size: f64, sample: &Sample) -> io::Result<()> {
        let at = figures.iter().position(|figure| figure.name == sample.name).unwrap_or_else(|| {
            figures.push(Figure {
                name: sample.name.into(),
                unit: sample.unit.into(),
                exact: sample.exact,
                points: Vec::new(),
                fit: None,
            });
            figures.len() - 1
        });
        let points = &mut figures[at].points;
        match points.last_mut().filter(|point| point.size == size) {
            None => points.push(Point { size, values: vec![sample.value] }),
            Some(point) if !sample.exact => point.values.push(sample.value),
            Some(point) if point.values == [sample.value] => {}
            Some(point) => {
                let (name, slope, before, now) = (sample.name, self.name, &point.values, sample.value);
                return Err(io::Error::other(format!(
                    "{slope}: {name} is {now}, but was {before:?} in an earlier run"
                )));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
