//! The section compiled: an index from a job to its limits that hardly grows with the number of routes.
//!
//! Routes with one service or one prefix are found by hash, one look-up for each length of prefix that occurs; the
//! rest, globs and routes for any service, are gone through in the order of the file, and no further than the best
//! that was found. What a route comes to for a class is worked out once, when the file is taken.

use super::gauges::{Budget, Rate};
use super::model::{Figures, Front, Matching, Model, Pattern, SecondCopy};
use crate::placer::{Effect, Room, Seconds, Settings, TaskLimits};
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::sync::Arc;

/// A place in the file that figures come from.
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
    /// Its name, under which its gauges outlive a reload. `classes` are the names of the classes, in their order.
    pub fn name(self, model: &Model, classes: &[String]) -> String {
        match self {
            Origin::Default => "default".into(),
            Origin::Class(at) => format!("classes.{}", classes.get(at).map_or("", |c| c)),
            Origin::Route(at) => format!("routes.{}", model.routes[at].name),
        }
    }
}

/// The limits of the jobs that take one way through the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// What the module is told.
    pub task: TaskLimits,
    /// Seconds from the ask to the final answer, where they are shorter than the owner's own.
    pub total_s: Seconds,
    /// The route, where one matched.
    pub route: Option<usize>,
    /// Jobs that may come, counted at the place that says so.
    pub rate: Option<(Origin, Rate)>,
    /// Jobs that may be in flight.
    pub in_flight: Option<(Origin, u32)>,
    /// Further tries that first ones pay for.
    pub budget: Option<(Origin, Budget)>,
}

impl Resolved {
    /// Whether nothing is counted for such a job.
    pub fn is_uncounted(&self) -> bool {
        self.rate.is_none() && self.in_flight.is_none() && self.budget.is_none()
    }
}

/// What a job is resolved by.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Its front.
    pub front: Front,
    /// Index of its class.
    pub class: usize,
    /// Its service, in its owner's words.
    pub service: &'a str,
    /// What it asks for.
    pub room: Room,
}

/// The figures of a way through the file, each with the place that it comes from.
#[derive(Clone, Copy, Debug)]
pub struct Chain {
    places: [(Origin, Figures); 3],
    count: usize,
}

impl Chain {
    /// From the most to the least particular place.
    pub fn new(model: &Model, class: usize, route: Option<usize>) -> Chain {
        let own = route.map(|at| (Origin::Route(at), model.routes[at].figures));
        let of_class = (Origin::Class(class), model.classes.get(class).copied().unwrap_or_default());
        let default = (Origin::Default, model.default);
        match own {
            Some(own) => Chain { places: [own, of_class, default], count: 3 },
            None => Chain { places: [of_class, default, default], count: 2 },
        }
    }

    /// The first place that gives a figure.
    pub fn find<T>(&self, figure: impl Fn(&Figures) -> Option<T>) -> Option<(Origin, T)> {
        self.places[..self.count].iter().find_map(|(origin, f)| Some((*origin, figure(f)?)))
    }

    /// The figure without its place.
    pub fn get<T>(&self, figure: impl Fn(&Figures) -> Option<T>) -> Option<T> {
        self.find(figure).map(|(_, value)| value)
    }
}

/// What the figures of a chain come to for a class, under the settings.
pub fn resolve_chain(chain: &Chain, class: usize, route: Option<usize>, settings: &Settings) -> Resolved {
    let effect = settings.classes[class].effect;
    let copies = chain.get(|f| f.second_copy).is_none_or(|copy| copy == SecondCopy::AfterGiveUp);
    let window_s = match effect {
        Effect::Keyed { window_s, .. } => chain.get(|f| f.window_s).map_or(window_s, |own| own.min(window_s)),
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
        copies: copies && effect != Effect::Once,
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
struct Leg {
    matching: Matching,
    /// By class; nothing where the route is not for it.
    resolved: Box<[Option<Arc<Resolved>>]>,
}

impl Leg {
    fn take(&self, subject: &Subject<'_>) -> Option<&Arc<Resolved>> {
        let front = self.matching.front.is_none_or(|front| front == subject.front);
        let resolved = self.resolved.get(subject.class)?.as_ref();
        resolved.filter(|_| front && self.matching.fits(subject.room))
    }
}

type Index = HashMap<Box<[u8]>, Vec<u32>, RandomState>;

/// The compiled file.
#[derive(Debug, Default)]
pub struct Table {
    model: Model,
    legs: Vec<Leg>,
    exact: Index,
    prefix: Index,
    /// Lengths of prefixes that occur, in bytes.
    lengths: Vec<usize>,
    /// Routes for any service, and those with globs, in the order of the file.
    general: Vec<u32>,
    by_class: Vec<Arc<Resolved>>,
}

impl Table {
    /// Compiles a section that was checked. `zone` is where this planner stands: routes of other zones never match.
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
            let here = route.matching.zone.as_deref().is_none_or(|wanted| Some(wanted) == zone);
            let number = at as usize;
            let one = |class: usize| {
                let for_it = here && route.matching.class.is_none_or(|own| own == class);
                let chain = || Chain::new(&model, class, Some(number));
                for_it.then(|| Arc::new(resolve_chain(&chain(), class, Some(number), settings)))
            };
            let resolved = classes.clone().map(one).collect();
            table.legs.push(Leg { matching: route.matching.clone(), resolved });
            if !here {
                continue;
            }
            match &route.matching.service {
                Pattern::Exact(text) => add(&mut table.exact, text, at),
                Pattern::Prefix(text) => add(&mut table.prefix, text, at),
                Pattern::Any | Pattern::Glob(..) => table.general.push(at),
            }
        }
        table.lengths = table.prefix.keys().map(|key| key.len()).collect();
        table.lengths.sort_unstable();
        table.lengths.dedup();
        table.model = model;
        table
    }

    /// The section as it was written.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The limits of a job: the first route that matches, else its class.
    pub fn resolve(&self, subject: &Subject<'_>) -> Option<&Arc<Resolved>> {
        let mut best: Option<(u32, &Arc<Resolved>)> = None;
        let service = subject.service.as_bytes();
        let mut look = |found: Option<&Vec<u32>>| {
            for &at in found.into_iter().flatten() {
                if best.is_some_and(|(first, _)| first < at) {
                    return;
                }
                if let Some(resolved) = self.legs[at as usize].take(subject) {
                    best = Some((at, resolved));
                    return;
                }
            }
        };
        if !self.exact.is_empty() {
            look(self.exact.get(service));
        }
        for &length in self.lengths.iter().take_while(|&&length| length <= service.len()) {
            look(self.prefix.get(&service[..length]));
        }
        for &at in &self.general {
            if best.is_some_and(|(first, _)| first < at) {
                break;
            }
            let leg = &self.legs[at as usize];
            if let Some(resolved) =
                leg.take(subject).filter(|_| leg.matching.service.matches(subject.service))
            {
                best = Some((at, resolved));
                break;
            }
        }
        best.map(|(_, resolved)| resolved).or_else(|| self.by_class.get(subject.class))
    }

    /// The figures of a place.
    pub fn figures(&self, origin: Origin) -> Option<&Figures> {
        match origin {
            Origin::Default => Some(&self.model.default),
            Origin::Class(at) => self.model.classes.get(at),
            Origin::Route(at) => self.model.routes.get(at).map(|route| &route.figures),
        }
    }

    /// Every place at which something is counted.
    pub fn counted(&self) -> Vec<Origin> {
        let counts = |f: &Figures| f.rate.is_some() || f.in_flight.is_some() || f.budget.is_some();
        let classes = (0..).map(Origin::Class).zip(&self.model.classes);
        let routes = (0..).map(Origin::Route).zip(self.model.routes.iter().map(|r| &r.figures));
        let all = std::iter::once((Origin::Default, &self.model.default)).chain(classes).chain(routes);
        all.filter(|(_, figures)| counts(figures)).map(|(origin, _)| origin).collect()
    }
}
