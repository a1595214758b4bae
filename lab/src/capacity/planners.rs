//! Traffic between planners that share budgets, and their costs at rest, as the number of planners grows.
//! Each planner is a process.

use super::bench::{BenchSetup, MEMORY_MB, REST_WINDOW, SETTLE_TIME, SOCKETS};
use super::figures::Figures;
use super::hollow_machine::HollowMachines;
use super::record::Slope;
use super::slopes::Options;
use super::usage::Usage;
use crate::net::{Net, Traffic};
use crate::planner::{address, Planner};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// The slope of this module.
pub const NAMES: &[&str] = &["rest-planners"];

const SIZES: &[usize] = &[3, 5, 8, 16, 32];
const SHORT_SIZES: &[usize] = &[3, 4, 5, 6, 8];
const MACHINES: usize = 8;
const VOTERS: usize = 3;
const LEASE_MS: u64 = 3_000;
const SEED: u64 = 1;

fn name(planner: usize) -> String {
    format!("p{planner}")
}

/// The operators' file of planner `own`, with one in-flight budget that the fleet shares.
fn operators(net: &Net, planners: usize, own: usize, listen: SocketAddr) -> String {
    let entry = |at: usize| {
        // A planner does not use its own entry.
        let address = if at == own { listen } else { net.address(own, at) };
        json!({"name": name(at), "address": address.to_string()})
    };
    let fleet = json!({"name": "capacity", "own": name(own), "listen": listen.to_string(),
        "planners": (0..planners).map(entry).collect::<Vec<_>>(), "leaseMs": LEASE_MS, "floorShare": 0.5,
        "voters": (0..VOTERS).map(name).collect::<Vec<_>>()});
    let limits = "limits: { default: { totalMs: 1000, attempts: 4 }, \
                  classes: { stateless: { inFlight: 400, scope: \"fleet\" } } }";
    format!("{{ fleet: {fleet}, {limits} }}")
}

/// Resource usage and traffic of a planner at rest: means over all planners.
struct RestUsage {
    /// Processor time as a share of one core.
    share: f64,
    resident_kib: f64,
    /// Datagrams sent to other planners, per second.
    datagrams: f64,
    /// Bytes of these datagrams, per second.
    bytes: f64,
    /// Bytes to and from machines, per second.
    machine_bytes: f64,
}

/// Starts all planners, with datagrams between them sent through the relay `net`.
fn start(options: &Options, hollow: &HollowMachines, net: &Net, planners: usize) -> io::Result<Vec<Planner>> {
    let mut all = Vec::new();
    for own in 0..planners {
        let peers = address()?;
        let setup = BenchSetup { listed: planners, seed: SEED + own as u64, ..BenchSetup::of(MACHINES) };
        let file = operators(net, planners, own, peers);
        all.push(Planner::start(&options.program, &setup.configuration(hollow), Some(&file))?);
        net.set_target(own, peers);
    }
    Ok(all)
}

fn measure_one(options: &Options, planners: usize) -> io::Result<RestUsage> {
    let hollow = HollowMachines::start(&options.lab_program, &BenchSetup::of(MACHINES).plan)?;
    let net = Net::start(planners, SEED)?;
    let running = start(options, &hollow, &net, planners)?;
    std::thread::sleep(SETTLE_TIME);
    let usage = || running.iter().map(|p| Usage::of(p.id())).collect::<io::Result<Vec<Usage>>>();
    let (from, before, counts, sent) = (Instant::now(), usage()?, hollow.counts()?, net.counts());
    std::thread::sleep(REST_WINDOW);
    let (seconds, after, counts_now, sent_now) =
        (from.elapsed().as_secs_f64(), usage()?, hollow.counts()?, net.counts());
    let each = planners as f64;
    let processor: f64 =
        before.iter().zip(&after).map(|(b, a)| (a.processor.saturating_sub(b.processor)).as_secs_f64()).sum();
    let sum = |of: &[Traffic], what: fn(&Traffic) -> u64| of.iter().map(what).sum::<u64>() as f64;
    let growth_per_s = |what: fn(&Traffic) -> u64| (sum(&sent_now, what) - sum(&sent, what)) / each / seconds;
    let machine_bytes = (counts_now.bytes_in + counts_now.bytes_out) - (counts.bytes_in + counts.bytes_out);
    Ok(RestUsage {
        share: processor / each / seconds,
        resident_kib: after.iter().map(|u| u.resident_kib as f64).sum::<f64>() / each,
        datagrams: growth_per_s(|passed| passed.received),
        bytes: growth_per_s(|passed| passed.bytes),
        machine_bytes: machine_bytes as f64 / each / seconds,
    })
}

/// Measures the slope.
///
/// # Errors
/// If a process cannot be started or has ended.
pub fn measure(options: &Options) -> io::Result<Vec<Slope>> {
    let mut figures = Figures::default();
    for (planners, runs) in options.runs(SIZES, SHORT_SIZES) {
        for number in 1..=runs {
            let rest = measure_one(options, planners)?;
            let size = planners as f64;
            figures.measured("processor time at rest", "share of a core", size, rest.share);
            figures.measured("resident memory", "KiB", size, rest.resident_kib);
            figures.measured("bytes to other planners", "bytes/s", size, rest.bytes);
            figures.measured("datagrams to other planners", "messages/s", size, rest.datagrams);
            figures.measured("bytes to and from machines", "bytes/s", size, rest.machine_bytes);
            eprintln!(
                "capacity: {planners} planners, run {number} of {runs}: each {:.2}% of a core, {:.0} KiB, sends {:.1} datagrams \
                 and {:.0} bytes a second",
                rest.share * 1e2,
                rest.resident_kib,
                rest.datagrams,
                rest.bytes,
            );
        }
    }
    let held = BTreeMap::from([
        ("machines".to_string(), MACHINES as f64),
        ("voters".to_string(), VOTERS as f64),
        ("budgets".to_string(), 1.0),
        ("milliseconds of a lease".to_string(), LEASE_MS as f64),
        ("configured descriptors".to_string(), f64::from(SOCKETS)),
        ("configured memory, MB".to_string(), MEMORY_MB),
    ]);
    Ok(vec![Slope {
        name: NAMES[0].into(),
        question: "What a planner sends to others and spends while no ask comes, against the planners that share budgets."
            .into(),
        size: "planners".into(),
        held,
        real: "all planners' processes, and the datagrams between them, which a relay counts".into(),
        hollow: "machines and machine list: one process, which answers as the stand-in machine does".into(),
        run: options.run.clone(),
        figures: figures.done(),
    }])
}
