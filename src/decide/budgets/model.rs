//! A model check of the division: two and three planners run the real code. The checker tries every order of
//! asks, grants, losses, duplicates, crashes, changes of demand and ticks of clocks that diverge, up to a
//! bounded depth. The property: the units that could be in use never exceed the total.

use super::share::{Ask, Borrowed, Grant, Share};
use super::*;
use crate::decide::fleet::{Incarnation, Member, Micros, SlotLeases, Terms};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask(Ask),
    Grant(Grant),
}

/// Ticks of each planner's clock in one step of true time: the rates differ by a fifth.
const RATES: [u64; 3] = [10, 8, 9];
const TERMS: Terms = Terms { lease: 30, rate_error_ppm: 150_000, ask_every: 10, floor_permille: 1000 };
const MAX_TIME_STEPS: u64 = 9;
/// The demand of a planner that wants all the units it can get.
const ALL: u64 = 9;

#[derive(Clone, Debug)]
struct State {
    now: u64,
    shares: Vec<Share>,
    slot_leases: Vec<SlotLeases>,
    incarnations: Vec<Incarnation>,
    /// Messages in transit; a delivered one may be delivered again.
    net: BTreeSet<(Member, Member, Message)>,
    crashes: u8,
    /// Changes of demand so far.
    demand_changes: u8,
}

impl State {
    fn clock(&self, index: usize) -> Micros {
        1_000 + self.now * RATES[index]
    }

    fn sum(&self) -> u64 {
        let usable = |(index, s): (usize, &Share)| s.usable(&self.slot_leases[index], self.clock(index));
        self.shares.iter().enumerate().map(usable).sum()
    }

    fn key(&self) -> impl Hash + PartialEq + '_ {
        let shares: Vec<_> = self.shares.iter().map(Share::key).collect();
        (self.now, shares, &self.slot_leases, &self.net, self.crashes, self.demand_changes)
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
    /// A message is delivered; it stays in transit if it is duplicated.
    Deliver((Member, Member, Message), bool),
    Lose((Member, Member, Message)),
    Ask(usize),
    Crash(usize),
    /// The planner's demand changes between all the units it can get and none.
    ToggleDemand(usize),
    Time,
}

struct World {
    members: Member,
    total: u64,
    crashes: u8,
    demand_changes: u8,
}

impl World {
    fn share(&self, me: Member, incarnation: Incarnation, now: Micros) -> Share {
        Share::new((me, self.members), incarnation, (self.total, 0), (TERMS, 1000), now)
    }
}

/// The floor is withheld until the loans of an earlier incarnation have expired.
fn initial_leases(now: Micros) -> SlotLeases {
    SlotLeases { grace_until: now + TERMS.lender_term(), slots: vec![] }
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
        let slot_leases = (0..self.members).map(|_| initial_leases(began)).collect();
        let incarnations = (0..self.members).map(|me| u64::from(me) + 1).collect();
        vec![State {
            now: 0,
            shares,
            slot_leases,
            incarnations,
            net: BTreeSet::new(),
            crashes: 0,
            demand_changes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for message in &state.net {
            actions.extend([
                Step::Deliver(*message, false),
                Step::Deliver(*message, true),
                Step::Lose(*message),
            ]);
        }
        if state.net.len() < 3 {
            actions.push(Step::Ask(0));
        }
        if state.crashes < self.crashes {
            actions.extend([Step::Crash(0), Step::Crash(1)]);
        }
        if state.demand_changes < self.demand_changes {
            actions.extend([Step::ToggleDemand(0), Step::ToggleDemand(1)]);
        }
        if state.now < MAX_TIME_STEPS {
            actions.push(Step::Time);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Deliver(message, stays) => {
                let (from, to, content) = message;
                let (index, clock) = (usize::from(to), state.clock(usize::from(to)));
                let answer = match content {
                    Message::Ask(ask) => {
                        state.shares[index].on_ask(&state.slot_leases[index], clock, from, ask)
                    }
                    Message::Grant(grant) => {
                        state.shares[index].on_grant(clock, from, grant);
                        None
                    }
                };
                if !stays {
                    state.net.remove(&message);
                }
                state.net.extend(answer.map(|answer| (to, from, Message::Grant(answer))));
            }
            Step::Lose(message) => _ = state.net.remove(&message),
            Step::Ask(index) => {
                let clock = state.clock(index);
                let asks = state.shares[index].tick(&state.slot_leases[index], clock);
                state.net.extend(asks.into_iter().map(|(to, ask)| (index as Member, to, Message::Ask(ask))));
            }
            Step::Crash(index) => {
                let clock = state.clock(index);
                state.incarnations[index] += 10;
                let need = state.shares[index].demand();
                state.shares[index] = self.share(index as Member, state.incarnations[index], clock);
                state.shares[index].set_need(need, 0, 0);
                state.slot_leases[index] = initial_leases(clock);
                state.crashes += 1;
            }
            Step::ToggleDemand(index) => {
                let need = if state.shares[index].demand() == 0 { ALL } else { 0 };
                state.shares[index].set_need(need, 0, 0);
                state.demand_changes += 1;
            }
            Step::Time => state.now += 1,
        }
        (state != *last && state.net.len() <= 4).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the units in use never exceed the total", |world: &World, state: &State| {
                state.sum() <= world.total
            }),
            Property::sometimes("a planner has more than its base", |world: &World, state: &State| {
                let first = &state.shares[0];
                first.usable(&state.slot_leases[0], state.clock(0)) > base(world.total, world.members, 0, 0)
            }),
            Property::sometimes("a loan expires", |_, state: &State| {
                let expired = |b: &Borrowed| b.loan.expiry() > 0 && b.loan.units_at(state.clock(0)) == 0;
                state.shares[0].borrowed.values().any(expired)
            }),
        ]
    }
}

fn check(world: World, depth: usize, min_states: usize) {
    let checker = world.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > min_states, "{} states", checker.unique_state_count());
}

#[test]
fn three_planners_never_exceed_the_whole() {
    check(World { members: 3, total: 4, crashes: 1, demand_changes: 0 }, 11, 50_000);
}

#[test]
fn two_planners_never_exceed_the_whole_in_long_runs() {
    check(World { members: 2, total: 2, crashes: 1, demand_changes: 2 }, 11, 50_000);
}
