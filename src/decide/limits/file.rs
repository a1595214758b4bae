//! Reads the section `limits` and validates it against the settings. Every fault is reported with its
//! position in the file and with the rule that it would break. The bounds in these rules come from the
//! settings; none is defined here.

mod chains;
mod overlaps;

use super::gauges::{Budget, Rate};
use super::model::{Figures, Front, Matching, Model, Pattern, Route, Scope, SecondCopy, Span};
use super::shared_rate;
use super::table::Origin;
use crate::document::{Fault, Item, Section};
use crate::placer::{Idempotency, Seconds, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

/// Milliseconds. The longest time that can be set: one hour, the same as the longest deadline of the REST
/// API.
const MAX_MS: f64 = 3_600_000.0;
/// Count. The largest value that can be set for jobs in flight, jobs per second and a burst.
const MAX_COUNT: f64 = 1e6;
/// Count. The most routes in one file.
const MAX_ROUTES: usize = 10_000;
/// Bytes. The longest name of a route, and the longest pattern for services.
const MAX_NAME_BYTES: usize = 128;
/// Count. The default of `retryFloor`: retries allowed within ten seconds regardless of first attempts.
const DEFAULT_FLOOR: u32 = 3;
/// Share. The largest value of `retryBudget`: retries per first attempt.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// What a file is validated against.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The settings in force.
    pub settings: &'a Settings,
    /// The names of the classes, in the order of the settings.
    pub classes: &'a [String],
    /// The names of the zones.
    pub zones: &'a [String],
    /// Seconds that a lease lasts in the fleet; `None` if the file configures no fleet.
    pub lease_s: Option<Seconds>,
}

fn names(list: &[String]) -> Vec<&str> {
    list.iter().map(String::as_str).collect()
}

/// The positions of an entry's figures in the text, for faults that involve several figures.
#[derive(Clone, Default)]
struct Positions {
    path: String,
    entry: Range<usize>,
    by_name: BTreeMap<&'static str, Range<usize>>,
}

impl Positions {
    fn span(&self, name: &str) -> Option<&Range<usize>> {
        self.by_name.get(name)
    }
}

struct Reader<'a> {
    context: Context<'a>,
    faults: Vec<Fault>,
    warnings: Vec<String>,
}

const NO_CONCURRENT_ATTEMPTS: &str = "two attempts of a task are never in flight at the same time";

/// The rule that an unknown key would break if its name asks for concurrent attempts.
fn concurrency_rule(name: &str) -> Option<String> {
    let name = name.to_lowercase();
    let marks = ["hedge", "parallel", "speculat", "concurrent", "race", "simultan"];
    marks.iter().any(|w| name.contains(w)).then(|| NO_CONCURRENT_ATTEMPTS.to_string())
}

/// Reads the section. Faults go to the item's sink; warnings are returned beside the model.
pub fn read(item: &Item<'_>, context: Context<'_>) -> (Model, Vec<String>) {
    let mut model = Model { classes: vec![Figures::default(); context.classes.len()], ..Model::default() };
    let Some(section) = item.section() else { return (model, Vec::new()) };
    let mut reader = Reader { context, faults: Vec::new(), warnings: Vec::new() };
    let mut positions: BTreeMap<Origin, Positions> = BTreeMap::new();
    if let Some(default) = section.get("default").and_then(|i| i.section()) {
        let (figures, at) = reader.figures(&default, &[]);
        reader.check_default_window(&default, &figures);
        model.default = figures;
        positions.insert(Origin::Default, at);
    }
    if let Some(classes) = section.get("classes").and_then(|i| i.section()) {
        for (member, item) in classes.all() {
            let Some(class) = context.classes.iter().position(|c| *c == member.name) else {
                item.unknown(&member.name, &names(context.classes));
                continue;
            };
            let Some(of_class) = item.section() else { continue };
            let (figures, at) = reader.figures(&of_class, &[]);
            reader.check_class_effects(&of_class, &figures, &[class]);
            model.classes[class] = figures;
            positions.insert(Origin::Class(class), at);
        }
    }
    if let Some(routes) = section.get("routes").and_then(|i| i.list()) {
        if routes.len() > MAX_ROUTES {
            section.item().fault(format!("has {} routes; up to {MAX_ROUTES} are allowed", routes.len()));
        }
        let mut seen = BTreeSet::new();
        for item in routes.iter().take(MAX_ROUTES) {
            let Some((route, at)) = reader.route(item) else { continue };
            if !seen.insert(route.name.clone()) {
                item.fault(format!("is a second route named {:?}", route.name));
                continue;
            }
            positions.insert(Origin::Route(model.routes.len()), at);
            model.routes.push(route);
        }
    }
    section.close(concurrency_rule);
    reader.check_chains(&model, &positions);
    let mut warnings = reader.compare_routes(&model, &positions);
    warnings.append(&mut reader.warnings);
    for fault in reader.faults {
        item.sink().push(fault);
    }
    (model, warnings)
}

impl<'a> Reader<'a> {
    /// Reads the figures of one entry; `other_keys` names the other keys that the entry may have.
    fn figures(&mut self, section: &Section<'_>, other_keys: &[&'static str]) -> (Figures, Positions) {
        let mut positions = Positions {
            path: section.item().path().into(),
            entry: section.item().span(),
            ..Positions::default()
        };
        let mut get = |name: &'static str| {
            let item = section.get(name);
            if let Some(item) = &item {
                positions.by_name.insert(name, item.span());
            }
            item
        };
        let millis = |item: Option<Item<'_>>| item.and_then(|i| i.millis(MAX_MS));
        let integer = |item: Option<Item<'_>>, least: u64| {
            item.and_then(|i| i.count(least..=MAX_COUNT as u64)).map(|n| n as u32)
        };
        let attempts = get("attempts").and_then(|item| self.attempts(&item));
        let (attempt_s, total_s) = (millis(get("attemptMs")), millis(get("totalMs")));
        let window_s = millis(get("repeatWindowMs"));
        let pause_s = get("pauseMs").and_then(|item| pause(&item));
        let second_copy = get("secondCopy").and_then(|item| second_copy(&item));
        let in_flight = integer(get("inFlight"), 1);
        let per_s = get("ratePerS").and_then(|i| i.positive(MAX_COUNT, " a second"));
        let burst_at = get("burst");
        let burst = burst_at.as_ref().and_then(|i| i.within(1.0..=MAX_COUNT, ""));
        if let Some(item) = burst_at.filter(|_| section.get("ratePerS").is_none()) {
            item.fault("has no effect without \"ratePerS\" beside it");
        }
        let share = get("retryBudget").and_then(|i| i.within(0.0..=MAX_RETRY_BUDGET, ""));
        let floor_at = get("retryFloor");
        let floor = integer(floor_at.clone(), 0);
        if let Some(item) = floor_at.filter(|_| section.get("retryBudget").is_none()) {
            item.fault("has no effect without \"retryBudget\" beside it");
        }
        let scope_at = get("scope");
        let values = [("planner", Scope::Planner), ("fleet", Scope::Fleet)];
        let scope = scope_at.as_ref().and_then(|i| i.one_of(&values));
        for name in other_keys {
            section.get(name);
        }
        section.close(concurrency_rule);
        let figures = Figures {
            scope,
            attempts,
            attempt_s,
            total_s,
            window_s,
            pause_s,
            second_copy,
            in_flight,
            // The default burst is the jobs of one second.
            rate: per_s.map(|per_s| Rate { per_s, burst: burst.unwrap_or(per_s.max(1.0)) }),
            budget: share.map(|share| Budget { share, floor: floor.unwrap_or(DEFAULT_FLOOR) }),
        };
        if let Some(item) = scope_at {
            if figures.in_flight.is_none() && figures.rate.is_none() && figures.budget.is_none() {
                item.fault("has no effect without \"inFlight\", \"ratePerS\" or \"retryBudget\" beside it");
            }
            if figures.is_shared() {
                self.check_fleet_scope(&item, section, &figures);
            }
        }
        (figures, positions)
    }

    /// Checks an entry whose limits are divided among planners: each use must end before the lease that
    /// covers it expires.
    fn check_fleet_scope(&mut self, item: &Item<'_>, section: &Section<'_>, figures: &Figures) {
        let Some(lease_s) = self.context.lease_s else {
            return item.fault("has no effect without a section \"fleet\"");
        };
        let Some(rate) = figures.rate else { return };
        let rate_item = section.get("ratePerS").unwrap_or_else(|| item.clone());
        match shared_rate(rate, lease_s) {
            None => rate_item.fault(format!(
                "is too low to divide among planners with a lease of {} ms: \
                 set {} a second or more, or a longer leaseMs",
                lease_s * 1e3,
                2.0 / lease_s
            )),
            Some((units, _)) if (units as f64) < rate.burst.floor() => self.warnings.push(format!(
                "{}: with a lease of {} ms the fleet admits bursts of {units} jobs, not of {}",
                section.item().path(),
                lease_s * 1e3,
                rate.burst
            )),
            Some(_) => {}
        }
    }

    fn attempts(&self, item: &Item<'_>) -> Option<u32> {
        let most = self.context.settings.max_attempts;
        let number = item.number()?;
        if number > most as f64 {
            let rule = format!("a task has at most {most} attempts (permissions.max_attempts)");
            item.breaks(format!("is {number}"), rule);
            return None;
        }
        item.count(1..=most as u64).map(|n| n as u32)
    }

    fn keyed_windows(&self) -> impl Iterator<Item = (usize, Seconds)> + 'a {
        let classes = self.context.settings.classes.iter().enumerate();
        classes.filter_map(|(at, class)| match class.idempotency {
            Idempotency::Keyed { window_s, .. } => Some((at, window_s)),
            _ => None,
        })
    }

    fn check_default_window(&mut self, section: &Section<'_>, figures: &Figures) {
        let Some(own) = figures.window_s else { return };
        let Some(item) = section.get("repeatWindowMs") else { return };
        match self.keyed_windows().min_by(|a, b| a.1.total_cmp(&b.1)) {
            None => item.fault("has no effect: no class of the settings has keys"),
            Some((class, window_s)) if own > window_s => self.report_long_window(&item, own, class, window_s),
            Some(_) => {}
        }
    }

    fn report_long_window(&self, item: &Item<'_>, own: Seconds, class: usize, window_s: Seconds) {
        let name = &self.context.classes[class];
        let rule =
            format!("repeats of class {name:?} end {window_s} s after its first send (repeat_window_s)");
        item.breaks(format!("is {} ms", own * 1e3), rule);
    }

    /// Checks figures that apply to the given classes against what the effects of these classes allow.
    fn check_class_effects(&self, section: &Section<'_>, figures: &Figures, classes: &[usize]) {
        let all = |is: fn(&Idempotency) -> bool| {
            !classes.is_empty() && classes.iter().all(|&c| is(&self.context.settings.classes[c].idempotency))
        };
        if figures.second_copy == Some(SecondCopy::AfterGiveUp) && all(|e| *e == Idempotency::Once) {
            if let Some(item) = section.get("secondCopy") {
                item.breaks(
                    "asks for a second copy",
                    "a task of a class with idempotency \"once\" is never sent again once it may have run",
                );
            }
        }
        let (Some(own), Some(item)) = (figures.window_s, section.get("repeatWindowMs")) else { return };
        if all(|e| !matches!(e, Idempotency::Keyed { .. })) {
            item.fault("has no effect for a class without keys");
        }
        let shortest = self.keyed_windows().filter(|(at, _)| classes.contains(at));
        if let Some((class, window_s)) = shortest.min_by(|a, b| a.1.total_cmp(&b.1)) {
            if own > window_s {
                self.report_long_window(&item, own, class, window_s);
            }
        }
    }

    fn route(&mut self, item: &Item<'_>) -> Option<(Route, Positions)> {
        let section = item.section()?;
        let name = section.need("name").and_then(|i| {
            let name = i.text()?;
            let usual = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if name.len() > MAX_NAME_BYTES || !name.chars().all(usual) {
                i.fault(format!("must be up to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"));
                return None;
            }
            Some(Arc::from(name))
        });
        let matching = section.need("match").and_then(|i| self.matching(&i));
        let (figures, positions) = self.figures(&section, &["name", "match"]);
        let matching = matching?;
        let classes = self.classes_of(&matching);
        self.check_class_effects(&section, &figures, &classes);
        Some((Route { name: name?, matching, figures }, positions))
    }

    fn classes_of(&self, matching: &Matching) -> Vec<usize> {
        matching.class.map_or_else(|| (0..self.context.classes.len()).collect(), |class| vec![class])
    }

    fn matching(&self, item: &Item<'_>) -> Option<Matching> {
        let section = item.section()?;
        let front =
            section.get("front").map(|i| i.one_of(&[("platform", Front::Platform), ("rest", Front::Rest)]));
        let known = |name, list: &[String]| {
            section.get(name).map(|i| {
                let text = i.text()?;
                let at = list.iter().position(|n| n == text);
                if at.is_none() {
                    i.unknown(text, &names(list));
                }
                at
            })
        };
        let class = known("class", self.context.classes);
        let zone = known("zone", self.context.zones);
        let service = section.get("service").map(|i| {
            let text = i.text()?;
            if text.len() > MAX_NAME_BYTES {
                i.fault(format!("is longer than {MAX_NAME_BYTES} bytes"));
                return None;
            }
            Some(Pattern::new(text))
        });
        let size = section.get("size").and_then(|i| i.section());
        let span = |name| size.as_ref().and_then(|s| s.get(name)).map(|i| span(&i));
        let (cores, memory) = (span("cores"), span("memory"));
        if let Some(size) = &size {
            size.close(|_| None);
        }
        section.close(|_| None);
        // A condition with a fault rejects the whole route: treating it as absent would make the route match
        // more jobs than intended.
        Some(Matching {
            front: front.map_or(Some(None), |f| f.map(Some))?,
            class: class.map_or(Some(None), |c| c.map(Some))?,
            zone: zone.map_or(Some(None), |z| z.map(|at| Some(self.context.zones[at].clone())))?,
            service: service.map_or(Some(Pattern::Any), |s| s)?,
            cores: cores.map_or(Some(None), |c| c.map(Some))?,
            memory: memory.map_or(Some(None), |m| m.map(Some))?,
        })
    }
}

fn second_copy(item: &Item<'_>) -> Option<SecondCopy> {
    let values = [("never", SecondCopy::Never), ("after-give-up", SecondCopy::AfterGiveUp)];
    let text = item.text()?;
    let together = ["together", "parallel", "hedged", "hedge", "immediately", "at-once", "always"];
    if together.contains(&text) {
        item.breaks(format!("asks for a concurrent copy ({text:?})"), NO_CONCURRENT_ATTEMPTS);
        return None;
    }
    item.one_of(&values)
}

fn pause(item: &Item<'_>) -> Option<(Seconds, Seconds)> {
    item.span_of(MAX_MS).map(|(least, most)| (least / 1e3, most / 1e3))
}

fn span(item: &Item<'_>) -> Option<Span> {
    item.span_of(MAX_COUNT)
}
