//! All or nothing groups: the state machine of one group, and whether a group fits. Pure: time comes in, actions go out.
//!
//! What must hold, and what holds it (the model is `model.rs`, driven by stateright over this very code):
//! - One final answer, and none after it (`model`: "one answer"; asserted in [`Group::answer`]).
//! - `Placed` only while every member stands or has run to its end (`model`: "placed means whole").
//! - `Refused` only where nothing of the group can run any more, and nothing ran to its end (`model`: "refused is true").
//! - A member is asked for again only once its earlier copy is proved gone (`model`: "no member doubled").
//! - A group stands in part no longer than `partial_s`: by then it stands whole or all its members have been told to go
//!   (`model`: "no partial group stands for ever"; `tests::a_partial_group_is_cut_in_time`).
//! - The answer waits for no machine longer than `cut_wait_s` (`tests::an_answer_does_not_wait_for_a_silent_machine`).

pub mod fit;
mod interface;
pub mod settings;
pub mod starts;

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;

use crate::placer::Seconds;
pub use interface::{Action, Answer, Event, MemberNo, OnLoss, Phase, Policy, Why};

/// Share of `partial_s` after which a group that stands in part is given up, so that the cuts are heard within it.
const CUT_AT: f64 = 0.8;

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Member {
    /// Not asked for yet; due at that time.
    Waiting(Seconds),
    /// Handed in.
    Asked,
    /// Stands.
    Stands,
    /// Ran to its end.
    Finished,
    /// Told to go, or given up; not yet proved gone.
    Cutting,
    /// Nothing of it can run.
    Clear,
}

/// One group.
#[derive(Clone, Debug)]
pub struct Group {
    policy: Policy,
    deadline: Seconds,
    /// Draws the pauses.
    salt: u64,
    phase: Phase,
    members: Vec<Member>,
    /// Seconds that each member is expected to take until it stands.
    starts: Vec<Seconds>,
    tries: u32,
    replaced: u32,
    answered: bool,
    why: Option<Why>,
    retry_in_s: Seconds,
    /// Since when it stands in part.
    partial_since: Option<Seconds>,
    /// When the answer waits for no machine any more.
    cut_until: Seconds,
    /// When it is to be let in again.
    again_at: Seconds,
    /// A member ran to its end, which cannot be taken back.
    ran: bool,
    /// The next tick that was asked for.
    wake_at: Seconds,
}

/// A figure from 0 to 1 that follows from two numbers.
fn drawn(salt: u64, turn: u32) -> f64 {
    use siphasher::sip::SipHasher13;
    use std::hash::Hasher;
    let mut hash = SipHasher13::new();
    hash.write_u64(salt);
    hash.write_u32(turn);
    hash.finish() as f64 / u64::MAX as f64
}

impl Group {
    /// A group that waits to be let in. `starts` holds for each member the seconds that it is expected to take until it
    /// stands; `salt` tells its pauses from those of others.
    pub fn new(policy: Policy, deadline: Seconds, starts: Vec<Seconds>, salt: u64) -> Group {
        Group {
            policy,
            deadline,
            salt,
            phase: Phase::Admitting,
            members: vec![Member::Waiting(0.0); starts.len()],
            starts,
            tries: 0,
            replaced: 0,
            answered: false,
            why: None,
            retry_in_s: 0.0,
            partial_since: None,
            cut_until: 0.0,
            again_at: 0.0,
            ran: false,
            wake_at: f64::INFINITY,
        }
    }

    /// When something is due next, whatever else happens.
    fn due(&self) -> Option<Seconds> {
        match self.phase {
            Phase::Admitting => Some(self.again_at.min(self.last_call())),
            Phase::Placing => {
                let due = |m: &Member| if let Member::Waiting(due) = m { *due } else { f64::INFINITY };
                let sends = self.members.iter().map(due).fold(f64::INFINITY, f64::min);
                Some(sends.min(self.partial_until()).min(self.last_call()))
            }
            Phase::Releasing => Some(self.cut_until),
            Phase::Standing | Phase::Over => None,
        }
    }

    /// Asks for a tick at the next time that something is due, unless one that comes no later is asked for already.
    fn wake(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let Some(at) = self.due() else { return };
        if at < self.wake_at || self.wake_at <= now {
            self.wake_at = at;
            actions.push(Action::WakeAt(at));
        }
    }

    /// Until when it may stand in part.
    fn partial_until(&self) -> Seconds {
        self.partial_since.map_or(f64::INFINITY, |at| at + self.policy.partial_s * CUT_AT)
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why it was given up.
    pub fn why(&self) -> Option<Why> {
        self.why
    }

    /// Tries of the whole so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Members that are still to be asked for, whose room is kept free.
    pub fn waiting(&self) -> impl Iterator<Item = MemberNo> + '_ {
        let placing = self.phase == Phase::Placing;
        self.of(|m| matches!(m, Member::Waiting(_))).filter(move |_| placing)
    }

    /// Members that were asked for and do not stand yet.
    pub fn asked(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.of(|m| matches!(m, Member::Asked))
    }

    /// Members that were told to go and are not proved gone.
    pub fn unproved(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.of(|m| matches!(m, Member::Cutting))
    }

    /// Members that stand.
    pub fn standing(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.of(|m| matches!(m, Member::Stands))
    }

    fn of(&self, is: fn(&Member) -> bool) -> impl Iterator<Item = MemberNo> + '_ {
        self.members.iter().enumerate().filter(move |(_, m)| is(m)).map(|(at, _)| at)
    }

    /// The first thing that is done about it: it asks to be let in.
    pub fn begin(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.again_at = f64::INFINITY;
        actions.push(Action::Admit);
        self.wake(now, actions);
    }

    /// By then it must be given up, so that the answer is in time though a machine says nothing.
    fn last_call(&self) -> Seconds {
        self.deadline - self.policy.cut_wait_s
    }

    /// Hears an event and appends what is to be done about it.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match (self.phase, event) {
            (Phase::Over, _) => return,
            (Phase::Admitting, Event::LetIn) => self.let_in(now),
            (Phase::Admitting, Event::NoRoom { retry_in_s }) => {
                self.retry_in_s = retry_in_s;
                self.give_up(now, Why::NoRoom, actions);
            }
            (_, Event::LetIn | Event::NoRoom { .. }) => {}
            (Phase::Admitting | Phase::Placing, Event::Cancel) => self.give_up(now, Why::Cancelled, actions),
            (Phase::Standing, Event::Cancel) => self.give_up(now, Why::Cancelled, actions),
            (Phase::Admitting | Phase::Placing, Event::Stop) => self.give_up(now, Why::Stopping, actions),
            (_, Event::Cancel | Event::Stop) => {}
            (_, Event::Stands { member }) => self.stands(now, member, actions),
            (_, Event::Refused { member, retry_in_s }) => {
                self.retry_in_s = self.retry_in_s.max(retry_in_s);
                self.turned(now, member, Why::Refused, actions);
            }
            (_, Event::Failed { member }) => self.turned(now, member, Why::Failed, actions),
            (_, Event::Finished { member }) => self.finished(member),
            (_, Event::Lost { member }) => self.lost(now, member, actions),
            (_, Event::Clear { member }) => {
                if let Some(state @ Member::Cutting) = self.members.get_mut(member) {
                    *state = Member::Clear;
                }
            }
            (_, Event::Tick) => {}
        }
        self.step(now, actions);
        self.wake(now, actions);
    }

    /// Starts a try: those that take long to start go first, so that starts meet.
    fn let_in(&mut self, now: Seconds) {
        self.phase = Phase::Placing;
        self.tries += 1;
        self.why = None;
        self.retry_in_s = 0.0;
        let slowest = self.starts.iter().copied().fold(0.0, f64::max);
        for (member, start) in self.members.iter_mut().zip(&self.starts) {
            *member = Member::Waiting(now + (slowest - start));
        }
    }

    fn stands(&mut self, now: Seconds, member: MemberNo, actions: &mut Vec<Action>) {
        match self.members.get_mut(member) {
            Some(state @ Member::Asked) => *state = Member::Stands,
            // Its answer crossed the cut: it is cut where it stands.
            Some(Member::Cutting) => actions.push(Action::Cut(member)),
            _ => {}
        }
        let stands = self.members.get(member).is_some_and(|m| matches!(m, Member::Stands));
        if stands && self.phase == Phase::Placing && self.partial_since.is_none() {
            self.partial_since = Some(now);
        }
    }

    /// A member was refused or failed.
    fn turned(&mut self, now: Seconds, member: MemberNo, why: Why, actions: &mut Vec<Action>) {
        let Some(state @ Member::Asked) = self.members.get_mut(member) else { return };
        // Whether attempts of it may have run, the machines have to say.
        *state = Member::Cutting;
        actions.push(Action::Cut(member));
        match self.phase {
            Phase::Placing => self.give_up(now, why, actions),
            // It was to take the place of one that was lost.
            Phase::Standing => self.replace(now, actions),
            _ => {}
        }
    }

    fn finished(&mut self, member: MemberNo) {
        if let Some(state @ (Member::Stands | Member::Cutting)) = self.members.get_mut(member) {
            *state = Member::Finished;
            self.ran = true;
        }
    }

    fn lost(&mut self, now: Seconds, member: MemberNo, actions: &mut Vec<Action>) {
        let Some(state @ Member::Stands) = self.members.get_mut(member) else { return };
        // The machine may only be out of reach: its copy counts as told to go until it is proved gone.
        *state = Member::Cutting;
        actions.push(Action::Cut(member));
        match (self.phase, self.policy.on_loss) {
            (Phase::Placing, _) => self.give_up(now, Why::Lost, actions),
            (Phase::Standing, OnLoss::Cut) => self.give_up(now, Why::Lost, actions),
            (Phase::Standing, OnLoss::Replace) => self.replace(now, actions),
            _ => {}
        }
    }

    /// Has a member placed again once its copy is proved gone, or ends the group where that was done too often.
    fn replace(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.replaced >= self.policy.replacements {
            return self.give_up(now, Why::Lost, actions);
        }
        self.replaced += 1;
    }

    /// Cuts every member at once.
    fn give_up(&mut self, now: Seconds, why: Why, actions: &mut Vec<Action>) {
        // The reason of this try, not of one before it.
        self.why = Some(why);
        self.phase = Phase::Releasing;
        self.cut_until = now + self.policy.cut_wait_s;
        for (at, member) in self.members.iter_mut().enumerate() {
            match member {
                Member::Waiting(_) => *member = Member::Clear,
                Member::Asked | Member::Stands => {
                    *member = Member::Cutting;
                    actions.push(Action::Cut(at));
                }
                Member::Finished | Member::Cutting | Member::Clear => {}
            }
        }
    }

    /// What is due now, after each event.
    fn step(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Admitting => {
                if now >= self.last_call() {
                    self.give_up(now, Why::Deadline, actions);
                    return self.step(now, actions);
                }
                if self.tries > 0 && now >= self.again_at {
                    actions.push(Action::Admit);
                    // Asked once; the answer comes back before time passes.
                    self.again_at = f64::INFINITY;
                }
            }
            Phase::Placing => self.place(now, actions),
            Phase::Standing => {
                let replace = self.policy.on_loss == OnLoss::Replace;
                for at in 0..self.members.len() {
                    if replace && self.members[at] == Member::Clear {
                        self.members[at] = Member::Asked;
                        actions.push(Action::Place(at));
                    }
                }
                let over = |m: &Member| matches!(m, Member::Finished | Member::Clear | Member::Cutting);
                if self.members.iter().all(over) {
                    self.end(actions);
                }
            }
            Phase::Releasing => self.release(now, actions),
            Phase::Over => {}
        }
    }

    fn place(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let whole = |m: &Member| matches!(m, Member::Stands | Member::Finished);
        if self.members.iter().all(whole) {
            self.phase = Phase::Standing;
            self.partial_since = None;
            self.answer(Answer::Placed, actions);
            return self.step(now, actions);
        }
        let partial_until =
            self.partial_since.map_or(f64::INFINITY, |at| at + self.policy.partial_s * CUT_AT);
        if now >= self.last_call() || now >= partial_until {
            let why = if now >= partial_until { Why::Partial } else { Why::Deadline };
            self.give_up(now, why, actions);
            return self.step(now, actions);
        }
        for (at, member) in self.members.iter_mut().enumerate() {
            match *member {
                Member::Waiting(due) if now >= due => {
                    *member = Member::Asked;
                    actions.push(Action::Place(at));
                }
                _ => {}
            }
        }
    }

    /// Once all is proved gone, or the wait for it is over: another try of the whole, or the answer.
    fn release(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let gone = |m: &Member| matches!(m, Member::Clear | Member::Finished);
        let proved = self.members.iter().all(gone);
        if !proved && now < self.cut_until {
            return;
        }
        self.partial_since = None;
        let why = self.why.unwrap_or(Why::Cancelled);
        if self.answered {
            return self.end(actions);
        }
        let (least, most) = self.policy.pause_s;
        let pause = (least + (most - least) * drawn(self.salt, self.tries)).max(self.retry_in_s);
        let worth = matches!(why, Why::Refused | Why::Lost | Why::Partial | Why::Failed);
        let again = proved && !self.ran && worth && self.tries < self.policy.tries;
        if again && now + pause < self.last_call() {
            self.phase = Phase::Admitting;
            self.again_at = now + pause;
            return;
        }
        let answer = match proved && !self.ran {
            true => Answer::Refused { why, retry_in_s: pause },
            false => Answer::Failed { why },
        };
        self.answer(answer, actions);
        self.end(actions);
    }

    fn answer(&mut self, answer: Answer, actions: &mut Vec<Action>) {
        debug_assert!(!self.answered, "one final answer");
        if !std::mem::replace(&mut self.answered, true) {
            actions.push(Action::Answer(answer));
        }
    }

    fn end(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Over;
        actions.push(Action::Over);
    }
}
