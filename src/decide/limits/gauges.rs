//! What is counted against limits: a rate, jobs in flight, and further tries against first ones.
//!
//! Every gauge also keeps a line of those that it turned away: each is told a later time than the one before, one
//! step of the gauge's own pace apart, so that they do not come back together. The line is advice and holds no place.

use crate::placer::Seconds;

/// Seconds. Nobody is told to stay away longer: by then load or file may be others.
pub const LONGEST_AWAY_S: Seconds = 30.0;
/// Seconds. Nobody is told to come back sooner than a client can turn round.
pub const LEAST_AWAY_S: Seconds = 0.01;
/// Seconds. Time in flight assumed until jobs have ended: about a placing on a calm day.
const HOLD_FIRST_S: Seconds = 0.5;
/// Share. Weight of a new sample in the mean time in flight.
const HOLD_WEIGHT: f64 = 0.1;
/// Count. Seconds over which first and further tries are counted.
pub const BUDGET_SPAN: usize = 10;
/// Share of a step within which two times are the same: sums of steps are rounded.
const ROUNDING: f64 = 1e-9;

/// A rate with room for bursts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Jobs a second in the long run.
    pub per_s: f64,
    /// Jobs that may come at once after a rest.
    pub burst: f64,
}

/// How many further tries first ones pay for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Further tries for each first try of the last ten seconds.
    pub share: f64,
    /// Further tries in ten seconds that are paid for by nobody, so that a quiet route is not left without any.
    pub floor: u32,
}

/// Those who were told when to come back.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    last: Seconds,
}

impl Line {
    /// The next time in line, `step` after the last one told, and not before `earliest`; gives the time from now.
    fn next(&mut self, now: Seconds, earliest: Seconds, step: Seconds) -> Seconds {
        let most = now + LONGEST_AWAY_S;
        self.last = (self.last + step).max(earliest).min(most);
        (self.last - now).clamp(LEAST_AWAY_S, LONGEST_AWAY_S)
    }
}

/// A rate by virtual scheduling (the generic cell rate algorithm): one figure, the time at which the next job would
/// be due were all evenly spaced. No windows, so no second's edge at which two bursts meet.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateGauge {
    due: Seconds,
    line: Line,
}

impl RateGauge {
    /// Takes one job, or tells in how many seconds to come back.
    pub fn take(&mut self, now: Seconds, rate: Rate) -> Result<(), Seconds> {
        let step = 1.0 / rate.per_s;
        // A file may have made the rate lower since: nothing is owed beyond what the new burst allows.
        self.due = self.due.min(now + rate.burst * step);
        let earliest = self.due - (rate.burst - 1.0).max(0.0) * step;
        if now + step * ROUNDING >= earliest {
            self.due = self.due.max(now) + step;
            return Ok(());
        }
        Err(self.line.next(now, earliest, step))
    }
}

impl RateGauge {
    /// In how many seconds to come back, where units come free each `step` or so.
    pub fn away(&mut self, now: Seconds, step: Seconds) -> Seconds {
        self.line.next(now, now + step, step)
    }
}

/// Jobs in flight: taken and not yet finally answered.
#[derive(Clone, Copy, Debug)]
pub struct FlightGauge {
    count: u32,
    hold_s: f64,
    line: Line,
}

impl Default for FlightGauge {
    fn default() -> Self {
        FlightGauge { count: 0, hold_s: HOLD_FIRST_S, line: Line::default() }
    }
}

impl FlightGauge {
    /// Takes one job, or tells in how many seconds a place is likely to be free (Little's law: places come free at
    /// the limit over the mean time in flight).
    pub fn take(&mut self, now: Seconds, most: u32) -> Result<(), Seconds> {
        if self.count < most {
            self.count += 1;
            return Ok(());
        }
        Err(self.away(now, self.hold_s / f64::from(most.max(1))))
    }

    /// In how many seconds to come back, where places come free each `step` or so.
    pub fn away(&mut self, now: Seconds, step: Seconds) -> Seconds {
        self.line.next(now, now + step, step)
    }

    /// One that was taken is answered.
    pub fn give_back(&mut self, held_s: Seconds) {
        self.count = self.count.saturating_sub(1);
        self.hold_s += HOLD_WEIGHT * (held_s.max(0.0) - self.hold_s);
    }

    /// One that was taken was turned away after all: its time in flight tells nothing.
    pub fn put_back(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// How many are in flight.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// First and further tries of the last ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TriesGauge {
    /// First and further tries by second.
    tries: [(u32, u32); BUDGET_SPAN],
    /// The second that was counted last.
    second: u64,
    line: Line,
}

impl TriesGauge {
    fn advance(&mut self, now: Seconds) {
        let second = now.max(0.0) as u64;
        if second <= self.second {
            return;
        }
        for past in (self.second + 1)..=second.min(self.second + BUDGET_SPAN as u64) {
            self.tries[past as usize % BUDGET_SPAN] = (0, 0);
        }
        if second > self.second + BUDGET_SPAN as u64 {
            self.tries = Default::default();
        }
        self.second = second;
    }

    fn sums(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), t: &(u32, u32)| (sum.0.saturating_add(t.0), sum.1.saturating_add(t.1));
        self.tries.iter().fold((0, 0), add)
    }

    fn slot(&mut self) -> &mut (u32, u32) {
        &mut self.tries[self.second as usize % BUDGET_SPAN]
    }

    /// Counts a first try.
    pub fn first(&mut self, now: Seconds) {
        self.advance(now);
        let slot = self.slot();
        slot.0 = slot.0.saturating_add(1);
    }

    /// Whether one further try is paid for.
    pub fn affords(&mut self, now: Seconds, budget: Budget) -> bool {
        self.advance(now);
        let (first, further) = self.sums();
        Self::paid(first, further, budget)
    }

    fn paid(first: u32, further: u32, budget: Budget) -> bool {
        f64::from(further) + 1.0 <= f64::from(budget.floor) + budget.share * f64::from(first) + ROUNDING
    }

    /// Counts a further try, where it is paid for.
    pub fn further(&mut self, now: Seconds, budget: Budget) -> bool {
        let paid = self.affords(now, budget);
        if paid {
            let slot = self.slot();
            slot.1 = slot.1.saturating_add(1);
        }
        paid
    }

    /// In how many seconds one more would be paid for, first tries going on at their pace: when enough of the further
    /// ones are over ten seconds old.
    pub fn away(&mut self, now: Seconds, budget: Budget) -> Seconds {
        self.advance(now);
        let (first, mut further) = self.sums();
        let mut ahead = 0;
        while ahead < BUDGET_SPAN && !Self::paid(first, further, budget) {
            ahead += 1;
            // The oldest second leaves the span first.
            further -= self.tries[(self.second as usize + ahead) % BUDGET_SPAN].1.min(further);
        }
        let earliest = self.second as f64 + ahead as f64;
        let allowed = f64::from(budget.floor) + budget.share * f64::from(first);
        let step = BUDGET_SPAN as f64 / allowed.max(1.0);
        self.line.next(now, earliest.max(now), step)
    }

    /// First and further tries in the span.
    pub fn counts(&mut self, now: Seconds) -> (u32, u32) {
        self.advance(now);
        self.sums()
    }
}
