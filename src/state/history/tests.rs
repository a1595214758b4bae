use super::*;
use crate::placer::{CellId, Room, Standing};
use crate::state::MachineView;
use std::sync::Arc;

/// Guards against a watcher that resumes just past the end of the history and silently misses a change.
#[test]
fn a_version_is_resumed_without_gaps_or_not_at_all() {
    let mut history = History::new(3);
    for version in 1..=5 {
        let view = MachineView {
            name: "m".into(),
            zone: String::new(),
            cell: CellId(0),
            standing: Standing::Ready,
            free: Room::default(),
            started: 0.0,
            version,
        };
        history.push(ChangeKind::Added, Object::Machine(Arc::new(view)));
    }
    let versions = |from| match history.since(from, 9) {
        Resume::Changes(changes) => Some(changes.iter().map(|c| c.version).collect::<Vec<_>>()),
        Resume::Gone => None,
    };
    assert_eq!(versions(1), None);
    assert_eq!(versions(2), Some(vec![3, 4, 5]));
    assert_eq!(versions(5), Some(vec![]));
    assert_eq!(versions(6), None);
}
