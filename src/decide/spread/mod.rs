//! Each planner's own draws, by which it spreads what all planners would else do in step after a fault that they share:
//! dials, looks, and tries. The bounds that a protocol sets stay: a draw only brings something forward within its span.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The draws of one part of a planner.
#[derive(Clone, Debug)]
pub struct Draws(Pcg64Mcg);

impl Draws {
    /// Draws by the planner's seed, which is new with each start, for its part of that number.
    pub fn new(seed: u64, part: u64) -> Draws {
        Draws(Pcg64Mcg::seed_from_u64(seed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// From 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.0.gen()
    }

    /// From nothing to the whole span.
    pub fn part(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.draw())
    }

    /// From half of the span to the whole of it.
    pub fn half(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + 0.5 * self.draw())
    }
}

#[cfg(test)]
mod tests;
