//! Simulates many planners and the datagrams between them on one clock.

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
/// Start of simulated time.
const BEGIN: Micros = 1_000_000_000;
/// Time from the sending of a datagram to its arrival.
const DELAY: Micros = 1_000;
/// Time between the starts of two planners, so that their timers do not run in step.
const START_STEP: Micros = 1_731;
/// All planners start within this time of each other.
const START_SPAN: Micros = 400_000;
/// Time between two checks whether the members have settled.
const CHECK_INTERVAL_S: Seconds = 0.1;
/// Bound on the rounding error of a time in seconds; added to alarms, so that they are due when they run.
const ROUNDING: Micros = 1;
/// The client connection of all requests.
const CONNECTION: u64 = 1;

/// The requests that each planner receives.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// No requests.
    None,
    /// This many requests per second. There are no machines, so each waits until its deadline.
    EachPerSecond(f64),
}

/// Datagrams that a planner exchanged with others.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerTraffic {
    /// Datagrams that it sent.
    pub sent: Traffic,
    /// Datagrams that it received.
    pub received: Traffic,
}

impl PeerTraffic {
    /// Number of datagrams, sent and received.
    pub fn messages(&self) -> u64 {
        self.sent.messages + self.received.messages
    }

    /// Bytes of datagrams, sent and received.
    pub fn bytes(&self) -> u64 {
        self.sent.bytes + self.received.bytes
    }
}

/// A scheduled event.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Alarm { planner: usize },
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Request { planner: usize },
}

/// The planners, their network and the scheduled events.
pub struct Fleet {
    planners: Vec<Planner>,
    traffic: Vec<PeerTraffic>,
    /// Time of the alarm that is scheduled for each planner.
    scheduled: Vec<Option<Micros>>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    now: Micros,
    events: u64,
    requests: u64,
    load: Load,
    outputs: Vec<Output>,
}

impl Fleet {
    /// Starts the planners shortly after each other, with one in-flight budget that they share.
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
            traffic: vec![PeerTraffic::default(); planners],
            scheduled: vec![None; planners],
            queue: BinaryHeap::new(),
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
            fleet.schedule_outputs(planner);
            fleet.schedule_request(planner);
        }
        fleet.now = BEGIN;
        Ok(fleet)
    }

    fn seconds(&self) -> Seconds {
        self.now as f64 / SECOND
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((time, self.events, event)));
    }

    fn schedule_request(&mut self, planner: usize) {
        if let Load::EachPerSecond(rate) = self.load {
            self.schedule(self.now + (SECOND / rate) as Micros, Event::Request { planner });
        }
    }

    /// Schedules the datagrams that a planner sent, and its next alarm.
    fn schedule_outputs(&mut self, planner: usize) {
        for output in std::mem::take(&mut self.outputs) {
            if let Output::ToPlanner { planner: to, bytes } = output {
                self.traffic[planner].sent.add(bytes.len());
                let to = usize::from(to);
                self.schedule(self.now + DELAY, Event::Datagram { from: planner, to, bytes });
            }
        }
        let next = self.planners[planner].next_alarm();
        let Some(next) = next.map(|at| ((at * SECOND) as Micros + ROUNDING).max(self.now)) else { return };
        if self.scheduled[planner].is_none_or(|scheduled| next < scheduled) {
            self.scheduled[planner] = Some(next);
            self.schedule(next, Event::Alarm { planner });
        }
    }

    fn step(&mut self, event: Event) -> io::Result<()> {
        let (now, out) = (self.seconds(), &mut self.outputs);
        let planner = match event {
            Event::Alarm { planner } => {
                // This alarm was superseded by an earlier one.
                if self.scheduled[planner] != Some(self.now) {
                    return Ok(());
                }
                self.scheduled[planner] = None;
                self.planners[planner].tick(now, out);
                planner
            }
            Event::Datagram { from, to, bytes } => {
                self.traffic[to].received.add(bytes.len());
                self.planners[to].datagram(now, from as u16, &bytes, out).map_err(rejected)?;
                to
            }
            Event::Request { planner } => {
                self.requests += 1;
                let request = Request { id: self.requests, service: 7, cores: 1.0, at: None };
                self.planners[planner].request(now, CONNECTION, &set_up(&request), out).map_err(rejected)?;
                self.schedule_request(planner);
                planner
            }
        };
        self.schedule_outputs(planner);
        Ok(())
    }

    /// Runs the simulation for this time.
    ///
    /// # Errors
    /// If a planner cannot parse a datagram.
    pub fn run(&mut self, span: Seconds) -> io::Result<()> {
        let until = self.now + (span * SECOND) as Micros;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.step(event)?;
        }
        self.now = until;
        Ok(())
    }

    /// Runs until each planner holds its own slot and returns how many seconds that took.
    ///
    /// # Errors
    /// If that takes longer than `within` seconds.
    pub fn run_until_settled(&mut self, within: Seconds) -> io::Result<Seconds> {
        let checks = (within / CHECK_INTERVAL_S) as usize;
        for check in 1..=checks {
            self.run(CHECK_INTERVAL_S)?;
            let now = self.seconds();
            let settled = |planner: &mut Planner| planner.membership(now).is_some_and(|(_, own)| own);
            if self.planners.iter_mut().all(settled) {
                return Ok(check as f64 * CHECK_INTERVAL_S);
            }
        }
        Err(io::Error::other(format!("not all planners hold their own slot after {within} s")))
    }

    /// Returns the datagrams of each planner since the last call of this method, and resets them.
    pub fn take_traffic(&mut self) -> Vec<PeerTraffic> {
        let empty = vec![PeerTraffic::default(); self.traffic.len()];
        std::mem::replace(&mut self.traffic, empty)
    }
}
