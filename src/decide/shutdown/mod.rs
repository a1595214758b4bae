//! When a planner that was told to stop does what: it goes on taking requests, has every answer given before it may be
//! killed, and ends. Pure: times come in.
//!
//! - Every request has its answer before the earliest SIGKILL, also where clients send until then
//!   (`all_is_answered_and_over_before_the_earliest_kill`).
//! - A planner does not end while clients may count on it, unless it may be killed sooner
//!   (`a_quiet_planner_stays_as_long_as_clients_may_come`).

use crate::placer::Seconds;

/// Seconds. The longest deadline counts as this at most.
const LONGEST_DEADLINE_S: Seconds = 3.0;
/// Seconds. A SIGKILL may come so long after the longest deadline.
const KILL_GRACE_S: Seconds = 0.7;
/// Seconds. Before the earliest SIGKILL all open requests are answered.
const ANSWER_SPARE_S: Seconds = 0.25;
/// Seconds. Before the earliest SIGKILL the planner has ended.
const END_SPARE_S: Seconds = 0.1;
/// Seconds. Clients that know nothing of the stop keep coming for so long.
const TAKES_ON_S: Seconds = 0.9;
/// Seconds. So long after its last request a planner waits for one more.
const QUIET_S: Seconds = 0.15;

/// What a planner that stops does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It goes on.
    Wait,
    /// It ends, unless a last look finds something to be answered.
    EndIfQuiet,
    /// It ends, whatever is open.
    End,
}

/// The times of a stop, in seconds after the signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    takes_on_s: Seconds,
    answers_by_s: Seconds,
    ends_by_s: Seconds,
}

impl Timeline {
    /// The times where the longest deadline is that.
    pub fn new(longest_deadline_s: Seconds) -> Timeline {
        let earliest_kill_s = longest_deadline_s.clamp(0.0, LONGEST_DEADLINE_S) + KILL_GRACE_S;
        let answers_by_s = earliest_kill_s - ANSWER_SPARE_S;
        let ends_by_s = earliest_kill_s - END_SPARE_S;
        Timeline { takes_on_s: TAKES_ON_S.min(answers_by_s), answers_by_s, ends_by_s }
    }

    /// By when every request is answered; what comes later is refused at once.
    pub fn answers_by_s(&self) -> Seconds {
        self.answers_by_s
    }

    /// Whether new connections are taken so long after the signal: well before the planner ends, clients are to find that
    /// nobody listens, and not to wait in line.
    pub fn takes_connections(&self, elapsed_s: Seconds) -> bool {
        elapsed_s < self.takes_on_s.min(self.answers_by_s)
    }

    /// Has every request answered by now.
    pub fn hasten(&mut self, elapsed_s: Seconds) {
        self.answers_by_s = self.answers_by_s.min(elapsed_s);
    }

    /// What is to be done so long after the signal, where nothing was owed or unread for `quiet_s`.
    pub fn step(&self, elapsed_s: Seconds, quiet_s: Seconds) -> Step {
        if elapsed_s >= self.ends_by_s {
            return Step::End;
        }
        let all_answered = elapsed_s >= self.answers_by_s;
        let done = elapsed_s >= self.takes_on_s && quiet_s >= QUIET_S;
        if all_answered || done {
            Step::EndIfQuiet
        } else {
            Step::Wait
        }
    }
}

#[cfg(test)]
mod tests;
