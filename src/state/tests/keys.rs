//! A key of the REST API while a copy of an earlier job with it may run: no way to end that job frees the key before
//! the copy is proved gone.

use super::*;
use crate::decide::machine_loss::FormerConnection;

const KEY: &str = "notice-1";

impl Bench {
    /// A bench whose settings allow connection checks.
    fn with_probes() -> Bench {
        let mut bench = Bench::new("by_key");
        bench.core.settings.probes = true;
        bench
    }

    /// Submits a keyed job of the REST API whose attempt is sent; returns its machine.
    fn send_keyed(&mut self, job: u64) -> MachineId {
        let machine = launched(&self.submit(job, Some(KEY))).expect("a launch");
        self.sent(job, 0);
        machine
    }

    /// The machine confirms all that was written to it.
    fn answer_checks(&mut self, machine: MachineId, effects: &[Effect]) {
        let fences = effects.iter().filter_map(|effect| match effect {
            Effect::SendFence { machine: to, ask } if *to == machine => Some(*ask),
            _ => None,
        });
        for ask in fences.collect::<Vec<u64>>() {
            self.apply_input(Input::FenceAnswered { machine, ask });
        }
    }
}

/// Whether the job was turned away because a copy with its key may run.
fn is_held(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Refused { why: Refusal::CopyMayRun, .. }))
}

/// The ways in which a job can end without proof that its copy is gone.
#[derive(Clone, Copy, Debug)]
enum Unproved {
    /// The machine does not confirm the cancellation of the attempt.
    TimedOut,
    /// The connection with the attempt breaks.
    LinkBroken,
    /// The client deletes the job while its attempt is open.
    CancelledWhilePending,
    /// The client deletes the job while it runs.
    CancelledWhileRunning,
    /// The machine is out of reach, and its tasks count as lost.
    Lost,
    /// The job ended without confirmation, and its record is forgotten.
    Forgotten,
}

impl Unproved {
    /// Has the job 1 end this way.
    fn end(self, bench: &mut Bench, machine: MachineId) {
        match self {
            Unproved::TimedOut => {
                bench.tick_at(104.99);
                bench.tick_at(106.5);
            }
            Unproved::LinkBroken => {
                bench.apply_input(Input::LinkBroken { machine, end: ConnectionEnd::Unconfirmed });
            }
            Unproved::CancelledWhilePending => {
                bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
            }
            Unproved::CancelledWhileRunning => {
                bench.bound(machine, 1);
                bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
            }
            Unproved::Lost => {
                bench.bound(machine, 1);
                bench.apply_input(Input::MachineLost { machine });
            }
            Unproved::Forgotten => {
                Unproved::TimedOut.end(bench, machine);
                bench.tick_at(bench.now + 200.0);
                assert!(bench.core.job(RequestId(1)).is_none(), "it is still kept for reading");
            }
        }
    }
}

const WAYS: [Unproved; 6] = [
    Unproved::TimedOut,
    Unproved::LinkBroken,
    Unproved::CancelledWhilePending,
    Unproved::CancelledWhileRunning,
    Unproved::Lost,
    Unproved::Forgotten,
];

/// Guards a REST client that comes again under its key, as it is told: the key started a second copy beside the first
/// once the repeat window was over, or at once where the job counted as cancelled or lost.
#[test]
fn a_key_starts_no_copy_while_another_may_run() {
    for way in WAYS {
        let mut bench = Bench::with_probes();
        let machine = bench.send_keyed(1);
        way.end(&mut bench, machine);
        assert!(bench.core.job(RequestId(1)).is_none_or(|job| job.phase.is_over()), "{way:?}: it is over");
        assert!(is_held(&bench.submit(2, Some(KEY))), "{way:?}: its key is free at once");
        bench.now += 30.0;
        assert!(is_held(&bench.submit(3, Some(KEY))), "{way:?}: its key is free after the window");
        assert!(!is_held(&bench.submit(4, Some("notice-2"))), "{way:?}: another key is not free");
    }
}

/// Guards clients against a key that stays held: the next connection to the machine begins with the order to stop the
/// copy, and the answer to the check behind it frees the key.
#[test]
fn a_key_is_free_once_its_machine_has_confirmed_the_stop() {
    for way in WAYS {
        let mut bench = Bench::with_probes();
        let machine = bench.send_keyed(1);
        way.end(&mut bench, machine);
        bench.now += 1.0;
        let effects = bench.apply_input(Input::LinkUp { machine });
        let stop = Effect::Stop { machine, job: RequestId(1), cause: CAUSE_CUT };
        assert!(effects.contains(&stop), "{way:?}: {effects:?}");
        assert!(is_held(&bench.submit(2, Some(KEY))), "{way:?}: not confirmed yet");
        bench.answer_checks(machine, &effects);
        assert!(!is_held(&bench.submit(3, Some(KEY))), "{way:?}: confirmed");
        let effects = bench.apply_input(Input::LinkUp { machine });
        assert!(!effects.contains(&stop), "{way:?}: the order is not repeated any more");
    }
}

/// Guards keys against the answer to a check of a connection that has ended: the order to stop was lost with it.
#[test]
fn a_check_of_a_former_connection_frees_no_key() {
    let mut bench = Bench::with_probes();
    let machine = bench.send_keyed(1);
    bench.bound(machine, 1);
    let effects = bench.apply_input(Input::Cancel { job: RequestId(1), cause: 16 });
    let next = bench.apply_input(Input::LinkUp { machine });
    bench.answer_checks(machine, &effects);
    assert!(is_held(&bench.submit(2, Some(KEY))));
    bench.answer_checks(machine, &next);
    assert!(!is_held(&bench.submit(3, Some(KEY))));
}

/// Guards clients against a key that stays held after its copy has ended: the machine's report, its restart and its
/// leaving the list free it, and wake those who wait.
#[test]
fn a_key_is_free_once_its_copy_has_ended() {
    type Proof = fn(&mut Bench, MachineId) -> Vec<Effect>;
    let proofs: [Proof; 2] = [
        |bench, machine| bench.end(machine, 1, Outcome::Cancelled),
        |bench, machine| bench.list(&[(machine.0, Standing::Gone)]),
    ];
    for proof in proofs {
        let mut bench = Bench::with_probes();
        let machine = bench.send_keyed(1);
        Unproved::Lost.end(&mut bench, machine);
        assert!(is_held(&bench.submit(2, Some(KEY))));
        for effect in proof(&mut bench, machine) {
            if let Effect::Disconnect { departure, .. } = effect {
                bench.apply_input(Input::Departed { departure, end: ConnectionEnd::SeenByMachine });
            }
        }
        assert!(!is_held(&bench.submit(3, Some(KEY))));
    }
}

/// Guards owners of the platform: they look themselves whether a task runs, and come again with its key.
#[test]
fn a_key_of_the_platform_is_not_held() {
    let mut bench = Bench::with_probes();
    let keyed = |job: u64, bench: &Bench| {
        let task = Task {
            class: 0,
            tenant: None,
            service: ServiceId(1),
            room: Room { cores: 1.0, memory: 1.0 },
            deadline: bench.now + 5.0,
            expected_runtime_s: None,
            limits: TaskLimits::default(),
        };
        let spec = Spec { class: "c".into(), key: Some(KEY.into()), ..Spec::default() };
        Input::Submit(JobSubmission {
            job: RequestId(job),
            owner: Owner::Link(1),
            spec: Arc::new(spec),
            task,
        })
    };
    let first = keyed(1, &bench);
    let machine = launched(&bench.apply_input(first)).expect("a launch");
    bench.sent(1, 0);
    Unproved::LinkBroken.end(&mut bench, machine);
    let second = keyed(2, &bench);
    assert!(launched(&bench.apply_input(second)).is_some());
}

/// Guards keys against refused dials: however the last connection ended, whatever the list says, and however long the
/// machine has been silent, its copies may run.
#[test]
fn a_refused_dial_frees_no_key() {
    for standing in [Standing::Draining, Standing::Ready] {
        for former_connection in [FormerConnection::Reset, FormerConnection::NotReset] {
            let mut bench = Bench::with_probes();
            let machine = bench.send_keyed(1);
            bench.bound(machine, 1);
            bench.list(&[(machine.0, standing)]);
            for silent_s in [0.0, 3.0, 60.0] {
                bench.now += silent_s;
                let dial = RefusedDial { former_connection, unreported_s: silent_s, silent_s, redial_s: 1.0 };
                bench.apply_input(Input::DialRefused { machine, dial });
            }
            assert!(
                bench.core.job(RequestId(1)).is_some_and(|job| job.phase == Phase::Lost),
                "its client is told"
            );
            assert!(is_held(&bench.submit(2, Some(KEY))), "{standing:?}, {former_connection:?}");
        }
    }
}

/// Guards keys against a list that tells late of a restart: a copy that was begun after it runs in the new process.
#[test]
fn a_restart_frees_the_keys_of_earlier_copies_alone() {
    for (started, is_free) in [(99.0, false), (101.0, true)] {
        let mut bench = Bench::with_probes();
        let machine = bench.send_keyed(1);
        bench.bound(machine, 1);
        bench.now = 102.0;
        bench.apply_input(Input::MachineLost { machine });
        bench.started(machine.0, started);
        assert_eq!(is_held(&bench.submit(2, Some(KEY))), !is_free, "started at {started}");
    }
}
