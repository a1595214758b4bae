//! Set-ups that are held back: something of their client has come and is not read, which may be that it gave up or left.

use crate::placer::{MachineId, RequestId};
use crate::wire::platform::node::SetUp;

/// A set-up that is held back, the connection that it waits for, and that of its client.
pub(super) struct HeldSetUp {
    pub client: u64,
    pub machine: MachineId,
    pub life: u64,
    pub set_up: SetUp,
}

/// All that is held back; seldom more than a few.
#[derive(Default)]
pub(super) struct Held {
    all: Vec<HeldSetUp>,
}

impl Held {
    pub fn push(&mut self, held: HeldSetUp) {
        self.all.push(held);
    }

    /// Takes a set-up back; false where it is not held.
    pub fn take_back(&mut self, machine: MachineId, job: RequestId) -> bool {
        let is_it = |held: &HeldSetUp| held.machine == machine && held.set_up.job == job;
        let before = self.all.len();
        self.all.retain(|held| !is_it(held));
        self.all.len() < before
    }

    /// What was held back for a client that is heard now, in the order in which it was.
    pub fn take(&mut self, client: u64) -> Vec<HeldSetUp> {
        let (of_client, others) =
            std::mem::take(&mut self.all).into_iter().partition(|held| held.client == client);
        self.all = others;
        of_client
    }
}

#[cfg(test)]
mod tests;
