//! Types at the edge of the decision module: settings, events, actions, ids and errors.
//! Nothing here decides anything.

use std::fmt;
use std::ops::{Add, Mul, Sub};

/// Seconds on the clock that the caller supplies; it only moves forward.
pub type Seconds = f64;

/// A machine, numbered by the caller; the same number always means the same machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u32);
/// What identifies a machine to every placer alike, such as a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKey(pub u64);
/// One ask to place a task; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A service, that is, a program of which many tasks may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);
/// A zone, numbered by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A cell: a handful of machines that belong together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);
/// The number of an attempt within its request, from 0.
pub type AttemptNo = usize;

/// Cores and memory: of a machine, of a task, or free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory: f64,
}

impl Room {
    /// The larger of its shares of so much room.
    pub fn share_of(self, whole: Room) -> f64 {
        let (cores, memory) = (self.cores / whole.cores, self.memory / whole.memory);
        if cores.abs() > memory.abs() {
            cores
        } else {
            memory
        }
    }

    /// In each part the larger of the two.
    pub fn at_least(self, other: Room) -> Room {
        Room { cores: self.cores.max(other.cores), memory: self.memory.max(other.memory) }
    }

    /// Whether neither part exceeds the other's.
    pub fn within(self, other: Room) -> bool {
        self.cores <= other.cores && self.memory <= other.memory
    }
}

impl Add for Room {
    type Output = Room;
    fn add(self, other: Room) -> Room {
        Room { cores: self.cores + other.cores, memory: self.memory + other.memory }
    }
}

impl Sub for Room {
    type Output = Room;
    fn sub(self, other: Room) -> Room {
        self + other * -1.0
    }
}

impl Mul<f64> for Room {
    type Output = Room;
    fn mul(self, times: f64) -> Room {
        Room { cores: self.cores * times, memory: self.memory * times }
    }
}

/// A span of the fleet: one machine, one cell, one zone, or everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// One machine.
    Machine,
    /// One cell.
    Cell,
    /// One zone.
    Zone,
    /// Every machine.
    All,
}

/// What a second attempt at a task of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A second copy does no harm.
    Repeatable,
    /// Machines of one group discard repeats for a while after the first send.
    Keyed {
        /// The span of machines that discards repeats.
        group: Place,
        /// How long they do so, from the send of the first attempt that may have run.
        window_s: Seconds,
    },
    /// Must never be started twice.
    Once,
}

/// A class of tasks.
#[derive(Clone, Debug)]
pub struct Class {
    /// What repeats may do.
    pub effect: Effect,
    /// How long an owner usually waits for a placing.
    pub deadline_s: Seconds,
    /// A first start within this time earns its full worth.
    pub on_time_s: Seconds,
    /// Share of a start's worth after that time.
    pub late_share: f64,
    /// Worth of a second of service of a task of mean size.
    pub importance: f64,
    /// Seconds of service that a first start in time is worth.
    pub prompt_start_s: Seconds,
    /// Where the class must stay spread, and the most tasks of a service in one such place.
    pub spread: Option<(Place, u32)>,
    /// Index of the only kind of machine that may hold it.
    pub kind: Option<usize>,
}

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Size of a machine.
    pub size: Room,
}

/// A tenant.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Cores asked for, over all placers, within its share.
    pub quota_cores: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// With every answer and probe.
    Answers,
    /// With probes alone.
    Probes,
    /// Not at all.
    Silent,
}

/// Everything a placer is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes, in the order in which tasks name them.
    pub classes: Vec<Class>,
    /// The kinds of machine.
    pub kinds: Vec<Kind>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The zone of this placer, where known.
    pub zone: Option<ZoneId>,
    /// How many placers send to the same machines.
    pub placers: u32,
    /// How many placers there are in all: the tenants' quotas are over all of them.
    pub all_placers: u32,
    /// The list of machines must be asked for.
    pub ask_for_list: bool,
    /// A placer without a subscription must ask at least this often.
    pub ask_every_s: Seconds,
    /// List entries carry the room that nobody asked for.
    pub list_shows_room: bool,
    /// A machine accepts tasks up to this multiple of its cores.
    pub cores_multiple: f64,
    /// A machine accepts tasks up to this multiple of its memory.
    pub memory_multiple: f64,
    /// A bind is confirmed only when the task runs, not when it is accepted.
    pub confirms_running: bool,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Free room in reports is room not in use, rather than not asked for.
    pub reports_used: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Most attempts for one request.
    pub max_attempts: usize,
    /// Offers within `fall_s`, from all placers, that a cold machine always bears.
    pub cold_bears: f64,
    /// Window over which a cold machine's offers are counted.
    pub fall_s: Seconds,
    /// A machine is warm no later than this after its start.
    pub warm_within_s: Seconds,
    /// Batches come at most this often.
    pub tick_s: Seconds,
    /// Worth of a task beyond its tenant's share, as a share of the usual.
    pub over_share_worth: f64,
    /// Price of running outside the placer's zone.
    pub cross_zone_price: f64,
}

impl Settings {
    /// Tells whether any placer could serve these settings.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let faults = [
            (self.classes.is_empty(), "there are no classes"),
            (
                self.kinds.iter().any(|k| !(positive(k.size.cores) && positive(k.size.memory))),
                "a kind of machine has no cores or no memory",
            ),
            (!(positive(self.cores_multiple) && positive(self.memory_multiple)), "machines accept nothing"),
            (
                self.placers == 0 || self.all_placers == 0 || self.max_attempts == 0,
                "there are no placers or no attempts",
            ),
            (
                self.classes.iter().any(|c| c.kind.is_some_and(|k| k >= self.kinds.len())),
                "a class requires a kind that is not listed",
            ),
            (
                self.classes.iter().any(|c| c.spread.is_some_and(|(_, most)| most == 0)),
                "a class may have no task in a place",
            ),
            (!(self.tick_s >= 0.0 && positive(self.fall_s)), "a time is negative or missing"),
        ];
        match faults.iter().find(|(wrong, _)| *wrong) {
            Some((_, what)) => Err(SettingsError((*what).into())),
            None => Ok(()),
        }
    }
}

/// What the operators allow a task. Each figure only narrows what the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskLimits {
    /// Attempts.
    pub attempts: usize,
    /// Seconds that one attempt may take.
    pub attempt_s: Seconds,
    /// Seconds from the first send that may have run within which a keyed task may be sent again.
    pub window_s: Seconds,
    /// Seconds of pause after a refusal in the mean, and the share of it by which it is drawn higher or
    /// lower; the module's own where absent.
    pub pause_s: Option<(Seconds, Seconds)>,
    /// Whether it may be sent again once an attempt of it may have run.
    pub copies: bool,
}

impl Default for TaskLimits {
    fn default() -> Self {
        let (attempts, endless) = (usize::MAX, f64::INFINITY);
        TaskLimits { attempts, attempt_s: endless, window_s: endless, pause_s: None, copies: true }
    }
}

/// A task to be placed, or one that runs already.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant, where it has one.
    pub tenant: Option<usize>,
    /// The service it belongs to.
    pub service: ServiceId,
    /// What it asks for.
    pub room: Room,
    /// When the owner gives up on this ask.
    pub deadline: Seconds,
    /// How long it is expected to run, where told.
    pub life_s: Option<Seconds>,
    /// What the operators allow it.
    pub limits: TaskLimits,
}

/// A machine's standing in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One machine in the list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Which machine.
    pub machine: MachineId,
    /// The same figure for this machine at every placer.
    pub key: MachineKey,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Index of its kind, where the settings know it.
    pub kind: Option<usize>,
    /// Its standing.
    pub standing: Standing,
    /// Room that no accepted task asked for, some time ago.
    pub free: Room,
    /// When it last started; 0 means long ago.
    pub started: Seconds,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Changes,
    /// Every machine there is.
    Whole,
    /// The list as this placer last had it, maybe old.
    Persisted,
    /// A call failed or the subscription broke; no entries.
    Failed,
}

/// A machine's load report; values that were not sent are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Room not asked for, or not in use.
    pub free: Option<Room>,
    /// Share of the cores that is busy.
    pub busy: Option<f64>,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task has ended, or the probe was answered.
    Ok,
    /// An error; it may have started anyway.
    Error,
    /// Refused; it never ran.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// Lost, evicted or sent away after its bind; before it, the answer broke off.
    Lost,
    /// Called off or stopped.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether nothing, or nothing of use, came back.
    pub fn unanswered(self) -> bool {
        matches!(self, Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Lost)
    }

    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Why an attempt ended so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Not told.
    Unknown,
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many offers wait.
    LineFull,
    /// Wrong kind, draining, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by another task.
    PushedOut,
    /// Sent away by a draining machine.
    SentAway,
    /// The way to the machine broke or spoilt its answer, which may befall any machine alike.
    Broken,
}

/// Word on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The task runs.
    Runs,
    /// Cores in use.
    CoresUsed(f64),
    /// Memory in use.
    MemoryUsed(f64),
    /// Share of full service it gets.
    Served(f64),
    /// Share of the machine's memory in use.
    MachineMemory(f64),
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The request is over.
    pub finished: bool,
    /// No further attempt would be let out, whatever the module asks for.
    pub last: bool,
    /// The machine's report, if one came.
    pub report: Option<Report>,
}

/// What is left at a machine that takes work, as far as the placer knows.
#[derive(Clone, Copy, Debug)]
pub struct Space {
    /// The machine.
    pub machine: MachineId,
    /// Room that is left of its limit.
    pub left: Room,
    /// Its size.
    pub size: Room,
    /// What it accepts in all.
    pub limit: Room,
    /// Its kind.
    pub kind: Option<usize>,
    /// Offers that it still bears.
    pub offers: usize,
}

/// What the placer hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Word on the list of machines.
    List {
        /// What it brings.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A task to be placed.
    Submitted {
        /// The request.
        request: RequestId,
        /// The task.
        task: Task,
    },
    /// A task that runs already and is now this placer's; attempt 0 counts as made.
    Resident {
        /// The request.
        request: RequestId,
        /// The task.
        task: Task,
        /// Where it runs.
        machine: MachineId,
    },
    /// The owner no longer waits.
    Withdrawn {
        /// The request.
        request: RequestId,
    },
    /// The task is placed; its end is told later.
    Bound {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Time since it was sent.
        took_s: Seconds,
    },
    /// An attempt ended.
    Ended(End),
    /// Word on an attempt that is out.
    Noted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// What it says.
        note: Note,
    },
    /// A probe ended.
    Probed {
        /// The machine.
        machine: MachineId,
        /// How it ended.
        outcome: Outcome,
        /// The machine's report, if one came.
        report: Option<Report>,
    },
    /// A timer is due.
    Timer,
}

/// What the placer does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine.
    Bind {
        /// The request.
        request: RequestId,
        /// The machine.
        machine: MachineId,
        /// When to give this attempt up.
        give_up_at: Seconds,
    },
    /// Final answer: turned away; asking again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the owner should stay away.
        retry_in_s: Seconds,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a machine for its report.
    Probe {
        /// The machine.
        machine: MachineId,
    },
    /// Ask for the list's changes from now on.
    Subscribe,
    /// Ask for an [`Event::Timer`] at or after this time.
    SetTimer {
        /// When it is due.
        at: Seconds,
    },
    /// A line for the operators.
    Log(String),
}

/// Settings that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(
    /// What is wrong with them.
    pub String,
);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings cannot be served: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
