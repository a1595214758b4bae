//! One planner process over hollow machines, measured from outside.

use super::hollow_machine::{Counts, HollowMachines, Plan};
use super::slopes::Options;
use super::usage::Usage;
use crate::load::{self, End, Shape, Tally};
use crate::planner::{config, Planner};
use serde_json::{json, Value};
use std::io;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Descriptors that the configuration allows: the share of it that is for machines holds 18,000 connections.
pub const SOCKETS: u32 = 32_000;
/// Megabytes that the configuration allows: the share of it that is for standing tasks holds 60,000.
pub const MEMORY_MB: f64 = 1_024.0;
/// Seconds after all machines are reached before a planner counts as one at rest.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Time over which a planner at rest is measured.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Within so long after its start a planner reaches the machines that it is to reach.
const REACH: Duration = Duration::from_secs(20);
/// A planner that has reached no further machine for so long reaches no more.
const NO_MORE: Duration = Duration::from_secs(3);
/// Between two looks at whether all machines are reached.
const LOOK: Duration = Duration::from_millis(50);
/// Count. Services that are asked for, by turns.
const SERVICES: usize = 64;
/// Cores and memory of an ask: one slot of a hollow machine.
const ROOM: (f64, f64) = (1.0, 2.0);

/// What is set up.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Machines in the list.
    pub machines: usize,
    /// How they behave.
    pub plan: Plan,
    /// Planners that the settings tell of.
    pub listed: usize,
    /// Descriptors that the configuration allows.
    pub sockets: u32,
    /// Megabytes that the configuration allows.
    pub memory_mb: f64,
    /// The operators' file, where there is one.
    pub operators: Option<String>,
    /// Seed of planner and load.
    pub seed: u64,
}

impl Scene {
    /// One planner over so many machines, with room for all connections.
    pub fn of(machines: usize) -> Scene {
        let plan = Plan { life_ms: 1_000, ..Plan::default() };
        Scene { machines, plan, listed: 1, sockets: SOCKETS, memory_mb: MEMORY_MB, operators: None, seed: 1 }
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

/// A planner over hollow machines; both end when this is dropped.
pub struct Bench {
    /// The planner.
    pub planner: Planner,
    /// Its machines.
    pub hollow: HollowMachines,
    scene: Scene,
}

/// How a planner started.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// From the start of its process until it listens.
    pub ready: Duration,
    /// From the start of its process until the last machine was reached.
    pub reached: Duration,
    /// Machines that were reached.
    pub machines: u64,
    /// Processor time until then.
    pub processor: Duration,
}

/// What a planner used over a time, and what went over its connections to machines and machine list.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// The time, in seconds.
    pub seconds: f64,
    /// Processor time over it.
    pub processor: Duration,
    /// Resident memory at its end, in KiB.
    pub resident_kib: u64,
    before: Counts,
    after: Counts,
}

impl Window {
    /// Share of a core.
    pub fn share(&self) -> f64 {
        self.processor.as_secs_f64() / self.seconds
    }

    /// Resident memory at its end, in MB.
    pub fn resident_mb(&self) -> f64 {
        self.resident_kib as f64 / 1024.0
    }

    /// How much a count grew each second.
    pub fn rate(&self, count: impl Fn(&Counts) -> u64) -> f64 {
        (count(&self.after) - count(&self.before)) as f64 / self.seconds
    }

    /// Bytes a second that the planner heard.
    pub fn bytes_in(&self) -> f64 {
        self.rate(|counts| counts.bytes_out + counts.list_out)
    }

    /// Bytes a second that the planner sent.
    pub fn bytes_out(&self) -> f64 {
        self.rate(|counts| counts.bytes_in + counts.list_in)
    }

    /// Connections that are open at its end.
    pub fn open(&self) -> u64 {
        self.after.open
    }
}

/// What came of asks.
pub struct Asks {
    /// Asks a second.
    pub rate: f64,
    /// What came of each.
    pub tally: Tally,
    /// What the planner used meanwhile.
    pub window: Window,
}

impl Asks {
    /// Milliseconds of processor time for each ask, all in all.
    pub fn total_ms(&self) -> f64 {
        self.window.processor.as_secs_f64() * 1e3 / self.tally.asked as f64
    }

    /// The same without the share of a core that is spent at rest.
    pub fn own_ms(&self, rest_share: f64) -> f64 {
        self.total_ms() - rest_share * self.window.seconds * 1e3 / self.tally.asked as f64
    }

    /// Milliseconds within which this share of those that were placed had their answer.
    pub fn placed_ms(&self, share: f64) -> f64 {
        self.tally.placed_us.value_at_quantile(share) as f64 / 1e3
    }

    /// Share of those that were answered that were placed.
    pub fn placed_share(&self) -> f64 {
        self.tally.count(End::Placed) as f64 / self.tally.answered().max(1) as f64
    }

    /// Asks that failed or had no answer.
    pub fn failed(&self) -> u64 {
        self.tally.count(End::Failed) + self.tally.count(End::Unanswered)
    }

    /// Whether nothing failed or was turned away, and 99 in 100 had their answer within a second.
    pub fn kept_up(&self) -> bool {
        let lost = self.failed() + self.tally.count(End::TurnedAway);
        lost == 0 && self.tally.count(End::Placed) > 0 && self.placed_ms(0.99) < 1e3
    }
}

impl Bench {
    /// Starts machines and planner.
    ///
    /// # Errors
    /// If one of the processes cannot be started.
    pub fn start(options: &Options, scene: Scene) -> io::Result<Bench> {
        let hollow = HollowMachines::start(&options.laboratory, &scene.plan)?;
        let config = scene.configuration(&hollow);
        let planner = Planner::start(&options.program, &config, scene.operators.as_deref())?;
        Ok(Bench { planner, hollow, scene })
    }

    /// Waits until the planner has reached all machines, or reaches no more of them.
    ///
    /// # Errors
    /// If one of the processes is gone.
    pub fn reach(&self) -> io::Result<Started> {
        let (from, mut last, mut reached) = (Instant::now(), Instant::now(), 0);
        let counts = loop {
            let counts = self.hollow.counts()?;
            if counts.reached > reached {
                (last, reached) = (Instant::now(), counts.reached);
            }
            let is_over = last.elapsed() > NO_MORE || from.elapsed() > REACH;
            if reached >= self.scene.machines as u64 || is_over {
                break counts;
            }
            std::thread::sleep(LOOK);
        };
        let processor = Usage::of(self.planner.id())?.processor;
        let reached = UNIX_EPOCH + Duration::from_micros(counts.reached_at_us);
        let reached = reached.duration_since(self.planner.spawned).unwrap_or_default();
        Ok(Started { ready: self.planner.ready_after, reached, machines: counts.reached, processor })
    }

    /// Measures what is used while something is done.
    ///
    /// # Errors
    /// If one of the processes is gone.
    pub fn during<T>(&self, what: impl FnOnce() -> io::Result<T>) -> io::Result<(T, Window)> {
        let (from, before, used) = (Instant::now(), self.hollow.counts()?, Usage::of(self.planner.id())?);
        let done = what()?;
        let now = Usage::of(self.planner.id())?;
        let (seconds, after) = (from.elapsed().as_secs_f64(), self.hollow.counts()?);
        let processor = now.processor.saturating_sub(used.processor);
        Ok((done, Window { seconds, processor, resident_kib: now.resident_kib, before, after }))
    }

    /// Measures the planner at rest, once it has settled.
    ///
    /// # Errors
    /// If one of the processes is gone.
    pub fn rest(&self) -> io::Result<Window> {
        std::thread::sleep(SETTLE);
        Ok(self
            .during(|| {
                std::thread::sleep(WINDOW);
                Ok(())
            })?
            .1)
    }

    /// Asks at a rate for so long, and waits for the answers.
    ///
    /// # Errors
    /// If the planner cannot be reached.
    pub fn ask(&self, rate: f64, span: Duration, ids_after: u64) -> io::Result<Asks> {
        let shape = Shape {
            rate,
            span,
            rest: 0.0,
            keyed: 0.3,
            deadline: Duration::from_secs(5),
            services: (0..SERVICES).map(|n| format!("search-{n}")).collect(),
            seed: self.scene.seed,
            room: ROOM,
            patience: Duration::from_secs(3),
            ids_after,
            hear_on: Duration::ZERO,
        };
        let (tally, window) = self.during(|| load::run(&shape, self.planner.owners, None))?;
        Ok(Asks { rate, tally, window })
    }
}
