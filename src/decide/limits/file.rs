//! Reads the section `limits` and holds it against the settings: every fault is told with its place and with the rule
//! that it would break. The rules' figures are the settings', none is written here.

mod chains;
mod overlaps;

use super::gauges::{Budget, Rate};
use super::model::{Figures, Front, Matching, Model, Pattern, Route, Scope, SecondCopy, Span};
use super::shared_rate;
use super::table::Origin;
use crate::document::{Fault, Item, Section};
use crate::placer::{Effect, Seconds, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

/// Milliseconds. The longest time that can be set: an hour, as the REST front's longest deadline.
const MOST_MS: f64 = 3_600_000.0;
/// Count. The most jobs in flight, a second or in a burst that can be set.
const MOST_COUNT: f64 = 1e6;
/// Count. Routes of one file.
const MOST_ROUTES: usize = 10_000;
/// Bytes of a route's name, and of a service's pattern.
const MOST_NAME: usize = 128;
/// Count. Further tries in ten seconds that are paid for by nobody, where the file does not say.
const FLOOR_FIRST: u32 = 3;
/// Share. The most further tries for each first one.
const MOST_SHARE: f64 = 10.0;

/// What a file is held against.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The settings in force.
    pub settings: &'a Settings,
    /// The classes' names, in the settings' order.
    pub classes: &'a [String],
    /// The zones' names.
    pub zones: &'a [String],
    /// Seconds that a lease lasts in the fleet, where the file has one.
    pub lease_s: Option<Seconds>,
}

fn names(list: &[String]) -> Vec<&str> {
    list.iter().map(String::as_str).collect()
}

/// Where the figures of a place stand in the text, for faults that follow from several of them.
#[derive(Clone, Default)]
struct Spots {
    path: String,
    whole: Range<usize>,
    by_name: BTreeMap<&'static str, Range<usize>>,
}

impl Spots {
    fn span(&self, name: &str) -> Option<&Range<usize>> {
        self.by_name.get(name)
    }
}

struct Reader<'a> {
    context: Context<'a>,
    faults: Vec<Fault>,
    told: Vec<String>,
}

const TOGETHER: &str = "two attempts of a task are never out together";

/// The rule that a name would break, should it be a wish for two attempts at once.
fn wish(name: &str) -> Option<String> {
    let name = name.to_lowercase();
    let wishes = ["hedge", "parallel", "speculat", "concurrent", "race", "simultan"];
    wishes.iter().any(|w| name.contains(w)).then(|| TOGETHER.to_string())
}

/// Reads the section. Faults go to the item's sink; what is worth a word but no fault comes back beside the model.
pub fn read(item: &Item<'_>, context: Context<'_>) -> (Model, Vec<String>) {
    let mut model = Model { classes: vec![Figures::default(); context.classes.len()], ..Model::default() };
    let Some(section) = item.section() else { return (model, Vec::new()) };
    let mut reader = Reader { context, faults: Vec::new(), told: Vec::new() };
    let mut spots: BTreeMap<Origin, Spots> = BTreeMap::new();
    if let Some(default) = section.get("default").and_then(|i| i.section()) {
        let (figures, at) = reader.figures(&default, &[]);
        reader.bounds_of_default(&default, &figures);
        model.default = figures;
        spots.insert(Origin::Default, at);
    }
    if let Some(classes) = section.get("classes").and_then(|i| i.section()) {
        for (member, item) in classes.all() {
            let Some(class) = context.classes.iter().position(|c| *c == member.name) else {
                item.unknown(&member.name, &names(context.classes));
                continue;
            };
            let Some(of_class) = item.section() else { continue };
            let (figures, at) = reader.figures(&of_class, &[]);
            reader.effects(&of_class, &figures, &[class]);
            model.classes[class] = figures;
            spots.insert(Origin::Class(class), at);
        }
    }
    if let Some(routes) = section.get("routes").and_then(|i| i.list()) {
        if routes.len() > MOST_ROUTES {
            section.item().fault(format!("has {} routes; up to {MOST_ROUTES} are allowed", routes.len()));
        }
        let mut seen = BTreeSet::new();
        for item in routes.iter().take(MOST_ROUTES) {
            let Some((route, at)) = reader.route(item) else { continue };
            if !seen.insert(route.name.clone()) {
                item.fault(format!("is a second route named {:?}", route.name));
                continue;
            }
            spots.insert(Origin::Route(model.routes.len()), at);
            model.routes.push(route);
        }
    }
    section.close(wish);
    reader.chains(&model, &spots);
    let mut told = reader.compare(&model, &spots);
    told.append(&mut reader.told);
    for fault in reader.faults {
        item.sink().push(fault);
    }
    (model, told)
}

impl<'a> Reader<'a> {
    /// Reads the figures of one place; `more` names what else may stand there.
    fn figures(&mut self, section: &Section<'_>, more: &[&'static str]) -> (Figures, Spots) {
        let mut spots =
            Spots { path: section.item().path().into(), whole: section.item().span(), ..Spots::default() };
        let mut get = |name: &'static str| {
            let item = section.get(name);
            if let Some(item) = &item {
                spots.by_name.insert(name, item.span());
            }
            item
        };
        let millis = |item: Option<Item<'_>>| item.and_then(|i| i.millis(MOST_MS));
        let whole = |item: Option<Item<'_>>, least: u64| {
            item.and_then(|i| i.count(least..=MOST_COUNT as u64)).map(|n| n as u32)
        };
        let attempts = get("attempts").and_then(|item| self.attempts(&item));
        let (attempt_s, total_s) = (millis(get("attemptMs")), millis(get("totalMs")));
        let window_s = millis(get("repeatWindowMs"));
        let pause_s = get("pauseMs").and_then(|item| pause(&item));
        let second_copy = get("secondCopy").and_then(|item| second_copy(&item));
        let in_flight = whole(get("inFlight"), 1);
        let per_s = get("ratePerS").and_then(|i| i.positive(MOST_COUNT, " a second"));
        let burst_at = get("burst");
        let burst = burst_at.as_ref().and_then(|i| i.within(1.0..=MOST_COUNT, ""));
        if let Some(item) = burst_at.filter(|_| section.get("ratePerS").is_none()) {
            item.fault("means nothing without \"ratePerS\" beside it");
        }
        let share = get("retryBudget").and_then(|i| i.within(0.0..=MOST_SHARE, ""));
        let floor_at = get("retryFloor");
        let floor = whole(floor_at.clone(), 0);
        if let Some(item) = floor_at.filter(|_| section.get("retryBudget").is_none()) {
            item.fault("means nothing without \"retryBudget\" beside it");
        }
        let scope_at = get("scope");
        let words = [("planner", Scope::Planner), ("fleet", Scope::Fleet)];
        let scope = scope_at.as_ref().and_then(|i| i.one_of(&words));
        for name in more {
            section.get(name);
        }
        section.close(wish);
        let figures = Figures {
            scope,
            attempts,
            attempt_s,
            total_s,
            window_s,
            pause_s,
            second_copy,
            in_flight,
            // A burst that is not set is a second's worth.
            rate: per_s.map(|per_s| Rate { per_s, burst: burst.unwrap_or(per_s.max(1.0)) }),
            budget: share.map(|share| Budget { share, floor: floor.unwrap_or(FLOOR_FIRST) }),
        };
        if let Some(item) = scope_at {
            if figures.in_flight.is_none() && figures.rate.is_none() && figures.budget.is_none() {
                item.fault("means nothing without \"inFlight\", \"ratePerS\" or \"retryBudget\" beside it");
            }
            if figures.is_shared() {
                self.shared(&item, section, &figures);
            }
        }
        (figures, spots)
    }

    /// What is divided among planners has to be over before what a planner holds of it lapses.
    fn shared(&mut self, item: &Item<'_>, section: &Section<'_>, figures: &Figures) {
        let Some(lease_s) = self.context.lease_s else {
            return item.fault("means nothing without a section \"fleet\"");
        };
        let Some(rate) = figures.rate else { return };
        let place = section.get("ratePerS").unwrap_or_else(|| item.clone());
        match shared_rate(rate, lease_s) {
            None => place.fault(format!(
                "is too slow to be divided under a lease of {} ms: {} a second or more, or a longer leaseMs",
                lease_s * 1e3,
                2.0 / lease_s
            )),
            Some((units, _)) if (units as f64) < rate.burst.floor() => self.told.push(format!(
                "{}: under a lease of {} ms the fleet lets {units} jobs come at once, not the burst of {}",
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
        classes.filter_map(|(at, class)| match class.effect {
            Effect::Keyed { window_s, .. } => Some((at, window_s)),
            _ => None,
        })
    }

    fn bounds_of_default(&mut self, section: &Section<'_>, figures: &Figures) {
        let Some(own) = figures.window_s else { return };
        let Some(item) = section.get("repeatWindowMs") else { return };
        match self.keyed_windows().min_by(|a, b| a.1.total_cmp(&b.1)) {
            None => item.fault("means nothing: no class of the settings has keys"),
            Some((class, window_s)) if own > window_s => self.window_broken(&item, own, class, window_s),
            Some(_) => {}
        }
    }

    fn window_broken(&self, item: &Item<'_>, own: Seconds, class: usize, window_s: Seconds) {
        let name = &self.context.classes[class];
        let rule =
            format!("repeats of class {name:?} end {window_s} s after its first send (repeat_window_s)");
        item.breaks(format!("is {} ms", own * 1e3), rule);
    }

    /// What figures written for certain classes may not say.
    fn effects(&self, section: &Section<'_>, figures: &Figures, classes: &[usize]) {
        let all = |is: fn(&Effect) -> bool| {
            !classes.is_empty() && classes.iter().all(|&c| is(&self.context.settings.classes[c].effect))
        };
        if figures.second_copy == Some(SecondCopy::AfterGiveUp) && all(|e| *e == Effect::Once) {
            if let Some(item) = section.get("secondCopy") {
                item.breaks(
                    "asks for a second copy",
                    "a class that must run once has none (idempotency \"once\")",
                );
            }
        }
        let (Some(own), Some(item)) = (figures.window_s, section.get("repeatWindowMs")) else { return };
        if all(|e| !matches!(e, Effect::Keyed { .. })) {
            item.fault("means nothing for a class without keys");
        }
        let shortest = self.keyed_windows().filter(|(at, _)| classes.contains(at));
        if let Some((class, window_s)) = shortest.min_by(|a, b| a.1.total_cmp(&b.1)) {
            if own > window_s {
                self.window_broken(&item, own, class, window_s);
            }
        }
    }

    fn route(&mut self, item: &Item<'_>) -> Option<(Route, Spots)> {
        let section = item.section()?;
        let name = section.need("name").and_then(|i| {
            let name = i.text()?;
            let usual = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if name.len() > MOST_NAME || !name.chars().all(usual) {
                i.fault(format!("must be up to {MOST_NAME} letters, digits, '-', '_' and '.'"));
                return None;
            }
            Some(Arc::from(name))
        });
        let matching = section.need("match").and_then(|i| self.matching(&i));
        let (figures, spots) = self.figures(&section, &["name", "match"]);
        let matching = matching?;
        let classes = self.classes_of(&matching);
        self.effects(&section, &figures, &classes);
        Some((Route { name: name?, matching, figures }, spots))
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
            if text.len() > MOST_NAME {
                i.fault(format!("has more than {MOST_NAME} bytes"));
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
        // What was told as a fault must not make the route match more than was meant.
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
    let words = [("never", SecondCopy::Never), ("after-give-up", SecondCopy::AfterGiveUp)];
    let text = item.text()?;
    let together = ["together", "parallel", "hedged", "hedge", "immediately", "at-once", "always"];
    if together.contains(&text) {
        item.breaks(format!("asks for a copy {text:?}"), TOGETHER);
        return None;
    }
    item.one_of(&words)
}

fn pause(item: &Item<'_>) -> Option<(Seconds, Seconds)> {
    item.span_of(MOST_MS).map(|(least, most)| (least / 1e3, most / 1e3))
}

fn span(item: &Item<'_>) -> Option<Span> {
    item.span_of(MOST_COUNT)
}
