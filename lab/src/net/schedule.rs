//! Schedules of faults: read from a JSON5 text, or drawn from a seed. The same schedule is applied to real
//! processes on the fault network and to the simulation.

use burlhook::document::{self, Faults, Item, Section, Sink, Text};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Milliseconds. The latest time and the longest duration in a schedule.
const MAX_TIME_MS: u64 = 3_600_000;

/// A fault or other change of conditions.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Sets the conditions for datagrams between planners: the shares that are lost and duplicated, and the
    /// range of the delay, which is drawn for each copy, so that datagrams are also reordered.
    Weather {
        /// Share that is lost.
        loss: f64,
        /// Share that is duplicated.
        double: f64,
        /// Minimum and maximum delay in milliseconds.
        delay_ms: (u64, u64),
    },
    /// Partitions the planners into groups; planners that are not listed form another group. If `one_way`,
    /// only datagrams from the first group to others are dropped.
    Part {
        /// The groups.
        groups: Vec<Vec<usize>>,
        /// Whether only datagrams from the first group are dropped.
        one_way: bool,
    },
    /// Ends all partitions.
    Heal,
    /// Kills a planner's process (SIGKILL) and restarts it after `again_ms`.
    Kill {
        /// The planner's index.
        planner: usize,
        /// Milliseconds; not restarted if absent.
        again_ms: Option<u64>,
    },
    /// Terminates a planner gracefully (SIGTERM) and restarts it after `again_ms`, not before it has exited.
    Term {
        /// The planner's index.
        planner: usize,
        /// Milliseconds; not restarted if absent.
        again_ms: Option<u64>,
    },
    /// Suspends a planner's process for `for_ms` (SIGSTOP, SIGCONT).
    Stop {
        /// The planner's index.
        planner: usize,
        /// Milliseconds.
        for_ms: u64,
    },
    /// Pauses a machine for `for_ms`: it receives messages but does not handle them.
    Slow {
        /// The machine's index.
        node: usize,
        /// Milliseconds.
        for_ms: u64,
    },
    /// Resets all connections to a machine.
    Reset {
        /// The machine's index.
        node: usize,
    },
    /// Sends this share of the load to one planner, and the rest evenly to the others.
    Lean {
        /// The planner's index.
        planner: usize,
        /// The share of the load.
        share: f64,
    },
    /// Spreads the load evenly.
    Even,
    /// Reloads all planners, one after the other, with this fleet-wide limit for jobs in flight.
    InFlightLimit {
        /// The limit, in jobs.
        units: u64,
    },
    /// Waits until more than this share of each budget was used over `over_ms`, and delays all later steps by
    /// the time waited. A fixed time does not suffice: how soon a fleet serves again depends on the load of the
    /// host that runs the experiment.
    AwaitUse {
        /// Share of the limit for jobs in flight and of the rate.
        share: f64,
        /// Milliseconds over which the use is averaged.
        over_ms: u64,
    },
}

/// One step of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// The fault or change.
    pub what: Fault,
}

/// Steps in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<Step>);

impl Schedule {
    /// Adds a step after all steps of the same or an earlier time.
    pub fn at(mut self, at_ms: u64, what: Fault) -> Schedule {
        let position = self.0.partition_point(|s| s.at_ms <= at_ms);
        self.0.insert(position, Step { at_ms, what });
        self
    }

    /// Reads a text: `[{atMs: 0, do: "weather", loss: 0.3, delayMs: [1, 2000]}, ...]` under the name `steps`.
    ///
    /// # Errors
    /// If the text is not a valid schedule; lists all errors.
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

    /// Draws faults for a run of length `span`; its last fifth has none, so that the recovered state can be
    /// checked.
    pub fn drawn(seed: u64, planners: usize, nodes: usize, span: Duration) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7363_6865_6475_6c65);
        let end = span.as_millis() as u64;
        let calm = end - end / 5;
        let mut schedule = Schedule::default();
        let mut at = 1_000;
        while at < calm {
            let planner = rng.gen_range(0..planners);
            let what = match rng.gen_range(0..13) {
                0 => Fault::Weather { loss: 0.3, double: 0.2, delay_ms: (0, 40) },
                1 => Fault::Weather { loss: 0.05, double: 0.3, delay_ms: (0, 2_000) },
                2 => Fault::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 2) },
                3 | 4 => {
                    let mut groups = vec![Vec::new(); rng.gen_range(2..=3)];
                    for planner in 0..planners {
                        let of = rng.gen_range(0..groups.len());
                        groups[of].push(planner);
                    }
                    Fault::Part { groups, one_way: rng.gen_bool(0.3) }
                }
                5 => Fault::Heal,
                6 | 7 => Fault::Kill { planner, again_ms: Some(rng.gen_range(200..2_500)) },
                12 => {
                    // Kills all planners at the same time.
                    for planner in 1..planners {
                        let again_ms = Some(rng.gen_range(100..600));
                        schedule = schedule.at(at, Fault::Kill { planner, again_ms });
                    }
                    Fault::Kill { planner: 0, again_ms: Some(300) }
                }
                8 => Fault::Term { planner, again_ms: Some(rng.gen_range(200..1_500)) },
                9 => Fault::Stop {
                    planner,
                    for_ms: *[300, 2_000, 10_000].get(rng.gen_range(0..3)).unwrap_or(&300),
                },
                10 => match rng.gen_bool(0.7) {
                    true => Fault::Slow {
                        node: rng.gen_range(0..nodes.max(1)),
                        for_ms: rng.gen_range(100..1_500),
                    },
                    false => Fault::Reset { node: rng.gen_range(0..nodes.max(1)) },
                },
                _ => match rng.gen_bool(0.6) {
                    true => Fault::Lean { planner, share: 0.8 },
                    false => Fault::Even,
                },
            };
            schedule = schedule.at(at, what);
            at += rng.gen_range(200..1_600);
        }
        let without_faults = Fault::Weather { loss: 0.0, double: 0.0, delay_ms: (0, 0) };
        schedule.at(calm, Fault::Heal).at(calm, without_faults).at(calm, Fault::Even)
    }
}

fn step(section: &Section<'_>, planners: usize, nodes: usize) -> Option<Step> {
    let at_ms = section.need("atMs").and_then(|i| i.count(0..=MAX_TIME_MS));
    let kind = section.need("do").and_then(|i| i.text());
    let share = |name| section.get(name).map_or(Some(0.0), |i| i.within(0.0..=1.0, ""));
    let index = |item: &Item<'_>, most: usize| item.count(0..=most.max(1) as u64 - 1).map(|n| n as usize);
    let planner = || section.need("planner").and_then(|i| index(&i, planners));
    let node = || section.need("node").and_then(|i| index(&i, nodes));
    let millis = |name| section.need(name).and_then(|i| i.count(0..=MAX_TIME_MS));
    let again = || section.get("againMs").map_or(Some(None), |i| i.count(0..=MAX_TIME_MS).map(Some));
    let what = match kind? {
        "weather" => {
            let delay = section.get("delayMs").map_or(Some((0.0, 0.0)), |i| i.span_of(MAX_TIME_MS as f64));
            let (least, most) = delay?;
            let (loss, double) = (share("loss")?, share("double")?);
            Fault::Weather { loss, double, delay_ms: (least as u64, most as u64) }
        }
        "part" => {
            let groups = section.need("groups").and_then(|i| i.list())?;
            let group = |item: &Item<'_>| -> Option<Vec<usize>> {
                item.list()?.iter().map(|i| index(i, planners)).collect()
            };
            let groups = groups.iter().map(group).collect::<Option<Vec<_>>>()?;
            Fault::Part { groups, one_way: section.get("oneWay").map_or(Some(false), |i| i.flag())? }
        }
        "heal" => Fault::Heal,
        "kill" => Fault::Kill { planner: planner()?, again_ms: again()? },
        "term" => Fault::Term { planner: planner()?, again_ms: again()? },
        "stop" => Fault::Stop { planner: planner()?, for_ms: millis("forMs")? },
        "slow" => Fault::Slow { node: node()?, for_ms: millis("forMs")? },
        "reset" => Fault::Reset { node: node()? },
        "lean" => Fault::Lean { planner: planner()?, share: share("share")? },
        "even" => Fault::Even,
        "whole" => {
            Fault::InFlightLimit { units: section.need("units").and_then(|i| i.count(1..=1_000_000))? }
        }
        "used" => Fault::AwaitUse { share: share("share")?, over_ms: millis("overMs")? },
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

/// Current conditions for datagrams between planners.
#[derive(Clone, Debug)]
pub struct Weather {
    /// Share that is lost.
    pub loss: f64,
    /// Share that is duplicated.
    pub double: f64,
    /// Minimum and maximum delay in milliseconds.
    pub delay_ms: (u64, u64),
    /// Each planner's group in a partition; 0 if it is not listed in one.
    group: Vec<usize>,
    one_way: bool,
}

impl Weather {
    /// Conditions without loss, delay or partitions.
    pub fn without_faults(planners: usize) -> Weather {
        Weather { loss: 0.0, double: 0.0, delay_ms: (0, 0), group: vec![0; planners], one_way: false }
    }

    /// Applies a scheduled change to these conditions; other faults are ignored.
    pub fn apply(&mut self, what: &Fault) {
        match what {
            Fault::Weather { loss, double, delay_ms } => {
                (self.loss, self.double, self.delay_ms) = (*loss, *double, *delay_ms);
            }
            Fault::Part { groups, one_way } => {
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
            Fault::Heal => {
                self.group.iter_mut().for_each(|of| *of = 0);
                self.one_way = false;
            }
            _ => {}
        }
    }

    /// Draws the delay of each copy of a datagram from one planner to another; empty if it is lost.
    pub fn draw_delays(&self, rng: &mut impl Rng, from: usize, to: usize) -> Vec<Duration> {
        let (a, b) = (self.group[from], self.group[to]);
        if a != b && (!self.one_way || a == 1) {
            return Vec::new();
        }
        let mut delays = Vec::new();
        for chance in [1.0 - self.loss, self.double] {
            if chance >= 1.0 || (chance > 0.0 && rng.gen_bool(chance)) {
                let micros = rng.gen_range(self.delay_ms.0 * 1_000..=self.delay_ms.1 * 1_000);
                delays.push(Duration::from_micros(micros));
            }
        }
        delays
    }
}

#[cfg(test)]
mod tests;
