//! All budgets of a planner: the uses admitted here, the estimated demand for each budget, and the messages
//! between planners that concern them.

use super::share::{base, floor, Ask, Grant, Share};
use crate::decide::fleet::{stable_hash, Claim, Fleet, Incarnation, Member, Micros, Terms, Vote};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Weight of a new sample in the moving average of the duration of a use.
const MEAN_USE_WEIGHT: f64 = 0.1;
/// Share of the estimated demand that is left after one lease without any use or refusal. The estimate rises
/// at once and decays slowly, so that units do not move back and forth with each burst.
const DEMAND_KEPT_PER_LEASE: f64 = 0.4;
/// Factor on the peak of units in use, so that a planner holds some units in reserve.
const DEMAND_HEADROOM: f64 = 1.15;

/// Identifies a budget; the same at every planner whose operators' file has it.
pub type BudgetId = u64;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Jobs that were admitted and not yet answered.
    InFlight,
    /// Jobs admitted over time.
    Rate,
    /// Retries that are allowed in addition to those that first attempts earn.
    RetryFloor,
}

impl Kind {
    /// The setting's name in the operators' file.
    pub fn setting_name(self) -> &'static str {
        match self {
            Kind::InFlight => "inFlight",
            Kind::Rate => "ratePerS",
            Kind::RetryFloor => "retryFloor",
        }
    }

    /// The budget of that kind at a place of the operators' file.
    pub fn id(self, place: &str) -> BudgetId {
        stable_hash((place, self))
    }
}

/// A budget that the operators' file defines.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSpec {
    /// Its place in the operators' file.
    pub place: Arc<str>,
    /// What it limits.
    pub kind: Kind,
    /// The total of units for the whole fleet.
    pub total: u64,
    /// Hold time of each use in microseconds, where it is the same for all; 0 where a use ends when it is
    /// given back.
    pub hold: Micros,
}

/// A planner's position in its fleet and the fleet's parameters, from the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The index of this planner, and the number of planners.
    pub place: (Member, Member),
    /// The planners that vote.
    pub voters: Vec<Member>,
    /// Parameters of the leases.
    pub terms: Terms,
}

/// A message from one planner to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PeerMessage {
    /// To a voter: claims a slot or gives it back.
    Claim(Claim),
    /// A voter's answer.
    Vote(Vote),
    /// To a lender, about a budget.
    Ask(BudgetId, Ask),
    /// A lender's answer.
    Grant(BudgetId, Grant),
}

/// One unit that is in use, to be returned by [`BudgetLedger::give_back`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Use {
    budget: BudgetId,
    until: Micros,
    number: u64,
    since: Micros,
}

/// The state of a budget at this planner.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Its place in the operators' file.
    pub place: Arc<str>,
    /// What it limits.
    pub kind: Kind,
    /// The total of the whole fleet by this planner's file, and the effective total.
    pub total: (u64, u64),
    /// Units that may be in use at this planner.
    pub usable: u64,
    /// Units in use at this planner.
    pub used: u64,
    /// Units that this planner could use, as estimated.
    pub demand: u64,
}

/// One budget and its uses at this planner.
#[derive(Clone, Debug)]
struct Account {
    spec: BudgetSpec,
    share: Share,
    /// Uses that have not ended: the latest end of each, and its number.
    uses: BTreeSet<(Micros, u64)>,
    /// The most uses at once, and the number of refusals, since the estimate was last updated.
    peak: u64,
    refused: u64,
    /// Mean duration of a use here, in microseconds.
    mean_use_us: f64,
    estimated_demand: f64,
    estimated_at: Micros,
    /// When the operators' file dropped the budget; it is kept until all its loans have expired.
    removed_at: Option<Micros>,
    /// A lower total in another planner's operators file has been logged.
    mismatch_logged: bool,
}

impl Account {
    fn remove_expired(&mut self, now: Micros) {
        while self.uses.first().is_some_and(|(end, _)| *end <= now) {
            self.uses.pop_first();
        }
    }

    /// Reports the units in use and the demand to the share.
    fn update_share(&mut self) {
        let used = self.uses.len() as u64;
        self.peak = self.peak.max(used);
        let until = self.uses.last().map_or(0, |(end, _)| *end);
        self.share.set_need((self.estimated_demand.ceil() as u64).max(used), used, until);
    }

    /// Updates the estimate of demand from the uses since the last update and those that the refused callers
    /// would have made (Little's law).
    fn update_estimate(&mut self, now: Micros, terms: &Terms) {
        let span = now.saturating_sub(self.estimated_at);
        if span < terms.ask_every {
            return;
        }
        self.estimated_at = now;
        let missed = self.refused as f64 * (self.mean_use_us / span as f64).min(1.0);
        let fresh =
            if self.peak + self.refused > 0 { self.peak as f64 * DEMAND_HEADROOM + missed } else { 0.0 };
        let kept = self.estimated_demand * DEMAND_KEPT_PER_LEASE.powf(span as f64 / terms.lease as f64);
        self.estimated_demand = fresh.max(kept).min(1e15);
        if self.estimated_demand < 0.5 {
            self.estimated_demand = 0.0;
        }
        (self.peak, self.refused) = (self.uses.len() as u64, 0);
    }
}

/// A planner's part in its fleet and in all budgets.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    fleet: Fleet,
    accounts: BTreeMap<BudgetId, Account>,
    started: Micros,
    number: u64,
    lines: Vec<String>,
}

impl BudgetLedger {
    /// The part of an incarnation that starts at `now`.
    pub fn new(plan: &Plan, incarnation: Incarnation, now: Micros) -> BudgetLedger {
        let fleet = Fleet::new(plan.place, incarnation, plan.voters.clone(), plan.terms, now);
        BudgetLedger { fleet, accounts: BTreeMap::new(), started: now, number: 0, lines: Vec::new() }
    }

    /// The slots that this planner holds, and the planners heard from recently.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Sets the budgets of a new operators' file. Budgets that it drops are kept until all their loans have
    /// expired.
    pub fn set(&mut self, now: Micros, specs: impl IntoIterator<Item = BudgetSpec>) {
        let mut all: BTreeMap<BudgetId, BudgetSpec> =
            specs.into_iter().map(|spec| (spec.kind.id(&spec.place), spec)).collect();
        for (id, account) in &mut self.accounts {
            match all.remove(id) {
                Some(spec) => {
                    account.share.set_total(spec.total, spec.hold);
                    (account.spec, account.removed_at, account.mismatch_logged) = (spec, None, false);
                }
                None => _ = account.removed_at.get_or_insert(now),
            }
        }
        let (fleet, terms) = (&self.fleet, self.fleet.terms());
        for (id, spec) in all {
            let floor = if spec.kind == Kind::RetryFloor { 1000 } else { fleet.floor_permille() };
            let mut share = Share::new(
                fleet.place(),
                fleet.incarnation(),
                (spec.total, id),
                (terms, floor),
                self.started,
            );
            share.set_total(spec.total, spec.hold);
            // An initial guess, where the operators' file sets no hold time.
            let mean_use_us = if spec.hold > 0 { spec.hold as f64 } else { terms.lease as f64 / 4.0 };
            let account = Account {
                spec,
                share,
                uses: BTreeSet::new(),
                peak: 0,
                refused: 0,
                mean_use_us,
                estimated_demand: 0.0,
                estimated_at: now,
                removed_at: None,
                mismatch_logged: false,
            };
            self.accounts.insert(id, account);
        }
    }

    /// Takes one unit for at most `lasting` microseconds; `None` where there is no such budget.
    ///
    /// # Errors
    /// No unit is available for that long; the value is the number of microseconds after which to try again.
    pub fn take(&mut self, now: Micros, id: BudgetId, lasting: Micros) -> Result<Option<Use>, Micros> {
        let Some(account) = self.accounts.get_mut(&id) else { return Ok(None) };
        account.remove_expired(now);
        account.update_share();
        let hold = account.share.hold(now);
        // Long enough for any clock, so that a rate is kept in true time, too.
        let lasting = if hold > 0 { self.fleet.terms().lender_span(hold) } else { lasting };
        let leases = self.fleet.slot_leases();
        if !account.share.admits(leases, now, lasting) {
            account.refused += 1;
            let usable = account.share.usable(leases, now).max(1);
            return Err(account
                .share
                .retry_in(leases, now)
                .max((account.mean_use_us / usable as f64) as Micros));
        }
        self.number += 1;
        let until = now + lasting;
        account.uses.insert((until, self.number));
        account.update_share();
        Ok(Some(Use { budget: id, until, number: self.number, since: now }))
    }

    /// Ends a use.
    pub fn give_back(&mut self, now: Micros, used: Use) {
        let Some(account) = self.accounts.get_mut(&used.budget) else { return };
        // A unit of a rate becomes free by the passage of time alone.
        if account.spec.hold == 0 && account.uses.remove(&(used.until, used.number)) {
            account.mean_use_us +=
                MEAN_USE_WEIGHT * (now.saturating_sub(used.since) as f64 - account.mean_use_us);
        }
        account.remove_expired(now);
        account.update_share();
    }

    /// Cancels a use that was taken but not needed after all.
    pub fn put_back(&mut self, used: Use) {
        if let Some(account) = self.accounts.get_mut(&used.budget) {
            account.uses.remove(&(used.until, used.number));
            account.update_share();
        }
    }

    /// This planner's whole base of a budget that is never lent (a retry floor); 0 in the grace period after
    /// a start, in which uses of an earlier incarnation may not have ended.
    pub fn floor(&self, now: Micros, id: BudgetId) -> u64 {
        let Some(account) = self.accounts.get(&id) else { return 0 };
        let (me, members) = self.fleet.place();
        if now < self.started + self.fleet.terms().lender_span(account.spec.hold) {
            return 0;
        }
        floor(base(account.share.total(now), members, me, id), 1000)
    }

    /// Processes a message and appends the answers to `out`.
    pub fn receive(
        &mut self,
        now: Micros,
        (from, incarnation): (Member, Incarnation),
        message: PeerMessage,
        out: &mut Vec<(Member, PeerMessage)>,
    ) {
        self.fleet.record_heard(now, from, incarnation);
        match message {
            PeerMessage::Claim(claim) => {
                out.extend(
                    self.fleet
                        .on_claim(now, (from, incarnation), claim)
                        .map(|vote| (from, PeerMessage::Vote(vote))),
                );
            }
            PeerMessage::Vote(vote) => out.extend(claim_messages(self.fleet.on_vote(now, from, vote))),
            PeerMessage::Ask(id, ask) => {
                let leaving = self.fleet.is_leaving();
                let Some(account) = self.accounts.get_mut(&id) else { return };
                // A planner that leaves, or whose file dropped the budget, grants no new loans.
                if leaving || account.removed_at.is_some() || account.spec.kind == Kind::RetryFloor {
                    return;
                }
                account.remove_expired(now);
                account.update_share();
                let leases = self.fleet.slot_leases();
                let grant = account.share.on_ask(leases, now, from, ask);
                out.extend(grant.map(|grant| (from, PeerMessage::Grant(id, grant))));
            }
            PeerMessage::Grant(id, grant) => {
                if let Some(account) = self.accounts.get_mut(&id) {
                    account.share.on_grant(now, from, grant);
                }
            }
        }
    }

    /// Does what is due; to be called about every [`Terms::ask_every`].
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(Member, PeerMessage)>) {
        let claims = self.fleet.tick(now);
        out.extend(claim_messages(claims));
        let terms = self.fleet.terms();
        let loan_term = terms.lender_term();
        self.accounts.retain(|_, account| {
            account.removed_at.is_none_or(|at| now < at + loan_term + terms.lender_span(account.spec.hold))
        });
        for (&id, account) in &mut self.accounts {
            account.remove_expired(now);
            account.update_estimate(now, &terms);
            if self.fleet.is_leaving() || account.removed_at.is_some() {
                account.estimated_demand = 0.0;
            }
            account.update_share();
            let total = account.share.total(now);
            if total < account.spec.total && !account.mismatch_logged {
                account.mismatch_logged = true;
                let (place, kind, own) =
                    (&account.spec.place, account.spec.kind.setting_name(), account.spec.total);
                self.lines.push(format!(
                    "budget {place}.{kind}: another planner's operators file sets {total}, \
                     this planner's sets {own}; the lower value applies"
                ));
            }
            if account.spec.kind != Kind::RetryFloor {
                let leases = self.fleet.slot_leases();
                let asks = account.share.tick(leases, now);
                out.extend(asks.into_iter().map(|(to, ask)| (to, PeerMessage::Ask(id, ask))));
            }
        }
        for slot in self.fleet.slots_to_give_back() {
            let leases = self.fleet.slot_leases();
            if self.accounts.values().all(|account| account.share.can_spare(leases, now, slot)) {
                let claims = self.fleet.give_back(now, slot);
                out.extend(claim_messages(claims));
            }
        }
    }

    /// The planner is about to stop: from now on it does not claim, ask or lend, and gives back its slots as
    /// they become unused.
    pub fn leave(&mut self) {
        self.fleet.leave();
    }

    /// Log lines since the last call.
    pub fn lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// Units that may be in use here now.
    pub fn usable(&self, now: Micros, id: BudgetId) -> u64 {
        let Some(account) = self.accounts.get(&id) else { return 0 };
        if account.spec.kind == Kind::RetryFloor {
            return self.floor(now, id);
        }
        let leases = self.fleet.slot_leases();
        account.share.usable(leases, now)
    }

    /// The state of all budgets.
    pub fn states(&self, now: Micros) -> Vec<State> {
        let state = |(&id, account): (&BudgetId, &Account)| State {
            place: account.spec.place.clone(),
            kind: account.spec.kind,
            total: (account.spec.total, account.share.total(now)),
            usable: self.usable(now, id),
            used: account.uses.iter().filter(|(end, _)| *end > now).count() as u64,
            demand: account.estimated_demand.ceil() as u64,
        };
        self.accounts.iter().filter(|(_, account)| account.removed_at.is_none()).map(state).collect()
    }
}

fn claim_messages(claims: Vec<(Member, Claim)>) -> impl Iterator<Item = (Member, PeerMessage)> {
    claims.into_iter().map(|(to, claim)| (to, PeerMessage::Claim(claim)))
}
