//! What befalls a fleet, and when: read from a JSON5 text, or drawn by a seed. The same schedule is played on real
//! processes under the fault network and in the simulated twin.

use burlhook::document::{self, Faults, Item, Section, Sink, Text};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Milliseconds. The longest schedule.
const MOST_MS: u64 = 3_600_000;

/// Something that befalls the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// How words between planners travel from now on: shares that are lost and doubled, and the least and most
    /// milliseconds on the way, drawn for each, so that they also come out of order.
    Weather {
        /// Share lost.
        loss: f64,
        /// Share doubled.
        double: f64,
        /// Least and most milliseconds.
        delay_ms: (u64, u64),
    },
    /// The planners are parted into groups that do not hear each other; those that are named nowhere are one more. Where
    /// it is one way only, the first group is heard by none and hears all.
    Part {
        /// The groups.
        groups: Vec<Vec<usize>>,
        /// One way only.
        one_way: bool,
    },
    /// All hear each other again.
    Heal,
    /// A planner's process is killed, and started again after so long.
    Kill {
        /// Which.
        planner: usize,
        /// Milliseconds; never again if absent.
        again_ms: Option<u64>,
    },
    /// A planner is told to stop, and started again so long after it has.
    Term {
        /// Which.
        planner: usize,
        /// Milliseconds; never again if absent.
        again_ms: Option<u64>,
    },
    /// A planner's process is stopped for so long (SIGSTOP, SIGCONT).
    Stop {
        /// Which.
        planner: usize,
        /// Milliseconds.
        for_ms: u64,
    },
    /// A machine does nothing for so long, but takes in bytes.
    Slow {
        /// Which.
        node: usize,
        /// Milliseconds.
        for_ms: u64,
    },
    /// All connections to a machine are reset.
    Reset {
        /// Which.
        node: usize,
    },
    /// From now on this share of the load goes to that planner, the rest evenly to the others.
    Lean {
        /// Which.
        planner: usize,
        /// Share.
        share: f64,
    },
    /// The load is even from now on.
    Even,
    /// All planners read files with that whole for the jobs in flight, one after the other.
    Whole {
        /// Units.
        units: u64,
    },
    /// All that follows waits until more than that share of each budget was used over so long: how soon a fleet serves
    /// again depends on how busy its machine is.
    Used {
        /// Share of the jobs in flight and of the rate.
        share: f64,
        /// Milliseconds that the use is a mean over.
        over_ms: u64,
    },
}

/// One thing of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Milliseconds from the beginning.
    pub at_ms: u64,
    /// What.
    pub what: What,
}

/// Steps in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<Step>);

impl Schedule {
    /// Adds a step.
    pub fn at(mut self, at_ms: u64, what: What) -> Schedule {
        let place = self.0.partition_point(|s| s.at_ms <= at_ms);
        self.0.insert(place, Step { at_ms, what });
        self
    }

    /// Reads a text: `[{atMs: 0, do: "weather", loss: 0.3, delayMs: [1, 2000]}, ...]` under the name `steps`.
    ///
    /// # Errors
    /// All its faults.
    pub fn read(text: &Text, planners: usize, nodes: usize) -> Result<Schedule, Faults> {
        let root = document::parse(text)?;
        let sink = Sink::default();
        let mut schedule = Schedule::default();
        if let Some(section) = Item::root(&root, &sink).section() {
            for item in section.need("steps").and_then(|i| i.list()).unwrap_or_default() {
                if let Some(step) = item.section().and_then(|s| step(&s, planners, nodes)) {
                    schedule = schedule.at(step.at_ms, step.what);
                }
            }
            section.close(|_| None);
        }
        if sink.count() > 0 {
            return Err(Faults::new(text, sink.take()));
        }
        Ok(schedule)
    }

    /// Draws faults for so long; the last fifth of it is calm, so that what is left can be looked at.
    pub fn drawn(seed: u64, planners: usize, nodes: usize, span: Duration) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7363_6865_6475_6c65);
        let end = span.as_millis() as u64;
        let calm = end - end / 5;
        let mut schedule = Schedule::default();
        let mut at = 1_000;
        while at < calm {
            let planner = rng.gen_range(0..planners);
            let what = match rng.gen_range(0..13) {
                0 => What::Weather { loss: 0.3, double: 0.2, delay_ms: (0, 40) },
                1 => What::Weather { loss: 0.05, double: 0.3, delay_ms: (0, 2_000) },
                2 => What::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 2) },
                3 | 4 => {
                    let mut groups = vec![Vec::new(); rng.gen_range(2..=3)];
                    for planner in 0..planners {
                        let of = rng.gen_range(0..groups.len());
                        groups[of].push(planner);
                    }
                    What::Part { groups, one_way: rng.gen_bool(0.3) }
                }
                5 => What::Heal,
                6 | 7 => What::Kill { planner, again_ms: Some(rng.gen_range(200..2_500)) },
                12 => {
                    // All at once.
                    for planner in 1..planners {
                        let again_ms = Some(rng.gen_range(100..600));
                        schedule = schedule.at(at, What::Kill { planner, again_ms });
                    }
                    What::Kill { planner: 0, again_ms: Some(300) }
                }
                8 => What::Term { planner, again_ms: Some(rng.gen_range(200..1_500)) },
                9 => What::Stop {
                    planner,
                    for_ms: *[300, 2_000, 10_000].get(rng.gen_range(0..3)).unwrap_or(&300),
                },
                10 => match rng.gen_bool(0.7) {
                    true => {
                        What::Slow { node: rng.gen_range(0..nodes.max(1)), for_ms: rng.gen_range(100..1_500) }
                    }
                    false => What::Reset { node: rng.gen_range(0..nodes.max(1)) },
                },
                _ => match rng.gen_bool(0.6) {
                    true => What::Lean { planner, share: 0.8 },
                    false => What::Even,
                },
            };
            schedule = schedule.at(at, what);
            at += rng.gen_range(200..1_600);
        }
        let quiet = What::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 0) };
        schedule.at(calm, What::Heal).at(calm, quiet).at(calm, What::Even)
    }
}

fn step(section: &Section<'_>, planners: usize, nodes: usize) -> Option<Step> {
    let at_ms = section.need("atMs").and_then(|i| i.count(0..=MOST_MS));
    let word = section.need("do").and_then(|i| i.text());
    let share = |name| section.get(name).map_or(Some(0.0), |i| i.within(0.0..=1.0, ""));
    let index = |item: &Item<'_>, most: usize| item.count(0..=most.max(1) as u64 - 1).map(|n| n as usize);
    let planner = || section.need("planner").and_then(|i| index(&i, planners));
    let node = || section.need("node").and_then(|i| index(&i, nodes));
    let millis = |name| section.need(name).and_then(|i| i.count(0..=MOST_MS));
    let again = || section.get("againMs").map_or(Some(None), |i| i.count(0..=MOST_MS).map(Some));
    let what = match word? {
        "weather" => {
            let delay = section.get("delayMs").map_or(Some((0.0, 0.0)), |i| i.span_of(MOST_MS as f64));
            let (least, most) = delay?;
            let (loss, double) = (share("loss")?, share("double")?);
            What::Weather { loss, double, delay_ms: (least as u64, most as u64) }
        }
        "part" => {
            let groups = section.need("groups").and_then(|i| i.list())?;
            let group = |item: &Item<'_>| -> Option<Vec<usize>> {
                item.list()?.iter().map(|i| index(i, planners)).collect()
            };
            let groups = groups.iter().map(group).collect::<Option<Vec<_>>>()?;
            What::Part { groups, one_way: section.get("oneWay").map_or(Some(false), |i| i.flag())? }
        }
        "heal" => What::Heal,
        "kill" => What::Kill { planner: planner()?, again_ms: again()? },
        "term" => What::Term { planner: planner()?, again_ms: again()? },
        "stop" => What::Stop { planner: planner()?, for_ms: millis("forMs")? },
        "slow" => What::Slow { node: node()?, for_ms: millis("forMs")? },
        "reset" => What::Reset { node: node()? },
        "lean" => What::Lean { planner: planner()?, share: share("share")? },
        "even" => What::Even,
        "whole" => What::Whole { units: section.need("units").and_then(|i| i.count(1..=1_000_000))? },
        "used" => What::Used { share: share("share")?, over_ms: millis("overMs")? },
        other => {
            let known = [
                "weather", "part", "heal", "kill", "term", "stop", "slow", "reset", "lean", "even", "whole",
                "used",
            ];
            section.item().unknown(other, &known);
            return None;
        }
    };
    section.close(|_| None);
    Some(Step { at_ms: at_ms?, what })
}

/// Which planner's words reach which, and how.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Share lost.
    pub loss: f64,
    /// Share doubled.
    pub double: f64,
    /// Least and most milliseconds on the way.
    pub delay_ms: (u64, u64),
    /// The group of each planner.
    group: Vec<usize>,
    one_way: bool,
}

impl Weather {
    /// Fine weather among so many.
    pub fn fine(planners: usize) -> Weather {
        Weather { loss: 0.0, double: 0.0, delay_ms: (0, 0), group: vec![0; planners], one_way: false }
    }

    /// Takes what a schedule says of words between planners.
    pub fn take(&mut self, what: &What) {
        match what {
            What::Weather { loss, double, delay_ms } => {
                (self.loss, self.double, self.delay_ms) = (*loss, *double, *delay_ms);
            }
            What::Part { groups, one_way } => {
                self.group.iter_mut().for_each(|of| *of = 0);
                for (number, group) in (1..).zip(groups) {
                    for &planner in group {
                        if let Some(of) = self.group.get_mut(planner) {
                            *of = number;
                        }
                    }
                }
                self.one_way = *one_way;
            }
            What::Heal => {
                self.group.iter_mut().for_each(|of| *of = 0);
                self.one_way = false;
            }
            _ => {}
        }
    }

    /// How long each copy of a word from one planner to another is on its way; none where it is lost.
    pub fn ways(&self, rng: &mut impl Rng, from: usize, to: usize) -> Vec<Duration> {
        let (a, b) = (self.group[from], self.group[to]);
        if a != b && (!self.one_way || a == 1) {
            return Vec::new();
        }
        let mut ways = Vec::new();
        for chance in [1.0 - self.loss, self.double] {
            if chance >= 1.0 || (chance > 0.0 && rng.gen_bool(chance)) {
                let micros = rng.gen_range(self.delay_ms.0 * 1_000..=self.delay_ms.1 * 1_000);
                ways.push(Duration::from_micros(micros));
            }
        }
        ways
    }
}

#[cfg(test)]
mod tests;
