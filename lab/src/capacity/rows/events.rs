//! What events need.

use super::{each, reading, Bound, Kind, Place, Resource, Row, Size, MACHINES, ZONE_SHARE};
use crate::capacity::targets::{self, assumed};

const MACHINE_LOST: Place = Place::Event("A machine lost");
const RACK_LOST: Place = Place::Event("A rack or switch lost");
const ZONE_LOST: Place = Place::Event("A zone lost");
const REGION_LOST: Place = Place::Event("A region lost");
const PLANNER_LOST: Place = Place::Event("A planner lost");
const PEAK: Place = Place::Event("The peak");
const RELEASE: Place = Place::Event("A release");

/// The rows, in the order in which they stand on the page.
pub const ROWS: &[Row] = &[
    Row {
        id: "machine-lost",
        place: MACHINE_LOST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "one change of the list at a planner",
        reading: reading("list-machines", "processor time of a change", 1.0, "us"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`",
    },
    Row {
        id: "rack-lost",
        place: RACK_LOST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "a change for each of 40 machines (question 3)",
        reading: reading("list-machines", "processor time of a change", assumed::RACK_MACHINES * 1e-3, "ms"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`",
    },
    Row {
        id: "zone-lost",
        place: ZONE_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "a change for each machine of a zone",
        reading: each("list-machines", "processor time of a change", ZONE_SHARE * 1e-6, "s"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `decide/silence`",
    },
    Row {
        id: "region-lost",
        place: REGION_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "a change for each machine of three zones",
        reading: each(
            "list-machines",
            "processor time of a change",
            ZONE_SHARE * assumed::LARGEST_REGION_ZONES * 1e-6,
            "s",
        ),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `decide/silence`",
    },
    Row {
        id: "planner-lost",
        place: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from its start to ready, no task standing",
        reading: reading("restart-machines", "from start to ready", 1e-3, "s"),
        size: MACHINES,
        bound: Some(Bound { most: assumed::READY_S, by: "standing test" }),
        module: "`life/mod`, `wire/platform/lists`",
    },
    Row {
        id: "planner-lost-reached",
        place: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from its start to all machines reached",
        reading: reading("restart-machines", "from start to all machines reached", 1e-3, "s"),
        size: MACHINES,
        bound: None,
        module: "`wire/platform/boxes`",
    },
    Row {
        id: "planner-lost-handed",
        place: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from the first task handed back to all taken in",
        reading: reading("restart-tasks", "from the first task to all taken in", 1e-3, "s"),
        size: Size::TasksOfPlanner,
        bound: None,
        module: "`wire/platform/owners`, `state/jobs`",
    },
    Row {
        id: "planner-lost-tasks",
        place: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "taking back the tasks that stand at it",
        reading: reading("restart-hollow-tasks", "processor time of a restart", 1.0, "ms"),
        size: Size::TasksOfPlanner,
        bound: None,
        module: "`state/jobs`, `wire/platform/owners`",
    },
    Row {
        id: "peak-cores",
        place: PEAK,
        kind: Kind::Service,
        resource: Resource::Processor,
        what: "cores for 11,000 starts a second, each planner with the whole view",
        reading: reading(
            "ask-machines",
            "processor time an ask, without rest",
            targets::STARTS_PER_S * 1e-3,
            "cores",
        ),
        size: MACHINES,
        bound: None,
        module: "`placer/rules`, `state/jobs`",
    },
    Row {
        id: "release-list",
        place: RELEASE,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "what one restarted planner takes in",
        reading: reading("restart-hollow", "processor time of a restart", 1.0, "ms"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `wire/platform/lists`",
    },
];
