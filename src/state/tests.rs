//! The guards of the reducer, each at its boundary, on a simulated clock.

mod adoption;
mod cancellations;
mod keys;
mod refused_dials;

use cancellations::{check_behind_orders, check_sent, orders_sent, NO_JOBS};

use super::jobs::{JOB_BYTES, MAX_PENDING_PER_LINK};
use super::machines::CAUSE_CUT;
use super::*;
use crate::decide::machine_loss::FormerConnection;
use crate::vocabulary;
use serde_json::json;

/// A core with a simulated clock; [`Bench::new`] adds the machines 0 and 1.
struct Bench {
    core: Core,
    now: Seconds,
}

/// A core without machines.
pub(crate) fn core(idempotency: &str) -> Core {
    core_in_place(idempotency, "all")
}

fn core_in_place(idempotency: &str, group: &str) -> Core {
    core_with(idempotency, group, 6.0)
}

/// A core with the given repeat window.
fn core_with_window(idempotency: &str, window_s: Seconds) -> Core {
    core_with(idempotency, "all", window_s)
}

fn core_with(idempotency: &str, group: &str, window_s: Seconds) -> Core {
    let boot = json!({"areas": ["z", "y"], "family_info": {"apart_by": ["silent"], "class_kind": [-1], "cold_bears": 70.0,
        "cores_multiple": 1.0, "free_by": "used", "mem_booking": 1.0, "memory_by_kind": [20.0],
        "prompt_start_s": [8.0], "says_yes": "running", "shows_free": true, "size_cores": [10], "spread_most": [2]},
        "grades": [{"name": "c", "deadline_s": 5.0, "group": group, "idempotency": idempotency, "importance": 1.0,
        "on_time_s": 1.0, "repeat_window_s": window_s}], "kinds": ["k"], "membership_mode": "push", "n_instances": 1,
        "permissions": {"max_attempts": 4}, "report": {"source": "silent"},
        "rules": {"ask_every_s": 10.0, "fall_s": 2.0, "warm_within_s": 16.0}, "tick_s": 0.002, "zone": "z"});
    let (settings, vocabulary) = vocabulary::settings(&boot).expect("settings");
    let bounds = CoreBounds { waiting_bytes: 1 << 20, standing: 3, history: 100, over: 10, over_s: 100.0 };
    Core::new(settings, vocabulary, 7, bounds).expect("a core")
}

impl Bench {
    fn new(idempotency: &str) -> Bench {
        let mut bench = Bench { core: core(idempotency), now: 100.0 };
        bench.list(&[(0, Standing::Ready), (1, Standing::Ready)]);
        bench
    }

    fn list(&mut self, machines: &[(u32, Standing)]) -> Vec<Effect> {
        let notice = |&(n, standing): &(u32, Standing)| {
            let (machine, key) = (MachineId(n), MachineKey(u64::from(n)));
            let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 9.0, memory: 18.0 });
            let entry = Entry { machine, key, zone, cell, kind: Some(0), standing, free, started: 0.0 };
            MachineNotice { entry, address: format!("a:{}", n % 10) }
        };
        self.apply_input(Input::List {
            kind: ListKind::Changes,
            notices: machines.iter().map(notice).collect(),
        })
    }

    fn apply_input(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.core.apply(self.now, input, &mut effects);
        // Effects that serve only watchers and logs are not checked here.
        let is_checked =
            |e: &Effect| !matches!(e, Effect::Changed | Effect::AttemptOver { .. } | Effect::CopyGone(_));
        effects.retain(is_checked);
        effects
    }

    fn tick_at(&mut self, now: Seconds) -> Vec<Effect> {
        self.now = now;
        self.apply_input(Input::Tick)
    }

    fn submit(&mut self, job: u64, key: Option<&str>) -> Vec<Effect> {
        let task = Task {
            class: 0,
            tenant: None,
            service: ServiceId(1),
            room: Room { cores: 1.0, memory: 1.0 },
            deadline: self.now + 5.0,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let spec = Spec { class: "c".into(), key: key.map(str::to_string), ..Spec::default() };
        let owner = if key.is_some() { Owner::Rest } else { Owner::Link(1) };
        self.apply_input(Input::Submit(JobSubmission {
            job: RequestId(job),
            owner,
            spec: Arc::new(spec),
            task,
        }))
    }

    fn adopt(&mut self, job: u64, machine: u32) -> Vec<Effect> {
        let task = Task {
            class: 0,
            tenant: None,
            service: ServiceId(1),
            room: Room { cores: 1.0, memory: 1.0 },
            deadline: self.now,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let spec = Arc::new(Spec { class: "c".into(), ..Spec::default() });
        let ask = JobSubmission { job: RequestId(job), owner: Owner::Link(1), spec, task };
        self.apply_input(Input::Adopt { ask, machine: MachineId(machine) })
    }

    fn sent(&mut self, job: u64, attempt: AttemptNo) {
        self.apply_input(Input::Sent { job: RequestId(job), attempt });
    }

    fn end(&mut self, machine: MachineId, job: u64, before: Outcome) -> Vec<Effect> {
        let (after, why) = (Outcome::Ok, Reason::LineFull);
        self.apply_input(Input::Ended { machine, job: RequestId(job), before, after, why, report: None })
    }

    fn bound(&mut self, machine: MachineId, job: u64) -> Vec<Effect> {
        self.apply_input(Input::Bound { machine, job: RequestId(job), body: String::new() })
    }
}

/// A dial that a machine refuses, which has given no sign of activity for this time and reset no connection.
fn refused(machine: MachineId, silent_s: Seconds) -> Input {
    let former_connection = FormerConnection::NotReset;
    let dial = RefusedDial { former_connection, unreported_s: silent_s, silent_s, redial_s: 1.0 };
    Input::DialRefused { machine, dial }
}

fn launched(effects: &[Effect]) -> Option<MachineId> {
    effects.iter().find_map(|e| if let Effect::Launch { machine, .. } = e { Some(*machine) } else { None })
}

fn answers(effects: &[Effect]) -> usize {
    let is =
        |e: &&Effect| matches!(e, Effect::Placed { .. } | Effect::Refused { .. } | Effect::Failed { .. });
    effects.iter().filter(is).count()
}

/// Guards against an answer to an earlier attempt that ends a later attempt which was not even sent.
#[test]
fn an_unsent_attempt_cannot_be_answered() {
    let mut bench = Bench::new("repeatable");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    assert!(bench.bound(at, 1).is_empty() && bench.end(at, 1, Outcome::Full).is_empty());
    bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
    assert_eq!(answers(&bench.bound(at, 1)), 1);
    assert!(bench.bound(at, 1).is_empty(), "exactly one answer");
}

/// Guards rule 3: an attempt that is still queued when its machine starts to drain is cancelled and goes to
/// another machine.
#[test]
fn a_drain_cancels_queued_attempts() {
    let mut bench = Bench::new("once");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    let effects = bench.list(&[(at.0, Standing::Draining)]);
    assert!(effects.contains(&Effect::CancelAttempt { machine: at, job: RequestId(1) }));
    assert_eq!(launched(&effects), Some(MachineId(1 - at.0)));
}

/// Guards rule 2: an attempt that was never sent never ran, so that even a task that must run at most once is
/// attempted again.
#[test]
fn only_a_sent_attempt_may_have_run() {
    for left in [false, true] {
        let mut bench = Bench::new("once");
        let at = launched(&bench.submit(1, None)).expect("a launch");
        if left {
            bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
        }
        let effects = match left {
            true => bench.apply_input(Input::LinkBroken { machine: at, end: ConnectionEnd::SeenByMachine }),
            false => bench.apply_input(refused(at, 0.0)),
        };
        assert_eq!(launched(&effects).is_some(), !left);
        assert_eq!(effects.contains(&Effect::Failed { owner: Owner::Link(1), job: RequestId(1) }), left);
    }
}

/// Guards rule 1: a job has exactly one final answer whatever happens to it, and none after its owner
/// disconnected.
#[test]
fn a_job_has_exactly_one_answer() {
    let mut bench = Bench::new("repeatable");
    let mut effects = bench.submit(1, None);
    bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
    for tenth in 1..=60 {
        effects.extend(bench.tick_at(100.0 + f64::from(tenth) / 10.0));
    }
    assert_eq!(answers(&effects), 1);
    assert_eq!(bench.core.pending(), 0);
    let at = launched(&bench.submit(2, None)).expect("a launch");
    let gone = bench.apply_input(Input::OwnerGone { link: 1 });
    assert!(gone.contains(&Effect::CancelAttempt { machine: at, job: RequestId(2) }));
    assert_eq!(answers(&gone) + answers(&bench.tick_at(120.0)), 0);
}

/// Guards owners of running tasks: the end is reported once, also if both the machine and the list report it.
#[test]
fn the_end_of_a_running_task_is_reported_once() {
    let mut bench = Bench::new("repeatable");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
    bench.bound(at, 1);
    let released = Effect::Released { owner: Owner::Link(1), job: RequestId(1), outcome: Outcome::Lost };
    assert!(bench.list(&[(at.0, Standing::Gone)]).contains(&released));
    assert!(!bench.end(at, 1, Outcome::Lost).contains(&released));
}

/// Guards idempotency keys: a retry stays in the repeat window of its first try, and a task that was lost may
/// be placed anew.
#[test]
fn a_key_keeps_its_window_over_retries() {
    let mut bench = Bench::new("by_key");
    let at = launched(&bench.submit(1, Some("k"))).expect("a launch");
    bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
    bench.now = 104.0;
    bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
    bench.submit(2, Some("k"));
    assert!(bench.core.job(RequestId(2)).is_none(), "a copy may run");
    bench.end(at, 1, Outcome::Cancelled);
    bench.submit(2, Some("k"));
    assert_eq!(bench.core.job(RequestId(2)).expect("a job").may_have_run_since, Some(100.0));
    bench.apply_input(Input::Cancel { job: RequestId(2), cause: 16 });
    bench.now = 107.0;
    let again = launched(&bench.submit(3, Some("k"))).expect("a placement of its own");
    bench.apply_input(Input::Sent { job: RequestId(3), attempt: 0 });
    bench.bound(again, 3);
    let lost = bench.apply_input(Input::MachineLost { machine: again });
    assert!(
        lost.contains(&Effect::Stop { machine: again, job: RequestId(3), cause: CAUSE_CUT }),
        "no copy keeps running"
    );
    bench.submit(4, Some("k"));
    assert!(bench.core.job(RequestId(4)).is_none(), "a copy may run");
    bench.end(again, 3, Outcome::Cancelled);
    bench.submit(4, Some("k"));
    assert_eq!(bench.core.job(RequestId(4)).expect("a job").may_have_run_since, None);
    assert!(at.0 < 2);
}

/// Guards clients against one that uses an id twice: neither of its two requests is served, and the job of
/// another client with the same id continues.
#[test]
fn an_id_in_use_is_served_to_its_first_owner_alone() {
    for link in [1, 2] {
        let mut bench = Bench::new("repeatable");
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
        let spec = Arc::new(Spec { class: "c".into(), ..Spec::default() });
        let task = bench.core.job(RequestId(1)).expect("a job").task;
        let twice = bench.apply_input(Input::Submit(JobSubmission {
            job: RequestId(1),
            owner: Owner::Link(link),
            spec,
            task,
        }));
        assert!(twice.contains(&Effect::Expel { link }));
        let first_ended = link == 1;
        assert_eq!(twice.contains(&Effect::Failed { owner: Owner::Link(1), job: RequestId(1) }), first_ended);
        assert_eq!(answers(&bench.bound(at, 1)), usize::from(!first_ended));
    }
}

/// Guards clients against one that sends releases with the ids of others' pending jobs; running tasks belong to
/// no connection, and may be stopped on any.
#[test]
fn a_pending_job_is_cancelled_on_its_own_connection_alone() {
    let release = |link| Input::OwnerRelease { link, job: RequestId(1), cause: 16 };
    let mut bench = Bench::new("repeatable");
    let machine = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    assert_eq!(bench.apply_input(release(2)), [], "another connection");
    assert_eq!(answers(&bench.bound(machine, 1)), 1);
    let stopped = bench.apply_input(release(2));
    assert!(stopped.contains(&Effect::Stop { machine, job: RequestId(1), cause: 16 }), "{stopped:?}");
    let mut bench = Bench::new("repeatable");
    bench.submit(1, None);
    bench.apply_input(release(1));
    assert_eq!(bench.core.pending(), 0, "its own connection");
    let mut bench = Bench::new("by_key");
    bench.submit(1, Some("k"));
    bench.apply_input(release(1));
    assert_eq!(bench.core.pending(), 1, "a job of the REST front");
}

/// Guards watchers that resume amid the first part of a watch: objects come in the order of their versions, so that
/// all after the last version seen are still to come.
#[test]
fn machines_are_listed_in_the_order_of_their_versions() {
    let mut bench = Bench::new("repeatable");
    bench.list(&[(2, Standing::Ready)]);
    bench.list(&[(0, Standing::Draining)]);
    let views = bench.core.machine_views();
    let versions: Vec<u64> = views.iter().map(|view| view.version).collect();
    assert_eq!(versions.len(), 3);
    assert!(versions.is_sorted(), "{versions:?}");
}

/// A job of the platform whose name and key have so many bytes each.
fn ask_with_long_texts(job: u64, now: Seconds, bytes: usize) -> JobSubmission {
    let task = Task {
        class: 0,
        tenant: None,
        service: ServiceId(1),
        room: Room { cores: 0.001, memory: 0.001 },
        deadline: now + 5.0,
        expected_runtime_s: None,
        limits: TaskLimits::default(),
    };
    let text = "x".repeat(bytes);
    let spec = Spec { class: "c".into(), name: text.clone(), key: Some(text), ..Spec::default() };
    JobSubmission { job: RequestId(job), owner: Owner::Link(1), spec: Arc::new(spec), task }
}

/// Guards memory against jobs with long names and keys: only their descriptions counted as memory while they waited, and
/// running tasks kept the rest.
#[test]
fn long_names_and_keys_count_as_memory() {
    const BYTES: usize = 8_000;
    let mut bench = Bench::new("by_key");
    for job in 1..=200 {
        let ask = ask_with_long_texts(job, bench.now, BYTES);
        bench.apply_input(Input::Submit(ask));
    }
    let most = bench.core.bounds.waiting_bytes / (2 * BYTES) + 1;
    assert!(bench.core.pending() <= most, "{} jobs wait", bench.core.pending());
    let (&id, machine) = bench
        .core
        .jobs
        .iter()
        .find_map(|(id, job)| Some((id, job.open_attempt?.machine)))
        .expect("an attempt");
    bench.sent(id.0, 0);
    bench.bound(machine, id.0);
    assert!(bench.core.job(id).expect("a task").spec.size() < 100);
    let adopted = ask_with_long_texts(1000, bench.now, BYTES);
    bench.apply_input(Input::Adopt { ask: adopted, machine: MachineId(0) });
    assert!(bench.core.job(RequestId(1000)).expect("a task").spec.size() < 100);
}

/// Guards memory against an owner that names ever new machines: their names were kept until the next change of the list.
#[test]
fn names_of_unknown_machines_are_forgotten_with_their_tasks() {
    let mut bench = Bench::new("repeatable");
    for number in 0..1000 {
        let machine = bench.core.machine_named_by_owner(&format!("m-{number}")).expect("a short name");
        bench.adopt(number, machine.0);
        bench.tick_at(bench.now + 3.0);
        let names = bench.core.vocabulary().machines();
        assert!(names < 100, "{names} names after {number} tasks");
    }
    assert_eq!(bench.core.machine_named_by_owner(&"m".repeat(1000)), None);
}

/// Guards memory against reported running tasks: those at unlisted machines, whose end nobody reports, and
/// any number of others.
#[test]
fn adopted_tasks_are_bounded() {
    let mut bench = Bench::new("repeatable");
    let lost = |job| Effect::Released { owner: Owner::Link(1), job: RequestId(job), outcome: Outcome::Lost };
    bench.adopt(1, 0);
    bench.adopt(2, 99);
    bench.adopt(3, 1);
    assert_eq!(bench.adopt(4, 1), [lost(4)]);
    assert_eq!(bench.tick_at(103.0), [lost(2)]);
    assert_eq!(bench.core.link_load(1), LinkLoad { open: 0, standing: 2 });
}

/// Guards clients against a single connection that submits too many jobs, and memory against all connections
/// together.
#[test]
fn pending_jobs_are_bounded() {
    let mut bench = Bench::new("repeatable");
    bench.list(&[(0, Standing::Gone), (1, Standing::Gone)]);
    let busy =
        |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Refused { why: Refusal::Busy, .. }));
    let first = (1..).find(|&job| busy(&bench.submit(job, None))).expect("a refusal");
    assert_eq!(first, MAX_PENDING_PER_LINK as u64 + 1);
    let more = (first..).find(|&job| busy(&bench.submit(job, Some("k")))).expect("a refusal");
    // A class of one byte counts with each job, and a key of one byte with those of the REST front.
    let left = (1 << 20) - MAX_PENDING_PER_LINK * (JOB_BYTES + 1);
    assert_eq!(more, first + left.div_ceil(JOB_BYTES + 2) as u64);
    bench.apply_input(Input::OwnerGone { link: 1 });
    assert_eq!((bench.core.link_load(1), bench.core.is_full()), (LinkLoad::default(), false));
}

/// Guards a new machine at a former machine's address: nothing more is sent to the former one, and its
/// running tasks are lost.
#[test]
fn an_address_has_one_machine() {
    let mut bench = Bench::new("repeatable");
    bench.list(&[(1, Standing::Gone)]);
    assert_eq!(launched(&bench.submit(1, None)), Some(MachineId(0)));
    bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
    bench.bound(MachineId(0), 1);
    let replaced = bench.list(&[(10, Standing::Ready)]);
    let lost = Effect::Released { owner: Owner::Link(1), job: RequestId(1), outcome: Outcome::Lost };
    assert!(departure(&replaced).is_some() && replaced.contains(&lost));
    assert_eq!(launched(&bench.submit(2, None)), Some(MachineId(10)));
}

/// Guards memory over a long run: machine names keep changing, and the names of former machines are removed.
#[test]
fn names_of_former_machines_are_removed() {
    let mut bench = Bench::new("repeatable");
    for n in 0..1000 {
        let machine = bench.core.vocabulary().machine(&format!("machine-{n}"));
        bench.list(&[(machine.0, Standing::Ready)]);
        bench.list(&[(machine.0, Standing::Gone)]);
    }
    assert!(bench.core.vocabulary().machines() < 100);
    assert_eq!(bench.core.vocabulary().machine("machine-1000"), MachineId(1000));
}

/// Guards the running tasks of a draining machine: it refuses new connections, such as that of a planner that
/// has just started, while its tasks continue. A machine in service that refuses connections is gone.
#[test]
fn a_drain_that_refuses_connections_keeps_its_tasks() {
    for standing in [Standing::Draining, Standing::Ready] {
        let mut bench = Bench::new("repeatable");
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
        bench.bound(at, 1);
        bench.list(&[(at.0, standing)]);
        let lost = Effect::Released { owner: Owner::Link(1), job: RequestId(1), outcome: Outcome::Lost };
        let kept = standing == Standing::Draining;
        assert_eq!(bench.apply_input(refused(at, 0.0)).contains(&lost), !kept);
        bench.now += 5.0;
        assert_eq!(bench.apply_input(refused(at, 0.0)).contains(&lost), kept);
    }
}

/// Guards the rule of one open attempt: a machine that is cut off does not receive the cancellation, so that
/// the attempt stays open and no other may follow. Only the machine's answer to a connection check on the
/// same connection confirms the cancellation and allows another attempt.
#[test]
fn a_cancelled_attempt_is_open_until_its_machine_confirms() {
    for confirms in [true, false] {
        let mut bench = Bench::new("repeatable");
        bench.core.settings.probes = true;
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.apply_input(Input::Sent { job: RequestId(1), attempt: 0 });
        let timed_out = (1..50)
            .map(|tenth| bench.tick_at(100.0 + f64::from(tenth) / 10.0))
            .find(|effects| !effects.is_empty())
            .expect("a time-out before the deadline");
        assert_eq!(orders_sent(&timed_out), NO_JOBS, "the connection is not known to deliver");
        assert_eq!(
            (launched(&timed_out), answers(&timed_out)),
            (None, 0),
            "the first attempt may still be open"
        );
        let ask = check_sent(&timed_out, at).expect("a connection check is sent to the machine");
        let other = bench.apply_input(Input::FenceAnswered { machine: MachineId(1 - at.0), ask });
        assert_eq!((launched(&other), orders_sent(&other)), (None, vec![]));
        if confirms {
            let proved = bench.apply_input(Input::FenceAnswered { machine: at, ask });
            assert_eq!((launched(&proved), orders_sent(&proved)), (None, vec![1]));
            assert!(bench.bound(at, 1).is_empty(), "an answer that crossed the cancellation is dropped");
            let ask = check_behind_orders(&proved).expect("a check behind the order");
            assert!(launched(&bench.apply_input(Input::FenceAnswered { machine: at, ask })).is_some());
            continue;
        }
        let effects: Vec<Effect> =
            (1..=12).flat_map(|tenth| bench.tick_at(103.0 + f64::from(tenth) / 10.0)).collect();
        assert_eq!((launched(&effects), answers(&effects)), (None, 1), "answered at once, not sent again");
    }
}

/// Advances the clock until an attempt starts; returns its machine and the number of the connection check
/// before it.
fn run_until_launch(bench: &mut Bench) -> Option<(MachineId, Option<u64>)> {
    (0..500).find_map(|_| {
        bench.now += 0.01;
        bench.apply_input(Input::Tick).into_iter().find_map(|effect| match effect {
            Effect::Launch { machine, fence, .. } => Some((machine, fence)),
            _ => None,
        })
    })
}

/// Guards the rule of one open attempt against late or repeated answers: answers carry no attempt number, so
/// that a connection check precedes a second attempt at a machine, and messages before the check's answer
/// belong to the first.
#[test]
fn an_answer_to_an_earlier_attempt_is_not_taken_for_a_later_one() {
    let mut bench = Bench::new("repeatable");
    bench.core.settings.probes = true;
    bench.list(&[(1, Standing::Gone)]);
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    bench.end(at, 1, Outcome::Full);
    let (again, fence) = run_until_launch(&mut bench).expect("another attempt");
    assert_eq!(again, at);
    let fence = fence.expect("a connection check before the second attempt there");
    bench.sent(1, 1);
    let early =
        [bench.end(at, 1, Outcome::Full), bench.bound(at, 1), bench.end(at, 1, Outcome::Error)].concat();
    assert!(early.is_empty(), "messages before the check's answer belong to the first attempt: {early:?}");
    bench.apply_input(Input::FenceAnswered { machine: MachineId(1 - at.0), ask: fence });
    assert!(bench.bound(at, 1).is_empty(), "another machine's answer proves nothing");
    bench.apply_input(Input::FenceAnswered { machine: at, ask: fence });
    assert_eq!(answers(&bench.bound(at, 1)), 1);
}

/// Guards the same if the connection broke: a message about the first attempt may arrive on any later
/// connection, so that its machine gets no second attempt of this job. Neither does a machine that cannot be
/// checked.
#[test]
fn a_machine_without_confirmed_end_gets_no_second_attempt() {
    for broke in [true, false] {
        let mut bench = Bench::new("repeatable");
        bench.core.settings.probes = broke;
        bench.list(&[(1, Standing::Gone)]);
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.sent(1, 0);
        let mut effects = match broke {
            true => bench.apply_input(Input::LinkBroken { machine: at, end: ConnectionEnd::SeenByMachine }),
            false => bench.end(at, 1, Outcome::Full),
        };
        for tenth in 1..=60 {
            effects.extend(bench.tick_at(100.0 + f64::from(tenth) / 10.0));
        }
        assert_eq!((launched(&effects), answers(&effects)), (None, 1));
    }
    let mut bench = Bench::new("repeatable");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    assert_eq!(
        launched(&bench.apply_input(Input::LinkBroken { machine: at, end: ConnectionEnd::SeenByMachine })),
        Some(MachineId(1 - at.0))
    );
}

/// Guards the same against an id that is submitted again after its job is over: while a copy of the first may
/// run, the second is answered without being sent.
#[test]
fn an_id_whose_copy_may_run_is_not_sent_again() {
    let failed = Effect::Failed { owner: Owner::Link(1), job: RequestId(1) };
    for proof in 0..3 {
        let mut bench = Bench::new("repeatable");
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.sent(1, 0);
        bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
        bench.core.forget(RequestId(1), &mut vec![]);
        assert!(bench.submit(1, None).contains(&failed));
        match proof {
            0 => _ = bench.end(MachineId(1 - at.0), 1, Outcome::Lost),
            1 => _ = bench.end(at, 1, Outcome::Lost),
            _ => _ = bench.started(at.0, bench.now),
        }
        assert_eq!(launched(&bench.submit(1, None)).is_some(), proof > 0, "only its machine can prove it");
    }
}

/// Guards keyed jobs: whatever the placer decides, a job is retried only in the place (zone or cell) of its
/// first attempt that may have run, also if that attempt's machine has left the list.
#[test]
fn a_keyed_job_stays_in_its_place() {
    for (group, allowed) in
        [("all", [true; 3]), ("zone", [true, true, false]), ("cell", [true, false, false])]
    {
        let mut bench = Bench { core: core_in_place("by_key", group), now: 100.0 };
        let spots = [(0, 0, 0), (1, 0, 0), (2, 0, 1), (3, 1, 2)];
        let notice = |&(n, zone, cell): &(u32, u32, u64)| {
            let (machine, key, free) =
                (MachineId(n), MachineKey(n.into()), Room { cores: 9.0, memory: 18.0 });
            let (zone, cell, standing) = (ZoneId(zone), CellId(cell), Standing::Ready);
            let entry = Entry { machine, key, zone, cell, kind: Some(0), standing, free, started: 0.0 };
            MachineNotice { entry, address: format!("a:{n}") }
        };
        let add = |bench: &mut Bench, of: &[(u32, u32, u64)]| {
            let notices = of.iter().map(notice).collect();
            bench.apply_input(Input::List { kind: ListKind::Changes, notices })
        };
        add(&mut bench, &spots[..1]);
        assert_eq!(launched(&bench.submit(1, Some("k"))), Some(MachineId(0)));
        bench.sent(1, 0);
        // The placer is not informed of the end, as it would start another attempt itself.
        let job = bench.core.jobs.get_mut(&RequestId(1)).expect("a job");
        let open_attempt = job.open_attempt.take().expect("an attempt");
        job.may_have_run(&open_attempt);
        bench.core.nodes.get_mut(MachineId(0)).expect("a machine").open_attempts.clear();
        bench.list(&[(0, Standing::Gone)]);
        // The placer is not informed of these machines: only the guard's own decision is tested.
        for (n, allowed) in (1..).zip(allowed) {
            let mut effects = Vec::new();
            let entry = notice(&spots[n as usize]);
            bench.core.update_machine(&entry, &mut effects);
            bench.core.start_attempt(bench.now, RequestId(1), MachineId(n), bench.now + 1.0, &mut effects);
            let launched_there = launched(&effects).is_some();
            assert_eq!(launched_there, allowed, "group {group}, machine {n}");
            if launched_there {
                bench.core.end_attempt(
                    bench.now,
                    RequestId(1),
                    Outcome::Moot,
                    Reason::Unknown,
                    None,
                    &mut vec![],
                );
                bench.core.jobs.get_mut(&RequestId(1)).expect("a job").attempts = 1;
            }
        }
    }
}

/// Guards jobs against a machine that leaves and returns under its name: an answer to an attempt it got
/// before is not taken for an answer to a later attempt, there or elsewhere.
#[test]
fn an_answer_of_a_returning_machine_belongs_to_its_earlier_attempt() {
    let mut bench = Bench::new("repeatable");
    let first = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    let gone = bench.list(&[(first.0, Standing::Gone)]);
    assert_eq!(launched(&gone), None, "the attempt is still open there");
    let departure = departure(&gone).expect("its connection is closed");
    let ended = bench.apply_input(Input::Departed { departure, end: ConnectionEnd::SeenByMachine });
    let second = launched(&ended).expect("the job goes to another machine");
    assert_ne!(second, first);
    bench.sent(1, 1);
    bench.list(&[(first.0, Standing::Ready)]);
    assert_eq!(answers(&bench.bound(first, 1)), 0);
    assert_eq!(answers(&bench.end(first, 1, Outcome::Full)), 0);
    assert_eq!(answers(&bench.bound(second, 1)), 1);
    assert!(
        bench.end(first, 1, Outcome::Lost).is_empty(),
        "a report of the first machine does not end the task on the second"
    );
}

impl Bench {
    /// Lists a machine that started, or restarted, at the given time.
    fn started(&mut self, n: u32, started: Seconds) -> Vec<Effect> {
        self.apply_input(restart_notice(n, started))
    }
}

/// The list's news that a machine started, or restarted, at the given time.
fn restart_notice(n: u32, started: Seconds) -> Input {
    let (machine, key) = (MachineId(n), MachineKey(u64::from(n)));
    let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 9.0, memory: 18.0 });
    let standing = Standing::Ready;
    let entry = Entry { machine, key, zone, cell, kind: Some(0), standing, free, started };
    let notices = vec![MachineNotice { entry, address: format!("a:{n}") }];
    Input::List { kind: ListKind::Changes, notices }
}

fn cancelled_at(effects: &[Effect], job: u64) -> Option<MachineId> {
    let of = |e: &Effect| match e {
        Effect::CancelAttempt { machine, job: id } if id.0 == job => Some(*machine),
        _ => None,
    };
    effects.iter().find_map(of)
}

/// Guards clients of a connection that can no longer be read: their pending jobs get one answer each, and
/// their running tasks continue.
#[test]
fn pending_jobs_of_a_faulty_connection_are_answered() {
    let mut bench = Bench::new("repeatable");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    bench.bound(at, 1);
    bench.submit(2, None);
    bench.submit(3, None);
    bench.sent(3, 0);
    let ended = bench.apply_input(Input::OwnerFaulty { link: 1 });
    assert_eq!(answers(&ended), 2);
    assert!(cancelled_at(&ended, 2).is_some(), "it was not sent yet");
    assert!(ended.iter().any(|e| matches!(e, Effect::KeepBack { job: RequestId(3), .. })), "it was sent");
    assert_eq!((bench.core.pending(), bench.core.running_at(at)), (0, 1));
}

/// Guards rule 2: a further attempt that is still queued when the repeat window ends is cancelled at that
/// time, and not sent afterwards.
#[test]
fn a_further_attempt_is_not_sent_after_its_window() {
    let mut bench = Bench { core: core_with_window("by_key", 2.0), now: 100.0 };
    bench.list(&[(0, Standing::Ready), (1, Standing::Ready)]);
    let first = launched(&bench.submit(1, Some("k"))).expect("a launch");
    bench.sent(1, 0);
    bench.now = 101.0;
    let again =
        launched(&bench.apply_input(Input::LinkBroken { machine: first, end: ConnectionEnd::SeenByMachine }))
            .expect("a further attempt");
    assert_eq!(
        bench.core.next_alarm(),
        Some(102.0),
        "the sender handles due alarms before it writes; the end of the window is the next one"
    );
    assert_eq!(cancelled_at(&bench.tick_at(101.99), 1), None);
    let ended = bench.tick_at(102.0);
    assert_eq!(cancelled_at(&ended, 1), Some(again));
    assert_eq!((answers(&ended), launched(&ended)), (1, None), "the job is answered at once");
    // An attempt that was sent by then may be answered as long as its owner waits.
    let mut bench = Bench { core: core_with_window("by_key", 2.0), now: 100.0 };
    bench.list(&[(0, Standing::Ready), (1, Standing::Ready)]);
    let first = launched(&bench.submit(1, Some("k"))).expect("a launch");
    bench.sent(1, 0);
    bench.now = 101.0;
    let again =
        launched(&bench.apply_input(Input::LinkBroken { machine: first, end: ConnectionEnd::SeenByMachine }))
            .expect("a further attempt");
    bench.sent(1, 1);
    assert_eq!(cancelled_at(&bench.tick_at(102.0), 1), None);
    assert_eq!(answers(&bench.bound(again, 1)), 1);
}

/// Guards cold machines against the planners' send queues: attempts that were decided for a warm machine and
/// not sent yet are decided again once the machine is known to have restarted.
#[test]
fn queued_attempts_are_decided_again_after_a_restart() {
    let mut bench = Bench { core: core("repeatable"), now: 100.0 };
    bench.started(0, 10.0);
    assert_eq!(launched(&bench.submit(1, None)), Some(MachineId(0)));
    assert_eq!(cancelled_at(&bench.started(0, 99.5), 1), Some(MachineId(0)));
}

/// Guards cold machines against the shares of two windows that are sent at once: the placer's windows are
/// longer by a quarter, and an attempt for a cold machine that cannot be sent within that quarter is
/// cancelled. One for a warm machine stays queued.
#[test]
fn an_attempt_for_a_cold_machine_does_not_wait_past_its_share() {
    for (started, waits) in [(10.0, true), (99.0, false)] {
        let mut bench = Bench { core: core("repeatable"), now: 100.0 };
        bench.started(0, started);
        // The placer sends a cold machine nothing in its first window.
        bench.now = 104.0;
        assert_eq!(launched(&bench.submit(1, None)), Some(MachineId(0)));
        assert_eq!(cancelled_at(&bench.tick_at(104.49), 1), None);
        assert_eq!(cancelled_at(&bench.tick_at(104.5), 1).is_none(), waits, "up since {started}");
    }
}

/// Guards tasks that must not be repeated: a machine that only counts as lost may still hold attempts, whose
/// connection is working. Such an attempt ends by its time-out or with its connection.
#[test]
fn a_loss_ends_no_sent_attempt() {
    let mut bench = Bench::new("repeatable");
    let at = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    for loss in [Input::MachineLost { machine: at }, refused(at, 0.0), refused(at, 60.0)] {
        assert_eq!(launched(&bench.apply_input(loss)), None);
    }
    let ended = bench.apply_input(Input::LinkBroken { machine: at, end: ConnectionEnd::SeenByMachine });
    assert!(launched(&ended).is_some());
}

fn departure(effects: &[Effect]) -> Option<DepartureId> {
    let of = |e: &Effect| match e {
        Effect::Disconnect { departure, .. } => Some(*departure),
        _ => None,
    };
    effects.iter().find_map(of)
}

/// Guards tasks that must not be repeated: an attempt at a machine that left the list, or on a connection
/// that ended, goes elsewhere once its machine is known to have abandoned it. If that is never known, the job
/// is answered without another attempt.
#[test]
fn an_unconfirmed_attempt_is_answered_and_not_repeated() {
    for leaves in [true, false] {
        for end in [ConnectionEnd::SeenByMachine, ConnectionEnd::Unconfirmed] {
            let proved = end == ConnectionEnd::SeenByMachine;
            let mut bench = Bench::new("repeatable");
            let at = launched(&bench.submit(1, None)).expect("a launch");
            bench.sent(1, 0);
            let ended = if leaves {
                let gone = bench.list(&[(at.0, Standing::Gone)]);
                // The end of the connection, for which the effect asks, takes the place of an order.
                assert_eq!(
                    (launched(&gone), cancelled_at(&gone, 1), orders_sent(&gone)),
                    (None, None, vec![])
                );
                assert!(departure(&gone).is_some(), "the connection is closed, which cancels the attempt");
                assert_eq!(answers(&bench.bound(at, 1)), 0, "the attempt is cancelled");
                bench.apply_input(Input::Departed { departure: departure(&gone).expect("one"), end })
            } else {
                bench.apply_input(Input::LinkBroken { machine: at, end })
            };
            assert_eq!((launched(&ended).is_some(), answers(&ended)), (proved, usize::from(!proved)));
        }
    }
}

/// Guards clients with an attempt open at a machine that left the list and never closes its connection: they
/// are answered within the confirmation time-out, and before their deadline.
#[test]
fn an_attempt_at_a_departed_machine_is_answered_in_time() {
    for (left_at, answered_by) in [(100.0, 101.0), (104.5, 105.0)] {
        let mut bench = Bench::new("repeatable");
        let at = launched(&bench.submit(1, None)).expect("a launch");
        bench.sent(1, 0);
        bench.now = left_at;
        // The attempt's own time-out may have passed before.
        let gone = bench.list(&[(at.0, Standing::Gone)]);
        let ended = bench.tick_at(answered_by);
        assert_eq!((answers(&gone) + answers(&ended), launched(&ended)), (1, None), "left at {left_at}");
    }
}

/// Guards callers that wait for jobs of which more end at once than records are kept: each can read its answer until it
/// has, and nothing is kept after that.
#[test]
fn what_a_caller_waits_for_outlives_its_record() {
    let mut bench = Bench::new("repeatable");
    bench.core.bounds.over = 1;
    let jobs = [1, 2, 3].map(RequestId);
    for job in jobs {
        bench.submit(job.0, None);
        let record = RecordId::Job(job);
        bench.apply_input(Input::HoldRecord { record });
        bench.apply_input(Input::HoldRecord { record });
        bench.apply_input(Input::ReleaseRecord { record });
    }
    bench.apply_input(Input::OwnerFaulty { link: 1 });
    assert!(bench.core.job(jobs[0]).is_none(), "its record makes room");
    for job in jobs {
        let phase = bench.core.held_job_view(job).map(|view| view.phase);
        assert_eq!(phase, Some(Phase::Failed));
        bench.apply_input(Input::ReleaseRecord { record: RecordId::Job(job) });
    }
    assert!(bench.core.held_job_view(jobs[0]).is_none() && bench.core.awaited.is_empty());
}
