//! The policy, events, actions and answers of one group.

use crate::placer::Seconds;

/// Number of a member within its group, from 0.
pub type MemberNo = usize;

/// What to do if a member is lost after all members stood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OnLoss {
    /// The other members go on.
    Keep,
    /// The other members are cut.
    Cut,
    /// The lost member alone is placed again, up to a number of replacements; after that the other members
    /// are cut.
    Replace,
}

/// How a group is handled, as set by the operators' file and the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Seconds for which some, but not all, members may stand.
    pub partial_s: Seconds,
    /// Seconds that the answer may wait for machines to confirm cuts.
    pub cut_wait_s: Seconds,
    /// The most tries of the whole group.
    pub tries: u32,
    /// Seconds between two tries of the whole group, least and most; the value is derived from the group's
    /// id.
    pub pause_s: (Seconds, Seconds),
    /// What to do if a member is lost.
    pub on_loss: OnLoss,
    /// The most members that are placed again after a loss, over the lifetime of the group.
    pub replacements: u32,
}

/// The phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits for admission: before its first try, or between two tries.
    Admitting,
    /// Its members are being placed.
    Placing,
    /// All members stand, or did.
    Standing,
    /// Given up: its members are being cut.
    Releasing,
    /// Ended: no further actions follow.
    Over,
}

/// Why a group was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// There is no room for the whole group.
    NoRoom,
    /// A member was refused for good.
    Refused,
    /// A member failed.
    Failed,
    /// A member was lost before all members stood.
    Lost,
    /// Some, but not all, members stood for too long.
    Partial,
    /// It could not be placed in time before its deadline.
    Deadline,
    /// Its owner cancelled it.
    Cancelled,
    /// The planner shuts down.
    Stopping,
}

/// The one final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// All members stand or have finished.
    Placed,
    /// Nothing runs and no member has finished; it is safe to submit the group again.
    Refused {
        /// Why.
        why: Why,
        /// Seconds after which to submit it again.
        retry_in_s: Seconds,
    },
    /// A member may have run, or may still run.
    Failed {
        /// Why.
        why: Why,
    },
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// There is room for the whole group now; it stays reserved for members that are not submitted yet.
    Admitted,
    /// There is no room for the whole group.
    NoRoom {
        /// Seconds after which there may be.
        retry_in_s: Seconds,
    },
    /// A member stands: its machine reports that it runs.
    Stands {
        /// The member.
        member: MemberNo,
    },
    /// A member is refused: no attempt of it ran, or those that may have run are still to be proved gone.
    Refused {
        /// The member.
        member: MemberNo,
        /// Seconds after which it may be submitted again.
        retry_in_s: Seconds,
    },
    /// A member failed.
    Failed {
        /// The member.
        member: MemberNo,
    },
    /// A running member finished.
    Finished {
        /// The member.
        member: MemberNo,
    },
    /// A running member is lost: its machine or its copy is gone.
    Lost {
        /// The member.
        member: MemberNo,
    },
    /// No copy of a member can run any more: the machines confirmed this, or none had a copy.
    Clear {
        /// The member.
        member: MemberNo,
    },
    /// The owner cancels the group, or ends it once it stands.
    Cancel,
    /// The planner shuts down: a group is given up unless all its members stand.
    Stop,
    /// Time has passed.
    Tick,
}

/// An output of the state machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Check whether there is room for the whole group.
    Admit,
    /// Submit the member as a job.
    Place(MemberNo),
    /// Withdraw or cut the member; [`Event::Clear`] follows once it is proved gone.
    Cut(MemberNo),
    /// Send the final answer.
    Answer(Answer),
    /// Send an [`Event::Tick`] at that time.
    WakeAt(Seconds),
    /// The group has ended: no further actions follow.
    Over,
}
