//! The core's guards under the operators' limits: random files, random events, and an auditor that records
//! every attempt.

use super::*;
use crate::decide::limits::tests::model;
use crate::decide::limits::{Model, Why};
use crate::vocabulary;
use proptest::prelude::*;
use serde_json::json;

const CLASSES: [&str; 3] = ["stateless", "keyed", "once"];
const WINDOW_S: Seconds = 6.0;
/// Seconds. Accepted delay of an answer: the core's forced answer, and one step of the test's clock.
const LATE_S: Seconds = 0.5;

pub(crate) fn core() -> Core {
    let grade = |name: &str, effect: &str| {
        json!({"name": name, "deadline_s": 5.0, "group": "all", "idempotency": effect, "importance": 1.0,
            "on_time_s": 1.0, "repeat_window_s": WINDOW_S})
    };
    let three = |value: serde_json::Value| json!([value, value, value]);
    let boot = json!({"areas": ["hall-a"], "family_info": {"apart_by": three(json!("silent")),
        "class_kind": three(json!(-1)), "cold_bears": 70.0, "cores_multiple": 1.0, "free_by": "used",
        "mem_booking": 1.0, "memory_by_kind": [200.0], "prompt_start_s": three(json!(8.0)), "says_yes": "running",
        "shows_free": true, "size_cores": [100], "spread_most": three(json!(2))},
        "grades": [grade("stateless", "repeatable"), grade("keyed", "by_key"), grade("once", "once")],
        "kinds": ["k"], "membership_mode": "push", "n_instances": 1, "permissions": {"max_attempts": 4},
        "report": {"source": "silent"}, "rules": {"ask_every_s": 10.0, "fall_s": 2.0, "warm_within_s": 16.0},
        "tick_s": 0.002, "zone": "hall-a"});
    let (settings, vocabulary) = vocabulary::settings(&boot).expect("settings");
    let bounds = CoreBounds { waiting_bytes: 1 << 20, standing: 1000, history: 100, over: 10, over_s: 100.0 };
    Core::new(settings, vocabulary, 7, bounds).expect("a core")
}

/// The auditor's record of a job.
struct Record {
    limits: Resolved,
    asked_at: Seconds,
    deadline: Seconds,
    class: usize,
    launches: usize,
    open: Option<(MachineId, AttemptNo)>,
    may_have_run_since: Option<Seconds>,
    sent: bool,
    sent_at: Seconds,
    answers: usize,
}

/// A core, a clock, and an auditor that checks every effect.
struct Audit {
    core: Core,
    now: Seconds,
    jobs: BTreeMap<RequestId, Record>,
    next: u64,
}

impl Audit {
    fn new(model: Model) -> Audit {
        let mut audit = Audit { core: core(), now: 100.0, jobs: BTreeMap::new(), next: 1 };
        audit.load_file(model);
        let notice = |n: u32| {
            let (machine, key) = (MachineId(n), MachineKey(u64::from(n)));
            let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 90.0, memory: 180.0 });
            let entry = crate::placer::Entry {
                machine,
                key,
                zone,
                cell,
                kind: Some(0),
                standing: Standing::Ready,
                free,
                started: 0.0,
            };
            MachineNotice { entry, address: format!("a:{n}") }
        };
        audit.handle(Input::List { kind: ListKind::Persisted, notices: (0..3).map(notice).collect() });
        audit
    }

    fn load_file(&mut self, model: Model) {
        let table = Arc::new(Table::new(model, self.core.settings(), Some("hall-a")));
        self.handle(Input::Limits { table, digest: String::new() });
    }

    fn handle(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.core.apply(self.now, input, &mut effects);
        effects.iter().for_each(|effect| self.audit(effect));
    }

    fn audit(&mut self, effect: &Effect) {
        let now = self.now;
        match effect {
            Effect::Launch { machine, job, attempt, left_s, .. } => {
                let record = self.jobs.get_mut(job).expect("a submitted job");
                assert_eq!(record.open, None, "two attempts open at the same time");
                assert_eq!(record.answers, 0, "an attempt after the answer");
                record.launches += 1;
                let of = &record.limits.task;
                assert!(record.launches <= of.attempts.min(4), "{} attempts", record.launches);
                assert!(*left_s <= of.attempt_s + 1e-6, "an attempt of {left_s} s");
                let end = record.deadline.min(record.asked_at + record.limits.total_s);
                assert!(now + left_s <= end + 1e-6, "an attempt beyond its job's deadline");
                if let Some(since) = record.may_have_run_since {
                    assert!(of.copies, "a second copy");
                    assert_ne!(record.class, 2, "a second copy of a task of class once");
                    assert!(
                        record.class != 1 || now < since + of.window_s,
                        "{} s after the first",
                        now - since
                    );
                }
                (record.open, record.sent, record.sent_at) = (Some((*machine, *attempt)), false, now);
            }
            Effect::CancelAttempt { job, .. } => self.end_attempt(*job, true),
            Effect::Placed { job, .. } | Effect::Failed { job, .. } | Effect::Refused { job, .. } => {
                let record = self.jobs.get_mut(job).expect("a submitted job");
                record.answers += 1;
                assert_eq!(record.answers, 1, "one final answer");
                if let Effect::Refused { why: Refusal::Limit(_), retry_in_s, .. } = effect {
                    assert!(*retry_in_s > 0.0, "a retry delay");
                }
                let end = record.deadline.min(record.asked_at + record.limits.total_s);
                assert!(now <= end + LATE_S, "answered {} s late", now - end);
            }
            _ => {}
        }
    }

    /// Records the end of an attempt, which may have run if it was sent and `may_have_run` is set.
    fn end_attempt(&mut self, job: RequestId, may_have_run: bool) {
        let Some(record) = self.jobs.get_mut(&job) else { return };
        if record.open.take().is_some() && may_have_run && record.sent {
            record.may_have_run_since = record.may_have_run_since.or(Some(record.sent_at));
        }
    }

    fn submit(&mut self, class: usize, service: &str, rest: bool) {
        let job = RequestId(self.next);
        self.next += 1;
        let room = Room { cores: 1.0, memory: 1.0 };
        let front = if rest { Front::Rest } else { Front::Platform };
        let table = self.core.limits.limits.table().clone();
        let limits =
            Resolved::clone(table.resolve(&Subject { front, class, service, room }).expect("limits"));
        let deadline = self.now + 5.0;
        let task = Task {
            class,
            tenant: None,
            service: ServiceId(1),
            room,
            deadline,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let (key, owner) = match rest {
            true => (Some(format!("k{}", job.0)), Owner::Rest),
            false => (None, Owner::Link(1)),
        };
        let (class_name, service) = (CLASSES[class].to_string(), service.to_string());
        let spec = Spec { class: class_name, service, key, ..Spec::default() };
        let (asked_at, launches, may_have_run_since) = (self.now, 0, None);
        let record = Record {
            limits,
            asked_at,
            deadline,
            class,
            launches,
            open: None,
            may_have_run_since,
            sent: false,
            sent_at: 0.0,
            answers: 0,
        };
        self.jobs.insert(job, record);
        self.handle(Input::Submit(JobSubmission { job, owner, spec: Arc::new(spec), task }));
    }

    /// The open attempt with the lowest job id, or the one `skip` places after it.
    fn open(&self, skip: usize) -> Option<(RequestId, MachineId, AttemptNo, bool)> {
        let open =
            |(id, e): (&RequestId, &Record)| e.open.map(|(machine, attempt)| (*id, machine, attempt, e.sent));
        let all: Vec<_> = self.jobs.iter().filter_map(open).collect();
        all.get(skip.checked_rem(all.len())?).copied()
    }

    fn step(&mut self, kind: u8, argument: u16) {
        let argument = usize::from(argument);
        match kind {
            0..=3 => {
                let service = ["", "a", "ab", "b", "bb"][argument % 5];
                self.submit(argument % 3, service, argument % 2 == 0);
            }
            4..=6 => {
                self.now += argument as f64 % 400.0 / 1e3;
                self.handle(Input::Tick);
            }
            7..=9 => {
                if let Some((job, _, attempt, false)) = self.open(argument) {
                    if let Some(record) = self.jobs.get_mut(&job) {
                        record.sent = true;
                    }
                    self.handle(Input::Sent { job, attempt });
                }
            }
            10..=13 => {
                let Some((job, machine, _, true)) = self.open(argument) else { return };
                if argument % 5 == 4 {
                    if let Some(record) = self.jobs.get_mut(&job) {
                        record.open = None;
                    }
                    return self.handle(Input::Bound { machine, job, body: String::new() });
                }
                let before = [Outcome::Full, Outcome::Full, Outcome::Error, Outcome::Lost][argument % 4];
                self.end_attempt(job, !before.never_ran());
                let (after, why) = (Outcome::Ok, Reason::LineFull);
                self.handle(Input::Ended { machine, job, before, after, why, report: None });
            }
            14 => {
                let machine = MachineId(argument as u32 % 3);
                // An attempt sent on a broken connection may have run.
                let hit: Vec<RequestId> = self
                    .jobs
                    .iter()
                    .filter(|(_, e)| e.sent && e.open.is_some_and(|(at, _)| at == machine))
                    .map(|(id, _)| *id)
                    .collect();
                hit.into_iter().for_each(|job| self.end_attempt(job, true));
                self.handle(Input::LinkBroken { machine, end: ConnectionEnd::SeenByMachine });
            }
            _ => self.handle(Input::Cancel { job: RequestId(1 + argument as u64 % self.next), cause: 16 }),
        }
    }
}

proptest! {
    /// Guards the rules under any file and any sequence of events: number of attempts, their times, copies,
    /// windows, and one answer.
    #[test]
    fn the_guards_hold_whatever_the_file_says(
        first in model(), second in model(),
        steps in proptest::collection::vec((0u8..16, any::<u16>()), 1..300), at in 0usize..300,
    ) {
        let mut audit = Audit::new(first);
        let mut second = Some(second);
        for (number, (kind, argument)) in steps.into_iter().enumerate() {
            if number == at {
                audit.load_file(second.take().expect("once"));
            }
            audit.step(kind, argument);
        }
        // After all deadlines nothing is pending, and no budget is held.
        for _ in 0..80 {
            audit.now += 0.1;
            audit.handle(Input::Tick);
        }
        prop_assert_eq!(audit.core.pending(), 0);
        let now = audit.now;
        for reading in audit.core.limits_view(now).readings {
            prop_assert_eq!(reading.in_flight, 0, "{} in flight at {}", reading.in_flight, reading.name);
        }
    }
}

fn audit(model: Model) -> Audit {
    Audit::new(model)
}

fn figures(of: crate::decide::limits::Figures) -> Model {
    Model { default: of, classes: vec![Default::default(); 3], routes: vec![] }
}

fn refusals(effects: &[Effect]) -> Vec<(Refusal, Seconds)> {
    let refusal = |e: &Effect| match e {
        Effect::Refused { why, retry_in_s, .. } => Some((*why, *retry_in_s)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

/// Guards owners: a job whose retry budget is exhausted is answered at once, not after a pause and not near
/// the deadline.
#[test]
fn an_exhausted_budget_answers_at_once() {
    let budget = Some(crate::decide::limits::Budget { share: 0.0, floor: 0 });
    let mut audit = audit(figures(crate::decide::limits::Figures { budget, ..Default::default() }));
    audit.submit(0, "a", true);
    let (job, machine, attempt, _) = audit.open(0).expect("a launch");
    audit.core.apply(audit.now, Input::Sent { job, attempt }, &mut Vec::new());
    let mut effects = Vec::new();
    let ended = Input::Ended {
        machine,
        job,
        before: Outcome::Full,
        after: Outcome::Ok,
        why: Reason::NoCores,
        report: None,
    };
    audit.core.apply(audit.now, ended, &mut effects);
    let refused = refusals(&effects);
    assert_eq!(refused.len(), 1, "{effects:?}");
    assert_eq!(refused[0].0, Refusal::Limit(Why::RetryBudget));
    assert!(refused[0].1 > 5.0, "the retry delay lasts until the budget has room: {refused:?}");
    assert_eq!(audit.core.job_view_of(job).expect("a job").phase, Phase::Refused);
}

/// Guards pending jobs against a file that is loaded while they wait, and new jobs against the former file.
#[test]
fn a_job_keeps_the_limits_under_which_it_was_accepted() {
    let of = |attempts| {
        figures(crate::decide::limits::Figures {
            attempts: Some(attempts),
            total_s: Some(2.0),
            ..Default::default()
        })
    };
    let mut audit = audit(of(3));
    audit.submit(0, "a", false);
    audit.load_file(of(1));
    audit.submit(0, "a", false);
    for _ in 0..60 {
        audit.now += 0.05;
        for skip in 0..2 {
            if let Some((job, machine, attempt, _)) = audit.open(skip) {
                audit.jobs.get_mut(&job).expect("a job").sent = true;
                audit.handle(Input::Sent { job, attempt });
                audit.end_attempt(job, false);
                let (before, after, why) = (Outcome::Full, Outcome::Ok, Reason::LineFull);
                audit.handle(Input::Ended { machine, job, before, after, why, report: None });
            }
        }
        audit.handle(Input::Tick);
    }
    let launches: Vec<usize> = audit.jobs.values().map(|e| e.launches).collect();
    assert_eq!(launches, [3, 1]);
    assert!(audit.jobs.values().all(|e| e.answers == 1));
}

/// Guards memory over many reloads while jobs come and go.
#[test]
fn reloads_leak_no_gauges() {
    let mut audit = audit(Model::default());
    for n in 0..500 {
        let matching = crate::decide::limits::Matching {
            front: None,
            class: None,
            service: crate::decide::limits::Pattern::Any,
            zone: None,
            cores: None,
            memory: None,
        };
        let figures = crate::decide::limits::Figures { in_flight: Some(5), ..Default::default() };
        let route = crate::decide::limits::Route { name: format!("r{n}").into(), matching, figures };
        let classes = vec![Default::default(); 3];
        audit.load_file(Model { default: Default::default(), classes, routes: vec![route] });
        audit.submit(0, "a", false);
        audit.now += 0.1;
        audit.handle(Input::Tick);
        assert!(audit.core.gauges_kept() < 100, "{}", audit.core.gauges_kept());
    }
    for _ in 0..100 {
        audit.now += 0.1;
        audit.handle(Input::Tick);
    }
    assert_eq!(audit.core.gauges_kept(), 1);
}

/// Guards a keyed job whose first attempt may have run against a file that shortens its repeat window: the
/// job keeps its own, and only later jobs have the shorter one.
#[test]
fn a_shorter_window_applies_only_to_later_jobs() {
    let of =
        |window_s| figures(crate::decide::limits::Figures { window_s: Some(window_s), ..Default::default() });
    let mut audit = audit(of(6.0));
    for (launches, file) in [(2, Some(of(0.5))), (1, None)] {
        audit.submit(1, "a", true);
        let (job, machine, attempt, _) = audit.open(0).expect("a launch");
        audit.jobs.get_mut(&job).expect("a job").sent = true;
        audit.handle(Input::Sent { job, attempt });
        if let Some(file) = file {
            audit.load_file(file);
        }
        audit.now += 1.0;
        audit.end_attempt(job, true);
        let (before, after, why) = (Outcome::Error, Outcome::Ok, Reason::Unknown);
        audit.handle(Input::Ended { machine, job, before, after, why, report: None });
        assert_eq!(audit.jobs[&job].launches, launches, "attempts one second after the first");
        audit.handle(Input::Cancel { job, cause: 16 });
        audit.end_attempt(job, true);
    }
}
