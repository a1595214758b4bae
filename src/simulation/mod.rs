//! Simulates a planner without a process: the real core, decision modules, fleet membership and codecs run on
//! a clock and a network that the caller provides. Thousands of planners fit into one process. The same calls
//! give the same bytes, so that counts of messages and bytes are exact.
//!
//! The inputs are those that a socket or file would bring: a line of the machine list, a client's message, a
//! machine's line, a datagram of another planner, the text of the operators' file. Each [`Output`] holds the
//! bytes that the program would write, and their receiver. The simulated network accepts all bytes at once:
//! an offer counts as sent as soon as it is written. Connections, with their queues and health checks
//! ([`crate::life`] runs those), are not simulated.
//!
//! ```
//! use burlhook::simulation::{Output, Planner, Start};
//! use serde_json::json;
//!
//! let settings = json!({
//!     "areas": ["north"], "kinds": ["std"], "membership_mode": "push", "n_instances": 1, "tick_s": 0.002,
//!     "family_info": {
//!         "apart_by": ["silent"], "class_kind": [-1], "cold_bears": 50, "cores_multiple": 1, "free_by": "used",
//!         "mem_booking": 1, "memory_by_kind": [64], "prompt_start_s": [8], "says_yes": "running",
//!         "shows_free": true, "size_cores": [32], "spread_most": [2]
//!     },
//!     "grades": [{
//!         "name": "stateless", "deadline_s": 8, "idempotency": "repeatable", "importance": 1, "on_time_s": 1
//!     }],
//!     "permissions": {"max_attempts": 4, "probes": true},
//!     "report": {"fields": ["x0", "x1"], "source": "piggyback"},
//!     "rules": {"ask_every_s": 10, "fall_s": 2, "warm_within_s": 16}
//! });
//! let mut planner = Planner::new(&settings, Start::default())?;
//! let mut outputs = Vec::new();
//! let list = br#"{"rev": 1, "pool": {"reset": true, "instances": [{"instanceId": "m-1", "hostPort": "10.0.0.1:80",
//!     "zone": "north", "machineType": "std", "lifecycle": "in_service", "free": [32, 64]}]}}"#;
//! planner.list(100.0, list, &mut outputs)?;
//! assert!(matches!(&outputs[..], [Output::Connect { address, .. }] if address == "10.0.0.1:80"));
//! # Ok::<(), burlhook::simulation::Rejected>(())
//! ```

use crate::decide::fleet::settings::FleetSettings;
use crate::decide::fleet::{Incarnation, Member};
use crate::decide::machine_loss::ConnectionEnd;
use crate::life::operators::{self, Operators};
use crate::placer::*;
use crate::state::{Core, CoreBounds, Effect, GroupId, GroupSubmission, Input, Owner, Refusal, Spec};
use crate::vocabulary;
use crate::wire::peers::codec;
use crate::wire::platform::node::{self, cause, SetUp};
use crate::wire::platform::{discovery, owner, owners};
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// Start parameters of a planner, beside its settings.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Seed of the planner's random draws. It is also the planner's incarnation number in its fleet.
    pub seed: u64,
    /// Bytes that all pending jobs together may take.
    pub waiting_bytes: usize,
    /// Maximum number of running tasks.
    pub standing: usize,
}

impl Default for Start {
    /// The part of the platform's memory limit of 192 MB that is left for jobs.
    fn default() -> Self {
        Start { seed: 1, waiting_bytes: 48 << 20, standing: 24_576 }
    }
}

/// Why an input was rejected.
#[derive(Debug, Error)]
pub enum Rejected {
    /// No planner can work with the settings.
    #[error("settings: {0}")]
    Settings(String),
    /// A line of the machine list cannot be read.
    #[error("machine list: {0}")]
    List(serde_json::Error),
    /// A client's message cannot be used.
    #[error("request: {0}")]
    Request(String),
    /// A machine's line cannot be read.
    #[error("machine: {0}")]
    Machine(String),
    /// A datagram of another planner cannot be used.
    #[error("datagram: {0}")]
    Datagram(String),
    /// The operators' file has faults: one line for each.
    #[error("operators' file: {}", .0.join("; "))]
    Operators(Vec<String>),
    /// The operators' file does not allow the group.
    #[error("group: {0}")]
    Group(String),
}

/// An output of a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Bytes on the connection to a machine.
    ToMachine {
        /// The machine.
        machine: MachineId,
        /// One or more lines.
        bytes: Vec<u8>,
    },
    /// Bytes on a client's connection.
    ToClient {
        /// The connection that the request came on.
        connection: u64,
        /// One message.
        bytes: Vec<u8>,
    },
    /// A datagram to another planner.
    ToPlanner {
        /// Its index in the list of planners.
        planner: u16,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The planner wants a connection to the machine.
    Connect {
        /// The machine.
        machine: MachineId,
        /// The address at which it listens.
        address: String,
    },
    /// The machine was removed: its connection is to be closed.
    Disconnect {
        /// The machine.
        machine: MachineId,
    },
}

/// A client's request for a group of identical members.
#[derive(Clone, Debug)]
pub struct GroupRequest {
    /// Its id, which is never used twice.
    pub id: u64,
    /// Name of the members' class.
    pub class: String,
    /// The members' service.
    pub service: String,
    /// Cores and memory that each member requests.
    pub room: Room,
    /// Number of members.
    pub members: usize,
    /// Time until the client gives up on it, in seconds.
    pub deadline_s: Seconds,
}

/// A simulated planner.
pub struct Planner {
    core: Core,
    start: Start,
    fleet: Option<FleetSettings>,
    effects: Vec<Effect>,
    /// Number of probes sent so far, which is the number of the last probe.
    probes: u64,
}

impl Planner {
    /// Creates a planner that knows only its settings, which have the platform's form.
    ///
    /// # Errors
    /// If no planner can work with the settings.
    pub fn new(settings: &Value, start: Start) -> Result<Planner, Rejected> {
        let (settings, names) = vocabulary::settings(settings).map_err(Rejected::Settings)?;
        let bounds = CoreBounds {
            waiting_bytes: start.waiting_bytes,
            standing: start.standing,
            history: 0,
            over: 0,
            over_s: 0.0,
        };
        let core = Core::new(settings, names, start.seed, bounds);
        let core = core.map_err(|error| Rejected::Settings(error.to_string()))?;
        Ok(Planner { core, start, fleet: None, effects: Vec::new(), probes: 0 })
    }

    /// Applies the text of an operators' file. The planner joins the fleet of the first file that names one.
    /// The fleet in later files is ignored.
    ///
    /// # Errors
    /// All faults of the file. The previous file stays in force.
    pub fn configure(&mut self, now: Seconds, text: &str, out: &mut Vec<Output>) -> Result<(), Rejected> {
        let operators = self.read(text)?;
        if let (None, Some(fleet)) = (&self.fleet, operators.fleet) {
            let (plan, incarnation) = (fleet.plan.clone(), self.incarnation());
            self.fleet = Some(fleet);
            self.apply(now, Input::Join { plan, incarnation }, out);
        }
        let (table, digest) = (operators.limits, operators.digest);
        self.apply(now, Input::Limits { table, digest }, out);
        self.apply(now, Input::GroupSettings(operators.groups), out);
        Ok(())
    }

    /// Checks the text of an operators' file against the settings, without applying it.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn check(&mut self, text: &str) -> Result<(), Rejected> {
        self.read(text).map(|_| ())
    }

    fn read(&mut self, text: &str) -> Result<Operators, Rejected> {
        let path = Path::new("operators.json5");
        let text = crate::document::Text::new(path.to_string_lossy(), text);
        let settings = self.core.settings().clone();
        let operators = operators::read(path, &text, &settings, self.core.vocabulary());
        operators.map_err(|faults| Rejected::Operators(faults.lines()))
    }

    fn incarnation(&self) -> Incarnation {
        self.start.seed
    }

    /// Applies a line of the machine list: a change, or the whole list.
    ///
    /// # Errors
    /// If the line cannot be read.
    pub fn list(&mut self, now: Seconds, line: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        self.apply_list(now, line, None, out)
    }

    /// Applies a line of the machine list as the list that was saved before a restart.
    ///
    /// # Errors
    /// If the line cannot be read.
    pub fn kept_list(&mut self, now: Seconds, line: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        self.apply_list(now, line, Some(ListKind::Persisted), out)
    }

    fn apply_list(
        &mut self,
        now: Seconds,
        line: &[u8],
        kind: Option<ListKind>,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        if let discovery::Line::Event(event) = discovery::read(line).map_err(Rejected::List)? {
            let (listed_kind, notices) = event.notices(self.core.vocabulary());
            self.apply(now, Input::List { kind: kind.unwrap_or(listed_kind), notices }, out);
        }
        Ok(())
    }

    /// Applies one message of a client: a set-up, a task that already runs, or a release.
    ///
    /// # Errors
    /// If the message cannot be used.
    pub fn request(
        &mut self,
        now: Seconds,
        connection: u64,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let rejected = |error: owner::Malformed| Rejected::Request(error.to_string());
        let frame = owner::take(bytes).map_err(rejected)?;
        let (_, message) = frame.ok_or_else(|| Rejected::Request("the message is incomplete".into()))?;
        let input = match message.kind {
            owner::kind::SET_UP => {
                owners::set_up_input(&mut self.core, now, connection, &message).map_err(rejected)?
            }
            owner::kind::RELEASE => {
                let cause = message.cause().map_err(rejected)?.unwrap_or(cause::OVER);
                Input::OwnerRelease { link: connection, job: RequestId(message.task), cause }
            }
            _ => return Ok(()),
        };
        self.apply(now, input, out);
        Ok(())
    }

    /// Submits a group.
    ///
    /// # Errors
    /// If the operators' file in force allows no such group.
    pub fn group(
        &mut self,
        now: Seconds,
        group: &GroupRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let rejected = |why: &str| Rejected::Group(why.into());
        let settings = self
            .core
            .group_settings()
            .ok_or_else(|| rejected("the operators' file has no section for groups"))?;
        let class = self.core.vocabulary().class(&group.class).ok_or_else(|| rejected("unknown class"))?;
        let figures = settings.figures(&vec![(class, group.service.as_str()); group.members]);
        if group.members > figures.members {
            return Err(rejected("too many members"));
        }
        let deadline = now + group.deadline_s;
        let task = Task {
            class,
            tenant: None,
            service: ServiceId(vocabulary::key(&group.service).0),
            room: group.room,
            deadline,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let spec = Arc::new(Spec {
            class: group.class.clone(),
            name: "0".repeat(16),
            service: group.service.clone(),
            ..Spec::default()
        });
        let submission = GroupSubmission {
            group: GroupId(group.id),
            members: vec![(spec, task); group.members],
            deadline,
            policy: figures.policy(crate::decide::groups::OnLoss::Cut),
            share: figures.share,
            key: None,
            digest: 0,
        };
        self.apply(now, Input::SubmitGroup(submission), out);
        Ok(())
    }

    /// Applies one line of a machine, without its line end.
    ///
    /// # Errors
    /// If the line cannot be read.
    pub fn answer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        line: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let message = node::read(line).map_err(|error| Rejected::Machine(error.to_string()))?;
        if let Some(input) = message.input(machine, self.core.vocabulary()) {
            self.apply(now, input, out);
        }
        Ok(())
    }

    /// The connection to a machine is up.
    pub fn connected(&mut self, now: Seconds, machine: MachineId, out: &mut Vec<Output>) {
        self.apply(now, Input::LinkUp { machine }, out);
    }

    /// Applies a datagram of another planner.
    ///
    /// # Errors
    /// If it cannot be read, belongs to another fleet, or names another sender than `from`.
    pub fn datagram(
        &mut self,
        now: Seconds,
        from: u16,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let rejected = |why: String| Rejected::Datagram(why);
        let fleet = self.fleet.as_ref().ok_or_else(|| rejected("this planner is in no fleet".into()))?;
        let datagram = codec::read(fleet.digest(), bytes).map_err(|error| rejected(error.to_string()))?;
        if datagram.from != from {
            return Err(rejected("it names another planner as its sender".into()));
        }
        let input = Input::Peer { from: (datagram.from, datagram.incarnation), messages: datagram.messages };
        self.apply(now, input, out);
        Ok(())
    }

    /// The time at which [`Planner::tick`] is due next.
    pub fn next_alarm(&self) -> Option<Seconds> {
        self.core.next_alarm()
    }

    /// Advances the clock to `now`, and handles what is due.
    pub fn tick(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.apply(now, Input::Tick, out);
    }

    /// Number of machines that all placements so far have examined.
    pub fn machines_examined(&self) -> u64 {
        self.core.machines_examined()
    }

    /// Number of tasks that run at a machine.
    pub fn running_at(&self, machine: MachineId) -> usize {
        self.core.running_at(machine)
    }

    /// Number of jobs and groups that wait for their final answer.
    pub fn pending(&self) -> usize {
        self.core.pending()
    }

    /// Number of planners from which datagrams came recently, and whether this planner holds its own slot.
    /// `None` if it is in no fleet.
    pub fn membership(&mut self, now: Seconds) -> Option<(usize, bool)> {
        let own = self.fleet.as_ref()?.plan.place.0;
        let view = self.core.fleet_view(now)?;
        Some((view.here, view.slots.iter().any(|(slot, _)| *slot == own)))
    }

    fn apply(&mut self, now: Seconds, input: Input, out: &mut Vec<Output>) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.apply(now, input, &mut effects);
        for effect in effects.drain(..) {
            self.perform(now, effect, out);
        }
        self.effects = effects;
    }

    fn perform(&mut self, now: Seconds, effect: Effect, out: &mut Vec<Output>) {
        let to_machine = |machine, bytes| Output::ToMachine { machine, bytes };
        match effect {
            Effect::Launch { machine, job, attempt, left_s, fence, spec } => {
                let set_up = SetUp { job, attempt, until: now + left_s, fence, spec };
                out.push(to_machine(machine, set_up.lines(now)));
                // The offer counts as sent at once. That alone causes no effects.
                self.core.apply(now, Input::Sent { job, attempt }, &mut Vec::new());
            }
            Effect::CancelAttempt { machine, job } => {
                out.push(to_machine(machine, node::stop(job, cause::OVER)))
            }
            Effect::KeepBack { .. } => {}
            Effect::SendCancellations { machine, jobs, check, .. } => {
                out.extend(jobs.iter().map(|job| to_machine(machine, node::stop(*job, cause::OVER))));
                out.extend(check.map(|check| to_machine(machine, node::check(node::FENCE_FLAG | check))));
            }
            Effect::Stop { machine, job, cause } => out.push(to_machine(machine, node::stop(job, cause))),
            Effect::SendFence { machine, ask } => {
                out.push(to_machine(machine, node::check(node::FENCE_FLAG | ask)))
            }
            Effect::Probe { machine } => {
                self.probes += 1;
                out.push(to_machine(machine, node::check(self.probes)));
            }
            Effect::Connect { machine, address } => out.push(Output::Connect { machine, address }),
            Effect::Disconnect { machine, departure } => {
                out.push(Output::Disconnect { machine });
                let mut follow_ups = Vec::new();
                let end = ConnectionEnd::SeenByMachine;
                self.core.apply(now, Input::Departed { departure, end }, &mut follow_ups);
                follow_ups.into_iter().for_each(|effect| self.perform(now, effect, out));
            }
            Effect::Placed { owner, job, body } => {
                let answer = owner::answer(job.0, &body);
                let bytes = answer.unwrap_or_else(|| owner::release(job.0, cause::ERROR, None));
                out.extend(to_client(owner, bytes));
            }
            Effect::Refused { owner, job, why, retry_in_s } => {
                let cause = match why {
                    Refusal::NoRoom => cause::FULL,
                    Refusal::Busy | Refusal::CopyMayRun | Refusal::Limit(_) => cause::BUSY,
                    Refusal::Deadline => cause::MOOT,
                };
                let retry_in_ms = (retry_in_s * 1e3).round().max(0.0) as u64;
                out.extend(to_client(owner, owner::release(job.0, cause, Some(retry_in_ms))));
            }
            Effect::Failed { owner, job } => {
                out.extend(to_client(owner, owner::release(job.0, cause::ERROR, None)));
            }
            Effect::Released { owner, job, outcome } => {
                let cause = if outcome == Outcome::Ok { cause::OVER } else { cause::RESET };
                out.extend(to_client(owner, owner::release(job.0, cause, None)));
            }
            Effect::SendToPeer { to, messages } => self.send_to_planner(to, &messages, out),
            // Effects on connections alone: a simulated connection has no timers.
            Effect::Watch { .. } | Effect::Expel { .. } => {}
            Effect::AttemptOver { .. } | Effect::CopyGone(_) | Effect::CutShort { .. } => {}
            Effect::Subscribe | Effect::Changed | Effect::Log(_) => {}
        }
    }

    fn send_to_planner(
        &self,
        to: Member,
        messages: &[crate::decide::budgets::PeerMessage],
        out: &mut Vec<Output>,
    ) {
        let Some(fleet) = &self.fleet else { return };
        let own = fleet.plan.place.0;
        for bytes in codec::write(fleet.digest(), own, self.incarnation(), messages) {
            out.push(Output::ToPlanner { planner: to, bytes });
        }
    }
}

/// Bytes on the connection on which a job came; none if it did not come on a connection.
fn to_client(owner: Owner, bytes: Vec<u8>) -> Option<Output> {
    match owner {
        Owner::Link(connection) => Some(Output::ToClient { connection, bytes }),
        Owner::Rest | Owner::Group { .. } => None,
    }
}

#[cfg(test)]
mod tests;
