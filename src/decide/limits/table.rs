//! The section `limits`, compiled into an index from a job to its limits whose look-up time hardly grows with
//! the number of routes.
//!
//! Routes for one service or one prefix are found by hash, with one look-up for each prefix length that
//! occurs. The other routes (globs and routes for any service) are scanned in the order of the file, up to
//! the first match or the best match found by hash. The limits of each route and class are computed once,
//! when the file is compiled.

use super::gauges::{Budget, Rate};
use super::model::{Figures, Front, Matching, Model, Pattern, SecondCopy};
use crate::placer::{Idempotency, Room, Seconds, Settings, TaskLimits};
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::sync::Arc;

/// The entry of the file that a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// `default`.
    Default,
    /// `classes`, by index.
    Class(usize),
    /// `routes`, by index.
    Route(usize),
}

impl Origin {
    /// The entry's name, by which its gauges are found again after a reload. `classes` are the class names in
    /// the order of the settings.
    pub fn name(self, model: &Model, classes: &[String]) -> String {
        match self {
            Origin::Default => "default".into(),
            Origin::Class(at) => format!("classes.{}", classes.get(at).map_or("", |c| c)),
            Origin::Route(at) => format!("routes.{}", model.routes[at].name),
        }
    }
}

/// The limits of the jobs with one route (or none) and one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// The limits that are passed to the placer.
    pub task: TaskLimits,
    /// Seconds from the request to the final answer; applies if it is shorter than the owner's own deadline.
    pub total_s: Seconds,
    /// Index of the route, if one matched.
    pub route: Option<usize>,
    /// The rate at which jobs are admitted, and the entry that sets it and counts it.
    pub rate: Option<(Origin, Rate)>,
    /// The most jobs in flight, and the entry that sets it and counts them.
    pub in_flight: Option<(Origin, u32)>,
    /// The retry budget, and the entry that sets it and counts it.
    pub budget: Option<(Origin, Budget)>,
}

impl Resolved {
    /// Whether no limit that needs counting applies to such a job.
    pub fn is_uncounted(&self) -> bool {
        self.rate.is_none() && self.in_flight.is_none() && self.budget.is_none()
    }
}

/// The properties of a job by which its limits are found.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// The interface through which it was submitted.
    pub front: Front,
    /// Index of its class.
    pub class: usize,
    /// Its service, as its owner named it.
    pub service: &'a str,
    /// The resources that it requests.
    pub room: Room,
}

/// The entries that apply to a job, in order of precedence, each with its figures.
#[derive(Clone, Copy, Debug)]
pub struct Chain {
    entries: [(Origin, Figures); 3],
    count: usize,
}

impl Chain {
    /// From the most to the least specific entry: the route, if any, then the class, then the default.
    pub fn new(model: &Model, class: usize, route: Option<usize>) -> Chain {
        let own = route.map(|at| (Origin::Route(at), model.routes[at].figures));
        let of_class = (Origin::Class(class), model.classes.get(class).copied().unwrap_or_default());
        let default = (Origin::Default, model.default);
        match own {
            Some(own) => Chain { entries: [own, of_class, default], count: 3 },
            None => Chain { entries: [of_class, default, default], count: 2 },
        }
    }

    /// The first entry that sets a figure, and its value.
    pub fn find<T>(&self, figure: impl Fn(&Figures) -> Option<T>) -> Option<(Origin, T)> {
        self.entries[..self.count].iter().find_map(|(origin, f)| Some((*origin, figure(f)?)))
    }

    /// The value of a figure, without its entry.
    pub fn get<T>(&self, figure: impl Fn(&Figures) -> Option<T>) -> Option<T> {
        self.find(figure).map(|(_, value)| value)
    }
}

/// Computes the limits of a class from the entries of a chain, within the bounds of the settings.
pub fn resolve_chain(chain: &Chain, class: usize, route: Option<usize>, settings: &Settings) -> Resolved {
    let idempotency = settings.classes[class].idempotency;
    let copies = chain.get(|f| f.second_copy).is_none_or(|copy| copy == SecondCopy::AfterGiveUp);
    let window_s = match idempotency {
        Idempotency::Keyed { window_s, .. } => {
            chain.get(|f| f.window_s).map_or(window_s, |own| own.min(window_s))
        }
        _ => f64::INFINITY,
    };
    let attempts = chain.get(|f| f.attempts).map_or(usize::MAX, |n| n as usize);
    let task = TaskLimits {
        attempts: attempts.min(settings.max_attempts),
        attempt_s: chain.get(|f| f.attempt_s).unwrap_or(f64::INFINITY),
        window_s,
        pause_s: chain.get(|f| f.pause_s).map(|(least, most)| {
            let mean = (least + most) / 2.0;
            (mean, if mean > 0.0 { (most - mean) / mean } else { 0.0 })
        }),
        copies: copies && idempotency != Idempotency::Once,
    };
    Resolved {
        task,
        total_s: chain.get(|f| f.total_s).unwrap_or(f64::INFINITY),
        route,
        rate: chain.find(|f| f.rate),
        in_flight: chain.find(|f| f.in_flight),
        budget: chain.find(|f| f.budget),
    }
}

#[derive(Debug)]
struct CompiledRoute {
    matching: Matching,
    /// Limits by class; `None` if the route does not match the class or this planner's zone.
    resolved: Box<[Option<Arc<Resolved>>]>,
}

impl CompiledRoute {
    fn limits_for(&self, subject: &Subject<'_>) -> Option<&Arc<Resolved>> {
        let front = self.matching.front.is_none_or(|front| front == subject.front);
        let resolved = self.resolved.get(subject.class)?.as_ref();
        resolved.filter(|_| front && self.matching.fits(subject.room))
    }
}

type Index = HashMap<Box<[u8]>, Vec<u32>, RandomState>;

/// The compiled section.
#[derive(Debug, Default)]
pub struct Table {
    model: Model,
    compiled: Vec<CompiledRoute>,
    exact: Index,
    prefix: Index,
    /// The lengths of prefixes that occur, in bytes, ascending.
    prefix_lengths: Vec<usize>,
    /// Routes for any service and routes with globs, in the order of the file.
    general: Vec<u32>,
    by_class: Vec<Arc<Resolved>>,
}

impl Table {
    /// Compiles a section that was read without faults. `zone` is this planner's zone; routes of other zones
    /// never match.
    pub fn new(model: Model, settings: &Settings, zone: Option<&str>) -> Table {
        let classes = 0..settings.classes.len();
        let by_class = classes
            .clone()
            .map(|class| Arc::new(resolve_chain(&Chain::new(&model, class, None), class, None, settings)));
        let mut table = Table { by_class: by_class.collect(), ..Table::default() };
        let add = |index: &mut Index, text: &str, at: u32| {
            index.entry(text.as_bytes().into()).or_default().push(at);
        };
        for (at, route) in (0u32..).zip(&model.routes) {
            let in_zone = route.matching.zone.as_deref().is_none_or(|wanted| Some(wanted) == zone);
            let index = at as usize;
            let resolve_for = |class: usize| {
                let applies = in_zone && route.matching.class.is_none_or(|own| own == class);
                let chain = || Chain::new(&model, class, Some(index));
                applies.then(|| Arc::new(resolve_chain(&chain(), class, Some(index), settings)))
            };
            let resolved = classes.clone().map(resolve_for).collect();
            table.compiled.push(CompiledRoute { matching: route.matching.clone(), resolved });
            if !in_zone {
                continue;
            }
            match &route.matching.service {
                Pattern::Exact(text) => add(&mut table.exact, text, at),
                Pattern::Prefix(text) => add(&mut table.prefix, text, at),
                Pattern::Any | Pattern::Glob(..) => table.general.push(at),
            }
        }
        table.prefix_lengths = table.prefix.keys().map(|key| key.len()).collect();
        table.prefix_lengths.sort_unstable();
        table.prefix_lengths.dedup();
        table.model = model;
        table
    }

    /// The section as it was written.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The limits of a job: those of the first route that matches it, else those of its class.
    pub fn resolve(&self, subject: &Subject<'_>) -> Option<&Arc<Resolved>> {
        let mut best: Option<(u32, &Arc<Resolved>)> = None;
        let service = subject.service.as_bytes();
        let mut consider = |found: Option<&Vec<u32>>| {
            for &at in found.into_iter().flatten() {
                if best.is_some_and(|(first, _)| first < at) {
                    return;
                }
                if let Some(resolved) = self.compiled[at as usize].limits_for(subject) {
                    best = Some((at, resolved));
                    return;
                }
            }
        };
        if !self.exact.is_empty() {
            consider(self.exact.get(service));
        }
        for &length in self.prefix_lengths.iter().take_while(|&&length| length <= service.len()) {
            consider(self.prefix.get(&service[..length]));
        }
        for &at in &self.general {
            if best.is_some_and(|(first, _)| first < at) {
                break;
            }
            let route = &self.compiled[at as usize];
            if let Some(resolved) =
                route.limits_for(subject).filter(|_| route.matching.service.matches(subject.service))
            {
                best = Some((at, resolved));
                break;
            }
        }
        best.map(|(_, resolved)| resolved).or_else(|| self.by_class.get(subject.class))
    }

    /// The figures of an entry.
    pub fn figures(&self, origin: Origin) -> Option<&Figures> {
        match origin {
            Origin::Default => Some(&self.model.default),
            Origin::Class(at) => self.model.classes.get(at),
            Origin::Route(at) => self.model.routes.get(at).map(|route| &route.figures),
        }
    }

    /// All entries that set a limit that needs counting.
    pub fn counted_origins(&self) -> Vec<Origin> {
        let counts = |f: &Figures| f.rate.is_some() || f.in_flight.is_some() || f.budget.is_some();
        let classes = (0..).map(Origin::Class).zip(&self.model.classes);
        let routes = (0..).map(Origin::Route).zip(self.model.routes.iter().map(|r| &r.figures));
        let all = std::iter::once((Origin::Default, &self.model.default)).chain(classes).chain(routes);
        all.filter(|(_, figures)| counts(figures)).map(|(origin, _)| origin).collect()
    }
}
