//! How long services take to start, as learned from answers: members that start slowly are sent first.

use crate::placer::{Room, Seconds, ServiceId};
use std::collections::BTreeMap;

/// Count. Services that are remembered.
const MOST: usize = 4096;
/// Share. Weight of a new sample.
const WEIGHT: f64 = 0.2;
/// Seconds. The longest lead of a slow member over a quick one: a start that once took very long must not hold up a
/// group for as long each time.
const MOST_LEAD_S: Seconds = 2.0;

/// Mean times to start by service, and over all.
#[derive(Debug, Default)]
pub struct Starts {
    by_service: BTreeMap<ServiceId, (Seconds, Seconds)>,
    all: Option<Seconds>,
}

impl Starts {
    /// A task of a service stands so long after it was offered.
    pub fn learn(&mut self, now: Seconds, service: ServiceId, took_s: Seconds) {
        let took_s = took_s.clamp(0.0, MOST_LEAD_S);
        let all = self.all.get_or_insert(took_s);
        *all += WEIGHT * (took_s - *all);
        if self.by_service.len() >= MOST && !self.by_service.contains_key(&service) {
            // The one that was heard of the longest ago makes room.
            let oldest = self.by_service.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(&s, _)| s);
            oldest.and_then(|oldest| self.by_service.remove(&oldest));
        }
        let (mean, heard) = self.by_service.entry(service).or_insert((took_s, now));
        *mean += WEIGHT * (took_s - *mean);
        *heard = now;
    }

    /// How long a task of a service is expected to take.
    pub fn expected(&self, service: ServiceId) -> Seconds {
        self.by_service.get(&service).map(|(mean, _)| *mean).or(self.all).unwrap_or(0.0)
    }
}

/// How fast standing tasks end, and what they ask for in the mean: the pace at which room comes free.
#[derive(Debug, Default)]
pub struct Ends {
    count: f64,
    at: Seconds,
    mean: Room,
}

/// Seconds. Ends are counted over about this long.
const ENDS_S: Seconds = 10.0;

impl Ends {
    /// A task that stood has ended.
    pub fn count(&mut self, now: Seconds, room: Room) {
        self.count = self.faded(now) + 1.0;
        self.at = now;
        self.mean = self.mean * (1.0 - WEIGHT) + room * WEIGHT;
    }

    fn faded(&self, now: Seconds) -> f64 {
        self.count * (-(now - self.at).max(0.0) / ENDS_S).exp()
    }

    /// Ends a second.
    pub fn rate(&self, now: Seconds) -> f64 {
        self.faded(now) / ENDS_S
    }

    /// What they ask for in the mean.
    pub fn mean(&self) -> Room {
        self.mean
    }
}
