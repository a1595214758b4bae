//! Machines that refuse connections, against the reducer: drawn sequences of list news, dials, resets, reports and ends.
//! The machines know what runs; the planner has only what reaches it.
//!
//! - No copy of a key, or of a member of a group, starts while another one runs.
//! - A task that is over is not shown as running for longer than [`TOLD_WITHIN_S`].
//! - Once all is well again, nothing runs that the planner does not hold, no key is held, and no member waits.

use super::*;
use crate::decide::groups::{OnLoss, Policy};
use crate::decide::machine_loss::FormerConnection;
use crate::state::limits::tests::core as core_with_three_classes;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds. The protocol's bound on an end that no message reports.
const TOLD_WITHIN_S: Seconds = 8.0;
/// Seconds. Machines drop repeats of a key for this long.
const WINDOW_S: Seconds = 6.0;
/// Seconds. One step of the clock.
const STEP_S: Seconds = 0.05;
const MACHINES: u32 = 6;
const KEYS: u64 = 4;
const GROUPS: u64 = 2;

/// A message from the planner.
#[derive(Clone, Debug)]
enum Order {
    /// With the check that is written in the same message before it, if any.
    Launch(RequestId, AttemptNo, String, Option<u64>),
    Stop(RequestId),
    Check(u64),
}

/// What a machine sends.
#[derive(Clone, Copy, Debug)]
enum Report {
    Runs(RequestId),
    Over(RequestId, Outcome),
    Checked(u64),
}

/// A copy at a machine.
#[derive(Debug)]
struct Copy {
    /// What at most one copy may run of.
    identity: String,
    starts_at: Seconds,
    ends_at: Seconds,
    runs: bool,
}

/// A machine, as it is.
#[derive(Debug)]
struct Machine {
    is_alive: bool,
    refuses: bool,
    is_silent: bool,
    copies: BTreeMap<RequestId, Copy>,
    /// Orders on their way, and reports that wait for a connection.
    orders: Vec<Order>,
    reports: Vec<Report>,
    /// Of the planner's connection to it.
    is_connected: bool,
    former_connection: FormerConnection,
    dial_at: Seconds,
    failed_dials: u32,
    heard_at: Seconds,
    reported_at: Seconds,
}

/// A change that the list will tell of, or that happens to a machine.
#[derive(Clone, Copy, Debug)]
enum Change {
    News { machine: u32, standing: Standing, started: Seconds },
    Stops(u32),
    Starts(u32),
    Heals(u32),
}

struct Fleet {
    core: Core,
    now: Seconds,
    rng: Pcg64Mcg,
    machines: Vec<Machine>,
    changes: Vec<(Seconds, Change)>,
    list_delay_s: Seconds,
    next_job: u64,
    /// The newest job of each key.
    jobs: BTreeMap<u64, RequestId>,
    /// When the copy of a job ended.
    ended: BTreeMap<RequestId, Seconds>,
    /// When a set-up with an identity first came to a machine.
    first_offer: BTreeMap<String, Seconds>,
    trace: Vec<String>,
    starts: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut core = core_with_three_classes();
        core.settings.probes = true;
        let machine = || Machine {
            is_alive: true,
            refuses: false,
            is_silent: false,
            copies: BTreeMap::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            is_connected: false,
            former_connection: FormerConnection::NotReset,
            dial_at: 100.0,
            failed_dials: 0,
            heard_at: 100.0,
            reported_at: 100.0,
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let list_delay_s = rng.gen_range(0.0..3.5);
        let mut fleet = Fleet {
            core,
            now: 100.0,
            rng,
            machines: (0..MACHINES).map(|_| machine()).collect(),
            changes: Vec::new(),
            list_delay_s,
            next_job: 1,
            jobs: BTreeMap::new(),
            ended: BTreeMap::new(),
            first_offer: BTreeMap::new(),
            trace: Vec::new(),
            starts: 0,
        };
        (0..MACHINES).for_each(|n| fleet.tell(n, Standing::Ready, 0.0));
        fleet
    }

    fn note(&mut self, what: impl std::fmt::Debug) {
        self.trace.push(format!("{:.2} {what:?}", self.now));
    }

    /// The sequence so far, for a property that does not hold.
    fn fail(&self, why: &str) -> ! {
        panic!("{why} at {:.2}\n{}", self.now, self.trace.join("\n"));
    }

    fn apply(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.core.apply(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Launch { machine, job, attempt, fence, spec, .. } => {
                    let identity = match (&spec.key, self.core.job(job).map(|j| j.owner)) {
                        (None, Some(Owner::Group { group, member })) => format!("{group:?} {member}"),
                        (key, _) => key.clone().unwrap_or_default(),
                    };
                    let at = &mut self.machines[machine.0 as usize];
                    at.orders.push(Order::Launch(job, attempt, identity, fence));
                }
                Effect::CancelAttempt { machine, job } => {
                    let at = &mut self.machines[machine.0 as usize];
                    let before = at.orders.len();
                    at.orders.retain(|o| !matches!(o, Order::Launch(j, ..) if *j == job));
                    if at.orders.len() == before {
                        at.orders.push(Order::Stop(job));
                    }
                }
                Effect::Stop { machine, job, .. } => {
                    self.machines[machine.0 as usize].orders.push(Order::Stop(job))
                }
                Effect::SendFence { machine, ask } => {
                    self.machines[machine.0 as usize].orders.push(Order::Check(ask))
                }
                Effect::Disconnect { machine, departure } => {
                    let at = &mut self.machines[machine.0 as usize];
                    (at.is_connected, at.dial_at) = (false, Seconds::INFINITY);
                    at.orders.clear();
                    self.give_up_set_ups(machine.0);
                    self.apply(Input::Departed { departure, end: ConnectionEnd::SeenByMachine });
                }
                Effect::Connect { machine, .. } => self.machines[machine.0 as usize].dial_at = self.now,
                _ => {}
            }
        }
    }

    /// The list tells of a machine.
    fn tell(&mut self, n: u32, standing: Standing, started: Seconds) {
        let (machine, key) = (MachineId(n), MachineKey(u64::from(n)));
        let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 90.0, memory: 180.0 });
        let entry = Entry { machine, key, zone, cell, kind: Some(0), standing, free, started };
        let notices = vec![MachineNotice { entry, address: format!("a:{n}") }];
        self.apply(Input::List { kind: ListKind::Changes, notices });
    }

    /// Submits a keyed job for a client that asks again until its task runs.
    fn ask(&mut self, key: u64) {
        let is_open = |id: &RequestId| self.core.job(*id).is_some_and(|job| !job.phase.is_over());
        if self.jobs.get(&key).is_some_and(is_open) {
            return;
        }
        let job = RequestId(self.next_job);
        self.next_job += 1;
        self.jobs.insert(key, job);
        let spec = Spec { class: "keyed".into(), key: Some(format!("key {key}")), ..Spec::default() };
        let submission = JobSubmission { job, owner: Owner::Rest, spec: Arc::new(spec), task: self.task(1) };
        self.apply(Input::Submit(submission));
    }

    fn task(&self, class: usize) -> Task {
        let (service, room) = (ServiceId(class as u64), Room { cores: 1.0, memory: 1.0 });
        let (deadline, limits) = (self.now + 4.0, TaskLimits::default());
        Task { class, tenant: None, service, room, deadline, expected_runtime_s: None, limits }
    }

    /// Submits a group of two members, one of them keyed, which are replaced.
    fn submit_group(&mut self, id: u64) {
        let member = |class: usize| {
            let key = (class == 1).then(|| format!("group {id}"));
            let class_name = ["stateless", "keyed"][class].to_string();
            (Arc::new(Spec { class: class_name, key, ..Spec::default() }), self.task(class))
        };
        let (cut_wait_s, pause_s, on_loss) = (0.25, (0.1, 0.3), OnLoss::Replace);
        let policy = Policy { partial_s: 1.0, cut_wait_s, tries: 2, pause_s, on_loss, replacements: 100 };
        self.apply(Input::SubmitGroup(GroupSubmission {
            group: GroupId(id),
            members: vec![member(0), member(1)],
            deadline: self.now + 4.0,
            policy,
            share: 1.0,
            key: Some(format!("g{id}")),
            digest: 0,
        }));
    }

    fn change_after(&mut self, after_s: Seconds, change: Change) {
        self.changes.push((self.now + after_s, change));
    }

    fn news_after(&mut self, after_s: Seconds, machine: u32, standing: Standing) {
        let started = if standing == Standing::Ready { self.now + after_s } else { 0.0 };
        self.change_after(after_s + self.list_delay_s, Change::News { machine, standing, started });
    }

    /// Draws what happens to a machine.
    fn trouble(&mut self, n: u32) {
        let at = &self.machines[n as usize];
        if !at.is_alive || at.refuses || at.is_silent || self.changes.iter().any(|(_, c)| c.machine() == n) {
            return;
        }
        let resets = if self.rng.gen() { FormerConnection::Reset } else { FormerConnection::NotReset };
        match self.rng.gen_range(0..6) {
            // It drains; the list tells of that, or only of its end.
            0 | 1 => {
                self.note(format!("{n} drains, {resets:?}"));
                self.machines[n as usize].refuses = true;
                let drain_s = self.rng.gen_range(2.0..6.0);
                if self.rng.gen_bool(0.7) {
                    self.news_after(0.0, n, Standing::Draining);
                }
                self.change_after(drain_s, Change::Stops(n));
                self.news_after(drain_s, n, Standing::Gone);
                self.change_after(drain_s + 9.0, Change::Starts(n));
                self.news_after(drain_s + 9.0, n, Standing::Ready);
                self.break_connection(n, resets, ConnectionEnd::SeenByMachine);
            }
            // It is short of connections for a while.
            2 => {
                self.note(format!("{n} refuses, {resets:?}"));
                self.machines[n as usize].refuses = true;
                let length_s = self.rng.gen_range(0.1..6.0);
                self.change_after(length_s, Change::Heals(n));
                self.break_connection(n, resets, ConnectionEnd::SeenByMachine);
            }
            // It dies and comes back under its name.
            3 => {
                let away_s = self.rng.gen_range(0.05..6.0);
                self.stop_process(n);
                self.change_after(away_s, Change::Starts(n));
                self.news_after(away_s, n, Standing::Ready);
            }
            // It is cut off, and knows nothing of the end of its connection.
            4 => {
                self.note(format!("{n} is cut off"));
                self.machines[n as usize].is_silent = true;
                let length_s = self.rng.gen_range(0.1..6.0);
                self.change_after(length_s, Change::Heals(n));
                self.break_connection(n, FormerConnection::NotReset, ConnectionEnd::Unconfirmed);
            }
            _ => {
                self.note(format!("the connection to {n} breaks, {resets:?}"));
                self.break_connection(n, resets, ConnectionEnd::SeenByMachine);
            }
        }
    }

    fn break_connection(&mut self, n: u32, former_connection: FormerConnection, end: ConnectionEnd) {
        let dial_in_s = self.rng.gen_range(0.05..0.5);
        let at = &mut self.machines[n as usize];
        if !std::mem::take(&mut at.is_connected) {
            return;
        }
        (at.former_connection, at.dial_at) = (former_connection, self.now + dial_in_s);
        // As in the planner's queue, what was not sent of set-ups goes to the next connection.
        at.orders.retain(|order| matches!(order, Order::Launch(..)));
        if end == ConnectionEnd::SeenByMachine {
            self.give_up_set_ups(n);
        }
        self.apply(Input::LinkBroken { machine: MachineId(n), end });
    }

    /// A machine gives up the set-ups of a connection that has ended.
    fn give_up_set_ups(&mut self, n: u32) {
        self.machines[n as usize].copies.retain(|_, copy| copy.runs);
    }

    fn stop_process(&mut self, n: u32) {
        self.note(format!("the process of {n} ends"));
        let at = &mut self.machines[n as usize];
        (at.is_alive, at.refuses) = (false, false);
        at.reports.clear();
        let copies = std::mem::take(&mut at.copies);
        let runs = copies.into_iter().filter(|(_, copy)| copy.runs);
        self.ended.extend(runs.map(|(job, _)| (job, self.now)));
        self.break_connection(n, FormerConnection::Reset, ConnectionEnd::SeenByMachine);
    }

    fn carry_out(&mut self, change: Change) {
        self.note(change);
        match change {
            Change::News { machine, standing, started } => self.tell(machine, standing, started),
            Change::Stops(n) => self.stop_process(n),
            Change::Starts(n) => self.machines[n as usize].is_alive = true,
            Change::Heals(n) => {
                let at = &mut self.machines[n as usize];
                (at.refuses, at.is_silent) = (false, false);
            }
        }
    }

    /// The planner dials a machine, as its link task does.
    fn dial(&mut self, n: u32) {
        let (machine, wait_s) = (MachineId(n), self.rng.gen_range(0.05..1.0));
        let at = &mut self.machines[n as usize];
        at.dial_at = self.now + wait_s;
        if at.is_silent {
            at.failed_dials += 1;
            let is_lost = at.failed_dials >= crate::decide::silence::MIN_FAILED_DIALS;
            self.apply(Input::DialFailed { machine });
            if is_lost {
                self.apply(Input::MachineLost { machine });
            }
            return;
        }
        at.failed_dials = 0;
        if at.refuses || !at.is_alive {
            let (unreported_s, silent_s) = (self.now - at.reported_at, self.now - at.heard_at);
            let dial = RefusedDial {
                former_connection: at.former_connection,
                unreported_s,
                silent_s,
                redial_s: 1.0,
            };
            self.note((n, dial));
            return self.apply(Input::DialRefused { machine, dial });
        }
        (at.is_connected, at.dial_at) = (true, Seconds::INFINITY);
        (at.heard_at, at.reported_at) = (self.now, self.now);
        at.former_connection = FormerConnection::NotReset;
        self.note(format!("{n} is connected"));
        self.apply(Input::LinkUp { machine });
    }

    /// A machine reads what was sent and tells what it has to tell.
    fn exchange(&mut self, n: u32) {
        let machine = MachineId(n);
        for order in std::mem::take(&mut self.machines[n as usize].orders) {
            match order {
                Order::Launch(job, attempt, identity, fence) => {
                    self.machines[n as usize].reports.extend(fence.map(Report::Checked));
                    self.apply(Input::Sent { job, attempt });
                    self.offer(n, job, identity);
                }
                Order::Stop(job) => {
                    let held = self.machines[n as usize].copies.remove(&job);
                    if held.as_ref().is_some_and(|copy| copy.runs) {
                        self.ended.insert(job, self.now);
                    }
                    let outcome = if held.is_some() { Outcome::Cancelled } else { Outcome::Moot };
                    self.machines[n as usize].reports.push(Report::Over(job, outcome));
                }
                Order::Check(ask) => self.machines[n as usize].reports.push(Report::Checked(ask)),
            }
        }
        for report in std::mem::take(&mut self.machines[n as usize].reports) {
            let at = &mut self.machines[n as usize];
            at.heard_at = self.now;
            let input = match report {
                Report::Checked(ask) => Input::FenceAnswered { machine, ask },
                Report::Runs(job) => {
                    at.reported_at = self.now;
                    Input::Bound { machine, job, body: String::new() }
                }
                Report::Over(job, before) => {
                    at.reported_at = self.now;
                    let after = if before == Outcome::Ok { Outcome::Ok } else { Outcome::Cancelled };
                    Input::Ended { machine, job, before, after, why: Reason::LineFull, report: None }
                }
            };
            self.note((n, report));
            self.apply(input);
        }
    }

    /// A set-up comes to a machine, which drops repeats of a key inside the window.
    fn offer(&mut self, n: u32, job: RequestId, identity: String) {
        self.note(format!("{n} is offered {job:?} of {identity}"));
        let is_held =
            self.machines.iter().flat_map(|m| m.copies.values()).any(|copy| copy.identity == identity);
        let first = *self.first_offer.entry(identity.clone()).or_insert(self.now);
        if is_held && self.now < first + WINDOW_S {
            return self.machines[n as usize].reports.push(Report::Over(job, Outcome::Full));
        }
        self.first_offer.insert(identity.clone(), if is_held { first } else { self.now });
        let starts_at = self.now + self.rng.gen_range(0.0..0.3);
        let ends_at = starts_at + self.rng.gen_range(3.0..40.0);
        self.machines[n as usize].copies.insert(job, Copy { identity, starts_at, ends_at, runs: false });
    }

    /// Copies start and end.
    fn run_copies(&mut self, n: u32) {
        let now = self.now;
        let at = &mut self.machines[n as usize];
        let due = |copy: &Copy| if copy.runs { copy.ends_at <= now } else { copy.starts_at <= now };
        let jobs: Vec<RequestId> = at.copies.iter().filter(|(_, c)| due(c)).map(|(&job, _)| job).collect();
        for job in jobs {
            let Some(copy) = self.machines[n as usize].copies.get_mut(&job) else { continue };
            if copy.runs {
                self.machines[n as usize].copies.remove(&job);
                self.ended.insert(job, now);
                self.machines[n as usize].reports.push(Report::Over(job, Outcome::Ok));
                continue;
            }
            copy.runs = true;
            let identity = copy.identity.clone();
            self.starts += 1;
            self.note(format!("{job:?} of {identity} runs at {n}"));
            self.machines[n as usize].reports.push(Report::Runs(job));
            let of_identity = |copy: &&Copy| copy.runs && copy.identity == identity;
            if self.machines.iter().flat_map(|m| m.copies.values()).filter(of_identity).count() > 1 {
                self.fail("two copies run");
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.changes).into_iter().partition(|(at, _)| *at <= now);
        self.changes = later;
        let due: Vec<(Seconds, Change)> = due;
        due.into_iter().for_each(|(_, change)| self.carry_out(change));
        self.apply(Input::Tick);
        for n in 0..MACHINES {
            self.run_copies(n);
            if self.machines[n as usize].dial_at <= now && !self.machines[n as usize].is_connected {
                self.dial(n);
            }
            if self.machines[n as usize].is_connected {
                self.exchange(n);
            }
        }
        let runs = |job: &RequestId| self.core.job(*job).is_some_and(|job| job.phase == Phase::Running);
        if let Some((job, at)) = self.ended.iter().find(|(job, at)| now > *at + TOLD_WITHIN_S && runs(job)) {
            self.fail(&format!("{job:?} ended at {at:.2} and is still shown as running"));
        }
    }

    fn run(&mut self, span_s: Seconds, trouble_share: f64) {
        for _ in 0..(span_s / STEP_S) as u32 {
            self.step();
            if self.rng.gen_bool(trouble_share) {
                let n = *(0..MACHINES).collect::<Vec<u32>>().choose(&mut self.rng).expect("a machine");
                self.trouble(n);
            }
            if self.rng.gen_bool(0.1) {
                let key = self.rng.gen_range(0..KEYS);
                self.ask(key);
            }
        }
    }
}

impl Change {
    fn machine(self) -> u32 {
        match self {
            Change::News { machine, .. } => machine,
            Change::Stops(n) | Change::Starts(n) | Change::Heals(n) => n,
        }
    }
}

/// Guards keys and members of groups against a refused dial that is taken for the end of a copy, and their clients against
/// a loss that nobody tells them. The seed and the sequence are printed where a property does not hold.
#[test]
fn no_sequence_of_refusals_starts_a_second_copy() {
    for seed in 1..=40 {
        let run = std::panic::catch_unwind(|| {
            let mut fleet = Fleet::new(seed);
            fleet.run(1.0, 0.0);
            (1..=GROUPS).for_each(|id| fleet.submit_group(id));
            fleet.run(90.0, 0.05);
            fleet.run(30.0, 0.0);
            let orphans = fleet.machines.iter().flat_map(|m| m.copies.keys());
            let is_open = |job: &&RequestId| fleet.core.job(**job).is_some_and(|job| !job.phase.is_over());
            let orphan = orphans.copied().find(|job| !is_open(&job));
            if let Some(job) = orphan {
                fleet.fail(&format!("{job:?} runs on unknown to the planner"));
            }
            for key in 0..KEYS {
                fleet.ask(key);
                let is_held = !fleet.core.jobs.contains_key(&fleet.jobs[&key]);
                if is_held {
                    fleet.fail(&format!("key {key} is still held"));
                }
            }
            if !fleet.core.groups.is_all_confirmed() {
                fleet.fail("a member waits for the end of a copy");
            }
            assert!(fleet.starts > 20, "{} copies ran", fleet.starts);
        });
        assert!(run.is_ok(), "seed {seed}");
    }
}
