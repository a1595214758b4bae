//! The planner's part in its fleet: messages from and to other planners. `decide::fleet` and
//! `decide::budgets` make the decisions.

use super::alarms::Alarm;
use super::*;
use crate::decide::budgets::{BudgetLedger, PeerMessage, Plan, State};
use crate::decide::fleet::{Incarnation, Member, Micros};
use crate::decide::limits::micros;

/// The fleet, as readers see it.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The index of this planner in the list of planners, and the number of planners.
    pub place: (Member, Member),
    /// Count. Planners from which a message arrived recently.
    pub here: usize,
    /// The slots held, each with the remaining seconds of its lease.
    pub slots: Vec<(Member, Seconds)>,
    /// The state of each shared budget.
    pub budgets: Vec<State>,
}

impl Core {
    /// The fleet, if the planner is part of one.
    pub fn fleet_view(&mut self, now: Seconds) -> Option<FleetView> {
        let ledger = self.limits.limits.ledger()?;
        let now = micros(now);
        let (fleet, budgets) = (ledger.fleet(), ledger.states(now));
        let remaining_s = |until: Micros| until.saturating_sub(now) as f64 / 1e6;
        let slots = fleet.slot_leases().slots.iter().filter(|(_, until)| now < *until);
        let slots = slots.map(|(slot, until)| (*slot, remaining_s(*until))).collect();
        Some(FleetView { place: fleet.place(), here: fleet.here(now), slots, budgets })
    }

    pub(super) fn join(&mut self, now: Seconds, plan: &Plan, incarnation: Incarnation) {
        self.limits.limits.join(BudgetLedger::new(plan, incarnation, micros(now)));
        self.alarm(now, Alarm::Fleet);
    }

    pub(super) fn handle_peer_messages(
        &mut self,
        now: Seconds,
        from: (Member, Incarnation),
        messages: Vec<PeerMessage>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(ledger) = self.limits.limits.ledger() else { return };
        let mut out = Vec::new();
        messages.into_iter().for_each(|message| ledger.receive(micros(now), from, message, &mut out));
        send_messages(out, effects);
    }

    /// Carries out what is due in the fleet, and schedules the next call.
    pub(super) fn fleet_tick(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let Some(ledger) = self.limits.limits.ledger() else { return };
        let mut out = Vec::new();
        ledger.tick(micros(now), &mut out);
        effects.extend(ledger.lines().into_iter().map(Effect::Log));
        let every = ledger.fleet().terms().ask_every as f64 / 1e6;
        send_messages(out, effects);
        self.alarm(now + every, Alarm::Fleet);
    }

    /// Returns the planner's shares of the fleet's budgets, because the planner shuts down.
    pub(super) fn leave_fleet(&mut self) {
        if let Some(ledger) = self.limits.limits.ledger() {
            ledger.leave();
        }
    }
}

/// Sends the messages, collected into one effect per planner.
fn send_messages(out: Vec<(Member, PeerMessage)>, effects: &mut Vec<Effect>) {
    let mut by_member: BTreeMap<Member, Vec<PeerMessage>> = BTreeMap::new();
    out.into_iter().for_each(|(to, message)| by_member.entry(to).or_default().push(message));
    effects.extend(by_member.into_iter().map(|(to, messages)| Effect::SendToPeer { to, messages }));
}
