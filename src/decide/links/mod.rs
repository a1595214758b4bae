//! Which machines a connection is held to, where there are more machines than descriptors. Pure: times come in, and
//! what can be given back is asked of the caller.
//!
//! A connection has a place. Where all places are taken, whoever wants one waits, a set-up before a visit; the place that
//! was used the longest ago and on which nothing is open is given back for it. A machine on which tasks only stand is
//! visited every few seconds: what it owes it sends on the next connection that is opened, and its ends are to be told
//! within the protocol's 8 s.

use crate::placer::{MachineId, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds. So long after its connection was given back a machine on which tasks stand is visited.
pub const VISIT_S: Seconds = 3.0;
/// Seconds. A visit lasts so long at least: what the machine owes comes at once.
pub const DWELL_S: Seconds = 0.2;

/// What a connection is wanted for; what comes first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// Something waits to be written.
    Now,
    /// Tasks stand there, and their ends may be owed.
    Visit,
    /// Nothing: it would be held because there is room.
    Spare,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    since: Seconds,
    used: Seconds,
    /// It was asked to give its place back.
    asked: bool,
}

/// The places for connections.
#[derive(Debug)]
pub struct Places {
    most: usize,
    held: BTreeMap<MachineId, Held>,
    waiting: BTreeMap<MachineId, (Need, u64)>,
    /// The same in the order in which they go.
    line: BTreeSet<(Need, u64, MachineId)>,
    turns: u64,
}

impl Places {
    /// So many places, at least one.
    pub fn new(most: usize) -> Places {
        let (held, waiting, line) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Places { most: most.max(1), held, waiting, line, turns: 0 }
    }

    /// So many places from now on; those beyond them are given back as others want one.
    pub fn set_most(&mut self, most: usize) {
        self.most = most.max(1);
    }

    /// Takes a place, or waits for one; tells whether it is had.
    pub fn want(&mut self, now: Seconds, machine: MachineId, need: Need) -> bool {
        if self.held.contains_key(&machine) {
            return true;
        }
        if self.held.len() < self.most {
            self.leave_line(machine);
            self.held.insert(machine, Held { since: now, used: now, asked: false });
            return true;
        }
        match self.waiting.get(&machine) {
            Some((before, _)) if *before <= need => {}
            _ => {
                self.leave_line(machine);
                // Nobody waits for a place that is of no use to it.
                if need < Need::Spare {
                    self.turns += 1;
                    self.waiting.insert(machine, (need, self.turns));
                    self.line.insert((need, self.turns, machine));
                }
            }
        }
        false
    }

    fn leave_line(&mut self, machine: MachineId) {
        if let Some((need, turn)) = self.waiting.remove(&machine) {
            self.line.remove(&(need, turn, machine));
        }
    }

    /// Whether somebody waits for a place.
    pub fn is_short(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Something was written to the machine, or it said something.
    pub fn used(&mut self, now: Seconds, machine: MachineId) {
        if let Some(held) = self.held.get_mut(&machine) {
            held.used = now;
        }
    }

    /// The connection that is to be given back now, if any: of those on which nothing is open the one used the longest
    /// ago, and no more of them than wait.
    pub fn give_back(&mut self, now: Seconds, is_idle: impl Fn(MachineId) -> bool) -> Option<MachineId> {
        let asked = self.held.values().filter(|h| h.asked).count();
        if asked >= self.waiting.len() {
            return None;
        }
        let free =
            |(&machine, h): &(&MachineId, &Held)| !h.asked && now >= h.since + DWELL_S && is_idle(machine);
        let (machine, _) =
            self.held.iter().filter(free).min_by(|(_, a), (_, b)| a.used.total_cmp(&b.used))?;
        let machine = *machine;
        if let Some(held) = self.held.get_mut(&machine) {
            held.asked = true;
        }
        Some(machine)
    }

    /// It cannot be given back now: something is open on it again.
    pub fn keep(&mut self, machine: MachineId) {
        if let Some(held) = self.held.get_mut(&machine) {
            held.asked = false;
        }
    }

    /// Whether a machine's connection is to be given back.
    pub fn is_asked(&self, machine: MachineId) -> bool {
        self.held.get(&machine).is_some_and(|h| h.asked)
    }

    /// A connection is closed, or no longer wanted; tells who has its place now.
    pub fn release(&mut self, now: Seconds, machine: MachineId) -> Option<MachineId> {
        self.leave_line(machine);
        self.held.remove(&machine)?;
        if self.held.len() >= self.most {
            return None;
        }
        let (_, _, next) = self.line.first().copied()?;
        self.leave_line(next);
        self.held.insert(next, Held { since: now, used: now, asked: false });
        Some(next)
    }

    /// Whether a machine has a place.
    pub fn is_held(&self, machine: MachineId) -> bool {
        self.held.contains_key(&machine)
    }

    /// Places that are taken.
    pub fn taken(&self) -> usize {
        self.held.len()
    }
}

#[cfg(test)]
mod tests;
