//! Finds faults that result from several figures together, including inherited ones: an attempt or pauses
//! longer than the total time, and sends after the repeat window.

use super::{Positions, Reader};
use crate::decide::limits::model::{Model, SecondCopy};
use crate::decide::limits::table::{Chain, Origin};
use crate::document::Fault;
use crate::placer::{Idempotency, Seconds};
use std::collections::BTreeMap;

/// Seconds. The placer's longest pause after a refusal; applies where the file sets none.
const MAX_PAUSE_S: Seconds = 0.18;

impl Reader<'_> {
    /// Checks the figures that apply to each class without a route, and to each route and class that it
    /// matches.
    pub(super) fn check_chains(&mut self, model: &Model, positions: &BTreeMap<Origin, Positions>) {
        let classes = 0..self.context.classes.len();
        for class in classes.clone() {
            self.check_chain(&Chain::new(model, class, None), class, positions);
        }
        for (at, route) in model.routes.iter().enumerate() {
            for class in self.classes_of(&route.matching) {
                self.check_chain(&Chain::new(model, class, Some(at)), class, positions);
            }
        }
    }

    /// Checks the figures that apply to one class through one chain of entries.
    fn check_chain(&mut self, chain: &Chain, class: usize, positions: &BTreeMap<Origin, Positions>) {
        let settings = self.context.settings;
        let name = &self.context.classes[class];
        let attempts = chain.find(|f| f.attempts);
        let (attempt, total) = (chain.find(|f| f.attempt_s), chain.find(|f| f.total_s));
        let pause = chain.find(|f| f.pause_s);
        let most_attempts =
            attempts.map_or(settings.max_attempts, |(_, n)| n as usize).min(settings.max_attempts);
        let most_pauses = most_attempts.saturating_sub(1) as f64;
        let (least_pause, most_pause) = pause.map_or((0.0, MAX_PAUSE_S), |(_, p)| p);
        if let (Some((a, attempt_s)), Some((t, total_s))) = (attempt, total) {
            if attempt_s > total_s {
                let what = format!(
                    "an attempt of {} ms is longer than the total time of {} ms (class {name:?})",
                    attempt_s * 1e3,
                    total_s * 1e3
                );
                self.record_fault(positions, &[(a, "attemptMs"), (t, "totalMs")], what, None);
            }
        }
        if let (Some((p, _)), Some((t, total_s))) = (pause, total) {
            if most_pauses * least_pause >= total_s {
                let what = format!(
                    "{most_pauses} pauses of {} ms use up the total time of {} ms (class {name:?})",
                    least_pause * 1e3,
                    total_s * 1e3
                );
                self.record_fault(positions, &[(p, "pauseMs"), (t, "totalMs")], what, None);
            }
        }
        if let Some((i, ())) = chain.find(|f| f.in_flight.filter(|_| f.is_shared()).map(|_| ())) {
            self.check_ends_in_time(positions, i, total, name);
        }
        let Idempotency::Keyed { window_s, .. } = settings.classes[class].idempotency else { return };
        let copies = chain.get(|f| f.second_copy) != Some(SecondCopy::Never);
        let own = chain.get(|f| f.window_s).unwrap_or(window_s);
        let Some((a, attempt_s)) = attempt.filter(|_| copies && own <= window_s) else { return };
        let last = (most_pauses * (attempt_s + most_pause)).min(total.map_or(f64::INFINITY, |(_, t)| t));
        if last > window_s {
            let what = format!(
                "{most_attempts} attempts of {} ms with pauses of up to {} ms put the last send of class \
                 {name:?} {} ms after the first",
                attempt_s * 1e3,
                most_pause * 1e3,
                (last * 1e3).round()
            );
            let rule =
                format!("repeats of class {name:?} end {window_s} s after its first send (repeat_window_s)");
            let candidates = [
                Some((a, "attemptMs")),
                attempts.map(|(o, _)| (o, "attempts")),
                pause.map(|(o, _)| (o, "pauseMs")),
                total.map(|(o, _)| (o, "totalMs")),
            ];
            let candidates: Vec<(Origin, &str)> = candidates.into_iter().flatten().collect();
            self.record_fault(positions, &candidates, what, Some(rule));
        }
    }

    /// Checks that jobs that count against the fleet's in-flight limit end within half a lease, before the
    /// planner's lease on their units expires.
    fn check_ends_in_time(
        &mut self,
        positions: &BTreeMap<Origin, Positions>,
        in_flight_entry: Origin,
        total: Option<(Origin, Seconds)>,
        class: &str,
    ) {
        let Some(most_s) = self.context.lease_s.filter(|s| s.is_finite()).map(|s| s / 2.0) else { return };
        let rule = format!(
            "a job that counts against a fleet-wide inFlight ends within half a lease, {} ms",
            most_s * 1e3
        );
        match total {
            None => {
                let what = format!("has no totalMs (class {class:?})");
                self.record_fault(positions, &[(in_flight_entry, "inFlight")], what, Some(rule));
            }
            Some((t, total_s)) if total_s > most_s => {
                let what = format!("allows jobs of up to {} ms (class {class:?})", total_s * 1e3);
                self.record_fault(
                    positions,
                    &[(in_flight_entry, "inFlight"), (t, "totalMs")],
                    what,
                    Some(rule),
                );
            }
            Some(_) => {}
        }
    }

    /// Records a fault at the most specific of the given entries, unless the same figure already has one.
    fn record_fault(
        &mut self,
        positions: &BTreeMap<Origin, Positions>,
        candidates: &[(Origin, &str)],
        what: String,
        rule: Option<String>,
    ) {
        let Some((origin, name)) = candidates.iter().max_by_key(|(origin, _)| *origin) else { return };
        let Some(at) = positions.get(origin) else { return };
        let span = at.span(name).unwrap_or(&at.entry).clone();
        let fault = Fault { span, path: format!("{}.{name}", at.path), what, rule };
        if !self.faults.iter().any(|f| f.path == fault.path && f.span == fault.span) {
            self.faults.push(fault);
        }
    }
}
