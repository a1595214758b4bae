//! The section `fleet` of the operators' file: the planners, the voters among them, and the parameters of the
//! leases.

use super::{stable_hash, Member, Terms, MAX_MEMBERS};
use crate::decide::budgets::Plan;
use crate::document::{Item, Section};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Milliseconds. The shortest and the longest lease, and the default.
const LEASE_RANGE_MS: (f64, f64, f64) = (500.0, 120_000.0, 3000.0);
/// The default share of its base that a planner may use without the consent of others.
const DEFAULT_FLOOR_SHARE: f64 = 0.5;
/// The largest clock rate error that may be set, and the default, in parts per million. Undisciplined clocks
/// of machines drift by about 100 ppm; the default of 1 % leaves room for clocks that are slewed hard.
const RATE_ERROR_PPM: (f64, f64) = (100_000.0, 10_000.0);
/// The most planners that vote. More voters make each slot more expensive to hold and hardly safer.
const MAX_VOTERS: usize = 9;
/// Bytes. The longest name of a fleet or a planner.
const MAX_NAME_BYTES: usize = 64;
/// Divisor of the lease that gives the interval between asks, and the bounds of that interval in
/// microseconds.
const ASK_INTERVAL: (u64, u64, u64) = (60, 20_000, 500_000);
const LOOPBACK: &str = "planners of a fleet are reached on loopback only";

/// The settings of the section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name: messages of another fleet are dropped.
    pub name: String,
    /// The address at which this planner receives messages from the others.
    pub listen: SocketAddr,
    /// All planners: their names, and the addresses at which this one reaches them.
    pub planners: Vec<(String, SocketAddr)>,
    /// The part of the settings that the decisions need.
    pub plan: Plan,
}

impl FleetSettings {
    /// A digest of the name, the list and the terms, without the addresses. Planners whose digests differ
    /// would divide budgets differently.
    pub fn digest(&self) -> u64 {
        let names: Vec<&str> = self.planners.iter().map(|(name, _)| name.as_str()).collect();
        stable_hash((&self.name, names, &self.plan.voters, self.plan.terms))
    }
}

fn name<'a>(item: &Item<'a>) -> Option<&'a str> {
    let text = item.text()?;
    let usual = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.len() > MAX_NAME_BYTES || !text.chars().all(usual) {
        item.fault(format!("must be up to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"));
        return None;
    }
    Some(text)
}

fn address(item: &Item<'_>) -> Option<SocketAddr> {
    let text = item.text()?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(_) => item.breaks("is not a loopback address", LOOPBACK),
        Err(_) => item.fault(format!("{text:?} is no address; ADDRESS:PORT is expected")),
    }
    None
}

/// Reads the section; faults go to the item's sink.
pub fn read(item: &Item<'_>) -> Option<FleetSettings> {
    let before = item.sink().count();
    let section = item.section()?;
    let fleet = section.need("name").and_then(|i| name(&i).map(String::from));
    let listen = section.need("listen").and_then(|i| address(&i));
    let planners = section.need("planners").and_then(|i| planners(&i)).unwrap_or_default();
    let names: Vec<&str> = planners.iter().map(|(name, _)| name.as_str()).collect();
    let member = |item: &Item<'_>| {
        let text = item.text()?;
        let at = names.iter().position(|known| *known == text);
        if at.is_none() {
            item.unknown(text, &names);
        }
        at.map(|at| at as Member)
    };
    let own = section.need("own").and_then(|i| member(&i));
    let voters = voters(&section, member);
    let lease = section
        .get("leaseMs")
        .map_or(Some(LEASE_RANGE_MS.2), |i| i.within(LEASE_RANGE_MS.0..=LEASE_RANGE_MS.1, " ms"));
    let floor = section.get("floorShare").map_or(Some(DEFAULT_FLOOR_SHARE), |i| i.within(0.0..=1.0, ""));
    let rate_error =
        section.get("clockErrorPpm").map_or(Some(RATE_ERROR_PPM.1), |i| i.within(0.0..=RATE_ERROR_PPM.0, ""));
    section.close(|_| None);
    let lease = (lease? * 1e3) as u64;
    let terms = Terms {
        lease,
        rate_error_ppm: rate_error? as u64,
        ask_every: (lease / ASK_INTERVAL.0).clamp(ASK_INTERVAL.1, ASK_INTERVAL.2),
        floor_permille: (floor? * 1000.0).round() as u64,
    };
    let plan = Plan { place: (own?, planners.len() as Member), voters, terms };
    let settings = FleetSettings { name: fleet?, listen: listen?, planners, plan };
    (item.sink().count() == before).then_some(settings)
}

fn planners(item: &Item<'_>) -> Option<Vec<(String, SocketAddr)>> {
    let list = item.list()?;
    if list.is_empty() || list.len() > MAX_MEMBERS {
        item.fault(format!("has {} planners; 1 to {MAX_MEMBERS} are allowed", list.len()));
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

fn voters(section: &Section<'_>, member: impl Fn(&Item<'_>) -> Option<Member>) -> Vec<Member> {
    let Some(item) = section.get("voters") else { return Vec::new() };
    let Some(list) = item.list() else { return Vec::new() };
    let mut voters: Vec<Member> = list.iter().filter_map(member).collect();
    voters.sort_unstable();
    let count = voters.len();
    voters.dedup();
    if voters.len() < count {
        item.fault("names a planner twice");
    }
    if list.len() > MAX_VOTERS || list.len() % 2 == 0 {
        item.fault(format!(
            "has {} planners; an odd number up to {MAX_VOTERS} is allowed, as more than half of them decide",
            list.len()
        ));
    }
    voters
}
