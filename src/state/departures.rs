//! Open attempts at machines that left the list. Leaving the list does not end what runs at a machine: an
//! attempt stays open until the connection to the machine is known to have ended, which shows that the
//! machine abandoned the attempt.

use crate::placer::{MachineId, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a departure; never reused.
pub type DepartureId = u64;

/// A machine that left the list, and the jobs with an open attempt there.
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
    /// Records that a machine left the list while these jobs had an open attempt there.
    pub fn begin(&mut self, machine: MachineId, jobs: BTreeSet<RequestId>) -> DepartureId {
        self.count += 1;
        self.open.insert(self.count, Departed { machine, jobs });
        self.count
    }

    /// Removes a job whose attempt is over; returns whether it was recorded.
    pub fn remove(&mut self, departure: DepartureId, job: RequestId) -> bool {
        self.open.get_mut(&departure).is_some_and(|departed| departed.jobs.remove(&job))
    }

    /// Removes a departure whose connection has ended.
    pub fn end(&mut self, departure: DepartureId) -> Option<Departed> {
        self.open.remove(&departure)
    }
}
