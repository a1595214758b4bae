//! A voter's records: the incarnation to which it gave its vote for each slot, and until when.

use super::{stable_hash, Claim, Incarnation, Member, Micros, Terms, Vote};
use std::collections::BTreeMap;

/// Divisor of the lease. For that time after a slot expired, only its own planner may claim it, so that a
/// planner that is merely late gets it back.
const OWN_FIRST_DIVISOR: u64 = 4;
/// The most free slots that are examined for one answer.
const MAX_SLOTS_SCANNED: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GivenVote {
    to: (Member, Incarnation),
    until: Micros,
    /// The number of the incarnation's last claim that was processed.
    number: u64,
    /// When the slot's own planner last claimed it in vain.
    own_denied_at: Option<Micros>,
}

/// The records; their size is bounded by the fleet's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    members: Member,
    terms: Terms,
    /// Until then votes of an earlier incarnation may still be in force.
    grace_until: Micros,
    votes: BTreeMap<Member, GivenVote>,
    /// The slot at which the last search for a free slot stopped.
    last_scanned: Member,
}

impl Voter {
    /// A voter that starts at `now`.
    pub fn new(members: Member, terms: Terms, now: Micros) -> Voter {
        Voter {
            members,
            terms,
            grace_until: now + terms.lender_term(),
            votes: BTreeMap::new(),
            last_scanned: 0,
        }
    }

    /// Processes a claim and returns the answer, if any.
    pub fn on_claim(&mut self, now: Micros, from: (Member, Incarnation), claim: Claim) -> Option<Vote> {
        let Claim { slot, number, keep } = claim;
        let mut vote = Vote { slot, incarnation: from.1, number, given: false, wanted: false, free: None };
        if now < self.grace_until {
            return keep.then_some(vote);
        }
        let until = now + self.terms.lender_term();
        let free = from.0 == slot || self.is_free(now, slot);
        match self.votes.get_mut(&slot) {
            // A late or duplicate claim of the holder is ignored: the slot may have been given back since.
            Some(given) if given.to == from && number <= given.number => return None,
            Some(given) if given.to == from => {
                given.number = number;
                // The slot's own planner leaves: the slot becomes free for others without delay.
                let left =
                    now.saturating_sub(if from.0 == slot { self.terms.lease / OWN_FIRST_DIVISOR } else { 0 });
                given.until = if keep { until.max(given.until) } else { left };
                vote.given = keep;
                vote.wanted =
                    from.0 != slot && given.own_denied_at.is_some_and(|at| now < at + self.terms.lease);
            }
            _ if !keep => return None,
            Some(given) if now < given.until => {
                given.own_denied_at = (from.0 == slot).then_some(now).or(given.own_denied_at);
            }
            _ if free => {
                self.votes.insert(slot, GivenVote { to: from, until, number, own_denied_at: None });
                vote.given = true;
            }
            _ => {}
        }
        if keep && from.0 == slot && vote.given {
            vote.free = self.free_for(now, from.0);
        }
        keep.then_some(vote)
    }

    /// Whether nobody holds a slot, its own planner has had time to claim it, and has not claimed it in vain
    /// within a lease.
    fn is_free(&self, now: Micros, slot: Member) -> bool {
        match self.votes.get(&slot) {
            Some(given) => {
                let was_denied = given.own_denied_at.is_some_and(|at| now < at + self.terms.lease);
                !was_denied && now >= given.until + self.terms.lease / OWN_FIRST_DIVISOR
            }
            None => now >= self.grace_until + self.terms.lease / OWN_FIRST_DIVISOR,
        }
    }

    /// A free slot that this planner should claim: one for which its hash is the highest among all planners
    /// present, so that all voters name the same planner for a slot.
    fn free_for(&mut self, now: Micros, to: Member) -> Option<Member> {
        let mut scanned = 0;
        for _ in 0..self.members {
            self.last_scanned = (self.last_scanned + 1) % self.members;
            let slot = self.last_scanned;
            if !self.is_free(now, slot) {
                continue;
            }
            let present =
                self.votes.iter().filter(|(&own, g)| g.to.0 == own && now < g.until).map(|(&own, _)| own);
            if present.max_by_key(|member| stable_hash((slot, member))) == Some(to) {
                return Some(slot);
            }
            scanned += 1;
            if scanned >= MAX_SLOTS_SCANNED {
                break;
            }
        }
        None
    }
}
