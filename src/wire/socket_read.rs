//! Reads of what has arrived on a connection, by system calls rather than by the runtime's readiness events:
//! the runtime knows only the state at its last poll, and after a pause of the process it handles timers and
//! arrived bytes in any order.

use super::errors::{is_shortage, is_transient};
use super::read_buffers::READ_BYTES;
use bytes::BytesMut;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes. Most that one system call reads.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes. Most that are read from one connection before others get their turn; as much as a socket's buffer
/// may hold.
const MAX_TURN_BYTES: usize = 1 << 20;

/// The state of a connection after a read.
#[derive(Debug)]
pub enum ReadState {
    /// It is open; everything that had arrived was read, up to [`MAX_TURN_BYTES`].
    Open,
    /// The far end closed it; everything before that was read.
    End,
    /// It broke; everything before that was read.
    Broken(io::Error),
}

/// Appends everything that has arrived on a connection to `buffer`, without waiting.
pub fn read_available(stream: &TcpStream, buffer: &mut BytesMut) -> ReadState {
    let socket = socket2::SockRef::from(stream);
    let mut chunk = [0; CHUNK_BYTES];
    let mut read = 0;
    while read < MAX_TURN_BYTES {
        match Read::read(&mut &*socket, &mut chunk) {
            Ok(0) => return ReadState::End,
            Ok(count) => {
                buffer.extend_from_slice(&chunk[..count]);
                read += count;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadState::Open,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            // The unread bytes are read once the system has buffers again.
            Err(error) if is_shortage(&error) => return ReadState::Open,
            Err(error) => return ReadState::Broken(error),
        }
    }
    ReadState::Open
}

/// Waits for bytes and reads at least one, or returns zero at the end of the stream. Unlike the runtime's
/// `read_buf` it does not take a short read to mean that no more bytes have arrived.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if is_transient(&error) => tokio::task::yield_now().await,
            read => return read,
        }
    }
}

#[cfg(test)]
mod tests;
