//! A model check of the group's state machine: every order of answers, refusals, cuts, losses, ends, hangs
//! and ticks for small groups. The model drives the real [`Group`] and simulates the machines and the
//! messages in transit.

use super::*;
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// A message to a member's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Down {
    Offer,
    Cut,
}

/// A message from a member's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Up {
    Runs,
    Refused,
    Failed,
    Ended,
    Lost,
    Gone,
}

/// A member's machine and the connection to it; messages stay in order in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Connection {
    down: VecDeque<Down>,
    up: VecDeque<Up>,
    /// Running copies; never more than one in a correct run.
    copies: u8,
    hangs: bool,
    /// The reducer's view: an offer is unanswered, or a copy is known to run.
    offer_pending: bool,
    stands: bool,
    /// A cut was sent and is not confirmed yet.
    cut: bool,
}

#[derive(Clone, Debug)]
struct State {
    group: Group,
    now: u32,
    wakes: Vec<u32>,
    connections: Vec<Connection>,
    answers: Vec<Answer>,
    /// How the group's answer was false, if it was.
    false_answer: Option<&'static str>,
    runs_twice: bool,
    cancelled: bool,
    finished: u8,
}

impl State {
    /// Everything that distinguishes two states.
    fn key(&self) -> impl Hash + PartialEq + '_ {
        let g = &self.group;
        let member = |m: &Member| match m {
            Member::Waiting(due) => (0, due.to_bits()),
            Member::Submitted => (1, 0),
            Member::Stands => (2, 0),
            Member::Finished => (3, 0),
            Member::Cutting => (4, 0),
            Member::Clear => (5, 0),
        };
        let members: Vec<(u8, u64)> = g.members.iter().map(member).collect();
        let counts = (g.phase, g.tries, g.replaced, g.answered, g.any_finished, g.why);
        let times =
            [g.release_until, g.readmit_at, g.partial_since.unwrap_or(-1.0), g.retry_in_s].map(f64::to_bits);
        let own =
            (self.now, &self.wakes, &self.connections, self.false_answer, self.runs_twice, self.cancelled);
        (members, counts, times, own, self.answers.len(), self.finished)
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
    /// The machine takes the next message: an offer runs, is refused or fails.
    Take(usize, Up),
    /// The planner receives the next message.
    Receive(usize),
    /// A running copy ends or is lost.
    End(usize, Up),
    /// A machine hangs, or goes on.
    Hang(usize),
    Tick,
    Cancel,
}

/// The model's parameters: the number of members, their policy, and whether machines may hang.
struct GroupModel {
    members: usize,
    policy: Policy,
    hangs: bool,
}

/// Milliseconds in one step of the model's clock.
const STEP_MS: f64 = 100.0;
/// Steps of the model's clock. The deadline of the group.
const DEADLINE_STEPS: u32 = 40;

fn seconds(step: u32) -> Seconds {
    f64::from(step) * STEP_MS / 1e3
}

impl GroupModel {
    fn handle(&self, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.group.handle(seconds(state.now), event, &mut actions);
        self.act(state, actions);
    }

    fn act(&self, state: &mut State, actions: Vec<Action>) {
        let mut clear = Vec::new();
        for action in actions {
            match action {
                Action::Admit => self.handle(state, Event::Admitted),
                Action::Place(at) => {
                    let connection = &mut state.connections[at];
                    connection.down.push_back(Down::Offer);
                    (connection.offer_pending, connection.stands, connection.cut) = (true, false, false);
                }
                Action::Cut(at) => {
                    let connection = &mut state.connections[at];
                    if connection.offer_pending || connection.stands {
                        connection.down.push_back(Down::Cut);
                        connection.cut = true;
                    }
                    (connection.offer_pending, connection.stands) = (false, false);
                    if !connection.cut {
                        clear.push(at);
                    }
                }
                Action::Answer(answer) => {
                    let copies: u8 = state.connections.iter().map(|l| l.copies).sum();
                    let offered = state.connections.iter().any(|l| l.down.contains(&Down::Offer));
                    let known =
                        state.connections.iter().filter(|l| l.stands).count() + usize::from(state.finished);
                    match answer {
                        Answer::Placed if known < self.members => {
                            state.false_answer = Some("placed, but not all members run")
                        }
                        Answer::Refused { .. } if copies > 0 || offered || state.finished > 0 => {
                            state.false_answer = Some("refused, but a member runs or has finished");
                        }
                        _ => {}
                    }
                    state.answers.push(answer);
                }
                Action::WakeAt(at) => {
                    let step = (at * 1e3 / STEP_MS).ceil().min(f64::from(DEADLINE_STEPS + 20)) as u32;
                    if !state.wakes.contains(&step) {
                        state.wakes.push(step);
                        state.wakes.sort_unstable();
                    }
                }
                Action::Over => {}
            }
        }
        for member in clear {
            self.handle(state, Event::Clear { member });
        }
    }
}

impl Model for GroupModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let starts = (0..self.members).map(|at| 0.2 * at as f64).collect();
        let mut group = Group::new(self.policy, seconds(DEADLINE_STEPS), starts, 7);
        let mut actions = Vec::new();
        group.begin(0.0, &mut actions);
        let connections = vec![Connection::default(); self.members];
        let (wakes, answers) = (Vec::new(), Vec::new());
        let mut state = State {
            group,
            now: 0,
            wakes,
            connections,
            answers,
            false_answer: None,
            runs_twice: false,
            cancelled: false,
            finished: 0,
        };
        self.act(&mut state, actions);
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for (at, connection) in state.connections.iter().enumerate() {
            match connection.down.front().filter(|_| !connection.hangs) {
                Some(Down::Offer) => {
                    steps.extend([Up::Runs, Up::Refused, Up::Failed].map(|up| Step::Take(at, up)))
                }
                Some(Down::Cut) => steps.push(Step::Take(at, Up::Gone)),
                None => {}
            }
            if !connection.up.is_empty() {
                steps.push(Step::Receive(at));
            }
            if connection.copies > 0 && !connection.hangs {
                steps.extend([Up::Ended, Up::Lost].map(|up| Step::End(at, up)));
            }
            if self.hangs && (connection.hangs || state.connections.iter().all(|l| !l.hangs)) {
                steps.push(Step::Hang(at));
            }
        }
        if state.wakes.iter().any(|&at| at > state.now) {
            steps.push(Step::Tick);
        }
        if !state.cancelled {
            steps.push(Step::Cancel);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Take(at, answer) => {
                let connection = &mut state.connections[at];
                match (connection.down.pop_front()?, answer) {
                    (Down::Offer, Up::Runs) => {
                        connection.copies += 1;
                        state.runs_twice |= connection.copies > 1;
                        connection.up.push_back(Up::Runs);
                    }
                    (Down::Offer, answer) => connection.up.push_back(answer),
                    (Down::Cut, _) => {
                        connection.copies = 0;
                        connection.up.push_back(Up::Gone);
                    }
                }
            }
            Step::End(at, how) => {
                let connection = &mut state.connections[at];
                connection.copies = 0;
                connection.up.push_back(how);
            }
            Step::Hang(at) => state.connections[at].hangs = !state.connections[at].hangs,
            Step::Receive(at) => {
                // As in the reducer, an answer to a withdrawn offer gives no event; the confirmed cut proves
                // the end.
                let connection = &mut state.connections[at];
                let message = connection.up.pop_front()?;
                let (offer_pending, stands, cut) =
                    (connection.offer_pending, connection.stands, connection.cut);
                let event = match message {
                    Up::Runs if offer_pending => {
                        (connection.offer_pending, connection.stands) = (false, true);
                        Some(Event::Stands { member: at })
                    }
                    Up::Refused if offer_pending => {
                        connection.offer_pending = false;
                        Some(Event::Refused { member: at, retry_in_s: 0.0 })
                    }
                    Up::Failed if offer_pending => {
                        connection.offer_pending = false;
                        Some(Event::Failed { member: at })
                    }
                    Up::Ended if stands => {
                        connection.stands = false;
                        state.finished += 1;
                        Some(Event::Finished { member: at })
                    }
                    Up::Lost if stands => {
                        connection.stands = false;
                        Some(Event::Lost { member: at })
                    }
                    Up::Gone if cut => {
                        connection.cut = false;
                        Some(Event::Clear { member: at })
                    }
                    _ => None,
                };
                if let Some(event) = event {
                    self.handle(&mut state, event);
                }
            }
            Step::Tick => {
                state.now = state.wakes.iter().copied().find(|&at| at > state.now)?;
                let now = state.now;
                state.wakes.retain(|&at| at > now);
                self.handle(&mut state, Event::Tick);
            }
            Step::Cancel => {
                state.cancelled = true;
                self.handle(&mut state, Event::Cancel);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one answer", |_, s: &State| s.answers.len() <= 1),
            Property::always("placed and refused are true", |_, s: &State| s.false_answer.is_none()),
            Property::always("no member runs twice", |_, s: &State| !s.runs_twice),
            Property::always("no group stands in part for too long", |w: &GroupModel, s: &State| {
                let g = &s.group;
                let since = g.partial_since.filter(|_| g.phase == Phase::Placing);
                since.is_none_or(|since| seconds(s.now) <= since + w.policy.partial_s)
            }),
            Property::always("an answer by the deadline", |_, s: &State| {
                s.now < DEADLINE_STEPS || !s.answers.is_empty()
            }),
            Property::always("members of a group that was given up are cut", |_, s: &State| {
                let over = s.group.phase == Phase::Over && !matches!(s.answers.first(), Some(Answer::Placed));
                let runs = |l: &Connection| l.copies > 0 && !l.down.contains(&Down::Cut);
                !(over && s.connections.iter().any(runs))
            }),
            Property::sometimes("it can be placed", |_, s: &State| s.answers.contains(&Answer::Placed)),
            Property::sometimes("it can be refused", |_, s: &State| {
                s.answers.iter().any(|a| matches!(a, Answer::Refused { .. }))
            }),
            Property::sometimes("it can fail", |_, s: &State| {
                s.answers.iter().any(|a| matches!(a, Answer::Failed { .. }))
            }),
        ]
    }
}

fn policy(on_loss: OnLoss, tries: u32) -> Policy {
    let (partial_s, cut_wait_s, pause_s) = (1.0, 0.3, (0.2, 0.4));
    Policy { partial_s, cut_wait_s, tries, pause_s, on_loss, replacements: 1 }
}

fn check(members: usize, on_loss: OnLoss, tries: u32, hangs: bool) {
    let model = GroupModel { members, policy: policy(on_loss, tries), hangs };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!(
        "{members} members, {on_loss:?}, {tries} tries, hangs {hangs}: {} states",
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// Checks the invariants under every order of events, for two members on machines that answer.
#[test]
fn two_members_under_every_order() {
    for on_loss in [OnLoss::Keep, OnLoss::Cut, OnLoss::Replace] {
        check(2, on_loss, 2, false);
    }
}

/// Checks the same with a machine that may hang and resume at any time.
#[test]
fn two_members_and_a_machine_that_hangs() {
    check(2, OnLoss::Cut, 1, true);
}
