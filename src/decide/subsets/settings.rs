//! `parts` of the operators' section `fleet`: for how many machines the fleet is planned, and how many planners serve each.

use crate::decide::fleet::MOST_MEMBERS;
use crate::document::Item;

/// Count. Fleets planned for no more machines are served whole by every planner. A planner holds the connections and the
/// memory of so many within its default limits (1,024 sockets leave 619), and below that a part would be of use to
/// nobody: one machine in some hundred would be all that it has of a cell, a kind or a zone.
pub const WHOLE_FLEET_MACHINES: usize = 600;
/// Count. Machines that a part has in the mean at least, where the operators do not say how many planners serve each
/// machine: with seven zones and a few kinds, some ten of each kind in each zone to choose among.
pub const LEAST_PART: usize = 300;
/// Count. Planners that serve each machine at least: one may be away.
pub const LEAST_REPLICAS: usize = 2;
/// Count. Standard deviations by which a part may be larger than the mean part.
pub const DEVIATIONS: f64 = 4.0;
/// Count. Machines that a fleet may be planned for.
const MOST_MACHINES: u64 = 1_000_000;

/// What the operators ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parts {
    /// Machines that the fleet is planned for.
    pub machines: usize,
    /// Planners that serve each machine.
    pub replicas: usize,
}

/// How many machines a planner has the means to serve.
#[derive(Clone, Copy, Debug)]
pub struct Means {
    /// Connections that its limits leave to machines.
    pub connections: usize,
    /// Machines whose state its memory holds.
    pub in_memory: usize,
}

impl Parts {
    /// Whether every planner serves every machine, as without `parts`.
    pub fn is_whole(&self, planners: usize) -> bool {
        self.machines <= WHOLE_FLEET_MACHINES || self.replicas >= planners
    }

    /// Machines of a part in the mean.
    pub fn mean(&self, planners: usize) -> f64 {
        self.machines as f64 * self.share(planners)
    }

    /// Machines of a part at most, but for one planner in some ten thousand: the mean and four standard deviations.
    pub fn most(&self, planners: usize) -> usize {
        let share = self.share(planners);
        let deviation = (self.machines as f64 * share * (1.0 - share)).sqrt();
        (self.mean(planners) + DEVIATIONS * deviation).ceil().min(self.machines as f64) as usize
    }

    /// Share of the machines that one planner serves.
    fn share(&self, planners: usize) -> f64 {
        (self.replicas as f64 / planners.max(1) as f64).min(1.0)
    }

    /// The fewest planners with which a part has no more machines than that, if any list may have so many.
    fn planners_for(&self, machines: usize) -> Option<usize> {
        (self.replicas..=MOST_MEMBERS).find(|&planners| self.most(planners) <= machines)
    }
}

/// The fewest planners at each machine that leave the mean part as large as it should be.
fn usual_replicas(machines: usize, planners: usize) -> usize {
    let least = (LEAST_PART * planners).div_ceil(machines.max(1));
    least.max(LEAST_REPLICAS).min(planners)
}

/// Reads `parts` for a fleet of so many planners; its faults go to the item's sink.
pub fn read(item: &Item<'_>, planners: usize) -> Option<Parts> {
    let before = item.sink().count();
    let section = item.section()?;
    let machines = section.need("machines").and_then(|i| i.count(1..=MOST_MACHINES));
    let asked = section.get("replicas");
    let replicas = asked.as_ref().and_then(|i| i.count(LEAST_REPLICAS as u64..=MOST_MEMBERS as u64));
    section.close(|_| None);
    if let (Some(asked), Some(replicas)) = (&asked, replicas) {
        if replicas as usize > planners {
            asked.fault(format!(
                "asks for {replicas} planners at each machine and the list has {planners}; list more planners or ask for fewer"
            ));
        }
    }
    let machines = machines? as usize;
    let replicas = match asked {
        Some(_) => replicas? as usize,
        None => usual_replicas(machines, planners),
    };
    (item.sink().count() == before).then_some(Parts { machines, replicas })
}

/// Holds `parts` against what a planner has the means for, and against the planners that the settings know of.
/// `instances` is how many the settings tell of.
pub fn check(item: &Item<'_>, parts: &Parts, planners: usize, means: Means, instances: usize) {
    if parts.machines <= WHOLE_FLEET_MACHINES {
        return;
    }
    if instances > planners {
        item.fault(format!(
            "needs all planners in the list: the settings tell of {instances}, the list has {planners}; what a cold \
             machine bears is divided among those listed"
        ));
    }
    // As many again may be borrowed; those wait for their connections, and do not wait for memory.
    let in_memory = means.in_memory / 2;
    let (most, bound) = (parts.most(planners), means.connections.min(in_memory));
    if most <= bound {
        return;
    }
    let (what, limit) = if means.connections <= in_memory {
        ("connections", "limits.sockets")
    } else {
        ("machines", "limits.memory_mb")
    };
    let way_out = match parts.planners_for(bound) {
        Some(enough) => format!("list {enough} planners or more, or raise {limit}"),
        None => format!("raise {limit}"),
    };
    item.fault(format!("makes up to {most} machines a part, where {limit} leaves {bound} {what}; {way_out}"));
}
