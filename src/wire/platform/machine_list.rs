//! Follows the machine list of the discovery service (the notice board of the `board` setting): connects,
//! resumes after the last known event, and reconnects after every failure.

use super::discovery::{self, Event, KnownEvents, Line, MAX_LINE_BYTES};
use super::node::take_line;
use crate::placer::ListKind;
use crate::wire::errors::is_transient;
use crate::wire::hub::Hub;
use crate::wire::socket_read::read_some;
use bytes::{Buf, BytesMut};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::time::{timeout, timeout_at, Instant};

/// The service writes a line every second; a connection without a sign of life for this long is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// This many bytes of an incomplete line count as a sign of life, as a complete line does: a long list may
/// take longer to arrive than the silence limit.
const SIGN_OF_LIFE_BYTES: usize = 64 * 1024;
/// Time limit of a dial.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Back-off between attempts to connect: the first delay, and the longest.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// The address of the discovery service, and the events that the configuration holds.
#[derive(Clone, Debug)]
pub struct Source {
    pub address: Option<String>,
    pub known: Arc<KnownEvents>,
}

/// Follows the machine list for as long as the program runs. After a reload it follows the address in the new
/// configuration; the revision numbers continue there.
pub async fn follow_machine_list(hub: Arc<Hub>, mut source: Receiver<Source>, mut rev: u64) {
    let mut wait = RETRY_DELAYS.0;
    loop {
        let Source { address, known } = source.borrow_and_update().clone();
        // A new configuration may hold events that the previous service never sent.
        for event in known.notices.iter().filter(|event| event.rev > rev) {
            apply_event(&hub, event, EventTiming::Earlier);
        }
        rev = rev.max(known.rev);
        let before = rev;
        let followed = async {
            let Some(address) = &address else { return std::future::pending().await };
            if let Err(error) = watch(&hub, address, &mut rev).await {
                tracing::info!(%error, rev, "connection to the discovery service failed");
            }
            wait = if rev > before { RETRY_DELAYS.0 } else { (wait * 2).min(RETRY_DELAYS.1) };
            tokio::time::sleep(wait).await;
        };
        tokio::select! {
            () = followed => {}
            source_changed = source.changed() => {
                if source_changed.is_err() {
                    return;
                }
                wait = RETRY_DELAYS.0;
            }
        }
    }
}

/// Follows the list on one connection until it fails; `rev` is kept at the last event that was applied.
async fn watch(hub: &Hub, address: &str, rev: &mut u64) -> io::Result<()> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    timeout(SILENCE_TIMEOUT, write_all(&stream, &discovery::watch(*rev))).await??;
    let (mut buffer, mut is_live) = (BytesMut::new(), false);
    // Bytes of an incomplete line count as a sign of life only once there are SIGN_OF_LIFE_BYTES of them.
    let (mut silent_at, mut bytes_since_sign) = (Instant::now() + SILENCE_TIMEOUT, 0);
    loop {
        let read = timeout_at(silent_at, read_some(&stream, &mut buffer)).await??;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes_since_sign += read;
        if bytes_since_sign >= SIGN_OF_LIFE_BYTES {
            (silent_at, bytes_since_sign) = (Instant::now() + SILENCE_TIMEOUT, 0);
        }
        loop {
            let too_long =
                |e| io::Error::new(io::ErrorKind::InvalidData, format!("{e}: over {MAX_LINE_BYTES} bytes"));
            let Some((length, line)) = take_line(&buffer, discovery::MAX_LINE_BYTES).map_err(too_long)?
            else {
                break;
            };
            (silent_at, bytes_since_sign) = (Instant::now() + SILENCE_TIMEOUT, 0);
            match discovery::read(line) {
                Ok(Line::Event(event)) if event.rev > *rev => {
                    *rev = event.rev;
                    apply_event(hub, &event, if is_live { EventTiming::Live } else { EventTiming::Earlier });
                }
                // The heartbeat names a later revision than was received: the events between were lost.
                Ok(Line::Heartbeat(last)) if last > *rev => return Err(io::ErrorKind::InvalidData.into()),
                // A heartbeat with the known revision means that no older event is still to be sent.
                Ok(Line::Heartbeat(last)) => is_live |= last == *rev,
                Ok(Line::Event(_)) => {}
                // The event is requested again on the next connection.
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
            buffer.advance(length);
        }
    }
}

/// Writes all bytes. Unlike the runtime's `write_all` it does not take a short write to mean that the socket
/// is full.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if is_transient(&error) => tokio::task::yield_now().await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// When an event happened, relative to when it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventTiming {
    /// It is the persisted list of the configuration.
    FromConfig,
    /// It happened earlier, at an unknown time.
    Earlier,
    /// It has just happened: the service had already sent all older events.
    Live,
}

/// Applies an event of the list to the hub, or the persisted list as such.
pub fn apply_event(hub: &Hub, event: &Event, timing: EventTiming) {
    let mut inner = hub.lock();
    let (event_kind, notices) = event.notices(inner.core.vocabulary());
    let kind = if timing == EventTiming::FromConfig { ListKind::Persisted } else { event_kind };
    hub.apply_list(&mut inner, kind, notices, timing == EventTiming::Live);
}
