//! Hundreds of placers that share one stale machine list and have no other information about each other.

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
    let mut all = placers(200, &settings(Idempotency::Repeatable), &fleet(100));
    let mut count: BTreeMap<u32, u32> = BTreeMap::new();
    for (n, rig) in (0u64..).zip(&mut all) {
        let at = binds(&rig.submit(2.0, n, task(n, 7.0)))[0];
        *count.entry(at).or_default() += 1;
    }
    let most = count.values().max().copied().unwrap_or_default();
    assert!(most <= 10, "an even spread is two each, but one machine got {most}");
    assert!(count.len() > 60, "only {} machines were used", count.len());
}

#[test]
fn one_placer_binds_within_one_increment_of_the_lowest() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 9.0), entry(1, 7.5), entry(2, 7.0)]);
    assert_eq!(binds(&rig.submit(2.0, 1, task(1, 7.0))), [0]);
}

#[test]
fn tasks_of_a_service_meet_though_no_placer_sees_the_others() {
    let mut all = placers(50, &settings(Idempotency::Repeatable), &fleet(40));
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
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.cold_offer_limit = 60.0;
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
    let worst = worst.expect("at least one offer while the machine is cold");
    assert!((3..=60).contains(&worst), "{worst} offers in one window");
}

/// Seconds. The window over which offers to a cold machine are counted.
const OFFER_WINDOW_S: f64 = 3.0;
/// Number of cold machines in a roll-out.
const COLD_MACHINES: u32 = 3;

/// A roll-out of cold machines under placers that always have tasks for each of them. Some placers are killed
/// and restarted.
struct RollOut {
    wanted: Settings,
    warm: Entry,
    cold: Vec<Entry>,
    all: Vec<Rig>,
    /// Times of the offers that each cold machine was sent.
    sent: Vec<Vec<f64>>,
    requests: u64,
}

impl RollOut {
    /// `placers` placers that are configured for a fleet of `configured`, and machines that bear `bears`
    /// offers per window.
    fn new(placers: u32, configured: u32, bears: f64) -> RollOut {
        let wanted = Settings {
            cold_offer_limit: bears,
            cold_window_s: OFFER_WINDOW_S,
            warm_within_s: 60.0,
            placers: configured,
            ..settings(Idempotency::Repeatable)
        };
        let warm = entry(COLD_MACHINES, 0.0);
        let cold =
            (0..COLD_MACHINES).map(|n| Entry { started: 97.0 + f64::from(n), ..entry(n, 10.0) }).collect();
        let all = (0..placers).map(|n| Rig::seeded(wanted.clone(), &[warm], u64::from(n))).collect();
        RollOut { wanted, warm, cold, all, sent: vec![Vec::new(); COLD_MACHINES as usize], requests: 0 }
    }

    /// Restarts one placer with the machine list that it last had.
    fn restart(&mut self, now: f64, at: usize) {
        let seed = 1_000 * (now * 100.0) as u64 + at as u64;
        let mut rig =
            Rig { placer: Placer::new(self.wanted.clone(), seed).expect("settings that can be served") };
        let entries = [&[self.warm], &self.cold[..]].concat();
        rig.feed(now, Event::List { kind: ListKind::Persisted, entries });
        self.all[at] = rig;
    }

    /// Records the offers among these actions, and has each task run and end at once, so that nothing but the
    /// budget limits further offers.
    fn record_offers(&mut self, now: f64, at: usize, actions: &[Action]) {
        for action in actions {
            let Action::Bind { request, machine, .. } = *action else { continue };
            self.sent[machine.0 as usize].push(now);
            let rig = &mut self.all[at];
            rig.feed(now, Event::Bound { request, attempt: 0, took_s: 0.01 });
            let end = End {
                request,
                attempt: 0,
                outcome: Outcome::Ok,
                reason: Reason::Unknown,
                finished: true,
                last: false,
                report: None,
            };
            let more = rig.feed(now, Event::Ended(end));
            self.record_offers(now, at, &more);
        }
    }

    /// Simulates 20 s. Half of the placers restart at once after 5 s and the other half after 11 s; one more
    /// restarts every 0.3 s.
    fn simulate(&mut self) {
        for step in 0u64..400 {
            let now = 100.0 + step as f64 * 0.05;
            for at in 0..self.all.len() {
                let of_half = |half: usize| at % 2 == half;
                let restarts = (step == 100 && of_half(0))
                    || (step == 220 && of_half(1))
                    || (step.is_multiple_of(6) && (step / 6) as usize % self.all.len() == at);
                if restarts && step > 0 {
                    self.restart(now, at);
                }
                // Each placer receives the whole list repeatedly, at times of its own.
                if (step as usize + at).is_multiple_of(10) {
                    let entries = [&[self.warm], &self.cold[..]].concat();
                    let actions = self.all[at].feed(now, Event::List { kind: ListKind::Whole, entries });
                    self.record_offers(now, at, &actions);
                }
                let actions = if (step as usize + at).is_multiple_of(4) {
                    self.requests += 1;
                    self.all[at].submit(now, self.requests, task(self.requests, now + 2.0))
                } else {
                    self.all[at].feed(now, Event::Timer)
                };
                self.record_offers(now, at, &actions);
            }
        }
    }

    /// The largest number of offers that one cold machine received in any window.
    fn worst(&self) -> usize {
        let most = |sent: &Vec<f64>| {
            let within =
                |&from: &f64| sent.iter().filter(|&&t| t >= from && t < from + OFFER_WINDOW_S).count();
            sent.iter().map(within).max().unwrap_or_default()
        };
        self.sent.iter().map(most).max().unwrap_or_default()
    }
}

/// Guards cold machines against the sum of all processes: a few dozen placers, repeated whole lists, and
/// restarts one by one and by halves. A machine bears N + 2 * sqrt(N) + 2 offers per window; there may be a
/// quarter more placers than their settings say.
#[test]
fn a_few_dozen_placers_with_restarts_push_no_cold_machine_over() {
    for placers in [5, 16, 24, 48] {
        for bears in [10.0, 30.0, 70.0] {
            for configured in [placers, placers * 4 / 5] {
                let mut roll_out = RollOut::new(placers, configured, bears);
                roll_out.simulate();
                let (worst, most) = (roll_out.worst(), bears + 2.0 * bears.sqrt() + 2.0);
                assert!(
                    worst as f64 <= most,
                    "{placers} placers, configured for {configured}, N {bears}: {worst} offers in one window"
                );
                let used = roll_out.sent.iter().any(|sent| !sent.is_empty());
                assert!(
                    used,
                    "{placers} placers, configured for {configured}, N {bears}: no machine was used"
                );
            }
        }
    }
}

#[test]
fn a_restarted_placer_assumes_that_it_sent_its_full_share_of_offers() {
    let mut wanted = settings(Idempotency::Repeatable);
    wanted.cold_offer_limit = 60.0;
    let mut rig = Rig::new(wanted, &[Entry { started: 0.5, ..entry(0, 10.0) }]);
    assert!(binds(&rig.submit(2.0, 1, task(1, 9.0))).is_empty());
    assert_eq!(binds(&rig.feed(5.0, Event::Timer)), [0]);
}

#[test]
fn the_first_attempt_of_a_placer_has_a_time_out() {
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &[entry(0, 9.0)]);
    let sent = rig.submit(2.0, 1, task(1, 7.0));
    let until = sent.iter().find_map(|a| match a {
        Action::Bind { give_up_at, .. } => Some(*give_up_at),
        _ => None,
    });
    assert_eq!(until, Some(2.0 + 5.0 / 4.0), "a quarter of the deadline, as up to four attempts are allowed");
}

#[test]
fn a_placer_with_few_tasks_passes_over_a_silent_machine_until_its_next_ones() {
    let mut wanted = settings(Idempotency::Repeatable);
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
    let mut rig = Rig::new(settings(Idempotency::Repeatable), &fleet(4));
    assert!(rig.feed(2.0, Event::Timer).iter().all(|a| !matches!(a, Action::SetTimer { .. })));
}

#[test]
fn placers_that_lose_a_machine_together_do_not_probe_it_in_step() {
    let mut all = placers(60, &settings(Idempotency::Repeatable), &[entry(0, 9.0)]);
    let mut probe_delays: Vec<f64> = Vec::new();
    for (n, rig) in (0u64..).zip(&mut all) {
        assert_eq!(binds(&rig.submit(2.0, n, task(n, 7.0))), [0]);
        rig.end(2.5, n, 0, Outcome::TimedOut, Reason::Unknown);
        let probes = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Probe { .. }));
        let mut times = (0..800).map(|step| 2.5 + f64::from(step) * 0.01);
        probe_delays.extend(times.find(|&at| probes(&rig.feed(at, Event::Timer))).map(|at| at - 2.5));
    }
    assert_eq!(probe_delays.len(), 60, "each placer probes the machine again");
    let (least, most) =
        (probe_delays.iter().copied().fold(9.0, f64::min), probe_delays.iter().copied().fold(0.0, f64::max));
    let tenth = probe_delays
        .iter()
        .map(|&from| probe_delays.iter().filter(|&&t| t >= from && t < from + 0.1).count())
        .max();
    assert!(
        most <= least * 4.0 / 3.0 + 0.05,
        "no bar is shortened by more than a quarter: {least} s to {most} s"
    );
    assert!(tenth < Some(30), "{tenth:?} of 60 probes within a tenth of a second");
}
