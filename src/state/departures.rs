//! Attempts at machines that left the list. The list's word does not end what runs at a machine: an attempt there stays out
//! until the machine's connection is known to have ended, which shows that the machine gave it up.

use crate::placer::{MachineId, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a departure; never used twice.
pub type DepartureId = u64;

/// A machine that left, and the jobs of which an attempt was out there.
#[derive(Debug)]
pub(super) struct Departed {
    pub machine: MachineId,
    pub jobs: BTreeSet<RequestId>,
}

/// The departures whose connection is not known to have ended.
#[derive(Default)]
pub(super) struct Departures {
    count: DepartureId,
    open: BTreeMap<DepartureId, Departed>,
}

impl Departures {
    /// Books that a machine leaves with these attempts out.
    pub fn begin(&mut self, machine: MachineId, jobs: BTreeSet<RequestId>) -> DepartureId {
        self.count += 1;
        self.open.insert(self.count, Departed { machine, jobs });
        self.count
    }

    /// An attempt there is over; whether it was booked.
    pub fn remove(&mut self, departure: DepartureId, job: RequestId) -> bool {
        self.open.get_mut(&departure).is_some_and(|departed| departed.jobs.remove(&job))
    }

    /// The machine's connection has ended.
    pub fn end(&mut self, departure: DepartureId) -> Option<Departed> {
        self.open.remove(&departure)
    }
}
