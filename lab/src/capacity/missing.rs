//! Mechanisms that the program lacks, each with the size at which it becomes necessary and a proposed remedy.

/// The size at which a mechanism becomes necessary.
#[derive(Clone, Copy, Debug)]
pub enum Onset {
    /// It is necessary at any size, under the given condition.
    Always(&'static str),
    /// At the size at which the first of these rows (by their identifiers) exceeds its bound.
    Rows(&'static [&'static str]),
}

/// A mechanism that the program lacks.
#[derive(Clone, Copy, Debug)]
pub struct MissingMechanism {
    /// Its name.
    pub name: &'static str,
    /// The size at which it becomes necessary.
    pub onset: Onset,
    /// The current behaviour.
    pub today: &'static str,
    /// The work that would provide it.
    pub remedy: &'static str,
}

/// All missing mechanisms; the page lists them by the size at which they become necessary.
pub const MISSING: &[MissingMechanism] = &[
    MissingMechanism {
        name: "A planner serves a bounded part of the machines",
        onset: Onset::Rows(&["rest-processor", "rest-memory", "rest-bytes", "state-machines"]),
        today: "every planner keeps a connection and a record for each machine of the list, and a pick looks at all of them \
                (`state/machine_table`, `wire/platform/machine_links`, `placer/rules`)",
        remedy: "`docs/design/subsets.md`",
    },
    MissingMechanism {
        name: "Configuration as changes instead of whole files",
        onset: Onset::Rows(&["config-bytes", "config-processor", "config-processor-real", "config-time", "config-file"]),
        today: "SIGHUP reads both files anew and whole (`life/mod`, `life/operators`); a file with one fault is refused \
                whole; nothing carries a file to a planner's machine, and nothing tells whether all planners have it",
        remedy: "numbered changes by route over a list and watch with bookmarks, as the machine list has; a holder with three \
                replicas; checks of one route against the table in force; the number in force in `GET /v1/limits`",
    },
    MissingMechanism {
        name: "Votes that do not grow with planners",
        onset: Onset::Rows(&["voter-bytes", "voter-busy-bytes", "members-bytes"]),
        today: "each planner claims its slot at every voter four times a lease, so that a voter hears and answers all \
                planners (`decide/fleet`, `decide/fleet/voter`)",
        remedy: "first longer leases, a setting (`leaseMs`): claims go four times a lease; then voters by slot, a few of many \
                chosen by the slot's draw, so that each hears a part of the planners",
    },
    MissingMechanism {
        name: "The silence of a machine that holds tasks, noticed without a dial a second",
        onset: Onset::Rows(&["rest-tasks-processor"]),
        today: "each machine that holds tasks and has said nothing for a second is dialled beside its connection, so that the \
                cost goes with the machines that hold tasks and not with the tasks (`decide/silence`, `wire/platform/machine_links`)",
        remedy: "a slope against machines that hold tasks, then fewer dials: one of the planners that hold tasks at a machine \
                dials for all, or the time between dials grows with how many machines a planner watches, as far as the 8 s \
                in which an end is to be told allow",
    },
    MissingMechanism {
        name: "Standing tasks beyond one planner's memory",
        onset: Onset::Rows(&["state-tasks", "rest-tasks-memory"]),
        today: "each planner keeps what it placed, a quarter of its memory at the most (`Limits::jobs` in `life/config`); \
                a task is known to one planner alone",
        remedy: "a record of some tens of bytes for a task that stands and owes nothing, with the rest at its machine",
    },
    MissingMechanism {
        name: "Teams' quotas",
        onset: Onset::Always("with the second team"),
        today: "the module knows tenants with quotas of cores (`placer/rules`), but every front sets `tenant: None` \
                (`wire/rest/jobs`, `wire/rest/groups`, `wire/platform/owners`); limits and budgets count jobs in flight and \
                rates by class and service, not what a team holds",
        remedy: "the team as a field of a job and of a route; a budget of cores held, which lasts as long as a task stands and \
                so longer than a lease: a counter that machines' reports correct, not one that only votes keep",
    },
    MissingMechanism {
        name: "Urgent work started within 7.1 s on a full fleet",
        onset: Onset::Always("once the fleet is full"),
        today: "waiting tasks are tried in the order of their worth (`placer/rules`); nothing keeps room free, and no \
                machine pushes out a task for another",
        remedy: "room kept back by a share of each part that only urgent classes may use, and moves of tasks that may be moved \
                (`migrate` is on the wire, and no rule uses it for this)",
    },
    MissingMechanism {
        name: "Regions that lose each other",
        onset: Onset::Always("with the second region"),
        today: "zone and cell are the only places (`placer/interface`); leases need a majority of all voters, so the side \
                without it has its floors alone (`decide/fleet`), and a region's machines fall silent at once, which \
                `decide/silence` waits out for 6.5 s and then calls lost",
        remedy: "the region of a machine and of a planner in the list; budgets divided by region first, voters in each; parts of \
                a planner within its region; silence judged by region",
    },
    MissingMechanism {
        name: "Gangs across planners",
        onset: Onset::Always("with the second planner that takes gangs"),
        today: "a gang is held by one planner and its room is promised on that planner's view alone (`decide/groups/fit`); two \
                planners may let two in that do not both fit, and both then cut and pause",
        remedy: "room of a gang booked at its machines' planners before the first send (two phases with leases), or all large \
                gangs of a zone at one planner chosen by rendezvous",
    },
];
