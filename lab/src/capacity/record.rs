//! What a scale test measured, as it is committed: one JSON file a slope.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// Where records are kept, relative to the root of the repository.
pub const RECORDS: &str = "docs/capacity";

/// One slope: figures against a size that grows, while the other sizes stand still.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Its name; the file is `NAME.json`.
    pub name: String,
    /// The question that it answers, in one sentence.
    pub question: String,
    /// What grows, such as "machines".
    pub size: String,
    /// The sizes that stand still, with their values.
    pub held: BTreeMap<String, f64>,
    /// Which part of the run was the real code in a real process.
    pub real: String,
    /// Which part was simulated or a stand-in.
    pub hollow: String,
    /// Where and when it was run.
    pub run: Run,
    /// What was measured.
    pub figures: Vec<Figure>,
}

/// Where and when a slope was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Day, as YYYY-MM-DD.
    pub date: String,
    /// The commit of the program that was measured, abbreviated; with `+` where the tree had changes.
    pub commit: String,
    /// Processor model and count of cores.
    pub machine: String,
    /// Whether it was the short form, whose sizes are smaller.
    pub short: bool,
}

/// One figure, measured at each size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name, such as "processor time at rest".
    pub name: String,
    /// Its unit, such as "share of a core", "ms", "bytes/s" or "count".
    pub unit: String,
    /// Whether it is a count that each run gives alike, rather than a measured time or size.
    pub exact: bool,
    /// The measured values by size, ascending.
    pub points: Vec<Point>,
    /// The shape fitted to all sizes but the largest; none until it was fitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fit: Option<Fit>,
}

/// All runs at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// One value a run.
    pub values: Vec<f64>,
}

/// How a figure grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// It does not grow.
    Constant,
    /// With the size.
    Linear,
    /// With the size times its logarithm.
    NLogN,
    /// With the square of the size.
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
    /// The part that does not grow.
    pub intercept: Estimate,
    /// The part for each unit of the shape; none for a constant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slope: Option<Estimate>,
    /// The largest size, which the fit did not see.
    pub held_out: HeldOut,
}

/// The prediction for the size that was held out of a fit, and what was measured there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// The size.
    pub size: f64,
    /// What the fit predicts, with the 95% interval of a prediction.
    pub predicted: Estimate,
    /// The median of what was measured.
    pub measured: f64,
    /// How far the prediction was off, as a share of what was measured.
    pub off_by: f64,
}

impl Point {
    /// The median of its values; not a number if there are none.
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
    /// The file of a record under the repository's root.
    pub fn path(root: &Path, name: &str) -> PathBuf {
        root.join(RECORDS).join(format!("{name}.json"))
    }

    /// Reads a record.
    ///
    /// # Errors
    /// If the file cannot be read or is no record.
    pub fn read(path: &Path) -> io::Result<Slope> {
        let text = std::fs::read(path)?;
        serde_json::from_slice(&text).map_err(io::Error::other)
    }

    /// Writes the record under the repository's root.
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

    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| figure.name == name)
    }
}
