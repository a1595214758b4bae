//! Every decision of a placer: Priority Least Used with a counter of own binds.
//!
//! Interface (types in `interface.rs`): `Placer::new(settings, seed)` and
//! `Placer::handle(now, event, &mut actions)`. Ordinary path: `choose`. Rule guards: `finish` and
//! `close_due` (1), `effect_allows` and `refusable` (2), `Machine::ready` (3), `cold_room` (4),
//! `spread_allows` (5). Same events, same actions: ordered maps, one seeded generator, no clock.

use super::interface::*;
use super::records::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Seconds. Mean pause after a refusal as full: the paper's; halving it changed nothing.
const PAUSE_MEAN_S: Seconds = 0.1;
/// Share. The pause is drawn within this share of its mean, so that placers do not return in step.
const PAUSE_SPREAD: f64 = 0.8;
/// Seconds. When an owner that is refused should come back: by then tasks have ended and views are new.
const COME_BACK_S: Seconds = 1.0;
/// Ticks. Final answers go out this long before the deadline, so that a late batch is still in time.
const ANSWER_TICKS: f64 = 5.0;
/// Seconds. Step of the delays tried when a view's usual delay is learnt from own binds.
const LAG_STEP_S: Seconds = 0.2;
/// Count. Delays tried; with the step, up to twelve seconds, past which a view is no guide.
const LAG_TRIES: usize = 60;
/// Count of steps. Delay of lists and of reports assumed before anything is learnt: 2 s and 0.4 s.
const LAG_FIRST: [usize; 2] = [10, 2];
/// Share. What each view leaves of the older evidence on delays; some thirty views count.
const LAG_KEEP: f64 = 0.97;
/// First bar of a machine that failed and the longest one, so that one that came back is found soon: in
/// seconds and own tasks, the longer of the two. With few own tasks a short bar would end before the next.
const BAR: BarSpans = BarSpans { first: (0.4, 2.0), most: (3.0, 15.0), gap_s: 2.5, spread: 0.25 };
/// Count. Other machines at which an ask must have ended in errors before it counts as at fault itself.
const ERRS_ELSEWHERE: usize = 3;
/// Count. Own offers that may wait at one machine: it looks at them one by one and its line is short.
const OFFERS_OUT: usize = 6;
/// Share. What a machine that refused a task for want of room is taken to have free of what it asks.
const FULL_UNDER: f64 = 0.99;
/// Seconds. Least time-out of an attempt: longer than the short stalls of healthy machines, and, where the
/// answer comes only when the task runs, than a start in a short line.
const TIMEOUT_LEAST_S: [Seconds; 2] = [1.0, 3.0];
/// Multiple. An answer that takes so many times as long as usual is given up.
const TIMEOUT_TIMES: f64 = 8.0;
/// Seconds. Own tasks are counted over about this long, and at first over this at least.
const PACE_S: Seconds = 15.0;
const PACE_LEAST_S: Seconds = 2.0;
/// Share. Weight of a new sample in a learnt usual time.
const USUAL_WEIGHT: f64 = 0.1;
/// Seconds. A machine that takes nothing is forgotten so long after the list last named it; one that was
/// only out of reach comes back before.
const GONE_S: Seconds = 60.0;
/// Seconds. Age past which word of a machine's use no longer raises its load.
const USE_FRESH_S: Seconds = 3.0;
/// Seconds. How often a machine is probed where only probes bring reports.
const PROBE_EVERY_S: Seconds = 1.0;
/// Count. Probes for fresh reports that one task pays for: each has its price.
const PROBES_A_TASK: f64 = 0.3;
/// Seconds. Least time between looks at health, probes and the list; most between looks at the held.
const LOOK_EVERY_S: Seconds = 0.05;
/// Seconds. First wait after a failed call for the list; doubles, and stays inside `ask_every_s`.
const ASK_AGAIN_S: Seconds = 0.5;
/// Share of `ask_every_s` that a wait between calls for the list may take.
const ASK_MOST_SHARE: f64 = 0.25;
/// Windows. Offers to a cold machine are counted over this many `fall_s`: arrivals may bunch.
const COLD_WINDOWS: f64 = 1.25;
/// Share of the always-borne offers that all placers together use.
const COLD_SHARE: f64 = 0.8;
/// Count. Standard deviations between the offers that chance admits and the budget.
const COLD_DEVIATIONS: f64 = 4.0;
/// Starts' work. A start where the program is absent, in starts where it is present.
const ABSENT_START: f64 = 8.0;
/// Load of a machine in doubt: it is tried only where no other takes the task.
const DOUBT_LOAD: f64 = 10.0;
/// Share for each unit of its price. Load of a machine in another zone.
const ZONE_LOAD: f64 = 2.0;
/// Share. Load of one start's work that waits already: it delays the next only a little.
const WAIT_LOAD: f64 = 0.01;
/// Share. Load of one start's work: asked room does not show it.
const START_LOAD: f64 = 0.06;
/// Seconds. Kept free at the end of the time in which a keyed task may be repeated.
const KEYED_MARGIN_S: Seconds = 0.5;
/// Seconds. A machine is taken to keep a program so long after its last task of it.
const KEPT_S: Seconds = 8.0;
/// Seconds. Life of a task assumed until some have ended.
const LIFE_FIRST_S: Seconds = 10.0;
/// Room or seconds below which two figures are the same: sizes and clocks are rounded.
const EPSILON: f64 = 1e-5;

#[derive(Default)]
struct Machine {
    zone: ZoneId,
    cell: CellId,
    kind: Option<usize>,
    key: MachineKey,
    size: Room,
    /// What it accepts in all; a little more, as sizes are rounded.
    limit: Room,
    /// Rule 3: false from the moment a drain or departure is heard of.
    ready: bool,
    /// When the list last named it.
    listed_at: Seconds,
    /// When it last came up, from the list or from its own return; 0 for long ago.
    up_since: Seconds,
    /// Room asked for in the late view, where one came, and the time that it shows.
    view: Option<Room>,
    viewed_at: Seconds,
    /// Late own binds and ends, the sum of all ever, and what views left under each delay.
    changes: VecDeque<Change>,
    own_share: f64,
    left: [Vec<f64>; 2],
    /// The counter: own binds and ends that the view cannot include, as a share and as room.
    counter: f64,
    counted: Room,
    /// What own tasks and open attempts ask for here.
    own: Room,
    /// Silence and losses: the machine or the way to it is bad, until something comes back.
    silence: Bar,
    /// Tasks of a class sent away, in error or handed back untold: it answers but is no use to that
    /// class until a bind holds.
    faults: BTreeMap<usize, Bar>,
    /// Own offers without an answer.
    waiting: usize,
    probing: bool,
    probed_at: Seconds,
    /// Load by use, and how poorly tasks are served.
    used: Told,
    starved: Told,
    offers: VecDeque<Seconds>,
    /// Work of own starts that have not run yet.
    starting: f64,
    kept: BTreeMap<ServiceId, Seconds>,
}

impl Machine {
    fn new(entry: &Entry, settings: &Settings) -> Self {
        let size = entry.kind.and_then(|k| settings.kinds.get(k)).map(|k| k.size).unwrap_or_default();
        let limit = Room {
            cores: size.cores * settings.cores_multiple + EPSILON,
            memory: size.memory * settings.memory_multiple + EPSILON,
        };
        let (kind, key) = (entry.kind, entry.key);
        Machine { kind, key, size, limit, viewed_at: f64::NEG_INFINITY, ..Machine::default() }
    }

    /// The increment of so much room; less than nothing for an end.
    fn increment(&self, room: Room) -> f64 {
        room.share_of(self.size)
    }

    /// Load by what is asked, in the late view; none if it was not heard of.
    fn asked_load(&self) -> Option<f64> {
        self.view.map(|asked| asked.share_of(self.size))
    }

    /// Whether the task fits. No view can be right that shows less than this placer's own tasks ask for.
    fn fits(&self, task: &Task) -> bool {
        let asked = (self.view.unwrap_or_default() + self.counted).at_least(self.own) + task.room;
        asked.within(self.limit)
    }

    fn record(&mut self, at: Seconds, request: RequestId, room: Room) {
        let change = Change { at, request, room };
        self.changes.push_back(change);
        self.own_share += self.increment(room);
        self.count(&change, 1.0);
    }

    fn unrecord(&mut self, request: RequestId) {
        let at = self.changes.iter().rposition(|c| c.request == request);
        if let Some(change) = at.and_then(|at| self.changes.remove(at)) {
            self.own_share -= self.increment(change.room);
            self.count(&change, -1.0);
        }
    }

    fn count(&mut self, change: &Change, sign: f64) {
        if change.at > self.viewed_at {
            self.counter += sign * self.increment(change.room);
            self.counted = self.counted + change.room * sign;
        }
    }

    /// Takes a view of the room asked for; the newest evidence wins.
    fn see(&mut self, now: Seconds, free: Room, lag: &mut Lag, source: usize) {
        let asked = self.size - free;
        if lag.telling {
            self.learn_lag(now, asked.share_of(self.size), lag, source);
        }
        let taken_at = now - lag.usual as f64 * LAG_STEP_S;
        if self.viewed_at <= taken_at {
            (self.view, self.viewed_at) = (Some(asked), taken_at);
        }
        self.forget(now);
    }

    /// A refusal is a view too, and fresh: less was free than the task asks.
    fn see_full(&mut self, now: Seconds, full: Room) {
        let least = self.limit - full * FULL_UNDER;
        (self.view, self.viewed_at) = (Some(self.view.unwrap_or_default().at_least(least)), now);
        self.forget(now);
    }

    fn learn_lag(&mut self, now: Seconds, seen: f64, lag: &mut Lag, source: usize) {
        // Under each delay, the binds since then are not yet in the view.
        let (mut later, mut others) = (self.changes.iter().rev().peekable(), seen - self.own_share);
        let under = |k: usize| {
            while let Some(change) = later.next_if(|c| c.at > now - k as f64 * LAG_STEP_S) {
                others += self.increment(change.room);
            }
            others
        };
        let left: Vec<f64> = (0..LAG_TRIES).map(under).collect();
        lag.learn(&left, &self.left[source], LAG_KEEP);
        self.left[source] = left;
    }

    /// Lets counted binds lapse that the view shows.
    fn forget(&mut self, now: Seconds) {
        let kept_from = self.viewed_at.min(now - LAG_TRIES as f64 * LAG_STEP_S);
        while self.changes.front().is_some_and(|c| c.at < kept_from) {
            self.changes.pop_front();
        }
        let late = self.changes.iter().rev().take_while(|c| c.at > self.viewed_at);
        let sums = |(share, room), c: &Change| (share + self.increment(c.room), room + c.room);
        (self.counter, self.counted) = late.fold((0.0, Room::default()), sums);
    }

    /// Its kind is one of the settings', so that its size is known.
    fn known(&self) -> bool {
        self.size.cores > 0.0
    }

    /// Whether it failed lately in silence, or in this class, and has not shown that it serves again.
    fn doubtful(&self, now: Seconds, class: usize) -> bool {
        self.silence.failures > 0 || self.faults.get(&class).is_some_and(|fault| now < fault.until)
    }

    fn holds(&self, service: ServiceId, now: Seconds) -> bool {
        self.kept.get(&service).is_some_and(|&until| now < until)
    }

    /// Work of starting a task of the service here, in starts where the program is present.
    fn start_work(&self, service: ServiceId, now: Seconds) -> f64 {
        let present = self.holds(service, now);
        1.0 + f64::from(u8::from(!present)) * (ABSENT_START - 1.0)
    }

    fn cold(&self, now: Seconds, settings: &Settings) -> bool {
        self.up_since > 0.0 && now < self.up_since + settings.warm_within_s
    }
}

fn due(now: Seconds, at: Seconds) -> bool {
    now + EPSILON >= at
}

/// The two sources of views.
const FROM_LIST: usize = 0;
const FROM_REPORT: usize = 1;

/// Decides for one placer.
pub struct Placer {
    settings: Settings,
    rng: Pcg64Mcg,
    salt: u64,
    /// When the first event came.
    started_at: Seconds,
    machines: BTreeMap<MachineId, Machine>,
    requests: BTreeMap<RequestId, Request>,
    held: BTreeSet<RequestId>,
    /// Tasks and attempts without an outcome, by service and machine (rule 5).
    out: BTreeMap<(ServiceId, MachineId), u32>,
    tenant_cores: Vec<f64>,
    answer_time: Vec<Mean>,
    life: Mean,
    lags: [Lag; 2],
    /// Own tasks.
    pace: Pace,
    /// Room for the sums of one pick.
    sums: Vec<Sum>,
    list_failures: u32,
    ask_at: Option<Seconds>,
    look_at: Seconds,
    wake_at: Seconds,
    /// Held requests are gone through once a batch.
    tended_at: Seconds,
    /// Probes that may be spent on fresh reports alone.
    probe_credit: f64,
}

impl Placer {
    /// Starts a placer that knows nothing but its settings.
    ///
    /// # Errors
    /// If the settings cannot be served.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let usual = |first| Mean { value: first, weight: USUAL_WEIGHT };
        let tries = TIMEOUT_TIMES * settings.max_attempts as f64;
        Ok(Placer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            salt: seed,
            started_at: f64::NEG_INFINITY,
            machines: BTreeMap::new(),
            requests: BTreeMap::new(),
            held: BTreeSet::new(),
            out: BTreeMap::new(),
            tenant_cores: vec![0.0; settings.tenants.len()],
            // Until answers came, a time-out leaves each attempt its part of the deadline.
            answer_time: settings.classes.iter().map(|c| usual(c.deadline_s / tries)).collect(),
            life: usual(LIFE_FIRST_S),
            lags: LAG_FIRST.map(|first| Lag::new(LAG_TRIES, first)),
            pace: Pace::new(PACE_S, PACE_LEAST_S),
            sums: Vec::new(),
            list_failures: 0,
            ask_at: None,
            look_at: 0.0,
            wake_at: 0.0,
            tended_at: f64::NEG_INFINITY,
            probe_credit: 0.0,
            settings,
        })
    }

    /// Hears one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        if self.started_at == f64::NEG_INFINITY {
            self.started_at = now;
        }
        let may_free_room =
            matches!(event, Event::List { .. } | Event::Ended(_) | Event::Probed { .. } | Event::Timer);
        match event {
            Event::List { kind, entries } => self.list(now, kind, &entries, actions),
            Event::Submitted { request, task } => self.submitted(now, request, task, actions),
            Event::Resident { request, task, machine } => self.resident(now, request, task, machine),
            Event::Withdrawn { request } => self.over(request),
            Event::Bound { request, attempt, took_s } => self.bound(now, request, attempt, took_s),
            Event::Ended(end) => {
                self.ended(now, &end);
                self.next_step(now, &end, actions);
            }
            Event::Noted { request, attempt, note } => self.noted(now, request, attempt, note),
            Event::Probed { machine, outcome, report } => self.probed(now, machine, outcome, report),
            Event::Timer => {}
        }
        if may_free_room && now > self.tended_at {
            self.tended_at = now;
            self.close_due(now, actions);
            self.place_held(now, actions);
        }
        self.look(now, actions);
        self.wake(now, actions);
    }

    /// Asks for a timer only where something waits for one.
    fn wake(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let tend = if self.held.is_empty() { f64::INFINITY } else { now + LOOK_EVERY_S };
        let at = tend.min(self.ask_at.unwrap_or(f64::INFINITY));
        if at.is_finite() && (due(now, self.wake_at) || at + EPSILON < self.wake_at) {
            self.wake_at = at;
            actions.push(Action::SetTimer { at });
        }
    }

    fn list(&mut self, now: Seconds, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let most = self.settings.ask_every_s * ASK_MOST_SHARE;
            let wait = ASK_AGAIN_S * f64::from(2u32.saturating_pow(self.list_failures));
            self.list_failures = self.list_failures.saturating_add(1);
            self.ask_at = Some(now + wait.min(most) * self.rng.gen_range(0.5..1.0));
            if self.list_failures == 1 {
                actions.push(Action::Log("list failed or subscription broke; the old list stands".into()));
            }
            return;
        }
        if kind == ListKind::Persisted && self.settings.ask_for_list {
            actions.push(Action::Subscribe);
        } else {
            self.list_failures = 0;
            self.ask_at = None;
        }
        // Own binds tell a view's delay where each machine gets one within the delays tried.
        let binds = self.pace.rate(now) * LAG_TRIES as f64 * LAG_STEP_S;
        let telling = binds >= self.machines.len() as f64;
        self.lags.iter_mut().for_each(|lag| lag.telling = telling);
        let named: BTreeSet<MachineId> = entries.iter().map(|e| e.machine).collect();
        for entry in entries {
            self.enter(now, entry);
        }
        // What the list passes over did not change: its view is that old at most.
        let unchanged_at = now - 2.0 * self.list_delay();
        for (_, machine) in self.machines.iter_mut().filter(|(id, _)| !named.contains(id)) {
            if kind != ListKind::Changes {
                machine.ready = false;
            } else {
                machine.viewed_at = machine.viewed_at.max(unchanged_at);
            }
            machine.forget(now);
        }
        // On a long day machines and services come and go: of those that went for good nothing is kept.
        self.machines.retain(|_, m| m.ready || now < m.listed_at + GONE_S);
        self.machines.values_mut().for_each(|m| m.kept.retain(|_, until| now < *until));
    }

    fn list_delay(&self) -> Seconds {
        self.lags[FROM_LIST].usual as f64 * LAG_STEP_S
    }

    fn enter(&mut self, now: Seconds, entry: &Entry) {
        let settings = &self.settings;
        let machine = self.machines.entry(entry.machine).or_insert_with(|| Machine::new(entry, settings));
        machine.ready = entry.standing == Standing::Ready;
        machine.listed_at = now;
        (machine.zone, machine.cell) = (entry.zone, entry.cell);
        if entry.started > machine.up_since {
            machine.up_since = entry.started;
            machine.kept.clear();
        }
        if settings.list_shows_room && machine.known() {
            machine.see(now, entry.free, &mut self.lags[FROM_LIST], FROM_LIST);
        }
    }

    fn submitted(&mut self, now: Seconds, id: RequestId, task: Task, actions: &mut Vec<Action>) {
        self.requests.insert(id, Request::new(task, State::Held, now));
        self.pace.count(now);
        if due(now, self.last_call(&task)) {
            return self.finish(id, actions);
        }
        self.held.insert(id);
        if self.settings.probes {
            self.probe_credit = (self.probe_credit + PROBES_A_TASK).min(self.machines.len() as f64);
        }
        actions.push(Action::SetTimer { at: self.last_call(&task) });
        self.place(now, id, actions);
    }

    /// Rule 1: the latest time at which a request without an attempt out is answered.
    fn last_call(&self, task: &Task) -> Seconds {
        task.deadline - ANSWER_TICKS * self.settings.tick_s
    }

    fn resident(&mut self, now: Seconds, id: RequestId, task: Task, machine: MachineId) {
        let mut request = Request::new(task, State::Placed, now);
        request.attempts.push(Attempt { bound: true, ..Attempt::new(machine, now, 0.0) });
        self.requests.insert(id, request);
        *self.out.entry((task.service, machine)).or_insert(0) += 1;
        self.use_share(&task, 1.0);
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.own = machine.own + task.room;
            machine.kept.insert(task.service, f64::INFINITY);
        }
    }

    fn use_share(&mut self, task: &Task, sign: f64) {
        if let Some(cores) = task.tenant.and_then(|t| self.tenant_cores.get_mut(t)) {
            *cores += sign * task.room.cores;
        }
    }

    fn over(&mut self, id: RequestId) {
        self.held.remove(&id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = State::Over;
            if request.attempts.iter().all(|a| !a.out) {
                self.requests.remove(&id);
            }
        }
    }

    fn bound(&mut self, now: Seconds, id: RequestId, attempt: AttemptNo, took_s: Seconds) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(tried) = request.attempts.get_mut(attempt) else { return };
        if tried.bound || !tried.out {
            return;
        }
        tried.bound = true;
        request.state = State::Placed;
        let (task, machine) = (request.task, tried.machine);
        self.answer_time[task.class].learn(took_s);
        self.use_share(&task, 1.0);
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.silence = Bar::default();
            machine.faults.remove(&task.class);
            machine.waiting -= 1;
            machine.kept.insert(task.service, f64::INFINITY);
        }
        if self.settings.confirms_running {
            self.noted(now, id, attempt, Note::Runs);
        }
    }

    fn noted(&mut self, now: Seconds, id: RequestId, attempt: AttemptNo, note: Note) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(tried) = request.attempts.get_mut(attempt) else { return };
        let Some(machine) = self.machines.get_mut(&tried.machine) else { return };
        match note {
            Note::Runs => machine.starting -= std::mem::take(&mut tried.start),
            Note::Served(share) => machine.starved = Told { value: 1.0 - share, at: now },
            Note::MachineMemory(share) => machine.used = Told { value: share, at: now },
            _ => {}
        }
    }

    fn report(&mut self, now: Seconds, id: MachineId, report: Option<Report>) {
        let (Some(machine), Some(report)) = (self.machines.get_mut(&id), report) else { return };
        if let Some(busy) = report.busy {
            machine.used = Told { value: busy, at: now };
        }
        if let Some(free) = report.free.filter(|_| !self.settings.reports_used && machine.known()) {
            machine.see(now, free, &mut self.lags[FROM_REPORT], FROM_REPORT);
        }
    }

    fn probed(&mut self, now: Seconds, id: MachineId, outcome: Outcome, report: Option<Report>) {
        let gap = (1.0 / self.pace.rate(now), mixed((self.salt, id)));
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.probing = false;
        if outcome == Outcome::Ok {
            machine.silence = Bar::default();
        } else {
            machine.silence.fail(now, gap, BAR);
        }
        self.report(now, id, report);
    }

    /// Books the end of an attempt.
    fn ended(&mut self, now: Seconds, end: &End) {
        let gap = (1.0 / self.pace.rate(now), mixed((self.salt, end.request)));
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let Some(tried) = request.attempts.get_mut(end.attempt).filter(|a| a.out) else { return };
        tried.out = false;
        tried.may_have_run = !end.outcome.never_ran();
        tried.erred = end.outcome == Outcome::Error;
        tried.broke = end.reason == Reason::Broken;
        let erred = tried.erred;
        let (task, at, bound) = (request.task, tried.machine, tried.bound);
        let (ran_s, start) = (now - tried.sent, tried.start);
        let elsewhere: Vec<MachineId> = request
            .attempts
            .iter()
            .filter(|a| erred && a.erred && a.machine != at)
            .map(|a| a.machine)
            .collect();
        let count = self.out.entry((task.service, at)).or_insert(1);
        *count = count.saturating_sub(1);
        let last = *count == 0;
        if last {
            self.out.remove(&(task.service, at));
        }
        if bound {
            self.use_share(&task, -1.0);
            if end.outcome == Outcome::Ok {
                self.life.learn(ran_s);
            }
        }
        let Some(machine) = self.machines.get_mut(&at) else { return };
        machine.starting -= start;
        machine.own = machine.own - task.room;
        if last && machine.kept.contains_key(&task.service) {
            machine.kept.insert(task.service, now + KEPT_S);
        }
        if bound {
            machine.record(now, end.request, task.room * -1.0);
        } else {
            machine.waiting -= 1;
            if end.outcome.never_ran() {
                machine.unrecord(end.request);
            }
        }
        // Guards machines against asks that none can serve: what ends in errors at one machine after another
        // is at fault itself, and bars none of them.
        if elsewhere.len() < ERRS_ELSEWHERE {
            judge(machine, now, gap, end, &task, bound);
        } else {
            for id in elsewhere {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.faults.retain(|&class, fault| class != task.class || fault.failures > 1);
                }
            }
        }
        self.report(now, at, end.report);
    }

    /// After an attempt ended: the request is over, is answered, or is placed again.
    fn next_step(&mut self, now: Seconds, end: &End, actions: &mut Vec<Action>) {
        let id = end.request;
        let Some(request) = self.requests.get(&id) else { return };
        let out = request.attempts.iter().any(|a| a.out);
        let ended = matches!(request.state, State::Placed | State::Over) && !out;
        if end.finished || ended {
            return self.over(id);
        }
        if out || request.state != State::Trying {
            return;
        }
        let limits = request.task.limits;
        let most = self.settings.max_attempts.min(limits.attempts);
        let spent = end.last || request.attempts.len() >= most;
        if spent || due(now, self.last_call(&request.task)) || self.hopeless(now, request) {
            return self.finish(id, actions);
        }
        let (mean, spread) = limits.pause_s.unwrap_or((PAUSE_MEAN_S, PAUSE_SPREAD));
        let pause = mean * (1.0 + self.rng.gen_range(-spread..=spread));
        let pause = if end.outcome == Outcome::Full { pause } else { 0.0 };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = State::Held;
        request.not_before = now + pause;
        self.held.insert(id);
        if pause > 0.0 {
            actions.push(Action::SetTimer { at: now + pause });
        } else {
            self.place(now, id, actions);
        }
    }

    /// Rule 2: whether a refusal, which promises that a retry is harmless, is true.
    fn refusable(&self, request: &Request) -> bool {
        let effect = self.settings.classes[request.task.class].effect;
        matches!(effect, Effect::Repeatable | Effect::Keyed { group: Place::All, .. })
            || request.attempts.iter().all(|a| !a.may_have_run)
    }

    /// Rule 1: the one final answer.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let refusal = Action::Refuse { request: id, retry_in_s: COME_BACK_S };
        actions.push(if self.refusable(request) { refusal } else { Action::Fail { request: id } });
        self.over(id);
    }

    /// Rule 1: answers held requests whose time is up.
    fn close_due(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let due = |id: &RequestId| self.requests.get(id).is_some_and(|r| due(now, self.last_call(&r.task)));
        let ids: Vec<RequestId> = self.held.iter().copied().filter(due).collect();
        for id in ids {
            self.finish(id, actions);
        }
    }

    /// Rule 2: whether the request may go to this machine after its earlier attempts.
    fn effect_allows(&self, now: Seconds, request: &Request, id: MachineId) -> bool {
        let mut risky = request.attempts.iter().filter(|a| a.may_have_run);
        if request.attempts.iter().any(|a| a.broke && a.machine == id) {
            return false;
        }
        match self.settings.classes[request.task.class].effect {
            _ if !request.task.limits.copies => risky.next().is_none(),
            Effect::Repeatable => true,
            Effect::Once => risky.next().is_none(),
            Effect::Keyed { group, window_s } => {
                let window_s = window_s.min(request.task.limits.window_s);
                risky.all(|a| now < a.sent + window_s - KEYED_MARGIN_S && self.together(group, a.machine, id))
            }
        }
    }

    fn together(&self, place: Place, a: MachineId, b: MachineId) -> bool {
        let (Some(first), Some(second)) = (self.machines.get(&a), self.machines.get(&b)) else {
            return a == b || place == Place::All;
        };
        match place {
            Place::All => true,
            Place::Machine => a == b,
            Place::Cell => first.cell == second.cell,
            Place::Zone => first.zone == second.zone,
        }
    }

    /// No machine may take the request any more, whatever its room.
    fn hopeless(&self, now: Seconds, request: &Request) -> bool {
        let open = |(&id, m): (&MachineId, &Machine)| {
            m.ready && !m.doubtful(now, request.task.class) && self.effect_allows(now, request, id)
        };
        request.attempts.iter().any(|a| a.may_have_run) && !self.machines.iter().any(open)
    }

    /// Rule 5: tasks of the service that this placer has in the machine's place leave room for one.
    fn spread_allows(&self, task: &Task, id: MachineId) -> bool {
        let Some((place, most)) = self.settings.classes[task.class].spread else { return true };
        let from = (task.service, MachineId(0));
        let to = (task.service, MachineId(u32::MAX));
        let there = self.out.range(from..=to).filter(|((_, other), _)| self.together(place, *other, id));
        there.map(|(_, count)| count).sum::<u32>() < most
    }

    /// Rule 4: this placer's part of the offers that a cold machine always bears is not used up. A placer
    /// that has just come up forgot its offers: they count as sent.
    fn cold_room(&self, now: Seconds, machine: &Machine) -> bool {
        if !machine.cold(now, &self.settings) {
            return true;
        }
        let window = self.settings.fall_s * COLD_WINDOWS;
        let sent = machine.offers.iter().filter(|&&at| at > now - window).count() as f64;
        let budget = self.settings.cold_bears * COLD_SHARE;
        let part = budget / f64::from(self.settings.placers);
        let room = if part >= 1.0 {
            sent + 1.0 <= part
        } else {
            sent == 0.0 && self.admitted(now / window, machine.key, budget)
        };
        room && now >= self.started_at + window
    }

    /// What is left at each machine that takes work: room that nobody is known to have asked for, and the
    /// offers that its line, or the part of a cold one, still bears.
    pub fn spaces(&self, now: Seconds) -> Vec<Space> {
        let space = |(&machine, m): (&MachineId, &Machine)| {
            let left = m.limit - (m.view.unwrap_or_default() + m.counted).at_least(m.own);
            let part = self.settings.cold_bears * COLD_SHARE / f64::from(self.settings.placers);
            let offers = if m.cold(now, &self.settings) { part as usize } else { usize::MAX };
            let (offers, size, limit, kind) =
                (offers.saturating_sub(m.offers.len()), m.size, m.limit, m.kind);
            Space { machine, left, size, limit, kind, offers }
        };
        let open = |(_, m): &(&MachineId, &Machine)| m.ready && m.known() && m.silence.failures == 0;
        self.machines.iter().filter(open).map(space).collect()
    }

    /// Where parts are below one offer, chance admits so many placers in a window that the sum stays under
    /// the budget by some standard deviations, also where two windows of theirs meet in one of the rule's.
    fn admitted(&self, windows: f64, key: MachineKey, budget: f64) -> bool {
        let half = COLD_DEVIATIONS / 2.0;
        let usual = ((budget / 2.0 + half * half).sqrt() - half).powi(2);
        mixed((self.salt, key, windows as u64)) < usual / f64::from(self.settings.placers)
    }

    fn may_take(&self, now: Seconds, request: &Request, id: MachineId, machine: &Machine) -> bool {
        let task = &request.task;
        let kind = self.settings.classes[task.class].kind;
        machine.ready
            && machine.known()
            && machine.waiting < OFFERS_OUT
            && (kind.is_none() || kind == machine.kind)
            && machine.fits(task)
            && self.cold_room(now, machine)
            && self.effect_allows(now, request, id)
            && self.spread_allows(task, id)
    }

    /// The ordinary path: lowest load + increment + counter, in the band of sums that count as lowest. In
    /// the band every placer has the same order for a service, so that its tasks meet where its program is.
    fn choose(&mut self, now: Seconds, request: RequestId) -> Option<MachineId> {
        let mut sums = std::mem::take(&mut self.sums);
        sums.clear();
        let request = self.requests.get(&request)?;
        let known = self.machines.values().filter_map(Machine::asked_load);
        let (loads, count) = known.fold((0.0, 0u32), |(sum, count), load| (sum + load, count + 1));
        let average = loads / f64::from(count.max(1));
        for (&id, machine) in &self.machines {
            if self.may_take(now, request, id, machine) {
                let mut sum = self.sum(now, &request.task, id, machine, average);
                let erred = request.attempts.iter().any(|a| a.erred && a.machine == id);
                sum.sum += DOUBT_LOAD * f64::from(u8::from(erred));
                sums.push(sum);
            }
        }
        let band = self.band(now, &mut sums);
        let chosen = sums.iter().take_while(|s| s.sum <= band).min_by(|a, b| a.order.total_cmp(&b.order));
        let chosen = chosen.map(|s| s.machine);
        self.sums = sums;
        chosen
    }

    fn sum(&self, now: Seconds, task: &Task, id: MachineId, machine: &Machine, average: f64) -> Sum {
        // Asked is not used: crowded cores, tight memory and poor service raise a machine's load.
        let asked = machine.asked_load().unwrap_or(average);
        let load =
            asked.max(machine.used.within(USE_FRESH_S, now)) + machine.starved.within(USE_FRESH_S, now);
        let increment = machine.increment(task.room);
        let starts = START_LOAD * machine.start_work(task.service, now) + WAIT_LOAD * machine.starting;
        let far = self.settings.zone.is_some_and(|zone| zone != machine.zone);
        let zone = ZONE_LOAD * self.settings.cross_zone_price * f64::from(u8::from(far));
        let doubt = DOUBT_LOAD * f64::from(u8::from(machine.doubtful(now, task.class)));
        let sum = load + starts + zone + doubt + increment + machine.counter;
        let order = mixed((task.service, machine.key));
        Sum { machine: id, sum, increment, order }
    }

    /// Sorts the sums and tells up to which they count as lowest: within one increment, and as high as the
    /// binds of the other placers may have raised the lowest since the view, like water poured over them,
    /// less one increment, which the first rule covers. With one placer the water is nought.
    fn band(&self, now: Seconds, sums: &mut [Sum]) -> f64 {
        sums.sort_by(|a, b| a.sum.total_cmp(&b.sum));
        let Some(lowest) = sums.first() else { return 0.0 };
        let narrow = lowest.sum + lowest.increment + EPSILON;
        let others = f64::from(self.settings.placers - 1) * self.pace.rate(now);
        let (mut water, mut width) = (others * self.list_delay(), 0.0);
        let mut level = lowest.sum;
        for s in sums.iter() {
            if water <= (s.sum - level) * width {
                break;
            }
            water -= (s.sum - level) * width;
            (level, width) = (s.sum, width + 1.0 / s.increment);
        }
        narrow.max(level + water / width - lowest.increment)
    }

    /// Worth of a task for each second and share of the fleet that it takes.
    fn worth(&self, now: Seconds, request: &Request) -> f64 {
        let (task, class) = (&request.task, &self.settings.classes[request.task.class]);
        let life = task.life_s.unwrap_or(self.life.value).max(1.0);
        let late = now > request.asked_at + class.on_time_s;
        let start = class.prompt_start_s * if late { class.late_share } else { 1.0 };
        let quota = task.tenant.and_then(|t| self.settings.tenants.get(t)).map(|t| t.quota_cores);
        let used = task.tenant.and_then(|t| self.tenant_cores.get(t)).copied().unwrap_or(0.0);
        let over = quota.map_or(0.0, |quota| self.over_quota(used, task.room.cores, quota));
        let share = 1.0 - over * (1.0 - self.settings.over_share_worth);
        class.importance * share * (life + start) / life
    }

    /// How likely a tenant is over its quota, judged by what it uses here and that figure's chance error.
    fn over_quota(&self, used: f64, task_cores: f64, quota: f64) -> f64 {
        let placers = f64::from(self.settings.all_placers);
        let error = placers * (used * task_cores).sqrt();
        (0.5 + (placers * used - quota) / (2.0 * error.max(EPSILON))).clamp(0.0, 1.0)
    }

    /// Places what is held, the worthiest first.
    fn place_held(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let mut order: Vec<(f64, RequestId)> = Vec::new();
        for &id in &self.held {
            if let Some(request) = self.requests.get(&id).filter(|r| due(now, r.not_before)) {
                order.push((self.worth(now, request), id));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in order {
            self.place(now, id, actions);
        }
    }

    /// Binds a request, or ends it where nothing may take it any more.
    fn place(&mut self, now: Seconds, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(machine) = self.choose(now, id) {
            self.bind(now, id, machine, actions);
        } else if self.requests.get(&id).is_some_and(|r| self.hopeless(now, r)) {
            self.finish(id, actions);
        }
    }

    fn time_out(&self, class: usize) -> Seconds {
        let least = TIMEOUT_LEAST_S[usize::from(self.settings.confirms_running)];
        (self.answer_time[class].value * TIMEOUT_TIMES).max(least)
    }

    fn bind(&mut self, now: Seconds, id: RequestId, at: MachineId, actions: &mut Vec<Action>) {
        let Some(task) = self.requests.get(&id).map(|r| r.task) else { return };
        let patience = self.time_out(task.class).min(task.limits.attempt_s);
        let give_up_at = self.last_call(&task).min(now + patience);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(machine) = self.machines.get_mut(&at) else { return };
        let gap = (1.0 / self.pace.rate(now), mixed((self.salt, id)));
        let start = machine.start_work(task.service, now);
        request.attempts.push(Attempt::new(at, now, start));
        request.state = State::Trying;
        self.held.remove(&id);
        *self.out.entry((task.service, at)).or_insert(0) += 1;
        machine.record(now, id, task.room);
        machine.own = machine.own + task.room;
        machine.starting += start;
        machine.waiting += 1;
        machine.kept.insert(task.service, f64::INFINITY);
        machine.offers.push_back(now);
        let from = now - self.settings.fall_s * COLD_WINDOWS;
        machine.offers.retain(|&sent| sent > from);
        // One task tries a doubtful machine again.
        if machine.silence.failures > 0 {
            machine.silence.until = give_up_at;
        }
        if let Some(fault) = machine.faults.get_mut(&task.class) {
            fault.fail(now, gap, BAR);
        }
        actions.push(Action::Bind { request: id, machine: at, give_up_at });
    }

    /// Now and then: probes, calls for the list, and a judgement on the fleet as a whole.
    fn look(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if !due(now, self.look_at) {
            return;
        }
        self.look_at = now + LOOK_EVERY_S;
        if self.ask_at.is_some_and(|at| due(now, at)) {
            self.ask_at = None;
            actions.push(Action::Subscribe);
        }
        for (&id, machine) in
            self.machines.iter_mut().filter(|(_, m)| m.ready && !m.probing && self.settings.probes)
        {
            let try_again = machine.silence.failures > 0 && now >= machine.silence.until;
            let stale = self.settings.reports == ReportSource::Probes
                && machine.silence.failures == 0
                && now >= machine.probed_at + PROBE_EVERY_S;
            if try_again || (stale && self.probe_credit >= 1.0) {
                self.probe_credit -= f64::from(u8::from(stale));
                machine.probing = true;
                machine.probed_at = now;
                actions.push(Action::Probe { machine: id });
            }
        }
    }
}

/// What an ended attempt says of its machine's health and room.
fn judge(machine: &mut Machine, now: Seconds, gap: (Seconds, f64), end: &End, task: &Task, bound: bool) {
    match (end.outcome, end.reason) {
        // Guards against machines that fail one class, answer probes but no offers (below), cannot start,
        // have a full line, or drain untold. May pass over one for a short bar after one odd refusal.
        (Outcome::Full, Reason::LineFull | Reason::NotHere | Reason::Unknown)
        | (Outcome::Lost, Reason::SentAway)
        | (Outcome::Error, _) => machine.faults.entry(task.class).or_default().fail(now, gap, BAR),
        (Outcome::Full, Reason::NoCores) => {
            machine.see_full(now, Room { memory: f64::INFINITY, ..task.room });
        }
        (Outcome::Full, Reason::NoMemory) => {
            machine.see_full(now, Room { cores: f64::INFINITY, ..task.room });
        }
        (Outcome::Lost, Reason::Evicted) => machine.used = Told { value: 1.0, at: now },
        (Outcome::Lost, Reason::PushedOut) => {}
        // Guards against shunning machines, one after the other, for what befell their connections. Whether
        // one is there still shows in the next dial.
        (Outcome::Lost, Reason::Broken) => {}
        (Outcome::Lost, _) if bound => {
            machine.up_since = machine.up_since.max(now);
            machine.kept.clear();
            machine.silence.fail(now, gap, BAR);
        }
        (Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Lost, _) => {
            machine.silence.fail(now, gap, BAR);
            machine.faults.entry(task.class).or_default().fail(now, gap, BAR);
        }
        _ => {}
    }
}
