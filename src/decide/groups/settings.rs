//! The section `groups` of the operators' file: what a group may ask for and how it is handled.

use super::{OnLoss, Policy};
use crate::decide::limits::Pattern;
use crate::document::{Item, Section};
use crate::placer::Seconds;

/// Milliseconds. The longest time that a group may stand in part.
const MOST_PARTIAL_MS: f64 = 1000.0;
/// Milliseconds. The longest that an answer may wait for the machines' word on cuts.
const MOST_CUT_WAIT_MS: f64 = 1000.0;
/// Milliseconds. The longest pause between two tries of a whole group.
const MOST_PAUSE_MS: f64 = 60_000.0;
/// Count. The most members that can be set.
const MOST_MEMBERS: u64 = 256;
/// Count. The most tries of a whole group that can be set.
const MOST_TRIES: u64 = 8;
/// Count. The most open groups that can be set.
const MOST_OPEN: u64 = 100_000;

/// What holds for groups with members of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Members of one group.
    pub members: usize,
    /// Seconds that a group may stand in part.
    pub partial_s: Seconds,
    /// Seconds that an answer may wait for the machines' word on cuts.
    pub cut_wait_s: Seconds,
    /// Tries of the whole.
    pub tries: u32,
    /// Seconds between two tries, least and most.
    pub pause_s: (Seconds, Seconds),
    /// The most of the fleet that one group may ask for.
    pub share: f64,
    /// Members that may be placed again after a loss.
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
    /// The tighter of the two in each figure.
    fn tighter(self, other: Figures) -> Figures {
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

    /// What a group is handled by.
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

/// The whole section.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Groups that are open at once.
    pub open: usize,
    /// For all.
    pub default: Figures,
    /// By class of the settings.
    pub classes: Vec<Option<Figures>>,
    /// For groups whose members all have such a service; the first that matches wins.
    pub routes: Vec<(Pattern, Figures)>,
}

impl GroupSettings {
    /// What holds for a group with members of these classes and services: its route's, else the tightest of its
    /// classes'.
    pub fn figures(&self, members: &[(usize, &str)]) -> Figures {
        let takes = |route: &&(Pattern, Figures)| members.iter().all(|(_, service)| route.0.matches(service));
        if let Some((_, figures)) = self.routes.iter().find(takes) {
            return *figures;
        }
        let of = |class: usize| self.classes.get(class).copied().flatten().unwrap_or(self.default);
        members.iter().map(|(class, _)| of(*class)).reduce(Figures::tighter).unwrap_or(self.default)
    }
}

/// Reads the section; its faults go to the item's sink. `classes` are the names of the settings' classes.
pub fn read(item: &Item<'_>, classes: &[String]) -> Option<GroupSettings> {
    let section = item.section()?;
    let mut own = GroupSettings {
        open: 1000,
        default: Figures::default(),
        classes: vec![None; classes.len()],
        routes: vec![],
    };
    if let Some(open) = section.get("maxOpen").and_then(|i| i.count(1..=MOST_OPEN)) {
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
            item.fault("is never taken: a route before it takes all its services");
        }
        own.routes.push((service, of_route));
    }
    section.close(|_| None);
    Some(own)
}

fn figures(section: &Section<'_>, from: Figures, more: &[&'static str]) -> Figures {
    let mut own = from;
    let count = |name, most| section.get(name).and_then(|i| i.count(1..=most));
    if let Some(n) = count("maxMembers", MOST_MEMBERS) {
        own.members = n as usize;
    }
    if let Some(n) = count("tries", MOST_TRIES) {
        own.tries = n as u32;
    }
    if let Some(n) = section.get("replacements").and_then(|i| i.count(0..=MOST_MEMBERS)) {
        own.replacements = n as u32;
    }
    let partial = section.get("partialMs");
    if let Some(ms) = partial.as_ref().and_then(|i| i.number()) {
        if ms > MOST_PARTIAL_MS {
            let rule = "no part of a group outlives a second";
            partial.as_ref().inspect(|i| i.breaks(format!("is {ms} ms"), rule));
        } else if let Some(s) = partial.as_ref().and_then(|i| i.millis(MOST_PARTIAL_MS)) {
            own.partial_s = s;
        }
    }
    if let Some(s) = section.get("cutWaitMs").and_then(|i| i.millis(MOST_CUT_WAIT_MS)) {
        own.cut_wait_s = s;
    }
    if let Some(share) = section.get("share").and_then(|i| i.positive(1.0, "")) {
        own.share = share;
    }
    if let Some(item) = section.get("pauseMs") {
        if let Some((least, most)) = item.span_of(MOST_PAUSE_MS) {
            own.pause_s = (least / 1e3, most / 1e3);
        }
    }
    for name in more {
        section.get(name);
    }
    section.close(|_| None);
    own
}
