//! A model check of the division: two and three planners of the real code, every order of asks, grants, losses,
//! doublings, crashes, changes of need and ticks of clocks that run apart, to a bounded depth. The property: what could
//! be in use never exceeds the whole.

use super::share::{Ask, Grant, Held, Share};
use super::*;
use crate::decide::fleet::{Ground, Life, Member, Micros, Terms};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Ask(Ask),
    Grant(Grant),
}

/// Ticks of each planner's clock in one step of true time: they run apart by a fifth.
const RATES: [u64; 3] = [10, 8, 9];
const TERMS: Terms = Terms { lease: 30, rate_error_ppm: 150_000, ask_every: 10, floor_permille: 1000 };
const STEPS: u64 = 9;
/// The need of a planner that wants all it can get.
const ALL: u64 = 9;

#[derive(Clone, Debug)]
struct State {
    now: u64,
    shares: Vec<Share>,
    grounds: Vec<Ground>,
    lives: Vec<Life>,
    /// Words on their way; one that was taken may come again.
    net: BTreeSet<(Member, Member, Word)>,
    crashes: u8,
    /// Changes of need.
    turns: u8,
}

impl State {
    fn clock(&self, of: usize) -> Micros {
        1_000 + self.now * RATES[of]
    }

    fn sum(&self) -> u64 {
        let usable = |(of, s): (usize, &Share)| s.usable(&self.grounds[of], self.clock(of));
        self.shares.iter().enumerate().map(usable).sum()
    }

    fn key(&self) -> impl Hash + PartialEq + '_ {
        let shares: Vec<_> = self.shares.iter().map(Share::key).collect();
        (self.now, shares, &self.grounds, &self.net, self.crashes, self.turns)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// A word comes; it stays on its way where it is doubled.
    Take((Member, Member, Word), bool),
    Lose((Member, Member, Word)),
    Ask(usize),
    Crash(usize),
    /// The planner needs all it can get, or nothing any more.
    Turn(usize),
    Time,
}

struct World {
    members: Member,
    whole: u64,
    crashes: u8,
    turns: u8,
}

impl World {
    fn share(&self, me: Member, life: Life, now: Micros) -> Share {
        Share::new((me, self.members), life, (self.whole, 0), (TERMS, 1000), now)
    }
}

/// The floor waits until an earlier life's loans have lapsed.
fn ground(now: Micros) -> Ground {
    Ground { quiet_until: now + TERMS.lender_term(), slots: vec![] }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let began = 1_000 - TERMS.lender_term();
        let share = |me: Member| {
            let mut share = self.share(me, u64::from(me) + 1, began);
            share.set_need([ALL, 0, 1][usize::from(me)], 0, 0);
            share
        };
        let shares = (0..self.members).map(share).collect();
        let grounds = (0..self.members).map(|_| ground(began)).collect();
        let lives = (0..self.members).map(|me| u64::from(me) + 1).collect();
        vec![State { now: 0, shares, grounds, lives, net: BTreeSet::new(), crashes: 0, turns: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for word in &state.net {
            actions.extend([Step::Take(*word, false), Step::Take(*word, true), Step::Lose(*word)]);
        }
        if state.net.len() < 3 {
            actions.push(Step::Ask(0));
        }
        if state.crashes < self.crashes {
            actions.extend([Step::Crash(0), Step::Crash(1)]);
        }
        if state.turns < self.turns {
            actions.extend([Step::Turn(0), Step::Turn(1)]);
        }
        if state.now < STEPS {
            actions.push(Step::Time);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Take(word, stays) => {
                let (from, to, said) = word;
                let (of, clock) = (usize::from(to), state.clock(usize::from(to)));
                let answer = match said {
                    Word::Ask(ask) => state.shares[of].asked(&state.grounds[of], clock, from, ask),
                    Word::Grant(grant) => {
                        state.shares[of].granted(clock, from, grant);
                        None
                    }
                };
                if !stays {
                    state.net.remove(&word);
                }
                state.net.extend(answer.map(|answer| (to, from, Word::Grant(answer))));
            }
            Step::Lose(word) => _ = state.net.remove(&word),
            Step::Ask(of) => {
                let clock = state.clock(of);
                let asks = state.shares[of].tick(&state.grounds[of], clock);
                state.net.extend(asks.into_iter().map(|(to, ask)| (of as Member, to, Word::Ask(ask))));
            }
            Step::Crash(of) => {
                let clock = state.clock(of);
                state.lives[of] += 10;
                let need = state.shares[of].demand();
                state.shares[of] = self.share(of as Member, state.lives[of], clock);
                state.shares[of].set_need(need, 0, 0);
                state.grounds[of] = ground(clock);
                state.crashes += 1;
            }
            Step::Turn(of) => {
                let need = if state.shares[of].demand() == 0 { ALL } else { 0 };
                state.shares[of].set_need(need, 0, 0);
                state.turns += 1;
            }
            Step::Time => state.now += 1,
        }
        (state != *last && state.net.len() <= 4).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more than the whole", |world: &World, state: &State| {
                state.sum() <= world.whole
            }),
            Property::sometimes("a planner has more than its base", |world: &World, state: &State| {
                let first = &state.shares[0];
                first.usable(&state.grounds[0], state.clock(0)) > base(world.whole, world.members, 0, 0)
            }),
            Property::sometimes("a loan lapses", |_, state: &State| {
                let held = |h: &Held| h.loan.last() > 0 && h.loan.at(state.clock(0)) == 0;
                state.shares[0].held.values().any(held)
            }),
        ]
    }
}

fn check(world: World, depth: usize, least: usize) {
    let checker = world.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > least, "{} states", checker.unique_state_count());
}

#[test]
fn three_planners_never_exceed_the_whole() {
    check(World { members: 3, whole: 4, crashes: 1, turns: 0 }, 11, 50_000);
}

#[test]
fn two_planners_never_exceed_the_whole_in_long_runs() {
    check(World { members: 2, whole: 2, crashes: 1, turns: 2 }, 11, 50_000);
}
