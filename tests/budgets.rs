//! Budgets of the whole fleet with real planner processes, behind the fault network. The machines' ledgers and the clients'
//! logs decide, and nothing that a planner says of itself.

use burlhook_lab::load::End;
use burlhook_lab::net::{Schedule, What};
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::budgets::{run, Options, Report, Way};
use std::time::Duration;

fn play(options: Options) -> Report {
    run(&Program::at(env!("CARGO_BIN_EXE_burlhook")), &options).expect("the rig runs")
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

/// Guards the budgets against all that befalls planners at once: parts, also one way only, lost, late and doubled words, a
/// planner killed and back within half a second, twice, one stopped for 3 s, one told to stop, voters among them, machines
/// that stall and reset. Whoever is turned away is told when to come back.
#[test]
fn no_fault_lets_the_fleet_exceed_its_budgets() {
    let kill = |planner, again_ms| What::Kill { planner, again_ms: Some(again_ms) };
    let part = |groups: &[&[usize]], one_way| What::Part {
        groups: groups.iter().map(|g| g.to_vec()).collect(),
        one_way,
    };
    let schedule = Schedule::default()
        .at(3_500, part(&[&[0, 1], &[2, 3, 4]], false))
        .at(4_000, What::Lean { planner: 1, share: 0.8 })
        .at(5_000, What::Slow { node: 0, for_ms: 700 })
        .at(6_000, What::Weather { loss: 0.3, double: 0.2, delay_ms: (0, 1_500) })
        .at(6_100, What::Heal)
        .at(6_500, kill(1, 400))
        .at(7_500, kill(1, 400))
        .at(8_000, What::Stop { planner: 2, for_ms: 3_000 })
        .at(8_500, part(&[&[0], &[1, 2, 3, 4]], true))
        .at(9_000, What::Reset { node: 1 })
        .at(10_000, What::Heal)
        .at(10_500, What::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 2) })
        .at(11_000, What::Even)
        .at(11_500, What::Term { planner: 3, again_ms: Some(300) });
    let report = play(Options { span: Duration::from_secs(16), schedule, seed: 3, ..quick() });
    assert_eq!(report.broken, Vec::<String>::new(), "{report:?}");
    assert_eq!(report.starts, 8, "three came back");
    let placed = report.ends.get(&End::Placed).copied().unwrap_or_default();
    assert!(
        placed > 800 && report.most_in_flight >= 12,
        "the budgets were used: {placed}, {}",
        report.most_in_flight
    );
    let turned = report.ends.get(&End::TurnedAway).copied().unwrap_or_default();
    assert!(
        turned > 500 && report.told_when == turned,
        "{turned} turned away, {} told when",
        report.told_when
    );
}

/// Guards what a fleet is for, and the judge: a need at one planner alone is served by what the others spare, several times
/// its equal part; and where each planner counts the whole for itself the judge sees both budgets broken.
#[test]
fn need_decides_and_the_judge_sees() {
    let lean = Schedule::default().at(0, What::Lean { planner: 4, share: 1.0 });
    let options = Options { span: Duration::from_secs(9), schedule: lean, rate: 300.0, ..quick() };
    let report = play(options.clone());
    assert_eq!(report.broken, Vec::<String>::new());
    // An equal part would be a fifth.
    assert!(report.used.0 > 0.5 && report.used.1 > 0.5, "{:?} of the whole is used", report.used);
    let report = play(Options { way: Way::Each, schedule: Schedule::default(), rate: 900.0, ..options });
    assert!(report.broken.len() >= 2, "{:?}", report.broken);
}
