//! Cancellations of attempts that were sent: what is written when, and what may come in between.

use super::*;

/// Seconds. The way to a machine and back, where it is not the matter of the test.
const ROUND_TRIP_S: Seconds = 0.005;
/// No orders to cancel are sent.
pub(super) const NO_JOBS: [u64; 0] = [];

/// The jobs whose orders to cancel are sent that were kept back.
pub(super) fn orders_sent(effects: &[Effect]) -> Vec<u64> {
    let jobs = effects.iter().filter_map(|e| match e {
        Effect::SendCancellations { jobs, .. } => Some(jobs),
        _ => None,
    });
    jobs.flatten().map(|job| job.0).collect()
}

/// The number of the connection check that is sent to a machine.
pub(super) fn check_sent(effects: &[Effect], at: MachineId) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::SendFence { machine, ask } if *machine == at => Some(*ask),
        _ => None,
    })
}

/// The number of the connection check that is sent behind orders to cancel.
pub(super) fn check_behind_orders(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::SendCancellations { check, .. } => *check,
        _ => None,
    })
}

/// How many connection checks are sent.
fn checks(effects: &[Effect]) -> usize {
    let all = effects.iter().filter(|e| matches!(e, Effect::SendFence { .. })).count();
    all + usize::from(check_behind_orders(effects).is_some())
}

impl Bench {
    /// Two machines that may be checked, and an attempt of job 1 that was sent to the one that is returned.
    fn with_sent_attempt(idempotency: &str) -> (Bench, MachineId) {
        let mut bench = Bench::new(idempotency);
        bench.core.settings.probes = true;
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.sent(1, 0);
        (bench, at)
    }

    /// Advances the clock until the attempt of job 1 times out.
    fn time_out(&mut self) -> Vec<Effect> {
        let ticks = (0..500).map(|_| {
            let now = self.now + 0.01;
            self.tick_at(now)
        });
        ticks.into_iter().find(|effects| !effects.is_empty()).expect("a time-out before the deadline")
    }

    /// The machine answers a check after so many seconds.
    fn answer_check(&mut self, machine: MachineId, ask: u64, after_s: Seconds) -> Vec<Effect> {
        self.now += after_s;
        self.apply_input(Input::FenceAnswered { machine, ask })
    }

    fn owner_gives_up(&mut self) -> Vec<Effect> {
        self.apply_input(Input::OwnerRelease { link: 1, job: RequestId(1), cause: 16 })
    }
}

/// Guards a task that its owner hands over to another planner: whoever cancels the attempt, no order is written before
/// the machine has answered a check that was written afterwards.
#[test]
fn no_order_precedes_the_answer_to_a_check() {
    let ways: [fn(&mut Bench) -> Vec<Effect>; 5] = [
        Bench::time_out,
        Bench::owner_gives_up,
        |bench| bench.apply_input(Input::OwnerGone { link: 1 }),
        |bench| bench.apply_input(Input::OwnerFaulty { link: 1 }),
        |bench| bench.apply_input(Input::Draining { until: 0.0 }),
    ];
    for (number, cancel) in ways.into_iter().enumerate() {
        let (mut bench, at) = Bench::with_sent_attempt("once");
        let cancelled = cancel(&mut bench);
        let orders = |effects: &[Effect]| (orders_sent(effects), cancelled_at(effects, 1));
        assert_eq!(orders(&cancelled), (vec![], None), "way {number}");
        let ask = check_sent(&cancelled, at).expect("a check");
        assert_eq!(orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)), [1], "way {number}");
        assert_eq!(orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)), NO_JOBS, "one order is enough");
    }
}

/// Guards the same task where the network is slow: an answer that took long shows nothing about the connection now.
#[test]
fn a_late_answer_to_a_check_releases_no_order() {
    for (after_s, ordered) in [(0.99, true), (1.01, false), (3.0, false)] {
        let (mut bench, at) = Bench::with_sent_attempt("once");
        let ask = check_sent(&bench.owner_gives_up(), at).expect("a check");
        assert_eq!(!orders_sent(&bench.answer_check(at, ask, after_s)).is_empty(), ordered, "{after_s} s");
    }
}

/// Guards the same task against orders of a connection that has ended: a check is answered on the connection of the
/// attempt, or proves nothing.
#[test]
fn no_order_outlives_its_connection() {
    let (mut bench, at) = Bench::with_sent_attempt("once");
    let ask = check_sent(&bench.owner_gives_up(), at).expect("a check");
    for end in [
        Input::LinkBroken { machine: at, end: ConnectionEnd::Unconfirmed },
        Input::LinkUp { machine: at },
        restart_notice(at.0, 101.0),
    ] {
        let (mut bench, at) = Bench::with_sent_attempt("once");
        bench.owner_gives_up();
        bench.apply_input(end);
        assert_eq!(orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)), NO_JOBS);
    }
    bench.adopt(1, at.0);
    assert_eq!(
        orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)),
        NO_JOBS,
        "it is handed over to this planner"
    );
}

/// Guards a request whose machine answers while the order to cancel is kept back: the task stands, its owner is told so,
/// and no order stops it.
#[test]
fn an_answer_before_the_order_counts() {
    let (mut bench, at) = Bench::with_sent_attempt("once");
    let ask = check_sent(&bench.time_out(), at).expect("a check");
    assert_eq!(answers(&bench.bound(at, 1)), 1);
    assert_eq!(orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)), NO_JOBS);
    assert_eq!(bench.core.running_at(at), 1);
}

/// Guards a request that is refused while the order to cancel is kept back: it is attempted elsewhere at once, and its
/// machine is told nothing of an attempt that is over.
#[test]
fn a_refusal_before_the_order_ends_the_attempt() {
    let (mut bench, at) = Bench::with_sent_attempt("repeatable");
    let ask = check_sent(&bench.time_out(), at).expect("a check");
    bench.end(at, 1, Outcome::Full);
    let elsewhere = run_until_launch(&mut bench).expect("another attempt");
    assert_ne!(elsewhere.0, at);
    assert_eq!(orders_sent(&bench.answer_check(at, ask, ROUND_TRIP_S)), NO_JOBS);
}

/// Guards the rule of one open attempt: without an answer to the check, no other attempt begins, and the request is
/// answered once, in time.
#[test]
fn an_order_that_stays_kept_back_allows_no_further_attempt() {
    let (mut bench, _) = Bench::with_sent_attempt("repeatable");
    let mut effects = bench.time_out();
    effects.extend((1..=20).flat_map(|tenth| {
        let now = bench.now + f64::from(tenth) / 10.0;
        bench.tick_at(now)
    }));
    assert_eq!((launched(&effects), answers(&effects), orders_sent(&effects)), (None, 1, vec![]));
}

/// Guards machines against checks, which cost them work: one more for a cancellation than before, and two in all for
/// everything that a client gives up at once.
#[test]
fn a_cancellation_takes_two_checks() {
    let (mut bench, at) = Bench::with_sent_attempt("once");
    for job in 2..=20 {
        bench.submit(job, None);
        bench.sent(job, 0);
    }
    let cancelled = bench.apply_input(Input::OwnerGone { link: 1 });
    let to_machine = |effects: &[Effect]| {
        effects.iter().filter(|e| matches!(e, Effect::KeepBack { machine, .. } if *machine == at)).count()
    };
    let kept_back = to_machine(&cancelled);
    assert!(kept_back > 1 && checks(&cancelled) <= 2, "one check a machine");
    let ask = check_sent(&cancelled, at).expect("a check");
    let ordered = bench.answer_check(at, ask, ROUND_TRIP_S);
    assert_eq!((orders_sent(&ordered).len(), checks(&ordered)), (kept_back, 1));
}

/// Guards machines without checks against attempts that nobody waits for: the answer to a later attempt shows that the
/// connection delivers, the answer to an earlier one does not.
#[test]
fn without_checks_the_answer_to_a_later_attempt_releases_the_order() {
    let mut bench = Bench::new("once");
    bench.list(&[(1, Standing::Gone)]);
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    bench.submit(2, None);
    bench.sent(2, 0);
    bench.now += 0.1;
    let cancelled = bench.owner_gives_up();
    assert_eq!((checks(&cancelled), orders_sent(&cancelled)), (0, vec![]));
    bench.now += 0.1;
    assert_eq!(orders_sent(&bench.bound(at, 2)), NO_JOBS, "sent before the cancellation");
    assert_eq!(launched(&bench.submit(3, None)), Some(at));
    bench.sent(3, 0);
    bench.now += 0.1;
    let refused = bench.end(at, 3, Outcome::Full);
    assert_eq!((checks(&refused), orders_sent(&refused)), (0, vec![1]));
}

/// Guards clients of the REST front: nobody else ends their tasks, so that their order is sent at once and a late one
/// does no harm.
#[test]
fn the_order_for_a_rest_job_is_sent_at_once() {
    let mut bench = Bench::new("by_key");
    bench.core.settings.probes = true;
    let at = launched(&bench.submit(1, Some("k"))).expect("a launch");
    bench.sent(1, 0);
    let cancelled = bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
    assert_eq!((cancelled_at(&cancelled, 1), checks(&cancelled)), (Some(at), 1));
}
