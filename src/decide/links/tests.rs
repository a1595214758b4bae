use super::*;
use rand::{Rng, SeedableRng};

fn id(n: u32) -> MachineId {
    MachineId(n)
}

/// Guards machines that are asked against those that only hold tasks, and both against those of no use.
#[test]
fn set_ups_go_before_visits_and_the_least_used_gives_way() {
    let mut places = Places::new(2);
    assert!(places.want(0.0, id(1), Need::Spare) && places.want(0.1, id(2), Need::Spare));
    assert!(!places.want(0.2, id(3), Need::Spare) && !places.is_short(), "nobody waits for nothing");
    assert!(!places.want(0.2, id(3), Need::Visit) && !places.want(0.3, id(4), Need::Now));
    places.used(0.9, id(1));
    assert_eq!(places.give_back(1.0, |m| m != id(2)), Some(id(1)), "the other one is busy");
    assert_eq!(places.give_back(1.0, |m| m != id(2)), None);
    assert_eq!(places.give_back(1.0, |_| true), Some(id(2)));
    assert_eq!(places.give_back(1.0, |_| true), None, "no more than wait");
    assert_eq!(places.release(1.1, id(1)), Some(id(4)));
    assert_eq!(places.release(1.2, id(2)), Some(id(3)));
    assert_eq!(places.give_back(1.2, |_| true), None);
}

/// Guards ends of tasks at machines without a connection: with five times as many machines as places, and a third of
/// the places busy at any time, each is visited well within the protocol's 8 s; the bound on places holds always.
#[test]
fn every_machine_is_visited_in_time() {
    for seed in 0..6 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let (machines, most) = (700, 140);
        let mut places = Places::new(most);
        // When each was last seen, and when the visit of one that has a place may end.
        let mut seen = vec![0.0; machines];
        let mut left = vec![0.0; machines];
        let mut worst: f64 = 0.0;
        for step in 0..3000 {
            let now = f64::from(step) * 0.01;
            let busy = |m: MachineId| (m.0 + step as u32 / 50).is_multiple_of(3);
            for n in 0..machines {
                let held = places.held.contains_key(&id(n as u32));
                if held {
                    seen[n] = now;
                } else if now >= left[n] + VISIT_S || rng.gen_bool(0.0005) {
                    places.want(now, id(n as u32), if rng.gen_bool(0.1) { Need::Now } else { Need::Visit });
                }
                worst = worst.max(now - seen[n]);
            }
            while places.give_back(now, |m| !busy(m)).is_some() {}
            let asked: Vec<MachineId> =
                places.held.iter().filter(|(_, h)| h.asked).map(|(&m, _)| m).collect();
            for machine in asked {
                left[machine.0 as usize] = now;
                places.release(now, machine);
            }
            assert!(places.taken() <= most);
        }
        assert!(worst < 6.0, "seed {seed}: a machine was not seen for {worst} s");
    }
}
