//! What hollow machines are told, and what they count.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Count. Values of each of the last two parts of a machine's address, which end with neither 0 nor 255.
const ADDRESSES: usize = 250;

/// How hollow machines behave; all of them alike, and nothing is drawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Tasks that each holds at most.
    pub slots: usize,
    /// Share of all slots that is free at the start; half of the machines then are full, the others hold all of it.
    pub spare: f64,
    /// Milliseconds from a set-up to the answer that it runs.
    pub start_ms: u64,
    /// Milliseconds from that answer to the task's end.
    pub life_ms: u64,
    /// Share of set-ups that are refused, spread evenly.
    pub refuse: f64,
    /// The number that the machine list tells every second.
    pub revision: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan { slots: 40, spare: 1.0, start_ms: 5, life_ms: 4_000, refuse: 0.0, revision: 1 }
    }
}

impl Plan {
    /// Slots of a machine that are free at the start.
    pub fn free(&self, machine: usize) -> usize {
        // Neighbours lie in different zones, so both zones have full machines and others.
        let share = match (self.spare, machine / 2 % 2) {
            (spare, _) if spare >= 0.5 => spare,
            (_, 0) => 0.0,
            (spare, _) => 2.0 * spare,
        };
        (self.slots as f64 * share).round() as usize
    }
}

/// Where hollow machines listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports {
    /// The port of all machines.
    pub machines: u16,
    /// The port of the machine list, on 127.0.0.1.
    pub list: u16,
}

/// The address of a machine.
pub fn address(machine: usize, port: u16) -> SocketAddr {
    let part = |value: usize| 1 + (value % ADDRESSES) as u8;
    let (second, third) = (machine / ADDRESSES / ADDRESSES, machine / ADDRESSES);
    SocketAddr::from((Ipv4Addr::new(127, part(second), part(third), part(machine)), port))
}

/// The machine at an address, or nothing where there can be none.
pub(super) fn number(address: Ipv4Addr) -> Option<usize> {
    let [network, parts @ ..] = address.octets();
    let value = |part: u8| usize::from(part).checked_sub(1).filter(|v| *v < ADDRESSES);
    let [second, third, last] = parts.map(value);
    (network == 127).then_some(())?;
    Some((second? * ADDRESSES + third?) * ADDRESSES + last?)
}

/// What hollow machines counted since they were started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Connections that were taken.
    pub accepted: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Machines that were reached at least once.
    pub reached: u64,
    /// When the last of them was reached for the first time, in microseconds of the Unix clock.
    pub reached_at_us: u64,
    /// Bytes of messages to machines.
    pub bytes_in: u64,
    /// Bytes of messages from machines.
    pub bytes_out: u64,
    /// Set-ups that came.
    pub launches: u64,
    /// Releases and give-ups that came.
    pub stops: u64,
    /// Tests that came.
    pub checks: u64,
    /// Other messages that came.
    pub others: u64,
    /// Set-ups that were refused.
    pub refused: u64,
    /// Tasks that came to their end.
    pub ended: u64,
    /// Tasks that run now, or start.
    pub held: u64,
    /// Bytes from planners to the machine list.
    pub list_in: u64,
    /// Bytes from the machine list to planners.
    pub list_out: u64,
}

impl Counts {
    /// Messages that came to machines.
    pub fn messages(&self) -> u64 {
        self.launches + self.stops + self.checks + self.others
    }
}
