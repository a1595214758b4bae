//! The hub's side of the connections of owners (clients): the queue of each, which one is closed to make room
//! for another, and orphaned releases, that is, ends of tasks whose owner has no connection now.

use super::held::HeldSetUp;
use super::Inner;
use crate::decide::backlogs::{self, is_abandoned, Backlog};
use crate::decide::limits::micros;
use crate::placer::{MachineId, Seconds};
use crate::state::{LinkLoad, Owner};
use crate::wire::errors::is_shortage;
use crate::wire::outbox::{DirectSink, Outbox, Sink, Tag, Written};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Count. Most releases that wait for their owner to reconnect.
const MAX_ORPHANS: usize = 4096;
/// Seconds. How long a release waits for its owner to reconnect.
const ORPHAN_TTL_S: Seconds = 10.0;
/// Count. Connections of owners whose address is remembered, closed ones included; more only if all of them are
/// open or have jobs.
pub(super) const MAX_OWNER_ADDRESSES: usize = 4096;

/// Seconds. A connection on which nothing was ever sent to its owner, and nothing is open, is closed after
/// this time.
const UNANSWERED_TIMEOUT_S: Seconds = 2.0;
/// Seconds. An idle connection without open jobs or running tasks is closed after this time; owners close
/// theirs after 4 s.
const IDLE_TIMEOUT_S: Seconds = 8.0;

/// Seconds. A stopping planner waits this long after the last byte of an incomplete message for the rest of
/// it.
const PARTIAL_GRACE_S: Seconds = 0.1;
/// Seconds. A connection that was read until no bytes were left counts as drained for this time.
const DRAINED_VALID_S: Seconds = 0.05;
/// Why a connection is closed on which the owner leaves too much unread, or for too long.
const NOT_READ: &str = "the owner does not read its answers";

/// Whether the receive buffer of a connection holds unread bytes; also true where the system is too short of
/// resources to tell.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(count) => count > 0,
        Err(error) => is_shortage(&error),
    }
}

/// The number of unread bytes, one at most; zero at the end of the stream.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut one = [MaybeUninit::uninit(); 1];
    loop {
        match socket2::SockRef::from(stream).peek(&mut one) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// A connection of an owner.
pub struct OwnerLink {
    /// The socket, to check it for unread bytes; none in tests without a socket.
    pub stream: Option<Arc<TcpStream>>,
    pub outbox: Outbox,
    /// Wakes the task of the connection: something is to be written, or the connection is to be closed.
    pub wake: Arc<Notify>,
    ip: IpAddr,
    opened: Seconds,
    /// When the last set-up arrived on it or the last message was queued for it.
    pub used: Seconds,
    /// When the last byte of an incomplete message arrived, if there is one.
    pub partial_at: Option<Seconds>,
    /// When it was last known to have no unread bytes.
    pub(super) drained_at: Seconds,
    /// Its last turn left bytes unread, so that it does not count as drained for a while.
    pub has_more: bool,
    /// Whether anything was ever sent to its owner.
    ever_answered: bool,
    /// Whether it is to be closed once no job is open on it.
    pub(super) expelled: bool,
    /// Since when its socket has taken nothing although something was offered, if that is so.
    blocked_since: Option<Seconds>,
    /// Why it is to be closed now, if it is; then nothing more is written on it.
    pub closing: Option<&'static str>,
}

impl OwnerLink {
    /// Whether nothing waits to be written or read on it, and no incomplete message is under way.
    pub(super) fn is_quiet(&self, now: Seconds) -> bool {
        let has_unread_bytes = self.stream.as_ref().is_some_and(|s| has_unread_bytes(s));
        let is_under_way = self.partial_at.is_some_and(|at| now - at < PARTIAL_GRACE_S);
        self.outbox.is_empty() && !has_unread_bytes && !is_under_way
    }

    /// Queues a message, for which there is room.
    fn push(&mut self, bytes: Vec<u8>, now: Seconds, tag: Tag) {
        self.outbox.push(bytes, tag);
        (self.ever_answered, self.used) = (true, now);
        self.wake.notify_one();
    }

    /// Writes what the socket takes now.
    ///
    /// # Errors
    /// Those of the socket: the connection is broken.
    pub fn write(&mut self, now: Seconds, sink: &impl Sink) -> io::Result<Written> {
        let before = self.outbox.unwritten();
        let result = self.outbox.write(sink, &mut Vec::new());
        let is_blocked = matches!(result, Ok(Written::Blocked));
        let has_taken_bytes = self.outbox.unwritten() < before;
        self.blocked_since = match self.blocked_since.filter(|_| !has_taken_bytes) {
            since if is_blocked => since.or(Some(now)),
            _ => None,
        };
        result
    }

    /// Offers what is queued to the socket at once.
    fn offer(&mut self, now: Seconds) {
        let Some(stream) = self.stream.clone() else { return };
        if let Err(error) = self.write(now, &DirectSink(&stream)) {
            tracing::debug!(%error, "an owner's connection broke while its answers were written");
            self.close_unwritten("the connection broke");
        }
    }

    /// Whether it holds memory that others share, and is not about to be closed.
    fn backlog_is_open(&self) -> bool {
        self.closing.is_none() && self.outbox.borrowed() > 0
    }

    fn backlog(&self, connection: u64) -> Backlog {
        Backlog { connection, borrowed: self.outbox.borrowed(), blocked_since: self.blocked_since }
    }

    /// Has the connection closed, and frees the memory of what can no longer be written on it.
    fn close_unwritten(&mut self, why: &'static str) {
        self.closing = Some(why);
        self.outbox.drop_unroutable();
        self.wake.notify_one();
    }
}

/// A release that waits for its owner to reconnect.
pub(super) struct Orphan {
    at: Seconds,
    ip: Option<IpAddr>,
    bytes: Vec<u8>,
}

impl Inner {
    /// Queues a message for the owner of a job, on the connection that the job came on. The end of a running
    /// task (`is_task_end`) goes to another connection of the same owner if that one is closed, or waits for
    /// the next one.
    pub(super) fn write_to_owner(&mut self, now: Seconds, owner: Owner, bytes: Vec<u8>, is_task_end: bool) {
        let Owner::Link(origin) = owner else { return };
        let ip = self.owner_addresses.get(&origin).copied();
        let same = |l: &OwnerLink| ip.is_none_or(|ip| ip == l.ip);
        let other = |links: &BTreeMap<u64, OwnerLink>| {
            links.iter().rev().find(|(_, l)| l.closing.is_none() && same(l)).map(|(&id, _)| id)
        };
        let to = match self.owners.get(&origin) {
            Some(link) if link.closing.is_none() || !is_task_end => Some(origin),
            _ if is_task_end => other(&self.owners),
            _ => return,
        };
        // The end of a running task is sent on another connection if this one closes before it is written.
        let tag = if is_task_end { Tag::Reroute } else { Tag::Plain };
        let unsent = match to {
            Some(to) => self.push_to_owner(now, to, bytes, tag),
            None => Some(bytes),
        };
        if let Some(bytes) = unsent.filter(|_| is_task_end) {
            if self.orphans.len() >= MAX_ORPHANS {
                self.orphans.pop_front();
            }
            self.orphans.push_back(Orphan { at: now, ip, bytes });
        }
    }

    /// Queues a message on an owner's connection. Returns it where that connection is to be closed, or is closed now
    /// because there is no room for the message.
    fn push_to_owner(&mut self, now: Seconds, id: u64, bytes: Vec<u8>, tag: Tag) -> Option<Vec<u8>> {
        self.make_queue_room(now, id, bytes.len());
        match self.owners.get_mut(&id) {
            Some(link) if link.closing.is_none() => {
                link.push(bytes, now, tag);
                None
            }
            _ => Some(bytes),
        }
    }

    /// Makes room for a message to an owner. Where memory is short, the sockets are offered first what is queued: a
    /// connection must not be closed for what its owner had no chance to read. Then those connections are closed that
    /// have been blocked for the longest time, which may be the owner's own.
    fn make_queue_room(&mut self, now: Seconds, id: u64, length: usize) {
        let has_room = |inner: &Inner| {
            inner.owners.get(&id).is_none_or(|link| link.closing.is_some() || link.outbox.has_room(length))
        };
        if has_room(self) {
            return;
        }
        self.owners.values_mut().filter(|link| link.backlog_is_open()).for_each(|link| link.offer(now));
        while !has_room(self) {
            let backlogs = self.owners.iter().filter(|(_, link)| link.closing.is_none());
            let to_close = backlogs::to_close(backlogs.map(|(&id, link)| link.backlog(id))).unwrap_or(id);
            if let Some(link) = self.owners.get_mut(&to_close) {
                self.counts.closed_unread += 1;
                link.close_unwritten(NOT_READ);
            }
        }
    }

    /// Registers a new connection of an owner, and queues the releases that waited for it. At the limit of
    /// connections the least useful one is closed: many silent connections, or owners that never disconnect,
    /// must not lock others out.
    pub fn open_owner(&mut self, now: Seconds, ip: IpAddr) -> Option<(u64, Arc<Notify>)> {
        if self.owners.len() >= self.bounds.owners {
            self.make_room()?;
        }
        let id = self.next_link_id;
        self.next_link_id += 1;
        let wake = Arc::new(Notify::new());
        let outbox = Outbox::new(self.bounds.owner_queues.reserve, self.owner_budget.clone());
        let mut link = OwnerLink {
            stream: None,
            outbox,
            wake: wake.clone(),
            ip,
            opened: now,
            used: now,
            partial_at: None,
            drained_at: now,
            has_more: false,
            ever_answered: false,
            expelled: false,
            blocked_since: None,
            closing: None,
        };
        self.orphans.retain_mut(|orphan| {
            let is_same_owner = orphan.ip.is_none_or(|other| other == ip);
            let is_sent = is_same_owner && link.outbox.has_room(orphan.bytes.len());
            if is_sent {
                link.push(std::mem::take(&mut orphan.bytes), now, Tag::Reroute);
            }
            !is_sent && now - orphan.at < ORPHAN_TTL_S
        });
        self.owner_addresses.insert(id, ip);
        self.owners.insert(id, link);
        self.forget_unused_addresses();
        Some((id, wake))
    }

    /// Forgets the addresses beyond the usual number, of the oldest connections that are closed and have no jobs.
    /// Where there are too few, the others are kept: connections and running tasks have bounds of their own.
    fn forget_unused_addresses(&mut self) {
        let surplus = self.owner_addresses.len().saturating_sub(MAX_OWNER_ADDRESSES);
        if surplus == 0 {
            return;
        }
        let is_unused = |id: &u64| {
            !self.owners.contains_key(id) && self.core.link_load(*id) == LinkLoad { open: 0, standing: 0 }
        };
        let unused: Vec<u64> = self.owner_addresses.keys().copied().filter(is_unused).take(surplus).collect();
        for id in unused {
            self.owner_addresses.remove(&id);
        }
    }

    /// Closes the least useful connection: a silent one before an idle one, an idle one before one with
    /// running tasks, and among equals the least recently used. Returns `None` where none can be closed.
    pub fn make_room(&mut self) -> Option<()> {
        let eviction_key = |(&id, link): (&u64, &OwnerLink)| {
            let link_load = self.core.link_load(id);
            let free = link_load.open == 0 && link.outbox.is_empty();
            free.then_some((
                (link.closing.is_none(), link_load.standing > 0, link.ever_answered, micros(link.used)),
                id,
            ))
        };
        let mut free: Vec<_> = self.owners.iter().filter_map(eviction_key).collect();
        free.sort_unstable();
        // Unread bytes have been acknowledged by the system and would be lost with the connection.
        let unread = |id: &u64| {
            self.owners.get(id).and_then(|l| l.stream.as_ref()).is_some_and(|s| has_unread_bytes(s))
        };
        let least = free.into_iter().map(|(_, id)| id).find(|id| !unread(id))?;
        if let Some(link) = self.owners.remove(&least) {
            link.wake.notify_one();
        }
        Some(())
    }

    /// Removes a closed connection of an owner; ends of running tasks that were not completely written move
    /// to another one.
    pub fn close_owner(&mut self, now: Seconds, id: u64) {
        let Some(mut link) = self.owners.remove(&id) else { return };
        for bytes in link.outbox.take_reroutable() {
            self.write_to_owner(now, Owner::Link(id), bytes, true);
        }
    }

    /// Why a connection can be closed, if it can.
    pub fn close_reason(&self, now: Seconds, id: u64) -> Option<&'static str> {
        let link = self.owners.get(&id)?;
        let link_load = self.core.link_load(id);
        if !link.outbox.is_empty() {
            return is_abandoned(now, link.blocked_since).then_some(NOT_READ);
        }
        if link_load.open > 0 {
            return None;
        }
        if link.expelled {
            return Some("the owner used a job id twice");
        }
        let silent =
            !link.ever_answered && link_load.standing == 0 && now - link.opened > UNANSWERED_TIMEOUT_S;
        let idle = link_load.standing == 0 && now - link.used > IDLE_TIMEOUT_S;
        silent.then_some("no request within the time limit").or(idle.then_some("idle"))
    }

    /// Whether a connection is drained: everything that its owner has sent, a close included, has been read,
    /// as of [`DRAINED_VALID_S`] ago or later.
    fn is_drained(&mut self, now: Seconds, owner_link: u64) -> bool {
        let Some(link) = self.owners.get_mut(&owner_link) else { return true };
        let may_be_unread = link.has_more || now - link.drained_at >= DRAINED_VALID_S;
        let Some(stream) = link.stream.as_ref().filter(|_| may_be_unread) else { return true };
        let is_drained = matches!(
            peek(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_shortage(&error)
        );
        if is_drained {
            (link.drained_at, link.has_more) = (now, false);
        }
        is_drained
    }

    /// Holds back the set-ups for a machine whose owners have sent bytes that are not read yet: these may
    /// cancel the job or close the connection.
    pub(super) fn hold_back_unread(&mut self, now: Seconds, machine: MachineId) {
        let Some(link) = self.machine_links.get(&machine) else { return };
        let link_id = link.link_id;
        for job in link.outbox.unsent().collect::<Vec<_>>() {
            let Some(Owner::Link(owner_link)) = self.core.job(job).map(|job| job.owner) else { continue };
            if self.is_drained(now, owner_link) {
                continue;
            }
            let set_up = self.machine_links.get_mut(&machine).and_then(|link| link.outbox.remove_set_up(job));
            if let Some(set_up) = set_up {
                self.counts.held_set_ups += 1;
                self.held.push(HeldSetUp { owner_link, machine, link_id, set_up });
            }
        }
    }

    /// Records that an owner's connection has no unread bytes, and queues its held set-ups again, except
    /// those that it has cancelled.
    pub fn owner_drained(&mut self, now: Seconds, owner_link: u64) {
        if let Some(link) = self.owners.get_mut(&owner_link) {
            (link.drained_at, link.has_more) = (now, false);
        }
        for HeldSetUp { machine, link_id, set_up, .. } in self.held.take(owner_link) {
            if self.machine_links.get(&machine).is_some_and(|link| link.link_id == link_id) {
                self.write_set_up(now, machine, set_up);
            }
        }
    }

    /// Queues a message on an owner's connection that is not an effect of the core, such as the answer to a
    /// health check.
    pub fn reply(&mut self, now: Seconds, link: u64, bytes: Vec<u8>) {
        if self.owners.contains_key(&link) {
            self.push_to_owner(now, link, bytes, Tag::Plain);
        }
    }
}
