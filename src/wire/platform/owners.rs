//! Connections of owners: bytes in, inputs out; answers back.

use super::node::{self, cause};
use super::owner::{self, kind, Malformed, Message, SetUp};
use crate::placer::*;
use crate::state::{Ask, Core, Input, Owner, Spec};
use crate::wire::arrived::TURN_BYTES;
use crate::wire::errors::is_shortage;
use crate::wire::hub::{is_unread, Hub, Inner};
use crate::wire::outbox::{Written, BUFFERS_AGAIN};
use bytes::{Buf, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;
/// Wait after a failed accept, such as for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Count. Failed accepts of connections that wait as a planner stops to listen.
const MOST_ACCEPT_TRIES: u32 = 100;
/// Time between looks at whether a connection is of use still.
const LOOK: Duration = Duration::from_millis(250);
/// A message that is not whole so long after its first byte never will be.
const HALF: Duration = Duration::from_millis(1500);
/// After a message that cannot be used, so long nothing is read from its connection: at full speed such messages
/// would take the time of usual owners.
const PENALTY: Duration = Duration::from_millis(50);
/// Count. Messages that cannot be used after which a connection is closed.
const MOST_FAULTS: u32 = 16;

/// Accepts owners until the planner that stops takes no more. One that finds no place is closed at once, so that it need not
/// wait.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = hub.stop_listening.notified() => break,
        };
        match accepted {
            Ok((stream, peer)) => take(&hub, stream, peer),
            Err(error) if is_shortage(&error) => {
                // Most likely no descriptor is left: one that is of no use is given back.
                tracing::debug!(%error, "cannot accept");
                hub.lock().make_room();
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
            Err(error) => {
                // The next one may be as good as ever.
                tracing::debug!(%error, "cannot accept this one");
                tokio::task::yield_now().await;
            }
        }
    }
    if let Err(error) = take_waiting(&hub, &listener).await {
        tracing::debug!(%error, "cannot accept what waits");
    }
}

/// Serves an owner's new connection, where there is a place for it.
fn take(hub: &Arc<Hub>, stream: TcpStream, peer: SocketAddr) {
    let mut inner = hub.lock();
    let Some((id, wake)) = inner.open_owner(hub.now(), peer.ip()) else { return };
    let stream = Arc::new(stream);
    if let Some(link) = inner.owners.get_mut(&id) {
        link.stream = Some(stream.clone());
    }
    tokio::spawn(connection(hub.clone(), stream, peer, id, wake));
}

/// Takes the connections that nobody has accepted yet, as the system has them: what was sent on them is taken.
async fn take_waiting(hub: &Arc<Hub>, listener: &TcpListener) -> io::Result<()> {
    let mut tries = 0;
    loop {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, peer)) => {
                socket.set_nonblocking(true)?;
                let peer = peer.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
                take(hub, TcpStream::from_std(socket.into())?, peer);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if tries >= MOST_ACCEPT_TRIES => return Err(error),
            Err(error) => {
                tries += 1;
                if is_shortage(&error) {
                    hub.lock().make_room();
                    // The task that has the descriptor gives it back.
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

async fn connection(hub: Arc<Hub>, stream: Arc<TcpStream>, peer: SocketAddr, id: u64, wake: Arc<Notify>) {
    let _ = stream.set_nodelay(true);
    if let Err(error) = talk(&hub, &stream, id, &wake).await {
        tracing::debug!(%peer, %error, "the connection of an owner ended");
    }
    hub.lock().close_owner(hub.now(), id);
    // A client that closes with set-ups open has given them up.
    hub.apply(Input::OwnerGone { link: id });
}

async fn talk(hub: &Hub, stream: &TcpStream, id: u64, wake: &Notify) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut half_since = None;
    let mut faults = 0;
    // Why nothing more is heard: what was open has its answer, and the answers are still to be written.
    let mut over: Option<io::Error> = None;
    let mut read_from = Instant::now();
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let written = {
            let mut inner = hub.lock();
            let Some(link) = inner.owners.get_mut(&id) else { return Ok(()) };
            let written = link.outbox.write(stream, &mut Vec::new())?;
            if let Some(why) = link.closing {
                return Err(io::Error::other(why));
            }
            written
        };
        if written == Written::Short {
            tokio::time::sleep(BUFFERS_AGAIN).await;
        }
        let waits = written != Written::All;
        if let Some(over) = over.take_if(|_| !waits) {
            return Err(over);
        }
        let interest = match (waits, over.is_some()) {
            (false, _) => Interest::READABLE,
            (true, false) => Interest::READABLE | Interest::WRITABLE,
            (true, true) => Interest::WRITABLE,
        };
        let ready = async {
            tokio::time::sleep_until(read_from).await;
            stream.ready(interest).await
        };
        tokio::select! {
            () = wake.notified() => {}
            _ = looks.tick() => {
                let useless = hub.lock().useless(hub.now(), id);
                // A request that has come, though not yet to this program, has been taken.
                let useless = useless.filter(|_| !is_unread(stream));
                if let Some(why) = useless {
                    return Err(io::Error::other(why));
                }
                if half_since.is_some_and(|since: Instant| since.elapsed() > HALF) {
                    half_since = None;
                    over = Some(hear_no_more(hub, id, io::Error::other("half a message")));
                }
            }
            ready = ready => {
                if ready?.is_readable() && over.is_none() {
                    let heard = match hear_all(hub, id, stream, &mut buffer) {
                        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                            half_since = None;
                            over = Some(hear_no_more(hub, id, error));
                            continue;
                        }
                        heard => heard?,
                    };
                    let Turn { whole, bad, ended } = heard;
                    if ended {
                        return Ok(());
                    }
                    if bad > 0 {
                        faults += bad;
                        read_from = Instant::now() + PENALTY;
                    }
                    if faults >= MOST_FAULTS {
                        let many = io::Error::other("too many messages that cannot be used");
                        over = Some(hear_no_more(hub, id, many));
                    }
                    half_since = match buffer.is_empty() {
                        true => None,
                        false if whole > 0 => Some(Instant::now()),
                        false => half_since.or_else(|| Some(Instant::now())),
                    };
                    if let Some(link) = hub.lock().owners.get_mut(&id) {
                        link.half_at = (!buffer.is_empty()).then(|| hub.now());
                    }
                    if buffer.is_empty() {
                        buffer = BytesMut::new(); // Idle connections keep no memory.
                    }
                }
            }
        }
    }
}

/// Nothing more is heard on a connection, for that reason; what was asked on it before is answered all the same.
fn hear_no_more(hub: &Hub, id: u64, why: io::Error) -> io::Error {
    hub.apply(Input::OwnerFaulty { link: id });
    why
}

/// What one look at a connection brought.
#[derive(Default)]
struct Turn {
    /// Count. Whole messages.
    whole: u32,
    /// Count. Those of them that cannot be used.
    bad: u32,
    /// Its client closed it.
    ended: bool,
}

/// Takes all that has come on a connection before anything of it leaves for a machine: were part of it left unread, what the
/// rest asks for would begin though the client's end stands behind it.
fn hear_all(hub: &Hub, id: u64, stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Turn> {
    let (mut turn, mut read) = (Turn::default(), 0);
    while read < TURN_BYTES && turn.bad < MOST_FAULTS {
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => {
                turn.ended = true;
                break;
            }
            Ok(count) => {
                read += count;
                let (whole, bad) = hear(hub, id, buffer)?;
                turn.whole += whole;
                turn.bad += bad;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                hub.lock().client_heard(hub.now(), id);
                break;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            // The socket is as readable as before.
            Err(error) if is_shortage(&error) => break,
            Err(error) => return Err(error),
        }
    }
    Ok(turn)
}

/// Takes all whole messages that have come; tells how many, and how many of them cannot be used.
fn hear(hub: &Hub, id: u64, buffer: &mut BytesMut) -> io::Result<(u32, u32)> {
    let (mut whole, mut bad) = (0, 0);
    let mut inner = hub.lock();
    loop {
        let framing = |e: Malformed| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
        let Some((length, message)) = owner::take(buffer).map_err(framing)? else { return Ok((whole, bad)) };
        whole += 1;
        if let Err(error) = message_from(hub, &mut inner, id, &message) {
            // The frame is whole, so the connection goes on; a set-up still gets its one answer.
            tracing::debug!(kind = message.kind, %error, "a message of an owner cannot be used");
            bad += 1;
            if message.kind == kind::SET_UP {
                inner.say(hub.now(), id, owner::release(message.task, cause::UNREADABLE, None));
            }
        }
        buffer.advance(length);
        if bad >= MOST_FAULTS {
            buffer.clear();
            return Ok((whole, bad));
        }
    }
}

fn message_from(hub: &Hub, inner: &mut Inner, id: u64, message: &Message<'_>) -> Result<(), Malformed> {
    let job = RequestId(message.task);
    let now = hub.now();
    match message.kind {
        kind::SET_UP => {
            let came_at = hub.came_at(inner, id);
            let input = request(&mut inner.core, came_at, id, message)?;
            if let Some(link) = inner.owners.get_mut(&id) {
                link.used = now;
            }
            hub.apply_in(inner, input);
        }
        kind::RELEASE => {
            let cause = message.cause()?.unwrap_or(cause::OVER);
            hub.apply_in(inner, Input::Cancel { job, cause });
        }
        kind::TEST => {
            let passed = !inner.draining;
            inner.say(now, id, owner::tested(message.task, passed));
        }
        kind::PROGRESS | kind::RELEASE_HEARD | kind::NOTE | kind::MOVE | kind::TESTED => {}
        _ => return Err(Malformed::Value("type")),
    }
    Ok(())
}

/// A set-up as an input, where it is one that can be taken.
pub(crate) fn request(
    core: &mut Core,
    now: Seconds,
    link: u64,
    message: &Message<'_>,
) -> Result<Input, Malformed> {
    let job = RequestId(message.task);
    let set_up = message.set_up()?;
    let at = set_up.at.clone();
    let class = core.words().class(&set_up.class).ok_or(Malformed::Value("class"))?;
    let ask = ask(job, link, now, class, set_up);
    // What runs already has been admitted once, and waits for nothing.
    if let Some(name) = at {
        return Ok(Input::Adopt { ask, machine: core.words().machine(&name) });
    }
    core.admits(now, &ask).map_err(Malformed::Value)?;
    if !node::fits(job, &ask.spec) {
        return Err(Malformed::Value("description"));
    }
    Ok(Input::Submit(ask))
}

fn ask(job: RequestId, link: u64, now: Seconds, class: usize, set_up: SetUp) -> Ask {
    let task = Task {
        class,
        tenant: None,
        service: ServiceId(set_up.service),
        room: Room { cores: set_up.cores, memory: set_up.memory },
        deadline: now + set_up.wait_ms as f64 / 1e3,
        life_s: None,
        limits: TaskLimits::default(),
    };
    let service = format!("{:016x}", set_up.service);
    let SetUp { class, name, key, body, .. } = set_up;
    let spec = Spec { class, name, service, key, body, digest: 0 };
    Ask { job, owner: Owner::Link(link), spec: Arc::new(spec), task }
}
