//! The interface of the core: its inputs, its effects, and the states and final answers of jobs.

use super::{DepartureId, RecordId};
use crate::decide::budgets::{PeerMessage, Plan};
use crate::decide::fleet::{Incarnation, Member};
use crate::decide::groups::settings::GroupSettings;
use crate::decide::groups::Policy;
use crate::decide::limits::{Table, Why};
use crate::decide::machine_loss::{ConnectionEnd, CopyEnd, RefusedDial};
use crate::placer::{
    AttemptNo, Entry, ListKind, MachineId, Note, Outcome, Reason, Report, RequestId, Seconds, Task,
};
use std::sync::Arc;

/// The client that receives the answers of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// A connection of the platform protocol.
    Link(u64),
    /// The REST API. Its clients read the job's state; no answer is pushed to them.
    Rest,
    /// A group of which the job is a member.
    Group {
        /// The group's id.
        group: GroupId,
        /// The member's index in the group.
        member: usize,
    },
}

/// The id of a group, assigned by the API through which it was submitted; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// A request to place a group.
#[derive(Clone, Debug)]
pub struct GroupSubmission {
    /// The id assigned by the API through which the group came.
    pub group: GroupId,
    /// Of each member: the data forwarded to its machine, and the input of the placement decision.
    pub members: Vec<(Arc<Spec>, Task)>,
    /// The time at which the owner stops waiting.
    pub deadline: Seconds,
    /// How partial placement, retries and lost members are handled.
    pub policy: Policy,
    /// The largest share of the fleet's capacity that the group may request.
    pub share: f64,
    /// The idempotency key, shared by all retries of the request.
    pub key: Option<String>,
    /// Digest of the request; distinguishes a retry from a different group with the same key.
    pub digest: u64,
}

/// The jobs of a platform connection that are not over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkLoad {
    /// Jobs that wait for their final answer.
    pub open: usize,
    /// Running tasks.
    pub standing: usize,
}

/// The part of a job that is forwarded to its machine unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// Name of the job's class.
    pub class: String,
    /// Name of the task.
    pub name: String,
    /// The service's name, as the owner gave it.
    pub service: String,
    /// The idempotency key, shared by all attempts and retries of a keyed task.
    pub key: Option<String>,
    /// The task description.
    pub body: String,
    /// Digest of the request; distinguishes a retry from a different job with the same key. 0 for APIs that
    /// do not join retries.
    pub digest: u64,
}

impl Spec {
    /// Bytes that its texts take.
    pub fn size(&self) -> usize {
        let key = self.key.as_ref().map_or(0, String::len);
        self.class.len() + self.name.len() + self.service.len() + key + self.body.len()
    }
}

/// A request to place a job.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// The id assigned by the API through which the job came; never reused.
    pub job: RequestId,
    /// The client that receives the answers.
    pub owner: Owner,
    /// The data forwarded to the machine.
    pub spec: Arc<Spec>,
    /// The input of the placement decision.
    pub task: Task,
}

/// The state of one machine as the machine list gives it.
#[derive(Clone, Debug)]
pub struct MachineNotice {
    /// The entry that is passed to the placer.
    pub entry: Entry,
    /// The address on which the machine listens.
    pub address: String,
}

/// An event to which the core reacts.
#[derive(Clone, Debug)]
pub enum Input {
    /// An update of the machine list: a complete list or changes.
    List { kind: ListKind, notices: Vec<MachineNotice> },
    /// A new job.
    Submit(JobSubmission),
    /// A task that is already running at a machine, reported by its owner.
    Adopt { ask: JobSubmission, machine: MachineId },
    /// A new group, of which either all members or none are placed.
    SubmitGroup(GroupSubmission),
    /// The owner of a group cancels its placement, or stops it.
    CancelGroup { group: GroupId },
    /// The planner shuts down. Groups that are not completely placed are cancelled, every pending request is
    /// answered by `until`, and later requests are refused. May be repeated with an earlier time.
    Draining { until: Seconds },
    /// A connection to the machine is established.
    LinkUp { machine: MachineId },
    /// The REST API cancels a pending job or stops a running task of its own; `cause` is forwarded to the machine.
    Cancel { job: RequestId, cause: u8 },
    /// A message on a client connection cancels a pending job of that connection, or stops a running task of any
    /// client connection; `cause` is forwarded to the machine.
    OwnerRelease { link: u64, job: RequestId, cause: u8 },
    /// A client connection closed: its pending jobs are cancelled, its running tasks continue.
    OwnerGone { link: u64 },
    /// A client connection can no longer be read, for instance after a malformed message: its pending jobs
    /// fail, its running tasks continue.
    OwnerFaulty { link: u64 },
    /// The first byte of an attempt's message was written to the machine's connection.
    Sent { job: RequestId, attempt: AttemptNo },
    /// A machine reports that the task is running.
    Bound { machine: MachineId, job: RequestId, body: String },
    /// A machine reports the end of an attempt or of a running task. `before` is the outcome if the task was
    /// not running yet, `after` the outcome if it was.
    Ended {
        machine: MachineId,
        job: RequestId,
        before: Outcome,
        after: Outcome,
        why: Reason,
        report: Option<Report>,
    },
    /// The machine answered the connection check numbered `ask`, on the same connection. It has received all
    /// that was written there before the check.
    FenceAnswered { machine: MachineId, ask: u64 },
    /// A machine sends an informational note about a task.
    Noted { machine: MachineId, job: RequestId, note: Note },
    /// A probe of a machine was answered, or failed.
    Probed { machine: MachineId, outcome: Outcome, report: Option<Report> },
    /// A connection attempt to the machine failed: attempts that are still queued for it never ran.
    DialFailed { machine: MachineId },
    /// The machine refuses connections: its process may be gone, drain, or be short of connections. What is queued
    /// for it never ran.
    DialRefused { machine: MachineId, dial: RefusedDial },
    /// The machine closed its connection in answer to this planner's close, which took the place of an order to cancel
    /// an attempt. [`Input::LinkBroken`] follows.
    CloseAnswered { machine: MachineId },
    /// A connection to the machine ended: attempts sent on it may have run.
    LinkBroken { machine: MachineId, end: ConnectionEnd },
    /// The connection to a machine that left the list ended.
    Departed { departure: DepartureId, end: ConnectionEnd },
    /// The machine has been silent for so long that its tasks are reported lost. It may only be unreachable.
    MachineLost { machine: MachineId },
    /// New operator limits, validated and compiled. They apply to jobs that are submitted from now on.
    Limits { table: Arc<Table>, digest: String },
    /// The settings for groups that are submitted from now on; `None` if groups are disabled.
    GroupSettings(Option<Arc<GroupSettings>>),
    /// A new operators' file was rejected; the current limits stay in force.
    LimitsRefused { why: Vec<String> },
    /// The planner joins a fleet as this incarnation (process start); sent once, before any other input.
    Join { plan: Plan, incarnation: Incarnation },
    /// Messages of another planner. The incarnation is a number that differs between its process starts.
    Peer { from: (Member, Incarnation), messages: Vec<PeerMessage> },
    /// A caller waits for a job or group: it can read the record until it releases it.
    HoldRecord { record: RecordId },
    /// A caller that held a record has read it, or has left.
    ReleaseRecord { record: RecordId },
    /// Time has advanced; due alarms are handled.
    Tick,
}

/// An action that the core requests from its environment.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt of the job to the machine. If `fence` is set, the connection check with that number is
    /// written directly before it.
    Launch {
        machine: MachineId,
        job: RequestId,
        attempt: AttemptNo,
        left_s: Seconds,
        fence: Option<u64>,
        spec: Arc<Spec>,
    },
    /// Cancel an attempt: remove it from the send queue if it is still there, else by a message to the
    /// machine.
    CancelAttempt { machine: MachineId, job: RequestId },
    /// The order to cancel an attempt that was sent is kept back until the machine answers something that is written
    /// from now on; `check` is the connection check among that, where checks are allowed.
    KeepBack { machine: MachineId, job: RequestId, check: Option<u64> },
    /// Send orders to cancel attempts that were kept back, the first one since `since`, and the connection check
    /// `check` behind them; neither them nor the check later than `write_by`.
    SendCancellations {
        machine: MachineId,
        jobs: Vec<RequestId>,
        check: Option<u64>,
        since: Seconds,
        write_by: Seconds,
    },
    /// Stop a running task.
    Stop { machine: MachineId, job: RequestId, cause: u8 },
    /// Send the connection check (fence) numbered `ask` to the machine. Its answer shows that the machine
    /// received all that was written before.
    SendFence { machine: MachineId, ask: u64 },
    /// Send a probe, to which the machine answers with its report.
    Probe { machine: MachineId },
    /// Keep a connection open to the machine at that address.
    Connect { machine: MachineId, address: String },
    /// The first task is running at the machine: monitor from now on whether the machine is silent.
    Watch { machine: MachineId },
    /// The machine left the list: write what is queued for it, then close its connection, and report that by
    /// [`Input::Departed`].
    Disconnect { machine: MachineId, departure: DepartureId },
    /// For logs and metrics only: an attempt is over for this planner. `unheard`: the machine did not confirm
    /// the cancellation, so a copy may still run.
    AttemptOver {
        job: RequestId,
        machine: MachineId,
        attempt: AttemptNo,
        outcome: Outcome,
        why: Reason,
        unheard: bool,
    },
    /// For logs and metrics only: a copy that may have run although its job is over has ended.
    CopyGone(CopyGone),
    /// For logs and metrics only: number of requests that are answered now because the planner shuts down.
    CutShort { requests: u64 },
    /// Final answer: the task is running.
    Placed { owner: Owner, job: RequestId, body: String },
    /// Final answer: refused; a retry is safe.
    Refused { owner: Owner, job: RequestId, why: Refusal, retry_in_s: Seconds },
    /// Final answer: failed. The task may have run.
    Failed { owner: Owner, job: RequestId },
    /// A running task is over.
    Released { owner: Owner, job: RequestId, outcome: Outcome },
    /// A client violated the protocol: close its connection once it has no pending jobs.
    Expel { link: u64 },
    /// Send messages to another planner, without guaranteed delivery.
    SendToPeer { to: Member, messages: Vec<PeerMessage> },
    /// Subscribe to the machine list.
    Subscribe,
    /// The history has a new change: wake the watchers.
    Changed,
    /// Write a line to the log.
    Log(String),
}

/// A copy that may have run although its job is over, and what shows that it has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyGone {
    /// The copy's job.
    pub job: RequestId,
    /// The machine that held it.
    pub machine: MachineId,
    /// The evidence.
    pub end: CopyEnd,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No machine accepted the job.
    NoRoom,
    /// The deadline passed before a machine accepted the job.
    Deadline,
    /// The planner has reached its limit of pending jobs, or is shutting down.
    Busy,
    /// A copy of an earlier job with the same key may still run.
    CopyMayRun,
    /// A limit of the operators' file rejected the job.
    Limit(Why),
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for its final answer.
    Pending,
    /// Running at a machine.
    Running,
    /// Ran to completion.
    Succeeded,
    /// Refused; a retry is safe.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// Not placed before its deadline.
    DeadlinePassed,
    /// Cancelled or stopped by its owner.
    Cancelled,
    /// Was running, and was lost with its machine, evicted or sent away.
    Lost,
}

impl Phase {
    /// Whether this is a final state.
    pub fn is_over(self) -> bool {
        !matches!(self, Phase::Pending | Phase::Running)
    }
}

/// Bounds on the state that the core keeps.
#[derive(Clone, Copy, Debug)]
pub struct CoreBounds {
    /// Bytes that all pending jobs together may take.
    pub waiting_bytes: usize,
    /// Count. Maximum number of running tasks.
    pub standing: usize,
    /// Count. Changes kept in the history; 0 if watching is not possible.
    pub history: usize,
    /// Count. Finished jobs that are kept for reading.
    pub over: usize,
    /// Seconds for which a finished job is kept.
    pub over_s: Seconds,
}
