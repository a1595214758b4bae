//! A hollow planner: the real core, decision modules and codecs ([`burlhook::simulation`]) in this process on
//! a simulated clock, with simulated machines that answer immediately and keep no state.

mod bytes;
pub mod operators;

pub use bytes::{change_line, full_list_line, set_up, Request};

use super::count::{cost_of, Cost};
use burlhook::simulation::{Output, Planner, Rejected, Start};
use burlhook::{MachineId, Room, Seconds};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;

/// Start of simulated time, in seconds; no list, machine or task is older.
const BEGIN_S: Seconds = 1_000_000.0;
/// Bound on the rounding error of an alarm's time once it is a floating-point number of seconds.
const ROUNDING_S: Seconds = 1e-6;
/// The client connection of all requests.
const CONNECTION: u64 = 1;

/// Messages and bytes that were sent over one kind of connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Number of their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// A hollow planner and its simulated machines.
pub struct HollowPlanner {
    /// The planner.
    pub planner: Planner,
    /// Simulated time.
    pub now: Seconds,
    /// Messages from the planner to machines.
    pub to_machines: Traffic,
    /// Messages from the planner to clients.
    pub to_clients: Traffic,
    /// How often an alarm woke the planner.
    pub ticks: u64,
    /// Tasks that machines accepted.
    pub placed: u64,
    /// The machine that accepted the latest task.
    pub placed_at: Option<MachineId>,
    /// The machines to which the planner holds a connection.
    connected: BTreeSet<MachineId>,
    /// Request ids that were assigned.
    assigned_ids: u64,
    /// Cost of the planner's own work since the last [`HollowPlanner::take_cost`], without that of the
    /// simulated machines.
    cost: Cost,
    outputs: Vec<Output>,
    /// Empty buffer that is swapped with `outputs`, so that its allocation is reused.
    spare_outputs: Vec<Output>,
}

/// The platform's settings, as [`crate::planner::config`] has them.
pub fn settings() -> Value {
    crate::planner::config(&[], 1)["settings"].take()
}

/// Converts an error of the planner to an I/O error.
pub fn rejected(error: Rejected) -> io::Error {
    io::Error::other(error)
}

impl HollowPlanner {
    /// A planner with an empty machine list.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn new() -> io::Result<HollowPlanner> {
        let start = Start { standing: usize::MAX, ..Start::default() };
        let planner = Planner::new(&settings(), start).map_err(rejected)?;
        Ok(HollowPlanner {
            planner,
            now: BEGIN_S,
            to_machines: Traffic::default(),
            to_clients: Traffic::default(),
            ticks: 0,
            placed: 0,
            placed_at: None,
            connected: BTreeSet::new(),
            assigned_ids: 0,
            cost: Cost::default(),
            outputs: Vec::new(),
            spare_outputs: Vec::new(),
        })
    }

    /// A planner with this many machines and a connection to each.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn with_machines(machines: usize) -> io::Result<HollowPlanner> {
        let mut hollow = HollowPlanner::new()?;
        hollow.list(&full_list_line(1, machines))?;
        // The list that a planner starts with does not count as a change: time passes before the next line.
        hollow.advance(1.0)?;
        Ok(hollow)
    }

    /// Passes a line of the machine list to the planner.
    ///
    /// # Errors
    /// If the line cannot be parsed.
    pub fn list(&mut self, line: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.list(now, line, out))?;
        self.deliver_outputs()
    }

    /// Passes the list that was stored before a restart to the planner.
    ///
    /// # Errors
    /// If the line cannot be parsed.
    pub fn kept_list(&mut self, line: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.kept_list(now, line, out))?;
        self.deliver_outputs()
    }

    /// Applies the text of an operators' file.
    ///
    /// # Errors
    /// If the text has errors.
    pub fn configure(&mut self, text: &str) -> io::Result<()> {
        self.call(|planner, now, out| planner.configure(now, text, out))?;
        self.deliver_outputs()
    }

    /// The machines to which the planner holds a connection.
    pub fn machines(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.connected.iter().copied()
    }

    /// Assigns the id of the next request.
    pub fn next_request(&mut self) -> u64 {
        self.assigned_ids += 1;
        self.assigned_ids
    }

    /// Passes a client's message to the planner and lets the machines answer the messages that follow.
    ///
    /// # Errors
    /// If the planner rejects it.
    pub fn request(&mut self, message: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.request(now, CONNECTION, message, out))?;
        self.deliver_outputs()
    }

    /// Passes a group request to the planner and lets the machines answer the messages that follow.
    ///
    /// # Errors
    /// If the planner rejects it.
    pub fn group(&mut self, service: &str, members: usize, room: Room) -> io::Result<()> {
        let id = self.next_request();
        let (class, service) = ("stateless".into(), service.into());
        let group = burlhook::simulation::GroupRequest { id, class, service, room, members, deadline_s: 5.0 };
        self.call(|planner, now, out| planner.group(now, &group, out))?;
        self.deliver_outputs()
    }

    /// Passes a machine's message that a task has ended to the planner.
    ///
    /// # Errors
    /// If the planner rejects it.
    pub fn end(&mut self, machine: MachineId, task: u64) -> io::Result<()> {
        let line = bytes::task_ended(task);
        self.call(|planner, now, out| planner.answer(now, machine, &line, out))?;
        self.deliver_outputs()
    }

    /// Advances simulated time and runs all alarms that fall due.
    ///
    /// # Errors
    /// If a machine's answer is rejected.
    pub fn advance(&mut self, span: Seconds) -> io::Result<()> {
        let until = self.now + span;
        while let Some(at) = self.planner.next_alarm().filter(|at| *at <= until) {
            self.now = self.now.max(at + ROUNDING_S);
            self.ticks += 1;
            self.call(|planner, now, out| {
                planner.tick(now, out);
                Ok(())
            })?;
            self.deliver_outputs()?;
        }
        self.now = until;
        Ok(())
    }

    /// Returns the cost of the planner's own work since the last call of this method, and resets it.
    pub fn take_cost(&mut self) -> Cost {
        std::mem::take(&mut self.cost)
    }

    /// Runs one operation of the planner and adds its cost.
    fn call(
        &mut self,
        operation: impl FnOnce(&mut Planner, Seconds, &mut Vec<Output>) -> Result<(), Rejected>,
    ) -> io::Result<()> {
        let (done, cost) = cost_of(|| operation(&mut self.planner, self.now, &mut self.outputs));
        self.cost.add(cost);
        done.map_err(rejected)
    }

    /// Delivers the planner's outputs, and those that the machines' answers cause, until none is left.
    fn deliver_outputs(&mut self) -> io::Result<()> {
        while !self.outputs.is_empty() {
            let spare_outputs = std::mem::take(&mut self.spare_outputs);
            let mut outputs = std::mem::replace(&mut self.outputs, spare_outputs);
            for output in outputs.drain(..) {
                self.deliver(&output)?;
            }
            self.spare_outputs = outputs;
        }
        Ok(())
    }

    fn deliver(&mut self, output: &Output) -> io::Result<()> {
        match output {
            Output::ToMachine { machine, bytes } => {
                self.to_machines.add(bytes.len());
                for answer in bytes::answers(bytes)? {
                    if answer.placed {
                        self.placed += 1;
                        self.placed_at = Some(*machine);
                    }
                    self.call(|planner, now, out| planner.answer(now, *machine, &answer.line, out))?;
                }
            }
            Output::ToClient { bytes, .. } => self.to_clients.add(bytes.len()),
            Output::Connect { machine, .. } => {
                self.connected.insert(*machine);
                self.call(|planner, now, out| {
                    planner.connected(now, *machine, out);
                    Ok(())
                })?;
            }
            Output::Disconnect { machine } => {
                self.connected.remove(machine);
            }
            Output::ToPlanner { .. } => {}
        }
        Ok(())
    }
}
