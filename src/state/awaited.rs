//! Records of jobs and groups that callers wait for. The core keeps a bounded number of finished records, and one input
//! may end more of them than that: what is forgotten before its callers have read it is kept for them.
//!
//! - A caller that holds a record can read it until it releases it (`what_a_caller_waits_for_outlives_its_record`).
//! - Nothing is kept that no caller holds: there is at most one entry for each waiting caller (same test).

use super::{GroupId, GroupView, JobView};
use crate::placer::RequestId;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// The name of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordId {
    /// A job's record.
    Job(RequestId),
    /// A group's record.
    Group(GroupId),
}

/// A forgotten record, as it was last.
#[derive(Clone, Debug)]
pub(super) enum LastView {
    Job(JobView),
    Group(GroupView),
}

/// A record that is held.
#[derive(Default)]
struct Held {
    /// Count. The callers that hold it.
    callers: usize,
    /// Set once the record is forgotten.
    last_view: Option<LastView>,
}

/// The records that callers wait for.
#[derive(Default)]
pub(super) struct AwaitedRecords {
    held: BTreeMap<RecordId, Held>,
}

impl AwaitedRecords {
    /// Holds a record for one more caller.
    pub fn hold(&mut self, record: RecordId) {
        self.held.entry(record).or_default().callers += 1;
    }

    /// A caller has read a record, or has left.
    pub fn release(&mut self, record: RecordId) {
        let Entry::Occupied(mut held) = self.held.entry(record) else { return };
        held.get_mut().callers -= 1;
        if held.get().callers == 0 {
            held.remove();
        }
    }

    /// Whether a caller holds a record.
    pub fn is_held(&self, record: RecordId) -> bool {
        self.held.contains_key(&record)
    }

    /// Whether no caller holds any record.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Keeps the last view of a record that is forgotten while it is held.
    pub fn keep(&mut self, record: RecordId, view: LastView) {
        if let Some(held) = self.held.get_mut(&record) {
            held.last_view = Some(view);
        }
    }

    /// The last view of a job whose record is forgotten.
    pub fn job(&self, job: RequestId) -> Option<JobView> {
        match &self.held.get(&RecordId::Job(job))?.last_view {
            Some(LastView::Job(view)) => Some(view.clone()),
            _ => None,
        }
    }

    /// The last view of a group whose record is forgotten.
    pub fn group(&self, group: GroupId) -> Option<GroupView> {
        match &self.held.get(&RecordId::Group(group))?.last_view {
            Some(LastView::Group(view)) => Some(view.clone()),
            _ => None,
        }
    }
}
