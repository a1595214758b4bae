//! The hub: the core, and the output queues of all connections. Connection tasks turn bytes into inputs and
//! apply them here; the resulting effects become queued bytes under the same lock, so that no other task sees
//! an intermediate state.

mod client_connections;
mod clock;
mod counts;
mod datagrams;
mod held;
mod machine_connections;
mod turns;

pub use client_connections::{has_unread_bytes, OwnerLink};
pub use clock::to_duration;
pub use counts::Counts;
pub use datagrams::DatagramCounts;
pub use machine_connections::{DepartedLink, MachineLink};
pub use turns::Turns;

use super::outbox::{QueueBudget, Sink, Tag, Written};
use super::platform::node::{self, cause, SetUp};
use super::platform::owner;
use super::read_buffers::ReadBuffers;
use super::trail;
use crate::decide::budgets::PeerMessage;
use crate::decide::fleet::Member;
use crate::decide::links::ConnectionSlots;
use crate::decide::start_times::{NoticeContext, StartTimes};
use crate::placer::*;
use crate::state::{Core, Effect, Input, MachineNotice, Owner, Refusal};
use client_connections::Orphan;
use clock::Clock;
use held::HeldSetUps;
use machine_connections::Cancellations;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, watch, Notify};

/// Limits of connections and their queues.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Count. Connections of owners.
    pub owners: usize,
    /// Bytes that may be queued for the owners.
    pub owner_queues: QueueBounds,
    /// Bytes that may be queued for the machines.
    pub machine_queues: QueueBounds,
    /// Count. Connections to machines.
    pub links: usize,
}

/// Limits of the output queues of a set of connections.
#[derive(Clone, Copy, Debug)]
pub struct QueueBounds {
    /// Bytes that each queue may always hold.
    pub reserve: usize,
    /// Bytes that all queues together may hold beyond their reserves.
    pub shared: usize,
}

/// The state that the lock guards.
pub struct Inner {
    pub core: Core,
    /// The links to listed machines.
    pub machine_links: BTreeMap<MachineId, MachineLink>,
    /// Connections of owners by their ids.
    pub owners: BTreeMap<u64, OwnerLink>,
    /// Addresses of owners by the ids of their connections, also of some that have closed.
    owner_addresses: BTreeMap<u64, IpAddr>,
    /// Releases that wait for their owner to reconnect.
    orphans: VecDeque<Orphan>,
    effects: Vec<Effect>,
    pub bounds: Bounds,
    /// The memory that the queues of all owners share.
    owner_budget: Arc<QueueBudget>,
    /// The memory that the queues of all machines share.
    machine_budget: Arc<QueueBudget>,
    /// The limited number of slots for connections to machines.
    pub slots: ConnectionSlots,
    /// When machines started.
    start_times: StartTimes,
    /// Whether the wall clock has stepped since the program started.
    has_stepped: bool,
    /// Machines whose link task is to be started, with the ids of their links.
    connect_requests: mpsc::UnboundedSender<(MachineId, u64)>,
    /// Set-ups that are held back until everything their owner has sent is read.
    held: HeldSetUps,
    /// Links of machines that left the list and whose link tasks have not ended yet, by the ids of the links.
    departed_links: BTreeMap<u64, DepartedLink>,
    /// The next id of a link to a machine or of a connection of an owner.
    next_link_id: u64,
    /// Machines that do not answer dials now.
    pub unreachable: BTreeSet<MachineId>,
    /// The planner drains: health checks by owners fail, and new requests on the REST API are refused.
    pub draining: bool,
    /// Why the last job from the REST API was rejected without a record of it, and after how many seconds to
    /// retry. The API takes the value while it still holds the lock under which it submitted the job.
    pub last_rejection: Option<(Refusal, Seconds)>,
    /// The queue of messages to other planners; none where the planner is in no fleet.
    pub peers: Option<mpsc::Sender<(Member, Vec<PeerMessage>)>>,
    /// Datagrams exchanged with other planners.
    pub peer_counts: DatagramCounts,
    /// Rare events of attempts and their connections.
    pub counts: Counts,
}

/// The hub, shared by all tasks.
pub struct Hub {
    inner: Mutex<Inner>,
    clock: Clock,
    /// The turns of the runtime's thread, which bound the age of unread bytes.
    turns: Arc<Turns>,
    /// Buffers for reads from machines.
    pub read_buffers: ReadBuffers,
    /// Notified when the planner stops and is to accept no more connections.
    pub stop_listening: Notify,
    /// Notified when the time of the core's next alarm has changed.
    pub alarm: Notify,
    /// Counts changes of the state, which watchers of the REST API wait for.
    pub changes: watch::Sender<u64>,
}

impl Hub {
    /// A hub, and the queue of machines whose link task is to be started.
    pub fn new(
        core: Core,
        bounds: Bounds,
        turns: Arc<Turns>,
    ) -> (Arc<Hub>, mpsc::UnboundedReceiver<(MachineId, u64)>) {
        let (connect_requests, wanted) = mpsc::unbounded_channel();
        let start_times = StartTimes::new(core.settings().warm_within_s);
        let inner = Inner {
            core,
            machine_links: BTreeMap::new(),
            owners: BTreeMap::new(),
            owner_addresses: BTreeMap::new(),
            orphans: VecDeque::new(),
            effects: Vec::new(),
            bounds,
            owner_budget: Arc::new(QueueBudget::new(bounds.owner_queues.shared)),
            machine_budget: Arc::new(QueueBudget::new(bounds.machine_queues.shared)),
            slots: ConnectionSlots::new(bounds.links),
            start_times,
            has_stepped: false,
            connect_requests,
            held: HeldSetUps::default(),
            departed_links: BTreeMap::new(),
            next_link_id: 0,
            unreachable: BTreeSet::new(),
            draining: false,
            last_rejection: None,
            peers: None,
            peer_counts: DatagramCounts::default(),
            counts: Counts::default(),
        };
        let hub = Hub {
            inner: Mutex::new(inner),
            clock: Clock::new(),
            turns,
            read_buffers: ReadBuffers::default(),
            stop_listening: Notify::new(),
            alarm: Notify::new(),
            changes: watch::Sender::new(0),
        };
        (Arc::new(hub), wanted)
    }

    /// The time, in seconds since 1970.
    pub fn now(&self) -> Seconds {
        self.clock.now()
    }

    /// The earliest time at which bytes that are read from an owner now can have arrived, as far as is known;
    /// `owner_link` is the id of its connection.
    pub fn earliest_arrival(&self, inner: &Inner, owner_link: u64) -> Seconds {
        let now = self.now();
        let drained_at = inner.owners.get(&owner_link).map_or(now, |link| link.drained_at);
        self.earliest_read().max(drained_at).min(now)
    }

    /// The earliest time at which bytes that are read now can have arrived, on any connection.
    pub fn earliest_read(&self) -> Seconds {
        let now = self.now();
        self.turns.unread_for().map_or(now, |unread_s| now - unread_s)
    }

    /// The planner's seed, new with each start.
    pub fn seed(&self) -> u64 {
        self.lock().core.seed()
    }

    /// Locks the state; a panic of another holder of the lock is ignored.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an input to the core and carries out its effects.
    pub fn apply(&self, input: Input) {
        self.apply_in(&mut self.lock(), input);
    }

    /// As [`Hub::apply`], for a caller that holds the lock.
    pub fn apply_in(&self, inner: &mut Inner, input: Input) {
        let before = inner.core.next_alarm();
        let mut effects = std::mem::take(&mut inner.effects);
        let now = self.now();
        let trail = trail::is_enabled();
        if trail {
            trail::log_input(&inner.core, &input);
        }
        inner.core.apply(now, input, &mut effects);
        for effect in effects.drain(..) {
            if trail {
                trail::log_effect(&inner.core, &effect);
            }
            if effect == Effect::Changed {
                self.changes.send_modify(|count| *count += 1);
            } else {
                inner.carry_out(now, effect);
            }
        }
        inner.effects = effects;
        if inner.core.next_alarm() != before {
            self.alarm.notify_one();
        }
    }

    /// Applies entries of the machine list; `is_live` where they describe changes that have just happened.
    pub fn apply_list(
        &self,
        inner: &mut Inner,
        kind: ListKind,
        mut notices: Vec<MachineNotice>,
        is_live: bool,
    ) {
        if !inner.has_stepped && self.clock.has_stepped() {
            inner.has_stepped = true;
            tracing::warn!("wall clock stepped: machines now count as started when they are reported");
        }
        let context = NoticeContext { now: self.now(), is_live, has_stepped: inner.has_stepped };
        for MachineNotice { entry, .. } in &mut notices {
            entry.started = inner.start_times.take(entry.machine, entry.started, context);
            if entry.standing == Standing::Gone {
                inner.start_times.forget(entry.machine);
            }
        }
        self.apply_in(inner, Input::List { kind, notices });
    }

    /// Writes the queued messages for a machine. Returns the result of the write, or `None` where the link
    /// has been replaced or its address has changed. Set-ups of which at least one byte was written are
    /// recorded as sent even if the connection breaks during the write, because they may have run.
    pub fn flush_to_machine(
        &self,
        (machine, link_id, address): (MachineId, u64, &str),
        sink: &impl Sink,
        sent: &mut Vec<(RequestId, AttemptNo)>,
    ) -> io::Result<Option<Written>> {
        let mut inner = self.lock();
        // The process may have been suspended between the decision and this write. Alarms that are due by now
        // run first: they withdraw set-ups whose time has passed.
        if inner.core.next_alarm().is_some_and(|at| at <= self.now()) {
            self.apply_in(&mut inner, Input::Tick);
        }
        let is_current = |l: &MachineLink| l.link_id == link_id && l.address == address;
        if !inner.machine_links.get(&machine).is_some_and(is_current) {
            return Ok(None);
        }
        inner.hold_back_unread(self.now(), machine);
        let Some(link) = inner.machine_links.get_mut(&machine) else { return Ok(None) };
        link.outbox.reencode_set_ups(self.now());
        link.outbox.drop_late(self.now());
        if link.outbox.has_late_rest(self.now()) {
            let late = "the rest of an order to cancel could not be written in time";
            return Err(io::Error::new(io::ErrorKind::TimedOut, late));
        }
        let written = link.outbox.write(sink, sent);
        for (job, attempt) in sent.drain(..) {
            self.apply_in(&mut inner, Input::Sent { job, attempt });
        }
        written.map(Some)
    }

    /// Runs the core's alarms for as long as the program runs.
    pub async fn run_alarms(self: Arc<Self>) {
        loop {
            let next = self.lock().core.next_alarm();
            let wait = next.map(|at| to_duration(at - self.now()));
            match wait {
                Some(wait) if wait.is_zero() => self.apply(Input::Tick),
                Some(wait) => {
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.apply(Input::Tick),
                        () = self.alarm.notified() => {}
                    }
                }
                None => self.alarm.notified().await,
            }
            tokio::task::yield_now().await;
        }
    }
}

impl Inner {
    /// Carries out one effect of the core.
    fn carry_out(&mut self, now: Seconds, effect: Effect) {
        match effect {
            Effect::Launch { machine, job, attempt, left_s, fence, spec } => {
                let set_up = SetUp { job, attempt, until: now + left_s, fence, spec };
                self.write_set_up(now, machine, set_up);
            }
            Effect::CancelAttempt { machine, job } => {
                let was_held = self.held.withdraw(machine, job);
                let Some(link) = self.machine_links.get_mut(&machine) else { return };
                if !was_held && !link.outbox.withdraw(job) {
                    link.unconfirmed.cancelled(now, job);
                    self.write_to_machine(machine, node::stop(job, cause::OVER), Tag::Plain);
                }
            }
            Effect::KeepBack { machine, job, check } => {
                if let Some(link) = self.machine_links.get_mut(&machine) {
                    link.unconfirmed.kept_back(now, job, check);
                    // The check of the connection is due earlier now.
                    link.check_wake.notify_one();
                }
            }
            Effect::SendCancellations { machine, jobs, check, since, write_by } => {
                self.write_cancellations(now, machine, Cancellations { jobs, check, since, write_by });
            }
            Effect::Stop { machine, job, cause } => {
                self.write_to_machine(machine, node::stop(job, cause), Tag::ResendToMachine)
            }
            Effect::Probe { machine } => {
                let Some(link) = self.machine_links.get_mut(&machine) else { return };
                link.probes += 1;
                link.probe = Some(now);
                let line = node::check(link.probes);
                self.write_to_machine(machine, line, Tag::Plain);
            }
            Effect::SendFence { machine, ask } => {
                if let Some(link) = self.machine_links.get_mut(&machine) {
                    link.unconfirmed.check_sent(now, ask);
                }
                self.write_to_machine(machine, node::check(node::FENCE_FLAG | ask), Tag::Plain);
            }
            Effect::Connect { machine, address } => self.connect(machine, address),
            Effect::Watch { machine } => self.reschedule_check(machine),
            Effect::Disconnect { machine, departure } => self.disconnect(now, machine, departure),
            Effect::Placed { owner, job, body } => {
                // An answer that is too long for a message is replaced by a release, so that its owner gets
                // an answer.
                let answer = owner::answer(job.0, &body);
                let bytes = answer.unwrap_or_else(|| owner::release(job.0, cause::ERROR, None));
                self.write_to_owner(now, owner, bytes, false);
            }
            Effect::Refused { owner, job, why, retry_in_s } => {
                let cause = match why {
                    Refusal::NoRoom => cause::FULL,
                    Refusal::Busy | Refusal::CopyMayRun | Refusal::Limit(_) => cause::BUSY,
                    Refusal::Deadline => cause::MOOT,
                };
                // A job that was rejected on arrival has no record that its client could query.
                if owner == Owner::Rest && self.core.job(job).is_none() {
                    self.last_rejection = Some((why, retry_in_s));
                }
                let retry_after = Some((retry_in_s * 1e3).round().max(0.0) as u64);
                self.write_to_owner(now, owner, owner::release(job.0, cause, retry_after), false);
            }
            Effect::Failed { owner, job } => {
                self.write_to_owner(now, owner, owner::release(job.0, cause::ERROR, None), false);
            }
            Effect::Released { owner, job, outcome } => {
                let cause = if outcome == Outcome::Ok { cause::OVER } else { cause::RESET };
                self.write_to_owner(now, owner, owner::release(job.0, cause, None), true);
            }
            Effect::Expel { link } => {
                if let Some(link) = self.owners.get_mut(&link) {
                    link.expelled = true;
                    link.wake.notify_one();
                }
            }
            Effect::SendToPeer { to, messages } => {
                if let Some(peers) = &self.peers {
                    // Messages beyond the capacity of the queue are dropped, as the network may drop them.
                    let _ = peers.try_send((to, messages));
                }
            }
            Effect::AttemptOver { unheard, .. } => self.counts.unheard_attempts += u64::from(unheard),
            Effect::CopyGone(_) => {}
            Effect::CutShort { requests } => self.counts.cut_short += requests,
            Effect::Subscribe | Effect::Changed => {}
            Effect::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Sets new limits; connections beyond them stay open until other connections need their places.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.slots.set_capacity(bounds.links);
        self.owner_budget.set_capacity(bounds.owner_queues.shared);
        self.machine_budget.set_capacity(bounds.machine_queues.shared);
    }

    /// Whether no job waits for its answer, and no owner has unwritten answers, unread bytes or an incomplete
    /// message under way.
    pub fn is_quiet(&self, now: Seconds) -> bool {
        self.core.pending() == 0 && self.owners.values().all(|link| link.is_quiet(now))
    }
}

#[cfg(test)]
mod tests;
