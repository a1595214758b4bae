//! The settings, addresses and counts of hollow machines.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Values that each of the last three octets of a machine's address takes (1 to 250, so neither 0 nor 255).
const VALUES_PER_OCTET: usize = 250;

/// The behaviour of hollow machines: the same for all of them, and without randomness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The most tasks that a machine holds.
    pub slots: usize,
    /// Share of all slots that is free at the start. Below 0.5, half of the machines are full and the other
    /// half has all free slots.
    pub spare: f64,
    /// Milliseconds from a set-up (`launch`) to the answer that the task runs.
    pub start_ms: u64,
    /// Milliseconds from that answer to the end of the task.
    pub life_ms: u64,
    /// Share of set-ups that are refused, spread evenly.
    pub refuse: f64,
    /// The revision that the machine list sends every second.
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
        // Machines alternate between two zones, so every second pair is full and both zones have full
        // machines.
        let share = match (self.spare, machine / 2 % 2) {
            (spare, _) if spare >= 0.5 => spare,
            (_, 0) => 0.0,
            (spare, _) => 2.0 * spare,
        };
        (self.slots as f64 * share).round() as usize
    }
}

/// The ports of a process of hollow machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ports {
    /// The port on which all machines listen.
    pub machines: u16,
    /// The port of the machine list, on 127.0.0.1.
    pub list: u16,
}

/// The address of a machine.
pub fn address(machine: usize, port: u16) -> SocketAddr {
    let part = |value: usize| 1 + (value % VALUES_PER_OCTET) as u8;
    let (second, third) = (machine / VALUES_PER_OCTET / VALUES_PER_OCTET, machine / VALUES_PER_OCTET);
    SocketAddr::from((Ipv4Addr::new(127, part(second), part(third), part(machine)), port))
}

/// The number of the machine at an address; none if no machine has this address.
pub(super) fn machine_at(address: Ipv4Addr) -> Option<usize> {
    let [network, parts @ ..] = address.octets();
    let value = |part: u8| usize::from(part).checked_sub(1).filter(|v| *v < VALUES_PER_OCTET);
    let [second, third, last] = parts.map(value);
    (network == 127).then_some(())?;
    Some((second? * VALUES_PER_OCTET + third?) * VALUES_PER_OCTET + last?)
}

/// Counts of all hollow machines of a process since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Connections that were accepted.
    pub accepted: u64,
    /// Connections that are open now.
    pub open: u64,
    /// Machines to which a planner has connected at least once.
    pub reached: u64,
    /// Time of the latest first connection to a machine, in microseconds of the Unix clock.
    pub reached_at_us: u64,
    /// Bytes of messages to machines.
    pub bytes_in: u64,
    /// Bytes of messages from machines.
    pub bytes_out: u64,
    /// Set-ups (`launch`) that were received.
    pub launches: u64,
    /// Cancellations (`stop`) that were received.
    pub stops: u64,
    /// Health checks that were received.
    pub checks: u64,
    /// Other messages that were received.
    pub others: u64,
    /// Set-ups that were refused.
    pub refused: u64,
    /// Tasks that ended by themselves.
    pub ended: u64,
    /// Tasks that are running or starting now.
    pub held: u64,
    /// Bytes from planners to the machine list.
    pub list_in: u64,
    /// Bytes from the machine list to planners.
    pub list_out: u64,
}

impl Counts {
    /// Messages that machines received.
    pub fn messages(&self) -> u64 {
        self.launches + self.stops + self.checks + self.others
    }
}
