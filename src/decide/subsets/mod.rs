//! Which machines a planner serves, where a fleet of planners is too large for each to hold a connection to every machine.
//! Pure: names of planners and keys of machines come in, a verdict goes out; no I/O, no clock, no list of machines.
//!
//! Every machine has a draw for every listed planner, made from the two names alone. The planners with the highest draws,
//! as many as the operators ask for (`replicas`), serve the machine. What follows, and the test that holds it
//! (`subsets/tests.rs`, and `state/outside/tests.rs` for what the reducer makes of it):
//!
//! - **Exactly `replicas` planners serve each machine**, at any instant and whatever lists of machines the planners have:
//!   the verdict depends on the planners' names and the machine's key alone. Hence the sum over all planners of what they
//!   may offer to a cold machine is `replicas` times one planner's share (`every_machine_has_exactly_its_planners`).
//! - **It does not depend on who is alive.** A planner that is dead leaves `replicas - 1` to its machines, and none more
//!   may act for it; there is nothing to agree on, so nothing can be out of date.
//! - **Parts are even**: a part has `machines * replicas / planners` machines in the mean, and a planner's part differs from
//!   that by four standard deviations of a binomial draw at most (`parts_are_even`).
//! - **A planner that comes or goes moves its own part alone**, and a machine that comes or goes moves itself alone
//!   (`a_planner_that_goes_moves_its_own_part_alone`, `a_machine_is_served_alike_in_every_list`).
//! - **The order of the list means nothing** (`the_order_of_planners_means_nothing`).
//! - **Below the size at which it is needed nothing changes**: the part is the whole fleet
//!   (`settings::Parts::is_whole`, `small_fleets_are_served_whole`).
//!
//! Method: rendezvous, or highest random weight, hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
//! Increase Hit Rates", IEEE/ACM Transactions on Networking 1998). What of the fleet lies beyond the part is reached in
//! bounded steps ([`reach`]).

pub mod reach;
pub mod settings;

use crate::placer::MachineKey;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A planner's view of who serves what: all listed planners, and which of them it is.
#[derive(Clone, Debug)]
pub struct Subsets {
    /// One hash for each planner's name.
    planners: Vec<u64>,
    own: usize,
    replicas: usize,
}

/// A hash of a planner's name, the same at every planner.
fn name_hash(name: &str) -> u64 {
    let mut hash = SipHasher13::new();
    hash.write(name.as_bytes());
    hash.finish()
}

/// The draw of a planner for a machine.
fn draw(planner: u64, machine: MachineKey) -> u64 {
    let mut hash = SipHasher13::new();
    hash.write_u64(planner);
    hash.write_u64(machine.0);
    hash.finish()
}

impl Subsets {
    /// The planners of a fleet by their names, the place of this one among them, and how many serve each machine.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>, own: usize, replicas: usize) -> Subsets {
        let planners: Vec<u64> = names.into_iter().map(name_hash).collect();
        debug_assert!(own < planners.len(), "a planner is one of those listed");
        let replicas = replicas.clamp(1, planners.len().max(1));
        Subsets { planners, own, replicas }
    }

    /// How many planners are listed.
    pub fn planners(&self) -> usize {
        self.planners.len()
    }

    /// How many planners serve each machine.
    pub fn replicas(&self) -> usize {
        self.replicas
    }

    /// Whether this planner serves a machine: fewer than `replicas` others have a higher draw.
    pub fn serves(&self, machine: MachineKey) -> bool {
        let Some(&own) = self.planners.get(self.own) else { return true };
        let own = (draw(own, machine), own);
        let is_higher = |&&planner: &&u64| (draw(planner, machine), planner) > own;
        self.planners.iter().filter(is_higher).take(self.replicas).count() < self.replicas
    }

    /// The planners that serve a machine, by their places in the list, the highest draw first.
    pub fn servers(&self, machine: MachineKey) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.planners.len()).collect();
        let rank = |at: usize| (draw(self.planners[at], machine), self.planners[at]);
        order.sort_by_key(|&at| std::cmp::Reverse(rank(at)));
        order.truncate(self.replicas);
        order
    }
}

#[cfg(test)]
mod tests;
