//! Compares two versions of the program, measured alternately in one run: at rest and under load, with hollow
//! machines that have a tenth of their capacity free.

use super::bench::{Bench, BenchSetup, MEMORY_MB};
use super::hollow_machine::Plan;
use super::record::{Point, Run};
use super::slopes::Options;
use crate::planner::Program;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The record of the comparison, relative to the root of the repository.
pub const COMPARISON: &str = "docs/capacity/compare.json";

/// Numbers of machines.
const SIZES: &[usize] = &[20, 1_000, 4_000, 10_000, 18_000];
/// Numbers of machines for the short form.
const SHORT_SIZES: &[usize] = &[20, 100, 200, 400, 800];
/// Requests per second under load.
const REQUESTS_PER_S: f64 = 200.0;
/// How long the load lasts.
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// The duration of a task in milliseconds: at the smallest size the requests use half of the free capacity.
const TASK_DURATION_MS: u64 = 200;
/// The share of the machines' capacity that is free.
const SPARE_SHARE: f64 = 0.1;

/// The planners' configuration, as far as the command line of a comparison sets it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Setting {
    /// The number of planners listed in the configuration.
    pub listed: usize,
    /// The number of file descriptors that the configuration allows each planner.
    pub sockets: u32,
}

/// The record of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// When and on which machine it was measured.
    pub run: Run,
    /// The commits of the two programs.
    pub commits: Vec<String>,
    /// The configuration of the planners.
    pub setting: Setting,
    /// The memory in megabytes that the configuration allows.
    pub memory_mb: f64,
    /// Requests per second.
    pub rate: f64,
    /// The share of the machines' capacity that is free.
    pub spare: f64,
    /// The measured figures.
    pub figures: Vec<Compared>,
}

/// One figure, measured with both programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Compared {
    /// Its name.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// The values of the first program, by number of machines.
    pub before: Vec<Point>,
    /// The values of the second program, by number of machines.
    pub after: Vec<Point>,
}

impl Comparison {
    /// Adds the values of one run; `program` is 0 for the first program and 1 for the second.
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

    /// Prints the medians of both programs and their ratios.
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

/// Measures one program once, at one number of machines.
fn measure_one(
    options: &Options,
    machines: usize,
    setting: Setting,
) -> io::Result<Vec<(&'static str, &'static str, f64)>> {
    let plan = Plan { spare: SPARE_SHARE, life_ms: TASK_DURATION_MS, ..Plan::default() };
    let setup =
        BenchSetup { plan, listed: setting.listed, sockets: setting.sockets, ..BenchSetup::of(machines) };
    let bench = Bench::start(options, setup)?;
    let started = bench.wait_for_connections()?;
    let rest = bench.rest()?;
    let load = bench.ask(REQUESTS_PER_S, LOAD_DURATION, 1 << 32)?;
    let values = vec![
        ("from start to ready", "ms", started.ready.as_secs_f64() * 1e3),
        ("machines reached", "count", started.machines as f64),
        ("processor time at rest", "share of a core", rest.share()),
        ("resident memory", "MB", rest.resident_mb()),
        ("resident memory after asks", "MB", load.window.resident_mb()),
        ("bytes in at rest", "bytes/s", rest.bytes_in()),
        ("bytes out at rest", "bytes/s", rest.bytes_out()),
        ("open connections", "count", rest.open() as f64),
        ("processor time an ask, all in all", "ms", load.processor_ms_per_request()),
        (
            "processor time an ask, without rest",
            "ms",
            load.processor_ms_per_request_beyond_rest(rest.share()),
        ),
        ("answer, p50", "ms", load.placed_ms(0.5)),
        ("answer, p99", "ms", load.placed_ms(0.99)),
        ("failed or unanswered", "count", load.failed() as f64),
        ("share placed", "share", load.placed_share()),
    ];
    Ok(values)
}

/// Measures two programs alternately; the first is the one before a change, the second the one after it.
///
/// # Errors
/// If a process cannot be started or has exited.
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
        rate: REQUESTS_PER_S,
        spare: SPARE_SHARE,
        figures: Vec::new(),
    };
    for (machines, runs) in options.runs(SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            for (index, path) in programs.iter().enumerate() {
                let options = Options { program: Program::at(path), ..options.clone() };
                let values = measure_one(&options, machines, setting)?;
                comparison.add(index, machines as f64, &values);
                let shown = values.iter().map(|(name, _, value)| format!("{name} {value:.3}"));
                let label = ["before", "after"][index];
                let shown: Vec<String> = shown.collect();
                eprintln!(
                    "capacity: {machines} machines, {label}, run {number} of {runs}: {}",
                    shown.join(", ")
                );
            }
        }
    }
    Ok(comparison)
}
