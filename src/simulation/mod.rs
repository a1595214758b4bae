//! A planner without a process: the real core, deciders, membership and codecs on a clock and a network that the caller
//! plays. Thousands fit into one process, and the same calls give the same bytes, so that messages and bytes are exact
//! counts.
//!
//! What comes in is what a socket would bring: a line of the machine list, a client's message, a machine's line, a
//! datagram of another planner, the text of the operators' file. What goes out is [`Output`]: the bytes that the program
//! would write, and to whom. The network here takes all bytes at once, so that an offer has left as soon as it is
//! written. Connections, their queues and their health ([`crate::life`] runs those) are not played.
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
use crate::decide::fleet::{Life, Member};
use crate::life::operators::{self, Operators};
use crate::placer::*;
use crate::state::{Core, Effect, GroupAsk, GroupId, Input, Keep, Owner, Refusal, Spec};
use crate::vocabulary;
use crate::wire::peers::words;
use crate::wire::platform::node::{self, cause, SetUp};
use crate::wire::platform::{board, owner, owners};
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// What a planner is started with, beside its settings.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Seed of what the planner draws, and its life among the planners.
    pub seed: u64,
    /// Bytes that all jobs which wait may take.
    pub waiting_bytes: usize,
    /// Tasks that may stand.
    pub standing: usize,
}

impl Default for Start {
    /// What the platform's limit of 192 MB of memory leaves to jobs.
    fn default() -> Self {
        Start { seed: 1, waiting_bytes: 48 << 20, standing: 24_576 }
    }
}

/// Why what came in was not taken.
#[derive(Debug, Error)]
pub enum Rejected {
    /// The settings cannot be served.
    #[error("settings: {0}")]
    Settings(String),
    /// A line of the machine list.
    #[error("machine list: {0}")]
    List(serde_json::Error),
    /// A client's message.
    #[error("request: {0}")]
    Request(String),
    /// A machine's line.
    #[error("machine: {0}")]
    Machine(String),
    /// A datagram of another planner.
    #[error("datagram: {0}")]
    Datagram(String),
    /// The operators' file; one line for each fault.
    #[error("operators' file: {}", .0.join("; "))]
    Operators(Vec<String>),
    /// A group that the operators' file does not allow.
    #[error("group: {0}")]
    Group(String),
}

/// What a planner would do outside.
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
        /// Its place in the list of planners.
        planner: u16,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A connection to the machine is to be held.
    Connect {
        /// The machine.
        machine: MachineId,
        /// Where it listens.
        address: String,
    },
    /// The machine is gone, and its connection with it.
    Disconnect {
        /// The machine.
        machine: MachineId,
    },
}

/// A group of like members, as a client asks for it.
#[derive(Clone, Debug)]
pub struct GroupRequest {
    /// Its id; never used twice.
    pub id: u64,
    /// Name of the class of all members.
    pub class: String,
    /// The service of all members.
    pub service: String,
    /// What each member asks for.
    pub room: Room,
    /// How many they are.
    pub members: usize,
    /// Seconds until its client gives up on it.
    pub deadline_s: Seconds,
}

/// One planner.
pub struct Planner {
    core: Core,
    start: Start,
    fleet: Option<FleetSettings>,
    effects: Vec<Effect>,
    /// Tests of machines so far.
    probes: u64,
}

impl Planner {
    /// A planner that knows only its settings, in the platform's form.
    ///
    /// # Errors
    /// If the settings cannot be served.
    pub fn new(settings: &Value, start: Start) -> Result<Planner, Rejected> {
        let (settings, words) = vocabulary::settings(settings).map_err(Rejected::Settings)?;
        let keep = Keep {
            waiting_bytes: start.waiting_bytes,
            standing: start.standing,
            history: 0,
            over: 0,
            over_s: 0.0,
        };
        let core = Core::new(settings, words, start.seed, keep);
        let core = core.map_err(|error| Rejected::Settings(error.to_string()))?;
        Ok(Planner { core, start, fleet: None, effects: Vec::new(), probes: 0 })
    }

    /// Takes the text of an operators' file in. The first one that names a fleet has the planner join it; what a later
    /// one says of the fleet is not looked at.
    ///
    /// # Errors
    /// All its faults; what was in force stays.
    pub fn configure(&mut self, now: Seconds, text: &str, out: &mut Vec<Output>) -> Result<(), Rejected> {
        let operators = self.read(text)?;
        if let (None, Some(fleet)) = (&self.fleet, operators.fleet) {
            let (plan, life) = (fleet.plan.clone(), self.life());
            self.fleet = Some(fleet);
            self.apply(now, Input::Join { plan, life }, out);
        }
        let (table, digest) = (operators.limits, operators.digest);
        self.apply(now, Input::Limits { table, digest }, out);
        self.apply(now, Input::GroupSettings(operators.groups), out);
        Ok(())
    }

    /// Reads the text of an operators' file and holds it against the settings, without taking it in.
    ///
    /// # Errors
    /// All its faults.
    pub fn check(&mut self, text: &str) -> Result<(), Rejected> {
        self.read(text).map(|_| ())
    }

    fn read(&mut self, text: &str) -> Result<Operators, Rejected> {
        let path = Path::new("operators.json5");
        let text = crate::document::Text::new(path.to_string_lossy(), text);
        let settings = self.core.settings().clone();
        let read = operators::read(path, &text, &settings, self.core.words());
        read.map_err(|faults| Rejected::Operators(faults.lines()))
    }

    fn life(&self) -> Life {
        self.start.seed
    }

    /// Takes a line of the machine list in: a change, or the whole list.
    ///
    /// # Errors
    /// If the line cannot be read.
    pub fn list(&mut self, now: Seconds, line: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        self.list_as(now, line, None, out)
    }

    /// Takes a line of the machine list in as the list that was kept from before a restart.
    ///
    /// # Errors
    /// If the line cannot be read.
    pub fn kept_list(&mut self, now: Seconds, line: &[u8], out: &mut Vec<Output>) -> Result<(), Rejected> {
        self.list_as(now, line, Some(ListKind::Persisted), out)
    }

    fn list_as(
        &mut self,
        now: Seconds,
        line: &[u8],
        kind: Option<ListKind>,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        if let board::Line::Event(event) = board::read(line).map_err(Rejected::List)? {
            let (told, notices) = event.notices(self.core.words());
            self.apply(now, Input::List { kind: kind.unwrap_or(told), notices }, out);
        }
        Ok(())
    }

    /// Takes one message of a client in: a set-up, a task that stands already, or a release.
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
        let wrong = |error: owner::Malformed| Rejected::Request(error.to_string());
        let whole = owner::take(bytes).map_err(wrong)?;
        let (_, message) = whole.ok_or_else(|| Rejected::Request("half a message".into()))?;
        let input = match message.kind {
            owner::kind::SET_UP => {
                owners::request(&mut self.core, now, connection, &message).map_err(wrong)?
            }
            owner::kind::RELEASE => {
                let cause = message.cause().map_err(wrong)?.unwrap_or(cause::OVER);
                Input::Cancel { job: RequestId(message.task), cause }
            }
            _ => return Ok(()),
        };
        self.apply(now, input, out);
        Ok(())
    }

    /// Takes a group in.
    ///
    /// # Errors
    /// If the operators' file in force allows no such group.
    pub fn group(
        &mut self,
        now: Seconds,
        group: &GroupRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let wrong = |why: &str| Rejected::Group(why.into());
        let settings = self.core.group_settings().ok_or_else(|| wrong("groups are off"))?;
        let class = self.core.words().class(&group.class).ok_or_else(|| wrong("unknown class"))?;
        let figures = settings.figures(&vec![(class, group.service.as_str()); group.members]);
        if group.members > figures.members {
            return Err(wrong("too many members"));
        }
        let deadline = now + group.deadline_s;
        let task = Task {
            class,
            tenant: None,
            service: ServiceId(vocabulary::key(&group.service).0),
            room: group.room,
            deadline,
            life_s: None,
            limits: TaskLimits::default(),
        };
        let spec = Arc::new(Spec {
            class: group.class.clone(),
            name: "0".repeat(16),
            service: group.service.clone(),
            ..Spec::default()
        });
        let ask = GroupAsk {
            group: GroupId(group.id),
            members: vec![(spec, task); group.members],
            deadline,
            policy: figures.policy(crate::decide::groups::OnLoss::Cut),
            share: figures.share,
            key: None,
            digest: 0,
        };
        self.apply(now, Input::SubmitGroup(ask), out);
        Ok(())
    }

    /// Takes one line of a machine in, without its end.
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
        let says = node::read(line).map_err(|error| Rejected::Machine(error.to_string()))?;
        if let Some(input) = says.input(machine, self.core.words()) {
            self.apply(now, input, out);
        }
        Ok(())
    }

    /// The connection to a machine is up.
    pub fn connected(&mut self, now: Seconds, machine: MachineId, out: &mut Vec<Output>) {
        self.apply(now, Input::LinkUp { machine }, out);
    }

    /// Takes a datagram of another planner in.
    ///
    /// # Errors
    /// If it cannot be read, is of another fleet, or does not come from where it says.
    pub fn datagram(
        &mut self,
        now: Seconds,
        from: u16,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Rejected> {
        let wrong = |why: String| Rejected::Datagram(why);
        let fleet = self.fleet.as_ref().ok_or_else(|| wrong("the planner is in no fleet".into()))?;
        let letter = words::read(fleet.digest(), bytes).map_err(|error| wrong(error.to_string()))?;
        if letter.from != from {
            return Err(wrong("it names another planner".into()));
        }
        let input = Input::Peer { from: (letter.from, letter.life), words: letter.words };
        self.apply(now, input, out);
        Ok(())
    }

    /// When [`Planner::tick`] is wanted next.
    pub fn next_alarm(&self) -> Option<Seconds> {
        self.core.next_alarm()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.apply(now, Input::Tick, out);
    }

    /// Machines that all picks so far have looked at.
    pub fn looked_at(&self) -> u64 {
        self.core.looked_at()
    }

    /// Tasks that stand at a machine.
    pub fn standing_at(&self, machine: MachineId) -> usize {
        self.core.standing_at(machine)
    }

    /// Jobs and groups that wait for their final answer.
    pub fn pending(&self) -> usize {
        self.core.pending()
    }

    /// Planners heard lately, and whether this planner holds its own slot; nothing where it is in no fleet.
    pub fn membership(&mut self, now: Seconds) -> Option<(usize, bool)> {
        let own = self.fleet.as_ref()?.plan.place.0;
        let view = self.core.fleet_view(now)?;
        Some((view.here, view.slots.iter().any(|(slot, _)| *slot == own)))
    }

    fn apply(&mut self, now: Seconds, input: Input, out: &mut Vec<Output>) {
        let mut effects = std::mem::take(&mut self.effects);
        self.core.apply(now, input, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(now, effect, out);
        }
        self.effects = effects;
    }

    fn carry_out(&mut self, now: Seconds, effect: Effect, out: &mut Vec<Output>) {
        let to_machine = |machine, bytes| Output::ToMachine { machine, bytes };
        match effect {
            Effect::Launch { machine, job, attempt, left_s, fence, spec } => {
                let set_up = SetUp { job, attempt, until: now + left_s, fence, spec };
                out.push(to_machine(machine, set_up.lines(now)));
                // Its first byte has left; nothing follows from that yet.
                self.core.apply(now, Input::Sent { job, attempt }, &mut Vec::new());
            }
            Effect::GiveUp { machine, job } => out.push(to_machine(machine, node::stop(job, cause::OVER))),
            Effect::Stop { machine, job, cause } => out.push(to_machine(machine, node::stop(job, cause))),
            Effect::Ask { machine, ask } => out.push(to_machine(machine, node::check(node::PROOF | ask))),
            Effect::Probe { machine } => {
                self.probes += 1;
                out.push(to_machine(machine, node::check(self.probes)));
            }
            Effect::Connect { machine, address } => out.push(Output::Connect { machine, address }),
            Effect::Disconnect { machine, departure } => {
                out.push(Output::Disconnect { machine });
                let mut follows = Vec::new();
                self.core.apply(now, Input::Departed { departure, proved: true }, &mut follows);
                follows.into_iter().for_each(|effect| self.carry_out(now, effect, out));
            }
            Effect::Placed { owner, job, body } => {
                let answer = owner::answer(job.0, &body);
                let bytes = answer.unwrap_or_else(|| owner::release(job.0, cause::ERROR, None));
                out.extend(to_client(owner, bytes));
            }
            Effect::Refused { owner, job, why, retry_in_s } => {
                let cause = match why {
                    Refusal::NoRoom => cause::FULL,
                    Refusal::Busy | Refusal::Limit(_) => cause::BUSY,
                    Refusal::Deadline => cause::MOOT,
                };
                let stay_away_ms = (retry_in_s * 1e3).round().max(0.0) as u64;
                out.extend(to_client(owner, owner::release(job.0, cause, Some(stay_away_ms))));
            }
            Effect::Failed { owner, job } => {
                out.extend(to_client(owner, owner::release(job.0, cause::ERROR, None)));
            }
            Effect::Released { owner, job, outcome } => {
                let cause = if outcome == Outcome::Ok { cause::OVER } else { cause::RESET };
                out.extend(to_client(owner, owner::release(job.0, cause, None)));
            }
            Effect::Say { to, words } => self.say(to, &words, out),
            // What concerns the connections alone: a simulated one has no timer to set anew.
            Effect::Watch { .. } | Effect::Expel { .. } => {}
            Effect::AttemptOver { .. } | Effect::CutShort { .. } => {}
            Effect::Subscribe | Effect::Changed | Effect::Log(_) => {}
        }
    }

    fn say(&self, to: Member, said: &[crate::decide::budgets::Word], out: &mut Vec<Output>) {
        let Some(fleet) = &self.fleet else { return };
        let own = fleet.plan.place.0;
        for bytes in words::write(fleet.digest(), own, self.life(), said) {
            out.push(Output::ToPlanner { planner: to, bytes });
        }
    }
}

/// Bytes on the connection that a job came on, where it came on one.
fn to_client(owner: Owner, bytes: Vec<u8>) -> Option<Output> {
    match owner {
        Owner::Link(connection) => Some(Output::ToClient { connection, bytes }),
        Owner::Rest | Owner::Group { .. } => None,
    }
}

#[cfg(test)]
mod tests;
