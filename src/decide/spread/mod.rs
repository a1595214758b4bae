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
mod tests {
    use super::*;

    /// Guards machines against planners in step: a few hundred draws of as many planners fall all over the span.
    #[test]
    fn planners_draw_apart() {
        let mut tenths = [0; 10];
        for seed in 0..350 {
            tenths[(Draws::new(seed, 7).draw() * 10.0) as usize] += 1;
        }
        assert!(tenths.iter().all(|&n| (15..=60).contains(&n)), "{tenths:?}");
        let span = Duration::from_secs(1);
        let mut draws = Draws::new(1, 1);
        assert!((0..100).all(|_| (span / 2..=span).contains(&draws.half(span)) && draws.part(span) <= span));
    }
}
