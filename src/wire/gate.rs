//! The gate: the one point at which an attempt leaves for its machine. Between the decision and the write lie queues,
//! dials and pauses of the process, in which the job's owner may leave, its time or its window may end, and its machine may
//! drain or close the connection. So everything that has come by then is heard first:
//!
//! - alarms that are due take back what must not leave any longer (deadline, window for repeats, part of a cold machine);
//! - where the list has something to say, nothing leaves until it is heard; where a job's owner has, that job's attempt
//!   does not. Owners that are heard late, such as those that flood, hold up nobody else's;
//! - on a connection that its machine closed nothing leaves: what never left never ran, and goes on another.
//!
//! What a pause between this look and the system call leaves open cannot be closed without the machine's help.

use super::hub::{Hub, Inner};
use super::outbox::Sink;
use super::unread::has_news;
use crate::placer::{AttemptNo, MachineId, RequestId};
use crate::state::{Input, Owner};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// Time between looks at whether what holds an attempt back has been heard.
pub const HEAR: Duration = Duration::from_millis(1);

/// What still waits after a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Messages for which the socket has no room.
    pub for_socket: bool,
    /// Set-ups that are held back until others were heard.
    pub for_news: bool,
}

impl Hub {
    /// Writes what waits for a machine, as long as the link is that one and its machine did not close the connection, and
    /// tells what more waits. What left is booked also where the connection broke in the midst of it: it may have run.
    ///
    /// # Errors
    /// What broke the connection.
    pub fn write_out(
        &self,
        (machine, life, address): (MachineId, u64, &str),
        sink: &impl Sink,
        left: &mut Vec<(RequestId, AttemptNo)>,
    ) -> io::Result<Option<Waits>> {
        let mut inner = self.lock();
        // Whoever was stopped between deciding and writing looks at the time once more: what is due by now takes back
        // what must not leave any longer.
        if inner.core.next_alarm().is_some_and(|at| at <= self.now()) {
            self.apply_in(&mut inner, Input::Tick);
        }
        let is_that =
            |inner: &Inner| inner.nodes.get(&machine).is_some_and(|l| l.life == life && l.address == address);
        if !is_that(&inner) {
            return Ok(None);
        }
        let set_ups = inner.nodes.get(&machine).map_or(vec![], |l| l.outbox.set_ups());
        if !set_ups.is_empty() && sink.is_closed()? {
            return Ok(None);
        }
        let held = inner.unheard(&set_ups);
        let Some(link) = inner.nodes.get_mut(&machine) else { return Ok(None) };
        let held = if held.is_empty() { 0 } else { link.outbox.hold_back(|job| held.contains(&job)) };
        let written = link.outbox.write(sink, held, left);
        let waits = Waits { for_socket: link.outbox.len() > held, for_news: held > 0 };
        for (job, attempt) in left.drain(..) {
            self.apply_in(&mut inner, Input::Sent { job, attempt });
        }
        written.map(|()| Some(waits))
    }
}

impl Inner {
    /// Those of the jobs of which something has come that was not heard yet: word of the list, or of their owners.
    fn unheard(&self, jobs: &[RequestId]) -> Vec<RequestId> {
        if jobs.is_empty() {
            return vec![];
        }
        if self.board.as_ref().is_some_and(|board| has_news(board)) {
            return jobs.to_vec();
        }
        let mut owners: BTreeMap<u64, bool> = BTreeMap::new();
        let mut is_unheard = |job: &RequestId| {
            // Who asked through the REST front looks at the job by its id, and may leave meanwhile.
            let Some(Owner::Link(link)) = self.core.job(*job).map(|j| j.owner) else { return false };
            let news = || self.owners.get(&link).and_then(|l| l.stream.as_ref()).is_some_and(|s| has_news(s));
            *owners.entry(link).or_insert_with(news)
        };
        jobs.iter().copied().filter(|job| is_unheard(job)).collect()
    }
}

#[cfg(test)]
mod tests;
