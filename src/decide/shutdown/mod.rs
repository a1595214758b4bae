//! The timeline of a planner's shutdown: it goes on accepting requests for a while, answers every request
//! before it may be killed, and exits. Pure: times come in.
//!
//! - Every request is answered before the earliest possible SIGKILL, even if clients send until then
//!   (`all_is_answered_and_over_before_the_earliest_kill`).
//! - A planner does not exit while clients may still rely on it, unless it may be killed sooner
//!   (`a_quiet_planner_stays_as_long_as_clients_may_come`).

use crate::placer::Seconds;

/// Upper bound, in seconds, of the longest deadline that is taken into account.
const MAX_DEADLINE_S: Seconds = 3.0;
/// Seconds. A SIGKILL may follow this long after the longest deadline.
const KILL_GRACE_S: Seconds = 0.7;
/// Seconds between the last answer and the earliest SIGKILL.
const ANSWER_MARGIN_S: Seconds = 0.25;
/// Seconds between the planner's exit and the earliest SIGKILL.
const EXIT_MARGIN_S: Seconds = 0.1;
/// Seconds for which clients that have not noticed the shutdown keep sending requests.
const ACCEPT_FOR_S: Seconds = 0.9;
/// Seconds without a request after which a planner that is shutting down may exit.
const IDLE_BEFORE_EXIT_S: Seconds = 0.15;

/// What a planner that is shutting down does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It goes on.
    Wait,
    /// It exits, unless a final check finds a request to be answered.
    EndIfQuiet,
    /// It exits, whatever is open.
    End,
}

/// The times of a shutdown, in seconds after the signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    accepts_until_s: Seconds,
    answers_by_s: Seconds,
    ends_by_s: Seconds,
}

impl Timeline {
    /// The timeline for a given longest deadline.
    pub fn new(longest_deadline_s: Seconds) -> Timeline {
        let earliest_kill_s = longest_deadline_s.clamp(0.0, MAX_DEADLINE_S) + KILL_GRACE_S;
        let answers_by_s = earliest_kill_s - ANSWER_MARGIN_S;
        let ends_by_s = earliest_kill_s - EXIT_MARGIN_S;
        Timeline { accepts_until_s: ACCEPT_FOR_S.min(answers_by_s), answers_by_s, ends_by_s }
    }

    /// The time by which every request is answered; later requests are refused at once.
    pub fn answers_by_s(&self) -> Seconds {
        self.answers_by_s
    }

    /// Whether new connections are accepted at that time after the signal. Accepting ends well before the
    /// planner exits, so that clients find that nobody listens, rather than wait in the listen queue.
    pub fn takes_connections(&self, elapsed_s: Seconds) -> bool {
        elapsed_s < self.accepts_until_s.min(self.answers_by_s)
    }

    /// Requires every request to be answered by now.
    pub fn hasten(&mut self, elapsed_s: Seconds) {
        self.answers_by_s = self.answers_by_s.min(elapsed_s);
    }

    /// The step at that time after the signal, if no answer was due and no data unread for `quiet_s`.
    pub fn step(&self, elapsed_s: Seconds, quiet_s: Seconds) -> Step {
        if elapsed_s >= self.ends_by_s {
            return Step::End;
        }
        let all_answered = elapsed_s >= self.answers_by_s;
        let done = elapsed_s >= self.accepts_until_s && quiet_s >= IDLE_BEFORE_EXIT_S;
        if all_answered || done {
            Step::EndIfQuiet
        } else {
            Step::Wait
        }
    }
}

#[cfg(test)]
mod tests;
