//! Groups in the reducer: single difficult cases, and a simulated fleet with seeded failures on a simulated
//! clock.

use super::*;
use crate::decide::groups::{OnLoss, Phase as GroupPhase, Policy};
use crate::decide::machine_loss::FormerConnection;
use crate::state::limits::tests::core as core_with_three_classes;
use crate::state::possible_copies::RETENTION_S;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const POLICY: Policy = Policy {
    partial_s: 1.0,
    cut_wait_s: 0.25,
    tries: 2,
    pause_s: (0.1, 0.3),
    on_loss: OnLoss::Cut,
    replacements: 2,
};

/// A message to a machine; messages of a connection arrive in order.
#[derive(Clone, Debug)]
enum Message {
    Launch(RequestId, AttemptNo),
    Stop(RequestId),
}

/// A simulated event.
#[derive(Clone, Debug)]
enum SimEvent {
    Arrive(u32, u64, Message),
    Start(u32, RequestId),
    End(u32, RequestId),
    Reply(u32, u64, RequestId, Option<Outcome>),
    Reconnect(u32),
    Resume(u32),
}

/// A simulated machine.
#[derive(Default)]
struct Machine {
    /// Number of the current connection: messages of earlier connections are lost.
    link: u64,
    up: bool,
    hangs: bool,
    inbox: Vec<(u64, Message)>,
    /// Copies, and whether each is running.
    copies: BTreeMap<RequestId, bool>,
    /// Messages that wait for a connection. After a reconnect, stop orders are sent first, then attempts.
    waiting: Vec<Message>,
}

/// One run of a copy, as its machine records it: group, member, start and end.
type CopyRun = (GroupId, usize, Seconds, Seconds);

struct Simulation {
    core: Core,
    now: Seconds,
    rng: Pcg64Mcg,
    queue: BTreeMap<(u64, u64), SimEvent>,
    next: u64,
    machines: Vec<Machine>,
    refuse_share: f64,
    fail_share: f64,
    runs: BTreeMap<RequestId, (u32, Seconds)>,
    copy_runs: Vec<CopyRun>,
    open: BTreeSet<GroupId>,
    answers: BTreeMap<GroupId, Answer>,
    owners: BTreeMap<RequestId, (GroupId, usize)>,
}

impl Simulation {
    fn new(seed: u64, machines: u32) -> Simulation {
        let mut sim = Simulation {
            core: core_with_three_classes(),
            now: 100.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            next: 0,
            machines: (0..machines).map(|_| Machine { up: true, ..Machine::default() }).collect(),
            refuse_share: 0.0,
            fail_share: 0.0,
            runs: BTreeMap::new(),
            copy_runs: Vec::new(),
            open: BTreeSet::new(),
            answers: BTreeMap::new(),
            owners: BTreeMap::new(),
        };
        let all: Vec<(u32, Standing)> = (0..machines).map(|n| (n, Standing::Ready)).collect();
        sim.list(&all);
        sim
    }

    fn list(&mut self, all: &[(u32, Standing)]) {
        self.list_started(all, 0.0);
    }

    fn list_started(&mut self, all: &[(u32, Standing)], started: Seconds) {
        let notice = |&(n, standing): &(u32, Standing)| {
            let (machine, key) = (MachineId(n), MachineKey(u64::from(n)));
            let (zone, cell, free) = (ZoneId(0), CellId(0), Room { cores: 100.0, memory: 200.0 });
            let entry = Entry { machine, key, zone, cell, kind: Some(0), standing, free, started };
            MachineNotice { entry, address: format!("a:{n}") }
        };
        self.apply_input(Input::List { kind: ListKind::Changes, notices: all.iter().map(notice).collect() });
    }

    fn schedule(&mut self, after: Seconds, event: SimEvent) {
        self.next += 1;
        self.queue.insert((((self.now + after) * 1e6) as u64, self.next), event);
    }

    fn apply_input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.core.apply(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                Effect::Launch { machine, job, attempt, .. } => {
                    if let Some(Owner::Group { group, member }) = self.core.job(job).map(|j| j.owner) {
                        self.owners.insert(job, (group, member));
                    }
                    self.send(machine.0, Message::Launch(job, attempt));
                }
                Effect::CancelAttempt { machine, job } => {
                    let of = |m: &Message| matches!(m, Message::Launch(j, _) if *j == job);
                    let waiting = &mut self.machines[machine.0 as usize].waiting;
                    let before = waiting.len();
                    waiting.retain(|m| !of(m));
                    if waiting.len() == before && self.machines[machine.0 as usize].up {
                        self.send(machine.0, Message::Stop(job));
                    }
                }
                Effect::Stop { machine, job, .. } => self.send(machine.0, Message::Stop(job)),
                _ => {}
            }
        }
        let answered = |id: &GroupId| Some((*id, self.core.group_answer(*id)?));
        let now: Vec<(GroupId, Answer)> = self.open.iter().filter_map(answered).collect();
        for (id, answer) in now {
            self.open.remove(&id);
            self.answers.insert(id, answer);
        }
    }

    fn send(&mut self, at: u32, message: Message) {
        let machine = &mut self.machines[at as usize];
        if !machine.up {
            return machine.waiting.push(message);
        }
        let link = machine.link;
        if let Message::Launch(job, attempt) = message {
            self.schedule(0.001, SimEvent::Arrive(at, link, message));
            return self.apply_input(Input::Sent { job, attempt });
        }
        self.schedule(0.001, SimEvent::Arrive(at, link, message));
    }

    fn break_connection(&mut self, at: u32, dies: bool) {
        let machine = &mut self.machines[at as usize];
        machine.link += 1;
        (machine.up, machine.inbox) = (false, Vec::new());
        // Attempts that were open on the connection are abandoned; running tasks continue unless the process
        // died.
        let gone: Vec<RequestId> =
            machine.copies.iter().filter(|(_, runs)| dies || !**runs).map(|(&job, _)| job).collect();
        gone.into_iter().for_each(|job| self.end_copy(at, job));
        let machine = MachineId(at);
        self.apply_input(Input::LinkBroken { machine, end: ConnectionEnd::SeenByMachine });
        if dies {
            self.machines[at as usize].waiting.clear();
            let former_connection = FormerConnection::Reset;
            let dial = RefusedDial { former_connection, unreported_s: 0.0, silent_s: 0.0, redial_s: 1.0 };
            self.apply_input(Input::DialRefused { machine, dial });
        }
        self.schedule(0.05, SimEvent::Reconnect(at));
    }

    /// Ends a copy and records its run.
    fn end_copy(&mut self, at: u32, job: RequestId) {
        self.machines[at as usize].copies.remove(&job);
        if let (Some((_, from)), Some(&(group, member))) = (self.runs.remove(&job), self.owners.get(&job)) {
            self.copy_runs.push((group, member, from, self.now));
        }
    }

    fn reply(&mut self, at: u32, job: RequestId, what: Option<Outcome>) {
        let link = self.machines[at as usize].link;
        self.schedule(0.001, SimEvent::Reply(at, link, job, what));
    }

    fn receive(&mut self, at: u32, link: u64, message: Message) {
        let machine = &mut self.machines[at as usize];
        if machine.link != link {
            return;
        }
        if machine.hangs {
            return machine.inbox.push((link, message));
        }
        match message {
            Message::Launch(job, _) => {
                let drawn = self.rng.gen::<f64>();
                if drawn < self.refuse_share {
                    return self.reply(at, job, Some(Outcome::Full));
                }
                if drawn < self.refuse_share + self.fail_share {
                    return self.reply(at, job, Some(Outcome::Error));
                }
                self.machines[at as usize].copies.insert(job, false);
                let after = self.rng.gen_range(0.005..0.1);
                self.schedule(after, SimEvent::Start(at, job));
            }
            Message::Stop(job) => {
                let held = machine.copies.contains_key(&job);
                self.end_copy(at, job);
                self.reply(at, job, Some(if held { Outcome::Cancelled } else { Outcome::Moot }));
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(at, link, message) => self.receive(at, link, message),
            SimEvent::Start(at, job) => {
                if let Some(runs) = self.machines[at as usize].copies.get_mut(&job) {
                    *runs = true;
                    self.runs.insert(job, (at, self.now));
                    self.reply(at, job, None);
                    let run_s = self.rng.gen_range(1.0..3.0);
                    self.schedule(run_s, SimEvent::End(at, job));
                }
            }
            SimEvent::End(at, job) => {
                if self.machines[at as usize].copies.contains_key(&job) {
                    self.end_copy(at, job);
                    self.reply(at, job, Some(Outcome::Ok));
                }
            }
            SimEvent::Reply(at, link, job, what) => {
                let machine = &self.machines[at as usize];
                if machine.link != link || machine.hangs {
                    return;
                }
                let id = MachineId(at);
                match what {
                    None => self.apply_input(Input::Bound { machine: id, job, body: String::new() }),
                    Some(outcome) => self.apply_input(Input::Ended {
                        machine: id,
                        job,
                        before: outcome,
                        after: if outcome == Outcome::Ok { Outcome::Ok } else { Outcome::Cancelled },
                        why: Reason::LineFull,
                        report: None,
                    }),
                }
            }
            SimEvent::Reconnect(at) => {
                self.machines[at as usize].up = true;
                self.apply_input(Input::LinkUp { machine: MachineId(at) });
                let mut waiting = std::mem::take(&mut self.machines[at as usize].waiting);
                waiting.sort_by_key(|m| matches!(m, Message::Launch(..)));
                waiting.into_iter().for_each(|message| self.send(at, message));
            }
            SimEvent::Resume(at) => {
                let machine = &mut self.machines[at as usize];
                machine.hangs = false;
                let inbox = std::mem::take(&mut machine.inbox);
                inbox.into_iter().for_each(|(link, message)| self.receive(at, link, message));
            }
        }
    }

    /// Advances the simulation by the given time.
    fn run(&mut self, span: Seconds) {
        let until = self.now + span;
        loop {
            let alarm = self.core.next_alarm().map(|at| (at * 1e6) as u64);
            let next = self.queue.keys().next().map(|&(at, _)| at);
            let due = alarm.into_iter().chain(next).min().filter(|&at| at as f64 / 1e6 <= until);
            let Some(due) = due else { break };
            // Times are rounded up or down by conversions; a small margin ensures that all due events are
            // due.
            self.now = self.now.max(due as f64 / 1e6 + 2e-6);
            match self.queue.pop_first() {
                Some((key, event)) if key.0 <= due => self.handle(event),
                Some((key, event)) => {
                    self.queue.insert(key, event);
                    self.apply_input(Input::Tick);
                }
                None => self.apply_input(Input::Tick),
            }
        }
        self.now = until;
    }

    fn group(&mut self, id: u64, members: usize, cores: f64, on_loss: OnLoss) -> GroupId {
        let deadline = self.now + 4.0;
        let member = |at: usize| {
            let room = Room { cores, memory: cores };
            let class = usize::from(at % 3 == 2);
            let limits = TaskLimits::default();
            let service = ServiceId(at as u64 % 4);
            let task =
                Task { class, tenant: None, service, room, deadline, expected_runtime_s: None, limits };
            let key = (class == 1).then(|| format!("{id}/{at}"));
            let class = ["stateless", "keyed"][class].to_string();
            (Arc::new(Spec { class, key, ..Spec::default() }), task)
        };
        let policy = Policy { on_loss, ..POLICY };
        let (group, members) = (GroupId(id), (0..members).map(member).collect());
        self.open.insert(group);
        let (share, key, digest) = (1.0, Some(format!("g{id}")), 0);
        self.apply_input(Input::SubmitGroup(GroupSubmission {
            group,
            members,
            deadline,
            policy,
            share,
            key,
            digest,
        }));
        group
    }

    fn view(&self, group: GroupId) -> GroupView {
        self.core.group_view_of(group).expect("a group")
    }

    /// The durations for which groups were running only in part, computed from the runs that the machines
    /// recorded.
    fn partial(&self, sizes: &BTreeMap<GroupId, usize>) -> Vec<Seconds> {
        let mut all = Vec::new();
        for (&group, &size) in sizes {
            let mut changes: Vec<(Seconds, bool, usize)> = Vec::new();
            for &(_, member, from, until) in self.copy_runs.iter().filter(|l| l.0 == group) {
                changes.extend([(from, true, member), (until, false, member)]);
            }
            changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let (mut runs, mut since, mut complete) = (BTreeMap::new(), None, false);
            for (at, starts, member) in changes {
                let count: &mut i32 = runs.entry(member).or_default();
                *count += if starts { 1 } else { -1 };
                assert!(*count <= 1, "two copies of member {member} of {group:?}");
                let running = runs.values().filter(|c| **c > 0).count();
                complete = (complete && running > 0) || running == size;
                if since.is_none() && running > 0 && !complete {
                    since = Some(at);
                }
                if running == 0 || complete {
                    all.extend(since.take().map(|from| at - from));
                }
            }
        }
        all
    }
}

/// Guards the central guarantee on machines that refuse, fail, are reset, die, hang and drain: no group runs
/// in part for over a second, unless a machine hangs; no member runs twice at a time; each group has one
/// answer.
#[test]
fn no_partial_group_outlives_a_second() {
    for seed in 1..=6 {
        let hangs = seed % 2 == 0;
        let mut sim = Simulation::new(seed, 8);
        (sim.refuse_share, sim.fail_share) = (0.01, 0.005);
        let mut sizes = BTreeMap::new();
        for turn in 1..=300 {
            let members = sim.rng.gen_range(2..=32);
            let id = sim.group(turn, members, 1.0, [OnLoss::Keep, OnLoss::Cut][turn as usize % 2]);
            sizes.insert(id, members);
            let at = sim.rng.gen_range(0..8);
            match sim.rng.gen_range(0..12) {
                0 => sim.break_connection(at, false),
                1 => sim.break_connection(at, true),
                2 if hangs => {
                    sim.machines[at as usize].hangs = true;
                    sim.schedule(0.4, SimEvent::Resume(at));
                }
                3 => sim.list(&[(at, Standing::Draining)]),
                4 => sim.list(&[(at, Standing::Ready)]),
                _ => {}
            }
            sim.run(0.25);
        }
        (sim.refuse_share, sim.fail_share) = (0.0, 0.0);
        sim.run(20.0);
        let partial = sim.partial(&sizes);
        let greatest = partial.iter().copied().fold(0.0, f64::max);
        // A stop order waits at a hanging machine, here for up to 0.4 s.
        let most = if hangs { 1.4 } else { 1.0 };
        assert!(greatest <= most, "seed {seed}: {greatest} s");
        assert!(partial.len() > 200, "seed {seed}: {} times", partial.len());
        assert_eq!(sim.answers.len(), 300, "seed {seed}: every group has its answer");
        assert_eq!(sim.core.pending(), 0);
        assert_eq!(sim.core.groups.pending_cuts.len(), 0, "seed {seed}: all copies are proved gone");
        assert!(sim.machines.iter().all(|m| m.copies.is_empty()), "seed {seed}: no copy keeps running");
    }
}

/// Guards groups that fit alone but not together: of 200 submitted at once each is placed or refused
/// completely, and none is stopped after being placed in part.
#[test]
fn competing_groups_are_placed_completely_or_refused() {
    let mut sim = Simulation::new(3, 2);
    for id in 1..=200 {
        sim.group(id, 10, 6.0, OnLoss::Keep);
    }
    sim.run(0.5);
    let answers: Vec<Answer> = sim.answers.values().copied().collect();
    let placed = answers.iter().filter(|a| **a == Answer::Placed).count();
    assert_eq!(placed, 3, "two machines of 100 cores take three groups of 60");
    let refused =
        |a: &&Answer| matches!(a, Answer::Refused { why: Why::NoRoom, retry_in_s } if *retry_in_s > 0.0);
    assert_eq!(answers.iter().filter(refused).count(), 197, "refused at once, with a retry delay");
    assert!(sim.copy_runs.is_empty(), "no member was stopped");
}

/// Guards against sending members of a group that is larger than the fleet: it is refused before that, as no
/// retry can help.
#[test]
fn a_group_larger_than_the_fleet_is_refused() {
    let mut sim = Simulation::new(1, 2);
    let id = sim.group(1, 9, 30.0, OnLoss::Keep);
    assert!(matches!(sim.view(id).answer, Some(Answer::Refused { why: Why::NoRoom, .. })));
    assert!(sim.owners.is_empty(), "nothing was sent");
}

/// Guards the answer of a group against a machine that hangs with some of its members: the answer does not
/// wait for the machine, its copies are shown as unreachable, and they are stopped first when the machine
/// resumes.
#[test]
fn a_hanging_machine_stops_its_copies_when_it_resumes() {
    let mut sim = Simulation::new(5, 2);
    let id = sim.group(1, 6, 1.0, OnLoss::Keep);
    sim.run(0.02);
    sim.machines[0].hangs = true;
    sim.run(1.3);
    let view = sim.view(id);
    assert!(matches!(view.answer, Some(Answer::Failed { .. })), "{view:?}");
    let unreachable: Vec<usize> = (0..6).filter(|&at| !view.members[at].unreachable.is_empty()).collect();
    assert!(!unreachable.is_empty());
    assert_eq!(view.phase, GroupPhase::Over);
    // The connection is reset meanwhile: messages in flight are lost and sent again.
    sim.break_connection(0, false);
    sim.run(0.2);
    sim.handle(SimEvent::Resume(0));
    sim.run(0.1);
    assert!(sim.machines[0].copies.is_empty(), "{:?}", sim.machines[0].copies);
    assert!(sim.view(id).members.iter().all(|m| m.unreachable.is_empty()));
}

/// Guards owners and operators: a cancelled group, or a planner that shuts down, leaves no copies behind.
#[test]
fn a_cancel_and_a_shutdown_leave_no_copies() {
    for stop in [false, true] {
        let mut sim = Simulation::new(9, 2);
        let id = sim.group(1, 8, 1.0, OnLoss::Keep);
        sim.run(0.03);
        sim.apply_input(if stop {
            Input::Draining { until: f64::INFINITY }
        } else {
            Input::CancelGroup { group: id }
        });
        sim.run(0.2);
        assert!(matches!(sim.view(id).answer, Some(Answer::Refused { .. })), "{:?}", sim.view(id));
        assert!(sim.machines.iter().all(|m| m.copies.is_empty()));
        assert_eq!(sim.core.pending(), 0);
    }
}

/// Guards running groups: a lost member is replaced on another machine, or the whole group is stopped.
#[test]
fn a_lost_member_is_replaced_or_ends_the_group() {
    for on_loss in [OnLoss::Replace, OnLoss::Cut] {
        let mut sim = Simulation::new(11, 3);
        let id = sim.group(1, 3, 1.0, on_loss);
        sim.run(0.2);
        assert_eq!(sim.view(id).answer, Some(Answer::Placed));
        let at = sim.view(id).members[0].job.and_then(|job| sim.core.job(job)?.machine).expect("a machine");
        sim.break_connection(at.0, true);
        sim.run(0.3);
        let copies = sim.machines.iter().map(|m| m.copies.len()).sum::<usize>();
        match on_loss {
            OnLoss::Replace => assert_eq!((sim.view(id).phase, copies), (GroupPhase::Standing, 3)),
            _ => assert_eq!((sim.view(id).phase, copies), (GroupPhase::Over, 0)),
        }
    }
}

/// Guards running groups: the replacement of a member that is lost after the group's deadline has as long to be placed
/// as the group had.
#[test]
fn a_member_lost_after_the_deadline_is_replaced() {
    let mut sim = Simulation::new(11, 3);
    let id = sim.group(1, 3, 1.0, OnLoss::Replace);
    sim.run(0.2);
    assert_eq!(sim.view(id).answer, Some(Answer::Placed));
    let deadline = sim.view(id).deadline;
    sim.now = deadline + 1.0;
    let at = sim.view(id).members[0].job.and_then(|job| sim.core.job(job)?.machine).expect("a machine");
    sim.break_connection(at.0, true);
    sim.run(0.3);
    let view = sim.view(id);
    assert_eq!((view.phase, view.members[0].phase), (GroupPhase::Standing, Some(Phase::Running)), "{view:?}");
}

/// Guards a keyed member whose earlier attempt may have run: the whole group is tried again once that copy is
/// proved gone, within the member's repeat window, and no two copies run at a time.
#[test]
fn a_keyed_member_is_tried_again_in_its_window() {
    let mut sim = Simulation::new(13, 2);
    sim.fail_share = 1.0;
    let id = sim.group(1, 3, 1.0, OnLoss::Keep);
    sim.run(0.01);
    sim.fail_share = 0.0;
    // A refused member is retried after one second.
    sim.run(1.2);
    let view = sim.view(id);
    assert_eq!((view.answer, view.tries), (Some(Answer::Placed), 2), "{view:?}");
    let keyed = view.members[2].job.and_then(|job| sim.core.job(job)).expect("a job");
    assert!(
        keyed.may_have_run_since.is_some_and(|since| since < 100.02),
        "it keeps the repeat window of its first attempt"
    );
    assert!(sim.partial(&BTreeMap::from([(id, 3)])).iter().all(|time| *time <= 1.0));
}

/// Guards owners and machines: a machine that went silent and returns cold at its address holds no copies,
/// and gets no stop orders for earlier ones.
#[test]
fn a_machine_that_returns_cold_holds_no_copies() {
    let mut sim = Simulation::new(5, 2);
    let id = sim.group(1, 6, 1.0, OnLoss::Keep);
    sim.run(0.02);
    sim.machines[0].hangs = true;
    sim.run(1.3);
    assert!(sim.view(id).members.iter().any(|m| !m.unreachable.is_empty()));
    sim.break_connection(0, false);
    let started = sim.now;
    sim.machines[0].copies.clear();
    sim.list_started(&[(0, Standing::Ready)], started);
    assert!(sim.view(id).members.iter().all(|m| m.unreachable.is_empty()), "its process restarted");
    let mut effects = Vec::new();
    sim.core.apply(sim.now, Input::LinkUp { machine: MachineId(0) }, &mut effects);
    assert!(!effects.iter().any(|e| matches!(e, Effect::Stop { .. })), "{effects:?}");
}

/// Guards a group whose members are all lost at once, as they ran at one machine: it ended, with its replacements unused.
#[test]
fn a_group_that_is_lost_as_a_whole_is_replaced() {
    let mut sim = Simulation::new(11, 1);
    let id = sim.group(1, 2, 1.0, OnLoss::Replace);
    sim.run(0.2);
    assert_eq!(sim.view(id).answer, Some(Answer::Placed));
    let jobs =
        |sim: &Simulation| sim.view(id).members.iter().filter_map(|m| m.job).collect::<BTreeSet<RequestId>>();
    let lost = jobs(&sim);
    sim.break_connection(0, true);
    sim.run(0.5);
    assert_eq!(sim.view(id).phase, GroupPhase::Standing);
    assert_eq!((jobs(&sim).len(), jobs(&sim).is_disjoint(&lost)), (2, true), "both are placed anew");
}

/// Guards a group against waiting for ever for the end of a copy that nothing confirms, and callers against a replacement
/// before that.
#[test]
fn a_member_waits_for_the_end_of_its_copy_for_a_bounded_time() {
    for are_orders_dropped in [false, true] {
        let mut sim = Simulation::new(11, 3);
        let id = sim.group(1, 3, 1.0, OnLoss::Replace);
        sim.run(0.2);
        let at = sim.view(id).members[0].job.and_then(|job| sim.core.job(job)?.machine).expect("a machine");
        (sim.machines[at.0 as usize].up, sim.machines[at.0 as usize].hangs) = (false, true);
        sim.apply_input(Input::LinkBroken { machine: at, end: ConnectionEnd::Unconfirmed });
        sim.apply_input(Input::MachineLost { machine: at });
        assert_eq!(sim.view(id).members[0].unreachable.len(), 1);
        let lost_job = sim.view(id).members[0].job;
        if are_orders_dropped {
            sim.core.groups.pending_cuts.clear();
        }
        sim.run(RETENTION_S - 1.0);
        let view = sim.view(id);
        assert_eq!((view.phase, view.members[0].job), (GroupPhase::Standing, lost_job), "{view:?}");
        sim.run(2.0);
        let view = sim.view(id);
        assert!(view.members[0].job != lost_job && view.members[0].unreachable.is_empty(), "{view:?}");
    }
}

/// Guards memory: the wait for the end of copies has one alarm, whatever number of copies was confirmed meanwhile.
#[test]
fn waits_for_the_ends_of_copies_have_one_alarm() {
    let mut sim = Simulation::new(9, 2);
    for id in 1..=20 {
        let group = sim.group(id, 2, 1.0, OnLoss::Replace);
        sim.run(0.2);
        sim.apply_input(Input::CancelGroup { group });
        sim.run(0.2);
    }
    let is_wait = |alarm: &&Reverse<(u64, Alarm)>| matches!(alarm.0 .1, Alarm::ForgetCuts);
    assert_eq!(sim.core.alarms.iter().filter(is_wait).count(), 1);
}
