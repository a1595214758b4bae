//! Two programs by turns in one run: at rest and under load, over hollow machines of which a tenth of the room is spare.

use super::bench::{Bench, Scene, MEMORY_MB};
use super::hollow_machine::Plan;
use super::record::{Point, Run};
use super::slopes::Options;
use crate::planner::Program;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the comparison is kept, relative to the root of the repository.
pub const COMPARISON: &str = "docs/capacity/compare.json";

const SIZES: &[usize] = &[20, 1_000, 4_000, 10_000, 18_000];
const SHORT_SIZES: &[usize] = &[20, 100, 200, 400, 800];
const RATE: f64 = 200.0;
const SPAN: Duration = Duration::from_secs(4);
/// Milliseconds of a task's life: at the least size asks take half of the room that is spare.
const LIFE_MS: u64 = 200;
/// Share of the room that is spare.
const SPARE: f64 = 0.1;

/// What planners are told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Setting {
    /// Planners that the settings tell of.
    pub listed: usize,
    /// Descriptors that the configuration allows each planner.
    pub sockets: u32,
}

/// Two programs at all sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Where and when.
    pub run: Run,
    /// The commits of the programs.
    pub commits: Vec<String>,
    /// What planners were told.
    pub setting: Setting,
    /// Megabytes that the configuration allowed.
    pub memory_mb: f64,
    /// Asks a second.
    pub rate: f64,
    /// Share of the room that was spare.
    pub spare: f64,
    /// What was measured.
    pub figures: Vec<Compared>,
}

/// A figure of both programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compared {
    /// Its name.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// Before, by machines.
    pub before: Vec<Point>,
    /// After, by machines.
    pub after: Vec<Point>,
}

impl Comparison {
    fn add(&mut self, program: usize, size: f64, values: &[(&str, &str, f64)]) {
        for (name, unit, value) in values {
            let at =
                self.figures.iter().position(|figure| figure.name == *name).unwrap_or(self.figures.len());
            if at == self.figures.len() {
                let (name, unit) = ((*name).into(), (*unit).into());
                self.figures.push(Compared { name, unit, before: Vec::new(), after: Vec::new() });
            }
            let figure = &mut self.figures[at];
            let points = if program == 0 { &mut figure.before } else { &mut figure.after };
            match points.iter_mut().find(|point| point.size == size) {
                Some(point) => point.values.push(*value),
                None => points.push(Point { size, values: vec![*value] }),
            }
        }
    }

    /// Writes the record.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let text = serde_json::to_string_pretty(self).map_err(io::Error::other)?;
        std::fs::write(path, text + "\n")
    }

    /// Prints medians and ratios.
    pub fn print(&self) {
        println!("{:<36} {:>9} {:>12} {:>12} {:>8}", "figure", "machines", "before", "after", "ratio");
        for figure in &self.figures {
            for (before, after) in figure.before.iter().zip(&figure.after) {
                let (name, (b, a)) = (&figure.name, (before.median(), after.median()));
                let ratio = if b > 0.0 { format!("{:.3}", a / b) } else { "-".into() };
                println!("{name:<36} {:>9} {b:>12.4} {a:>12.4} {ratio:>8}  {}", before.size, figure.unit);
            }
        }
    }
}

fn measure_one(
    options: &Options,
    machines: usize,
    setting: Setting,
) -> io::Result<Vec<(&'static str, &'static str, f64)>> {
    let plan = Plan { spare: SPARE, life_ms: LIFE_MS, ..Plan::default() };
    let scene = Scene { plan, listed: setting.listed, sockets: setting.sockets, ..Scene::of(machines) };
    let bench = Bench::start(options, scene)?;
    let started = bench.reach()?;
    let rest = bench.rest()?;
    let asks = bench.ask(RATE, SPAN, 1 << 32)?;
    let values = vec![
        ("from start to ready", "ms", started.ready.as_secs_f64() * 1e3),
        ("machines reached", "count", started.machines as f64),
        ("processor time at rest", "share of a core", rest.share()),
        ("resident memory", "MB", rest.resident_mb()),
        ("resident memory after asks", "MB", asks.window.resident_mb()),
        ("bytes in at rest", "bytes/s", rest.bytes_in()),
        ("bytes out at rest", "bytes/s", rest.bytes_out()),
        ("open connections", "count", rest.open() as f64),
        ("processor time an ask, all in all", "ms", asks.total_ms()),
        ("processor time an ask, without rest", "ms", asks.own_ms(rest.share())),
        ("answer, p50", "ms", asks.placed_ms(0.5)),
        ("answer, p99", "ms", asks.placed_ms(0.99)),
        ("failed or unanswered", "count", asks.failed() as f64),
        ("share placed", "share", asks.placed_share()),
    ];
    Ok(values)
}

/// Measures two programs, before and after, by turns.
///
/// # Errors
/// If a process cannot be started or is gone.
pub fn measure(
    options: &Options,
    programs: &[PathBuf; 2],
    commits: &[String],
    setting: Setting,
) -> io::Result<Comparison> {
    let mut comparison = Comparison {
        run: options.run.clone(),
        commits: commits.to_vec(),
        setting,
        memory_mb: MEMORY_MB,
        rate: RATE,
        spare: SPARE,
        figures: Vec::new(),
    };
    for (machines, runs) in options.runs(SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            for (which, path) in programs.iter().enumerate() {
                let options = Options { program: Program::at(path), ..options.clone() };
                let values = measure_one(&options, machines, setting)?;
                comparison.add(which, machines as f64, &values);
                let shown = values.iter().map(|(name, _, value)| format!("{name} {value:.3}"));
                let which = ["before", "after"][which];
                let shown: Vec<String> = shown.collect();
                eprintln!(
                    "capacity: {machines} machines, {which}, run {number} of {runs}: {}",
                    shown.join(", ")
                );
            }
        }
    }
    Ok(comparison)
}
