//! Routes held against each other: those that no job can take, and those that match the same jobs.

use super::{Reader, Spots};
use crate::decide::limits::model::{Model, Pattern, Route};
use crate::decide::limits::table::Origin;
use crate::document::Fault;
use std::collections::{BTreeMap, HashMap};

/// Count. Up to so many routes are held against each other for ambiguity: the work grows with their square.
const MOST_COMPARED: usize = 1000;
/// Count. Ambiguous pairs that are told.
const MOST_TOLD: usize = 10;

impl Reader<'_> {
    /// Tells of routes that no job can take, and of pairs where a job may match both and their order decides. A route
    /// that matches the very same as another is a fault.
    pub(super) fn compare(&mut self, model: &Model, spots: &BTreeMap<Origin, Spots>) -> Vec<String> {
        let mut told = Vec::new();
        let mut ambiguous = 0;
        let routes = &model.routes;
        // Only a route for the same service, a prefix of it, or a general one can cover another.
        let mut exact: HashMap<&str, Vec<usize>> = HashMap::new();
        let mut prefix: HashMap<&str, Vec<usize>> = HashMap::new();
        let mut general: Vec<usize> = Vec::new();
        for (at, route) in routes.iter().enumerate() {
            let own = &route.matching;
            let fixed: &str = match &own.service {
                Pattern::Exact(text) | Pattern::Prefix(text) => text,
                Pattern::Glob(text, _) => text.split(['*', '?']).next().unwrap_or_default(),
                Pattern::Any => "",
            };
            let cuts = (0..=fixed.len()).filter(|&cut| fixed.is_char_boundary(cut));
            let prefixes = cuts.filter_map(|cut| prefix.get(&fixed[..cut]));
            let before = exact.get(fixed).into_iter().chain(prefixes).flatten().chain(&general);
            let covering = before.filter(|&&first| routes[first].matching.covers(own)).min();
            if let Some(&first) = covering {
                let other = &routes[first];
                if own.covers(&other.matching) {
                    let spot = spots.get(&Origin::Route(at)).cloned().unwrap_or_default();
                    let what = format!("matches the very same as route {:?}", other.name);
                    self.faults.push(Fault::new(spot.whole, &spot.path, what));
                } else {
                    told.push(format!(
                        "route {:?} is never taken: route {:?} before it takes all that it matches",
                        route.name, other.name
                    ));
                }
            } else if at < MOST_COMPARED {
                let meets = |first: &&Route| {
                    first.matching.meets(own)
                        && !own.covers(&first.matching)
                        && first.figures != route.figures
                };
                let found: Vec<&Route> = routes[..at].iter().filter(meets).collect();
                ambiguous += found.len();
                for first in found.iter().take(MOST_TOLD.saturating_sub(told.len())) {
                    told.push(format!(
                        "routes {:?} and {:?} may match the same job: the first one is taken",
                        first.name, route.name
                    ));
                }
            }
            match &own.service {
                Pattern::Exact(text) => exact.entry(text).or_default().push(at),
                Pattern::Prefix(text) => prefix.entry(text).or_default().push(at),
                Pattern::Glob(..) | Pattern::Any => general.push(at),
            }
        }
        if ambiguous > MOST_TOLD {
            told.push(format!("{ambiguous} pairs of routes in all may match the same job"));
        }
        if routes.len() > MOST_COMPARED {
            told.push(format!(
                "only the first {MOST_COMPARED} routes were looked at for jobs that match two"
            ));
        }
        told
    }
}
