//! The section `limits` as it was written: figures by default, class and route, and what a route matches.

use super::gauges::{Budget, Rate};
use crate::placer::{Room, Seconds};
use std::sync::Arc;
use wildmatch::WildMatch;

/// The fronts that jobs come through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The REST API.
    Rest,
}

impl Front {
    /// Its name in the file.
    pub fn word(self) -> &'static str {
        match self {
            Front::Platform => "platform",
            Front::Rest => "rest",
        }
    }
}

/// Whether a task may be sent again once an attempt of it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SecondCopy {
    /// Never.
    Never,
    /// Once the first is given up, where the class's effects allow it.
    AfterGiveUp,
}

impl SecondCopy {
    /// Its word in the file.
    pub fn word(self) -> &'static str {
        match self {
            SecondCopy::Never => "never",
            SecondCopy::AfterGiveUp => "after-give-up",
        }
    }
}

/// Among whom what a place counts is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Each planner counts alone.
    Planner,
    /// All planners of the fleet together.
    Fleet,
}

impl Scope {
    /// Its word in the file.
    pub fn word(self) -> &'static str {
        match self {
            Scope::Planner => "planner",
            Scope::Fleet => "fleet",
        }
    }
}

/// The figures of one place in the file; what is absent is inherited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Attempts.
    pub attempts: Option<u32>,
    /// Seconds that one attempt may take.
    pub attempt_s: Option<Seconds>,
    /// Seconds from the ask to the final answer.
    pub total_s: Option<Seconds>,
    /// Seconds from the first send that may have run to the last.
    pub window_s: Option<Seconds>,
    /// Seconds of pause after a refusal, least and most.
    pub pause_s: Option<(Seconds, Seconds)>,
    /// Whether it may be sent again once it may have run.
    pub second_copy: Option<SecondCopy>,
    /// Jobs that may be in flight.
    pub in_flight: Option<u32>,
    /// Jobs that may come.
    pub rate: Option<Rate>,
    /// Further tries that first ones pay for.
    pub budget: Option<Budget>,
    /// Whether what stands here is counted by each planner or by the fleet; it is of this place alone, and not inherited.
    pub scope: Option<Scope>,
}

impl Figures {
    /// Whether what is counted here is divided among the planners.
    pub fn is_shared(&self) -> bool {
        self.scope == Some(Scope::Fleet)
    }
}

/// Which services a route is for.
#[derive(Clone, Debug)]
pub enum Pattern {
    /// All.
    Any,
    /// One.
    Exact(String),
    /// Those that begin so.
    Prefix(String),
    /// Those that match a glob.
    Glob(String, WildMatch),
}

impl Pattern {
    /// Reads a glob: `*` is any run of characters, `?` any one.
    pub fn new(text: &str) -> Pattern {
        let plain = |t: &str| !t.contains(['*', '?']);
        match text.strip_suffix('*') {
            _ if plain(text) => Pattern::Exact(text.into()),
            Some("") => Pattern::Any,
            Some(prefix) if plain(prefix) => Pattern::Prefix(prefix.into()),
            _ => Pattern::Glob(text.into(), WildMatch::new(text)),
        }
    }

    /// Whether a service is one of them.
    pub fn matches(&self, service: &str) -> bool {
        match self {
            Pattern::Any => true,
            Pattern::Exact(text) => text == service,
            Pattern::Prefix(prefix) => service.starts_with(prefix.as_str()),
            Pattern::Glob(_, glob) => glob.matches(service),
        }
    }

    /// Whether every service of the other is one of these, as far as can be told from the patterns.
    pub fn covers(&self, other: &Pattern) -> bool {
        match (self, other) {
            (Pattern::Any, _) => true,
            (_, Pattern::Exact(text)) => self.matches(text),
            (Pattern::Prefix(short), Pattern::Prefix(long)) => long.starts_with(short.as_str()),
            (Pattern::Prefix(short), Pattern::Glob(text, _)) => {
                let fixed = text.split(['*', '?']).next().unwrap_or_default();
                fixed.starts_with(short.as_str())
            }
            (Pattern::Glob(a, _), Pattern::Glob(b, _)) => a == b,
            _ => false,
        }
    }

    /// The pattern in the words of the file.
    pub fn word(&self) -> String {
        match self {
            Pattern::Any => "*".into(),
            Pattern::Exact(text) | Pattern::Glob(text, _) => text.clone(),
            Pattern::Prefix(prefix) => format!("{prefix}*"),
        }
    }
}

/// Least and most, both included.
pub type Span = (f64, f64);

/// What a route is for; what is absent is not looked at.
#[derive(Clone, Debug)]
pub struct Matching {
    /// The front.
    pub front: Option<Front>,
    /// Index of the class.
    pub class: Option<usize>,
    /// The services.
    pub service: Pattern,
    /// The zone in which this planner stands.
    pub zone: Option<String>,
    /// Cores asked for.
    pub cores: Option<Span>,
    /// Memory asked for.
    pub memory: Option<Span>,
}

fn covers<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
    a.is_none() || a == b
}

fn spans(a: Option<Span>, b: Option<Span>) -> bool {
    a.is_none_or(|(least, most)| b.is_some_and(|(l, m)| least <= l && m <= most))
}

fn meet<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
    a.is_none() || b.is_none() || a == b
}

impl Matching {
    /// Whether it takes all that the other takes.
    pub fn covers(&self, other: &Matching) -> bool {
        covers(&self.front, &other.front)
            && covers(&self.class, &other.class)
            && covers(&self.zone, &other.zone)
            && spans(self.cores, other.cores)
            && spans(self.memory, other.memory)
            && self.service.covers(&other.service)
    }

    /// Whether some job may match both, as far as can be told from fronts, classes, zones and patterns.
    pub fn meets(&self, other: &Matching) -> bool {
        let services = match (&self.service, &other.service) {
            (Pattern::Glob(..), Pattern::Glob(..) | Pattern::Prefix(_))
            | (Pattern::Prefix(_), Pattern::Glob(..)) => true,
            (a, b) => a.covers(b) || b.covers(a),
        };
        meet(&self.front, &other.front)
            && meet(&self.class, &other.class)
            && meet(&self.zone, &other.zone)
            && services
    }

    /// Whether a job of so much room is for it.
    pub fn fits(&self, room: Room) -> bool {
        let within =
            |span: Option<Span>, x: f64| span.is_none_or(|(least, most)| (least..=most).contains(&x));
        within(self.cores, room.cores) && within(self.memory, room.memory)
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, under which its gauges live on over reloads.
    pub name: Arc<str>,
    /// What it is for.
    pub matching: Matching,
    /// Its own figures.
    pub figures: Figures,
}

/// The whole section.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// For all.
    pub default: Figures,
    /// By class; one entry for each class of the settings.
    pub classes: Vec<Figures>,
    /// In the order of the file.
    pub routes: Vec<Route>,
}
