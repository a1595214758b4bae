//! All decisions of a placer, by Priority Least Used: a task goes to the machine with the lowest sum of load,
//! the task's increment, and a counter of own binds that the load does not show yet (`choose`).
//!
//! Interface (see `interface.rs`): `Placer::new(settings, seed)`, `Placer::handle(now, event, &mut actions)`.
//! Rules of the platform: (1) one final answer, in time: `finish`, `answer_due`; (2) safe repeats, and true
//! refusals: `repeat_allows`, `may_refuse`; (3) nothing new to a draining machine: `Machine::ready`; (4) few
//! offers to a cold machine: `cold_allows`; (5) services spread out: `spread_allows`. The same events give
//! the same actions: maps are ordered, the one random generator is seeded, and no clock is read.

use super::interface::*;
use super::records::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Mean pause before the next attempt after a refusal as full: the value of the paper on this algorithm.
const PAUSE_MEAN_S: Seconds = 0.1;
/// Share of the mean by which a pause is randomly shorter or longer, so that placers do not retry in step.
const PAUSE_SPREAD: f64 = 0.8;
/// When a refused owner should retry: by then tasks have ended and views are new.
const REFUSAL_RETRY_S: Seconds = 1.0;
/// Final answers go out this many ticks before the deadline, so that a late batch is still in time.
const ANSWER_MARGIN_TICKS: f64 = 5.0;
/// Step between the delays that are tried when the delay of a source of views is learnt from own binds.
const DELAY_STEP_S: Seconds = 0.2;
/// Number of delays tried: up to twelve seconds with the step above; an older view is no guide.
const DELAY_STEPS: usize = 60;
/// Delays of lists and of reports assumed before any is learnt, in steps: 2 s and 0.4 s.
const INITIAL_DELAY_STEPS: [usize; 2] = [10, 2];
/// Share of the older evidence on delays that remains after each view: about thirty views count.
const DELAY_DECAY: f64 = 0.97;
/// First and longest back-off from a failed machine; short, so that a recovered one is found soon. Each is
/// the longer of seconds and own task intervals: at a low rate, seconds alone would end before the next task.
const BACKOFF: BackoffSpans = BackoffSpans { first: (0.4, 2.0), max: (3.0, 15.0), gap_s: 2.5, spread: 0.25 };
/// Number of other machines at which a request must have ended in errors before it counts as faulty itself.
const ERRORS_ELSEWHERE: usize = 3;
/// Own offers that may wait at one machine: it handles them one by one, and its queue is short.
const MAX_UNANSWERED_OFFERS: usize = 6;
/// Share of the requested room that is assumed free at a machine that refused a task for lack of room.
const REFUSED_ROOM_SHARE: f64 = 0.99;
/// Shortest time-out of an attempt where acceptance confirms a bind (longer than short stalls of healthy
/// machines), and where only the running task does (longer than a start behind a short queue).
const MIN_TIMEOUT_S: [Seconds; 2] = [1.0, 3.0];
/// An attempt times out after this multiple of the average answer time.
const TIMEOUT_MULTIPLE: f64 = 8.0;
/// Approximate time over which the rate of own tasks is measured, and the least time assumed at the start.
const RATE_SPAN_S: Seconds = 15.0;
const RATE_MIN_SPAN_S: Seconds = 2.0;
/// Weight (share) of a new sample in a moving average.
const AVERAGE_WEIGHT: f64 = 0.1;
/// A machine that takes no tasks is forgotten this long after a list last named it: an outage is shorter.
const FORGET_MACHINE_S: Seconds = 60.0;
/// Age at which a reported use no longer raises a machine's load.
const USE_MAX_AGE_S: Seconds = 3.0;
/// Interval between probes of a machine where only probes bring load reports.
const PROBE_INTERVAL_S: Seconds = 1.0;
/// Number of probes for fresh load reports that each submitted task allows, as probes have a price.
const PROBES_PER_TASK: f64 = 0.3;
/// Shortest interval between checks for due probes and list calls; longest between passes over the queue.
const CHECK_INTERVAL_S: Seconds = 0.05;
/// First wait after a failed list call; doubles with each failure, up to this share of `ask_every_s`.
const LIST_RETRY_FIRST_S: Seconds = 0.5;
const LIST_RETRY_MAX_SHARE: f64 = 0.25;
/// Multiple of `cold_window_s` over which offers to a cold machine are counted, as they may arrive in bursts.
const COLD_WINDOWS: f64 = 1.25;
/// Share of a cold machine's offer limit that all placers together use.
const COLD_BUDGET_SHARE: f64 = 0.8;
/// Number of standard deviations between the offers that random admission lets through and the budget.
const COLD_DEVIATIONS: f64 = 4.0;
/// Work of a start where the program is absent, in units of a start where it is present.
const ABSENT_START_WORK: f64 = 8.0;
/// Load added to a suspect machine, so that it is chosen only where no other machine takes the task.
const SUSPECT_LOAD: f64 = 10.0;
/// Load added to a machine in another zone, as a share per unit of the cross-zone price.
const ZONE_LOAD: f64 = 2.0;
/// Load (share) of one unit of start work that waits already: it delays the next start only a little.
const BACKLOG_LOAD: f64 = 0.01;
/// Load (share) of one unit of start work, which the requested room does not show.
const START_LOAD: f64 = 0.06;
/// Safety margin at the end of the window in which a keyed task may be repeated.
const KEYED_MARGIN_S: Seconds = 0.5;
/// A machine is assumed to keep a program this long after the last task that uses it.
const PROGRAM_KEPT_S: Seconds = 8.0;
/// Run time of a task that is assumed until some tasks have ended.
const INITIAL_RUNTIME_S: Seconds = 10.0;
/// Difference in room or seconds below which two values count as equal: sizes and clocks are rounded.
const EPSILON: f64 = 1e-5;

#[derive(Default)]
struct Machine {
    zone: ZoneId,
    cell: CellId,
    kind: Option<usize>,
    key: MachineKey,
    size: Room,
    /// Room for all accepted tasks, raised by `EPSILON`, as sizes are rounded.
    limit: Room,
    /// Rule 3: false as soon as the list reports a drain or removal.
    ready: bool,
    listed_at: Seconds,
    /// When it last started: by the list, or assumed when it lost a bound task; 0 for long ago.
    up_since: Seconds,
    /// Room that accepted tasks ask for in the latest view, if any, and the time at which that was true.
    view: Option<Room>,
    viewed_at: Seconds,
    /// Recent own binds and ends, and the sum of all ever, as a share of the machine.
    own_changes: VecDeque<Change>,
    own_total: f64,
    /// By source of views and delay tried: load that the last view leaves without own tasks.
    residuals: [Vec<f64>; 2],
    /// Own binds and ends that the view cannot include yet, as a share and as room.
    counter: f64,
    counter_room: Room,
    /// Room that own tasks and open attempts ask for here.
    own_room: Room,
    /// Time-outs and losses: the machine or the network path to it is bad, until it answers again.
    outage: Backoff,
    /// By class: it answers, but failed, refused or returned tasks of the class, and has accepted none since.
    backoffs: BTreeMap<usize, Backoff>,
    unanswered_offers: usize,
    probe_pending: bool,
    probed_at: Seconds,
    /// Share of cores or memory in use, and share of full service that tasks do not get.
    used_share: TimedValue,
    starved_share: TimedValue,
    recent_offers: VecDeque<Seconds>,
    /// Work of own starts whose tasks do not run yet.
    backlog: f64,
    kept_until: BTreeMap<ServiceId, Seconds>,
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

    /// Share of the machine that the room takes; negative for the end of a task.
    fn increment(&self, room: Room) -> f64 {
        room.share_of(self.size)
    }

    fn requested_load(&self) -> Option<f64> {
        self.view.map(|requested| requested.share_of(self.size))
    }

    /// Whether the task fits. A view that shows less than own tasks ask for is wrong, and is raised to that.
    fn fits(&self, task: &Task) -> bool {
        let requested =
            (self.view.unwrap_or_default() + self.counter_room).at_least(self.own_room) + task.room;
        requested.within(self.limit)
    }

    fn record_change(&mut self, at: Seconds, request: RequestId, room: Room) {
        let change = Change { at, request, room };
        self.own_changes.push_back(change);
        self.own_total += self.increment(room);
        self.add_to_counter(&change, 1.0);
    }

    fn remove_change(&mut self, request: RequestId) {
        let at = self.own_changes.iter().rposition(|c| c.request == request);
        if let Some(change) = at.and_then(|at| self.own_changes.remove(at)) {
            self.own_total -= self.increment(change.room);
            self.add_to_counter(&change, -1.0);
        }
    }

    fn add_to_counter(&mut self, change: &Change, sign: f64) {
        if change.at > self.viewed_at {
            self.counter += sign * self.increment(change.room);
            self.counter_room = self.counter_room + change.room * sign;
        }
    }

    /// Takes in a view of the free room, dated by its source's estimated delay, unless a newer one is held.
    fn apply_view(&mut self, now: Seconds, free: Room, delay: &mut DelayEstimator, source: usize) {
        let requested = self.size - free;
        if delay.learning {
            self.learn_delay(now, requested.share_of(self.size), delay, source);
        }
        let taken_at = now - delay.steps as f64 * DELAY_STEP_S;
        if self.viewed_at <= taken_at {
            (self.view, self.viewed_at) = (Some(requested), taken_at);
        }
        self.refresh_counter(now);
    }

    /// Takes in a refusal for lack of room, which is a fresh view: less is free than the task asks for.
    fn apply_refusal(&mut self, now: Seconds, refused: Room) {
        let least = self.limit - refused * REFUSED_ROOM_SHARE;
        (self.view, self.viewed_at) = (Some(self.view.unwrap_or_default().at_least(least)), now);
        self.refresh_counter(now);
    }

    fn learn_delay(&mut self, now: Seconds, load: f64, delay: &mut DelayEstimator, source: usize) {
        // A view that is `steps` old does not include later own changes: these are not subtracted from it.
        let (mut later, mut others) = (self.own_changes.iter().rev().peekable(), load - self.own_total);
        let residual = |steps: usize| {
            while let Some(change) = later.next_if(|c| c.at > now - steps as f64 * DELAY_STEP_S) {
                others += self.increment(change.room);
            }
            others
        };
        let residuals: Vec<f64> = (0..DELAY_STEPS).map(residual).collect();
        delay.learn(&residuals, &self.residuals[source], DELAY_DECAY);
        self.residuals[source] = residuals;
    }

    /// Drops old changes, and recounts those that the view cannot include yet.
    fn refresh_counter(&mut self, now: Seconds) {
        let kept_from = self.viewed_at.min(now - DELAY_STEPS as f64 * DELAY_STEP_S);
        while self.own_changes.front().is_some_and(|c| c.at < kept_from) {
            self.own_changes.pop_front();
        }
        let late = self.own_changes.iter().rev().take_while(|c| c.at > self.viewed_at);
        let sums = |(share, room), c: &Change| (share + self.increment(c.room), room + c.room);
        (self.counter, self.counter_room) = late.fold((0.0, Room::default()), sums);
    }

    /// Whether its size is known, that is, whether the settings list its kind.
    fn has_size(&self) -> bool {
        self.size.cores > 0.0
    }

    /// Whether it recently stopped answering, or failed this class, and has not proved since that it works.
    fn is_suspect(&self, now: Seconds, class: usize) -> bool {
        self.outage.failures > 0 || self.backoffs.get(&class).is_some_and(|b| now < b.until)
    }

    fn has_program(&self, service: ServiceId, now: Seconds) -> bool {
        self.kept_until.get(&service).is_some_and(|&until| now < until)
    }

    /// Work of starting a task of the service here, in units of a start where the program is present.
    fn start_work(&self, service: ServiceId, now: Seconds) -> f64 {
        let present = self.has_program(service, now);
        1.0 + f64::from(u8::from(!present)) * (ABSENT_START_WORK - 1.0)
    }

    fn is_cold(&self, now: Seconds, settings: &Settings) -> bool {
        self.up_since > 0.0 && now < self.up_since + settings.warm_within_s
    }
}

fn due(now: Seconds, at: Seconds) -> bool {
    now + EPSILON >= at
}

/// The sources of views: indices into `view_delays` and `residuals`.
const FROM_LIST: usize = 0;
const FROM_REPORT: usize = 1;

/// The state and decisions of one placer.
pub struct Placer {
    settings: Settings,
    rng: Pcg64Mcg,
    /// Makes draws that are taken from hashes differ by placer.
    salt: u64,
    /// Time of the first event.
    started_at: Seconds,
    machines: BTreeMap<MachineId, Machine>,
    requests: BTreeMap<RequestId, Request>,
    queued: BTreeSet<RequestId>,
    /// Number of open attempts and placed tasks by service and machine (rule 5).
    open: BTreeMap<(ServiceId, MachineId), u32>,
    tenant_cores: Vec<f64>,
    answer_time: Vec<MovingAverage>,
    mean_runtime: MovingAverage,
    view_delays: [DelayEstimator; 2],
    submit_rate: RateMeter,
    /// Buffer of `choose`, kept to save allocations.
    scored: Vec<Candidate>,
    list_failures: u32,
    resubscribe_at: Option<Seconds>,
    next_check_at: Seconds,
    timer_at: Seconds,
    /// Last pass over the queue: one for each batch of events, which share one time.
    queue_checked_at: Seconds,
    /// Number of probes that may be sent only to get fresh reports.
    probe_credit: f64,
    /// Number of machines that all calls of `choose` so far have examined.
    pub machines_examined: u64,
}

impl Placer {
    /// Creates a placer that knows only its settings.
    ///
    /// # Errors
    /// If the settings cannot be served.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let average = |first| MovingAverage { value: first, weight: AVERAGE_WEIGHT };
        let divisor = TIMEOUT_MULTIPLE * settings.max_attempts as f64;
        Ok(Placer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            salt: seed,
            started_at: f64::NEG_INFINITY,
            machines: BTreeMap::new(),
            requests: BTreeMap::new(),
            queued: BTreeSet::new(),
            open: BTreeMap::new(),
            tenant_cores: vec![0.0; settings.tenants.len()],
            // Until the first answers, the time-out gives each attempt an equal part of the deadline.
            answer_time: settings.classes.iter().map(|c| average(c.deadline_s / divisor)).collect(),
            mean_runtime: average(INITIAL_RUNTIME_S),
            view_delays: INITIAL_DELAY_STEPS.map(|first| DelayEstimator::new(DELAY_STEPS, first)),
            submit_rate: RateMeter::new(RATE_SPAN_S, RATE_MIN_SPAN_S),
            scored: Vec::new(),
            list_failures: 0,
            resubscribe_at: None,
            next_check_at: 0.0,
            timer_at: 0.0,
            queue_checked_at: f64::NEG_INFINITY,
            probe_credit: 0.0,
            machines_examined: 0,
            settings,
        })
    }

    /// Handles one event, and appends the actions that follow from it.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        if self.started_at == f64::NEG_INFINITY {
            self.started_at = now;
        }
        let may_free_room =
            matches!(event, Event::List { .. } | Event::Ended(_) | Event::Probed { .. } | Event::Timer);
        match event {
            Event::List { kind, entries } => self.apply_list(now, kind, &entries, actions),
            Event::Submitted { request, task } => self.submitted(now, request, task, actions),
            Event::Resident { request, task, machine } => self.resident(now, request, task, machine),
            Event::Withdrawn { request } => self.close_request(request),
            Event::Bound { request, attempt, took_s } => self.bound(now, request, attempt, took_s),
            Event::Ended(end) => {
                self.ended(now, &end);
                self.next_step(now, &end, actions);
            }
            Event::Noted { request, attempt, note } => self.noted(now, request, attempt, note),
            Event::Probed { machine, outcome, report } => self.probed(now, machine, outcome, report),
            Event::Timer => {}
        }
        if may_free_room && now > self.queue_checked_at {
            self.queue_checked_at = now;
            self.answer_due(now, actions);
            self.place_queued(now, actions);
        }
        self.run_checks(now, actions);
        self.arm_timer(now, actions);
    }

    /// Requests a timer only while a queued request or a list call waits for one.
    fn arm_timer(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let check_at = if self.queued.is_empty() { f64::INFINITY } else { now + CHECK_INTERVAL_S };
        let at = check_at.min(self.resubscribe_at.unwrap_or(f64::INFINITY));
        if at.is_finite() && (due(now, self.timer_at) || at + EPSILON < self.timer_at) {
            self.timer_at = at;
            actions.push(Action::SetTimer { at });
        }
    }

    fn apply_list(&mut self, now: Seconds, kind: ListKind, entries: &[Entry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let longest = self.settings.ask_every_s * LIST_RETRY_MAX_SHARE;
            let wait = LIST_RETRY_FIRST_S * f64::from(2u32.saturating_pow(self.list_failures));
            self.list_failures = self.list_failures.saturating_add(1);
            self.resubscribe_at = Some(now + wait.min(longest) * self.rng.gen_range(0.5..1.0));
            if self.list_failures == 1 {
                actions.push(Action::Log("list call failed or subscription broke; keeping old list".into()));
            }
            return;
        }
        if kind == ListKind::Persisted && self.settings.ask_for_list {
            actions.push(Action::Subscribe);
        } else {
            self.list_failures = 0;
            self.resubscribe_at = None;
        }
        // Delays are learnt where there is one own bind per machine, on average, in the longest delay tried.
        let binds = self.submit_rate.rate(now) * DELAY_STEPS as f64 * DELAY_STEP_S;
        let learning = binds >= self.machines.len() as f64;
        self.view_delays.iter_mut().for_each(|delay| delay.learning = learning);
        let named: BTreeSet<MachineId> = entries.iter().map(|e| e.machine).collect();
        for entry in entries {
            self.apply_entry(now, entry);
        }
        // A list of changes omits machines that did not change: their views were still true at this time.
        let unchanged_at = now - 2.0 * self.list_delay();
        for (_, machine) in self.machines.iter_mut().filter(|(id, _)| !named.contains(id)) {
            if kind != ListKind::Changes {
                machine.ready = false;
            } else {
                machine.viewed_at = machine.viewed_at.max(unchanged_at);
            }
            machine.refresh_counter(now);
        }
        // Machines and services come and go: forgets those that are gone, so that memory stays bounded.
        self.machines.retain(|_, m| m.ready || now < m.listed_at + FORGET_MACHINE_S);
        self.machines.values_mut().for_each(|m| m.kept_until.retain(|_, until| now < *until));
    }

    fn list_delay(&self) -> Seconds {
        self.view_delays[FROM_LIST].steps as f64 * DELAY_STEP_S
    }

    fn apply_entry(&mut self, now: Seconds, entry: &Entry) {
        let settings = &self.settings;
        let machine = self.machines.entry(entry.machine).or_insert_with(|| Machine::new(entry, settings));
        machine.ready = entry.standing == Standing::Ready;
        machine.listed_at = now;
        (machine.zone, machine.cell) = (entry.zone, entry.cell);
        if entry.started > machine.up_since {
            machine.up_since = entry.started;
            machine.kept_until.clear();
        }
        if settings.list_shows_room && machine.has_size() {
            machine.apply_view(now, entry.free, &mut self.view_delays[FROM_LIST], FROM_LIST);
        }
    }

    fn submitted(&mut self, now: Seconds, id: RequestId, task: Task, actions: &mut Vec<Action>) {
        self.requests.insert(id, Request::new(task, State::Queued, now));
        self.submit_rate.count(now);
        if due(now, self.answer_by(&task)) {
            return self.finish(id, actions);
        }
        self.queued.insert(id);
        if self.settings.probes {
            self.probe_credit = (self.probe_credit + PROBES_PER_TASK).min(self.machines.len() as f64);
        }
        actions.push(Action::SetTimer { at: self.answer_by(&task) });
        self.place(now, id, actions);
    }

    /// Rule 1: the latest time for the final answer to a request without an open attempt.
    fn answer_by(&self, task: &Task) -> Seconds {
        task.deadline - ANSWER_MARGIN_TICKS * self.settings.tick_s
    }

    fn resident(&mut self, now: Seconds, id: RequestId, task: Task, machine: MachineId) {
        let mut request = Request::new(task, State::Placed, now);
        request.attempts.push(Attempt { bound: true, ..Attempt::new(machine, now, 0.0) });
        self.requests.insert(id, request);
        *self.open.entry((task.service, machine)).or_insert(0) += 1;
        self.charge_tenant(&task, 1.0);
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.own_room = machine.own_room + task.room;
            machine.kept_until.insert(task.service, f64::INFINITY);
        }
    }

    fn charge_tenant(&mut self, task: &Task, sign: f64) {
        if let Some(cores) = task.tenant.and_then(|t| self.tenant_cores.get_mut(t)) {
            *cores += sign * task.room.cores;
        }
    }

    fn close_request(&mut self, id: RequestId) {
        self.queued.remove(&id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = State::Closed;
            if request.attempts.iter().all(|a| !a.open) {
                self.requests.remove(&id);
            }
        }
    }

    fn bound(&mut self, now: Seconds, id: RequestId, attempt: AttemptNo, took_s: Seconds) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(tried) = request.attempts.get_mut(attempt) else { return };
        if tried.bound || !tried.open {
            return;
        }
        tried.bound = true;
        request.state = State::Placed;
        let (task, machine) = (request.task, tried.machine);
        self.answer_time[task.class].learn(took_s);
        self.charge_tenant(&task, 1.0);
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.outage = Backoff::default();
            machine.backoffs.remove(&task.class);
            machine.unanswered_offers -= 1;
            machine.kept_until.insert(task.service, f64::INFINITY);
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
            Note::Runs => machine.backlog -= std::mem::take(&mut tried.start_work),
            Note::Served(share) => machine.starved_share = TimedValue { value: 1.0 - share, at: now },
            Note::MachineMemory(share) => machine.used_share = TimedValue { value: share, at: now },
            _ => {}
        }
    }

    fn apply_report(&mut self, now: Seconds, id: MachineId, report: Option<Report>) {
        let (Some(machine), Some(report)) = (self.machines.get_mut(&id), report) else { return };
        if let Some(busy) = report.busy {
            machine.used_share = TimedValue { value: busy, at: now };
        }
        if let Some(free) = report.free.filter(|_| !self.settings.reports_used && machine.has_size()) {
            machine.apply_view(now, free, &mut self.view_delays[FROM_REPORT], FROM_REPORT);
        }
    }

    fn probed(&mut self, now: Seconds, id: MachineId, outcome: Outcome, report: Option<Report>) {
        let gap = (1.0 / self.submit_rate.rate(now), hash_fraction((self.salt, id)));
        let Some(machine) = self.machines.get_mut(&id) else { return };
        machine.probe_pending = false;
        if outcome == Outcome::Ok {
            machine.outage = Backoff::default();
        } else {
            machine.outage.fail(now, gap, BACKOFF);
        }
        self.apply_report(now, id, report);
    }

    /// Updates the records of the request and of its machine after an attempt ended.
    fn ended(&mut self, now: Seconds, end: &End) {
        let gap = (1.0 / self.submit_rate.rate(now), hash_fraction((self.salt, end.request)));
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let Some(tried) = request.attempts.get_mut(end.attempt).filter(|a| a.open) else { return };
        tried.open = false;
        tried.may_have_run = !end.outcome.never_ran();
        tried.errored = end.outcome == Outcome::Error;
        tried.link_broke = end.reason == Reason::Broken;
        let errored = tried.errored;
        let (task, at, bound) = (request.task, tried.machine, tried.bound);
        let (ran_s, start_work) = (now - tried.sent_at, tried.start_work);
        let elsewhere: Vec<MachineId> = request
            .attempts
            .iter()
            .filter(|a| errored && a.errored && a.machine != at)
            .map(|a| a.machine)
            .collect();
        let count = self.open.entry((task.service, at)).or_insert(1);
        *count = count.saturating_sub(1);
        let last = *count == 0;
        if last {
            self.open.remove(&(task.service, at));
        }
        if bound {
            self.charge_tenant(&task, -1.0);
            if end.outcome == Outcome::Ok {
                self.mean_runtime.learn(ran_s);
            }
        }
        let Some(machine) = self.machines.get_mut(&at) else { return };
        machine.backlog -= start_work;
        machine.own_room = machine.own_room - task.room;
        if last && machine.kept_until.contains_key(&task.service) {
            machine.kept_until.insert(task.service, now + PROGRAM_KEPT_S);
        }
        if bound {
            machine.record_change(now, end.request, task.room * -1.0);
        } else {
            machine.unanswered_offers -= 1;
            if end.outcome.never_ran() {
                machine.remove_change(end.request);
            }
        }
        // A request that fails with errors at one machine after another is itself at fault. It causes no
        // back-off, and the first back-offs that it may have caused are lifted.
        if elsewhere.len() < ERRORS_ELSEWHERE {
            assess(machine, now, gap, end, &task, bound);
        } else {
            for id in elsewhere {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.backoffs.retain(|&class, b| class != task.class || b.failures > 1);
                }
            }
        }
        self.apply_report(now, at, end.report);
    }

    /// After an attempt ended: closes the request, answers it, or places it again.
    fn next_step(&mut self, now: Seconds, end: &End, actions: &mut Vec<Action>) {
        let id = end.request;
        let Some(request) = self.requests.get(&id) else { return };
        let open = request.attempts.iter().any(|a| a.open);
        let finished = matches!(request.state, State::Placed | State::Closed) && !open;
        if end.finished || finished {
            return self.close_request(id);
        }
        if open || request.state != State::Offered {
            return;
        }
        let limits = request.task.limits;
        let most = self.settings.max_attempts.min(limits.attempts);
        let exhausted = end.last || request.attempts.len() >= most;
        if exhausted || due(now, self.answer_by(&request.task)) || self.cannot_be_placed(now, request) {
            return self.finish(id, actions);
        }
        let (mean, spread) = limits.pause_s.unwrap_or((PAUSE_MEAN_S, PAUSE_SPREAD));
        let pause = mean * (1.0 + self.rng.gen_range(-spread..=spread));
        let pause = if end.outcome == Outcome::Full { pause } else { 0.0 };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.state = State::Queued;
        request.not_before = now + pause;
        self.queued.insert(id);
        if pause > 0.0 {
            actions.push(Action::SetTimer { at: now + pause });
        } else {
            self.place(now, id, actions);
        }
    }

    /// Rule 2: whether the request may be refused: a refusal promises that a retry is harmless.
    fn may_refuse(&self, request: &Request) -> bool {
        let idempotency = self.settings.classes[request.task.class].idempotency;
        matches!(idempotency, Idempotency::Repeatable | Idempotency::Keyed { group: Place::All, .. })
            || request.attempts.iter().all(|a| !a.may_have_run)
    }

    /// Rule 1: gives the one final answer.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let refusal = Action::Refuse { request: id, retry_in_s: REFUSAL_RETRY_S };
        actions.push(if self.may_refuse(request) { refusal } else { Action::Fail { request: id } });
        self.close_request(id);
    }

    /// Rule 1: answers queued requests whose time is up.
    fn answer_due(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let due = |id: &RequestId| self.requests.get(id).is_some_and(|r| due(now, self.answer_by(&r.task)));
        let ids: Vec<RequestId> = self.queued.iter().copied().filter(due).collect();
        for id in ids {
            self.finish(id, actions);
        }
    }

    /// Rule 2: whether the request may go to this machine, given its earlier attempts.
    fn repeat_allows(&self, now: Seconds, request: &Request, id: MachineId) -> bool {
        let mut uncertain = request.attempts.iter().filter(|a| a.may_have_run);
        if request.attempts.iter().any(|a| a.link_broke && a.machine == id) {
            return false;
        }
        match self.settings.classes[request.task.class].idempotency {
            _ if !request.task.limits.copies => uncertain.next().is_none(),
            Idempotency::Repeatable => true,
            Idempotency::Once => uncertain.next().is_none(),
            Idempotency::Keyed { group, window_s } => {
                let window_s = window_s.min(request.task.limits.window_s);
                uncertain.all(|a| {
                    now < a.sent_at + window_s - KEYED_MARGIN_S && self.share_place(group, a.machine, id)
                })
            }
        }
    }

    fn share_place(&self, place: Place, a: MachineId, b: MachineId) -> bool {
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

    /// Whether the request may have run, and no healthy machine is left at which it may be repeated.
    fn cannot_be_placed(&self, now: Seconds, request: &Request) -> bool {
        let usable = |(&id, m): (&MachineId, &Machine)| {
            m.ready && !m.is_suspect(now, request.task.class) && self.repeat_allows(now, request, id)
        };
        request.attempts.iter().any(|a| a.may_have_run) && !self.machines.iter().any(usable)
    }

    /// Rule 5: whether the machine's place (such as its zone) may get one more own task of the service.
    fn spread_allows(&self, task: &Task, id: MachineId) -> bool {
        let Some((place, most)) = self.settings.classes[task.class].spread else { return true };
        let from = (task.service, MachineId(0));
        let to = (task.service, MachineId(u32::MAX));
        let there = self.open.range(from..=to).filter(|((_, other), _)| self.share_place(place, *other, id));
        there.map(|(_, count)| count).sum::<u32>() < most
    }

    /// Rule 4: whether this placer's part of a cold machine's offer budget allows one more. A placer does not
    /// remember its offers from before a restart, so it sends none to cold machines in its first window.
    fn cold_allows(&self, now: Seconds, machine: &Machine) -> bool {
        if !machine.is_cold(now, &self.settings) {
            return true;
        }
        let window = self.settings.cold_window_s * COLD_WINDOWS;
        let sent = machine.recent_offers.iter().filter(|&&at| at > now - window).count() as f64;
        let budget = self.settings.cold_offer_limit * COLD_BUDGET_SHARE;
        let part = budget / f64::from(self.settings.placers);
        let allowed = if part >= 1.0 {
            sent + 1.0 <= part
        } else {
            sent == 0.0 && self.admitted(now / window, machine.key, budget)
        };
        allowed && now >= self.started_at + window
    }

    /// Free capacity of each machine that takes work: room that no known task asks for, and the number of
    /// offers that it may still get (of a cold machine, this placer's part).
    pub fn spaces(&self, now: Seconds) -> Vec<Space> {
        let space = |(&machine, m): (&MachineId, &Machine)| {
            let left = m.limit - (m.view.unwrap_or_default() + m.counter_room).at_least(m.own_room);
            let part = self.settings.cold_offer_limit * COLD_BUDGET_SHARE / f64::from(self.settings.placers);
            let offers = if m.is_cold(now, &self.settings) { part as usize } else { usize::MAX };
            let (offers, size, limit, kind) =
                (offers.saturating_sub(m.recent_offers.len()), m.size, m.limit, m.kind);
            Space { machine, left, size, limit, kind, offers }
        };
        let takes_work = |(_, m): &(&MachineId, &Machine)| m.ready && m.has_size() && m.outage.failures == 0;
        self.machines.iter().filter(takes_work).map(space).collect()
    }

    /// Where a placer's part is below one offer, a random draw admits a few placers in each window: the sum
    /// stays `COLD_DEVIATIONS` under the budget even where two of their windows overlap one of the rule's.
    fn admitted(&self, windows: f64, key: MachineKey, budget: f64) -> bool {
        let half = COLD_DEVIATIONS / 2.0;
        let expected = ((budget / 2.0 + half * half).sqrt() - half).powi(2);
        hash_fraction((self.salt, key, windows as u64)) < expected / f64::from(self.settings.placers)
    }

    fn eligible(&self, now: Seconds, request: &Request, id: MachineId, machine: &Machine) -> bool {
        let task = &request.task;
        let kind = self.settings.classes[task.class].kind;
        machine.ready
            && machine.has_size()
            && machine.unanswered_offers < MAX_UNANSWERED_OFFERS
            && (kind.is_none() || kind == machine.kind)
            && machine.fits(task)
            && self.cold_allows(now, machine)
            && self.repeat_allows(now, request, id)
            && self.spread_allows(task, id)
    }

    /// The ordinary path: picks among the machines whose score (load + increment + counter) counts as lowest.
    /// All placers rank these alike for a service, so that its tasks meet at machines that hold its program.
    fn choose(&mut self, now: Seconds, request: RequestId) -> Option<MachineId> {
        let mut scored = std::mem::take(&mut self.scored);
        scored.clear();
        let request = self.requests.get(&request)?;
        let loads = self.machines.values().filter_map(Machine::requested_load);
        let (total, count) = loads.fold((0.0, 0u32), |(sum, count), load| (sum + load, count + 1));
        let average = total / f64::from(count.max(1));
        for (&id, machine) in &self.machines {
            self.machines_examined += 1;
            if self.eligible(now, request, id, machine) {
                let mut candidate = self.score(now, &request.task, id, machine, average);
                let errored = request.attempts.iter().any(|a| a.errored && a.machine == id);
                candidate.score += SUSPECT_LOAD * f64::from(u8::from(errored));
                scored.push(candidate);
            }
        }
        let band = self.band(now, &mut scored);
        let chosen = scored.iter().take_while(|c| c.score <= band).min_by(|a, b| a.rank.total_cmp(&b.rank));
        let chosen = chosen.map(|c| c.machine);
        self.scored = scored;
        chosen
    }

    fn score(&self, now: Seconds, task: &Task, id: MachineId, machine: &Machine, average: f64) -> Candidate {
        // Use may exceed the requested room: busy cores, tight memory and poor service raise the load.
        let requested = machine.requested_load().unwrap_or(average);
        let load = requested.max(machine.used_share.within(USE_MAX_AGE_S, now))
            + machine.starved_share.within(USE_MAX_AGE_S, now);
        let increment = machine.increment(task.room);
        let starts = START_LOAD * machine.start_work(task.service, now) + BACKLOG_LOAD * machine.backlog;
        let other_zone = self.settings.zone.is_some_and(|zone| zone != machine.zone);
        let zone = ZONE_LOAD * self.settings.cross_zone_price * f64::from(u8::from(other_zone));
        let suspect = SUSPECT_LOAD * f64::from(u8::from(machine.is_suspect(now, task.class)));
        let score = load + starts + zone + suspect + increment + machine.counter;
        let rank = hash_fraction((task.service, machine.key));
        Candidate { machine: id, score, increment, rank }
    }

    /// Sorts the candidates, and returns the score up to which they count as lowest, the higher of two: one
    /// increment above the lowest score; and the level to which binds by other placers since the view may
    /// have raised the lowest scores, less the increment that the first one includes. That level is found by
    /// water-filling with the expected binds (none if there is one placer).
    fn band(&self, now: Seconds, scored: &mut [Candidate]) -> f64 {
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        let Some(lowest) = scored.first() else { return 0.0 };
        let narrow = lowest.score + lowest.increment + EPSILON;
        let other_binds_per_s = f64::from(self.settings.placers - 1) * self.submit_rate.rate(now);
        let (mut water, mut width) = (other_binds_per_s * self.list_delay(), 0.0);
        let mut level = lowest.score;
        for candidate in scored.iter() {
            if water <= (candidate.score - level) * width {
                break;
            }
            water -= (candidate.score - level) * width;
            (level, width) = (candidate.score, width + 1.0 / candidate.increment);
        }
        narrow.max(level + water / width - lowest.increment)
    }

    /// Worth of a task for each second and each share of the fleet that it takes.
    fn worth(&self, now: Seconds, request: &Request) -> f64 {
        let (task, class) = (&request.task, &self.settings.classes[request.task.class]);
        let runtime = task.expected_runtime_s.unwrap_or(self.mean_runtime.value).max(1.0);
        let late = now > request.submitted_at + class.on_time_s;
        let start_worth = class.prompt_start_s * if late { class.late_share } else { 1.0 };
        let quota = task.tenant.and_then(|t| self.settings.tenants.get(t)).map(|t| t.quota_cores);
        let used_cores = task.tenant.and_then(|t| self.tenant_cores.get(t)).copied().unwrap_or(0.0);
        let over_quota = quota.map_or(0.0, |quota| self.over_quota(used_cores, task.room.cores, quota));
        let share = 1.0 - over_quota * (1.0 - self.settings.over_share_worth);
        class.importance * share * (runtime + start_worth) / runtime
    }

    /// Probability that a tenant is over its quota, estimated from its use here and the sampling error.
    fn over_quota(&self, used_cores: f64, task_cores: f64, quota: f64) -> f64 {
        let placers = f64::from(self.settings.placers);
        let error = placers * (used_cores * task_cores).sqrt();
        (0.5 + (placers * used_cores - quota) / (2.0 * error.max(EPSILON))).clamp(0.0, 1.0)
    }

    /// Places queued requests, those of the highest worth first.
    fn place_queued(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let mut order: Vec<(f64, RequestId)> = Vec::new();
        for &id in &self.queued {
            if let Some(request) = self.requests.get(&id).filter(|r| due(now, r.not_before)) {
                order.push((self.worth(now, request), id));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in order {
            self.place(now, id, actions);
        }
    }

    /// Offers a request to a machine, or answers it where no machine may take it any more.
    fn place(&mut self, now: Seconds, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(machine) = self.choose(now, id) {
            self.bind(now, id, machine, actions);
        } else if self.requests.get(&id).is_some_and(|r| self.cannot_be_placed(now, r)) {
            self.finish(id, actions);
        }
    }

    fn attempt_timeout(&self, class: usize) -> Seconds {
        let least = MIN_TIMEOUT_S[usize::from(self.settings.confirms_running)];
        (self.answer_time[class].value * TIMEOUT_MULTIPLE).max(least)
    }

    fn bind(&mut self, now: Seconds, id: RequestId, at: MachineId, actions: &mut Vec<Action>) {
        let Some(task) = self.requests.get(&id).map(|r| r.task) else { return };
        let timeout = self.attempt_timeout(task.class).min(task.limits.attempt_s);
        let give_up_at = self.answer_by(&task).min(now + timeout);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(machine) = self.machines.get_mut(&at) else { return };
        let gap = (1.0 / self.submit_rate.rate(now), hash_fraction((self.salt, id)));
        let start_work = machine.start_work(task.service, now);
        request.attempts.push(Attempt::new(at, now, start_work));
        request.state = State::Offered;
        self.queued.remove(&id);
        *self.open.entry((task.service, at)).or_insert(0) += 1;
        machine.record_change(now, id, task.room);
        machine.own_room = machine.own_room + task.room;
        machine.backlog += start_work;
        machine.unanswered_offers += 1;
        machine.kept_until.insert(task.service, f64::INFINITY);
        machine.recent_offers.push_back(now);
        let from = now - self.settings.cold_window_s * COLD_WINDOWS;
        machine.recent_offers.retain(|&sent_at| sent_at > from);
        // One task at a time tests a suspect machine: the back-off lasts until this attempt times out.
        if machine.outage.failures > 0 {
            machine.outage.until = give_up_at;
        }
        if let Some(backoff) = machine.backoffs.get_mut(&task.class) {
            backoff.fail(now, gap, BACKOFF);
        }
        actions.push(Action::Bind { request: id, machine: at, give_up_at });
    }

    /// Periodic checks: sends the list calls and probes that are due.
    fn run_checks(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if !due(now, self.next_check_at) {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL_S;
        if self.resubscribe_at.is_some_and(|at| due(now, at)) {
            self.resubscribe_at = None;
            actions.push(Action::Subscribe);
        }
        for (&id, machine) in
            self.machines.iter_mut().filter(|(_, m)| m.ready && !m.probe_pending && self.settings.probes)
        {
            let try_again = machine.outage.failures > 0 && now >= machine.outage.until;
            let stale = self.settings.reports == ReportSource::Probes
                && machine.outage.failures == 0
                && now >= machine.probed_at + PROBE_INTERVAL_S;
            if try_again || (stale && self.probe_credit >= 1.0) {
                self.probe_credit -= f64::from(u8::from(stale));
                machine.probe_pending = true;
                machine.probed_at = now;
                actions.push(Action::Probe { machine: id });
            }
        }
    }
}

/// Updates a machine's health and room by the outcome of an attempt there. For `gap`, see [`Backoff::fail`].
fn assess(machine: &mut Machine, now: Seconds, gap: (Seconds, f64), end: &End, task: &Task, bound: bool) {
    match (end.outcome, end.reason) {
        // Guards against machines that fail one class, answer probes but no offers (see below), cannot start
        // tasks, have a full queue, or drain without notice. One stray refusal also causes a short back-off.
        (Outcome::Full, Reason::LineFull | Reason::NotHere | Reason::Unknown)
        | (Outcome::Lost, Reason::SentAway)
        | (Outcome::Error, _) => machine.backoffs.entry(task.class).or_default().fail(now, gap, BACKOFF),
        (Outcome::Full, Reason::NoCores) => {
            machine.apply_refusal(now, Room { memory: f64::INFINITY, ..task.room });
        }
        (Outcome::Full, Reason::NoMemory) => {
            machine.apply_refusal(now, Room { cores: f64::INFINITY, ..task.room });
        }
        (Outcome::Lost, Reason::Evicted) => machine.used_share = TimedValue { value: 1.0, at: now },
        (Outcome::Lost, Reason::PushedOut) => {}
        // A broken connection causes no back-off: a network fault would take out one machine after another.
        // Whether this one is still there shows in the next dial.
        (Outcome::Lost, Reason::Broken) => {}
        (Outcome::Lost, _) if bound => {
            machine.up_since = machine.up_since.max(now);
            machine.kept_until.clear();
            machine.outage.fail(now, gap, BACKOFF);
        }
        (Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Lost, _) => {
            machine.outage.fail(now, gap, BACKOFF);
            machine.backoffs.entry(task.class).or_default().fail(now, gap, BACKOFF);
        }
        _ => {}
    }
}
