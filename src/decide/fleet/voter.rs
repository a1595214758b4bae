//! A voter's books: to which life it gave its vote for each slot, and until when.

use super::{mixed, Claim, Life, Member, Micros, Terms, Vote};
use std::collections::BTreeMap;

/// Parts of a lease. A slot that lapsed stays free for its own planner alone for so long: one that is only late comes back.
const OWN_FIRST: u64 = 4;
/// Count. Free slots that are looked at for one answer.
const MOST_LOOKED_AT: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Given {
    to: (Member, Life),
    until: Micros,
    /// The last claim of that life that was obeyed.
    number: u64,
    /// When its own planner asked for it in vain.
    missed: Option<Micros>,
}

/// The books. Bounded by the fleet's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    members: Member,
    terms: Terms,
    /// Until then an earlier life of it may have given its votes.
    quiet_until: Micros,
    given: BTreeMap<Member, Given>,
    /// Where the look for a free slot goes on.
    turn: Member,
}

impl Voter {
    /// A voter that starts now.
    pub fn new(members: Member, terms: Terms, now: Micros) -> Voter {
        Voter { members, terms, quiet_until: now + terms.lender_term(), given: BTreeMap::new(), turn: 0 }
    }

    /// Takes a claim in; tells what is answered.
    pub fn hear(&mut self, now: Micros, from: (Member, Life), claim: Claim) -> Option<Vote> {
        let Claim { slot, number, keep } = claim;
        let mut vote = Vote { slot, life: from.1, number, given: false, wanted: false, free: None };
        if now < self.quiet_until {
            return keep.then_some(vote);
        }
        let until = now + self.terms.lender_term();
        let free = from.0 == slot || self.is_free(now, slot);
        match self.given.get_mut(&slot) {
            // A late or doubled claim of the holder is not obeyed: the slot may have been given back since.
            Some(given) if given.to == from && number <= given.number => return None,
            Some(given) if given.to == from => {
                given.number = number;
                // Its own planner leaves: nobody has to wait for it.
                let left = now.saturating_sub(if from.0 == slot { self.terms.lease / OWN_FIRST } else { 0 });
                given.until = if keep { until.max(given.until) } else { left };
                vote.given = keep;
                vote.wanted = from.0 != slot && given.missed.is_some_and(|at| now < at + self.terms.lease);
            }
            _ if !keep => return None,
            Some(given) if now < given.until => {
                given.missed = (from.0 == slot).then_some(now).or(given.missed);
            }
            _ if free => {
                self.given.insert(slot, Given { to: from, until, number, missed: None });
                vote.given = true;
            }
            _ => {}
        }
        if keep && from.0 == slot && vote.given {
            vote.free = self.free_for(now, from.0);
        }
        keep.then_some(vote)
    }

    /// Whether nobody holds a slot, its own planner had time to claim it, and did not ask for it in vain.
    fn is_free(&self, now: Micros, slot: Member) -> bool {
        match self.given.get(&slot) {
            Some(given) => {
                let missed = given.missed.is_some_and(|at| now < at + self.terms.lease);
                !missed && now >= given.until + self.terms.lease / OWN_FIRST
            }
            None => now >= self.quiet_until + self.terms.lease / OWN_FIRST,
        }
    }

    /// A free slot that falls to that planner: the one with the highest draw of all that are here, so that all voters
    /// name the same planner for a slot.
    fn free_for(&mut self, now: Micros, to: Member) -> Option<Member> {
        let mut looked = 0;
        for _ in 0..self.members {
            self.turn = (self.turn + 1) % self.members;
            let slot = self.turn;
            if !self.is_free(now, slot) {
                continue;
            }
            let here =
                self.given.iter().filter(|(&own, g)| g.to.0 == own && now < g.until).map(|(&own, _)| own);
            if here.max_by_key(|member| mixed((slot, member))) == Some(to) {
                return Some(slot);
            }
            looked += 1;
            if looked >= MOST_LOOKED_AT {
                break;
            }
        }
        None
    }
}
