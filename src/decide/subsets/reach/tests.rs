//! Which of the candidates are borrowed, and when the next step comes.

use super::*;

fn candidate(machine: u32, cores: f64, memory: f64) -> Candidate {
    let limit = Room { cores: 10.0, memory: 20.0 };
    Candidate { machine: MachineId(machine), left: Room { cores, memory }, limit }
}

/// Guards a job against machines that are full, and machines against all planners that look for the same.
#[test]
fn the_roomiest_of_those_looked_at_are_taken() {
    let room = Room { cores: 2.0, memory: 2.0 };
    let all =
        [candidate(0, 1.0, 20.0), candidate(1, 9.0, 2.5), candidate(2, 5.0, 10.0), candidate(3, 8.0, 16.0)];
    assert_eq!(roomiest(all.into_iter(), room, 2), [MachineId(3), MachineId(2)]);
    assert_eq!(roomiest(all.into_iter(), room, 9).len(), 3, "what is full is none");
    let alike = [candidate(7, 10.0, 20.0), candidate(4, 10.0, 20.0)];
    assert_eq!(roomiest(alike.into_iter(), room, 1), [MachineId(7)], "equals stay in the planner's order");
}

/// Guards the planner against looking without an end: steps that find nothing come ever later, up to a bound.
#[test]
fn steps_that_find_nothing_slow_down() {
    let (mut pace, mut now, mut gaps) = (Pace::default(), 100.0, vec![]);
    assert_eq!(pace.next(now), now, "the first comes at once");
    for found in [true, false, false, false, false, true] {
        pace.stepped(now, found);
        let next = pace.next(now);
        gaps.push(((next - now) * 1e3_f64).round());
        now = next;
    }
    assert_eq!(gaps, [50.0, 100.0, 200.0, 400.0, 400.0, 50.0]);
}

/// Guards the bound that the operators' page names.
#[test]
fn as_many_again_may_be_borrowed() {
    assert_eq!((most_borrowed(10), most_borrowed(1200)), (64, 1200));
}
