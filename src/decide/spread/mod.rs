//! Random jitter of each planner, for actions that all planners would otherwise take in step after a common
//! fault: dials, checks and retries. Time limits of a protocol still hold: jitter only makes an action
//! earlier within its span.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The random numbers of one component of a planner.
#[derive(Clone, Debug)]
pub struct Draws(Pcg64Mcg);

impl Draws {
    /// Random numbers from the planner's seed, which is new at each start, for the component with that
    /// number.
    pub fn new(seed: u64, part: u64) -> Draws {
        Draws(Pcg64Mcg::seed_from_u64(seed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// A number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.0.gen()
    }

    /// A duration from zero to the whole span.
    pub fn part(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.draw())
    }

    /// A duration from half of the span to the whole span.
    pub fn half(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + 0.5 * self.draw())
    }
}

#[cfg(test)]
mod tests;
