//! Who is here: which planners of a fleet may act for which of its places, decided by a few of them that vote. Pure: times
//! of the planner's own steady clock and words of other planners come in, words to others go out.
//!
//! Every listed planner has a slot. A slot is held by one life of one planner at a time, its own as long as that lives, and
//! another's, a caretaker's, once it does not. What hangs on a slot (a part of each budget, [`crate::decide::budgets`])
//! goes with it.
//!
//! What must hold, and what holds it (`model`, and the table in `docs/design/budgets.md`):
//! - At any instant of true time at most one life holds a slot. A life holds it while more than half of all voters gave it
//!   their vote; a voter gives each vote to one life, for [`Terms::lender_term`] of its own clock; the holder counts the
//!   same vote from when its claim left, for the shorter [`Terms::borrower_term`].
//! - A voter that has started gives no vote until all that an earlier life of it may have given have lapsed.
//! - A life that has given a slot back counts no vote that it claimed before.
//! - A claim that comes late, after a newer one of its life or after its slot was given back, is not obeyed.
//!
//! Method: leases by clocks that only need a bounded rate error (C. Gray and D. Cheriton, "Leases", SOSP 1989), each given
//! by a majority (D. Gifford, "Weighted Voting for Replicated Data", SOSP 1979). There is no election and no leader: each
//! slot is decided alone, and which planner claims one that is free follows from a draw that all voters make alike.

pub mod settings;
mod voter;

pub use voter::Voter;

use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Microseconds on the planner's own steady clock.
pub type Micros = u64;
/// A planner, by its place in the fleet's list. Its slot has the same number.
pub type Member = u16;
/// A life of a planner: drawn anew at each start.
pub type Life = u64;

/// Count. Planners of a fleet at most.
pub const MOST_MEMBERS: usize = 1024;
/// Count. Claims that wait for their answers; older ones are not counted any more.
const MOST_OUT: usize = 16;
/// Parts of a lease. How often what is held is claimed anew.
const CLAIMS_A_LEASE: u64 = 4;

/// How leases run; the same at all planners of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Microseconds that a vote or a loan lasts.
    pub lease: Micros,
    /// Millionths by which a clock may run fast or slow.
    pub rate_error_ppm: u64,
    /// Microseconds between asks for more of a budget.
    pub ask_every: Micros,
    /// Thousandths of its part that a planner may use without hearing anyone; the rest hangs on its slot.
    pub floor_permille: u64,
}

impl Terms {
    /// What a clock may be off over a span, at most.
    fn error(&self, span: Micros) -> Micros {
        (span as u128 * self.rate_error_ppm as u128 / 1_000_000) as Micros + 1
    }

    /// So long by its own clock a giver counts what it gave for that span: longer than any clock's.
    pub fn given_for(&self, span: Micros) -> Micros {
        span + self.error(span)
    }

    /// So long by its own clock a taker counts what it was given for that span: shorter than any clock's.
    pub fn taken_for(&self, span: Micros) -> Micros {
        span.saturating_sub(self.error(span))
    }

    /// The same for a whole lease, at the giver.
    pub fn lender_term(&self) -> Micros {
        self.given_for(self.lease)
    }

    /// The same for a whole lease, at the taker.
    pub fn borrower_term(&self) -> Micros {
        self.taken_for(self.lease)
    }
}

/// A neutral figure, the same for the same value at every planner.
pub fn mixed(value: impl Hash) -> u64 {
    let mut hash = SipHasher13::new();
    value.hash(&mut hash);
    hash.finish()
}

/// A planner claims a slot of a voter, or gives it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Claim {
    /// The slot.
    pub slot: Member,
    /// Counts this life's claims.
    pub number: u64,
    /// Whether it is claimed; else it is given back.
    pub keep: bool,
}

/// A voter's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Vote {
    /// The slot.
    pub slot: Member,
    /// The life that claimed.
    pub life: Life,
    /// The claim.
    pub number: u64,
    /// Whether it has the vote for a lease.
    pub given: bool,
    /// Its own planner is back and waits for it.
    pub wanted: bool,
    /// A slot that nobody holds and that falls to the claimer.
    pub free: Option<Member>,
}

/// What a planner may count on: slots, each until a time of its clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ground {
    /// Until then an earlier life's floor may still be in use or lent.
    pub quiet_until: Micros,
    /// The slots held, and until when each.
    pub slots: Vec<(Member, Micros)>,
}

/// A slot that this planner claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Hold {
    /// When it was claimed first.
    since: Micros,
    /// The numbers of its last claims and when each left.
    asked: VecDeque<(u64, Micros)>,
    /// Until when each voter's vote counts here.
    votes: BTreeMap<Member, Micros>,
    /// It is claimed no more: its own planner waits for it, or this one leaves.
    giving: bool,
}

impl Hold {
    /// Until when more than half of so many voters gave it.
    fn until(&self, voters: usize) -> Micros {
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
    life: Life,
    terms: Terms,
    voters: Vec<Member>,
    voter: Option<Voter>,
    holds: BTreeMap<Member, Hold>,
    /// Claims made so far.
    count: u64,
    claim_at: Micros,
    leaving: bool,
    ground: Ground,
    /// When each other planner was heard last, and its life then.
    heard: BTreeMap<Member, (Life, Micros)>,
}

impl Fleet {
    /// The part of the planner `me` of so many, in a life that begins now. Without voters nothing hangs on slots.
    pub fn new(
        (me, members): (Member, Member),
        life: Life,
        voters: Vec<Member>,
        terms: Terms,
        now: Micros,
    ) -> Fleet {
        debug_assert!(me < members && usize::from(members) <= MOST_MEMBERS);
        debug_assert!(voters.iter().all(|v| *v < members));
        let voter = voters.contains(&me).then(|| Voter::new(members, terms, now));
        let ground = Ground { quiet_until: now + terms.lender_term(), slots: Vec::new() };
        Fleet {
            me,
            members,
            life,
            terms,
            voters,
            voter,
            holds: BTreeMap::new(),
            count: 0,
            claim_at: now,
            leaving: false,
            ground,
            heard: BTreeMap::new(),
        }
    }

    /// This planner, and how many there are.
    pub fn place(&self) -> (Member, Member) {
        (self.me, self.members)
    }

    /// This life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// How leases run.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// Thousandths of each planner's part that hang on no slot.
    pub fn floor_permille(&self) -> u64 {
        if self.voters.is_empty() {
            1000
        } else {
            self.terms.floor_permille
        }
    }

    /// What this planner may count on.
    pub fn ground(&self) -> &Ground {
        &self.ground
    }

    /// Whether this planner has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Planners heard within two leases.
    pub fn here(&self, now: Micros) -> usize {
        self.heard.values().filter(|(_, at)| now < *at + 2 * self.terms.lease).count()
    }

    /// Books that a planner was heard.
    pub fn note(&mut self, now: Micros, from: Member, life: Life) {
        if from < self.members && from != self.me {
            self.heard.insert(from, (life, now));
        }
    }

    fn refresh(&mut self) {
        let voters = self.voters.len();
        let slots = self.holds.iter().map(|(&slot, hold)| (slot, hold.until(voters)));
        self.ground.slots = slots.filter(|(_, until)| *until > 0).collect();
    }

    /// The planner is about to stop: it claims nothing more, and gives back what it can spare.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.holds.values_mut().for_each(|hold| hold.giving = true);
    }

    /// Slots that are to be given back as soon as nothing counts on them.
    pub fn giving(&self) -> Vec<Member> {
        self.holds.iter().filter(|(_, hold)| hold.giving).map(|(&slot, _)| slot).collect()
    }

    /// Gives a slot back: nothing counts on it any more.
    pub fn give_back(&mut self, now: Micros, slot: Member) -> Vec<(Member, Claim)> {
        if self.holds.remove(&slot).is_none() {
            return Vec::new();
        }
        self.refresh();
        self.count += 1;
        self.say(now, Claim { slot, number: self.count, keep: false })
    }

    /// A claim to all voters; this planner's own vote is given at once.
    fn say(&mut self, now: Micros, claim: Claim) -> Vec<(Member, Claim)> {
        let mut words: Vec<_> = self.voters.iter().filter(|v| **v != self.me).map(|&v| (v, claim)).collect();
        if let Some(vote) = self.voter.as_mut().and_then(|v| v.hear(now, (self.me, self.life), claim)) {
            words.extend(self.voted(now, self.me, vote));
        }
        words
    }

    fn claim(&mut self, now: Micros, slot: Member) -> Vec<(Member, Claim)> {
        self.count += 1;
        let number = self.count;
        let hold = self.holds.entry(slot).or_insert_with(|| Hold { since: now, ..Hold::default() });
        hold.asked.push_back((number, now));
        if hold.asked.len() > MOST_OUT {
            hold.asked.pop_front();
        }
        self.say(now, Claim { slot, number, keep: true })
    }

    /// What is due: claims on what is held, and what is given up.
    pub fn tick(&mut self, now: Micros) -> Vec<(Member, Claim)> {
        let mut words = Vec::new();
        if self.voters.is_empty() {
            return words;
        }
        let (voters, lease, me) = (self.voters.len(), self.terms.lease, self.me);
        // What lapsed while it was being given back is nobody's here; a claim on another's slot that found no majority
        // makes room for others' claims.
        let over = |(&slot, hold): (&Member, &Hold)| {
            let lapsed = hold.until(voters) <= now;
            (lapsed && (hold.giving || (slot != me && now >= hold.since + lease / 2))).then_some(slot)
        };
        let over: Vec<Member> = self.holds.iter().filter_map(over).collect();
        for slot in over {
            words.extend(self.give_back(now, slot));
        }
        if now >= self.claim_at {
            // Drawn from the life, so that planners that started together do not claim in step.
            let every = lease / CLAIMS_A_LEASE;
            self.claim_at = now + every - mixed((self.life, self.count)) % (every / 4 + 1);
            if !self.leaving {
                self.holds.entry(me).or_insert_with(|| Hold { since: now, ..Hold::default() });
            }
            let wanted = self.holds.iter().filter(|(_, hold)| !hold.giving).map(|(&slot, _)| slot);
            for slot in wanted.collect::<Vec<_>>() {
                words.extend(self.claim(now, slot));
            }
        }
        self.refresh();
        words
    }

    /// Takes a claim in, where this planner votes; tells what is answered.
    pub fn claimed(&mut self, now: Micros, from: (Member, Life), claim: Claim) -> Option<Vote> {
        if from.0 == self.me || from.0 >= self.members || claim.slot >= self.members {
            return None;
        }
        self.voter.as_mut()?.hear(now, from, claim)
    }

    /// Takes a vote in; tells what is claimed next.
    pub fn voted(&mut self, now: Micros, from: Member, vote: Vote) -> Vec<(Member, Claim)> {
        if vote.life != self.life || !self.voters.contains(&from) {
            return Vec::new();
        }
        if let Some(hold) = self.holds.get_mut(&vote.slot) {
            let asked = hold.asked.iter().find(|(number, _)| *number == vote.number);
            if let Some((_, asked)) = asked.filter(|_| vote.given) {
                let until = hold.votes.entry(from).or_default();
                *until = (*until).max(asked + self.terms.borrower_term());
                hold.giving |= vote.wanted && vote.slot != self.me;
                self.refresh();
            }
        }
        match vote.free {
            Some(slot) if slot < self.members && !self.leaving && !self.holds.contains_key(&slot) => {
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
