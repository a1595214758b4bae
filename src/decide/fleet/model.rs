//! A model check of slot ownership: planners that vote run the real code. The checker tries every order of
//! claims, votes, losses, duplicates, crashes and pauses, on clocks that diverge, up to a bounded depth. The
//! property: no slot is held by two incarnations at once.

use super::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Ticks of each planner's clock in one step of true time: the rates differ by a fifth.
const RATES: [u64; 3] = [9, 8, 10];
const TERMS: Terms = Terms { lease: 30, rate_error_ppm: 150_000, ask_every: 10, floor_permille: 0 };
const MAX_TIME_STEPS: u64 = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Claim(Incarnation, super::Claim),
    Vote(Vote),
}

type Envelope = (Member, Member, Message);

#[derive(Clone, Debug, PartialEq, Hash)]
struct State {
    now: u64,
    planners: Vec<Fleet>,
    /// Messages in transit; a delivered one may be delivered again.
    net: BTreeSet<Envelope>,
    crashes: u8,
    give_backs: u8,
}

impl State {
    fn clock(&self, index: usize) -> Micros {
        1_000 + self.now * RATES[index]
    }

    /// The number of planners that hold a slot now.
    fn holders(&self, slot: Member) -> usize {
        let holds = |(index, p): (usize, &Fleet)| {
            p.slot_leases().slots.iter().any(|(held, until)| *held == slot && self.clock(index) < *until)
        };
        self.planners.iter().enumerate().filter(|(index, p)| holds((*index, p))).count()
    }

    fn send(&mut self, index: usize, claims: Vec<(Member, super::Claim)>) {
        let incarnation = self.planners[index].incarnation;
        self.net.extend(
            claims.into_iter().map(|(to, claim)| (index as Member, to, Message::Claim(incarnation, claim))),
        );
    }

    fn deliver(&mut self, envelope: Envelope) {
        self.deliver_at(envelope, self.clock(usize::from(envelope.1)));
    }

    fn deliver_at(&mut self, (from, to, content): Envelope, clock: Micros) {
        let index = usize::from(to);
        match content {
            Message::Claim(incarnation, claim) => {
                let vote = self.planners[index].on_claim(clock, (from, incarnation), claim);
                self.net.extend(vote.map(|vote| (to, from, Message::Vote(vote))));
            }
            Message::Vote(vote) => {
                let claims = self.planners[index].on_vote(clock, from, vote);
                self.send(index, claims);
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(Envelope, bool),
    Lose(Envelope),
    Tick(usize),
    Crash(usize),
    /// The planner gives its slots back.
    GiveBack(usize),
    Time,
}

struct World {
    voters: Vec<Member>,
    /// The planners that tick, and those that may crash.
    ticking: Vec<usize>,
    crashing: Vec<usize>,
    crashes: u8,
    give_backs: u8,
    /// The planners that hold slots at the start.
    initial_holders: Vec<usize>,
    net: usize,
}

impl World {
    fn planner(&self, me: usize, incarnation: Incarnation, now: Micros) -> Fleet {
        Fleet::new((me as Member, 3), incarnation, self.voters.clone(), TERMS, now)
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let began = 1_000 - TERMS.lender_term() - TERMS.lease;
        let planners = (0..3).map(|me| self.planner(me, me as Incarnation + 1, began)).collect();
        let mut state = State { now: 0, planners, net: BTreeSet::new(), crashes: 0, give_backs: 0 };
        // The last claims of the initial holders are answered just before the start.
        for early in (1..=3).rev().map(|round| 8 * round) {
            for index in &self.initial_holders {
                let claims = state.planners[*index].tick(1_000 - early);
                state.send(*index, claims);
                while let Some(envelope) = state.net.pop_first() {
                    state.deliver_at(envelope, 1_000 - early);
                }
            }
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for envelope in &state.net {
            actions.extend([
                Step::Deliver(*envelope, false),
                Step::Deliver(*envelope, true),
                Step::Lose(*envelope),
            ]);
        }
        actions.extend(self.ticking.iter().map(|&index| Step::Tick(index)));
        if state.crashes < self.crashes {
            actions.extend(self.crashing.iter().map(|&index| Step::Crash(index)));
        }
        if state.give_backs < self.give_backs {
            actions.push(Step::GiveBack(0));
        }
        if state.now < MAX_TIME_STEPS {
            actions.push(Step::Time);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Deliver(envelope, stays) => {
                state.deliver(envelope);
                if !stays {
                    state.net.remove(&envelope);
                }
            }
            Step::Lose(envelope) => _ = state.net.remove(&envelope),
            Step::Tick(index) => {
                let clock = state.clock(index);
                let claims = state.planners[index].tick(clock);
                state.send(index, claims);
            }
            Step::Crash(index) => {
                let (clock, incarnation) = (state.clock(index), state.planners[index].incarnation + 10);
                state.planners[index] = self.planner(index, incarnation, clock);
                state.crashes += 1;
            }
            Step::GiveBack(index) => {
                let clock = state.clock(index);
                for (slot, _) in state.planners[index].slot_leases().slots.clone() {
                    let claims = state.planners[index].give_back(clock, slot);
                    state.send(index, claims);
                }
                state.give_backs += 1;
            }
            Step::Time => state.now += 1,
        }
        (state != *last && state.net.len() <= self.net).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no slot is held by two planners", |_, state: &State| {
                (0..3).all(|slot| state.holders(slot) <= 1)
            }),
            Property::sometimes("a caretaker holds another planner's slot", |_, state: &State| {
                let slots = |index: usize| &state.planners[index].slot_leases().slots;
                (0..3).any(|index| {
                    let clock = state.clock(index);
                    slots(index).iter().any(|(slot, until)| usize::from(*slot) != index && clock < *until)
                })
            }),
            Property::sometimes("a slot expires", |_, state: &State| state.holders(0) == 0 && state.now > 0),
        ]
    }
}

fn check(world: World, depth: usize, min_states: usize) {
    let checker = world.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > min_states, "{} states", checker.unique_state_count());
}

/// The planner that takes over the slot of planner 0 if all others are present.
fn caretaker() -> usize {
    (1..3u16).max_by_key(|member| stable_hash((0u16, member))).map_or(1, usize::from)
}

#[test]
fn three_voters_give_no_slot_twice() {
    let ticking = vec![0, caretaker()];
    let world = World {
        voters: vec![0, 1, 2],
        ticking,
        crashing: vec![3 - caretaker()],
        crashes: 1,
        give_backs: 0,
        initial_holders: vec![0, caretaker()],
        net: 3,
    };
    check(world, 11, 20_000);
}

#[test]
fn one_voter_gives_no_slot_twice_over_crashes_and_gifts() {
    let (crashing, ticking) = (vec![0, 2], vec![0, caretaker()]);
    check(
        World {
            voters: vec![2],
            ticking,
            crashing,
            crashes: 1,
            give_backs: 1,
            initial_holders: vec![0, caretaker()],
            net: 3,
        },
        10,
        50_000,
    );
}

/// A planner that comes back gets its slot only after its caretaker has lost it.
#[test]
fn a_planner_that_is_back_and_its_caretaker_never_hold_its_slot_together() {
    let caretaker_index = caretaker();
    let world = World {
        voters: vec![3 - caretaker_index as Member],
        ticking: vec![0, caretaker_index],
        crashing: vec![],
        crashes: 0,
        give_backs: 0,
        initial_holders: vec![caretaker_index],
        net: 3,
    };
    let first = &world.init_states()[0];
    let slots: Vec<Member> =
        first.planners[caretaker_index].slot_leases().slots.iter().map(|(slot, _)| *slot).collect();
    assert!(slots.contains(&0), "the caretaker holds the slot at the start: {slots:?}");
    assert!(
        RATES[caretaker_index] < RATES[3 - caretaker_index],
        "the caretaker's clock is slower than its voter's"
    );
    check(world, 10, 20_000);
}
