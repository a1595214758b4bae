//! Learns from the machines' answers how long the tasks of each service take to start, so that group members
//! that start slowly are submitted first, and how fast running tasks end.

use crate::placer::{Room, Seconds, ServiceId};
use std::collections::BTreeMap;

/// Count. The most services whose start times are kept.
const MAX_SERVICES: usize = 4096;
/// Share. Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Seconds. The longest lead of a slow member over a quick one: one very long start must not delay each later
/// group by as much.
const MAX_LEAD_S: Seconds = 2.0;

/// Mean times to start, by service and over all services.
#[derive(Debug, Default)]
pub struct Starts {
    by_service: BTreeMap<ServiceId, (Seconds, Seconds)>,
    all: Option<Seconds>,
}

impl Starts {
    /// Records that a task of a service started `took_s` after it was offered.
    pub fn learn(&mut self, now: Seconds, service: ServiceId, took_s: Seconds) {
        let took_s = took_s.clamp(0.0, MAX_LEAD_S);
        let all = self.all.get_or_insert(took_s);
        *all += SAMPLE_WEIGHT * (took_s - *all);
        if self.by_service.len() >= MAX_SERVICES && !self.by_service.contains_key(&service) {
            // Evicts the service whose last sample is the oldest.
            let oldest = self.by_service.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(&s, _)| s);
            oldest.and_then(|oldest| self.by_service.remove(&oldest));
        }
        let (mean, sampled_at) = self.by_service.entry(service).or_insert((took_s, now));
        *mean += SAMPLE_WEIGHT * (took_s - *mean);
        *sampled_at = now;
    }

    /// Seconds that a task of a service is expected to take to start.
    pub fn expected(&self, service: ServiceId) -> Seconds {
        self.by_service.get(&service).map(|(mean, _)| *mean).or(self.all).unwrap_or(0.0)
    }
}

/// How fast running tasks end, and the mean room that they use: the rate at which room comes free.
#[derive(Debug, Default)]
pub struct Ends {
    count: f64,
    at: Seconds,
    mean: Room,
}

/// Seconds. Time constant of the exponential decay with which ends are counted.
const DECAY_S: Seconds = 10.0;

impl Ends {
    /// Counts a running task that has ended.
    pub fn count(&mut self, now: Seconds, room: Room) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
        self.mean = self.mean * (1.0 - SAMPLE_WEIGHT) + room * SAMPLE_WEIGHT;
    }

    fn decayed(&self, now: Seconds) -> f64 {
        self.count * (-(now - self.at).max(0.0) / DECAY_S).exp()
    }

    /// Ends per second.
    pub fn rate(&self, now: Seconds) -> f64 {
        self.decayed(now) / DECAY_S
    }

    /// The mean room of tasks that ended.
    pub fn mean(&self) -> Room {
        self.mean
    }
}
