//! What one group is told, hears, asks for and answers.

use crate::placer::Seconds;

/// Number of a member within its group, from 0.
pub type MemberNo = usize;

/// What follows when a member is lost after the group stood whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnLoss {
    /// The others go on.
    Keep,
    /// The others are cut.
    Cut,
    /// The lost one alone is placed again, within a bound; past it the others are cut.
    Replace,
}

/// What the operators' file and the ask say of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Seconds that a group may stand in part.
    pub partial_s: Seconds,
    /// Seconds that an answer may wait for the machines' word on cuts.
    pub cut_wait_s: Seconds,
    /// Tries of the whole group.
    pub tries: u32,
    /// Seconds between two tries of the whole, least and most; drawn from the group's id.
    pub pause_s: (Seconds, Seconds),
    /// What follows a loss.
    pub on_loss: OnLoss,
    /// Members that may be placed again after a loss, over the group's life.
    pub replacements: u32,
}

/// Where a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits to be let in: before its first try, or between two.
    Admitting,
    /// Its members are being placed.
    Placing,
    /// All of it stands.
    Standing,
    /// It is given up: its members are being cut.
    Releasing,
    /// Nothing more will come.
    Over,
}

/// Why a group was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// There is no room for the whole of it.
    NoRoom,
    /// A member was refused for good.
    Refused,
    /// A member failed.
    Failed,
    /// A member was lost before the group stood whole.
    Lost,
    /// It stood in part for too long.
    Partial,
    /// Its time was up.
    Deadline,
    /// Its owner gave it up.
    Cancelled,
    /// The planner stops.
    Stopping,
}

/// The one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// All members stand.
    Placed,
    /// Nothing runs, and nothing did run to its end; asking again is harmless after so many seconds.
    Refused {
        /// Why.
        why: Why,
        /// When to come back.
        retry_in_s: Seconds,
    },
    /// Something may have run, or may still.
    Failed {
        /// Why.
        why: Why,
    },
}

/// What a group hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// There is room for the whole of it now; the others' room is kept free until they were asked for.
    LetIn,
    /// There is none.
    NoRoom {
        /// When there may be.
        retry_in_s: Seconds,
    },
    /// A member stands.
    Stands {
        /// Which.
        member: MemberNo,
    },
    /// A member is refused: no attempt of it ran, or each that may have is still to be proved gone.
    Refused {
        /// Which.
        member: MemberNo,
        /// When it may be asked for again.
        retry_in_s: Seconds,
    },
    /// A member failed.
    Failed {
        /// Which.
        member: MemberNo,
    },
    /// A member that stood ran to its end.
    Finished {
        /// Which.
        member: MemberNo,
    },
    /// A member that stood is lost: its machine or its copy is gone.
    Lost {
        /// Which.
        member: MemberNo,
    },
    /// No copy of a member can run any more: the machines said so, or never had one.
    Clear {
        /// Which.
        member: MemberNo,
    },
    /// The owner gives the group up, or ends it.
    Cancel,
    /// The planner stops: what does not stand whole is given up.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a group asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Tell whether there is room for the whole.
    Admit,
    /// Hand the member in as a job.
    Place(MemberNo),
    /// Take the member back or cut it; [`Event::Clear`] follows once it is proved gone.
    Cut(MemberNo),
    /// The final answer.
    Answer(Answer),
    /// Tick at that time.
    WakeAt(Seconds),
    /// The group is over: nothing more comes of it.
    Over,
}
