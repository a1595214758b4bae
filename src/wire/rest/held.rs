//! The hold of a request on the record that it waits for.

use crate::state::{Input, RecordId};
use crate::wire::hub::{Hub, Inner};
use std::sync::Arc;

/// Keeps a job or group readable for one request. Dropping it takes the hub's lock.
pub struct HeldRecord {
    hub: Arc<Hub>,
    record: RecordId,
}

impl HeldRecord {
    /// Holds a record, for a caller that has the lock.
    pub fn new(hub: &Arc<Hub>, inner: &mut Inner, record: RecordId) -> HeldRecord {
        hub.apply_in(inner, Input::HoldRecord { record });
        HeldRecord { hub: hub.clone(), record }
    }
}

impl Drop for HeldRecord {
    fn drop(&mut self) {
        self.hub.apply(Input::ReleaseRecord { record: self.record });
    }
}
