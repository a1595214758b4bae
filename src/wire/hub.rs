//! The hub: the core, and the queues of all connections. Tasks turn bytes into inputs and hand them in here;
//! effects become queued bytes under the same lock, so that no other task sees a state in between.

mod client_connections;
mod clock;
mod counts;
mod datagrams;
mod held;
mod machine_connections;
mod turns;

pub use client_connections::{is_unread, OwnerLink};
pub use clock::seconds;
pub use counts::Counts;
pub use datagrams::DatagramCounts;
pub use machine_connections::{Leaving, NodeLink};
pub use turns::Turns;

use super::outbox::{Sink, Tag, Written};
use super::platform::node::{self, cause, SetUp};
use super::platform::owner;
use super::read_buffers::ReadBuffers;
use super::trail;
use crate::decide::budgets::Word;
use crate::decide::fleet::Member;
use crate::decide::links::Places;
use crate::decide::start_times::{Heard, StartTimes};
use crate::placer::*;
use crate::state::{Core, Effect, Input, Notice, Owner, Refusal};
use client_connections::Orphan;
use clock::Clock;
use held::Held;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, watch, Notify};

/// What the limits leave to connections.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Owners' connections.
    pub owners: usize,
    /// Bytes that may wait for one owner.
    pub owner_queue: usize,
    /// Bytes that may wait for one box.
    pub box_queue: usize,
    /// Connections to boxes.
    pub links: usize,
}

/// All that the lock guards.
pub struct Inner {
    pub core: Core,
    pub nodes: BTreeMap<MachineId, NodeLink>,
    pub owners: BTreeMap<u64, OwnerLink>,
    origins: BTreeMap<u64, IpAddr>,
    orphans: VecDeque<Orphan>,
    effects: Vec<Effect>,
    pub bounds: Bounds,
    /// The places for connections to boxes.
    pub places: Places,
    /// When machines came up.
    start_times: StartTimes,
    /// The wall clock has stepped.
    has_stepped: bool,
    connects: mpsc::UnboundedSender<(MachineId, u64)>,
    /// Set-ups that wait until their client is heard.
    held: Held,
    /// Connections of machines that left the list and whose tasks have not taken note of it, by their lives.
    leaving: BTreeMap<u64, Leaving>,
    next_link: u64,
    /// Machines that no dial reaches now.
    pub silent: BTreeSet<MachineId>,
    /// No new test of an owner is passed.
    pub draining: bool,
    /// Why the last job of the REST front was turned away at the door, and for how many seconds; the front takes it
    /// out under the lock under which it handed the job in.
    pub turned_away: Option<(Refusal, Seconds)>,
    /// Where words to other planners go; none where the planner is in no fleet.
    pub peers: Option<mpsc::Sender<(Member, Vec<Word>)>>,
    /// What came and went between planners.
    pub peer_counts: DatagramCounts,
    /// What befell attempts and their connections.
    pub counts: Counts,
}

/// Shared by all tasks.
pub struct Hub {
    inner: Mutex<Inner>,
    clock: Clock,
    turns: Arc<Turns>,
    /// What the connections of machines are read into.
    pub read_buffers: ReadBuffers,
    /// The planner stops, and takes no new connections from now on.
    pub stop_listening: Notify,
    /// The next alarm may have come nearer.
    pub alarm: Notify,
    /// Counts changes that watchers may want to read.
    pub changes: watch::Sender<u64>,
}

impl Hub {
    /// A hub, and the machines to which a connection is to be held.
    pub fn new(
        core: Core,
        bounds: Bounds,
        turns: Arc<Turns>,
    ) -> (Arc<Hub>, mpsc::UnboundedReceiver<(MachineId, u64)>) {
        let (connects, wanted) = mpsc::unbounded_channel();
        let start_times = StartTimes::new(core.settings().warm_within_s);
        let inner = Inner {
            core,
            nodes: BTreeMap::new(),
            owners: BTreeMap::new(),
            origins: BTreeMap::new(),
            orphans: VecDeque::new(),
            effects: Vec::new(),
            bounds,
            places: Places::new(bounds.links),
            start_times,
            has_stepped: false,
            connects,
            held: Held::default(),
            leaving: BTreeMap::new(),
            next_link: 0,
            silent: BTreeSet::new(),
            draining: false,
            turned_away: None,
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

    pub fn now(&self) -> Seconds {
        self.clock.now()
    }

    /// The earliest time at which what is read now of a client may have come, as far as is known.
    pub fn came_at(&self, inner: &Inner, client: u64) -> Seconds {
        let now = self.now();
        let heard_at = inner.owners.get(&client).map_or(now, |link| link.heard_at);
        let unread_since = self.turns.unread_for().map_or(now, |unread_s| now - unread_s);
        unread_since.max(heard_at).min(now)
    }

    /// The planner's seed, new with each start.
    pub fn seed(&self) -> u64 {
        self.lock().core.seed()
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands one input in and carries out what follows.
    pub fn apply(&self, input: Input) {
        self.apply_in(&mut self.lock(), input);
    }

    /// The same where the lock is held already.
    pub fn apply_in(&self, inner: &mut Inner, input: Input) {
        let before = inner.core.next_alarm();
        let mut effects = std::mem::take(&mut inner.effects);
        let now = self.now();
        let trail = trail::is_on();
        if trail {
            trail::heard(&inner.core, &input);
        }
        inner.core.apply(now, input, &mut effects);
        for effect in effects.drain(..) {
            if trail {
                trail::done(&inner.core, &effect);
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

    /// Hands in what the list tells of machines; `is_live` where it was told as it happened.
    pub fn apply_list(&self, inner: &mut Inner, kind: ListKind, mut notices: Vec<Notice>, is_live: bool) {
        if !inner.has_stepped && self.clock.has_stepped() {
            inner.has_stepped = true;
            tracing::warn!("the wall clock stepped: machines count as started when that is heard");
        }
        let heard = Heard { now: self.now(), is_live, has_stepped: inner.has_stepped };
        for Notice { entry, .. } in &mut notices {
            entry.started = inner.start_times.take(entry.machine, entry.started, heard);
            if entry.standing == Standing::Gone {
                inner.start_times.forget(entry.machine);
            }
        }
        self.apply_in(inner, Input::List { kind, notices });
    }

    /// Writes what waits for a machine, as long as the link is that one, and tells how far it came. What left is
    /// booked also where the connection broke in the midst of it: it may have run.
    pub fn write_out(
        &self,
        (machine, life, address): (MachineId, u64, &str),
        sink: &impl Sink,
        left: &mut Vec<(RequestId, AttemptNo)>,
    ) -> io::Result<Option<Written>> {
        let mut inner = self.lock();
        // Whoever was stopped between deciding and writing looks at the time once more: what is due by now takes back
        // what must not leave any longer.
        if inner.core.next_alarm().is_some_and(|at| at <= self.now()) {
            self.apply_in(&mut inner, Input::Tick);
        }
        let is_current = |l: &NodeLink| l.life == life && l.address == address;
        if !inner.nodes.get(&machine).is_some_and(is_current) {
            return Ok(None);
        }
        inner.hold_unheard(self.now(), machine);
        let Some(link) = inner.nodes.get_mut(&machine) else { return Ok(None) };
        link.outbox.renew(self.now());
        let written = link.outbox.write(sink, left);
        for (job, attempt) in left.drain(..) {
            self.apply_in(&mut inner, Input::Sent { job, attempt });
        }
        written.map(Some)
    }

    /// Runs the core's alarms, for as long as the program does.
    pub async fn keep_time(self: Arc<Self>) {
        loop {
            let next = self.lock().core.next_alarm();
            let wait = next.map(|at| seconds(at - self.now()));
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
    fn carry_out(&mut self, now: Seconds, effect: Effect) {
        match effect {
            Effect::Launch { machine, job, attempt, left_s, fence, spec } => {
                let set_up = SetUp { job, attempt, until: now + left_s, fence, spec };
                self.write_set_up(now, machine, set_up);
            }
            Effect::GiveUp { machine, job } => {
                let was_held = self.held.take_back(machine, job);
                let Some(link) = self.nodes.get_mut(&machine) else { return };
                if !was_held && !link.outbox.take_back(job) {
                    self.write_node(machine, node::stop(job, cause::OVER), Tag::Plain);
                }
            }
            Effect::Stop { machine, job, cause } => {
                self.write_node(machine, node::stop(job, cause), Tag::Kept)
            }
            Effect::Probe { machine } => {
                let Some(link) = self.nodes.get_mut(&machine) else { return };
                link.probes += 1;
                link.probe = Some(now);
                let line = node::check(link.probes);
                self.write_node(machine, line, Tag::Plain);
            }
            Effect::Ask { machine, ask } => {
                self.write_node(machine, node::check(node::PROOF | ask), Tag::Plain);
            }
            Effect::Connect { machine, address } => self.connect(machine, address),
            Effect::Watch { machine } => self.look_anew(machine),
            Effect::Disconnect { machine, departure } => self.disconnect(now, machine, departure),
            Effect::Placed { owner, job, body } => {
                // An answer that fits into no message must not leave its owner without one.
                let answer = owner::answer(job.0, &body);
                let bytes = answer.unwrap_or_else(|| owner::release(job.0, cause::ERROR, None));
                self.write_owner(now, owner, bytes, false);
            }
            Effect::Refused { owner, job, why, retry_in_s } => {
                let cause = match why {
                    Refusal::NoRoom => cause::FULL,
                    Refusal::Busy | Refusal::Limit(_) => cause::BUSY,
                    Refusal::Deadline => cause::MOOT,
                };
                // What is turned away at the door leaves no job that its client could look at.
                if owner == Owner::Rest && self.core.job(job).is_none() {
                    self.turned_away = Some((why, retry_in_s));
                }
                let stay_away = Some((retry_in_s * 1e3).round().max(0.0) as u64);
                self.write_owner(now, owner, owner::release(job.0, cause, stay_away), false);
            }
            Effect::Failed { owner, job } => {
                self.write_owner(now, owner, owner::release(job.0, cause::ERROR, None), false);
            }
            Effect::Released { owner, job, outcome } => {
                let cause = if outcome == Outcome::Ok { cause::OVER } else { cause::RESET };
                self.write_owner(now, owner, owner::release(job.0, cause, None), true);
            }
            Effect::Expel { link } => {
                if let Some(link) = self.owners.get_mut(&link) {
                    link.expelled = true;
                    link.wake.notify_one();
                }
            }
            Effect::Say { to, words } => {
                if let Some(peers) = &self.peers {
                    // Where too many wait they are dropped, as a network would.
                    let _ = peers.try_send((to, words));
                }
            }
            Effect::AttemptOver { unheard, .. } => self.counts.unheard_attempts += u64::from(unheard),
            Effect::CutShort { requests } => self.counts.cut_short += requests,
            Effect::Subscribe | Effect::Changed => {}
            Effect::Log(line) => tracing::info!("{line}"),
        }
    }

    /// New bounds; connections that are up stay until their places are wanted.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.places.set_most(bounds.links);
    }

    /// Whether nothing waits to be answered or written to an owner, and nothing that they sent waits to be read.
    pub fn is_quiet(&self, now: Seconds) -> bool {
        self.core.pending() == 0 && self.owners.values().all(|link| link.is_quiet(now))
    }
}

#[cfg(test)]
mod tests;
