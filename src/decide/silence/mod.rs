//! What the silence of a machine that holds tasks means: when to dial it, when to go over to another connection, when
//! to give its connection up, and when what stands there is told lost. Pure: times and counts come in.
//!
//! - What stood is told lost within [`LOST_S`] of the last word, so that its owner hears within the protocol's 8 s, also
//!   where every dial since took its whole time (`a_lost_task_is_told_in_time`).
//! - One machine that falls silent alone is taken to be gone soon; many at once are taken to be cut off
//!   (`many_silent_machines_are_waited_for`): their tasks run on, and each planner that told them lost would have
//!   all of them started again at the same time on what is left of the fleet.
//! - A connection may stay open after its machine's process is gone, or bring nothing any more. No test is paid for to
//!   find that out: the dial that came up takes its place, and what was owed comes on that one, which must not be
//!   closed unread. Where the dial is
//!   refused, a free word is written, which the host of a process that is gone answers with a reset.
//! - A machine that drains and takes no new connection may tell of no end any more, though its old connection is up and
//!   each test on it is answered: what stands there is told lost [`LOST_S`] after it was last seen to take connections
//!   or told of a task (`a_drain_that_tells_of_no_end_is_not_waited_for`).

pub mod looks;

use crate::placer::Seconds;

/// Seconds. The end of what stood, untold, is to reach its owner within 8 s; the last dial and a look come after this.
pub const LOST_S: Seconds = 6.5;
/// Seconds. A machine that holds tasks and has said nothing for so long is dialled, and again after each so long.
pub const LOOK_S: Seconds = 1.0;
/// Seconds. A connection on which an attempt is open, so that no other can take its place, is closed after so long
/// without a word.
pub const MUTE_S: Seconds = 5.5;
/// Count. Dials in a row that must come to nothing before a machine can be taken to be lost.
pub const DIALS: u32 = 3;
/// Count. Machines silent at once that are more than chance: singly they vanish a few at a time.
pub const MANY: usize = 8;

/// Whether what stands at a machine is told lost: the dials in a row that came to nothing, the time since anything came
/// from it, and how many machines, it included, no dial reaches now.
pub fn is_lost(silent_dials: u32, quiet_s: Seconds, silent_now: usize) -> bool {
    silent_dials >= DIALS && (silent_now < MANY || quiet_s >= LOST_S)
}

/// How a dial beside an open connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// It came up.
    Up,
    /// The host says that nobody takes connections there.
    Refused,
    /// Nothing came back.
    Silent,
    /// This planner could not dial.
    Short,
}

/// What is to be done about a silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Dial beside it.
    Dial,
    /// Go over to the connection that just came up; what the machine still says on the old one is heard out.
    Swap,
    /// Hear out the connection that just came up: what a machine owes, it sends on the next one.
    HearOut,
    /// Write a free word: a process that is gone shows by a reset.
    Nudge,
    /// Close it: it brings nothing any more.
    Close,
    /// What stands there counts as lost; the connection stays.
    Lost,
}

/// What is known of a machine from all its connections.
#[derive(Clone, Copy, Debug)]
pub struct Signs {
    /// When the machine last showed any sign, a dial that came back included.
    pub sign: Seconds,
    /// When it last told of a task, or took a connection: its ends were told until then.
    pub told: Seconds,
    /// Dials in a row that came to nothing since.
    pub silent_dials: u32,
}

impl Signs {
    /// A machine of which nothing is known before.
    pub fn new(now: Seconds) -> Signs {
        Signs { sign: now, told: now, silent_dials: 0 }
    }
}

/// The watch over one open connection.
#[derive(Clone, Debug)]
pub struct Watch {
    /// When something last came on it.
    word: Seconds,
    signs: Signs,
    dial_at: Seconds,
    refused: bool,
}

impl Watch {
    /// The watch over a connection that just came up.
    pub fn new(now: Seconds) -> Watch {
        Watch { word: now, signs: Signs::new(now), dial_at: now + LOOK_S, refused: false }
    }

    /// Something came on it; `of_task` where it tells of one, and is no answer to a test.
    pub fn heard(&mut self, now: Seconds, of_task: bool) {
        let told = if of_task { now } else { self.signs.told };
        (self.word, self.signs) = (now, Signs { told, ..Signs::new(now) });
        self.dial_at = self.dial_at.max(now + LOOK_S);
        self.refused &= !of_task;
    }

    /// What is known of its machine.
    pub fn signs(&self) -> Signs {
        self.signs
    }

    /// What is due; `held` where tasks stand there. `draw`, from 0 to 1, is this planner's own: all that share a
    /// machine would dial it in step after what befell it.
    pub fn look(&mut self, now: Seconds, held: bool, draw: f64) -> Step {
        if !held {
            return Step::Wait;
        }
        if self.refused && now - self.signs.told >= LOST_S {
            return Step::Lost;
        }
        let quiet = now - self.word;
        if quiet > MUTE_S && !self.refused {
            return Step::Close;
        }
        if quiet <= LOOK_S || now < self.dial_at {
            return Step::Wait;
        }
        self.dial_at = now + LOOK_S * (1.0 + 0.5 * draw);
        Step::Dial
    }

    /// From when on a look may find something, as long as tasks stand there and nothing comes.
    pub fn due(&self) -> Seconds {
        let dial = self.dial_at.max(self.word + LOOK_S);
        let end = if self.refused { self.signs.told + LOST_S } else { self.word + MUTE_S };
        dial.min(end)
    }

    /// A dial ended; `out` where an attempt is open on the connection, which closing it would give up.
    pub fn dialled(&mut self, now: Seconds, dial: Dial, out: bool) -> Step {
        match dial {
            Dial::Short => return Step::Wait,
            Dial::Silent => {
                self.signs.silent_dials += 1;
                // The next look dials again.
                self.dial_at = now;
                return if self.signs.silent_dials >= DIALS { Step::Close } else { Step::Wait };
            }
            Dial::Refused => self.signs = Signs { told: self.signs.told, ..Signs::new(now) },
            Dial::Up => self.signs = Signs::new(now),
        }
        self.refused = dial == Dial::Refused;
        if self.refused {
            Step::Nudge
        } else if out {
            Step::HearOut
        } else {
            Step::Swap
        }
    }
}

#[cfg(test)]
mod tests;
