//! Tasks that owners hand over: each is released exactly once, whatever the machine reported before.

use super::*;

fn released(job: u64, outcome: Outcome) -> Effect {
    Effect::Released { owner: Owner::Link(1), job: RequestId(job), outcome }
}

impl Bench {
    /// The machine reports the end of a running task.
    fn end_running(&mut self, machine: u32, job: u64, after: Outcome) -> Vec<Effect> {
        let (machine, before, why) = (MachineId(machine), Outcome::Lost, Reason::Unknown);
        self.apply_input(Input::Ended { machine, job: RequestId(job), before, after, why, report: None })
    }
}

/// Guards against a task that is never released because its machine reported the end to a restarted planner
/// before the owner handed the task over.
#[test]
fn an_end_reported_before_the_adoption_is_released() {
    for (after, outcome) in [
        (Outcome::Ok, Outcome::Ok),
        (Outcome::Lost, Outcome::Lost),
        // The owner reports the task as running, so it has not cancelled it.
        (Outcome::Cancelled, Outcome::Lost),
    ] {
        let mut bench = Bench::new("repeatable");
        assert_eq!(bench.end_running(0, 1, after), [], "nobody to notify yet");
        bench.now += 5.0;
        assert_eq!(bench.adopt(1, 0), [released(1, outcome)]);
        assert_eq!((bench.core.running_at(MachineId(0)), bench.core.pending()), (0, 0));
    }
}

/// Guards against the same loss after a planner considered a machine lost: the end of a task that is no longer
/// known is kept for the adoption, too.
#[test]
fn an_end_reported_between_a_loss_and_the_adoption_is_released() {
    let mut bench = Bench::new("repeatable");
    bench.core.bounds.over = 0;
    bench.adopt(1, 0);
    bench.apply_input(Input::MachineLost { machine: MachineId(0) });
    bench.end_running(0, 1, Outcome::Ok);
    bench.now += 3.0;
    assert_eq!(bench.adopt(1, 0), [released(1, Outcome::Ok)]);
}

/// Guards running tasks against reports that are not about them: of another machine, or long past.
#[test]
fn an_end_elsewhere_or_long_ago_releases_nothing() {
    let mut bench = Bench::new("repeatable");
    bench.end_running(1, 1, Outcome::Ok);
    assert!(!bench.adopt(1, 0).contains(&released(1, Outcome::Ok)), "it ended at another machine");
    bench.end_running(0, 2, Outcome::Ok);
    bench.tick_at(1000.0);
    assert_eq!(bench.core.unclaimed_ends.next_expiry(), None, "nothing is kept once its time is up");
    assert!(!bench.adopt(2, 0).contains(&released(2, Outcome::Ok)), "the report is too old");
    assert_eq!(bench.core.running_at(MachineId(0)), 2);
}

/// Guards against a task that is never released because a finished job with its id is still kept for reading:
/// the owner was notified of a loss, found the task running and hands it over.
#[test]
fn a_finished_job_can_be_adopted() {
    let mut bench = Bench::new("repeatable");
    bench.adopt(1, 0);
    bench.apply_input(Input::MachineLost { machine: MachineId(0) });
    let lost_at = bench.now;
    bench.now += 3.0;
    bench.adopt(1, 0);
    assert_eq!(bench.core.running_at(MachineId(0)), 1);
    let kept_for = bench.core.bounds.over_s;
    assert_eq!(bench.tick_at(lost_at + kept_for + 1.0), [], "the time for reading the first job is up");
    assert_eq!(bench.core.running_at(MachineId(0)), 1);
    assert_eq!(bench.end_running(0, 1, Outcome::Ok), [released(1, Outcome::Ok)]);
}

fn orders(effects: &[Effect]) -> usize {
    let is = |e: &&Effect| matches!(e, Effect::Stop { .. } | Effect::CancelAttempt { .. });
    effects.iter().filter(is).count()
}

/// Guards a task that was lost and is handed over, to this planner or to another one, against an order to stop it
/// that this planner left behind when it considered the machine lost.
#[test]
fn a_lost_task_of_the_platform_is_not_ordered_to_stop() {
    let unreachable = Input::MachineLost { machine: MachineId(0) };
    for loss in [unreachable, refused(MachineId(0), 0.0)] {
        let mut bench = Bench::new("repeatable");
        bench.adopt(1, 0);
        let lost = bench.apply_input(loss);
        assert!(lost.contains(&released(1, Outcome::Lost)));
        assert_eq!(orders(&lost), 0);
        assert_eq!(orders(&bench.apply_input(Input::LinkUp { machine: MachineId(0) })), 0);
    }
    let mut bench = Bench::new("repeatable");
    bench.adopt(1, 0);
    let unlisted = bench.list(&[(0, Standing::Gone)]);
    assert!(unlisted.contains(&released(1, Outcome::Lost)));
    assert_eq!(orders(&unlisted), 0);
}

/// Guards an owner against a task that is cut without notice by the cancellation of an attempt: the planner gave
/// the attempt up, the machine heard of it only after the owner had handed the task over.
#[test]
fn a_task_cut_by_an_earlier_cancellation_is_released() {
    let mut bench = Bench::new("once");
    let machine = launched(&bench.submit(1, None)).expect("a launch");
    bench.sent(1, 0);
    bench.apply_input(Input::OwnerFaulty { link: 1 });
    assert!(bench.core.possible_copies.may_run(RequestId(1)));
    bench.now += 3.0;
    bench.adopt(1, machine.0);
    assert_eq!(bench.end_running(machine.0, 1, Outcome::Cancelled), [released(1, Outcome::Lost)]);
}

/// Guards owners against a release that they are not owed: they stopped the task themselves.
#[test]
fn a_task_that_its_owner_stopped_is_not_released() {
    let mut bench = Bench::new("repeatable");
    bench.adopt(1, 0);
    let stopped = bench.apply_input(Input::OwnerRelease { link: 1, job: RequestId(1), cause: 16 });
    assert_eq!(orders(&stopped), 1);
    assert_eq!(bench.end_running(0, 1, Outcome::Cancelled), []);
}

/// Guards an owner whose task was cut by an order that this planner did not give: cause 31 excuses the release only of
/// what its owner ended, and this owner has not.
#[test]
fn a_task_cut_by_another_planners_order_is_released() {
    let mut bench = Bench::new("once");
    bench.adopt(1, 0);
    assert_eq!(bench.end_running(0, 1, Outcome::Cancelled), [released(1, Outcome::Lost)]);
    assert_eq!(bench.end_running(0, 1, Outcome::Cancelled), [], "once, also if the machine reports it again");
}
