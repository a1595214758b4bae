//! A hollow planner: the real core, deciders and codecs ([`burlhook::simulation`]) in this process, on a simulated clock,
//! with hollow machines that answer at once and hold no work.

mod bytes;
pub mod operators;

pub use bytes::{change_line, set_up, whole_line, Request};

use super::count::{cost_of, Cost};
use burlhook::simulation::{Output, Planner, Rejected, Start};
use burlhook::{MachineId, Room, Seconds};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;

/// Seconds. When simulated time begins; no list, machine or task is older.
const BEGIN_S: Seconds = 1_000_000.0;
/// Seconds. An alarm's time may be off by less than this once it is a number of seconds.
const ROUNDING_S: Seconds = 1e-6;
/// The connection that all requests come on.
const CONNECTION: u64 = 1;

/// Bytes and messages that went over one kind of connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Books a message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// One hollow planner and its hollow machines.
pub struct HollowPlanner {
    /// The planner.
    pub planner: Planner,
    /// Simulated time.
    pub now: Seconds,
    /// What the planner wrote to machines.
    pub to_machines: Traffic,
    /// What it wrote to clients.
    pub to_clients: Traffic,
    /// Times that the planner was woken by its own alarm.
    pub ticks: u64,
    /// Requests that machines took.
    pub placed: u64,
    /// The machine that took a request last.
    pub placed_at: Option<MachineId>,
    /// The machines to which a connection is held.
    connected: BTreeSet<MachineId>,
    /// Requests so far.
    asked: u64,
    /// What the planner's own work cost since that was taken last; the machines' answers cost it nothing.
    cost: Cost,
    outputs: Vec<Output>,
    /// Room for the outputs of the next call.
    spare: Vec<Output>,
}

/// The platform's settings, as [`crate::planner::config`] has them.
pub fn settings() -> Value {
    crate::planner::config(&[], 1)["settings"].take()
}

/// A failure of the planner as one of the run.
pub fn failed(error: Rejected) -> io::Error {
    io::Error::other(error)
}

impl HollowPlanner {
    /// A planner that knows no machine.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn new() -> io::Result<HollowPlanner> {
        let start = Start { standing: usize::MAX, ..Start::default() };
        let planner = Planner::new(&settings(), start).map_err(failed)?;
        Ok(HollowPlanner {
            planner,
            now: BEGIN_S,
            to_machines: Traffic::default(),
            to_clients: Traffic::default(),
            ticks: 0,
            placed: 0,
            placed_at: None,
            connected: BTreeSet::new(),
            asked: 0,
            cost: Cost::default(),
            outputs: Vec::new(),
            spare: Vec::new(),
        })
    }

    /// A planner that knows so many machines and holds a connection to each.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn with_machines(machines: usize) -> io::Result<HollowPlanner> {
        let mut hollow = HollowPlanner::new()?;
        hollow.list(&whole_line(1, machines))?;
        // The list that a planner starts with tells of no change.
        hollow.advance(1.0)?;
        Ok(hollow)
    }

    /// Hands a line of the machine list in.
    ///
    /// # Errors
    /// If it cannot be read.
    pub fn list(&mut self, line: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.list(now, line, out))?;
        self.settle()
    }

    /// Hands the list in that was kept from before a restart.
    ///
    /// # Errors
    /// If it cannot be read.
    pub fn kept_list(&mut self, line: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.kept_list(now, line, out))?;
        self.settle()
    }

    /// Puts the text of an operators' file in force.
    ///
    /// # Errors
    /// Its faults.
    pub fn configure(&mut self, text: &str) -> io::Result<()> {
        self.call(|planner, now, out| planner.configure(now, text, out))?;
        self.settle()
    }

    /// The machines to which the planner holds a connection.
    pub fn machines(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.connected.iter().copied()
    }

    /// The next request's number.
    pub fn next_request(&mut self) -> u64 {
        self.asked += 1;
        self.asked
    }

    /// Hands a client's message in and lets the machines answer what follows.
    ///
    /// # Errors
    /// If it cannot be used.
    pub fn request(&mut self, message: &[u8]) -> io::Result<()> {
        self.call(|planner, now, out| planner.request(now, CONNECTION, message, out))?;
        self.settle()
    }

    /// Hands a group in and lets the machines answer what follows.
    ///
    /// # Errors
    /// If it is not allowed.
    pub fn group(&mut self, service: &str, members: usize, room: Room) -> io::Result<()> {
        let id = self.next_request();
        let (class, service) = ("stateless".into(), service.into());
        let group = burlhook::simulation::GroupRequest { id, class, service, room, members, deadline_s: 5.0 };
        self.call(|planner, now, out| planner.group(now, &group, out))?;
        self.settle()
    }

    /// A machine tells that a task is over.
    ///
    /// # Errors
    /// If the planner cannot read it.
    pub fn end(&mut self, machine: MachineId, task: u64) -> io::Result<()> {
        let line = bytes::over(task);
        self.call(|planner, now, out| planner.answer(now, machine, &line, out))?;
        self.settle()
    }

    /// Lets time pass, with all alarms on the way.
    ///
    /// # Errors
    /// If an answer cannot be read.
    pub fn advance(&mut self, span: Seconds) -> io::Result<()> {
        let until = self.now + span;
        while let Some(at) = self.planner.next_alarm().filter(|at| *at <= until) {
            self.now = self.now.max(at + ROUNDING_S);
            self.ticks += 1;
            self.call(|planner, now, out| {
                planner.tick(now, out);
                Ok(())
            })?;
            self.settle()?;
        }
        self.now = until;
        Ok(())
    }

    /// What the planner's own work cost since that was taken last.
    pub fn take_cost(&mut self) -> Cost {
        std::mem::take(&mut self.cost)
    }

    /// Has the planner do one thing, and books what it costs.
    fn call(
        &mut self,
        what: impl FnOnce(&mut Planner, Seconds, &mut Vec<Output>) -> Result<(), Rejected>,
    ) -> io::Result<()> {
        let (done, cost) = cost_of(|| what(&mut self.planner, self.now, &mut self.outputs));
        self.cost.add(cost);
        done.map_err(failed)
    }

    /// Lets the machines answer until nothing more is written.
    fn settle(&mut self) -> io::Result<()> {
        while !self.outputs.is_empty() {
            let spare = std::mem::take(&mut self.spare);
            let mut outputs = std::mem::replace(&mut self.outputs, spare);
            for output in outputs.drain(..) {
                self.carry(&output)?;
            }
            self.spare = outputs;
        }
        Ok(())
    }

    fn carry(&mut self, output: &Output) -> io::Result<()> {
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
