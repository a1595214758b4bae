//! The rows of the page: which figure of which slope tells what a role or an event needs, at which size, under which
//! bound, and which module carries it.

use super::page::reading::Reading;
use super::targets::{self, assumed, control, program};

/// A part that something of the fleet plays, or something that happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// What is there all the time.
    Role(&'static str),
    /// What happens.
    Event(&'static str),
}

/// Whether the cost grows with machines and planners, or with asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Spent while no ask comes, or growing with machines or planners.
    Control,
    /// Growing with asks.
    Service,
}

/// What is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// What is kept.
    State,
    /// Messages and their bytes.
    Messages,
    /// Processor time.
    Processor,
    /// Resident memory.
    Memory,
    /// Time until something is done.
    Time,
}

/// The size at which a row is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    /// A size of the target.
    Target(f64),
    /// As many planners as the fleet needs ([`super::page::planners`]).
    Planners,
    /// The tasks that stand at one of them.
    TasksOfPlanner,
}

/// What a row may cost.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The most, in the row's unit.
    pub most: f64,
    /// Who says so.
    pub by: &'static str,
}

/// One row of the page.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Names the row for the table of what is missing.
    pub id: &'static str,
    /// Where it stands.
    pub place: Place,
    /// Control or service.
    pub kind: Kind,
    /// What is spent.
    pub resource: Resource,
    /// What it is, in words.
    pub what: &'static str,
    /// The figure.
    pub reading: Reading,
    /// The size.
    pub size: Size,
    /// The bound, where there is one.
    pub bound: Option<Bound>,
    /// The module that carries it.
    pub module: &'static str,
}

const PLANNER: Place = Place::Role("Planner");
const VOTER: Place = Place::Role("Voter for leases and budgets");
const CONFIGURATION: Place = Place::Role("Holder and carrier of the configuration");
const LIST: Place = Place::Role("Source of the machine list");
const MACHINE: Place = Place::Role("Machine, as a planner sees it");
const CLIENT: Place = Place::Role("Client");
const MACHINE_LOST: Place = Place::Event("A machine lost");
const RACK_LOST: Place = Place::Event("A rack or switch lost");
const ZONE_LOST: Place = Place::Event("A zone lost");
const REGION_LOST: Place = Place::Event("A region lost");
const PLANNER_LOST: Place = Place::Event("A planner lost");
const PEAK: Place = Place::Event("The peak");
const RELEASE: Place = Place::Event("A release");

const MACHINES: Size = Size::Target(targets::MACHINES);
const TEAMS: Size = Size::Target(targets::TEAMS);

const PROCESSOR: Bound = Bound { most: 100.0 * control::PROCESSOR_SHARE, by: "operators" };
const MEMORY: Bound = Bound { most: control::MEMORY_MB, by: "operators" };
const BYTES: Bound = Bound { most: control::BYTES_PER_S, by: "operators" };

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// KiB of a megabyte.
const KIB_IN_MB: f64 = 1024.0;
/// Hundredths of a core, of a share of one.
const PERCENT: f64 = 100.0;
/// Hundredths of a core, of milliseconds a second.
const PERCENT_OF_MS: f64 = PERCENT / 1e3;
/// Hundredths of a core, of microseconds a second.
const PERCENT_OF_US: f64 = PERCENT / 1e6;
/// Share of the machines that a zone has.
const ZONE_SHARE: f64 = 1.0 / targets::ZONES;

const fn reading(slope: &'static str, figure: &'static str, times: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, plus: None, times, times_size: false, unit }
}

/// What comes with each unit of the size, so that it is multiplied by the size as well.
const fn each(slope: &'static str, figure: &'static str, times: f64, unit: &'static str) -> Reading {
    Reading { slope, figure, plus: None, times, times_size: true, unit }
}

const fn both(slope: &'static str, figures: [&'static str; 2], unit: &'static str) -> Reading {
    Reading { slope, figure: figures[0], plus: Some(figures[1]), times: 1.0, times_size: false, unit }
}

/// All rows, in the order in which they stand on the page.
pub const ROWS: &[Row] = &[
    Row {
        id: "rest-processor",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "processor time at rest",
        reading: reading("rest-machines", "processor time at rest", PERCENT, "% of a core"),
        size: MACHINES,
        bound: Some(PROCESSOR),
        module: "`wire/platform/boxes`, `state/alarms`",
    },
    Row {
        id: "rest-memory",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Memory,
        what: "resident memory",
        reading: reading("rest-machines", "resident memory", 1.0 / KIB_IN_MB, "MB"),
        size: MACHINES,
        bound: Some(MEMORY),
        module: "`wire/hub`, `state/machines`",
    },
    Row {
        id: "rest-bytes",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "bytes a second in and out, at rest",
        reading: both("rest-machines", ["bytes in at rest", "bytes out at rest"], "bytes/s"),
        size: MACHINES,
        bound: Some(BYTES),
        module: "`wire/platform/boxes`",
    },
    Row {
        id: "rest-today",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "processor time at rest with 1,024 descriptors, where connections go round",
        reading: reading("rest-machines-1024", "processor time at rest", PERCENT, "% of a core"),
        size: MACHINES,
        bound: Some(PROCESSOR),
        module: "`decide/links`, `wire/platform/boxes`",
    },
    Row {
        id: "state-machines",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::State,
        what: "what is kept of all machines",
        reading: reading("state-machines", "bytes of state", 1.0 / MEGABYTE, "MB"),
        size: MACHINES,
        bound: Some(MEMORY),
        module: "`state/machines`, `placer/records`",
    },
    Row {
        id: "state-tasks",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::State,
        what: "what is kept of the tasks that stand at one planner",
        reading: reading("state-tasks", "bytes of state", 1.0 / MEGABYTE, "MB"),
        size: Size::TasksOfPlanner,
        bound: Some(MEMORY),
        module: "`state/jobs`",
    },
    Row {
        id: "rest-tasks-memory",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Memory,
        what: "resident memory with them, 400 machines",
        reading: reading("rest-tasks", "resident memory", 1.0 / KIB_IN_MB, "MB"),
        size: Size::TasksOfPlanner,
        bound: Some(MEMORY),
        module: "`state/jobs`",
    },
    Row {
        id: "rest-tasks-processor",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "processor time at rest with the tasks that stand at one planner",
        reading: reading("rest-tasks", "processor time at rest", PERCENT, "% of a core"),
        size: Size::TasksOfPlanner,
        bound: Some(PROCESSOR),
        module: "`state/jobs`, `state/alarms`",
    },
    Row {
        id: "members-bytes",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "membership and budgets, in the mean, while all want more than there is",
        reading: reading("members-busy", "bytes a second in and out, mean", 1.0, "bytes/s"),
        size: Size::Planners,
        bound: Some(BYTES),
        module: "`decide/fleet`, `decide/budgets`, `wire/peers`",
    },
    Row {
        id: "members-processor",
        place: PLANNER,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "processor time at rest in a fleet, 8 machines",
        reading: reading("rest-planners", "processor time at rest", PERCENT, "% of a core"),
        size: Size::Planners,
        bound: Some(PROCESSOR),
        module: "`decide/fleet`, `decide/budgets`",
    },
    Row {
        id: "ask-processor",
        place: PLANNER,
        kind: Kind::Service,
        resource: Resource::Processor,
        what: "processor time of an ask, beside that at rest",
        reading: reading("ask-machines", "processor time an ask, without rest", 1.0, "ms"),
        size: MACHINES,
        bound: None,
        module: "`placer/rules`, `state/jobs`, `wire/platform`",
    },
    Row {
        id: "pick-machines",
        place: PLANNER,
        kind: Kind::Service,
        resource: Resource::Processor,
        what: "machines looked at for one pick",
        reading: reading("pick-machines", "machines looked at a pick", 1.0, "machines"),
        size: MACHINES,
        bound: None,
        module: "`placer/rules`",
    },
    Row {
        id: "gang-processor",
        place: PLANNER,
        kind: Kind::Service,
        resource: Resource::Processor,
        what: "processor time of a gang of 128",
        reading: reading("gang-machines", "processor time a gang", 1.0, "ms"),
        size: MACHINES,
        bound: None,
        module: "`decide/groups`, `state/groups`",
    },
    Row {
        id: "admission-routes",
        place: PLANNER,
        kind: Kind::Service,
        resource: Resource::Processor,
        what: "admission of an ask, a route for each team",
        reading: reading("admission-routes", "processor time an admission", 1.0, "us"),
        size: TEAMS,
        bound: None,
        module: "`decide/limits`",
    },
    Row {
        id: "voter-messages",
        place: VOTER,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "datagrams a second in and out of the busiest planner, at rest",
        reading: reading("members", "datagrams a second in and out, most", 1.0, "messages/s"),
        size: Size::Planners,
        bound: None,
        module: "`decide/fleet/voter`",
    },
    Row {
        id: "voter-bytes",
        place: VOTER,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "bytes a second in and out of the busiest planner, at rest",
        reading: reading("members", "bytes a second in and out, most", 1.0, "bytes/s"),
        size: Size::Planners,
        bound: Some(BYTES),
        module: "`decide/fleet/voter`, `wire/peers`",
    },
    Row {
        id: "voter-busy-bytes",
        place: VOTER,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "the same while all want more than there is",
        reading: reading("members-busy", "bytes a second in and out, most", 1.0, "bytes/s"),
        size: Size::Planners,
        bound: Some(BYTES),
        module: "`decide/budgets`, `wire/peers`",
    },
    Row {
        id: "config-bytes",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "whole files, a route for each team and 86 changes of each a day",
        reading: each("config-parse", "bytes of the file", targets::CONFIG_CHANGES_PER_TEAM_S, "bytes/s"),
        size: TEAMS,
        bound: Some(BYTES),
        module: "`life/operators`; nothing carries files between machines",
    },
    Row {
        id: "config-processor",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "reading them and putting them in force",
        reading: each(
            "config-parse",
            "processor time until in force",
            targets::CONFIG_CHANGES_PER_TEAM_S * PERCENT_OF_MS,
            "% of a core",
        ),
        size: TEAMS,
        bound: Some(PROCESSOR),
        module: "`life/operators`, `document`, `decide/limits`",
    },
    Row {
        id: "config-processor-real",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "the same in a process, with signal and file",
        reading: each(
            "config-size",
            "processor time of a change",
            targets::CONFIG_CHANGES_PER_TEAM_S * PERCENT_OF_MS,
            "% of a core",
        ),
        size: TEAMS,
        bound: Some(PROCESSOR),
        module: "`life/mod`, `life/operators`",
    },
    Row {
        id: "config-rate-processor",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "the same at a rate of changes, 720 routes",
        reading: reading("config-rate", "processor time of changes", PERCENT, "% of a core"),
        size: Size::Target(targets::CONFIG_CHANGES_PER_S),
        bound: Some(PROCESSOR),
        module: "`life/mod`, `life/operators`",
    },
    Row {
        id: "config-state",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::State,
        what: "what is kept of routes",
        reading: reading("admission-routes", "bytes of state", 1.0 / MEGABYTE, "MB"),
        size: TEAMS,
        bound: Some(MEMORY),
        module: "`decide/limits`",
    },
    Row {
        id: "config-time",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from the write of a file to in force, one planner, the file at hand",
        reading: reading("config-size", "from write to in force", 1e-3, "s"),
        size: TEAMS,
        bound: Some(Bound { most: targets::CONFIG_IN_FORCE_S, by: "operators" }),
        module: "`life/mod`",
    },
    Row {
        id: "config-rate-time",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::Time,
        what: "from the last write to in force at that rate, 720 routes",
        reading: reading("config-rate", "from the last write to in force", 1e-3, "s"),
        size: Size::Target(targets::CONFIG_CHANGES_PER_S),
        bound: Some(Bound { most: targets::CONFIG_IN_FORCE_S, by: "operators" }),
        module: "`life/mod`",
    },
    Row {
        id: "config-file",
        place: CONFIGURATION,
        kind: Kind::Control,
        resource: Resource::State,
        what: "the file",
        reading: reading("config-parse", "bytes of the file", 1.0, "bytes"),
        size: TEAMS,
        bound: Some(Bound { most: program::FILE_BYTES, by: "program" }),
        module: "`document`",
    },
    Row {
        id: "list-whole",
        place: LIST,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "the whole list in one line, at each start and each break",
        reading: reading("list-machines", "bytes of a whole list", 1.0, "bytes"),
        size: MACHINES,
        bound: Some(Bound { most: program::LIST_LINE_BYTES, by: "program" }),
        module: "`wire/platform/board`, `wire/platform/lists`",
    },
    Row {
        id: "list-whole-processor",
        place: LIST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "a whole list at a planner",
        reading: reading("list-machines", "processor time of a whole list", 1.0, "ms"),
        size: MACHINES,
        bound: None,
        module: "`wire/platform/lists`, `state/machines`",
    },
    Row {
        id: "list-bytes",
        place: LIST,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "changes: machines that come or go (question 1)",
        reading: each("list-machines", "bytes of a change", assumed::LIST_CHANGES_PER_MACHINE_S, "bytes/s"),
        size: MACHINES,
        bound: Some(BYTES),
        module: "`wire/platform/lists`",
    },
    Row {
        id: "list-processor",
        place: LIST,
        kind: Kind::Control,
        resource: Resource::Processor,
        what: "the same at a planner",
        reading: each(
            "list-machines",
            "processor time of a change",
            assumed::LIST_CHANGES_PER_MACHINE_S * PERCENT_OF_US,
            "% of a core",
        ),
        size: MACHINES,
        bound: Some(PROCESSOR),
        module: "`state/machines`, `placer/rules`",
    },
    Row {
        id: "list-free-bytes",
        place: LIST,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "changes if each machine's free room is told every 10 s (question 1)",
        reading: each(
            "list-machines",
            "bytes of a change",
            assumed::LIST_FREE_CHANGES_PER_MACHINE_S,
            "bytes/s",
        ),
        size: MACHINES,
        bound: Some(BYTES),
        module: "`wire/platform/lists`",
    },
    Row {
        id: "machine-state",
        place: MACHINE,
        kind: Kind::Control,
        resource: Resource::State,
        what: "what a planner keeps of one machine",
        reading: reading("state-machines", "bytes of state a machine", 1.0, "bytes"),
        size: MACHINES,
        bound: None,
        module: "`state/machines`, `placer/records`",
    },
    Row {
        id: "machine-messages",
        place: MACHINE,
        kind: Kind::Control,
        resource: Resource::Messages,
        what: "messages a second of one planner at rest to all its machines",
        reading: reading("rest-hollow", "messages to machines a second", 1.0, "messages/s"),
        size: MACHINES,
        bound: None,
        module: "`placer/rules` (tests)",
    },
    Row {
        id: "client-answer",
        place: CLIENT,
        kind: Kind::Service,
        resource: Resource::Time,
        what: "p99 of the answer at 200 asks a second (question 6)",
        reading: reading("ask-machines", "answer at 200 a second, p99", 1.0, "ms"),
        size: MACHINES,
        bound: Some(Bound { most: assumed::ANSWER_MS, by: "assumed" }),
        module: "`wire/platform/owners`, `state/jobs`",
    },
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

/// A figure that hollow planners or no process give, and that of real processes beside it.
#[derive(Clone, Copy, Debug)]
pub struct Beside {
    /// What it is, in words.
    pub what: &'static str,
    /// The hollow one.
    pub hollow: Reading,
    /// The real one, in the same unit.
    pub real: Reading,
}

/// All such pairs.
pub const HOLLOW_AND_REAL: &[Beside] = &[
    Beside {
        what: "bytes a second that a planner at rest sends to others",
        hollow: reading("members", "bytes a second out, mean", 1.0, "bytes/s"),
        real: reading("rest-planners", "bytes to other planners", 1.0, "bytes/s"),
    },
    Beside {
        what: "messages a second to machines, at rest (hollow: no looks at connections)",
        hollow: reading("rest-hollow", "messages to machines a second", 1.0, "messages/s"),
        real: reading("rest-machines", "messages at rest", 1.0, "messages/s"),
    },
    Beside {
        what: "processor time of an ask (hollow: no sockets)",
        hollow: reading("pick-machines", "processor time an ask", 1e-3, "ms"),
        real: reading("ask-machines", "processor time an ask, without rest", 1.0, "ms"),
    },
    Beside {
        what: "processor time of a start (hollow: no sockets)",
        hollow: reading("restart-hollow", "processor time of a restart", 1.0, "ms"),
        real: reading("restart-machines", "processor time of the start", 1.0, "ms"),
    },
    Beside {
        what: "processor time of a changed configuration (hollow: no signal, no file)",
        hollow: reading("config-parse", "processor time until in force", 1.0, "ms"),
        real: reading("config-size", "processor time of a change", 1.0, "ms"),
    },
];
