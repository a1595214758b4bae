//! Follows the notice board, from the last event that is known, through every break.

use super::board::{self, Event, Known, Line};
use super::node::take_line;
use crate::placer::ListKind;
use crate::wire::arrived::read_some;
use crate::wire::errors::is_transient;
use crate::wire::hub::Hub;
use bytes::{Buf, BytesMut};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::time::{timeout, timeout_at, Instant};

/// The board writes a line every second: after this long it is taken to be silent.
const SILENCE: Duration = Duration::from_millis(2200);
/// Bytes of one line that are a sign of life as a whole line is: a long list may take longer than that silence.
const SIGN_BYTES: usize = 64 * 1024;
/// A connection that has not come up by then is tried anew.
const DIAL: Duration = Duration::from_millis(500);
/// Waits between tries: the first, and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Where the notice board is, and what the configuration knows of it.
#[derive(Clone, Debug)]
pub struct Source {
    pub address: Option<String>,
    pub known: Arc<Known>,
}

/// Follows the board for as long as the program runs, to wherever it moves. The numbers go on.
pub async fn follow(hub: Arc<Hub>, mut source: Receiver<Source>, mut rev: u64) {
    let mut wait = AGAIN.0;
    loop {
        let Source { address, known } = source.borrow_and_update().clone();
        // A new configuration may know of events that the old board never told.
        for event in known.notices.iter().filter(|event| event.rev > rev) {
            take_in(&hub, event, Telling::Earlier);
        }
        rev = rev.max(known.rev);
        let before = rev;
        let followed = async {
            let Some(address) = &address else { return std::future::pending().await };
            if let Err(error) = watch(&hub, address, &mut rev).await {
                tracing::info!(%error, rev, "the notice board broke off");
            }
            wait = if rev > before { AGAIN.0 } else { (wait * 2).min(AGAIN.1) };
            tokio::time::sleep(wait).await;
        };
        tokio::select! {
            () = followed => {}
            moved = source.changed() => {
                if moved.is_err() {
                    return;
                }
                wait = AGAIN.0;
            }
        }
    }
}

async fn watch(hub: &Hub, address: &str, rev: &mut u64) -> io::Result<()> {
    let stream = timeout(DIAL, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    timeout(SILENCE, write_all(&stream, &board::watch(*rev))).await??;
    let (mut buffer, mut is_live) = (BytesMut::new(), false);
    // Bytes that never make a line are silence, too.
    let (mut silent_at, mut came) = (Instant::now() + SILENCE, 0);
    loop {
        let read = timeout_at(silent_at, read_some(&stream, &mut buffer)).await??;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        came += read;
        if came >= SIGN_BYTES {
            (silent_at, came) = (Instant::now() + SILENCE, 0);
        }
        loop {
            let long = |e| io::Error::new(io::ErrorKind::InvalidData, format!("{e}"));
            let Some((length, line)) = take_line(&buffer, board::MOST_BYTES).map_err(long)? else { break };
            (silent_at, came) = (Instant::now() + SILENCE, 0);
            match board::read(line) {
                Ok(Line::Event(event)) if event.rev > *rev => {
                    *rev = event.rev;
                    take_in(hub, &event, if is_live { Telling::Live } else { Telling::Earlier });
                }
                // It tells of more than it sent: what lies between was lost on the way.
                Ok(Line::Beat(last)) if last > *rev => return Err(io::ErrorKind::InvalidData.into()),
                // With the number that is known already it tells that nothing older is left.
                Ok(Line::Beat(last)) => is_live |= last == *rev,
                Ok(Line::Event(_)) => {}
                // What it told is asked for again.
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
            buffer.advance(length);
        }
    }
}

/// Writes all bytes. Unlike the runtime's own way it takes no short write for a sign that the socket is full.
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

/// How an event came to be told now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// It is the list that the configuration kept.
    Kept,
    /// It happened before; how long ago is not known.
    Earlier,
    /// It happens now: the board told before that there was nothing older left to tell.
    Live,
}

/// Hands an event in, as what it is or as the list that was kept.
pub fn take_in(hub: &Hub, event: &Event, telling: Telling) {
    let mut inner = hub.lock();
    let (told, notices) = event.notices(inner.core.words());
    let kind = if telling == Telling::Kept { ListKind::Persisted } else { told };
    hub.apply_list(&mut inner, kind, notices, telling == Telling::Live);
}
