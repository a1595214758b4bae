//! Runs one measurement at each size and puts what it gave into the record of a slope.

use super::record::{Figure, Point, Slope};
use super::slopes::Options;
use std::io;

/// Counts of machines, up to the fleet's in two years.
pub const MACHINE_SIZES: &[usize] = &[20, 100, 400, 1_000, 4_000, 10_000, 18_000];
/// The same for minutes.
pub const MACHINE_SIZES_SHORT: &[usize] = &[20, 100, 400, 1_000];
/// Counts of tasks that stand at one planner.
pub const TASK_SIZES: &[usize] = &[100, 1_000, 5_000, 10_000, 30_000, 60_000];
/// The same for minutes.
pub const TASK_SIZES_SHORT: &[usize] = &[100, 1_000, 5_000];

/// One value that a run gave.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The figure's name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Whether it is a count that each run gives alike.
    pub exact: bool,
    /// The value.
    pub value: f64,
}

impl Sample {
    /// A count that each run gives alike.
    pub fn count(name: &'static str, unit: &'static str, value: f64) -> Sample {
        Sample { name, unit, exact: true, value }
    }

    /// A measured time.
    pub fn time(name: &'static str, unit: &'static str, value: f64) -> Sample {
        Sample { name, unit, exact: false, value }
    }
}

/// A slope that is measured in this process.
#[derive(Clone, Copy, Debug)]
pub struct Ladder {
    /// Its name.
    pub name: &'static str,
    /// The question that it answers.
    pub question: &'static str,
    /// What grows.
    pub size: &'static str,
    /// The sizes that stand still.
    pub held: &'static [(&'static str, f64)],
    /// Which part was the real code.
    pub real: &'static str,
    /// Which part was played.
    pub hollow: &'static str,
    /// The sizes, ascending.
    pub sizes: &'static [usize],
    /// The smaller sizes for minutes.
    pub short: &'static [usize],
    /// One run at a size.
    pub run: fn(usize) -> io::Result<Vec<Sample>>,
}

impl Ladder {
    /// One figure of one run at a size.
    ///
    /// # Errors
    /// If the run fails or gives no such figure.
    pub fn value(&self, size: usize, name: &str) -> io::Result<f64> {
        let samples = (self.run)(size)?;
        let found = samples.iter().find(|sample| sample.name == name);
        found
            .map(|sample| sample.value)
            .ok_or_else(|| io::Error::other(format!("{} gives no {name}", self.name)))
    }

    /// Runs all sizes.
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
                    self.book(&mut figures, size as f64, &sample)?;
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

    fn book(&self, figures: &mut Vec<Figure>, size: f64, sample: &Sample) -> io::Result<()> {
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
                return Err(io::Error::other(format!("{slope}: {name} is {now} where it was {before:?}")));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
