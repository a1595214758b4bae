//! Set-ups that are held back because their owner has sent bytes that are not read yet: these may cancel the
//! job or close the connection.

use crate::placer::{MachineId, RequestId};
use crate::wire::platform::node::SetUp;

/// A set-up that is held back, the link that it is meant for, and the id of its owner's connection.
pub(super) struct HeldSetUp {
    pub owner_link: u64,
    pub machine: MachineId,
    pub link_id: u64,
    pub set_up: SetUp,
}

/// All set-ups that are held back; rarely more than a few.
#[derive(Default)]
pub(super) struct HeldSetUps {
    all: Vec<HeldSetUp>,
}

impl HeldSetUps {
    pub fn push(&mut self, held: HeldSetUp) {
        self.all.push(held);
    }

    /// Drops a set-up that was cancelled; false where it is not held.
    pub fn withdraw(&mut self, machine: MachineId, job: RequestId) -> bool {
        let is_it = |held: &HeldSetUp| held.machine == machine && held.set_up.job == job;
        let before = self.all.len();
        self.all.retain(|held| !is_it(held));
        self.all.len() < before
    }

    /// Removes and returns the set-ups of an owner whose bytes have all been read; they keep their order.
    pub fn take(&mut self, owner_link: u64) -> Vec<HeldSetUp> {
        let (of_owner, others) =
            std::mem::take(&mut self.all).into_iter().partition(|held| held.owner_link == owner_link);
        self.all = others;
        of_owner
    }
}

#[cfg(test)]
mod tests;
