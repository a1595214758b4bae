//! The state of all hollow machines of a process, and their answers. Its only side effects are the lines that
//! it queues on open connections.

use super::message::{self, cause, Line, Load};
use super::plan::{address, Counts, Plan};
use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;

/// The most lines of one machine that wait for a connection; further ones are dropped.
const MAX_UNSENT_LINES: usize = 10_000;

/// An open connection: its number and the queue of lines to write.
struct Link {
    id: u64,
    out: UnboundedSender<Vec<u8>>,
}

/// A task that a machine holds, and the connection that its set-up came on.
#[derive(Clone, Copy, Debug)]
struct Held {
    connection: u64,
    is_running: bool,
}

#[derive(Default)]
struct Machine {
    tasks: BTreeMap<u64, Held>,
    links: Vec<Link>,
    /// Lines that were due while no connection was open; the next connection sends them.
    unsent: VecDeque<Vec<u8>>,
}

/// Identifies a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskKey {
    /// The machine's number.
    pub machine: usize,
    /// The task's id.
    pub job: u64,
}

/// The reaction to a line.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// The line to write immediately.
    pub line: Option<Vec<u8>>,
    /// The task whose start timer begins.
    pub start: Option<TaskKey>,
}

/// All machines of a process.
pub struct Fleet {
    /// Their settings.
    pub plan: Plan,
    /// Their counts.
    pub counts: Counts,
    port: u16,
    machines: Vec<Machine>,
    /// Fraction of a refusal that is carried over to the next set-up; a set-up is refused once this reaches
    /// 1.
    refusal_carry: f64,
}

impl Fleet {
    /// Machines without connections.
    pub fn new(plan: Plan, port: u16) -> Fleet {
        Fleet { plan, counts: Counts::default(), port, machines: Vec::new(), refusal_carry: 0.0 }
    }

    fn machine(&mut self, number: usize) -> &mut Machine {
        if self.machines.len() <= number {
            self.machines.resize_with(number + 1, Machine::default);
        }
        &mut self.machines[number]
    }

    /// Registers a new connection and sends the lines that waited for one.
    pub fn open(&mut self, number: usize, id: u64, out: UnboundedSender<Vec<u8>>) {
        self.counts.accepted += 1;
        self.counts.open += 1;
        let machine = self.machine(number);
        // The receiver belongs to the connection's task, which is the caller.
        machine.unsent.drain(..).for_each(|line| drop(out.send(line)));
        machine.links.push(Link { id, out });
    }

    /// Removes a closed connection. Tasks that were starting on it are dropped; running tasks go on.
    pub fn closed(&mut self, number: usize, id: u64) {
        self.counts.open -= 1;
        let machine = self.machine(number);
        machine.links.retain(|link| link.id != id);
        let before = machine.tasks.len();
        machine.tasks.retain(|_, held| held.is_running || held.connection != id);
        let given_up = before - machine.tasks.len();
        self.counts.held -= given_up as u64;
    }

    /// Counts a machine to which a planner has connected for the first time.
    pub fn reached(&mut self) {
        self.counts.reached += 1;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.counts.reached_at_us = since.as_micros() as u64;
    }

    fn load(&mut self, number: usize) -> Load {
        let free = self.plan.free(number);
        Load { free: free.saturating_sub(self.machine(number).tasks.len()) }
    }

    fn is_refused(&mut self) -> bool {
        self.refusal_carry += self.plan.refuse;
        let is_due = self.refusal_carry >= 1.0;
        self.refusal_carry -= if is_due { 1.0 } else { 0.0 };
        is_due
    }

    /// Handles a line from a planner.
    pub fn receive(&mut self, number: usize, connection: u64, line: &Line<'_>) -> Answer {
        match line.kind {
            "launch" => self.launch(number, connection, line.job()),
            "stop" => self.stop(number, line.job()),
            "check" => {
                self.counts.checks += 1;
                let load = self.load(number);
                Answer { line: Some(message::checked(line.uid, load)), start: None }
            }
            _ => {
                self.counts.others += 1;
                Answer::default()
            }
        }
    }

    fn launch(&mut self, number: usize, connection: u64, job: u64) -> Answer {
        self.counts.launches += 1;
        let load = self.load(number);
        let note = match self.is_refused() {
            true => Some("nq"),
            false => (load.free == 0).then_some("nc"),
        };
        if note.is_some() {
            self.counts.refused += 1;
            return Answer { line: Some(message::stop(job, cause::REFUSED, note, load)), start: None };
        }
        self.machine(number).tasks.insert(job, Held { connection, is_running: false });
        self.counts.held += 1;
        Answer { line: None, start: Some(TaskKey { machine: number, job }) }
    }

    fn stop(&mut self, number: usize, job: u64) -> Answer {
        self.counts.stops += 1;
        let held = self.machine(number).tasks.remove(&job).is_some();
        self.counts.held -= u64::from(held);
        let reason = if held { cause::CANCELLED } else { cause::UNKNOWN_TASK };
        let load = self.load(number);
        Answer { line: Some(message::stop(job, reason, None, load)), start: None }
    }

    /// Marks a task as running and reports that to the planner. Returns false if the task was dropped or
    /// stopped before.
    pub fn started(&mut self, TaskKey { machine: number, job }: TaskKey) -> bool {
        let line = message::running(job, address(number, self.port));
        let Some(held) = self.machine(number).tasks.get_mut(&job) else { return false };
        held.is_running = true;
        let connection = held.connection;
        self.queue_line(number, connection, line);
        true
    }

    /// Ends a task and reports that to the planner; does nothing if it was stopped before.
    pub fn ended(&mut self, TaskKey { machine: number, job }: TaskKey) {
        let Some(held) = self.machine(number).tasks.remove(&job) else { return };
        self.counts.held -= 1;
        self.counts.ended += 1;
        let load = self.load(number);
        self.queue_line(number, held.connection, message::stop(job, cause::ENDED, None, load));
    }

    /// Queues a line on the given connection if it is open, else on any open connection of the machine, else
    /// for the next connection.
    fn queue_line(&mut self, number: usize, connection: u64, line: Vec<u8>) {
        let machine = self.machine(number);
        let own = machine.links.iter().find(|link| link.id == connection);
        match own.or_else(|| machine.links.first()) {
            // Sending fails only while the connection closes; the line is then lost, as with a real machine.
            Some(link) => drop(link.out.send(line)),
            None if machine.unsent.len() < MAX_UNSENT_LINES => machine.unsent.push_back(line),
            None => {}
        }
    }
}
