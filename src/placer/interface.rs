//! Public types of the decision module: settings, events, actions, ids and errors. No decision is taken here.

use std::fmt;
use std::ops::{Add, Mul, Sub};

/// A time or time span in seconds, on the caller's clock, which never goes back.
pub type Seconds = f64;

/// A machine, numbered by the caller. A number is never used for another machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u32);
/// An id of a machine that is the same at every placer, such as a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKey(pub u64);
/// A request to place a task. An id is never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A service: a program that many tasks may run.
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
    /// The share of `whole` that it takes, in cores or in memory, whichever is larger in magnitude.
    pub fn share_of(self, whole: Room) -> f64 {
        let (cores, memory) = (self.cores / whole.cores, self.memory / whole.memory);
        if cores.abs() > memory.abs() {
            cores
        } else {
            memory
        }
    }

    /// The maximum of the two, separately for cores and memory.
    pub fn at_least(self, other: Room) -> Room {
        Room { cores: self.cores.max(other.cores), memory: self.memory.max(other.memory) }
    }

    /// Whether it fits into `other`, in cores and in memory.
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

/// A part of the fleet: a machine, a cell, a zone, or all machines.
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

/// Whether tasks of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A second copy does no harm.
    Repeatable,
    /// Machines of one group discard repeats with the same key for some time after the first send.
    Keyed {
        /// The part of the fleet within which repeats are discarded.
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
    /// Whether its tasks may be repeated.
    pub idempotency: Idempotency,
    /// Usual time that an owner waits for a task to be placed.
    pub deadline_s: Seconds,
    /// Time within which a first start has its full worth.
    pub on_time_s: Seconds,
    /// Share of a start's worth after that time.
    pub late_share: f64,
    /// Worth of a second of service of a task of mean size.
    pub importance: f64,
    /// Seconds of service that a first start in time is worth.
    pub prompt_start_s: Seconds,
    /// Where tasks must be spread: the kind of place, and the most tasks of a service in one such place.
    pub spread: Option<(Place, u32)>,
    /// Index of the only kind of machine that may run it; any if absent.
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
    /// Cores that it may request in total, over all placers, at full worth.
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

/// The settings with which a placer starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes, in the order in which tasks name them.
    pub classes: Vec<Class>,
    /// The kinds of machine.
    pub kinds: Vec<Kind>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The zone of this placer, if known.
    pub zone: Option<ZoneId>,
    /// How many placers there are.
    pub placers: u32,
    /// The machine list is sent only on request.
    pub ask_for_list: bool,
    /// A placer without a subscription must request the list at least this often.
    pub ask_every_s: Seconds,
    /// List entries carry the room that no accepted task asked for.
    pub list_shows_room: bool,
    /// A machine accepts tasks up to this multiple of its cores.
    pub cores_multiple: f64,
    /// A machine accepts tasks up to this multiple of its memory.
    pub memory_multiple: f64,
    /// A bind is confirmed only when the task runs, not when it is accepted.
    pub confirms_running: bool,
    /// Where load reports come from.
    pub reports: ReportSource,
    /// Free room in load reports means room not in use, rather than room that no task asked for.
    pub reports_used: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Most attempts for one request.
    pub max_attempts: usize,
    /// Number of offers within `cold_window_s`, from all placers, that a cold machine can always handle.
    pub cold_offer_limit: f64,
    /// Window over which a cold machine's offers are counted.
    pub cold_window_s: Seconds,
    /// Time after its start during which a machine counts as cold.
    pub warm_within_s: Seconds,
    /// Shortest interval between batches of events.
    pub tick_s: Seconds,
    /// Worth of a task beyond its tenant's quota, as a share of its usual worth.
    pub over_share_worth: f64,
    /// Price of running outside the placer's zone.
    pub cross_zone_price: f64,
    /// Time that an owner waits, after an answer that leaves open whether its task runs, before it hands the
    /// task to any placer or asks for it again.
    pub owner_wait_s: Seconds,
}

impl Settings {
    /// Checks whether a placer can work with these settings.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let faults = [
            (self.classes.is_empty(), "no class is listed"),
            (
                self.kinds.iter().any(|k| !(positive(k.size.cores) && positive(k.size.memory))),
                "a kind of machine has no cores or no memory",
            ),
            (
                !(positive(self.cores_multiple) && positive(self.memory_multiple)),
                "a multiple of cores or memory is not above zero",
            ),
            (self.placers == 0 || self.max_attempts == 0, "the number of placers or of attempts is zero"),
            (
                self.classes.iter().any(|c| c.kind.is_some_and(|k| k >= self.kinds.len())),
                "a class requires a kind of machine that is not listed",
            ),
            (
                self.classes.iter().any(|c| c.spread.is_some_and(|(_, most)| most == 0)),
                "a class that must be spread allows zero tasks in a place",
            ),
            (
                !(self.tick_s >= 0.0 && positive(self.cold_window_s)),
                "the tick is negative or the cold window is not above zero",
            ),
        ];
        match faults.iter().find(|(wrong, _)| *wrong) {
            Some((_, what)) => Err(SettingsError((*what).into())),
            None => Ok(()),
        }
    }
}

/// Limits that the operators set for a task. They only narrow what the settings allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskLimits {
    /// Number of attempts.
    pub attempts: usize,
    /// Seconds that one attempt may take.
    pub attempt_s: Seconds,
    /// Time after the first attempt that may have run, within which a keyed task may be sent again.
    pub window_s: Seconds,
    /// Mean pause after a refusal in seconds, and the share of it by which a pause is randomly longer or
    /// shorter; the module's default if absent.
    pub pause_s: Option<(Seconds, Seconds)>,
    /// Whether it may be sent again after an attempt that may have run.
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
    /// Index of its tenant, if it has one.
    pub tenant: Option<usize>,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Cores and memory that it requests.
    pub room: Room,
    /// When the owner gives up on this request.
    pub deadline: Seconds,
    /// Expected run time, if the owner gave one.
    pub expected_runtime_s: Option<Seconds>,
    /// The operators' limits for it.
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
    /// The machine.
    pub machine: MachineId,
    /// Its id that is the same at every placer.
    pub key: MachineKey,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Index of its kind, if the settings list it.
    pub kind: Option<usize>,
    /// Its standing.
    pub standing: Standing,
    /// Room that no accepted task asked for, as of some time ago.
    pub free: Room,
    /// When it last started; 0 means long ago.
    pub started: Seconds,
}

/// The kind of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only changed entries.
    Changes,
    /// All machines.
    Whole,
    /// The list that this placer last saved, which may be outdated.
    Persisted,
    /// A list call failed or the subscription broke; there are no entries.
    Failed,
}

/// A machine's load report; values that were not sent are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free room: not requested, or not in use ([`Settings::reports_used`]).
    pub free: Option<Room>,
    /// Share of the cores in use.
    pub busy: Option<f64>,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task has ended, or the probe was answered.
    Ok,
    /// An error; the task may have started.
    Error,
    /// Refused; it never ran.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// After the bind: lost, evicted or sent away. Before it: the connection or the answer broke off.
    Lost,
    /// Withdrawn or stopped on request.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether no usable answer came back.
    pub fn unanswered(self) -> bool {
        matches!(self, Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Lost)
    }

    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Why an attempt ended with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Not reported.
    Unknown,
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// The machine's queue of offers is full.
    LineFull,
    /// The machine has the wrong kind or drains, the offer came too late, or a copy of the task runs.
    NotHere,
    /// Evicted for lack of memory.
    Evicted,
    /// Preempted by another task.
    PushedOut,
    /// Sent away by a draining machine.
    SentAway,
    /// The connection broke or corrupted the answer, which may happen with any machine.
    Broken,
}

/// A progress message about an open attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The task runs.
    Runs,
    /// Cores in use.
    CoresUsed(f64),
    /// Memory in use.
    MemoryUsed(f64),
    /// Share of full service that the task gets.
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
    /// The request is finished: no further attempt is wanted.
    pub finished: bool,
    /// The caller would send no further attempt of this request.
    pub last: bool,
    /// The machine's report, if one came.
    pub report: Option<Report>,
}

/// Free capacity of a machine that takes work, as far as the placer knows.
#[derive(Clone, Copy, Debug)]
pub struct Space {
    /// The machine.
    pub machine: MachineId,
    /// Free part of `limit`.
    pub left: Room,
    /// Its cores and memory.
    pub size: Room,
    /// Room for all tasks that it accepts.
    pub limit: Room,
    /// Its kind.
    pub kind: Option<usize>,
    /// Number of offers that it may still get.
    pub offers: usize,
}

/// An input of the placer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A machine list, changes of it, or the failure to get it.
    List {
        /// What the entries are.
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
    /// A task that runs already and that this placer takes over; it counts as attempt 0.
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
    /// A machine accepted the task; an [`Event::Ended`] follows later.
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
    /// A progress message about an open attempt.
    Noted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The message.
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

/// An output of the placer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine.
    Bind {
        /// The request.
        request: RequestId,
        /// The machine.
        machine: MachineId,
        /// The time at which the attempt times out.
        give_up_at: Seconds,
    },
    /// Final answer: refused; a retry by the owner is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Seconds that the owner should wait before a retry.
        retry_in_s: Seconds,
    },
    /// Final answer: failed; the task may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Request a load report from a machine.
    Probe {
        /// The machine.
        machine: MachineId,
    },
    /// Subscribe to the machine list.
    Subscribe,
    /// Request an [`Event::Timer`] at or after this time.
    SetTimer {
        /// When it is due.
        at: Seconds,
    },
    /// A log line for the operators.
    Log(String),
}

/// Settings with which a placer cannot work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(
    /// The fault.
    pub String,
);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings cannot be served: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
