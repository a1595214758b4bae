//! What the program has no mechanism for, each with the row in which its lack is felt first, and what it would take.

/// Where a lack is felt.
#[derive(Clone, Copy, Debug)]
pub enum Felt {
    /// At any size: why.
    Always(&'static str),
    /// Where the first of these rows breaks its bound.
    Rows(&'static [&'static str]),
}

/// A mechanism that is missing.
#[derive(Clone, Copy, Debug)]
pub struct Missing {
    /// Its name.
    pub name: &'static str,
    /// Where its lack is felt.
    pub felt: Felt,
    /// What the code does today.
    pub today: &'static str,
    /// What it would take.
    pub takes: &'static str,
}

/// All of them; the page puts them in the order of the size at which they are felt.
pub const MISSING: &[Missing] = &[
    Missing {
        name: "A planner serves a bounded part of the machines",
        felt: Felt::Rows(&["rest-processor", "rest-memory", "rest-bytes", "state-machines"]),
        today: "every planner keeps a connection and a record for each machine of the list, and a pick looks at all of them \
                (`state/machine_table`, `wire/platform/boxes`, `placer/rules`)",
        takes: "`docs/design/subsets.md`",
    },
    Missing {
        name: "Configuration as changes instead of whole files",
        felt: Felt::Rows(&["config-bytes", "config-processor", "config-processor-real", "config-time", "config-file"]),
        today: "SIGHUP reads both files anew and whole (`life/mod`, `life/operators`); a file with one fault is refused \
                whole; nothing carries a file to a planner's machine, and nothing tells whether all planners have it",
        takes: "numbered changes by route over a list and watch with bookmarks, as the machine list has; a holder with three \
                replicas; checks of one route against the table in force; the number in force in `GET /v1/limits`",
    },
    Missing {
        name: "Votes that do not grow with planners",
        felt: Felt::Rows(&["voter-bytes", "voter-busy-bytes", "members-bytes"]),
        today: "each planner claims its slot at every voter four times a lease, so that a voter hears and answers all \
                planners (`decide/fleet`, `decide/fleet/voter`)",
        takes: "first longer leases, a setting (`leaseMs`): claims go four times a lease; then voters by slot, a few of many \
                chosen by the slot's draw, so that each hears a part of the planners",
    },
    Missing {
        name: "The silence of a machine that holds tasks, noticed without a dial a second",
        felt: Felt::Rows(&["rest-tasks-processor"]),
        today: "each machine that holds tasks and has said nothing for a second is dialled beside its connection, so that the \
                cost goes with the machines that hold tasks and not with the tasks (`decide/silence`, `wire/platform/boxes`)",
        takes: "a slope against machines that hold tasks, then fewer dials: one of the planners that hold tasks at a machine \
                dials for all, or the time between dials grows with how many machines a planner watches, as far as the 8 s \
                in which an end is to be told allow",
    },
    Missing {
        name: "Standing tasks beyond one planner's memory",
        felt: Felt::Rows(&["state-tasks", "rest-tasks-memory"]),
        today: "each planner keeps what it placed, a quarter of its memory at the most (`Limits::jobs` in `life/config`); \
                a task is known to one planner alone",
        takes: "a record of some tens of bytes for a task that stands and owes nothing, with the rest at its machine",
    },
    Missing {
        name: "Teams' quotas",
        felt: Felt::Always("with the second team"),
        today: "the module knows tenants with quotas of cores (`placer/rules`), but every front sets `tenant: None` \
                (`wire/rest/jobs`, `wire/rest/groups`, `wire/platform/owners`); limits and budgets count jobs in flight and \
                rates by class and service, not what a team holds",
        takes: "the team as a field of a job and of a route; a budget of cores held, which lasts as long as a task stands and \
                so longer than a lease: a counter that machines' reports correct, not one that only votes keep",
    },
    Missing {
        name: "Urgent work started within 7.1 s on a full fleet",
        felt: Felt::Always("once the fleet is full"),
        today: "waiting tasks are tried in the order of their worth (`placer/rules`); nothing keeps room free, and no \
                machine pushes out a task for another",
        takes: "room kept back by a share of each part that only urgent classes may use, and moves of tasks that may be moved \
                (`migrate` is on the wire, and no rule uses it for this)",
    },
    Missing {
        name: "Regions that lose each other",
        felt: Felt::Always("with the second region"),
        today: "zone and cell are the only places (`placer/interface`); leases need a majority of all voters, so the side \
                without it has its floors alone (`decide/fleet`), and a region's machines fall silent at once, which \
                `decide/silence` waits out for 6.5 s and then calls lost",
        takes: "the region of a machine and of a planner in the list; budgets divided by region first, voters in each; parts of \
                a planner within its region; silence judged by region",
    },
    Missing {
        name: "Gangs across planners",
        felt: Felt::Always("with the second planner that takes gangs"),
        today: "a gang is held by one planner and its room is promised on that planner's view alone (`decide/groups/fit`); two \
                planners may let two in that do not both fit, and both then cut and pause",
        takes: "room of a gang booked at its machines' planners before the first send (two phases with leases), or all large \
                gangs of a zone at one planner chosen by rendezvous",
    },
];
