//! The section `fleet` of the operators' file: the planners, which of them vote, and how leases run.

use super::{mixed, Member, Terms, MOST_MEMBERS};
use crate::decide::budgets::Plan;
use crate::decide::subsets::settings::{self as parts, Parts};
use crate::decide::subsets::Subsets;
use crate::document::{Item, Section};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Milliseconds. The shortest and the longest lease, and the one where none is set.
const LEASE_MS: (f64, f64, f64) = (500.0, 120_000.0, 3000.0);
/// Share of its part that a planner may use without hearing anyone, where none is set.
const FLOOR_SHARE: f64 = 0.5;
/// Millionths by which a clock may run fast or slow: the most, and where none is set. Clocks of machines that nothing
/// disciplines drift by some 100; a hundredth leaves room for those that are slewed hard.
const RATE_ERROR_PPM: (f64, f64) = (100_000.0, 10_000.0);
/// Count. Planners that vote at most; more make each slot dearer and hardly safer.
const MOST_VOTERS: usize = 9;
/// Bytes of a name.
const MOST_NAME: usize = 64;
/// Parts of a lease between asks, and the least and most of it in microseconds.
const ASKS: (u64, u64, u64) = (60, 20_000, 500_000);
const LOOPBACK: &str = "planners of a fleet are reached on loopback only";

/// The whole section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name: words of another are dropped.
    pub name: String,
    /// Where this planner hears the others.
    pub listen: SocketAddr,
    /// All planners: their names, and where this one reaches them.
    pub planners: Vec<(String, SocketAddr)>,
    /// What follows for the decisions.
    pub plan: Plan,
    /// For how many machines the fleet is planned, and how many planners serve each; all serve all where absent.
    pub parts: Option<Parts>,
}

impl FleetSettings {
    /// Tells fleets apart that would not divide alike: their names, lists and terms, but no addresses.
    pub fn digest(&self) -> u64 {
        let names: Vec<&str> = self.planners.iter().map(|(name, _)| name.as_str()).collect();
        let usual = (&self.name, names, &self.plan.voters, self.plan.terms);
        match self.parts {
            None => mixed(usual),
            Some(parts) => mixed((usual, parts)),
        }
    }

    /// Which machines this planner serves; nothing where that is all of them.
    pub fn subsets(&self) -> Option<(Subsets, Parts)> {
        let parts = self.parts.filter(|parts| !parts.is_whole(self.planners.len()))?;
        let names = self.planners.iter().map(|(name, _)| name.as_str());
        Some((Subsets::new(names, usize::from(self.plan.place.0), parts.replicas), parts))
    }
}

fn name<'a>(item: &Item<'a>) -> Option<&'a str> {
    let text = item.text()?;
    let usual = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.len() > MOST_NAME || !text.chars().all(usual) {
        item.fault(format!("must be up to {MOST_NAME} letters, digits, '-', '_' and '.'"));
        return None;
    }
    Some(text)
}

fn address(item: &Item<'_>) -> Option<SocketAddr> {
    let text = item.text()?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(_) => item.breaks("is reached from outside", LOOPBACK),
        Err(_) => item.fault(format!("{text:?} is no address; ADDRESS:PORT is expected")),
    }
    None
}

/// Reads the section; its faults go to the item's sink.
pub fn read(item: &Item<'_>) -> Option<FleetSettings> {
    let before = item.sink().count();
    let section = item.section()?;
    let fleet = section.need("name").and_then(|i| name(&i).map(String::from));
    let listen = section.need("listen").and_then(|i| address(&i));
    let planners = section.need("planners").and_then(|i| planners(&i)).unwrap_or_default();
    let names: Vec<&str> = planners.iter().map(|(name, _)| name.as_str()).collect();
    let place = |item: &Item<'_>| {
        let text = item.text()?;
        let at = names.iter().position(|known| *known == text);
        if at.is_none() {
            item.unknown(text, &names);
        }
        at.map(|at| at as Member)
    };
    let own = section.need("own").and_then(|i| place(&i));
    let voters = voters(&section, place);
    let lease = section.get("leaseMs").map_or(Some(LEASE_MS.2), |i| i.within(LEASE_MS.0..=LEASE_MS.1, " ms"));
    let floor = section.get("floorShare").map_or(Some(FLOOR_SHARE), |i| i.within(0.0..=1.0, ""));
    let error =
        section.get("clockErrorPpm").map_or(Some(RATE_ERROR_PPM.1), |i| i.within(0.0..=RATE_ERROR_PPM.0, ""));
    let parts = section.get("parts").and_then(|i| parts::read(&i, planners.len()));
    section.close(|_| None);
    let lease = (lease? * 1e3) as u64;
    let terms = Terms {
        lease,
        rate_error_ppm: error? as u64,
        ask_every: (lease / ASKS.0).clamp(ASKS.1, ASKS.2),
        floor_permille: (floor? * 1000.0).round() as u64,
    };
    let plan = Plan { place: (own?, planners.len() as Member), voters, terms };
    let settings = FleetSettings { name: fleet?, listen: listen?, planners, plan, parts };
    (item.sink().count() == before).then_some(settings)
}

fn planners(item: &Item<'_>) -> Option<Vec<(String, SocketAddr)>> {
    let list = item.list()?;
    if list.is_empty() || list.len() > MOST_MEMBERS {
        item.fault(format!("has {} planners; 1 to {MOST_MEMBERS} are allowed", list.len()));
        return None;
    }
    let (mut all, mut names, mut addresses) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
    for one in &list {
        let Some(section) = one.section() else { continue };
        let name = section.need("name").and_then(|i| name(&i).map(String::from));
        let address = section.need("address").and_then(|i| address(&i));
        section.close(|_| None);
        let (Some(name), Some(address)) = (name, address) else { continue };
        if !names.insert(name.clone()) {
            one.fault(format!("is a second planner named {name:?}"));
        }
        if !addresses.insert(address) {
            one.fault(format!("has the address of another planner, {address}"));
        }
        all.push((name, address));
    }
    Some(all)
}

fn voters(section: &Section<'_>, place: impl Fn(&Item<'_>) -> Option<Member>) -> Vec<Member> {
    let Some(item) = section.get("voters") else { return Vec::new() };
    let Some(list) = item.list() else { return Vec::new() };
    let mut voters: Vec<Member> = list.iter().filter_map(place).collect();
    voters.sort_unstable();
    let count = voters.len();
    voters.dedup();
    if voters.len() < count {
        item.fault("names a planner twice");
    }
    if list.len() > MOST_VOTERS || list.len() % 2 == 0 {
        item.fault(format!(
            "has {} planners; an odd number up to {MOST_VOTERS} is allowed, as more than half of them decide",
            list.len()
        ));
    }
    voters
}
