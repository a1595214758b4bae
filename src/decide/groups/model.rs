//! A model check of the group's state machine: every order of answers, refusals, cuts, losses, ends, hangs and ticks for
//! small groups. The model drives the real [`Group`]; what it adds are the machines and the messages on their way.

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

/// A member's machine and the connection to it, in order both ways.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Line {
    down: VecDeque<Down>,
    up: VecDeque<Up>,
    /// Copies that run, which may never be two.
    copies: u8,
    hangs: bool,
    /// What the reducer knows: an offer is out, or a copy stands.
    asked: bool,
    stands: bool,
    /// A cut was sent whose answer has not come.
    cut: bool,
}

#[derive(Clone, Debug)]
struct State {
    group: Group,
    now: u32,
    wakes: Vec<u32>,
    lines: Vec<Line>,
    answers: Vec<Answer>,
    /// What an answer claimed and was not so.
    lie: Option<&'static str>,
    doubled: bool,
    cancelled: bool,
    finished: u8,
}

impl State {
    /// All that tells two states apart.
    fn key(&self) -> impl Hash + PartialEq + '_ {
        let g = &self.group;
        let member = |m: &Member| match m {
            Member::Waiting(due) => (0, due.to_bits()),
            Member::Asked => (1, 0),
            Member::Stands => (2, 0),
            Member::Finished => (3, 0),
            Member::Cutting => (4, 0),
            Member::Clear => (5, 0),
        };
        let members: Vec<(u8, u64)> = g.members.iter().map(member).collect();
        let counts = (g.phase, g.tries, g.replaced, g.answered, g.ran, g.why);
        let times =
            [g.cut_until, g.again_at, g.partial_since.unwrap_or(-1.0), g.retry_in_s].map(f64::to_bits);
        let own = (self.now, &self.wakes, &self.lines, self.lie, self.doubled, self.cancelled);
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
    /// The planner hears the next message.
    Hear(usize),
    /// A copy that runs ends or is lost.
    End(usize, Up),
    /// A machine hangs, or goes on.
    Hang(usize),
    Tick,
    Cancel,
}

/// The world: so many members, and what may befall them.
struct World {
    members: usize,
    policy: Policy,
    hangs: bool,
}

/// Milliseconds in one step of the model's clock.
const STEP_MS: f64 = 100.0;
const DEADLINE: u32 = 40;

fn seconds(step: u32) -> Seconds {
    f64::from(step) * STEP_MS / 1e3
}

impl World {
    fn hear(&self, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.group.handle(seconds(state.now), event, &mut actions);
        self.act(state, actions);
    }

    fn act(&self, state: &mut State, actions: Vec<Action>) {
        let mut clear = Vec::new();
        for action in actions {
            match action {
                Action::Admit => self.hear(state, Event::LetIn),
                Action::Place(at) => {
                    let line = &mut state.lines[at];
                    line.down.push_back(Down::Offer);
                    (line.asked, line.stands, line.cut) = (true, false, false);
                }
                Action::Cut(at) => {
                    let line = &mut state.lines[at];
                    if line.asked || line.stands {
                        line.down.push_back(Down::Cut);
                        line.cut = true;
                    }
                    (line.asked, line.stands) = (false, false);
                    if !line.cut {
                        clear.push(at);
                    }
                }
                Action::Answer(answer) => {
                    let copies: u8 = state.lines.iter().map(|l| l.copies).sum();
                    let offered = state.lines.iter().any(|l| l.down.contains(&Down::Offer));
                    let known = state.lines.iter().filter(|l| l.stands).count() + usize::from(state.finished);
                    match answer {
                        Answer::Placed if known < self.members => state.lie = Some("placed, and not whole"),
                        Answer::Refused { .. } if copies > 0 || offered || state.finished > 0 => {
                            state.lie = Some("refused, and something runs or ran");
                        }
                        _ => {}
                    }
                    state.answers.push(answer);
                }
                Action::WakeAt(at) => {
                    let step = (at * 1e3 / STEP_MS).ceil().min(f64::from(DEADLINE + 20)) as u32;
                    if !state.wakes.contains(&step) {
                        state.wakes.push(step);
                        state.wakes.sort_unstable();
                    }
                }
                Action::Over => {}
            }
        }
        for member in clear {
            self.hear(state, Event::Clear { member });
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let starts = (0..self.members).map(|at| 0.2 * at as f64).collect();
        let mut group = Group::new(self.policy, seconds(DEADLINE), starts, 7);
        let mut actions = Vec::new();
        group.begin(0.0, &mut actions);
        let lines = vec![Line::default(); self.members];
        let (wakes, answers) = (Vec::new(), Vec::new());
        let mut state = State {
            group,
            now: 0,
            wakes,
            lines,
            answers,
            lie: None,
            doubled: false,
            cancelled: false,
            finished: 0,
        };
        self.act(&mut state, actions);
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for (at, line) in state.lines.iter().enumerate() {
            match line.down.front().filter(|_| !line.hangs) {
                Some(Down::Offer) => {
                    steps.extend([Up::Runs, Up::Refused, Up::Failed].map(|up| Step::Take(at, up)))
                }
                Some(Down::Cut) => steps.push(Step::Take(at, Up::Gone)),
                None => {}
            }
            if !line.up.is_empty() {
                steps.push(Step::Hear(at));
            }
            if line.copies > 0 && !line.hangs {
                steps.extend([Up::Ended, Up::Lost].map(|up| Step::End(at, up)));
            }
            if self.hangs && (line.hangs || state.lines.iter().all(|l| !l.hangs)) {
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
                let line = &mut state.lines[at];
                match (line.down.pop_front()?, answer) {
                    (Down::Offer, Up::Runs) => {
                        line.copies += 1;
                        state.doubled |= line.copies > 1;
                        line.up.push_back(Up::Runs);
                    }
                    (Down::Offer, answer) => line.up.push_back(answer),
                    (Down::Cut, _) => {
                        line.copies = 0;
                        line.up.push_back(Up::Gone);
                    }
                }
            }
            Step::End(at, how) => {
                let line = &mut state.lines[at];
                line.copies = 0;
                line.up.push_back(how);
            }
            Step::Hang(at) => state.lines[at].hangs = !state.lines[at].hangs,
            Step::Hear(at) => {
                // What the reducer makes of it: an answer to what was taken back is dropped, but proves the end.
                let line = &mut state.lines[at];
                let said = line.up.pop_front()?;
                let (asked, stands, cut) = (line.asked, line.stands, line.cut);
                let event = match said {
                    Up::Runs if asked => {
                        (line.asked, line.stands) = (false, true);
                        Some(Event::Stands { member: at })
                    }
                    Up::Refused if asked => {
                        line.asked = false;
                        Some(Event::Refused { member: at, retry_in_s: 0.0 })
                    }
                    Up::Failed if asked => {
                        line.asked = false;
                        Some(Event::Failed { member: at })
                    }
                    Up::Ended if stands => {
                        line.stands = false;
                        state.finished += 1;
                        Some(Event::Finished { member: at })
                    }
                    Up::Lost if stands => {
                        line.stands = false;
                        Some(Event::Lost { member: at })
                    }
                    Up::Gone if cut => {
                        line.cut = false;
                        Some(Event::Clear { member: at })
                    }
                    _ => None,
                };
                if let Some(event) = event {
                    self.hear(&mut state, event);
                }
            }
            Step::Tick => {
                state.now = state.wakes.iter().copied().find(|&at| at > state.now)?;
                let now = state.now;
                state.wakes.retain(|&at| at > now);
                self.hear(&mut state, Event::Tick);
            }
            Step::Cancel => {
                state.cancelled = true;
                self.hear(&mut state, Event::Cancel);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one answer", |_, s: &State| s.answers.len() <= 1),
            Property::always("placed means whole, refused is true", |_, s: &State| s.lie.is_none()),
            Property::always("no member doubled", |_, s: &State| !s.doubled),
            Property::always("no partial group stands for ever", |w: &World, s: &State| {
                let g = &s.group;
                let since = g.partial_since.filter(|_| g.phase == Phase::Placing);
                since.is_none_or(|since| seconds(s.now) <= since + w.policy.partial_s)
            }),
            Property::always("an answer by the deadline", |_, s: &State| {
                s.now < DEADLINE || !s.answers.is_empty()
            }),
            Property::always("what was given up is told to go", |_, s: &State| {
                let over = s.group.phase == Phase::Over && !matches!(s.answers.first(), Some(Answer::Placed));
                let runs = |l: &Line| l.copies > 0 && !l.down.contains(&Down::Cut);
                !(over && s.lines.iter().any(runs))
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
    let world = World { members, policy: policy(on_loss, tries), hangs };
    let checker = world.checker().threads(2).spawn_bfs().join();
    println!(
        "{members} members, {on_loss:?}, {tries} tries, hangs {hangs}: {} states",
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// Guards the rules of groups against every order of events for two members on machines that answer.
#[test]
fn two_members_under_every_order() {
    for on_loss in [OnLoss::Keep, OnLoss::Cut, OnLoss::Replace] {
        check(2, on_loss, 2, false);
    }
}

/// The same with a machine that hangs at any time, and goes on at any time.
#[test]
fn two_members_and_a_machine_that_hangs() {
    check(2, OnLoss::Cut, 1, true);
}
