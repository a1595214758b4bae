//! Faults that follow from several figures together, also inherited ones: times that outlast each other, and repeats
//! past their window.

use super::{Reader, Spots};
use crate::decide::limits::model::{Model, SecondCopy};
use crate::decide::limits::table::{Chain, Origin};
use crate::document::Fault;
use crate::placer::{Effect, Seconds};
use std::collections::BTreeMap;

/// Seconds. The module's longest pause after a refusal, which counts where the file sets none.
const PAUSE_MOST_S: Seconds = 0.18;

impl Reader<'_> {
    /// Faults that follow only from several figures, also inherited ones.
    pub(super) fn chains(&mut self, model: &Model, spots: &BTreeMap<Origin, Spots>) {
        let classes = 0..self.context.classes.len();
        for class in classes.clone() {
            self.chain(&Chain::new(model, class, None), class, spots);
        }
        for (at, route) in model.routes.iter().enumerate() {
            for class in self.classes_of(&route.matching) {
                self.chain(&Chain::new(model, class, Some(at)), class, spots);
            }
        }
    }

    /// The most particular place that gives one of some figures.
    fn chain(&mut self, chain: &Chain, class: usize, spots: &BTreeMap<Origin, Spots>) {
        let settings = self.context.settings;
        let name = &self.context.classes[class];
        let attempts = chain.find(|f| f.attempts);
        let (attempt, total) = (chain.find(|f| f.attempt_s), chain.find(|f| f.total_s));
        let pause = chain.find(|f| f.pause_s);
        let many = attempts.map_or(settings.max_attempts, |(_, n)| n as usize).min(settings.max_attempts);
        let further = many.saturating_sub(1) as f64;
        let (least_pause, most_pause) = pause.map_or((0.0, PAUSE_MOST_S), |(_, p)| p);
        if let (Some((a, attempt_s)), Some((t, total_s))) = (attempt, total) {
            if attempt_s > total_s {
                let what = format!(
                    "an attempt of {} ms outlasts the whole time of {} ms (class {name:?})",
                    attempt_s * 1e3,
                    total_s * 1e3
                );
                self.blame(spots, &[(a, "attemptMs"), (t, "totalMs")], what, None);
            }
        }
        if let (Some((p, _)), Some((t, total_s))) = (pause, total) {
            if further * least_pause >= total_s {
                let what = format!(
                    "{further} pauses of {} ms leave nothing of the whole time of {} ms (class {name:?})",
                    least_pause * 1e3,
                    total_s * 1e3
                );
                self.blame(spots, &[(p, "pauseMs"), (t, "totalMs")], what, None);
            }
        }
        if let Some((i, ())) = chain.find(|f| f.in_flight.filter(|_| f.is_shared()).map(|_| ())) {
            self.ends_in_time(spots, i, total, name);
        }
        let Effect::Keyed { window_s, .. } = settings.classes[class].effect else { return };
        let copies = chain.get(|f| f.second_copy) != Some(SecondCopy::Never);
        let own = chain.get(|f| f.window_s).unwrap_or(window_s);
        let Some((a, attempt_s)) = attempt.filter(|_| copies && own <= window_s) else { return };
        let last = (further * (attempt_s + most_pause)).min(total.map_or(f64::INFINITY, |(_, t)| t));
        if last > window_s {
            let what = format!(
                "{many} attempts of {} ms with pauses of up to {} ms put the last send of class {name:?} {} ms after \
                 the first",
                attempt_s * 1e3,
                most_pause * 1e3,
                (last * 1e3).round()
            );
            let rule =
                format!("repeats of class {name:?} end {window_s} s after its first send (repeat_window_s)");
            let places = [
                Some((a, "attemptMs")),
                attempts.map(|(o, _)| (o, "attempts")),
                pause.map(|(o, _)| (o, "pauseMs")),
                total.map(|(o, _)| (o, "totalMs")),
            ];
            let places: Vec<(Origin, &str)> = places.into_iter().flatten().collect();
            self.blame(spots, &places, what, Some(rule));
        }
    }

    /// Jobs in flight of the whole fleet end before what their planner holds lapses.
    fn ends_in_time(
        &mut self,
        spots: &BTreeMap<Origin, Spots>,
        place: Origin,
        total: Option<(Origin, Seconds)>,
        class: &str,
    ) {
        let Some(most_s) = self.context.lease_s.filter(|s| s.is_finite()).map(|s| s / 2.0) else { return };
        let rule = format!("a job in flight of the fleet ends within half a lease, {} ms", most_s * 1e3);
        match total {
            None => {
                let what = format!("has no totalMs (class {class:?})");
                self.blame(spots, &[(place, "inFlight")], what, Some(rule));
            }
            Some((t, total_s)) if total_s > most_s => {
                let what = format!("counts jobs of up to {} ms (class {class:?})", total_s * 1e3);
                self.blame(spots, &[(place, "inFlight"), (t, "totalMs")], what, Some(rule));
            }
            Some(_) => {}
        }
    }

    /// Books a fault at the most particular of some places, once for each text.
    fn blame(
        &mut self,
        spots: &BTreeMap<Origin, Spots>,
        places: &[(Origin, &str)],
        what: String,
        rule: Option<String>,
    ) {
        let Some((origin, name)) = places.iter().max_by_key(|(origin, _)| *origin) else { return };
        let Some(at) = spots.get(origin) else { return };
        let span = at.span(name).unwrap_or(&at.whole).clone();
        let fault = Fault { span, path: format!("{}.{name}", at.path), what, rule };
        if !self.faults.iter().any(|f| f.path == fault.path && f.span == fault.span) {
            self.faults.push(fault);
        }
    }
}
