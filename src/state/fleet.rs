//! The planner's part in its fleet: words of other planners in, words to them out. The decisions are `decide::fleet`'s and
//! `decide::budgets`'.

use super::alarms::Alarm;
use super::*;
use crate::decide::budgets::{Books, Plan, State, Word};
use crate::decide::fleet::{Life, Member, Micros};
use crate::decide::limits::micros;

/// The fleet as it can be looked at.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This planner, and how many there are.
    pub place: (Member, Member),
    /// Planners heard lately.
    pub here: usize,
    /// Slots held, and the seconds for which each is.
    pub slots: Vec<(Member, Seconds)>,
    /// The budgets.
    pub budgets: Vec<State>,
}

impl Core {
    /// The fleet, where the planner is in one.
    pub fn fleet_view(&mut self, now: Seconds) -> Option<FleetView> {
        let books = self.limits.limits.books()?;
        let now = micros(now);
        let (fleet, budgets) = (books.fleet(), books.states(now));
        let left = |until: Micros| until.saturating_sub(now) as f64 / 1e6;
        let slots = fleet.ground().slots.iter().filter(|(_, until)| now < *until);
        let slots = slots.map(|(slot, until)| (*slot, left(*until))).collect();
        Some(FleetView { place: fleet.place(), here: fleet.here(now), slots, budgets })
    }

    pub(super) fn join(&mut self, now: Seconds, plan: &Plan, life: Life) {
        self.limits.limits.join(Books::new(plan, life, micros(now)));
        self.alarm(now, Alarm::Fleet);
    }

    pub(super) fn hear_peer(
        &mut self,
        now: Seconds,
        from: (Member, Life),
        words: Vec<Word>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(books) = self.limits.limits.books() else { return };
        let mut out = Vec::new();
        words.into_iter().for_each(|word| books.hear(micros(now), from, word, &mut out));
        say(out, effects);
    }

    /// What is due in the fleet; again after a while.
    pub(super) fn fleet_tick(&mut self, now: Seconds, effects: &mut Vec<Effect>) {
        let Some(books) = self.limits.limits.books() else { return };
        let mut out = Vec::new();
        books.tick(micros(now), &mut out);
        effects.extend(books.lines().into_iter().map(Effect::Log));
        let every = books.fleet().terms().ask_every as f64 / 1e6;
        say(out, effects);
        self.alarm(now + every, Alarm::Fleet);
    }

    /// The planner stops: what it holds of the fleet goes to others.
    pub(super) fn leave_fleet(&mut self) {
        if let Some(books) = self.limits.limits.books() {
            books.leave();
        }
    }
}

/// Puts the words to each planner together.
fn say(out: Vec<(Member, Word)>, effects: &mut Vec<Effect>) {
    let mut by_member: BTreeMap<Member, Vec<Word>> = BTreeMap::new();
    out.into_iter().for_each(|(to, word)| by_member.entry(to).or_default().push(word));
    effects.extend(by_member.into_iter().map(|(to, words)| Effect::Say { to, words }));
}
