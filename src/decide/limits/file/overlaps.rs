//! Compares routes with each other: finds routes that no job can reach, and routes that match the same jobs.

use super::{Positions, Reader};
use crate::decide::limits::model::{Model, Pattern, Route};
use crate::decide::limits::table::Origin;
use crate::document::Fault;
use std::collections::{BTreeMap, HashMap};

/// Count. Only this many routes are compared with each other for ambiguity: the work grows with the square of
/// their number.
const MAX_COMPARED: usize = 1000;
/// Count. Ambiguous pairs are listed until there are this many warnings.
const MAX_WARNINGS: usize = 10;

impl Reader<'_> {
    /// Returns a warning for each route that no job can reach, and for each pair of routes where a job may
    /// match both, so that their order decides. A route that matches exactly the same jobs as another is a
    /// fault.
    pub(super) fn compare_routes(
        &mut self,
        model: &Model,
        positions: &BTreeMap<Origin, Positions>,
    ) -> Vec<String> {
        let mut warnings = Vec::new();
        let mut ambiguous = 0;
        let routes = &model.routes;
        // A route can be covered only by a route for the same service, for a prefix of it, or by a general
        // route.
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
            let prefix_ends = (0..=fixed.len()).filter(|&end| fixed.is_char_boundary(end));
            let prefixes = prefix_ends.filter_map(|end| prefix.get(&fixed[..end]));
            let before = exact.get(fixed).into_iter().chain(prefixes).flatten().chain(&general);
            let covering = before.filter(|&&first| routes[first].matching.covers(own)).min();
            if let Some(&first) = covering {
                let other = &routes[first];
                if own.covers(&other.matching) {
                    let position = positions.get(&Origin::Route(at)).cloned().unwrap_or_default();
                    let what = format!("matches exactly the same jobs as route {:?}", other.name);
                    self.faults.push(Fault::new(position.entry, &position.path, what));
                } else {
                    warnings.push(format!(
                        "route {:?} is never used: route {:?} before it matches all its jobs",
                        route.name, other.name
                    ));
                }
            } else if at < MAX_COMPARED {
                let overlaps = |first: &&Route| {
                    first.matching.overlaps(own)
                        && !own.covers(&first.matching)
                        && first.figures != route.figures
                };
                let found: Vec<&Route> = routes[..at].iter().filter(overlaps).collect();
                ambiguous += found.len();
                for first in found.iter().take(MAX_WARNINGS.saturating_sub(warnings.len())) {
                    warnings.push(format!(
                        "routes {:?} and {:?} may match the same job: the first one is used",
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
        if ambiguous > MAX_WARNINGS {
            warnings.push(format!("{ambiguous} pairs of routes in all may match the same job"));
        }
        if routes.len() > MAX_COMPARED {
            warnings.push(format!(
                "only the first {MAX_COMPARED} routes were checked for jobs that match two routes"
            ));
        }
        warnings
    }
}
