//! The results of scale tests, as they are committed: one JSON file per slope.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// The folder of the records, relative to the root of the repository.
pub const RECORDS: &str = "docs/capacity";

/// One slope: figures measured while one size grows and the others are constant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Its name; the file is `NAME.json`.
    pub name: String,
    /// The question that it answers, in one sentence.
    pub question: String,
    /// The size that grows, such as "machines".
    pub size: String,
    /// The sizes that are constant, with their values.
    pub held: BTreeMap<String, f64>,
    /// Which parts of the run were the real code in real processes.
    pub real: String,
    /// Which parts were simulated or replaced by stand-ins.
    pub hollow: String,
    /// When, with which program and on which machine it was measured.
    pub run: Run,
    /// The measured figures.
    pub figures: Vec<Figure>,
}

/// When, with which program and on which machine a slope was measured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The day, as YYYY-MM-DD.
    pub date: String,
    /// The abbreviated commit of the measured program, followed by `+` if the working tree had changes.
    pub commit: String,
    /// Processor model and number of cores.
    pub machine: String,
    /// Whether it was the short form, which uses smaller sizes.
    pub short: bool,
}

/// One figure, measured at each size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, such as "processor time at rest".
    pub name: String,
    /// Its unit, such as "share of a core", "ms", "bytes/s" or "count".
    pub unit: String,
    /// Whether it is a deterministic count, equal in every run, rather than a measured time or size.
    pub exact: bool,
    /// The measured values, by ascending size.
    pub points: Vec<Point>,
    /// The shape fitted to all sizes but the largest; `None` until [`Figure::fit`] succeeds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fit: Option<Fit>,
}

/// All runs at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// One value per run.
    pub values: Vec<f64>,
}

/// How a figure grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// It does not grow.
    Constant,
    /// Proportionally to the size.
    Linear,
    /// Proportionally to the size times its logarithm.
    NLogN,
    /// Proportionally to the square of the size.
    Square,
}

/// A fitted value with the bounds of its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

/// `intercept + slope * shape(size)`, fitted to all sizes but the largest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The shape.
    pub shape: Shape,
    /// The constant term.
    pub intercept: Estimate,
    /// The coefficient of the shape; `None` for a constant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slope: Option<Estimate>,
    /// The prediction for the largest size, which is excluded from the fit.
    pub held_out: HeldOut,
}

/// The prediction for the size that was held out of a fit, with the measurement there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// The size.
    pub size: f64,
    /// The predicted value, with its 95% prediction interval.
    pub predicted: Estimate,
    /// The median of the measured values.
    pub measured: f64,
    /// The relative error of the prediction, as a share of the measured median.
    pub off_by: f64,
}

/// Relative difference that is allowed between two computations of one fit: floating-point rounding, and the
/// conversion to and from decimals in the file.
const ROUNDING: f64 = 1e-6;

impl Fit {
    /// Whether two fits are equal apart from rounding.
    pub fn agrees(&self, other: &Fit) -> bool {
        let slopes = match (self.slope, other.slope) {
            (None, None) => true,
            (Some(slope), Some(other)) => slope.agrees(other),
            _ => false,
        };
        let (held_out, others) = (&self.held_out, &other.held_out);
        self.shape == other.shape
            && slopes
            && self.intercept.agrees(other.intercept)
            && held_out.size == others.size
            && held_out.predicted.agrees(others.predicted)
            && near(held_out.measured, others.measured, held_out.measured)
            && near(held_out.off_by, others.off_by, 1.0)
    }
}

impl Estimate {
    fn agrees(self, other: Estimate) -> bool {
        let scale = self.value.abs().max(self.high.abs()).max(self.low.abs());
        near(self.value, other.value, scale)
            && near(self.low, other.low, scale)
            && near(self.high, other.high, scale)
    }
}

/// Whether two values differ by no more than rounding, relative to `scale`.
fn near(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= ROUNDING * scale.abs()
}

impl Point {
    /// The median of its values; NaN if there are none.
    pub fn median(&self) -> f64 {
        let mut values = self.values.clone();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        match values.len() {
            0 => f64::NAN,
            count if count % 2 == 1 => values[middle],
            _ => (values[middle - 1] + values[middle]) / 2.0,
        }
    }
}

impl Slope {
    /// The path of a slope's record under the root of the repository.
    pub fn path(root: &Path, name: &str) -> PathBuf {
        root.join(RECORDS).join(format!("{name}.json"))
    }

    /// Reads a record.
    ///
    /// # Errors
    /// If the file cannot be read or is not a record.
    pub fn read(path: &Path) -> io::Result<Slope> {
        let text = std::fs::read(path)?;
        serde_json::from_slice(&text).map_err(io::Error::other)
    }

    /// Writes the record under the root of the repository.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write(&self, root: &Path) -> io::Result<()> {
        self.write_into(&root.join(RECORDS))
    }

    /// Writes the record into a folder.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write_into(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        std::fs::write(folder.join(format!("{}.json", self.name)), text + "\n")
    }

    /// Finds a figure by its name.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| figure.name == name)
    }
}
