//! Connections of owners (the clients of jobs) on the platform protocol: accepts them, turns their messages
//! into inputs of the core, and writes the answers back.

use super::node::{self, cause};
use super::owner::{self, kind, Malformed, Message, SetUp};
use crate::placer::*;
use crate::state::{Core, Input, JobSubmission, Owner, Spec};
use crate::wire::errors::is_shortage;
use crate::wire::hub::{has_unread_bytes, Hub, Inner};
use crate::wire::outbox::{Written, NO_BUFFER_RETRY};
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
/// Count and bytes. Most messages of one connection that are processed before others get their turn, but for those that
/// one read brings.
const MAX_TURN_MESSAGES: u32 = 64;
const MAX_TURN_BYTES: usize = 4 * owner::MAX_MESSAGE_BYTES;
/// Wait before the next accept after one that failed because a resource, such as a descriptor, ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Count. Failed accepts that are tolerated while a stopping planner empties the listen backlog.
const MAX_ACCEPT_FAILURES: u32 = 100;
/// Time between two checks whether a connection is still in use.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for a complete message, from its first byte.
const PARTIAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause in reading from a connection after an invalid message: at full speed such messages would use up the
/// processing time of well-behaved owners.
const INVALID_PAUSE: Duration = Duration::from_millis(50);
/// Count. Invalid messages after which a connection is closed.
const MAX_INVALID: u32 = 16;

/// Accepts owners until the planner stops listening. A connection beyond the limit is closed at once, so that
/// its owner does not wait.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = hub.stop_listening.notified() => break,
        };
        match accepted {
            Ok((stream, peer)) => accept_owner(&hub, stream, peer),
            Err(error) if is_shortage(&error) => {
                // Most likely no descriptor is left: an unused connection is closed to free one.
                tracing::debug!(%error, "cannot accept an owner: out of resources");
                hub.lock().make_room();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(error) => {
                // The failure concerns this connection alone; the next one may succeed.
                tracing::debug!(%error, "cannot accept an owner");
                tokio::task::yield_now().await;
            }
        }
    }
    if let Err(error) = accept_backlog(&hub, &listener).await {
        tracing::debug!(%error, "cannot accept the owners in the listen backlog");
    }
}

/// Registers a new connection of an owner and serves it, unless the limit of connections is reached.
fn accept_owner(hub: &Arc<Hub>, stream: TcpStream, peer: SocketAddr) {
    let mut inner = hub.lock();
    let Some((id, wake)) = inner.open_owner(hub.now(), peer.ip()) else { return };
    let stream = Arc::new(stream);
    if let Some(link) = inner.owners.get_mut(&id) {
        link.stream = Some(stream.clone());
    }
    tokio::spawn(connection(hub.clone(), stream, peer, id, wake));
}

/// Accepts the connections that wait in the listen backlog. The system has acknowledged what was sent on
/// them, so the planner has to answer it.
async fn accept_backlog(hub: &Arc<Hub>, listener: &TcpListener) -> io::Result<()> {
    let mut tries = 0;
    loop {
        match socket2::SockRef::from(listener).accept() {
            Ok((socket, peer)) => {
                socket.set_nonblocking(true)?;
                let peer = peer.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
                accept_owner(hub, TcpStream::from_std(socket.into())?, peer);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if tries >= MAX_ACCEPT_FAILURES => return Err(error),
            Err(error) => {
                tries += 1;
                if is_shortage(&error) {
                    hub.lock().make_room();
                    // Lets the task that owns the descriptor run and close it.
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

/// Runs one owner's connection, and reports its end to the core.
async fn connection(hub: Arc<Hub>, stream: Arc<TcpStream>, peer: SocketAddr, id: u64, wake: Arc<Notify>) {
    let _ = stream.set_nodelay(true);
    if let Err(error) = serve_connection(&hub, &stream, id, &wake).await {
        tracing::debug!(%peer, %error, "connection of an owner ended");
    }
    hub.lock().close_owner(hub.now(), id);
    // A client that closes its connection has cancelled its open set-ups.
    hub.apply(Input::OwnerGone { link: id });
}

/// Reads and writes one connection until it ends.
async fn serve_connection(hub: &Hub, stream: &TcpStream, id: u64, wake: &Notify) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut partial_since = None;
    let mut invalid_total = 0;
    // Why reading has stopped. The connection stays open until the answers to its open jobs are written.
    let mut closing_error: Option<io::Error> = None;
    let mut read_from = Instant::now();
    let mut check_timer = tokio::time::interval(CHECK_INTERVAL);
    check_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let written = {
            let mut inner = hub.lock();
            let Some(link) = inner.owners.get_mut(&id) else { return Ok(()) };
            if let Some(why) = link.closing {
                return Err(io::Error::other(why));
            }
            link.write(hub.now(), stream)?
        };
        if written == Written::NoBuffers {
            tokio::time::sleep(NO_BUFFER_RETRY).await;
        }
        let waits = written != Written::All;
        if let Some(closing_error) = closing_error.take_if(|_| !waits) {
            return Err(closing_error);
        }
        let interest = match (waits, closing_error.is_some()) {
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
            _ = check_timer.tick() => {
                let close_reason = hub.lock().close_reason(hub.now(), id);
                // A request in the receive buffer has been acknowledged by the system, so the connection is
                // in use.
                let close_reason = close_reason.filter(|_| !has_unread_bytes(stream));
                if let Some(why) = close_reason {
                    return Err(io::Error::other(why));
                }
                if partial_since.is_some_and(|since: Instant| since.elapsed() > PARTIAL_TIMEOUT) {
                    partial_since = None;
                    closing_error = Some(stop_reading(
                        hub,
                        id,
                        io::Error::other("the rest of a message did not arrive in time"),
                    ));
                }
            }
            ready = ready => {
                if ready?.is_readable() && closing_error.is_none() {
                    let result = match read_all(hub, id, stream, &mut buffer) {
                        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                            partial_since = None;
                            closing_error = Some(stop_reading(hub, id, error));
                            continue;
                        }
                        result => result?,
                    };
                    let ReadResult { complete, invalid, drained, closed } = result;
                    if closed {
                        return Ok(());
                    }
                    if invalid > 0 {
                        invalid_total += invalid;
                        read_from = Instant::now() + INVALID_PAUSE;
                    }
                    if invalid_total >= MAX_INVALID {
                        let many = io::Error::other("too many invalid messages");
                        closing_error = Some(stop_reading(hub, id, many));
                    }
                    partial_since = match buffer.is_empty() {
                        true => None,
                        false if complete > 0 => Some(Instant::now()),
                        false => partial_since.or_else(|| Some(Instant::now())),
                    };
                    if let Some(link) = hub.lock().owners.get_mut(&id) {
                        link.partial_at = (!buffer.is_empty()).then(|| hub.now());
                        link.has_more |= !drained;
                    }
                    if buffer.is_empty() {
                        buffer = BytesMut::new(); // Idle connections keep no memory.
                    }
                    if !drained {
                        // The other connections are served first. Until this one is read to its end, its set-ups are
                        // held back.
                        tokio::task::yield_now().await;
                    }
                }
            }
        }
    }
}

/// Stops reading from a connection and returns the reason `why`; open jobs of the connection are still
/// answered.
fn stop_reading(hub: &Hub, id: u64, why: io::Error) -> io::Error {
    hub.apply(Input::OwnerFaulty { link: id });
    why
}

/// The result of reading a connection in one turn.
#[derive(Default)]
struct ReadResult {
    /// Count. Complete messages.
    complete: u32,
    /// Count. Invalid ones among them.
    invalid: u32,
    /// Everything that had arrived was read.
    drained: bool,
    /// The client closed the connection.
    closed: bool,
}

/// Reads what has arrived on a connection, up to the bounds of a turn.
fn read_all(hub: &Hub, id: u64, stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<ReadResult> {
    let (mut read_result, mut read) = (ReadResult::default(), 0);
    while read < MAX_TURN_BYTES
        && read_result.complete < MAX_TURN_MESSAGES
        && read_result.invalid < MAX_INVALID
    {
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => {
                read_result.closed = true;
                break;
            }
            Ok(count) => {
                read += count;
                let (complete, invalid) = process_messages(hub, id, buffer)?;
                read_result.complete += complete;
                read_result.invalid += invalid;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                hub.lock().owner_drained(hub.now(), id);
                read_result.drained = true;
                break;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            // The socket stays readable, so the next turn reads it again.
            Err(error) if is_shortage(&error) => break,
            Err(error) => return Err(error),
        }
    }
    Ok(read_result)
}

/// Processes all complete messages in the buffer; returns how many there were, and how many of them were
/// invalid.
fn process_messages(hub: &Hub, id: u64, buffer: &mut BytesMut) -> io::Result<(u32, u32)> {
    let (mut complete, mut invalid) = (0, 0);
    let mut inner = hub.lock();
    loop {
        let framing = |e: Malformed| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
        let Some((length, message)) = owner::take(buffer).map_err(framing)? else {
            return Ok((complete, invalid));
        };
        complete += 1;
        if let Err(error) = apply_message(hub, &mut inner, id, &message) {
            // The framing is intact, so the connection stays open; an invalid set-up still gets its one
            // answer.
            tracing::debug!(kind = message.kind, %error, "invalid message from an owner");
            invalid += 1;
            if message.kind == kind::SET_UP {
                inner.reply(hub.now(), id, owner::release(message.task, cause::UNREADABLE, None));
            }
        }
        buffer.advance(length);
        if invalid >= MAX_INVALID {
            buffer.clear();
            return Ok((complete, invalid));
        }
    }
}

/// Applies one message of an owner.
fn apply_message(hub: &Hub, inner: &mut Inner, id: u64, message: &Message<'_>) -> Result<(), Malformed> {
    let job = RequestId(message.task);
    let now = hub.now();
    match message.kind {
        kind::SET_UP => {
            let earliest_arrival = hub.earliest_arrival(inner, id);
            let input = set_up_input(&mut inner.core, earliest_arrival, id, message)?;
            if let Some(link) = inner.owners.get_mut(&id) {
                link.used = now;
            }
            hub.apply_in(inner, input);
        }
        kind::RELEASE => {
            let cause = message.cause()?.unwrap_or(cause::OVER);
            hub.apply_in(inner, Input::OwnerRelease { link: id, job, cause });
        }
        kind::TEST => {
            let passed = !inner.draining;
            inner.reply(now, id, owner::tested(message.task, passed));
        }
        kind::PROGRESS | kind::RELEASE_ACK | kind::NOTE | kind::MOVE | kind::TESTED => {}
        _ => return Err(Malformed::Value("type")),
    }
    Ok(())
}

/// Turns a set-up into an input of the core, or returns why it is invalid.
pub(crate) fn set_up_input(
    core: &mut Core,
    now: Seconds,
    link: u64,
    message: &Message<'_>,
) -> Result<Input, Malformed> {
    let job = RequestId(message.task);
    let set_up = message.set_up()?;
    let at = set_up.at.clone();
    let class = core.vocabulary().class(&set_up.class).ok_or(Malformed::Value("class"))?;
    let ask = submission(job, link, now, class, set_up);
    // A task that already runs on a machine was admitted before, and needs no admission check.
    if let Some(name) = at {
        let machine = core.machine_named_by_owner(&name).ok_or(Malformed::Value("at"))?;
        return Ok(Input::Adopt { ask, machine });
    }
    core.admits(now, &ask).map_err(Malformed::Value)?;
    if !node::fits(job, &ask.spec) {
        return Err(Malformed::Value("description"));
    }
    Ok(Input::Submit(ask))
}

/// The job that a set-up asks for; the deadline counts from `now`.
fn submission(job: RequestId, link: u64, now: Seconds, class: usize, set_up: SetUp) -> JobSubmission {
    let task = Task {
        class,
        tenant: None,
        service: ServiceId(set_up.service),
        room: Room { cores: set_up.cores, memory: set_up.memory },
        deadline: now + set_up.wait_ms as f64 / 1e3,
        expected_runtime_s: None,
        limits: TaskLimits::default(),
    };
    let service = format!("{:016x}", set_up.service);
    let SetUp { class, name, key, body, .. } = set_up;
    let spec = Spec { class, name, service, key, body, digest: 0 };
    JobSubmission { job, owner: Owner::Link(link), spec: Arc::new(spec), task }
}
