//! Reads the processor time and memory of a process from `/proc`.

use std::io;
use std::path::Path;
use std::time::Duration;

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads that have not ended, with nanosecond resolution.
    pub processor: Duration,
    /// Resident memory now, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory, in KiB.
    pub peak_kib: u64,
}

impl Usage {
    /// Reads the usage of the process with this id.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn of(process: u32) -> io::Result<Usage> {
        let mut processor = Duration::ZERO;
        // Time of threads that have ended is not counted. The planner runs on one thread, which lives as long
        // as the process.
        for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
            processor += thread_time(&thread?.path())?;
        }
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let field = |name| status.lines().find_map(|line| line.strip_prefix(name)).map_or(0, first_number);
        Ok(Usage { processor, resident_kib: field("VmRSS:"), peak_kib: field("VmHWM:") })
    }
}

/// Processor time of a thread; zero if it ended after the folder was listed.
fn thread_time(folder: &Path) -> io::Result<Duration> {
    /// The error code ESRCH: no such process.
    const ESRCH: i32 = 3;
    match std::fs::read_to_string(folder.join("schedstat")) {
        Ok(count) => Ok(Duration::from_nanos(first_number(&count))),
        Err(e) if e.kind() == io::ErrorKind::NotFound || e.raw_os_error() == Some(ESRCH) => {
            Ok(Duration::ZERO)
        }
        Err(error) => Err(error),
    }
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or_default()
}

#[cfg(test)]
mod tests;
