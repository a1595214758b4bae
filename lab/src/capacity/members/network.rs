//! Many hollow planners and the datagrams between them, on one simulated clock.

use crate::capacity::hollow_planner::{operators, rejected, set_up, settings, Request, Traffic};
use burlhook::simulation::{Output, Planner, Start};
use burlhook::Seconds;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;

/// Microseconds of simulated time.
type Micros = u64;

/// Microseconds in a second.
const SECOND: f64 = 1e6;
/// When simulated time begins.
const BEGIN: Micros = 1_000_000_000;
/// A datagram's way.
const DELAY: Micros = 1_000;
/// Planners start this far apart, so that they do not act in step.
const START_STEP: Micros = 1_731;
/// All planners have started within this time.
const START_SPAN: Micros = 400_000;
/// Time between two looks whether the members have settled.
const LOOK_S: Seconds = 0.1;
/// A clock in seconds may be off by less than this: an alarm that is due counts as due.
const ROUNDING: Micros = 1;
/// The connection that all requests come on.
const CONNECTION: u64 = 1;

/// What comes to each planner.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Nothing.
    None,
    /// So many requests a second, for which no machine is there: each waits until its time is up.
    EachPerSecond(f64),
}

/// What a planner said and heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Said {
    /// Datagrams that it sent.
    pub sent: Traffic,
    /// Datagrams that came to it.
    pub heard: Traffic,
}

impl Said {
    /// Datagrams in and out.
    pub fn messages(&self) -> u64 {
        self.sent.messages + self.heard.messages
    }

    /// Their bytes.
    pub fn bytes(&self) -> u64 {
        self.sent.bytes + self.heard.bytes
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Alarm { planner: usize },
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Request { planner: usize },
}

/// The planners and their network.
pub struct Fleet {
    planners: Vec<Planner>,
    said: Vec<Said>,
    /// The alarm that is booked for each planner.
    booked: Vec<Option<Micros>>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    now: Micros,
    events: u64,
    requests: u64,
    load: Load,
    outputs: Vec<Output>,
}

impl Fleet {
    /// Planners that all start within a moment, with one budget of places in flight among them.
    ///
    /// # Errors
    /// If one cannot be started.
    pub fn start(planners: usize, voters: usize, in_flight: usize, load: Load) -> io::Result<Fleet> {
        let settings = settings();
        let new =
            |planner: usize| Planner::new(&settings, Start { seed: planner as u64 + 1, ..Start::default() });
        let all: Result<Vec<Planner>, _> = (0..planners).map(new).collect();
        let mut fleet = Fleet {
            planners: all.map_err(rejected)?,
            said: vec![Said::default(); planners],
            booked: vec![None; planners],
            due: BinaryHeap::new(),
            now: BEGIN,
            events: 0,
            requests: 0,
            load,
            outputs: Vec::new(),
        };
        for planner in 0..planners {
            fleet.now = BEGIN + planner as Micros * START_STEP % START_SPAN;
            let text = operators::fleet(planner, planners, voters.min(planners), in_flight);
            let (now, out) = (fleet.seconds(), &mut fleet.outputs);
            fleet.planners[planner].configure(now, &text, out).map_err(rejected)?;
            fleet.after(planner);
            fleet.book_request(planner);
        }
        fleet.now = BEGIN;
        Ok(fleet)
    }

    fn seconds(&self) -> Seconds {
        self.now as f64 / SECOND
    }

    fn at(&mut self, time: Micros, due: Due) {
        self.events += 1;
        self.due.push(Reverse((time, self.events, due)));
    }

    fn book_request(&mut self, planner: usize) {
        if let Load::EachPerSecond(rate) = self.load {
            self.at(self.now + (SECOND / rate) as Micros, Due::Request { planner });
        }
    }

    /// Sends what a planner wrote, and books its next alarm.
    fn after(&mut self, planner: usize) {
        for output in std::mem::take(&mut self.outputs) {
            if let Output::ToPlanner { planner: to, bytes } = output {
                self.said[planner].sent.add(bytes.len());
                let to = usize::from(to);
                self.at(self.now + DELAY, Due::Datagram { from: planner, to, bytes });
            }
        }
        let next = self.planners[planner].next_alarm();
        let Some(next) = next.map(|at| ((at * SECOND) as Micros + ROUNDING).max(self.now)) else { return };
        if self.booked[planner].is_none_or(|booked| next < booked) {
            self.booked[planner] = Some(next);
            self.at(next, Due::Alarm { planner });
        }
    }

    fn step(&mut self, due: Due) -> io::Result<()> {
        let (now, out) = (self.seconds(), &mut self.outputs);
        let planner = match due {
            Due::Alarm { planner } => {
                // One that was booked before an earlier one came is of no use any more.
                if self.booked[planner] != Some(self.now) {
                    return Ok(());
                }
                self.booked[planner] = None;
                self.planners[planner].tick(now, out);
                planner
            }
            Due::Datagram { from, to, bytes } => {
                self.said[to].heard.add(bytes.len());
                self.planners[to].datagram(now, from as u16, &bytes, out).map_err(rejected)?;
                to
            }
            Due::Request { planner } => {
                self.requests += 1;
                let request = Request { id: self.requests, service: 7, cores: 1.0, at: None };
                self.planners[planner].request(now, CONNECTION, &set_up(&request), out).map_err(rejected)?;
                self.book_request(planner);
                planner
            }
        };
        self.after(planner);
        Ok(())
    }

    /// Runs on for so long.
    ///
    /// # Errors
    /// If a planner cannot read what another sent.
    pub fn run(&mut self, span: Seconds) -> io::Result<()> {
        let until = self.now + (span * SECOND) as Micros;
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, due))) = self.due.pop() else { break };
            self.now = at;
            self.step(due)?;
        }
        self.now = until;
        Ok(())
    }

    /// Runs until each planner holds its own slot; tells how many seconds that took.
    ///
    /// # Errors
    /// If that does not come within so many seconds.
    pub fn settle(&mut self, within: Seconds) -> io::Result<Seconds> {
        let looks = (within / LOOK_S) as usize;
        for look in 1..=looks {
            self.run(LOOK_S)?;
            let now = self.seconds();
            let settled = |planner: &mut Planner| planner.membership(now).is_some_and(|(_, own)| own);
            if self.planners.iter_mut().all(settled) {
                return Ok(look as f64 * LOOK_S);
            }
        }
        Err(io::Error::other(format!("the members have not settled within {within} s")))
    }

    /// What each planner said and heard since that was taken last.
    pub fn take_said(&mut self) -> Vec<Said> {
        let fresh = vec![Said::default(); self.said.len()];
        std::mem::replace(&mut self.said, fresh)
    }
}
