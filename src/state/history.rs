//! The bounded history of changes from which watchers read. A version is never reused.

use super::Object;
use std::collections::VecDeque;

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Added,
    Modified,
    Deleted,
}

/// A change of one object.
#[derive(Clone, Debug)]
pub struct Change {
    pub version: u64,
    pub kind: ChangeKind,
    pub object: Object,
}

/// The result of reading the history from a version on.
#[derive(Debug)]
pub enum Resume {
    /// The changes after the version.
    Changes(Vec<Change>),
    /// The version is too old for the history, or was never assigned: the watcher must list again.
    Gone,
}

/// The changes, oldest first.
pub struct History {
    most: usize,
    changes: VecDeque<Change>,
    version: u64,
}

impl History {
    pub fn new(most: usize) -> Self {
        History { most, changes: VecDeque::new(), version: 0 }
    }

    /// The version of the newest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version that the next change will have.
    pub fn next_version(&self) -> u64 {
        self.version + 1
    }

    pub fn push(&mut self, kind: ChangeKind, object: Object) {
        self.version += 1;
        if self.changes.len() >= self.most {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { version: self.version, kind, object });
    }

    /// Returns up to `most` changes after a version. Consecutive calls neither skip nor repeat a change.
    pub fn since(&self, version: u64, most: usize) -> Resume {
        let oldest = self.changes.front().map_or(self.version + 1, |c| c.version);
        if version > self.version || version + 1 < oldest {
            return Resume::Gone;
        }
        let skip = (version + 1 - oldest) as usize;
        Resume::Changes(self.changes.iter().skip(skip).take(most).cloned().collect())
    }
}

#[cfg(test)]
mod tests;
