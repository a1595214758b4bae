//! Explanations, written by hand, of predictions that are off by more than [`MAX_UNEXPLAINED_ERROR`]. A test
//! of the page checks that none is missing.

/// The relative error, as a share of the measured value, up to which a prediction needs no explanation.
pub const MAX_UNEXPLAINED_ERROR: f64 = 0.2;

/// The explanation for one figure.
#[derive(Clone, Copy, Debug)]
pub struct Reason {
    /// The name of the slope.
    pub slope: &'static str,
    /// The name of the figure.
    pub figure: &'static str,
    /// Why the prediction is off.
    pub why: &'static str,
}

/// All explanations.
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

/// Looks up the explanation for a figure.
pub fn of(slope: &str, figure: &str) -> Option<&'static str> {
    REASONS.iter().find(|reason| reason.slope == slope && reason.figure == figure).map(|reason| reason.why)
}
