//! Figures that hollow planners or no process give, with those of real processes beside them.

use super::reading;
use crate::capacity::page::reading::Reading;

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
