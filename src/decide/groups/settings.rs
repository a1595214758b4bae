//! The section `groups` of the operators' file: the bounds on groups, and how groups are handled.

use super::{OnLoss, Policy};
use crate::decide::limits::Pattern;
use crate::document::{Item, Section};
use crate::placer::Seconds;

/// Milliseconds. The largest `partialMs` that can be set.
const MAX_PARTIAL_MS: f64 = 1000.0;
/// Milliseconds. The largest `cutWaitMs` that can be set.
const MAX_CUT_WAIT_MS: f64 = 1000.0;
/// Milliseconds. The longest pause between two tries of a whole group that can be set.
const MAX_PAUSE_MS: f64 = 60_000.0;
/// Count. The most members that can be set.
const MAX_MEMBERS: u64 = 256;
/// Count. The most tries of a whole group that can be set.
const MAX_TRIES: u64 = 8;
/// Count. The most open groups that can be set.
const MAX_OPEN: u64 = 100_000;

/// The figures for groups with members of a class or with certain services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// The most members of one group.
    pub members: usize,
    /// Seconds for which some, but not all, members may stand.
    pub partial_s: Seconds,
    /// Seconds that an answer may wait for machines to confirm cuts.
    pub cut_wait_s: Seconds,
    /// The most tries of the whole group.
    pub tries: u32,
    /// Seconds between two tries, least and most.
    pub pause_s: (Seconds, Seconds),
    /// The largest share of the machines' room that one group may request.
    pub share: f64,
    /// The most members that are placed again after a loss.
    pub replacements: u32,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            members: 32,
            partial_s: 1.0,
            cut_wait_s: 0.25,
            tries: 2,
            pause_s: (0.1, 0.4),
            share: 0.5,
            replacements: 3,
        }
    }
}

impl Figures {
    /// Combines two sets of figures: the stricter value of each figure.
    fn stricter(self, other: Figures) -> Figures {
        let wider = |a: (f64, f64), b: (f64, f64)| if a.0 + a.1 >= b.0 + b.1 { a } else { b };
        Figures {
            members: self.members.min(other.members),
            partial_s: self.partial_s.min(other.partial_s),
            cut_wait_s: self.cut_wait_s.min(other.cut_wait_s),
            tries: self.tries.min(other.tries),
            pause_s: wider(self.pause_s, other.pause_s),
            share: self.share.min(other.share),
            replacements: self.replacements.min(other.replacements),
        }
    }

    /// The policy of a group with these figures.
    pub fn policy(&self, on_loss: OnLoss) -> Policy {
        Policy {
            partial_s: self.partial_s,
            cut_wait_s: self.cut_wait_s,
            tries: self.tries,
            pause_s: self.pause_s,
            on_loss,
            replacements: self.replacements,
        }
    }
}

/// The section `groups`.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// The most groups that are open at once.
    pub open: usize,
    /// The figures for all groups.
    pub default: Figures,
    /// Figures by class of the settings, where the file sets any.
    pub classes: Vec<Option<Figures>>,
    /// Figures for groups in which every member's service matches; the first match applies.
    pub routes: Vec<(Pattern, Figures)>,
}

impl GroupSettings {
    /// The figures for a group with members of these classes and services: those of its route, else the
    /// strictest of its classes.
    pub fn figures(&self, members: &[(usize, &str)]) -> Figures {
        let takes = |route: &&(Pattern, Figures)| members.iter().all(|(_, service)| route.0.matches(service));
        if let Some((_, figures)) = self.routes.iter().find(takes) {
            return *figures;
        }
        let figures_of = |class: usize| self.classes.get(class).copied().flatten().unwrap_or(self.default);
        members.iter().map(|(class, _)| figures_of(*class)).reduce(Figures::stricter).unwrap_or(self.default)
    }
}

/// Reads the section; its faults go to the item's sink. `classes` are the class names in the order of the
/// settings.
pub fn read(item: &Item<'_>, classes: &[String]) -> Option<GroupSettings> {
    let section = item.section()?;
    let mut own = GroupSettings {
        open: 1000,
        default: Figures::default(),
        classes: vec![None; classes.len()],
        routes: vec![],
    };
    if let Some(open) = section.get("maxOpen").and_then(|i| i.count(1..=MAX_OPEN)) {
        own.open = open as usize;
    }
    if let Some(default) = section.get("default").and_then(|i| i.section()) {
        own.default = figures(&default, own.default, &[]);
    }
    if let Some(by_class) = section.get("classes").and_then(|i| i.section()) {
        for (member, item) in by_class.all() {
            let Some(class) = classes.iter().position(|c| *c == member.name) else {
                let known: Vec<&str> = classes.iter().map(String::as_str).collect();
                item.unknown(&member.name, &known);
                continue;
            };
            own.classes[class] = item.section().map(|section| figures(&section, own.default, &[]));
        }
    }
    for item in section.get("routes").and_then(|i| i.list()).unwrap_or_default() {
        let Some(route) = item.section() else { continue };
        let service = route.need("service").and_then(|i| i.text());
        let of_route = figures(&route, own.default, &["service"]);
        let Some(service) = service.map(Pattern::new) else { continue };
        if own.routes.iter().any(|(before, _)| before.covers(&service)) {
            item.fault("is never used: a route before it matches all its services");
        }
        own.routes.push((service, of_route));
    }
    section.close(|_| None);
    Some(own)
}

fn figures(section: &Section<'_>, from: Figures, other_keys: &[&'static str]) -> Figures {
    let mut own = from;
    let count = |name, most| section.get(name).and_then(|i| i.count(1..=most));
    if let Some(n) = count("maxMembers", MAX_MEMBERS) {
        own.members = n as usize;
    }
    if let Some(n) = count("tries", MAX_TRIES) {
        own.tries = n as u32;
    }
    if let Some(n) = section.get("replacements").and_then(|i| i.count(0..=MAX_MEMBERS)) {
        own.replacements = n as u32;
    }
    let partial = section.get("partialMs");
    if let Some(ms) = partial.as_ref().and_then(|i| i.number()) {
        if ms > MAX_PARTIAL_MS {
            let rule = "a group is partly placed for at most one second";
            partial.as_ref().inspect(|i| i.breaks(format!("is {ms} ms"), rule));
        } else if let Some(s) = partial.as_ref().and_then(|i| i.millis(MAX_PARTIAL_MS)) {
            own.partial_s = s;
        }
    }
    if let Some(s) = section.get("cutWaitMs").and_then(|i| i.millis(MAX_CUT_WAIT_MS)) {
        own.cut_wait_s = s;
    }
    if let Some(share) = section.get("share").and_then(|i| i.positive(1.0, "")) {
        own.share = share;
    }
    if let Some(item) = section.get("pauseMs") {
        if let Some((least, most)) = item.span_of(MAX_PAUSE_MS) {
            own.pause_s = (least / 1e3, most / 1e3);
        }
    }
    for name in other_keys {
        section.get(name);
    }
    section.close(|_| None);
    own
}
