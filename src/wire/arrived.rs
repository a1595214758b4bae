//! What has come on a connection, asked of the system itself: the runtime knows only what there was when it last looked, and
//! after a pause of the process it acts on its timers and on what came in any order.

use super::errors::{is_shortage, is_transient};
use super::read_buffers::READ_BYTES;
use bytes::BytesMut;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes read at once.
const PART_BYTES: usize = 16 * 1024;
/// Bytes read of one connection before others have their turn; as much as a system's buffer may hold.
pub const TURN_BYTES: usize = 1 << 20;

/// How far the reading of a connection came.
#[derive(Debug)]
pub enum Reached {
    /// All that had come is read, or as much as one connection may have read at once.
    Open,
    /// The far end closed it, and all that came before is read.
    End,
    /// It broke; what came before is read.
    Broken(io::Error),
}

/// Adds all that has come on a connection to what was read of it, without waiting.
pub fn read_arrived(stream: &TcpStream, buffer: &mut BytesMut) -> Reached {
    let socket = socket2::SockRef::from(stream);
    let mut part = [0; PART_BYTES];
    let mut read = 0;
    while read < TURN_BYTES {
        match Read::read(&mut &*socket, &mut part) {
            Ok(0) => return Reached::End,
            Ok(count) => {
                buffer.extend_from_slice(&part[..count]);
                read += count;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Reached::Open,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            // What lies there is read once the system has buffers again.
            Err(error) if is_shortage(&error) => return Reached::Open,
            Err(error) => return Reached::Broken(error),
        }
    }
    Reached::Open
}

/// Waits for what comes and reads some of it, at least a byte; nothing at the end. Unlike the runtime's own way it takes no
/// short read for a sign that no more has come.
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
