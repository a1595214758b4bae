//! Fleet-wide budgets with real planner processes behind the UDP relay that injects network faults. The checks
//! rest on the machines' ledgers and the clients' logs alone, not on what planners report about themselves.

use burlhook_lab::experiments::budgets::{run, Options, Report, Way};
use burlhook_lab::load::End;
use burlhook_lab::net::{Fault, Schedule};
use burlhook_lab::planner::{address, config, Planner, Program};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn run_experiment(options: Options) -> Report {
    run(&Program::at(env!("CARGO_BIN_EXE_burlhook")), &options).expect("the experiment runs")
}

fn quick() -> Options {
    let (planners, nodes, rate) = (5, 6, 450.0);
    Options {
        planners,
        nodes,
        rate,
        in_flight: 20,
        keyed: (60.0, 50.0),
        lease_ms: 2_000,
        ..Options::default()
    }
}

/// Guards the budgets against all faults together: network partitions, also in one direction only; lost, late
/// and duplicated datagrams; a planner killed and restarted within half a second, twice; one paused for 3 s;
/// one that receives SIGTERM; some of these are voters; machines that stall and reset connections. Each
/// rejected client is given a time for its retry.
#[test]
fn no_fault_lets_the_fleet_exceed_its_budgets() {
    let kill = |planner, again_ms| Fault::Kill { planner, again_ms: Some(again_ms) };
    let part = |groups: &[&[usize]], one_way| Fault::Part {
        groups: groups.iter().map(|g| g.to_vec()).collect(),
        one_way,
    };
    let schedule = Schedule::default()
        .at(3_500, part(&[&[0, 1], &[2, 3, 4]], false))
        .at(4_000, Fault::Lean { planner: 1, share: 0.8 })
        .at(5_000, Fault::Slow { node: 0, for_ms: 700 })
        .at(6_000, Fault::Weather { loss: 0.3, double: 0.2, delay_ms: (0, 1_500) })
        .at(6_100, Fault::Heal)
        .at(6_500, kill(1, 400))
        .at(7_500, kill(1, 400))
        .at(8_000, Fault::Stop { planner: 2, for_ms: 3_000 })
        .at(8_500, part(&[&[0], &[1, 2, 3, 4]], true))
        .at(9_000, Fault::Reset { node: 1 })
        .at(10_000, Fault::Heal)
        .at(10_500, Fault::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 2) })
        .at(11_000, Fault::Even)
        .at(11_500, Fault::Term { planner: 3, again_ms: Some(300) });
    let report = run_experiment(Options { span: Duration::from_secs(16), schedule, seed: 3, ..quick() });
    assert_eq!(report.broken, Vec::<String>::new(), "{report:?}");
    assert_eq!(report.starts, 8, "three planners restarted");
    let placed = report.ends.get(&End::Placed).copied().unwrap_or_default();
    assert!(
        placed > 800 && report.most_in_flight >= 12,
        "the budgets were not used: {placed} placed, at most {} in flight",
        report.most_in_flight
    );
    let rejected = report.ends.get(&End::TurnedAway).copied().unwrap_or_default();
    assert!(
        rejected > 500 && report.with_retry_time == rejected,
        "{rejected} rejected, {} of them with a retry time",
        report.with_retry_time
    );
}

/// Guards a fleet-wide budget that is lowered and raised under load. The lower one holds once the leases
/// granted under the old files have expired, even if all planners are killed and restarted. The budget is
/// used before it is lowered and again after it is raised, however long that takes on a busy host.
#[test]
fn a_lowered_budget_holds_under_load() {
    let used = |over_ms| Fault::AwaitUse { share: 0.5, over_ms };
    let mut schedule = Schedule::default()
        .at(3_500, used(1_000))
        .at(3_500, Fault::InFlightLimit { units: 4 })
        .at(9_500, Fault::InFlightLimit { units: 20 })
        .at(12_900, used(1_400));
    for planner in 0..5 {
        schedule = schedule.at(7_000, Fault::Kill { planner, again_ms: Some(200 + 50 * planner as u64) });
    }
    let report = run_experiment(Options { span: Duration::from_secs(13), schedule, seed: 5, ..quick() });
    assert_eq!(report.broken, Vec::<String>::new());
    assert_eq!(report.unused, Vec::<String>::new());
    assert_eq!(report.starts, 10, "all planners restarted");
    // Samples of a tenth of a second each, shifted by the time waited, during which the lower budget holds
    // and all planners run.
    let waited = report.waited[0].as_millis() as usize / 100 + 1;
    let of_four = &report.flight[62 + waited..69 + waited - 1];
    let mean = of_four.iter().map(|(all, _)| all).sum::<f64>() / of_four.len() as f64;
    assert!(mean <= 4.0, "a mean of {mean} in flight with a budget of four");
}

/// Guards two fleets whose lists of planners overlap by mistake: each drops the other's datagrams and counts
/// them.
#[test]
fn datagrams_of_another_fleet_are_ignored() {
    let addresses: Vec<String> = (0..2).map(|_| address().expect("a port").to_string()).collect();
    let file = |fleet: &str, own: usize| {
        format!(
            "{{ rest: {{ listen: \"127.0.0.1:0\" }}, fleet: {{ name: \"{fleet}\", own: \"p{own}\", listen: \"{}\", \
             voters: [\"p1\"], planners: [{{ name: \"p0\", address: \"{}\" }}, {{ name: \"p1\", address: \"{}\" }}] }}, \
             limits: {{ default: {{ inFlight: 4, totalMs: 1000, scope: \"fleet\" }} }} }}",
            addresses[own], addresses[0], addresses[1]
        )
    };
    let program = Program::at(env!("CARGO_BIN_EXE_burlhook"));
    let start =
        |fleet, own| Planner::start(&program, &config(&[], 1), Some(&file(fleet, own))).expect("it starts");
    let own = start("one", 0);
    let limits = |planner: &Planner| planner.get("/v1/limits").expect("an answer")["fleet"].clone();
    let wait = |planner: &Planner, is: &dyn Fn(&Value) -> bool| {
        let until = Instant::now() + Duration::from_secs(8);
        loop {
            let seen = limits(planner);
            if is(&seen) || Instant::now() > until {
                return seen;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let other = start("two", 1);
    let seen = wait(&other, &|seen| seen["datagrams"]["otherFleet"].as_u64() > Some(3));
    assert!(seen["datagrams"]["otherFleet"].as_u64() > Some(3), "{seen}");
    assert_eq!(limits(&own)["slots"], json!([]), "the only voter is of another fleet");
    drop(other);
    let _right = start("one", 1);
    let seen = wait(&own, &|seen| seen["slots"].as_array().is_some_and(|slots| !slots.is_empty()));
    assert_eq!(seen["slots"][0]["slot"], json!(0), "{seen}");
    assert_eq!(seen["budgets"][0]["usable"], json!(2), "its floor and the share of its slot: {seen}");
    // The section `fleet` changes only with a restart: a file with another fleet is refused, and the old one
    // stays in force.
    own.reload(&file("three", 0)).expect("a signal");
    let refused = || own.get("/v1/limits").expect("an answer")["lastRefusal"]["faults"][0].clone();
    let until = Instant::now() + Duration::from_secs(5);
    while refused().is_null() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(refused(), json!("the section \"fleet\" changes with a restart alone"));
    assert!(!limits(&own)["slots"].as_array().expect("slots").is_empty(), "its slot stays");
}

/// Guards the purpose of fleet-wide budgets, and the test's checker. Load at a single planner is served from
/// the shares that the others do not need, several times its equal share. Where each planner applies the
/// whole budget for itself, the checker reports both budgets as exceeded.
#[test]
fn shares_follow_need_and_the_checker_sees_violations() {
    let used = |share, over_ms| Fault::AwaitUse { share, over_ms };
    // An equal share would be a fifth.
    let lean = Schedule::default().at(0, Fault::Lean { planner: 4, share: 1.0 }).at(9_000, used(0.5, 5_500));
    let options = Options { span: Duration::from_millis(9_100), schedule: lean, rate: 300.0, ..quick() };
    let report = run_experiment(options.clone());
    assert_eq!(report.broken, Vec::<String>::new());
    assert_eq!(report.unused, Vec::<String>::new());
    // More than the burst of 50 allows over this time.
    let schedule = Schedule::default().at(9_000, used(1.5, 3_000));
    let report = run_experiment(Options { way: Way::Each, schedule, rate: 900.0, ..options });
    assert_eq!(report.unused, Vec::<String>::new());
    assert!(report.broken.len() >= 2, "{:?}", report.broken);
}
