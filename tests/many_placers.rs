//! Hundreds of placers that see one late view and nothing of each other.

mod common;
use burlhook::*;
use common::*;
use std::collections::BTreeMap;

fn placers(count: u32, wanted: &Settings, fleet: &[Entry]) -> Vec<Rig> {
    let settings = || Settings { placers: count, ..wanted.clone() };
    (0..count).map(|n| Rig::seeded(settings(), fleet, u64::from(n))).collect()
}

fn fleet(machines: u32) -> Vec<Entry> {
    (0..machines).map(|n| entry(n, 5.0 + f64::from(n % 2) * 0.5)).collect()
}

#[test]
fn binds_of_all_placers_spread_over_the_machines_they_may_fill() {
    let mut all = placers(200, &settings(Effect::Repeatable), &fleet(100));
    let mut count: BTreeMap<u32, u32> = BTreeMap::new();
    for (n, rig) in (0u64..).zip(&mut all) {
        let at = binds(&rig.submit(2.0, n, task(n, 7.0)))[0];
        *count.entry(at).or_default() += 1;
    }
    let most = count.values().max().copied().unwrap_or_default();
    assert!(most <= 10, "two each is even, {most} herd on one");
    assert!(count.len() > 60, "only {} machines get anything", count.len());
}

#[test]
fn one_placer_binds_within_one_increment_of_the_lowest() {
    let mut rig = Rig::new(settings(Effect::Repeatable), &[entry(0, 9.0), entry(1, 7.5), entry(2, 7.0)]);
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [0]);
}

#[test]
fn tasks_of_a_service_meet_though_no_placer_sees_the_others() {
    let mut all = placers(50, &settings(Effect::Repeatable), &fleet(40));
    let mut homes = Vec::new();
    for service in 0..5 {
        let at: Vec<u32> = (0u64..)
            .zip(&mut all)
            .map(|(_, r)| binds(&r.submit(2.0, service, task(service, 7.0)))[0])
            .collect();
        assert!(at.iter().all(|m| *m == at[0]), "service {service}: {at:?}");
        homes.push(at[0]);
    }
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() > 1, "all services share machine {homes:?}");
}

#[test]
fn a_cold_machine_is_safe_from_the_sum_of_all_placers_and_still_used() {
    let mut wanted = settings(Effect::Repeatable);
    wanted.cold_bears = 60.0;
    let cold = Entry { started: 90.0, ..entry(0, 10.0) };
    let mut all = placers(300, &wanted, &[entry(1, 0.0)]);
    for rig in &mut all {
        rig.list(99.0, &[cold]);
    }
    let mut sent: Vec<f64> = Vec::new();
    for step in 0u64..80 {
        let now = 99.0 + step as f64 * 0.1;
        for (n, rig) in (0u64..).zip(&mut all) {
            let offers = if step % 20 == 0 {
                rig.submit(now, step, task(n, now + 9.0))
            } else {
                rig.feed(now, Event::Timer)
            };
            sent.extend(binds(&offers).iter().map(|_| now));
        }
    }
    let worst = sent.iter().map(|&from| sent.iter().filter(|&&t| t >= from && t < from + 3.0).count()).max();
    let worst = worst.expect("some offers while it is cold");
    assert!((3..=60).contains(&worst), "{worst} offers in one window");
}

#[test]
fn a_placer_that_came_up_again_counts_its_forgotten_offers_as_sent() {
    let mut wanted = settings(Effect::Repeatable);
    wanted.cold_bears = 60.0;
    let mut rig = Rig::new(wanted, &[Entry { started: 0.5, ..entry(0, 10.0) }]);
    assert!(binds(&rig.submit(2.0, 1, task(1, 9.0))).is_empty());
    assert_eq!(binds(&rig.feed(5.0, Event::Timer)), [0]);
}

#[test]
fn the_first_attempt_of_a_placer_has_a_time_out() {
    let mut rig = Rig::new(settings(Effect::Repeatable), &[entry(0, 9.0)]);
    let sent = rig.submit(2.0, 1, task(1, 7.0));
    let until = sent.iter().find_map(|a| match a {
        Action::Bind { give_up_at, .. } => Some(*give_up_at),
        _ => None,
    });
    assert_eq!(until, Some(2.0 + 5.0 / 4.0), "a fourth of the deadline, as there are four attempts");
}

#[test]
fn a_placer_with_few_tasks_passes_over_a_silent_machine_until_its_next_ones() {
    let mut wanted = settings(Effect::Repeatable);
    wanted.placers = 300;
    let mut rig = Rig::new(wanted, &[entry(0, 9.0)]);
    rig.submit(2.0, 1, task(1, 7.0));
    rig.list(2.1, &[entry(1, 8.0)]);
    rig.end(3.3, 1, 0, Outcome::TimedOut, Reason::Unknown);
    for n in 2..6 {
        let now = 3.0 + n as f64 * 2.0;
        assert_eq!(binds(&rig.submit(now, n, task(1, now + 5.0))), [1], "at {now}");
    }
}

#[test]
fn an_idle_placer_asks_for_no_timers() {
    let mut rig = Rig::new(settings(Effect::Repeatable), &fleet(4));
    assert!(rig.feed(2.0, Event::Timer).iter().all(|a| !matches!(a, Action::SetTimer { .. })));
}

#[test]
fn placers_that_lose_a_machine_at_once_do_not_look_for_it_in_step() {
    let mut all = placers(60, &settings(Effect::Repeatable), &[entry(0, 9.0)]);
    let mut looks: Vec<f64> = Vec::new();
    for (n, rig) in (0u64..).zip(&mut all) {
        assert_eq!(binds(&rig.submit(2.0, n, task(n, 7.0))), [0]);
        rig.end(2.5, n, 0, Outcome::TimedOut, Reason::Unknown);
        let probes = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Probe { .. }));
        let mut times = (0..800).map(|step| 2.5 + f64::from(step) * 0.01);
        looks.extend(times.find(|&at| probes(&rig.feed(at, Event::Timer))).map(|at| at - 2.5));
    }
    assert_eq!(looks.len(), 60, "each looks for it again");
    let (least, most) =
        (looks.iter().copied().fold(9.0, f64::min), looks.iter().copied().fold(0.0, f64::max));
    let tenth =
        looks.iter().map(|&from| looks.iter().filter(|&&t| t >= from && t < from + 0.1).count()).max();
    assert!(most <= least * 4.0 / 3.0 + 0.05, "no bar is shortened by more than a fourth: {least} to {most}");
    assert!(tenth < Some(30), "{tenth:?} of 60 in a tenth of a second");
}
