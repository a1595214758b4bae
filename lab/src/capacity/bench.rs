//! Runs one planner process over hollow machines and measures it from outside.
//!
//! In the names of figures and in this module, an "ask" is a client's request to place a task.

use super::hollow_machine::{Counts, HollowMachines, Plan};
use super::slopes::Options;
use super::usage::Usage;
use crate::load::{self, End, Shape, Tally};
use crate::planner::{config, Planner};
use serde_json::{json, Value};
use std::io;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// File descriptors that the configuration allows; the share reserved for machines suffices for 18,000
/// connections.
pub const SOCKETS: u32 = 32_000;
/// Megabytes of memory that the configuration allows; the share reserved for standing tasks suffices for
/// 60,000.
pub const MEMORY_MB: f64 = 1_024.0;
/// Time after all machines are connected until a planner counts as being at rest.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time over which a planner is measured at rest.
pub const REST_WINDOW: Duration = Duration::from_secs(4);
/// The longest wait for a planner to connect to all machines.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
/// The wait for connections ends early if no further machine is connected for this time.
const CONNECT_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks whether all machines are connected.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of services that requests are for, in turn.
const SERVICES: usize = 64;
/// Cores and memory units of a request: one slot of a hollow machine.
const REQUEST_ROOM: (f64, f64) = (1.0, 2.0);

/// The set-up of a measurement.
#[derive(Clone, Debug)]
pub struct BenchSetup {
    /// Machines in the list.
    pub machines: usize,
    /// The machines' behaviour.
    pub plan: Plan,
    /// Number of planners in the fleet according to the platform's settings (`n_instances`).
    pub listed: usize,
    /// File descriptors that the configuration allows.
    pub sockets: u32,
    /// Megabytes of memory that the configuration allows.
    pub memory_mb: f64,
    /// The text of the operators' file, if there is one.
    pub operators: Option<String>,
    /// Seed of the planner and of the load.
    pub seed: u64,
}

impl BenchSetup {
    /// One planner over this many machines, with enough descriptors for all connections.
    pub fn of(machines: usize) -> BenchSetup {
        let plan = Plan { life_ms: 1_000, ..Plan::default() };
        BenchSetup {
            machines,
            plan,
            listed: 1,
            sockets: SOCKETS,
            memory_mb: MEMORY_MB,
            operators: None,
            seed: 1,
        }
    }

    /// The planner's configuration.
    pub fn configuration(&self, hollow: &HollowMachines) -> Value {
        let mut config = config(&hollow.addresses(self.machines), self.seed);
        config["board"] = json!(hollow.list().to_string());
        config["limits"] = json!({"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets});
        config["settings"]["n_instances"] = json!(self.listed);
        let instances = config["known"]["notices"][0]["pool"]["instances"].as_array_mut();
        for (machine, instance) in instances.into_iter().flatten().enumerate() {
            let free = self.plan.free(machine);
            instance["free"] = json!([free, 2 * free]);
        }
        config
    }
}

/// A planner process over a process of hollow machines; dropping this ends both.
pub struct Bench {
    /// The planner.
    pub planner: Planner,
    /// Its machines.
    pub hollow: HollowMachines,
    setup: BenchSetup,
}

/// Measurements of a planner's start.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// From the start of its process until it listens.
    pub ready: Duration,
    /// From the start of its process until the last first connection to a machine.
    pub reached: Duration,
    /// Machines that the planner connected to.
    pub machines: u64,
    /// Processor time until the wait for connections ended.
    pub processor: Duration,
}

/// Resources that a planner used over an interval, and the traffic on its connections to the machines and the
/// machine list.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Length of the interval, in seconds.
    pub seconds: f64,
    /// Processor time that was used in it.
    pub processor: Duration,
    /// Resident memory at its end, in KiB.
    pub resident_kib: u64,
    before: Counts,
    after: Counts,
}

impl Window {
    /// Processor time as a share of one core.
    pub fn share(&self) -> f64 {
        self.processor.as_secs_f64() / self.seconds
    }

    /// Resident memory at its end, in MB.
    pub fn resident_mb(&self) -> f64 {
        self.resident_kib as f64 / 1024.0
    }

    /// Mean growth of a count per second.
    pub fn rate(&self, count: impl Fn(&Counts) -> u64) -> f64 {
        (count(&self.after) - count(&self.before)) as f64 / self.seconds
    }

    /// Bytes per second that the planner received.
    pub fn bytes_in(&self) -> f64 {
        self.rate(|counts| counts.bytes_out + counts.list_out)
    }

    /// Bytes per second that the planner sent.
    pub fn bytes_out(&self) -> f64 {
        self.rate(|counts| counts.bytes_in + counts.list_in)
    }

    /// Connections to machines that are open at its end.
    pub fn open(&self) -> u64 {
        self.after.open
    }
}

/// The results of a load of requests.
pub struct LoadResult {
    /// Requests per second.
    pub rate: f64,
    /// Outcomes and answer times.
    pub tally: Tally,
    /// Resources that the planner used meanwhile.
    pub window: Window,
}

impl LoadResult {
    /// Milliseconds of processor time per request, including the planner's usage at rest.
    pub fn processor_ms_per_request(&self) -> f64 {
        self.window.processor.as_secs_f64() * 1e3 / self.tally.requests as f64
    }

    /// Milliseconds of processor time per request beyond the usage at rest, which is `rest_share` of a core.
    pub fn processor_ms_per_request_beyond_rest(&self, rest_share: f64) -> f64 {
        self.processor_ms_per_request() - rest_share * self.window.seconds * 1e3 / self.tally.requests as f64
    }

    /// The quantile `share` of the answer time of placed requests, in milliseconds.
    pub fn placed_ms(&self, share: f64) -> f64 {
        self.tally.placed_us.value_at_quantile(share) as f64 / 1e3
    }

    /// Share of the answered requests that were placed.
    pub fn placed_share(&self) -> f64 {
        self.tally.count(End::Placed) as f64 / self.tally.answered().max(1) as f64
    }

    /// Requests that failed or were not answered.
    pub fn failed(&self) -> u64 {
        self.tally.count(End::Failed) + self.tally.count(End::Unanswered)
    }

    /// Whether no request failed or was rejected by a limit, and the 99th percentile of the answer time is
    /// below 1 s.
    pub fn kept_up(&self) -> bool {
        let lost = self.failed() + self.tally.count(End::TurnedAway);
        lost == 0 && self.tally.count(End::Placed) > 0 && self.placed_ms(0.99) < 1e3
    }
}

impl Bench {
    /// Starts the machines and the planner.
    ///
    /// # Errors
    /// If one of the processes cannot be started.
    pub fn start(options: &Options, setup: BenchSetup) -> io::Result<Bench> {
        let hollow = HollowMachines::start(&options.lab_program, &setup.plan)?;
        let config = setup.configuration(&hollow);
        let planner = Planner::start(&options.program, &config, setup.operators.as_deref())?;
        Ok(Bench { planner, hollow, setup })
    }

    /// Waits until the planner has connected to all machines or stops connecting to further ones.
    ///
    /// # Errors
    /// If one of the processes has ended.
    pub fn wait_for_connections(&self) -> io::Result<Started> {
        let (from, mut last, mut reached) = (Instant::now(), Instant::now(), 0);
        let counts = loop {
            let counts = self.hollow.counts()?;
            if counts.reached > reached {
                (last, reached) = (Instant::now(), counts.reached);
            }
            let is_timed_out = last.elapsed() > CONNECT_STALL_TIMEOUT || from.elapsed() > CONNECT_TIMEOUT;
            if reached >= self.setup.machines as u64 || is_timed_out {
                break counts;
            }
            std::thread::sleep(POLL_INTERVAL);
        };
        let processor = Usage::of(self.planner.id())?.processor;
        let reached = UNIX_EPOCH + Duration::from_micros(counts.reached_at_us);
        let reached = reached.duration_since(self.planner.spawned).unwrap_or_default();
        Ok(Started { ready: self.planner.ready_after, reached, machines: counts.reached, processor })
    }

    /// Measures the planner while an action runs.
    ///
    /// # Errors
    /// If one of the processes has ended.
    pub fn during<T>(&self, action: impl FnOnce() -> io::Result<T>) -> io::Result<(T, Window)> {
        let (from, before, used) = (Instant::now(), self.hollow.counts()?, Usage::of(self.planner.id())?);
        let done = action()?;
        let now = Usage::of(self.planner.id())?;
        let (seconds, after) = (from.elapsed().as_secs_f64(), self.hollow.counts()?);
        let processor = now.processor.saturating_sub(used.processor);
        Ok((done, Window { seconds, processor, resident_kib: now.resident_kib, before, after }))
    }

    /// Waits for the settling time and measures the planner at rest.
    ///
    /// # Errors
    /// If one of the processes has ended.
    pub fn rest(&self) -> io::Result<Window> {
        std::thread::sleep(SETTLE_TIME);
        Ok(self
            .during(|| {
                std::thread::sleep(REST_WINDOW);
                Ok(())
            })?
            .1)
    }

    /// Sends requests at a rate for this time and waits for the answers. Request ids start after `ids_after`.
    ///
    /// # Errors
    /// If the planner cannot be connected to.
    pub fn ask(&self, rate: f64, span: Duration, ids_after: u64) -> io::Result<LoadResult> {
        let shape = Shape {
            rate,
            span,
            rest: 0.0,
            keyed: 0.3,
            deadline: Duration::from_secs(5),
            services: (0..SERVICES).map(|n| format!("search-{n}")).collect(),
            seed: self.setup.seed,
            room: REQUEST_ROOM,
            answer_wait: Duration::from_secs(3),
            ids_after,
            release_wait: Duration::ZERO,
        };
        let (tally, window) = self.during(|| load::run(&shape, self.planner.owners, None))?;
        Ok(LoadResult { rate, tally, window })
    }
}
