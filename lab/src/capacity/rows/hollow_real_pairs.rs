//! Pairs of figures, measured without real processes and with them, to check how well the hollow ones agree.

use super::reading;
use crate::capacity::page::reading::Reading;

/// A figure measured with hollow planners or outside any planner process, and its counterpart from real
/// processes.
#[derive(Clone, Copy, Debug)]
pub struct HollowRealPair {
    /// A description of the figure.
    pub what: &'static str,
    /// The hollow figure.
    pub hollow: Reading,
    /// The figure from real processes, in the same unit.
    pub real: Reading,
}

/// All pairs.
pub const HOLLOW_AND_REAL: &[HollowRealPair] = &[
    HollowRealPair {
        what: "bytes a second that a planner at rest sends to others",
        hollow: reading("members", "bytes a second out, mean", 1.0, "bytes/s"),
        real: reading("rest-planners", "bytes to other planners", 1.0, "bytes/s"),
    },
    HollowRealPair {
        what: "messages a second to machines, at rest (hollow: no looks at connections)",
        hollow: reading("rest-hollow", "messages to machines a second", 1.0, "messages/s"),
        real: reading("rest-machines", "messages at rest", 1.0, "messages/s"),
    },
    HollowRealPair {
        what: "processor time of an ask (hollow: no sockets)",
        hollow: reading("pick-machines", "processor time an ask", 1e-3, "ms"),
        real: reading("ask-machines", "processor time an ask, without rest", 1.0, "ms"),
    },
    HollowRealPair {
        what: "processor time of a start (hollow: no sockets)",
        hollow: reading("restart-hollow", "processor time of a restart", 1.0, "ms"),
        real: reading("restart-machines", "processor time of the start", 1.0, "ms"),
    },
    HollowRealPair {
        what: "processor time of a changed configuration (hollow: no signal, no file)",
        hollow: reading("config-parse", "processor time until in force", 1.0, "ms"),
        real: reading("config-size", "processor time of a change", 1.0, "ms"),
    },
];
