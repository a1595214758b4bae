//! A model check of who holds a slot: the real code of planners that vote, every order of claims, votes, losses, doublings,
//! crashes and pauses on clocks that run apart, to a bounded depth. The property: no slot is held by two lives at once.

use super::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Ticks of each planner's clock in one step of true time: they run apart by a fifth.
const RATES: [u64; 3] = [9, 8, 10];
const TERMS: Terms = Terms { lease: 30, rate_error_ppm: 150_000, ask_every: 10, floor_permille: 0 };
const STEPS: u64 = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Said {
    Claim(Life, super::Claim),
    Vote(Vote),
}

type Letter = (Member, Member, Said);

#[derive(Clone, Debug, PartialEq, Hash)]
struct State {
    now: u64,
    planners: Vec<Fleet>,
    /// Letters on their way; one that was taken may come again.
    net: BTreeSet<Letter>,
    crashes: u8,
    gifts: u8,
}

impl State {
    fn clock(&self, of: usize) -> Micros {
        1_000 + self.now * RATES[of]
    }

    /// The lives that count on a slot now.
    fn holders(&self, slot: Member) -> usize {
        let holds = |(of, p): (usize, &Fleet)| {
            p.ground().slots.iter().any(|(held, until)| *held == slot && self.clock(of) < *until)
        };
        self.planners.iter().enumerate().filter(|(of, p)| holds((*of, p))).count()
    }

    fn post(&mut self, of: usize, claims: Vec<(Member, super::Claim)>) {
        let life = self.planners[of].life;
        self.net.extend(claims.into_iter().map(|(to, claim)| (of as Member, to, Said::Claim(life, claim))));
    }

    fn take(&mut self, letter: Letter) {
        self.take_at(letter, self.clock(usize::from(letter.1)));
    }

    fn take_at(&mut self, (from, to, said): Letter, clock: Micros) {
        let of = usize::from(to);
        match said {
            Said::Claim(life, claim) => {
                let vote = self.planners[of].claimed(clock, (from, life), claim);
                self.net.extend(vote.map(|vote| (to, from, Said::Vote(vote))));
            }
            Said::Vote(vote) => {
                let claims = self.planners[of].voted(clock, from, vote);
                self.post(of, claims);
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Take(Letter, bool),
    Lose(Letter),
    Tick(usize),
    Crash(usize),
    /// The planner gives its slots back.
    Give(usize),
    Time,
}

struct World {
    voters: Vec<Member>,
    /// Those whose clocks tick, and those that crash.
    ticks: Vec<usize>,
    crash: Vec<usize>,
    crashes: u8,
    gifts: u8,
    /// Who holds slots at the start.
    settled: Vec<usize>,
    net: usize,
}

impl World {
    fn planner(&self, me: usize, life: Life, now: Micros) -> Fleet {
        Fleet::new((me as Member, 3), life, self.voters.clone(), TERMS, now)
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let began = 1_000 - TERMS.lender_term() - TERMS.lease;
        let planners = (0..3).map(|me| self.planner(me, me as Life + 1, began)).collect();
        let mut state = State { now: 0, planners, net: BTreeSet::new(), crashes: 0, gifts: 0 };
        // Their last claims are answered just before the beginning.
        for early in (1..=3).rev().map(|round| 8 * round) {
            for of in &self.settled {
                let claims = state.planners[*of].tick(1_000 - early);
                state.post(*of, claims);
                while let Some(letter) = state.net.pop_first() {
                    state.take_at(letter, 1_000 - early);
                }
            }
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for letter in &state.net {
            actions.extend([Step::Take(*letter, false), Step::Take(*letter, true), Step::Lose(*letter)]);
        }
        actions.extend(self.ticks.iter().map(|&of| Step::Tick(of)));
        if state.crashes < self.crashes {
            actions.extend(self.crash.iter().map(|&of| Step::Crash(of)));
        }
        if state.gifts < self.gifts {
            actions.push(Step::Give(0));
        }
        if state.now < STEPS {
            actions.push(Step::Time);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Take(letter, stays) => {
                state.take(letter);
                if !stays {
                    state.net.remove(&letter);
                }
            }
            Step::Lose(letter) => _ = state.net.remove(&letter),
            Step::Tick(of) => {
                let clock = state.clock(of);
                let claims = state.planners[of].tick(clock);
                state.post(of, claims);
            }
            Step::Crash(of) => {
                let (clock, life) = (state.clock(of), state.planners[of].life + 10);
                state.planners[of] = self.planner(of, life, clock);
                state.crashes += 1;
            }
            Step::Give(of) => {
                let clock = state.clock(of);
                for (slot, _) in state.planners[of].ground().slots.clone() {
                    let claims = state.planners[of].give_back(clock, slot);
                    state.post(of, claims);
                }
                state.gifts += 1;
            }
            Step::Time => state.now += 1,
        }
        (state != *last && state.net.len() <= self.net).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no slot is held twice", |_, state: &State| {
                (0..3).all(|slot| state.holders(slot) <= 1)
            }),
            Property::sometimes("another holds a planner's slot", |_, state: &State| {
                let slots = |of: usize| &state.planners[of].ground().slots;
                (0..3).any(|of| {
                    let clock = state.clock(of);
                    slots(of).iter().any(|(slot, until)| usize::from(*slot) != of && clock < *until)
                })
            }),
            Property::sometimes("a slot lapses", |_, state: &State| state.holders(0) == 0 && state.now > 0),
        ]
    }
}

fn check(world: World, depth: usize, least: usize) {
    let checker = world.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > least, "{} states", checker.unique_state_count());
}

/// The planner that takes over the slot of planner 0 where all others are here.
fn caretaker() -> usize {
    (1..3u16).max_by_key(|member| mixed((0u16, member))).map_or(1, usize::from)
}

#[test]
fn three_voters_give_no_slot_twice() {
    let ticks = vec![0, caretaker()];
    let world = World {
        voters: vec![0, 1, 2],
        ticks,
        crash: vec![3 - caretaker()],
        crashes: 1,
        gifts: 0,
        settled: vec![0, caretaker()],
        net: 3,
    };
    check(world, 11, 20_000);
}

#[test]
fn one_voter_gives_no_slot_twice_over_crashes_and_gifts() {
    let (crash, ticks) = (vec![0, 2], vec![0, caretaker()]);
    check(
        World { voters: vec![2], ticks, crash, crashes: 1, gifts: 1, settled: vec![0, caretaker()], net: 3 },
        10,
        50_000,
    );
}

/// A caretaker holds the slot of a planner that comes back: it has it no more when that one has.
#[test]
fn a_planner_that_is_back_and_its_caretaker_never_hold_its_slot_together() {
    let care = caretaker();
    let world = World {
        voters: vec![3 - care as Member],
        ticks: vec![0, care],
        crash: vec![],
        crashes: 0,
        gifts: 0,
        settled: vec![care],
        net: 3,
    };
    let first = &world.init_states()[0];
    let slots: Vec<Member> = first.planners[care].ground().slots.iter().map(|(slot, _)| *slot).collect();
    assert!(slots.contains(&0), "it holds the slot at the beginning: {slots:?}");
    assert!(RATES[care] < RATES[3 - care], "its clock runs slower than its voter's");
    check(world, 10, 20_000);
}
