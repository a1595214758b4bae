//! A small world for the reducer: machines that answer, fail, drain, restart and are replaced, and planners whose lists
//! may differ, on a clock of the tests' own. It holds every planner to what must never happen, whatever the script.

use super::super::*;
use super::scene::{machine, Happens, Machine};
use crate::placer::Effect as Effect_;

/// Seconds. Time between a launch and its arrival, and between the arrival and the answer.
const WAY_S: Seconds = 0.01;
/// Seconds. One step of the world.
const STEP_S: Seconds = 0.05;

enum Delivery {
    Arrive { machine: MachineId, job: RequestId, attempt: AttemptNo },
    Answer { machine: MachineId, job: RequestId },
    End { machine: MachineId, job: RequestId },
    Tell(Vec<MachineId>),
    TellAll,
    Gone(MachineId),
    Input(Input),
}

/// One planner, and what it must not do.
pub struct Planner {
    pub core: Core,
    /// The list as it was told.
    pub list: BTreeMap<MachineId, Entry>,
    connected: BTreeSet<MachineId>,
    /// Attempts out.
    out: BTreeMap<RequestId, MachineId>,
    queue: Vec<(Seconds, Delivery)>,
    pub placed: BTreeSet<RequestId>,
    pub turned_away: BTreeSet<RequestId>,
    /// When what was offered to which machine.
    pub offers: Vec<(Seconds, MachineId)>,
    /// All that it asked for.
    pub log: Vec<Effect>,
    pub keep_log: bool,
}

/// The world: machines, one planner, a clock.
pub struct World {
    pub now: Seconds,
    pub machines: BTreeMap<MachineId, Machine>,
    pub planner: Planner,
    /// Some first attempts are cut off, so that they may have run.
    pub cuts_off: bool,
}

impl World {
    pub fn new(core: Core, machines: u32) -> World {
        let planner = Planner {
            core,
            list: BTreeMap::new(),
            connected: BTreeSet::new(),
            out: BTreeMap::new(),
            queue: Vec::new(),
            placed: BTreeSet::new(),
            turned_away: BTreeSet::new(),
            offers: Vec::new(),
            log: Vec::new(),
            keep_log: false,
        };
        let machines = (0..machines).map(|n| (MachineId(n), machine(n, 0.0))).collect();
        let mut world = World { now: 100.0, machines, planner, cuts_off: true };
        world.tell_all();
        world
    }

    /// Attempts that are on their way to a machine.
    pub fn on_the_way_to(&self, machine: MachineId) -> usize {
        let is = |d: &Delivery| matches!(d, Delivery::Arrive { machine: m, .. } if *m == machine);
        self.planner.queue.iter().filter(|(_, d)| is(d)).count()
    }

    /// Machines that are borrowed now.
    pub fn borrowed(&self) -> usize {
        self.planner.core.outside.loans.len()
    }

    fn notice(&self, id: MachineId) -> Option<Notice> {
        let machine = self.machines.get(&id)?;
        let used = machine.tasks.values().fold(Room::default(), |all, room| all + *room);
        let free = Room { cores: 10.0, memory: 20.0 } - used;
        Some(Notice { entry: Entry { free, ..machine.entry }, address: machine.address.clone() })
    }

    /// Tells the list's changes.
    pub fn tell(&mut self, ids: &[MachineId]) {
        let notices: Vec<Notice> = ids.iter().filter_map(|&id| self.notice(id)).collect();
        self.tell_of(ListKind::Changes, notices);
    }

    /// Tells the whole list.
    pub fn tell_all(&mut self) {
        let ids: Vec<MachineId> = self.machines.keys().copied().collect();
        let notices: Vec<Notice> = ids.iter().filter_map(|&id| self.notice(id)).collect();
        self.tell_of(ListKind::Whole, notices);
    }

    pub fn tell_of(&mut self, kind: ListKind, notices: Vec<Notice>) {
        if kind == ListKind::Whole {
            self.planner.list.clear();
        }
        for notice in &notices {
            // The one that started later has an address that two claim.
            let id = notice.entry.machine;
            let other = self.planner.list.keys().copied().find(|other| {
                *other != id && self.machines.get(other).is_some_and(|m| m.address == notice.address)
            });
            if let Some(other) = other.filter(|_| notice.entry.standing == Standing::Ready) {
                self.planner.list.remove(&other);
            }
            self.planner.list.insert(id, notice.entry);
        }
        self.planner.list.retain(|_, entry| entry.standing != Standing::Gone);
        self.apply(Input::List { kind, notices });
    }

    /// Hands an input in and looks at what follows.
    pub fn apply(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.planner.core.apply(self.now, input, &mut effects);
        if self.planner.keep_log {
            self.planner.log.extend(effects.iter().cloned());
        }
        for effect in effects {
            self.carry_out(effect);
        }
        self.check();
    }

    fn later(&mut self, after: Seconds, delivery: Delivery) {
        self.planner.queue.push((self.now + after, delivery));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Launch { machine, job, attempt, .. } => {
                self.check_offer(machine, job);
                self.planner.out.insert(job, machine);
                self.planner.offers.push((self.now, machine));
                self.later(WAY_S, Delivery::Arrive { machine, job, attempt });
            }
            Effect::GiveUp { machine, job } => {
                let is_it = |d: &Delivery| matches!(d, Delivery::Arrive { machine: m, job: j, .. } if (*m, *j) == (machine, job));
                self.planner.queue.retain(|(_, d)| !is_it(d));
                self.planner.out.remove(&job);
            }
            Effect::Stop { machine, job, .. } => {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.tasks.remove(&job);
                }
                self.later(WAY_S, Delivery::Input(ended(machine, job, Outcome::Cancelled, Reason::Unknown)));
            }
            Effect::Ask { machine, ask } => self.later(WAY_S, Delivery::Input(Input::Heard { machine, ask })),
            Effect::Connect { machine, .. } => {
                self.planner.connected.insert(machine);
            }
            Effect::Disconnect { machine } => {
                self.planner.connected.remove(&machine);
            }
            Effect::Placed { job, .. } => {
                self.planner.placed.insert(job);
            }
            Effect::Refused { job, .. } | Effect::Failed { job, .. } => {
                self.planner.turned_away.insert(job);
            }
            _ => {}
        }
    }

    /// No two attempts out; none to a machine that the list does not call ready, and none to a cold one beyond the part.
    fn check_offer(&self, machine: MachineId, job: RequestId) {
        assert!(!self.planner.out.contains_key(&job), "two attempts of {job:?} are out");
        let entry = self.planner.list.get(&machine).expect("a listed machine");
        assert_eq!(entry.standing, Standing::Ready, "an offer to {machine:?}, which drains");
        let core = &self.planner.core;
        let cold = is_cold(self.now, entry, core.settings());
        assert!(!cold || core.outside.serves(entry.key), "an offer to {machine:?}, cold and beyond the part");
        assert!(self.planner.connected.contains(&machine), "no connection to {machine:?} is held");
    }

    /// Every listed machine is in one place: connected if it is served, borrowed or worked on, else in the table.
    fn check(&self) {
        let core = &self.planner.core;
        let nodes: BTreeSet<MachineId> = core.nodes.iter().map(|(id, _)| id).collect();
        let beyond: BTreeSet<MachineId> = core.outside.table.machines().collect();
        assert!(nodes.is_disjoint(&beyond), "a machine is in two places");
        let listed: BTreeSet<MachineId> = self.planner.list.keys().copied().collect();
        assert_eq!(
            nodes.union(&beyond).copied().collect::<BTreeSet<_>>(),
            listed,
            "table and nodes are the list"
        );
        assert_eq!(nodes, self.planner.connected, "what is connected is what is a node");
        for (id, node) in core.nodes.iter() {
            let is_loan = core.outside.loans.contains_key(&id);
            assert_eq!(core.outside.serves(node.entry().key), !is_loan, "{id:?} is served or borrowed");
        }
        let running: BTreeSet<MachineId> =
            core.jobs.values().filter(|j| j.phase == Phase::Running).filter_map(|j| j.machine).collect();
        for id in &beyond {
            assert!(!core.outside.serves(self.planner.list[id].key), "{id:?} is served");
            assert!(!running.contains(id), "a task stands at {id:?}, which is not connected");
        }
        let held = core.outside.loans.len() + core.outside.returned.len();
        assert!(!core.outside.is_on() || held <= core.outside.most, "{held} are borrowed");
    }

    /// Has time pass.
    pub fn run_until(&mut self, until: Seconds) {
        while self.now < until {
            self.now += STEP_S;
            while let Some(at) = (0..self.planner.queue.len())
                .filter(|&at| self.planner.queue[at].0 <= self.now)
                .min_by(|&a, &b| self.planner.queue[a].0.total_cmp(&self.planner.queue[b].0))
            {
                let (_, delivery) = self.planner.queue.remove(at);
                self.deliver(delivery);
            }
            if self.planner.core.next_alarm().is_some_and(|at| at <= self.now) {
                self.apply(Input::Tick);
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Arrive { machine, job, attempt } => self.arrive(machine, job, attempt),
            Delivery::Answer { machine, job } => self.answer(machine, job),
            Delivery::End { machine, job } => self.end(machine, job),
            Delivery::Tell(ids) => self.tell(&ids),
            Delivery::TellAll => self.tell_all(),
            Delivery::Gone(id) => {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.entry.standing = Standing::Gone;
                    machine.tasks.clear();
                }
                self.later(LIST_S, Delivery::Tell(vec![id]));
            }
            Delivery::Input(input) => self.apply(input),
        }
    }

    /// An attempt comes to its machine: its connection is refused, or breaks, or it is taken up.
    fn arrive(&mut self, machine: MachineId, job: RequestId, attempt: AttemptNo) {
        let is_there = self.machines.get(&machine).is_some_and(|m| m.entry.standing != Standing::Gone);
        if !is_there {
            self.planner.out.retain(|_, at| *at != machine);
            let of = |d: &Delivery| matches!(d, Delivery::Arrive { machine: m, .. } if *m == machine);
            self.planner.queue.retain(|(_, d)| !of(d));
            return self.apply(Input::DialRefused { machine, quiet_s: 0.0 });
        }
        self.apply(Input::Sent { job, attempt });
        // What it is told is cold by now was taken back.
        let is_served = self.planner.core.outside.serves(self.machines[&machine].entry.key);
        let listed = self.planner.list.get(&machine);
        let cold = listed.is_some_and(|entry| is_cold(self.now, entry, self.planner.core.settings()));
        assert!(is_served || !cold, "an attempt comes to {machine:?}, cold and beyond the part");
        if self.cuts_off && attempt == 0 && job.0 % 7 == 3 {
            self.break_off(machine);
        } else {
            self.later(WAY_S, Delivery::Answer { machine, job });
        }
    }

    /// The connection to a machine breaks: what was sent on it may have run.
    fn break_off(&mut self, machine: MachineId) {
        let of = |d: &Delivery| matches!(d, Delivery::Answer { machine: m, .. } if *m == machine);
        self.planner.queue.retain(|(_, d)| !of(d));
        let waits = |id: &RequestId, queue: &[(Seconds, Delivery)]| {
            queue.iter().any(|(_, d)| matches!(d, Delivery::Arrive { job, .. } if job == id))
        };
        let queue = &self.planner.queue;
        self.planner.out.retain(|id, at| *at != machine || waits(id, queue));
        if self.planner.connected.contains(&machine) {
            self.apply(Input::LinkBroken { machine });
        }
    }

    fn answer(&mut self, machine: MachineId, job: RequestId) {
        if self.planner.out.get(&job) != Some(&machine) {
            return;
        }
        self.planner.out.remove(&job);
        let Some(room) = self.planner.core.job(job).map(|j| j.task.room) else { return };
        let Some(at) = self.machines.get_mut(&machine) else { return };
        let used = at.tasks.values().fold(Room::default(), |all, room| all + *room);
        if at.entry.standing != Standing::Ready {
            return self.apply(ended(machine, job, Outcome::Full, Reason::NotHere));
        }
        if !(used + room).within(Room { cores: 10.0, memory: 20.0 }) {
            return self.apply(ended(machine, job, Outcome::Full, Reason::NoCores));
        }
        at.tasks.insert(job, room);
        self.later(1.0 + (job.0 % 5) as f64, Delivery::End { machine, job });
        self.apply(Input::Bound { machine, job, body: String::new() });
    }

    /// A task ends; the planner hears of it on the connection that it holds.
    fn end(&mut self, machine: MachineId, job: RequestId) {
        let stood = self.machines.get_mut(&machine).is_some_and(|m| m.tasks.remove(&job).is_some());
        if stood {
            assert!(self.planner.connected.contains(&machine), "nobody hears of the end of {job:?}");
            self.apply(ended(machine, job, Outcome::Ok, Reason::Unknown));
        }
    }

    /// Has something happen now; the list tells of it a little later.
    pub fn happen(&mut self, what: Happens) {
        match what {
            Happens::Submit { job, class, cores } => self.submit(job, class, cores),
            Happens::Drain(number) => {
                let id = MachineId(number);
                if let Some(machine) =
                    self.machines.get_mut(&id).filter(|m| m.entry.standing == Standing::Ready)
                {
                    machine.entry.standing = Standing::Draining;
                    self.later(LIST_S, Delivery::Tell(vec![id]));
                    self.later(1.0, Delivery::Gone(id));
                }
            }
            Happens::Restart(number) => {
                let (id, now) = (MachineId(number), self.now);
                if let Some(machine) =
                    self.machines.get_mut(&id).filter(|m| m.entry.standing == Standing::Ready)
                {
                    machine.entry.started = now;
                    machine.tasks.clear();
                    self.break_off(id);
                    self.later(LIST_S, Delivery::Tell(vec![id]));
                }
            }
            Happens::Replace { old, new } => {
                let (old, new) = (MachineId(old), MachineId(new));
                let Some(replaced) =
                    self.machines.get_mut(&old).filter(|m| m.entry.standing == Standing::Ready)
                else {
                    return;
                };
                replaced.entry.standing = Standing::Gone;
                replaced.tasks.clear();
                let address = replaced.address.clone();
                self.machines.insert(new, Machine { address, ..machine(new.0, self.now) });
                self.break_off(old);
                // The list tells of the new one first.
                self.later(LIST_S, Delivery::Tell(vec![new]));
                self.later(2.0 * LIST_S, Delivery::Tell(vec![old]));
            }
            Happens::Add(number) => {
                self.machines.insert(MachineId(number), machine(number, self.now));
                self.later(LIST_S, Delivery::Tell(vec![MachineId(number)]));
            }
            Happens::Whole => self.later(LIST_S, Delivery::TellAll),
        }
    }

    pub fn submit(&mut self, job: u64, class: usize, cores: f64) {
        let task = Task {
            class,
            tenant: None,
            service: ServiceId(job % 3),
            room: Room { cores, memory: cores },
            deadline: self.now + 5.0,
            life_s: None,
            limits: TaskLimits::default(),
        };
        let keyed = matches!(self.planner.core.settings().classes[class].effect, Effect_::Keyed { .. });
        let key = keyed.then(|| format!("key-{job}"));
        let spec = Spec { class: format!("class-{class}"), name: "n".into(), key, ..Spec::default() };
        let ask = Ask { job: RequestId(job), owner: Owner::Link(job), spec: Arc::new(spec), task };
        self.apply(Input::Submit(ask));
    }
}

/// Seconds. By so much the list is late.
const LIST_S: Seconds = 0.3;

fn ended(machine: MachineId, job: RequestId, outcome: Outcome, why: Reason) -> Input {
    Input::Ended { machine, job, before: outcome, after: outcome, why, report: None }
}
