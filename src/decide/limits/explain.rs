//! Shows limits to operators: the limits of a job and where each comes from, and how two files differ.

use super::gauges::{Budget, Rate};
use super::model::{Figures, Model, Route};
use super::table::{Chain, Subject, Table};
use crate::placer::{Idempotency, Seconds, Settings};
use std::collections::BTreeMap;

/// One figure of a job's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its name in the file.
    pub name: &'static str,
    /// Its value as written in the file.
    pub value: String,
    /// The entry of the file that sets it, or `settings`.
    pub from: String,
}

/// Formats a time as milliseconds, rounded to microseconds.
fn ms(seconds: Seconds) -> String {
    format!("{}", (seconds * 1e6).round() / 1e3)
}

/// The figures of one entry as written in the file, by name.
pub fn figures_by_name(figures: &Figures) -> BTreeMap<&'static str, String> {
    let mut all = BTreeMap::new();
    let mut add = |name: &'static str, value: Option<String>| {
        if let Some(value) = value {
            all.insert(name, value);
        }
    };
    add("attempts", figures.attempts.map(|n| n.to_string()));
    add("attemptMs", figures.attempt_s.map(ms));
    add("totalMs", figures.total_s.map(ms));
    add("repeatWindowMs", figures.window_s.map(ms));
    add("pauseMs", figures.pause_s.map(|(least, most)| format!("[{}, {}]", ms(least), ms(most))));
    add("secondCopy", figures.second_copy.map(|copy| format!("{:?}", copy.spelling())));
    add("inFlight", figures.in_flight.map(|n| n.to_string()));
    add("ratePerS", figures.rate.map(|Rate { per_s, .. }| per_s.to_string()));
    add("burst", figures.rate.map(|Rate { burst, .. }| burst.to_string()));
    add("retryBudget", figures.budget.map(|Budget { share, .. }| share.to_string()));
    add("retryFloor", figures.budget.map(|Budget { floor, .. }| floor.to_string()));
    add("scope", figures.scope.map(|scope| format!("{:?}", scope.spelling())));
    all
}

/// The names of the figures that are shown, in this order.
const SHOWN_FIGURES: [&str; 11] = [
    "attempts",
    "attemptMs",
    "totalMs",
    "repeatWindowMs",
    "pauseMs",
    "secondCopy",
    "inFlight",
    "ratePerS",
    "burst",
    "retryBudget",
    "retryFloor",
];

/// The figures to which an entry's scope applies.
const SCOPED_FIGURES: [&str; 5] = ["inFlight", "ratePerS", "burst", "retryBudget", "retryFloor"];

/// The route that applies to a job, and each of the job's limits with the entry that it comes from.
pub fn explain(
    table: &Table,
    subject: &Subject<'_>,
    settings: &Settings,
    classes: &[String],
) -> (Option<String>, Vec<Line>) {
    let model = table.model();
    let route = table.resolve(subject).and_then(|resolved| resolved.route);
    let chain = Chain::new(model, subject.class, route);
    let class = &settings.classes[subject.class];
    let line = |name: &'static str| {
        // The scope is shown with each figure that it applies to, as it belongs to that figure's entry and is
        // not inherited.
        let scoped = SCOPED_FIGURES.contains(&name);
        let found = chain.find(|figures| {
            let spelling = figures_by_name(figures).remove(name)?;
            Some(if scoped && figures.is_shared() { format!("{spelling} of the fleet") } else { spelling })
        });
        let (value, from) = match found {
            Some((origin, value)) => (value, origin.name(model, classes)),
            None => {
                let value = match (name, class.idempotency) {
                    ("attempts", _) => settings.max_attempts.to_string(),
                    ("totalMs", _) => "the owner's deadline".into(),
                    ("repeatWindowMs", Idempotency::Keyed { window_s, .. }) => ms(window_s),
                    ("secondCopy", Idempotency::Once) => "\"never\"".into(),
                    ("secondCopy", _) => "\"after-give-up\"".into(),
                    ("attemptMs" | "pauseMs", _) => "learned by the placer".into(),
                    _ => return None,
                };
                (value, "settings".into())
            }
        };
        // A repeat window that a class without keys inherits has no effect and is not shown.
        let unused = name == "repeatWindowMs" && !matches!(class.idempotency, Idempotency::Keyed { .. });
        let forbidden = name == "secondCopy" && class.idempotency == Idempotency::Once;
        let value = if forbidden { "\"never\"".into() } else { value };
        (!unused).then_some(Line { name, value, from })
    };
    (
        route.map(|at| model.routes[at].name.to_string()),
        SHOWN_FIGURES.iter().copied().filter_map(line).collect(),
    )
}

/// A route's conditions as written in the file, by name.
pub fn matching(route: &Route, classes: &[String]) -> BTreeMap<&'static str, String> {
    let own = &route.matching;
    let span = |(least, most): (f64, f64)| format!("[{least}, {most}]");
    let all = [
        ("front", own.front.map(|front| front.spelling().to_string())),
        ("class", own.class.and_then(|at| classes.get(at).cloned())),
        ("service", Some(own.service.spelling()).filter(|spelling| spelling != "*")),
        ("zone", own.zone.clone()),
        ("cores", own.cores.map(span)),
        ("memory", own.memory.map(span)),
    ];
    all.into_iter().filter_map(|(name, value)| Some((name, value?))).collect()
}

/// The differences between two files, one line each: entries added and removed, changed figures and
/// conditions, and a changed order of routes.
pub fn diff(old: &Model, new: &Model, classes: &[String]) -> Vec<String> {
    let entries = |model: &Model| {
        let mut all: Vec<(String, BTreeMap<&'static str, String>)> =
            vec![("default".into(), figures_by_name(&model.default))];
        all.extend(
            classes
                .iter()
                .zip(&model.classes)
                .map(|(name, f)| (format!("classes.{name}"), figures_by_name(f))),
        );
        all.extend(model.routes.iter().map(|route| {
            let mut own = figures_by_name(&route.figures);
            own.extend(matching(route, classes));
            (format!("routes.{}", route.name), own)
        }));
        all
    };
    let (before, after) = (entries(old), entries(new));
    let find = |list: &[(String, BTreeMap<&'static str, String>)]| -> BTreeMap<String, BTreeMap<&'static str, String>> {
        list.iter().cloned().collect()
    };
    let (old_by, new_by) = (find(&before), find(&after));
    let mut lines = Vec::new();
    for (name, own) in &before {
        if !new_by.contains_key(name) {
            lines.push(format!("- {name} {}", in_line(own)));
        }
    }
    for (name, own) in &after {
        let Some(was) = old_by.get(name) else {
            lines.push(format!("+ {name} {}", in_line(own)));
            continue;
        };
        let keys: std::collections::BTreeSet<_> = was.keys().chain(own.keys()).collect();
        for key in keys {
            let (a, b) = (was.get(key), own.get(key));
            if a != b {
                let spelling =
                    |value: Option<&String>| value.map_or("(inherited)".to_string(), |v| v.to_string());
                lines.push(format!("~ {name}.{key}: {} -> {}", spelling(a), spelling(b)));
            }
        }
    }
    let order = |list: &[Route], other: &BTreeMap<String, BTreeMap<&'static str, String>>| -> Vec<String> {
        let names = list.iter().map(|r| format!("routes.{}", r.name));
        names.filter(|name| other.contains_key(name)).collect()
    };
    if order(&old.routes, &new_by) != order(&new.routes, &old_by) {
        lines.push(
            "~ routes: the routes that stay are in another order; the first one that matches a job is used"
                .into(),
        );
    }
    lines
}

fn in_line(all: &BTreeMap<&'static str, String>) -> String {
    let parts: Vec<String> = all.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    format!("{{{}}}", parts.join(", "))
}
