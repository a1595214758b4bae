//! The section `limits` as written in the file: the figures of the default, the classes and the routes, and
//! which jobs a route matches.

use super::gauges::{Budget, Rate};
use crate::placer::{Room, Seconds};
use std::sync::Arc;
use wildmatch::WildMatch;

/// The interfaces through which clients submit jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// The REST API.
    Rest,
}

impl Front {
    /// Its name in the limits file.
    pub fn spelling(self) -> &'static str {
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
    /// Once the first attempt is given up, if the class's effects allow it.
    AfterGiveUp,
}

impl SecondCopy {
    /// Its value in the limits file.
    pub fn spelling(self) -> &'static str {
        match self {
            SecondCopy::Never => "never",
            SecondCopy::AfterGiveUp => "after-give-up",
        }
    }
}

/// Which planners share the limits of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Each planner applies the limits by itself.
    Planner,
    /// All planners of the fleet share the limits.
    Fleet,
}

impl Scope {
    /// Its value in the limits file.
    pub fn spelling(self) -> &'static str {
        match self {
            Scope::Planner => "planner",
            Scope::Fleet => "fleet",
        }
    }
}

/// The figures of one entry of the file; a figure that is absent is inherited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// The most attempts of a job.
    pub attempts: Option<u32>,
    /// Seconds that one attempt may take.
    pub attempt_s: Option<Seconds>,
    /// Seconds from the request to the final answer.
    pub total_s: Option<Seconds>,
    /// Seconds from the first send that may have run to the last send of a job.
    pub window_s: Option<Seconds>,
    /// Seconds of pause after a refusal, least and most.
    pub pause_s: Option<(Seconds, Seconds)>,
    /// Whether a job may be sent again once an attempt of it may have run.
    pub second_copy: Option<SecondCopy>,
    /// The most jobs in flight.
    pub in_flight: Option<u32>,
    /// The rate at which jobs are admitted.
    pub rate: Option<Rate>,
    /// Retries that are allowed relative to first attempts.
    pub budget: Option<Budget>,
    /// Whether each planner or the whole fleet counts against this entry's limits. Applies to this entry
    /// alone and is not inherited.
    pub scope: Option<Scope>,
}

impl Figures {
    /// Whether this entry's limits are divided among the planners.
    pub fn is_shared(&self) -> bool {
        self.scope == Some(Scope::Fleet)
    }
}

/// The services that a route matches.
#[derive(Clone, Debug)]
pub enum Pattern {
    /// All services.
    Any,
    /// One service.
    Exact(String),
    /// Services that begin with this prefix.
    Prefix(String),
    /// Services that match a glob.
    Glob(String, WildMatch),
}

impl Pattern {
    /// Parses a glob: `*` stands for any number of characters, `?` for exactly one.
    pub fn new(text: &str) -> Pattern {
        let plain = |t: &str| !t.contains(['*', '?']);
        match text.strip_suffix('*') {
            _ if plain(text) => Pattern::Exact(text.into()),
            Some("") => Pattern::Any,
            Some(prefix) if plain(prefix) => Pattern::Prefix(prefix.into()),
            _ => Pattern::Glob(text.into(), WildMatch::new(text)),
        }
    }

    /// Whether the pattern matches a service.
    pub fn matches(&self, service: &str) -> bool {
        match self {
            Pattern::Any => true,
            Pattern::Exact(text) => text == service,
            Pattern::Prefix(prefix) => service.starts_with(prefix.as_str()),
            Pattern::Glob(_, glob) => glob.matches(service),
        }
    }

    /// Whether every service that the other pattern matches is matched by this one. For globs it may return
    /// false although this holds.
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

    /// The pattern as written in the file.
    pub fn spelling(&self) -> String {
        match self {
            Pattern::Any => "*".into(),
            Pattern::Exact(text) | Pattern::Glob(text, _) => text.clone(),
            Pattern::Prefix(prefix) => format!("{prefix}*"),
        }
    }
}

/// Smallest and largest value, both included.
pub type Span = (f64, f64);

/// The conditions under which a route matches a job; absent conditions always hold.
#[derive(Clone, Debug)]
pub struct Matching {
    /// The interface through which the job was submitted.
    pub front: Option<Front>,
    /// Index of the class.
    pub class: Option<usize>,
    /// The services.
    pub service: Pattern,
    /// The zone of this planner.
    pub zone: Option<String>,
    /// Cores that the job requests.
    pub cores: Option<Span>,
    /// Memory that the job requests.
    pub memory: Option<Span>,
}

fn covers<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
    a.is_none() || a == b
}

fn covers_span(a: Option<Span>, b: Option<Span>) -> bool {
    a.is_none_or(|(least, most)| b.is_some_and(|(l, m)| least <= l && m <= most))
}

fn compatible<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
    a.is_none() || b.is_none() || a == b
}

impl Matching {
    /// Whether it matches every job that the other matches.
    pub fn covers(&self, other: &Matching) -> bool {
        covers(&self.front, &other.front)
            && covers(&self.class, &other.class)
            && covers(&self.zone, &other.zone)
            && covers_span(self.cores, other.cores)
            && covers_span(self.memory, other.memory)
            && self.service.covers(&other.service)
    }

    /// Whether some job may match both, judged by fronts, classes, zones and patterns alone (not by sizes).
    pub fn overlaps(&self, other: &Matching) -> bool {
        let services = match (&self.service, &other.service) {
            (Pattern::Glob(..), Pattern::Glob(..) | Pattern::Prefix(_))
            | (Pattern::Prefix(_), Pattern::Glob(..)) => true,
            (a, b) => a.covers(b) || b.covers(a),
        };
        compatible(&self.front, &other.front)
            && compatible(&self.class, &other.class)
            && compatible(&self.zone, &other.zone)
            && services
    }

    /// Whether a job that requests this room is within the size conditions.
    pub fn fits(&self, room: Room) -> bool {
        let within =
            |span: Option<Span>, x: f64| span.is_none_or(|(least, most)| (least..=most).contains(&x));
        within(self.cores, room.cores) && within(self.memory, room.memory)
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, by which its gauges are found again after a reload.
    pub name: Arc<str>,
    /// The jobs that it matches.
    pub matching: Matching,
    /// Its own figures.
    pub figures: Figures,
}

/// The section `limits`.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The figures for all jobs.
    pub default: Figures,
    /// Figures by class; one element for each class of the settings.
    pub classes: Vec<Figures>,
    /// Routes in the order of the file.
    pub routes: Vec<Route>,
}
