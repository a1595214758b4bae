//! Compares three ways to assign each planner a subset of the machines, for `docs/design/subsets.md`: how even
//! the subsets are, and how many assignments move when a planner or a machine is removed, or when two planners
//! hold different lists. The results are deterministic counts.
//!
//! Run: `cargo run --release -p burlhook-lab --example subsetting_trial`.

use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Count. Machines at the target size.
const MACHINES: u32 = 18_000;
/// Numbers of planners to compare.
const PLANNERS: [u32; 3] = [16, 32, 64];
/// Numbers of planners per machine to compare.
const REPLICAS: [usize; 2] = [2, 3];
/// Share by which a planner's subset may exceed the mean on the bounded-load ring.
const OVER_MEAN: f64 = 0.1;
/// Count. Points of each planner on the bounded-load ring.
const POINTS: u32 = 100;
/// One machine in this many is missing from the other list: 5%.
const MISSING_ONE_IN: u32 = 20;

/// The planners that serve each machine.
type Served = BTreeMap<u32, BTreeSet<u32>>;
type Way = fn(machines: &[u32], planners: &[u32], replicas: usize) -> Served;

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// Rendezvous hashing: each machine is served by the planners with the highest hashes.
fn rendezvous(machines: &[u32], planners: &[u32], replicas: usize) -> Served {
    let serve = |&machine: &u32| {
        let mut order = planners.to_vec();
        order.sort_by_key(|planner| std::cmp::Reverse(hash((planner, machine))));
        (machine, order.into_iter().take(replicas).collect())
    };
    machines.iter().map(serve).collect()
}

/// Deterministic subsetting: each round of planners divides a shuffled list of all machines.
fn deterministic(machines: &[u32], planners: &[u32], replicas: usize) -> Served {
    let mut served: Served = machines.iter().map(|&machine| (machine, BTreeSet::new())).collect();
    let parts = (planners.len() / replicas).max(1);
    for (at, &planner) in planners.iter().enumerate() {
        let (round, part) = (at / parts, at % parts);
        let mut shuffled = machines.to_vec();
        shuffled.shuffle(&mut Pcg64::new(round as u128, 0));
        let bounds = [part, part + 1].map(|part| part * machines.len() / parts);
        for machine in &shuffled[bounds[0]..bounds[1]] {
            served.entry(*machine).or_default().insert(planner);
        }
    }
    served
}

/// Consistent hashing with bounded loads: each machine takes the next planners on the ring that are below
/// their bound.
fn bounded(machines: &[u32], planners: &[u32], replicas: usize) -> Served {
    let points = planners
        .iter()
        .flat_map(|&planner| (0..POINTS).map(move |at| (hash((planner, at, "planner")), planner)));
    let ring: BTreeMap<u64, u32> = points.collect();
    let mean = (machines.len() * replicas) as f64 / planners.len() as f64;
    let most = (mean * (1.0 + OVER_MEAN)).ceil() as usize;
    let mut parts: BTreeMap<u32, usize> = BTreeMap::new();
    let mut served = Served::new();
    for &machine in machines {
        let from = hash((machine, "machine"));
        let mut chosen = BTreeSet::new();
        for (_, &planner) in ring.range(from..).chain(ring.range(..from)) {
            if chosen.len() == replicas {
                break;
            }
            let part = parts.entry(planner).or_default();
            if *part < most && chosen.insert(planner) {
                *part += 1;
            }
        }
        served.insert(machine, chosen);
    }
    served
}

/// Minimum and maximum divided by the mean.
fn spread(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    (least / mean, most / mean)
}

fn parts(served: &Served) -> BTreeMap<u32, usize> {
    let mut parts = BTreeMap::new();
    served.values().flatten().for_each(|&planner| *parts.entry(planner).or_default() += 1);
    parts
}

/// Load of each machine if all planners have equal load and spread it evenly over their subsets.
fn loads(served: &Served) -> Vec<f64> {
    let parts = parts(served);
    served.values().map(|planners| planners.iter().map(|planner| 1.0 / parts[planner] as f64).sum()).collect()
}

/// Share of the (machine, planner) assignments that are lost, among those whose machine and planner still
/// exist.
fn moved(before: &Served, after: &Served, planner_gone: Option<u32>) -> f64 {
    let stays = before.iter().filter_map(|(machine, planners)| Some((planners, after.get(machine)?)));
    let (mut all, mut gone) = (0, 0);
    for (planners, now) in stays {
        let others = planners.iter().filter(|&&planner| Some(planner) != planner_gone);
        for planner in others {
            all += 1;
            gone += usize::from(!now.contains(planner));
        }
    }
    gone as f64 / all as f64
}

fn print_row(name: &str, way: Way, count: u32, replicas: usize) {
    let (machines, planners): (Vec<u32>, Vec<u32>) = ((0..MACHINES).collect(), (0..count).collect());
    let served = way(&machines, &planners, replicas);
    let parts: Vec<f64> = parts(&served).into_values().map(|part| part as f64).collect();
    let (least, most) = spread(&parts);
    let (lightest, heaviest) = spread(&loads(&served));
    let fewest = served.values().map(BTreeSet::len).min().unwrap_or_default();

    let gone = count / 2;
    let fewer: Vec<u32> = planners.iter().copied().filter(|&planner| planner != gone).collect();
    let planner_goes = moved(&served, &way(&machines, &fewer, replicas), Some(gone));
    let without_one: Vec<u32> = machines.iter().copied().filter(|&machine| machine != MACHINES / 2).collect();
    let machine_goes = moved(&served, &way(&without_one, &planners, replicas), None);
    let other_list: Vec<u32> = machines
        .iter()
        .copied()
        .filter(|&machine| hash((machine, "list")) % u64::from(MISSING_ONE_IN) != 0)
        .collect();
    let lists_differ = moved(&served, &way(&other_list, &planners, replicas), None);
    println!(
        "| {name} | {count} | {replicas} | {least:.2} to {most:.2} | {lightest:.2} to {heaviest:.2} | {fewest} | {:.1}% | {:.1}% | {:.1}% |",
        100.0 * planner_goes,
        100.0 * machine_goes,
        100.0 * lists_differ
    );
}

fn main() {
    println!("| way | planners | replicas | part over the mean | load of a machine | planners at each, least | others' pairs moved: a planner goes | a machine goes | lists differ by 5% |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let ways: [(&str, Way); 3] = [
        ("deterministic subsetting", deterministic),
        ("rendezvous, the r highest", rendezvous),
        ("bounded-load ring", bounded),
    ];
    for (name, way) in ways {
        for count in PLANNERS {
            REPLICAS.iter().for_each(|&replicas| print_row(name, way, count, replicas));
        }
    }
}
