//! The hub's side of the connections of clients: what waits to be written to each, which one makes room for another,
//! and orphaned answers: ends of tasks whose client has no connection now.

use super::held::HeldSetUp;
use super::Inner;
use crate::decide::limits::micros;
use crate::placer::{MachineId, Seconds};
use crate::state::Owner;
use crate::wire::errors::is_shortage;
use crate::wire::outbox::{Outbox, Tag};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Count. Releases that wait for an owner to come back.
const MOST_ORPHANS: usize = 4096;
/// Seconds. A release that found no owner for so long is of no use any more.
const ORPHAN_S: Seconds = 10.0;
/// Count. Connections of owners whose address is remembered after they closed.
const MOST_ORIGINS: usize = 4096;

/// Seconds. A connection on which nothing was said to its owner, and nothing is open, is closed after so long.
const NOTHING_SAID_S: Seconds = 2.0;
/// Seconds. So is one on which nothing is open and nothing stands: owners close theirs after 4 s.
const IDLE_S: Seconds = 8.0;

/// Seconds. The rest of a message comes within so long of what came of it before, where it comes at all.
const REST_S: Seconds = 0.1;
/// Seconds. What was read so long ago counts as read now.
const HEARD_S: Seconds = 0.05;
/// Seconds. An owner that has not read its last answer for so long never will.
const UNREAD_S: Seconds = 5.0;

/// Whether bytes have come on a connection that nobody has read yet; also where the system cannot tell now.
pub fn is_unread(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(count) => count > 0,
        Err(error) => is_shortage(&error),
    }
}

/// How many bytes have come, up to one; none at the end of the connection.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut one = [MaybeUninit::uninit(); 1];
    loop {
        match socket2::SockRef::from(stream).peek(&mut one) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// An owner's connection.
pub struct OwnerLink {
    /// Its socket, to see what has come on it; none in tests without one.
    pub stream: Option<Arc<TcpStream>>,
    pub outbox: Outbox,
    pub wake: Arc<Notify>,
    ip: IpAddr,
    opened: Seconds,
    /// When it last sent or was sent something of use.
    pub used: Seconds,
    /// When the last byte came of a message that is not whole.
    pub half_at: Option<Seconds>,
    /// When nothing of it was unread last.
    pub(super) heard_at: Seconds,
    /// Something was said to its owner.
    told: bool,
    /// It is closed once nothing is open on it.
    pub(super) expelled: bool,
    /// It is to be closed: its owner does not read, or its place is needed.
    pub closing: Option<&'static str>,
}

impl OwnerLink {
    /// Whether nothing waits to be written or read on it, and no message is under way.
    pub(super) fn is_quiet(&self, now: Seconds) -> bool {
        let is_unread = self.stream.as_ref().is_some_and(|s| is_unread(s));
        let is_under_way = self.half_at.is_some_and(|at| now - at < REST_S);
        self.outbox.is_empty() && !is_unread && !is_under_way
    }

    pub(super) fn push(&mut self, bytes: Vec<u8>, now: Seconds) {
        self.push_as(bytes, now, Tag::Plain);
    }

    fn push_as(&mut self, bytes: Vec<u8>, now: Seconds, tag: Tag) {
        if !self.outbox.push(bytes, tag) {
            self.closing = Some("it does not read its answers");
        }
        (self.told, self.used) = (true, now);
        self.wake.notify_one();
    }
}

pub(super) struct Orphan {
    at: Seconds,
    ip: Option<IpAddr>,
    bytes: Vec<u8>,
}

impl Inner {
    /// Sends to the connection that a job came on. The end of what stood goes to another of the same owner if
    /// need be, or waits for the next one that is opened.
    pub(super) fn write_owner(&mut self, now: Seconds, owner: Owner, bytes: Vec<u8>, standing: bool) {
        let Owner::Link(origin) = owner else { return };
        let ip = self.origins.get(&origin).copied();
        let same = |l: &OwnerLink| ip.is_none_or(|ip| ip == l.ip);
        let other = |links: &BTreeMap<u64, OwnerLink>| {
            links.iter().rev().find(|(_, l)| l.closing.is_none() && same(l)).map(|(&id, _)| id)
        };
        let to = match self.owners.get(&origin) {
            Some(link) if link.closing.is_none() || !standing => Some(origin),
            _ if standing => other(&self.owners),
            _ => return,
        };
        match to.and_then(|to| self.owners.get_mut(&to)) {
            // The end of what stood is due elsewhere should this connection end before it is written.
            Some(link) => link.push_as(bytes, now, if standing { Tag::Due } else { Tag::Plain }),
            None => {
                if self.orphans.len() >= MOST_ORPHANS {
                    self.orphans.pop_front();
                }
                self.orphans.push_back(Orphan { at: now, ip, bytes });
            }
        }
    }

    /// Books a new connection of an owner, which gets what waited for one. Where all places are taken, the one of
    /// least use makes room: silent crowds and owners that stay for good must not keep usual ones out.
    pub fn open_owner(&mut self, now: Seconds, ip: IpAddr) -> Option<(u64, Arc<Notify>)> {
        if self.owners.len() >= self.bounds.owners {
            self.make_room()?;
        }
        let id = self.next_link;
        self.next_link += 1;
        let wake = Arc::new(Notify::new());
        let outbox = Outbox::new(self.bounds.owner_queue);
        let mut link = OwnerLink {
            stream: None,
            outbox,
            wake: wake.clone(),
            ip,
            opened: now,
            used: now,
            half_at: None,
            heard_at: now,
            told: false,
            expelled: false,
            closing: None,
        };
        self.orphans.retain_mut(|orphan| {
            let fits = orphan.ip.is_none_or(|other| other == ip);
            if fits {
                link.push_as(std::mem::take(&mut orphan.bytes), now, Tag::Due);
            }
            !fits && now - orphan.at < ORPHAN_S
        });
        self.origins.insert(id, ip);
        if self.origins.len() > MOST_ORIGINS {
            self.origins.pop_first();
        }
        self.owners.insert(id, link);
        Some((id, wake))
    }

    /// Closes the connection that is of least use: silent before idle, and idle before one on which something stands;
    /// of these the one that was used last the longest ago. Nothing where each has something open.
    pub fn make_room(&mut self) -> Option<()> {
        let use_of = |(&id, link): (&u64, &OwnerLink)| {
            let owed = self.core.owed(id);
            let free = owed.open == 0 && link.outbox.is_empty();
            free.then_some(((link.closing.is_none(), owed.standing > 0, link.told, micros(link.used)), id))
        };
        let mut free: Vec<_> = self.owners.iter().filter_map(use_of).collect();
        free.sort_unstable();
        // What has come on it unread is taken, and would be lost with it.
        let unread =
            |id: &u64| self.owners.get(id).and_then(|l| l.stream.as_ref()).is_some_and(|s| is_unread(s));
        let least = free.into_iter().map(|(_, id)| id).find(|id| !unread(id))?;
        if let Some(link) = self.owners.remove(&least) {
            link.wake.notify_one();
        }
        Some(())
    }

    /// Books the end of an owner's connection; ends of what stood that were not written whole on it go to another.
    pub fn close_owner(&mut self, now: Seconds, id: u64) {
        let Some(mut link) = self.owners.remove(&id) else { return };
        for bytes in link.outbox.take_due() {
            self.write_owner(now, Owner::Link(id), bytes, true);
        }
    }

    /// Why a connection is of no more use, where it is not.
    pub fn useless(&self, now: Seconds, id: u64) -> Option<&'static str> {
        let link = self.owners.get(&id)?;
        let owed = self.core.owed(id);
        if !link.outbox.is_empty() {
            return (now - link.used > UNREAD_S).then_some("it does not read its answers");
        }
        if owed.open > 0 {
            return None;
        }
        if link.expelled {
            return Some("it used an id twice");
        }
        let silent = !link.told && owed.standing == 0 && now - link.opened > NOTHING_SAID_S;
        let idle = owed.standing == 0 && now - link.used > IDLE_S;
        silent.then_some("nothing of use came on it").or(idle.then_some("it is idle"))
    }

    /// Whether all that a client said has been read, its end included, up to a moment ago.
    fn is_heard(&mut self, now: Seconds, client: u64) -> bool {
        let Some(link) = self.owners.get_mut(&client) else { return true };
        let Some(stream) = link.stream.as_ref().filter(|_| now - link.heard_at >= HEARD_S) else {
            return true;
        };
        let is_heard = matches!(peek(stream), Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_shortage(&error));
        if is_heard {
            link.heard_at = now;
        }
        is_heard
    }

    /// Holds back the set-ups for a machine whose clients said something that is not read: that may be their end.
    pub(super) fn hold_unheard(&mut self, now: Seconds, machine: MachineId) {
        let Some(link) = self.nodes.get(&machine) else { return };
        let life = link.life;
        for job in link.outbox.unsent().collect::<Vec<_>>() {
            let Some(Owner::Link(client)) = self.core.job(job).map(|job| job.owner) else { continue };
            if self.is_heard(now, client) {
                continue;
            }
            let set_up = self.nodes.get_mut(&machine).and_then(|link| link.outbox.take_out(job));
            if let Some(set_up) = set_up {
                self.counts.held_set_ups += 1;
                self.held.push(HeldSetUp { client, machine, life, set_up });
            }
        }
    }

    /// Nothing that a client said is unread: what was held back for it goes on, but for what it gave up.
    pub fn client_heard(&mut self, now: Seconds, client: u64) {
        if let Some(link) = self.owners.get_mut(&client) {
            link.heard_at = now;
        }
        for HeldSetUp { machine, life, set_up, .. } in self.held.take(client) {
            if self.nodes.get(&machine).is_some_and(|link| link.life == life) {
                self.write_set_up(now, machine, set_up);
            }
        }
    }

    /// Answers a connection directly.
    pub fn say(&mut self, now: Seconds, link: u64, bytes: Vec<u8>) {
        if let Some(link) = self.owners.get_mut(&link) {
            link.push(bytes, now);
        }
    }
}
