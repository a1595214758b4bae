//! Set-ups that are held back: something of their client has come and is not read, which may be that it gave up or left.

use crate::placer::{MachineId, RequestId};
use crate::wire::platform::node::SetUp;
use std::collections::BTreeMap;

/// A set-up that is held back, and the connection that it waits for.
pub(super) struct HeldSetUp {
    pub machine: MachineId,
    pub life: u64,
    pub set_up: SetUp,
}

/// All that is held back, by the connections of their clients.
#[derive(Default)]
pub(super) struct Held {
    by_client: BTreeMap<u64, Vec<HeldSetUp>>,
}

impl Held {
    pub fn push(&mut self, client: u64, held: HeldSetUp) {
        self.by_client.entry(client).or_default().push(held);
    }

    /// Takes a set-up back; false where it is not held.
    pub fn take_back(&mut self, machine: MachineId, job: RequestId) -> bool {
        let is_it = |held: &HeldSetUp| held.machine == machine && held.set_up.job == job;
        for of_client in self.by_client.values_mut() {
            if let Some(at) = of_client.iter().position(is_it) {
                of_client.remove(at);
                return true;
            }
        }
        false
    }

    /// What was held back for a client that is heard now.
    pub fn take(&mut self, client: u64) -> Vec<HeldSetUp> {
        self.by_client.remove(&client).unwrap_or_default()
    }
}
