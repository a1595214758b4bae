//! Tests of the group's state machine, the fit and the learned start times at their edge cases.

use super::fit::{admit, retry_after, DoesNotFit, Need};
use super::starts::{Ends, Starts};
use super::*;
use crate::placer::{MachineId, Room, ServiceId, Space};

fn policy() -> Policy {
    let (partial_s, cut_wait_s, pause_s) = (1.0, 0.25, (0.1, 0.2));
    Policy { partial_s, cut_wait_s, tries: 2, pause_s, on_loss: OnLoss::Keep, replacements: 1 }
}

struct Rig {
    group: Group,
    now: Seconds,
}

impl Rig {
    fn new(policy: Policy, starts: &[Seconds]) -> Rig {
        let mut rig = Rig { group: Group::new(policy, 110.0, starts.to_vec(), 1), now: 100.0 };
        let mut actions = Vec::new();
        rig.group.begin(rig.now, &mut actions);
        assert!(actions.contains(&Action::Admit));
        rig
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.group.handle(self.now, event, &mut actions);
        actions
    }

    fn at(&mut self, now: Seconds) -> Vec<Action> {
        self.now = now;
        self.handle(Event::Tick)
    }

    fn stands(&mut self, member: MemberNo) -> Vec<Action> {
        self.handle(Event::Stands { member })
    }
}

fn placed(actions: &[Action]) -> Vec<MemberNo> {
    actions.iter().filter_map(|a| if let Action::Place(at) = a { Some(*at) } else { None }).collect()
}

fn cut(actions: &[Action]) -> Vec<MemberNo> {
    actions.iter().filter_map(|a| if let Action::Cut(at) = a { Some(*at) } else { None }).collect()
}

fn answer(actions: &[Action]) -> Option<Answer> {
    actions.iter().find_map(|a| if let Action::Answer(answer) = a { Some(*answer) } else { None })
}

/// Guards against a group that stands in part for long: members that start slowly are submitted first, so
/// that all start at about the same time.
#[test]
fn slow_members_go_first() {
    let mut rig = Rig::new(policy(), &[0.1, 1.0, 0.4]);
    assert_eq!(placed(&rig.handle(Event::Admitted)), [1]);
    assert_eq!(placed(&rig.at(100.6)), [2]);
    assert_eq!(placed(&rig.at(100.9)), [0]);
    let last = [1, 2, 0].map(|at| rig.stands(at));
    assert_eq!(answer(&last[2]), Some(Answer::Placed));
}

/// Guards against members that keep running when the last one is refused: 31 of 32 stand, and all are cut at
/// once.
#[test]
fn the_last_refused_cuts_all_others() {
    let mut rig = Rig::new(Policy { tries: 1, ..policy() }, &[0.0; 32]);
    assert_eq!(placed(&rig.handle(Event::Admitted)).len(), 32);
    (0..31).for_each(|at| assert_eq!(answer(&rig.stands(at)), None));
    let actions = rig.handle(Event::Refused { member: 31, retry_in_s: 0.5 });
    assert_eq!(cut(&actions).len(), 32);
    assert_eq!(rig.group.phase(), Phase::Releasing);
    let last = (0..32).map(|member| rig.handle(Event::Clear { member })).last().expect("actions");
    assert!(
        matches!(answer(&last), Some(Answer::Refused { why: Why::Refused, retry_in_s }) if retry_in_s >= 0.5)
    );
    assert_eq!(rig.group.phase(), Phase::Over);
}

/// Guards machines against a group that stands in part: it is cut before a second has passed.
#[test]
fn a_partial_group_is_cut_in_time() {
    let mut rig = Rig::new(policy(), &[0.0, 0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    assert_eq!(cut(&rig.at(100.79)), Vec::<usize>::new());
    assert_eq!(cut(&rig.at(100.8)), [0, 1]);
    assert_eq!(rig.group.why(), Some(Why::Partial));
}

/// Guards owners against a machine that does not respond: it delays the answer for at most the configured
/// time, and the answer is a failure, not a refusal.
#[test]
fn an_answer_does_not_wait_for_a_silent_machine() {
    let mut rig = Rig::new(policy(), &[0.0, 0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    rig.now = 100.1;
    rig.handle(Event::Failed { member: 1 });
    rig.handle(Event::Clear { member: 1 });
    assert_eq!(answer(&rig.at(100.34)), None);
    assert_eq!(answer(&rig.at(100.35)), Some(Answer::Failed { why: Why::Failed }));
    assert_eq!(rig.group.unproved().collect::<Vec<_>>(), [0]);
}

/// Guards tries of the whole group: they are bounded, follow a pause, and start only once all members are
/// proved gone.
#[test]
fn the_whole_is_tried_again_once_all_is_gone() {
    let mut rig = Rig::new(policy(), &[0.0, 0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    rig.handle(Event::Refused { member: 1, retry_in_s: 0.0 });
    rig.handle(Event::Clear { member: 1 });
    assert_eq!(rig.group.phase(), Phase::Releasing);
    rig.handle(Event::Clear { member: 0 });
    assert_eq!(rig.group.phase(), Phase::Admitting);
    assert_eq!(rig.at(100.05), []);
    assert!(rig.at(100.2).contains(&Action::Admit));
    assert_eq!(placed(&rig.handle(Event::Admitted)), [0, 1]);
    rig.handle(Event::Refused { member: 0, retry_in_s: 0.0 });
    let last = [0, 1].map(|member| rig.handle(Event::Clear { member }));
    assert!(matches!(answer(&last[1]), Some(Answer::Refused { .. })), "two tries and no more");
}

/// Guards against a false refusal: a member that finished while others were starting cannot be undone.
#[test]
fn what_ran_to_its_end_is_no_refusal() {
    let mut rig = Rig::new(policy(), &[0.0, 0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    rig.handle(Event::Finished { member: 0 });
    rig.handle(Event::Refused { member: 1, retry_in_s: 0.0 });
    let last = rig.handle(Event::Clear { member: 1 });
    assert_eq!(answer(&last), Some(Answer::Failed { why: Why::Refused }));
}

/// Guards the members that stand when one is lost: they are kept, cut or joined by a replacement, as the
/// group requested.
#[test]
fn a_loss_is_kept_cut_or_replaced() {
    for on_loss in [OnLoss::Keep, OnLoss::Cut, OnLoss::Replace] {
        let mut rig = Rig::new(Policy { on_loss, ..policy() }, &[0.0, 0.0]);
        rig.handle(Event::Admitted);
        [0, 1].iter().for_each(|&at| drop(rig.stands(at)));
        let lost = rig.handle(Event::Lost { member: 0 });
        let cleared = rig.handle(Event::Clear { member: 0 });
        match on_loss {
            OnLoss::Keep => assert_eq!((cut(&lost), rig.group.phase()), (vec![0], Phase::Standing)),
            OnLoss::Cut => assert_eq!((cut(&lost), rig.group.phase()), (vec![0, 1], Phase::Releasing)),
            OnLoss::Replace => {
                assert_eq!(placed(&cleared), [0]);
                rig.stands(0);
                let again = rig.handle(Event::Lost { member: 0 });
                assert_eq!(cut(&again), [0, 1], "replaced once and no more");
            }
        }
        assert_eq!(answer(&lost).or(answer(&cleared)), None, "the answer was given before");
    }
}

/// Guards groups when the planner shuts down or the owner cancels: a group of which not all members stand is
/// cut in both cases, one of which all stand only if its owner cancels it.
#[test]
fn a_stop_gives_up_what_does_not_stand() {
    let mut rig = Rig::new(policy(), &[0.0, 0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    assert_eq!(cut(&rig.handle(Event::Stop)), [0, 1]);
    let mut rig = Rig::new(policy(), &[0.0]);
    rig.handle(Event::Admitted);
    rig.stands(0);
    assert_eq!(rig.handle(Event::Stop), []);
    assert_eq!(cut(&rig.handle(Event::Cancel)), [0]);
    assert_eq!(rig.handle(Event::Clear { member: 0 }), [Action::Over]);
}

fn space(machine: u32, cores: f64, offers: usize) -> Space {
    let room = |cores: f64| Room { cores, memory: 2.0 * cores };
    let (machine, left, size, limit) = (MachineId(machine), room(cores), room(10.0), room(10.0));
    Space { machine, left, size, limit, kind: Some(0), offers }
}

fn needs(count: usize, cores: f64) -> Vec<Need> {
    vec![Need { room: Room { cores, memory: cores }, kind: None }; count]
}

/// Guards machines: a group is admitted only if all of it fits beside the reservations of other groups.
#[test]
fn a_group_fits_whole_or_is_rejected() {
    let spaces = [space(0, 4.0, 9), space(1, 4.0, 9)];
    assert_eq!(admit(&needs(4, 2.0), &spaces, &[], 1.0), Ok(()));
    assert_eq!(admit(&needs(5, 2.0), &spaces, &[], 1.0), Err(DoesNotFit::Now));
    assert_eq!(
        admit(&needs(2, 3.0), &spaces, &needs(1, 3.0), 1.0),
        Err(DoesNotFit::Now),
        "room for one is reserved"
    );
    assert_eq!(admit(&needs(1, 11.0), &spaces, &[], 1.0), Err(DoesNotFit::Ever));
    assert_eq!(admit(&needs(21, 1.0), &spaces, &[], 1.0), Err(DoesNotFit::Ever), "larger than all machines");
    assert_eq!(admit(&needs(6, 1.0), &spaces, &[], 0.25), Err(DoesNotFit::Share));
    let cold = [space(0, 9.0, 1), space(1, 9.0, 2)];
    assert_eq!(
        admit(&needs(4, 1.0), &cold, &[], 1.0),
        Err(DoesNotFit::Now),
        "a cold machine takes a limited number of offers"
    );
    assert_eq!(admit(&needs(3, 1.0), &cold, &[], 1.0), Ok(()));
}

/// Guards clients: the retry time follows from the shortfall and from how fast room comes free.
#[test]
fn the_retry_time_follows_from_the_shortfall() {
    let mut ends = Ends::default();
    (0..100).for_each(|n| ends.count(100.0 + f64::from(n) / 10.0, Room { cores: 1.0, memory: 1.0 }));
    let (rate, mean) = (ends.rate(110.0), ends.mean());
    let spaces = [space(0, 4.0, 9)];
    let (near, far) =
        (retry_after(&needs(5, 1.0), &spaces, rate, mean), retry_after(&needs(40, 1.0), &spaces, rate, mean));
    assert!(near < far && far < 30.0, "{near} {far}");
    assert_eq!(retry_after(&needs(5, 1.0), &spaces, 0.0, mean), 30.0, "nothing ends");
}

/// Guards the planner's memory against an unbounded number of services, and keeps the samples of frequent
/// ones.
#[test]
fn starts_are_learned_and_bounded() {
    let mut starts = Starts::default();
    assert_eq!(starts.expected(ServiceId(1)), 0.0);
    for n in 0..10_000 {
        starts.learn(100.0 + n as f64, ServiceId(n), 0.1);
        starts.learn(100.0 + n as f64, ServiceId(7), 1.0);
    }
    assert!((starts.expected(ServiceId(7)) - 1.0).abs() < 1e-9);
    assert!(starts.expected(ServiceId(1)) > 0.1, "evicted: the mean of all applies");
    assert!((starts.expected(ServiceId(9_999)) - 0.1).abs() < 1e-9);
}
