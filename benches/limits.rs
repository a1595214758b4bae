//! The cost of resolving a job's limits with 1, 100 and 10,000 routes, and of counting a job in and out of
//! the gauges.
//!
//! `cargo bench --bench limits`

#[path = "../tests/common/mod.rs"]
mod common;

use burlhook::decide::limits::{
    Budget, Figures, Front, Limits, Matching, Model, Pattern, Rate, Route, Subject, Table,
};
use burlhook::{Idempotency, Place, Room, Settings};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::hint::black_box;
use std::sync::Arc;

fn settings() -> Settings {
    let mut settings = common::settings(Idempotency::Repeatable);
    settings
        .classes
        .extend(common::settings(Idempotency::Keyed { group: Place::All, window_s: 6.0 }).classes);
    settings
}

fn figures() -> Figures {
    Figures {
        in_flight: Some(1_000_000),
        rate: Some(Rate { per_s: 1e6, burst: 1e6 }),
        budget: Some(Budget { share: 0.2, floor: 3 }),
        ..Figures::default()
    }
}

/// A typical file: two in three routes name a service, the others a prefix; one in a hundred is a glob.
fn model(routes: usize) -> Model {
    let route = |at: usize| {
        let service = match at {
            at if at % 100 == 99 => format!("*-night-{at}"),
            at if at % 3 == 2 => format!("team-{at}-*"),
            at => format!("service-{at}"),
        };
        let matching = Matching {
            front: at.is_multiple_of(4).then_some(Front::Rest),
            class: at.is_multiple_of(2).then_some(1),
            service: Pattern::new(&service),
            zone: None,
            cores: None,
            memory: None,
        };
        Route { name: format!("r{at}").into(), matching, figures: figures() }
    };
    Model {
        default: Figures::default(),
        classes: vec![Figures::default(); 2],
        routes: (0..routes).map(route).collect(),
    }
}

fn resolving(c: &mut Criterion) {
    let mut group = c.benchmark_group("resolve");
    for routes in [1, 100, 10_000] {
        let table = Table::new(model(routes), &settings(), None);
        let last = routes - 1;
        let cases = [
            ("exact", format!("service-{}", last / 3 * 3)),
            ("prefix", format!("team-{}-mail", last.saturating_sub(last % 3 + 1))),
            ("none", "nobody-names-it".to_string()),
        ];
        for (name, service) in cases {
            let room = Room { cores: 1.0, memory: 2.0 };
            let subject = Subject { front: Front::Rest, class: 1, service: &service, room };
            group.bench_with_input(BenchmarkId::new(name, routes), &subject, |b, subject| {
                b.iter(|| black_box(table.resolve(black_box(subject))));
            });
        }
    }
    group.finish();
}

fn gauges(c: &mut Criterion) {
    let settings = settings();
    let mut limits = Limits::new(&settings, vec!["stateless".into(), "keyed".into()]);
    limits.swap(0.0, Arc::new(Table::new(model(100), &settings, None)));
    let room = Room { cores: 1.0, memory: 2.0 };
    let subject = Subject { front: Front::Rest, class: 1, service: "service-0", room };
    let mut now = 1e9;
    c.bench_function("take in, first try, answer", |b| {
        b.iter(|| {
            now += 1e-3;
            let of = limits.resolve(&subject).expect("limits");
            if let Ok(Some(ticket)) = limits.admit(now, &of, now + 1.0) {
                limits.count_first_attempt(now, &ticket);
                limits.return_ticket(now + 0.1, ticket);
            }
        });
    });
    c.bench_function("compile 10,000 routes", |b| {
        let model = model(10_000);
        b.iter(|| Table::new(model.clone(), &settings, None));
    });
}

criterion_group!(benches, resolving, gauges);
criterion_main!(benches);
