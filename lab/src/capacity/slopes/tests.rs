use super::{select, Options, SLOPES};
use crate::capacity::record::Run;
use crate::planner::Program;
use std::collections::BTreeSet;

fn options(short: bool) -> Options {
    let run = Run { date: String::new(), commit: String::new(), machine: String::new(), short };
    let (program, lab_program) = (Program::at("planner"), "laboratory".into());
    Options { short, repeats: 3, program, lab_program, run }
}

#[test]
fn the_largest_size_has_one_run_fewer() {
    assert_eq!(options(false).runs(&[1, 5, 3], &[2]), [(1, 3), (5, 2), (3, 3)]);
    assert_eq!(options(true).runs(&[1, 5, 3], &[2]), [(2, 2)]);
}

#[test]
fn names_select_their_entries_once() {
    let names: Vec<&str> = SLOPES.iter().flat_map(|entry| entry.names).copied().collect();
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len(), "two slopes have the same name");
    let pick = |names: &[&str]| select(SLOPES, &names.iter().map(|n| n.to_string()).collect::<Vec<_>>());
    assert_eq!(pick(&[]).expect("all").len(), SLOPES.len());
    let entries = pick(&["rest-machines", "ask-machines", "rest-tasks"]).expect("known");
    let first: Vec<&str> = entries.iter().map(|entry| entry.names[0]).collect();
    assert_eq!(first, ["rest-machines", "rest-tasks"]);
    let refused = pick(&["rest-machine"]).expect_err("unknown").to_string();
    assert!(refused.contains("rest-machine; known slopes: ") && refused.contains("ask-rate"), "{refused}");
}
