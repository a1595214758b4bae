//! All-or-nothing groups (gang scheduling): the state machine of one group, and whether a group fits. The
//! code is pure: the caller passes the time in, and the state machine returns actions.
//!
//! A member is a job of the group. It *stands* while a machine runs it. To *cut* a member is to end all
//! copies of it; it is *clear* once it is proved that no copy of it can run any more.
//!
//! Invariants, and what covers each (`model.rs` is a stateright model that drives this code):
//! - There is exactly one final answer (`model`: "one answer"; asserted in [`Group::answer`]).
//! - The answer is `Placed` only if every member stands or has finished (`model`: "placed and refused are
//!   true").
//! - The answer is `Refused` only if nothing of the group can run any more and no member has finished
//!   (`model`: "placed and refused are true").
//! - A member is placed again only once it is proved that its earlier copy is gone (`model`: "no member runs
//!   twice").
//! - A group stands in part, that is with some but not all of its members, for at most `partial_s`: by then
//!   all members stand, or the cuts of all members have been sent (`model`: "no group stands in part for too
//!   long"; `tests::a_partial_group_is_cut_in_time`).
//! - The answer waits for machines for at most `cut_wait_s`
//!   (`tests::an_answer_does_not_wait_for_a_silent_machine`).

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

/// Share of `partial_s` after which a group that stands in part is given up; the rest of that time is left
/// for the cuts to reach the machines.
const GIVE_UP_SHARE: f64 = 0.8;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Member {
    /// To be submitted at that time.
    Waiting(Seconds),
    /// Submitted as a job, and not running yet.
    Submitted,
    /// Running.
    Stands,
    /// Ran to its end.
    Finished,
    /// Being cut; a copy of it may still run.
    Cutting,
    /// No copy of it can run.
    Clear,
}

/// One group.
#[derive(Clone, Debug)]
pub struct Group {
    policy: Policy,
    deadline: Seconds,
    /// Seed of the pauses between tries.
    salt: u64,
    phase: Phase,
    members: Vec<Member>,
    /// Seconds that each member is expected to take to start.
    starts: Vec<Seconds>,
    tries: u32,
    replaced: u32,
    answered: bool,
    why: Option<Why>,
    retry_in_s: Seconds,
    /// Since when some, but not all, members stand.
    partial_since: Option<Seconds>,
    /// Until when the answer waits for machines to confirm cuts.
    release_until: Seconds,
    /// When to ask for admission again.
    readmit_at: Seconds,
    /// A member has finished, which cannot be undone.
    any_finished: bool,
    /// The time of the next requested tick.
    wake_at: Seconds,
}

/// A pseudo-random number from 0 to 1, derived from a seed and a turn.
fn pseudo_random(salt: u64, turn: u32) -> f64 {
    use siphasher::sip::SipHasher13;
    use std::hash::Hasher;
    let mut hash = SipHasher13::new();
    hash.write_u64(salt);
    hash.write_u32(turn);
    hash.finish() as f64 / u64::MAX as f64
}

impl Group {
    /// Creates a group that waits for admission. `starts` holds the seconds that each member is expected to
    /// take to start; `salt` makes its pauses differ from those of other groups.
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
            release_until: 0.0,
            readmit_at: 0.0,
            any_finished: false,
            wake_at: f64::INFINITY,
        }
    }

    /// When the next timed step is due, if no event comes before.
    fn due(&self) -> Option<Seconds> {
        match self.phase {
            Phase::Admitting => Some(self.readmit_at.min(self.latest_give_up())),
            Phase::Placing => {
                let due = |m: &Member| if let Member::Waiting(due) = m { *due } else { f64::INFINITY };
                let sends = self.members.iter().map(due).fold(f64::INFINITY, f64::min);
                Some(sends.min(self.partial_until()).min(self.latest_give_up()))
            }
            Phase::Releasing => Some(self.release_until),
            Phase::Standing | Phase::Over => None,
        }
    }

    /// Requests a tick for the next timed step, unless an earlier or equal one is pending.
    fn wake(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let Some(at) = self.due() else { return };
        if at < self.wake_at || self.wake_at <= now {
            self.wake_at = at;
            actions.push(Action::WakeAt(at));
        }
    }

    /// Until when the group may stand in part.
    fn partial_until(&self) -> Seconds {
        self.partial_since.map_or(f64::INFINITY, |at| at + self.policy.partial_s * GIVE_UP_SHARE)
    }

    /// The phase that the group is in.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why the group was given up, if it was.
    pub fn why(&self) -> Option<Why> {
        self.why
    }

    /// Tries of the whole group so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Members that are still to be submitted; room is reserved for them.
    pub fn waiting(&self) -> impl Iterator<Item = MemberNo> + '_ {
        let placing = self.phase == Phase::Placing;
        self.members_where(|m| matches!(m, Member::Waiting(_))).filter(move |_| placing)
    }

    /// Members that were submitted and do not run yet.
    pub fn asked(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.members_where(|m| matches!(m, Member::Submitted))
    }

    /// Members that are being cut and may still run.
    pub fn unproved(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.members_where(|m| matches!(m, Member::Cutting))
    }

    /// Members that stand.
    pub fn standing(&self) -> impl Iterator<Item = MemberNo> + '_ {
        self.members_where(|m| matches!(m, Member::Stands))
    }

    fn members_where(&self, is: fn(&Member) -> bool) -> impl Iterator<Item = MemberNo> + '_ {
        self.members.iter().enumerate().filter(move |(_, m)| is(m)).map(|(at, _)| at)
    }

    /// Starts the group: asks for admission.
    pub fn begin(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        self.readmit_at = f64::INFINITY;
        actions.push(Action::Admit);
        self.wake(now, actions);
    }

    /// The latest time to give the group up so that the answer meets the deadline even if a machine does not
    /// respond.
    fn latest_give_up(&self) -> Seconds {
        self.deadline - self.policy.cut_wait_s
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match (self.phase, event) {
            (Phase::Over, _) => return,
            (Phase::Admitting, Event::Admitted) => self.start_try(now),
            (Phase::Admitting, Event::NoRoom { retry_in_s }) => {
                self.retry_in_s = retry_in_s;
                self.give_up(now, Why::NoRoom, actions);
            }
            (_, Event::Admitted | Event::NoRoom { .. }) => {}
            (Phase::Admitting | Phase::Placing, Event::Cancel) => self.give_up(now, Why::Cancelled, actions),
            (Phase::Standing, Event::Cancel) => self.give_up(now, Why::Cancelled, actions),
            (Phase::Admitting | Phase::Placing, Event::Stop) => self.give_up(now, Why::Stopping, actions),
            (_, Event::Cancel | Event::Stop) => {}
            (_, Event::Stands { member }) => self.stands(now, member, actions),
            (_, Event::Refused { member, retry_in_s }) => {
                self.retry_in_s = self.retry_in_s.max(retry_in_s);
                self.not_placed(now, member, Why::Refused, actions);
            }
            (_, Event::Failed { member }) => self.not_placed(now, member, Why::Failed, actions),
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

    /// Begins a try of the whole group: members that take longer to start are submitted earlier, so that all
    /// start at about the same time.
    fn start_try(&mut self, now: Seconds) {
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
            Some(state @ Member::Submitted) => *state = Member::Stands,
            // Its start was reported while it was being withdrawn: cuts it where it runs.
            Some(Member::Cutting) => actions.push(Action::Cut(member)),
            _ => {}
        }
        let stands = self.members.get(member).is_some_and(|m| matches!(m, Member::Stands));
        if stands && self.phase == Phase::Placing && self.partial_since.is_none() {
            self.partial_since = Some(now);
        }
    }

    /// Handles a member that was refused or failed.
    fn not_placed(&mut self, now: Seconds, member: MemberNo, why: Why, actions: &mut Vec<Action>) {
        let Some(state @ Member::Submitted) = self.members.get_mut(member) else { return };
        // Attempts of it may have run: cuts it until the machines confirm that none does.
        *state = Member::Cutting;
        actions.push(Action::Cut(member));
        match self.phase {
            Phase::Placing => self.give_up(now, why, actions),
            // It was the replacement for a lost member.
            Phase::Standing => self.replace(now, actions),
            _ => {}
        }
    }

    fn finished(&mut self, member: MemberNo) {
        if let Some(state @ (Member::Stands | Member::Cutting)) = self.members.get_mut(member) {
            *state = Member::Finished;
            self.any_finished = true;
        }
    }

    fn lost(&mut self, now: Seconds, member: MemberNo, actions: &mut Vec<Action>) {
        let Some(state @ Member::Stands) = self.members.get_mut(member) else { return };
        // The machine may only be unreachable: the copy counts as being cut until it is proved gone.
        *state = Member::Cutting;
        actions.push(Action::Cut(member));
        match (self.phase, self.policy.on_loss) {
            (Phase::Placing, _) => self.give_up(now, Why::Lost, actions),
            (Phase::Standing, OnLoss::Cut) => self.give_up(now, Why::Lost, actions),
            (Phase::Standing, OnLoss::Replace) => self.replace(now, actions),
            _ => {}
        }
    }

    /// Allows a lost member to be placed again once its copy is proved gone, or gives the group up if the
    /// bound on replacements is reached.
    fn replace(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.replaced >= self.policy.replacements {
            return self.give_up(now, Why::Lost, actions);
        }
        self.replaced += 1;
    }

    /// Gives the group up and cuts all its members at once.
    fn give_up(&mut self, now: Seconds, why: Why, actions: &mut Vec<Action>) {
        // Replaces the reason of an earlier try.
        self.why = Some(why);
        self.phase = Phase::Releasing;
        self.release_until = now + self.policy.cut_wait_s;
        for (at, member) in self.members.iter_mut().enumerate() {
            match member {
                Member::Waiting(_) => *member = Member::Clear,
                Member::Submitted | Member::Stands => {
                    *member = Member::Cutting;
                    actions.push(Action::Cut(at));
                }
                Member::Finished | Member::Cutting | Member::Clear => {}
            }
        }
    }

    /// Does what is due now; called after each event.
    fn step(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Admitting => {
                if now >= self.latest_give_up() {
                    self.give_up(now, Why::Deadline, actions);
                    return self.step(now, actions);
                }
                if self.tries > 0 && now >= self.readmit_at {
                    actions.push(Action::Admit);
                    // Asks only once: the answer comes before the clock advances.
                    self.readmit_at = f64::INFINITY;
                }
            }
            Phase::Placing => self.place(now, actions),
            Phase::Standing => {
                let replace = self.policy.on_loss == OnLoss::Replace;
                for at in 0..self.members.len() {
                    if replace && self.members[at] == Member::Clear {
                        self.members[at] = Member::Submitted;
                        actions.push(Action::Place(at));
                    }
                }
                // A lost member that is replaced waits until its copy is proved gone.
                let over = |m: &Member| match m {
                    Member::Finished => true,
                    Member::Clear | Member::Cutting => !replace,
                    Member::Waiting(_) | Member::Submitted | Member::Stands => false,
                };
                if self.members.iter().all(over) {
                    self.end(actions);
                }
            }
            Phase::Releasing => self.release(now, actions),
            Phase::Over => {}
        }
    }

    fn place(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let placed = |m: &Member| matches!(m, Member::Stands | Member::Finished);
        if self.members.iter().all(placed) {
            self.phase = Phase::Standing;
            self.partial_since = None;
            self.answer(Answer::Placed, actions);
            return self.step(now, actions);
        }
        let partial_until =
            self.partial_since.map_or(f64::INFINITY, |at| at + self.policy.partial_s * GIVE_UP_SHARE);
        if now >= self.latest_give_up() || now >= partial_until {
            let why = if now >= partial_until { Why::Partial } else { Why::Deadline };
            self.give_up(now, why, actions);
            return self.step(now, actions);
        }
        for (at, member) in self.members.iter_mut().enumerate() {
            match *member {
                Member::Waiting(due) if now >= due => {
                    *member = Member::Submitted;
                    actions.push(Action::Place(at));
                }
                _ => {}
            }
        }
    }

    /// Once all members are proved gone, or the wait for that is over: starts another try of the whole group,
    /// or answers.
    fn release(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let gone = |m: &Member| matches!(m, Member::Clear | Member::Finished);
        let proved = self.members.iter().all(gone);
        if !proved && now < self.release_until {
            return;
        }
        self.partial_since = None;
        let why = self.why.unwrap_or(Why::Cancelled);
        if self.answered {
            return self.end(actions);
        }
        let (least, most) = self.policy.pause_s;
        let pause = (least + (most - least) * pseudo_random(self.salt, self.tries)).max(self.retry_in_s);
        let retryable = matches!(why, Why::Refused | Why::Lost | Why::Partial | Why::Failed);
        let retry = proved && !self.any_finished && retryable && self.tries < self.policy.tries;
        if retry && now + pause < self.latest_give_up() {
            self.phase = Phase::Admitting;
            self.readmit_at = now + pause;
            return;
        }
        let answer = match proved && !self.any_finished {
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
