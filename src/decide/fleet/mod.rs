//! Slots of a fleet: which planner may act for which position in the fleet's list, decided by the votes of a
//! few of the planners. Pure: times of the planner's own monotonic clock and messages from other planners
//! come in, messages to other planners go out.
//!
//! Every listed planner has a slot. One incarnation of one planner holds a slot at a time: the planner's own
//! while that runs, otherwise that of another planner, the caretaker. Whatever is tied to a slot (a part of
//! each budget, [`crate::decide::budgets`]) is used by its holder.
//!
//! Invariants, and the rules that ensure them (`model`, and the table in `docs/design/budgets.md`):
//! - At any instant of true time at most one incarnation holds a slot. An incarnation holds it while more
//!   than half of all voters have given it their vote. A voter gives its vote for a slot to one incarnation
//!   at a time, for [`Terms::lender_term`] by its own clock; the holder counts the same vote from the time
//!   when its claim was sent, for the shorter [`Terms::borrower_term`].
//! - A voter that has started gives no vote until every vote that an earlier incarnation of it may have given
//!   has expired.
//! - An incarnation that has given a slot back counts no vote for claims that it made before.
//! - A claim is ignored if it arrives after a newer one of its incarnation, or after its slot was given back.
//!
//! Method: leases by clocks that only need a bounded rate error (C. Gray and D. Cheriton, "Leases", SOSP
//! 1989), each given by a majority (D. Gifford, "Weighted Voting for Replicated Data", SOSP 1979). There is
//! no election and no leader: each slot is decided independently, and all voters choose the claimer of a free
//! slot by the same hash.

pub mod settings;
mod voter;

pub use voter::Voter;

use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Microseconds on the planner's own monotonic clock.
pub type Micros = u64;
/// A planner, by its index in the fleet's list. Its slot has the same number.
pub type Member = u16;
/// An incarnation of a planner: a random number drawn at each start.
pub type Incarnation = u64;

/// The most planners that a fleet may have.
pub const MAX_MEMBERS: usize = 1024;
/// The most unanswered claims that are kept for a slot; votes for older ones are ignored.
const MAX_PENDING_CLAIMS: usize = 16;
/// How often each held slot is claimed anew within one lease.
const CLAIMS_PER_LEASE: u64 = 4;

/// Parameters of the leases; the same at all planners of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Duration of a vote or a loan, in microseconds.
    pub lease: Micros,
    /// The largest rate error of a clock, in parts per million.
    pub rate_error_ppm: u64,
    /// Microseconds between asks for more units of a budget.
    pub ask_every: Micros,
    /// Thousandths of its base that a planner may use without the consent of others; the rest is tied to its
    /// slot.
    pub floor_permille: u64,
}

impl Terms {
    /// The largest error of a clock over a span.
    fn max_drift(&self, span: Micros) -> Micros {
        (span as u128 * self.rate_error_ppm as u128 / 1_000_000) as Micros + 1
    }

    /// How long a lender or voter, by its own clock, counts what it gave for a span: at least the span on any
    /// clock.
    pub fn lender_span(&self, span: Micros) -> Micros {
        span + self.max_drift(span)
    }

    /// How long a borrower or claimer, by its own clock, counts what it got for a span: at most the span on
    /// any clock.
    pub fn borrower_span(&self, span: Micros) -> Micros {
        span.saturating_sub(self.max_drift(span))
    }

    /// [`Terms::lender_span`] of a whole lease.
    pub fn lender_term(&self) -> Micros {
        self.lender_span(self.lease)
    }

    /// [`Terms::borrower_span`] of a whole lease.
    pub fn borrower_term(&self) -> Micros {
        self.borrower_span(self.lease)
    }
}

/// A hash that is the same for the same value at every planner.
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hash = SipHasher13::new();
    value.hash(&mut hash);
    hash.finish()
}

/// A claim on a slot, sent to a voter, or the notice that the slot is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Claim {
    /// The slot.
    pub slot: Member,
    /// Sequence number of this incarnation's claims.
    pub number: u64,
    /// Whether the slot is claimed; otherwise it is given back.
    pub keep: bool,
}

/// A voter's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Vote {
    /// The slot.
    pub slot: Member,
    /// The incarnation that made the claim.
    pub incarnation: Incarnation,
    /// The number of the claim.
    pub number: u64,
    /// Whether the voter gave its vote, for one lease.
    pub given: bool,
    /// The slot's own planner has claimed it in vain and waits for it.
    pub wanted: bool,
    /// A slot that nobody holds and that the claimer should claim next.
    pub free: Option<Member>,
}

/// The slots that this planner holds, and for how long.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SlotLeases {
    /// Until then the floor of an earlier incarnation may still be in use or on loan.
    pub grace_until: Micros,
    /// The slots held, each with its end.
    pub slots: Vec<(Member, Micros)>,
}

/// A slot that this planner claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SlotClaim {
    /// When it was first claimed.
    since: Micros,
    /// The numbers of the latest claims, and when each was sent.
    pending: VecDeque<(u64, Micros)>,
    /// The end of each voter's vote, as counted here.
    votes: BTreeMap<Member, Micros>,
    /// The slot is no longer claimed: its own planner waits for it, or this planner leaves.
    giving_back: bool,
}

impl SlotClaim {
    /// Until when votes of more than half of the voters last.
    fn held_until(&self, voters: usize) -> Micros {
        let mut votes: Vec<Micros> = self.votes.values().copied().collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        votes.get(voters / 2).copied().unwrap_or(0)
    }
}

/// One planner's part in its fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    me: Member,
    members: Member,
    incarnation: Incarnation,
    terms: Terms,
    voters: Vec<Member>,
    voter: Option<Voter>,
    slot_claims: BTreeMap<Member, SlotClaim>,
    /// Number of claims made so far.
    claim_count: u64,
    next_claim_at: Micros,
    leaving: bool,
    slot_leases: SlotLeases,
    /// Each other planner's incarnation, and when a message from it last arrived.
    last_heard: BTreeMap<Member, (Incarnation, Micros)>,
}

impl Fleet {
    /// The part of planner `me` of `members`, in an incarnation that starts at `now`. Without voters nothing
    /// is tied to slots.
    pub fn new(
        (me, members): (Member, Member),
        incarnation: Incarnation,
        voters: Vec<Member>,
        terms: Terms,
        now: Micros,
    ) -> Fleet {
        debug_assert!(me < members && usize::from(members) <= MAX_MEMBERS);
        debug_assert!(voters.iter().all(|v| *v < members));
        let voter = voters.contains(&me).then(|| Voter::new(members, terms, now));
        let slot_leases = SlotLeases { grace_until: now + terms.lender_term(), slots: Vec::new() };
        Fleet {
            me,
            members,
            incarnation,
            terms,
            voters,
            voter,
            slot_claims: BTreeMap::new(),
            claim_count: 0,
            next_claim_at: now,
            leaving: false,
            slot_leases,
            last_heard: BTreeMap::new(),
        }
    }

    /// The index of this planner, and the number of planners.
    pub fn place(&self) -> (Member, Member) {
        (self.me, self.members)
    }

    /// This incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Parameters of the leases.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// Thousandths of each planner's base that are tied to no slot.
    pub fn floor_permille(&self) -> u64 {
        if self.voters.is_empty() {
            1000
        } else {
            self.terms.floor_permille
        }
    }

    /// The slots that this planner holds.
    pub fn slot_leases(&self) -> &SlotLeases {
        &self.slot_leases
    }

    /// Whether this planner is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The number of other planners from which a message arrived within two leases.
    pub fn here(&self, now: Micros) -> usize {
        self.last_heard.values().filter(|(_, at)| now < *at + 2 * self.terms.lease).count()
    }

    /// Records that a message from a planner arrived.
    pub fn record_heard(&mut self, now: Micros, from: Member, incarnation: Incarnation) {
        if from < self.members && from != self.me {
            self.last_heard.insert(from, (incarnation, now));
        }
    }

    fn refresh_slots(&mut self) {
        let voters = self.voters.len();
        let slots = self.slot_claims.iter().map(|(&slot, slot_claim)| (slot, slot_claim.held_until(voters)));
        self.slot_leases.slots = slots.filter(|(_, until)| *until > 0).collect();
    }

    /// The planner is about to stop: it makes no more claims, and gives back the slots that it no longer
    /// needs.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.slot_claims.values_mut().for_each(|slot_claim| slot_claim.giving_back = true);
    }

    /// Slots to be given back as soon as no use and no loan relies on them.
    pub fn slots_to_give_back(&self) -> Vec<Member> {
        self.slot_claims
            .iter()
            .filter(|(_, slot_claim)| slot_claim.giving_back)
            .map(|(&slot, _)| slot)
            .collect()
    }

    /// Gives back a slot on which nothing relies any more.
    pub fn give_back(&mut self, now: Micros, slot: Member) -> Vec<(Member, Claim)> {
        if self.slot_claims.remove(&slot).is_none() {
            return Vec::new();
        }
        self.refresh_slots();
        self.claim_count += 1;
        self.broadcast(now, Claim { slot, number: self.claim_count, keep: false })
    }

    /// Sends a claim to all voters; if this planner votes, its own vote is given at once.
    fn broadcast(&mut self, now: Micros, claim: Claim) -> Vec<(Member, Claim)> {
        let mut claims: Vec<_> = self.voters.iter().filter(|v| **v != self.me).map(|&v| (v, claim)).collect();
        if let Some(vote) =
            self.voter.as_mut().and_then(|v| v.on_claim(now, (self.me, self.incarnation), claim))
        {
            claims.extend(self.on_vote(now, self.me, vote));
        }
        claims
    }

    fn claim(&mut self, now: Micros, slot: Member) -> Vec<(Member, Claim)> {
        self.claim_count += 1;
        let number = self.claim_count;
        let slot_claim =
            self.slot_claims.entry(slot).or_insert_with(|| SlotClaim { since: now, ..SlotClaim::default() });
        slot_claim.pending.push_back((number, now));
        if slot_claim.pending.len() > MAX_PENDING_CLAIMS {
            slot_claim.pending.pop_front();
        }
        self.broadcast(now, Claim { slot, number, keep: true })
    }

    /// Returns the claims that are due, and the notices for slots that are given up.
    pub fn tick(&mut self, now: Micros) -> Vec<(Member, Claim)> {
        let mut claims = Vec::new();
        if self.voters.is_empty() {
            return claims;
        }
        let (voters, lease, me) = (self.voters.len(), self.terms.lease, self.me);
        // Gives up slots that have expired while waiting to be given back. A claim on another planner's slot
        // that found no majority within half a lease is given up, too, so that others can claim the slot.
        let expired = |(&slot, slot_claim): (&Member, &SlotClaim)| {
            let has_expired = slot_claim.held_until(voters) <= now;
            (has_expired && (slot_claim.giving_back || (slot != me && now >= slot_claim.since + lease / 2)))
                .then_some(slot)
        };
        let expired: Vec<Member> = self.slot_claims.iter().filter_map(expired).collect();
        for slot in expired {
            claims.extend(self.give_back(now, slot));
        }
        if now >= self.next_claim_at {
            // The jitter depends on the incarnation, so that planners that started together do not claim in
            // step.
            let every = lease / CLAIMS_PER_LEASE;
            self.next_claim_at =
                now + every - stable_hash((self.incarnation, self.claim_count)) % (every / 4 + 1);
            if !self.leaving {
                self.slot_claims
                    .entry(me)
                    .or_insert_with(|| SlotClaim { since: now, ..SlotClaim::default() });
            }
            let wanted = self
                .slot_claims
                .iter()
                .filter(|(_, slot_claim)| !slot_claim.giving_back)
                .map(|(&slot, _)| slot);
            for slot in wanted.collect::<Vec<_>>() {
                claims.extend(self.claim(now, slot));
            }
        }
        self.refresh_slots();
        claims
    }

    /// Processes a claim and returns the answer, if this planner votes.
    pub fn on_claim(&mut self, now: Micros, from: (Member, Incarnation), claim: Claim) -> Option<Vote> {
        if from.0 == self.me || from.0 >= self.members || claim.slot >= self.members {
            return None;
        }
        self.voter.as_mut()?.on_claim(now, from, claim)
    }

    /// Processes a vote and returns the claims that follow from it.
    pub fn on_vote(&mut self, now: Micros, from: Member, vote: Vote) -> Vec<(Member, Claim)> {
        if vote.incarnation != self.incarnation || !self.voters.contains(&from) {
            return Vec::new();
        }
        if let Some(slot_claim) = self.slot_claims.get_mut(&vote.slot) {
            let pending = slot_claim.pending.iter().find(|(number, _)| *number == vote.number);
            if let Some((_, sent_at)) = pending.filter(|_| vote.given) {
                let until = slot_claim.votes.entry(from).or_default();
                *until = (*until).max(sent_at + self.terms.borrower_term());
                slot_claim.giving_back |= vote.wanted && vote.slot != self.me;
                self.refresh_slots();
            }
        }
        match vote.free {
            Some(slot) if slot < self.members && !self.leaving && !self.slot_claims.contains_key(&slot) => {
                self.claim(now, slot)
            }
            _ => Vec::new(),
        }
    }
}

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
