//! Gauges that count against limits: a rate, jobs in flight, and retries relative to first attempts.
//!
//! Every gauge also spreads the retry times that it gives to rejected clients: each client gets a later time
//! than the one before, one step of the gauge's own pace apart, so that they do not all come back at once.
//! These times are advice: nothing is reserved for the client.

use crate::placer::Seconds;

/// Seconds. The longest retry time given to a client: after that the load or the file may have changed.
pub const MAX_RETRY_AFTER_S: Seconds = 30.0;
/// Seconds. The shortest retry time given to a client: clients cannot react faster.
pub const MIN_RETRY_AFTER_S: Seconds = 0.01;
/// Seconds. Mean time in flight assumed before any job has ended: about the time to place a job under low
/// load.
const INITIAL_HOLD_S: Seconds = 0.5;
/// Share. Weight of a new sample in the mean time in flight.
const HOLD_WEIGHT: f64 = 0.1;
/// Seconds over which first attempts and retries are counted; one counter each per second.
pub const BUDGET_SPAN_S: usize = 10;
/// Share of a step by which times may differ and still count as equal: sums of steps carry rounding errors.
const ROUNDING: f64 = 1e-9;

/// A rate that allows bursts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Jobs per second in the long run.
    pub per_s: f64,
    /// Jobs that may arrive at once after an idle period.
    pub burst: f64,
}

/// How many retries are allowed relative to first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries allowed per first attempt of the last ten seconds.
    pub share: f64,
    /// Retries allowed within ten seconds regardless of first attempts, so that a route with little traffic
    /// has some.
    pub floor: u32,
}

/// Spreads the retry times that are given to rejected clients.
#[derive(Clone, Copy, Debug, Default)]
struct RetryTimes {
    last: Seconds,
}

impl RetryTimes {
    /// Picks the next retry time: `step` after the last one given, and not before `earliest`. Returns the
    /// seconds from now.
    fn next(&mut self, now: Seconds, earliest: Seconds, step: Seconds) -> Seconds {
        let most = now + MAX_RETRY_AFTER_S;
        self.last = (self.last + step).max(earliest).min(most);
        (self.last - now).clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
    }
}

/// Limits a rate by virtual scheduling (the generic cell rate algorithm). Its state is one time: when the
/// next job would be due if all were evenly spaced. There are no fixed windows, so two bursts cannot meet at
/// the edge of a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateGauge {
    due: Seconds,
    retry_times: RetryTimes,
}

impl RateGauge {
    /// Admits one job, or returns the seconds after which to try again.
    pub fn take(&mut self, now: Seconds, rate: Rate) -> Result<(), Seconds> {
        let step = 1.0 / rate.per_s;
        // After a reload with other figures, the jobs carried over count as at most one new burst.
        self.due = self.due.min(now + rate.burst * step);
        let earliest = self.due - (rate.burst - 1.0).max(0.0) * step;
        if now + step * ROUNDING >= earliest {
            self.due = self.due.max(now) + step;
            return Ok(());
        }
        Err(self.retry_times.next(now, earliest, step))
    }
}

impl RateGauge {
    /// The seconds after which to try again, if a unit comes free about every `step` seconds.
    pub fn retry_after(&mut self, now: Seconds, step: Seconds) -> Seconds {
        self.retry_times.next(now, now + step, step)
    }
}

/// Counts jobs in flight: admitted and without a final answer yet.
#[derive(Clone, Copy, Debug)]
pub struct FlightGauge {
    count: u32,
    mean_hold_s: f64,
    retry_times: RetryTimes,
}

impl Default for FlightGauge {
    fn default() -> Self {
        FlightGauge { count: 0, mean_hold_s: INITIAL_HOLD_S, retry_times: RetryTimes::default() }
    }
}

impl FlightGauge {
    /// Admits one job, or returns the seconds until a slot is likely to be free (Little's law: slots come
    /// free at the rate of the limit divided by the mean time in flight).
    pub fn take(&mut self, now: Seconds, most: u32) -> Result<(), Seconds> {
        if self.count < most {
            self.count += 1;
            return Ok(());
        }
        Err(self.retry_after(now, self.mean_hold_s / f64::from(most.max(1))))
    }

    /// The seconds after which to try again, if a slot comes free about every `step` seconds.
    pub fn retry_after(&mut self, now: Seconds, step: Seconds) -> Seconds {
        self.retry_times.next(now, now + step, step)
    }

    /// Releases the slot of a job that was answered, and adds its time in flight to the mean.
    pub fn give_back(&mut self, held_s: Seconds) {
        self.count = self.count.saturating_sub(1);
        self.mean_hold_s += HOLD_WEIGHT * (held_s.max(0.0) - self.mean_hold_s);
    }

    /// Releases the slot of a job that was rejected by another limit; the mean time in flight ignores it.
    pub fn put_back(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Jobs in flight.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Counts first attempts and retries of the last ten seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryGauge {
    /// First attempts and retries by second, as a ring.
    tries: [(u32, u32); BUDGET_SPAN_S],
    /// The latest second that was counted.
    second: u64,
    retry_times: RetryTimes,
}

impl RetryGauge {
    fn advance(&mut self, now: Seconds) {
        let second = now.max(0.0) as u64;
        if second <= self.second {
            return;
        }
        for past in (self.second + 1)..=second.min(self.second + BUDGET_SPAN_S as u64) {
            self.tries[past as usize % BUDGET_SPAN_S] = (0, 0);
        }
        if second > self.second + BUDGET_SPAN_S as u64 {
            self.tries = Default::default();
        }
        self.second = second;
    }

    fn sums(&self) -> (u32, u32) {
        let add = |sum: (u32, u32), t: &(u32, u32)| (sum.0.saturating_add(t.0), sum.1.saturating_add(t.1));
        self.tries.iter().fold((0, 0), add)
    }

    fn current_second(&mut self) -> &mut (u32, u32) {
        &mut self.tries[self.second as usize % BUDGET_SPAN_S]
    }

    /// Counts a first attempt.
    pub fn count_first(&mut self, now: Seconds) {
        self.advance(now);
        let current_second = self.current_second();
        current_second.0 = current_second.0.saturating_add(1);
    }

    /// Whether one more retry is within the budget.
    pub fn can_retry(&mut self, now: Seconds, budget: Budget) -> bool {
        self.advance(now);
        let (first, retries) = self.sums();
        Self::within_budget(first, retries, budget)
    }

    fn within_budget(first: u32, retries: u32, budget: Budget) -> bool {
        f64::from(retries) + 1.0 <= f64::from(budget.floor) + budget.share * f64::from(first) + ROUNDING
    }

    /// Counts a retry if it is within the budget; returns whether it is.
    pub fn take_retry(&mut self, now: Seconds, budget: Budget) -> bool {
        let within_budget = self.can_retry(now, budget);
        if within_budget {
            let current_second = self.current_second();
            current_second.1 = current_second.1.saturating_add(1);
        }
        within_budget
    }

    /// The seconds until one more retry would be within the budget, assuming that first attempts continue at
    /// their rate: until enough of the counted retries are more than ten seconds old.
    pub fn retry_after(&mut self, now: Seconds, budget: Budget) -> Seconds {
        self.advance(now);
        let (first, mut retries) = self.sums();
        let mut ahead = 0;
        while ahead < BUDGET_SPAN_S && !Self::within_budget(first, retries, budget) {
            ahead += 1;
            // The oldest second leaves the ring first.
            retries -= self.tries[(self.second as usize + ahead) % BUDGET_SPAN_S].1.min(retries);
        }
        let earliest = self.second as f64 + ahead as f64;
        let allowed = f64::from(budget.floor) + budget.share * f64::from(first);
        let step = BUDGET_SPAN_S as f64 / allowed.max(1.0);
        self.retry_times.next(now, earliest.max(now), step)
    }

    /// First attempts and retries of the last ten seconds.
    pub fn counts(&mut self, now: Seconds) -> (u32, u32) {
        self.advance(now);
        self.sums()
    }
}
