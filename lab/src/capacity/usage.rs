//! What a process has used, by the operating system's count.

use std::io;
use std::path::Path;
use std::time::Duration;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads, to the nanosecond.
    pub processor: Duration,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
    /// The most resident memory that it had, in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// What the process of this number has used.
    ///
    /// # Errors
    /// If it is gone.
    pub fn of(process: u32) -> io::Result<Usage> {
        let mut processor = Duration::ZERO;
        // A thread that has ended is in nobody's count: the planner runs on one that lives as long as the process.
        for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
            processor += of_thread(&thread?.path())?;
        }
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let field = |name| status.lines().find_map(|line| line.strip_prefix(name)).map_or(0, first_number);
        Ok(Usage { processor, resident_kib: field("VmRSS:"), peak_kib: field("VmHWM:") })
    }
}

/// Processor time of a thread; none of one that ended since the folder was listed.
fn of_thread(folder: &Path) -> io::Result<Duration> {
    /// No such process.
    const GONE: i32 = 3;
    match std::fs::read_to_string(folder.join("schedstat")) {
        Ok(count) => Ok(Duration::from_nanos(first_number(&count))),
        Err(e) if e.kind() == io::ErrorKind::NotFound || e.raw_os_error() == Some(GONE) => Ok(Duration::ZERO),
        Err(error) => Err(error),
    }
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

#[cfg(test)]
mod tests;
