//! The words between the core and the world: what happens, what is to be done, and how jobs stand.

use super::DepartureId;
use crate::decide::budgets::{Plan, Word};
use crate::decide::fleet::{Life, Member};
use crate::decide::groups::settings::GroupSettings;
use crate::decide::groups::Policy;
use crate::decide::limits::{Table, Why};
use crate::placer::{
    AttemptNo, Entry, ListKind, MachineId, Note, Outcome, Reason, Report, RequestId, Seconds, Task,
};
use std::sync::Arc;

/// Who waits for word of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// A connection of the platform's front.
    Link(u64),
    /// The REST front, whose clients look at the job itself.
    Rest,
    /// A group, of which it is a member.
    Group {
        /// The group.
        group: GroupId,
        /// The member's number.
        member: usize,
    },
}

/// A group, by the id that its front gave it; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);

/// A group as a front hands it in.
#[derive(Clone, Debug)]
pub struct GroupAsk {
    /// The front's id.
    pub group: GroupId,
    /// What travels on with each member, and what the module needs to know of it.
    pub members: Vec<(Arc<Spec>, Task)>,
    /// When its owner gives up on it.
    pub deadline: Seconds,
    /// How it is to be handled.
    pub policy: Policy,
    /// The most of the fleet that it may ask for, as a share.
    pub share: f64,
    /// The key that all asks for it share.
    pub key: Option<String>,
    /// Tells a retry from another group under the same key.
    pub digest: u64,
}

/// What is owed on a connection of the platform's front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Owed {
    /// Jobs that wait for their final answer.
    pub open: usize,
    /// Tasks that stand.
    pub standing: usize,
}

/// What travels with a job unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// Name of the class.
    pub class: String,
    /// Name of the task.
    pub name: String,
    /// The service, in its owner's words.
    pub service: String,
    /// The key that all tries of a keyed task share.
    pub key: Option<String>,
    /// The description.
    pub body: String,
    /// Tells a retry from another job under the same key; nought where the front does not join retries.
    pub digest: u64,
}

/// A job as a front hands it in.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The front's id; never used twice.
    pub job: RequestId,
    /// Who waits.
    pub owner: Owner,
    /// What travels on.
    pub spec: Arc<Spec>,
    /// What the module needs to know.
    pub task: Task,
}

/// A machine as the list tells of it.
#[derive(Clone, Debug)]
pub struct Notice {
    /// The entry for the module.
    pub entry: Entry,
    /// Where it listens.
    pub address: String,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Word on the list of machines.
    List { kind: ListKind, notices: Vec<Notice> },
    /// A job to be placed.
    Submit(Ask),
    /// A task that runs already.
    Adopt { ask: Ask, machine: MachineId },
    /// A group to be placed whole or not at all.
    SubmitGroup(GroupAsk),
    /// The owner of a group gives it up, or ends it.
    CancelGroup { group: GroupId },
    /// The planner stops: groups that do not stand whole are given up, and every request has its answer by that time; what
    /// comes later is refused. May come again with an earlier time.
    Draining { until: Seconds },
    /// A connection to the machine is up.
    LinkUp { machine: MachineId },
    /// An owner gives the job up, or ends the task that stands; `cause` goes on to its machine.
    Cancel { job: RequestId, cause: u8 },
    /// A connection of owners is gone: what is open on it is given up, what stands stays.
    OwnerGone { link: u64 },
    /// Nothing that comes on a connection of owners can be heard any more: what is open on it is failed, what stands stays.
    OwnerFaulty { link: u64 },
    /// The first byte of an attempt left the process.
    Sent { job: RequestId, attempt: AttemptNo },
    /// A machine says that the task stands.
    Bound { machine: MachineId, job: RequestId, body: String },
    /// A machine says that an attempt or a standing task is over.
    Ended {
        machine: MachineId,
        job: RequestId,
        before: Outcome,
        after: Outcome,
        why: Reason,
        report: Option<Report>,
    },
    /// The machine answered on the connection on which it was asked: all that was written there before came to it.
    Heard { machine: MachineId, ask: u64 },
    /// A machine sends a note on a task.
    Noted { machine: MachineId, job: RequestId, note: Note },
    /// A probe was answered or failed.
    Probed { machine: MachineId, outcome: Outcome, report: Option<Report> },
    /// No connection to the machine came up: what waits to be sent never ran.
    DialFailed { machine: MachineId },
    /// The machine refuses connections: its process is gone, or it drains and takes no new ones.
    /// It told of no task, and took no connection, for so long.
    DialRefused { machine: MachineId, quiet_s: Seconds },
    /// A connection to the machine ended: what was sent on it may have run. It runs no more where `proved`: the machine
    /// ended the connection, too, and gave up what was open on it.
    LinkBroken { machine: MachineId, proved: bool },
    /// The connection to a machine that left the list has ended; `proved` as above.
    Departed { departure: DepartureId, proved: bool },
    /// The machine or its process is gone with all it held; it may only be out of reach where nothing proves it.
    MachineLost { machine: MachineId, proved: bool },
    /// The operators' limits, checked and compiled, are to be in force for the jobs that come from now on.
    Limits { table: Arc<Table>, digest: String },
    /// What holds for groups that come from now on; nothing where groups are off.
    GroupSettings(Option<Arc<GroupSettings>>),
    /// A new operators' file was refused; what is in force stays.
    LimitsRefused { why: Vec<String> },
    /// The planner takes part in a fleet; once, before anything else.
    Join { plan: Plan, life: Life },
    /// Words of another planner, in one of its lives.
    Peer { from: (Member, Life), words: Vec<Word> },
    /// Time has passed.
    Tick,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Offer the job to the machine; where a fence is there, this test goes right before it.
    Launch {
        machine: MachineId,
        job: RequestId,
        attempt: AttemptNo,
        left_s: Seconds,
        fence: Option<u64>,
        spec: Arc<Spec>,
    },
    /// Take an attempt back: out of the queue if it is there still, else by message.
    GiveUp { machine: MachineId, job: RequestId },
    /// End a task that stands.
    Stop { machine: MachineId, job: RequestId, cause: u8 },
    /// Ask the machine, after all that was written to it before, to say that it hears.
    Ask { machine: MachineId, ask: u64 },
    /// Ask the machine for its report.
    Probe { machine: MachineId },
    /// Hold a connection to the machine, which listens there.
    Connect { machine: MachineId, address: String },
    /// Tasks stand at a machine where none stood: its silence is watched from now on.
    Watch { machine: MachineId },
    /// The machine left the list: what waits for it is written, then its connection is ended, and [`Input::Departed`] tells
    /// of that.
    Disconnect { machine: MachineId, departure: DepartureId },
    /// For logs and counts alone: an attempt is over for this planner, and why; unheard where a copy of it may be out.
    AttemptOver {
        job: RequestId,
        machine: MachineId,
        attempt: AttemptNo,
        outcome: Outcome,
        why: Reason,
        unheard: bool,
    },
    /// For logs and counts alone: so many requests are answered now because the planner stops.
    CutShort { requests: u64 },
    /// Final answer: the task stands.
    Placed { owner: Owner, job: RequestId, body: String },
    /// Final answer: refused; trying again is harmless.
    Refused { owner: Owner, job: RequestId, why: Refusal, retry_in_s: Seconds },
    /// Final answer: failed.
    Failed { owner: Owner, job: RequestId },
    /// A task that stood is over.
    Released { owner: Owner, job: RequestId, outcome: Outcome },
    /// An owner does what no owner does: its connection is closed once nothing is open on it.
    Expel { link: u64 },
    /// Words to another planner; they may be lost.
    Say { to: Member, words: Vec<Word> },
    /// Follow the list of machines.
    Subscribe,
    /// Jobs or machines changed: watchers have something to read.
    Changed,
    /// A line for the log.
    Log(String),
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No machine took it.
    NoRoom,
    /// Its time was up before a machine took it.
    Deadline,
    /// The planner holds all the jobs that it can.
    Busy,
    /// A limit of the operators' file.
    Limit(Why),
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits to be placed.
    Pending,
    /// Stands at a machine.
    Running,
    /// Ran to its end.
    Succeeded,
    /// Turned away; asking again is harmless.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// Not placed before its deadline.
    DeadlinePassed,
    /// Ended by its owner.
    Cancelled,
    /// Stood, and was lost with its machine, evicted or sent away.
    Lost,
}

impl Phase {
    /// Whether nothing more will come.
    pub fn is_over(self) -> bool {
        !matches!(self, Phase::Pending | Phase::Running)
    }
}

/// How much the core keeps.
#[derive(Clone, Copy, Debug)]
pub struct Keep {
    /// Bytes that all jobs which wait may take.
    pub waiting_bytes: usize,
    /// Tasks that may stand.
    pub standing: usize,
    /// Changes kept; none where nobody can watch.
    pub history: usize,
    /// Jobs that are over and can still be looked at.
    pub over: usize,
    /// Seconds for which they can.
    pub over_s: Seconds,
}
