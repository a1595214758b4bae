//! What all hollow machines of a process know, and what they answer. Pure but for the queues of open connections.

use super::message::{self, cause, Line, Load};
use super::plan::{address, Counts, Plan};
use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedSender;

/// Count. Releases of one machine that wait for a connection.
const MOST_OWED: usize = 10_000;

/// A connection's number and the queue of what is written to it.
struct Link {
    id: u64,
    out: UnboundedSender<Vec<u8>>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    connection: u64,
    runs: bool,
}

#[derive(Default)]
struct Machine {
    tasks: BTreeMap<u64, Held>,
    links: Vec<Link>,
    /// Releases for which no connection was open: the next one gets them.
    owed: VecDeque<Vec<u8>>,
}

/// A task that is to be started once its time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Its machine.
    pub machine: usize,
    /// Its id.
    pub job: u64,
}

/// What is done about a message.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// What is written at once.
    pub line: Option<Vec<u8>>,
    /// The task whose timer begins.
    pub start: Option<Start>,
}

/// All machines of a process.
pub struct Fleet {
    /// How they behave.
    pub plan: Plan,
    /// What they counted.
    pub counts: Counts,
    port: u16,
    machines: Vec<Machine>,
    /// The part of a set-up by which the next refusal is due.
    refusal: f64,
}

impl Fleet {
    /// Machines that nobody has reached.
    pub fn new(plan: Plan, port: u16) -> Fleet {
        Fleet { plan, counts: Counts::default(), port, machines: Vec::new(), refusal: 0.0 }
    }

    fn machine(&mut self, number: usize) -> &mut Machine {
        if self.machines.len() <= number {
            self.machines.resize_with(number + 1, Machine::default);
        }
        &mut self.machines[number]
    }

    /// A connection came up: it gets the releases that found none.
    pub fn open(&mut self, number: usize, id: u64, out: UnboundedSender<Vec<u8>>) {
        self.counts.accepted += 1;
        self.counts.open += 1;
        let machine = self.machine(number);
        // The queue's reader is the connection's own task, which is there still.
        machine.owed.drain(..).for_each(|line| drop(out.send(line)));
        machine.links.push(Link { id, out });
    }

    /// A connection is closed: what was open on it is given up, what runs stays.
    pub fn closed(&mut self, number: usize, id: u64) {
        self.counts.open -= 1;
        let machine = self.machine(number);
        machine.links.retain(|link| link.id != id);
        let before = machine.tasks.len();
        machine.tasks.retain(|_, held| held.runs || held.connection != id);
        let given_up = before - machine.tasks.len();
        self.counts.held -= given_up as u64;
    }

    /// The first message of a planner to a machine.
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
        self.refusal += self.plan.refuse;
        let is_due = self.refusal >= 1.0;
        self.refusal -= if is_due { 1.0 } else { 0.0 };
        is_due
    }

    /// Takes a message in.
    pub fn hear(&mut self, number: usize, connection: u64, line: &Line<'_>) -> Answer {
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
            return Answer { line: Some(message::stop(job, cause::FULL, note, load)), start: None };
        }
        self.machine(number).tasks.insert(job, Held { connection, runs: false });
        self.counts.held += 1;
        Answer { line: None, start: Some(Start { machine: number, job }) }
    }

    fn stop(&mut self, number: usize, job: u64) -> Answer {
        self.counts.stops += 1;
        let held = self.machine(number).tasks.remove(&job).is_some();
        self.counts.held -= u64::from(held);
        let reason = if held { cause::CANCELLED } else { cause::MOOT };
        let load = self.load(number);
        Answer { line: Some(message::stop(job, reason, None, load)), start: None }
    }

    /// The time of a start has come; tells whether the task still is wanted.
    pub fn started(&mut self, Start { machine: number, job }: Start) -> bool {
        let line = message::running(job, address(number, self.port));
        let Some(held) = self.machine(number).tasks.get_mut(&job) else { return false };
        held.runs = true;
        let connection = held.connection;
        self.say(number, connection, line);
        true
    }

    /// The time of a task is over.
    pub fn ended(&mut self, Start { machine: number, job }: Start) {
        let Some(held) = self.machine(number).tasks.remove(&job) else { return };
        self.counts.held -= 1;
        self.counts.ended += 1;
        let load = self.load(number);
        self.say(number, held.connection, message::stop(job, cause::OVER, None, load));
    }

    /// Sends on the connection of a set-up, else on any that is open; else the next one gets it.
    fn say(&mut self, number: usize, connection: u64, line: Vec<u8>) {
        let machine = self.machine(number);
        let own = machine.links.iter().find(|link| link.id == connection);
        match own.or_else(|| machine.links.first()) {
            // A queue without a reader is that of a connection that ends, as any machine may find.
            Some(link) => drop(link.out.send(line)),
            None if machine.owed.len() < MOST_OWED => machine.owed.push_back(line),
            None => {}
        }
    }
}
