//! The rows for the costs of events.

use super::{per_unit, reading, Bound, Kind, Resource, Row, Section, Size, MACHINES, ZONE_SHARE};
use crate::capacity::targets::{self, assumed};

const MACHINE_LOST: Section = Section::Event("A machine lost");
const RACK_LOST: Section = Section::Event("A rack or switch lost");
const ZONE_LOST: Section = Section::Event("A zone lost");
const REGION_LOST: Section = Section::Event("A region lost");
const PLANNER_LOST: Section = Section::Event("A planner lost");
const PEAK: Section = Section::Event("The peak");
const RELEASE: Section = Section::Event("A release");

/// The rows, in the order of the page.
pub const ROWS: &[Row] = &[
    Row {
        id: "machine-lost",
        section: MACHINE_LOST,
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
        section: RACK_LOST,
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
        section: ZONE_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "a change for each machine of a zone",
        reading: per_unit("list-machines", "processor time of a change", ZONE_SHARE * 1e-6, "s"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `decide/silence`",
    },
    Row {
        id: "region-lost",
        section: REGION_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "a change for each machine of three zones",
        reading: per_unit(
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
        section: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from its start to ready, no task standing",
        reading: reading("restart-machines", "from start to ready", 1e-3, "s"),
        size: MACHINES,
        bound: Some(Bound { limit: assumed::READY_S, set_by: "standing test" }),
        module: "`life/mod`, `wire/platform/machine_list`",
    },
    Row {
        id: "planner-lost-reached",
        section: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from its start to all machines reached",
        reading: reading("restart-machines", "from start to all machines reached", 1e-3, "s"),
        size: MACHINES,
        bound: None,
        module: "`wire/platform/machine_links`",
    },
    Row {
        id: "planner-lost-handed",
        section: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from the first task handed back to all taken in",
        reading: reading("restart-tasks", "from the first task to all taken in", 1e-3, "s"),
        size: Size::TasksPerPlanner,
        bound: None,
        module: "`wire/platform/owners`, `state/jobs`",
    },
    Row {
        id: "planner-lost-tasks",
        section: PLANNER_LOST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "taking back the tasks that stand at it",
        reading: reading("restart-hollow-tasks", "processor time of a restart", 1.0, "ms"),
        size: Size::TasksPerPlanner,
        bound: None,
        module: "`state/jobs`, `wire/platform/owners`",
    },
    Row {
        id: "peak-cores",
        section: PEAK,
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
        section: RELEASE,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "what one restarted planner takes in",
        reading: reading("restart-hollow", "processor time of a restart", 1.0, "ms"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `wire/platform/machine_list`",
    },
];
