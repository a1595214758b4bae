//! Why a prediction was further off than it may be: the sentences that no computation can give. A test of the page holds
//! that none is missing.

/// Share of what was measured by which a prediction may be off without a reason.
pub const OFF_WITHOUT_REASON: f64 = 0.2;

/// A reason.
#[derive(Clone, Copy, Debug)]
pub struct Reason {
    /// The slope.
    pub slope: &'static str,
    /// The figure.
    pub figure: &'static str,
    /// Why its prediction is off.
    pub why: &'static str,
}

/// All reasons.
pub const REASONS: &[Reason] = &[
    Reason {
        slope: "admission-routes",
        figure: "processor time an admission",
        why: "it rises most between 2,000 and 5,000 routes and less beyond, as none of the four shapes does; why was not \
              looked into",
    },
    Reason {
        slope: "rest-machines-1024",
        figure: "processor time at rest",
        why: "a step: the cost begins where machines outnumber the 618 places for connections, so that the fit of the smaller \
              sizes says nothing beyond them",
    },
    Reason {
        slope: "restart-hollow-tasks",
        figure: "processor time of a restart",
        why: "a task takes some 5 us up to 30,000 and 3.6 us at 60,000, in two runs that differ by an eighth; why was not \
              looked into",
    },
    Reason {
        slope: "restart-machines",
        figure: "from start to ready",
        why: "one run at that size; by the comparison of two programs the same program took 78 ms there",
    },
];

/// The reason for a figure.
pub fn of(slope: &str, figure: &str) -> Option<&'static str> {
    REASONS.iter().find(|reason| reason.slope == slope && reason.figure == figure).map(|reason| reason.why)
}
