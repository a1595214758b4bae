use super::*;
use rand::{Rng, SeedableRng};

fn id(n: u32) -> MachineId {
    MachineId(n)
}

/// Machines with a message to be written must get slots before machines that only hold tasks, and both before
/// machines without need.
#[test]
fn set_ups_go_before_visits_and_the_least_used_gives_way() {
    let mut slots = ConnectionSlots::new(2);
    assert!(slots.want(0.0, id(1), Need::Spare) && slots.want(0.1, id(2), Need::Spare));
    assert!(
        !slots.want(0.2, id(3), Need::Spare) && !slots.is_short(),
        "a machine without need does not wait"
    );
    assert!(!slots.want(0.2, id(3), Need::Visit) && !slots.want(0.3, id(4), Need::Now));
    slots.used(0.9, id(1));
    assert_eq!(slots.give_back(1.0, |m| m != id(2)), Some(id(1)), "the other connection is busy");
    assert_eq!(slots.give_back(1.0, |m| m != id(2)), None);
    assert_eq!(slots.give_back(1.0, |_| true), Some(id(2)));
    assert_eq!(slots.give_back(1.0, |_| true), None, "no more slots are reclaimed than machines wait");
    assert_eq!(slots.release(1.1, id(1)), Some(id(4)));
    assert_eq!(slots.release(1.2, id(2)), Some(id(3)));
    assert_eq!(slots.give_back(1.2, |_| true), None);
}

/// The ends of tasks at machines without a connection must be delivered in time: with five times as many
/// machines as slots, and a third of the slots busy at any time, each machine must be visited well within the
/// protocol's 8 s, and the number of slots must never be exceeded.
#[test]
fn every_machine_is_visited_in_time() {
    for seed in 0..6 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let (machines, capacity) = (700, 140);
        let mut slots = ConnectionSlots::new(capacity);
        // When each machine was last connected, and when its connection was last reclaimed.
        let mut connected_at = vec![0.0; machines];
        let mut disconnected_at = vec![0.0; machines];
        let mut worst: f64 = 0.0;
        for step in 0..3000 {
            let now = f64::from(step) * 0.01;
            let busy = |m: MachineId| (m.0 + step as u32 / 50).is_multiple_of(3);
            for n in 0..machines {
                let held = slots.held.contains_key(&id(n as u32));
                if held {
                    connected_at[n] = now;
                } else if now >= disconnected_at[n] + VISIT_AFTER_S || rng.gen_bool(0.0005) {
                    slots.want(now, id(n as u32), if rng.gen_bool(0.1) { Need::Now } else { Need::Visit });
                }
                worst = worst.max(now - connected_at[n]);
            }
            while slots.give_back(now, |m| !busy(m)).is_some() {}
            let reclaimed_machines: Vec<MachineId> =
                slots.held.iter().filter(|(_, h)| h.reclaimed).map(|(&m, _)| m).collect();
            for machine in reclaimed_machines {
                disconnected_at[machine.0 as usize] = now;
                slots.release(now, machine);
            }
            assert!(slots.taken() <= capacity);
        }
        assert!(worst < 6.0, "seed {seed}: a machine had no connection for {worst} s");
    }
}
