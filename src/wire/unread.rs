//! What has come on a connection and was not read yet. It is asked of the system itself: the runtime hears of it only
//! when it looks, and after a pause of the process it acts on its timers and on what came in any order.

use std::io::{self, Read};
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes. What is read of a connection that breaks; as much as a system's buffer may hold.
const REST_BYTES: usize = 1 << 20;

/// What waits to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Nothing, and more may come.
    Nothing,
    /// Bytes; an end may stand behind them.
    Bytes,
    /// The far end closed it.
    End,
}

/// What waits to be read.
///
/// # Errors
/// What broke the connection.
pub fn unread(stream: &TcpStream) -> io::Result<Unread> {
    let mut one = [MaybeUninit::uninit(); 1];
    match socket2::SockRef::from(stream).peek(&mut one) {
        Ok(0) => Ok(Unread::End),
        Ok(_) => Ok(Unread::Bytes),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(Unread::Nothing),
            _ => Err(error),
        },
    }
}

/// Whether bytes have come that nobody has read yet.
pub fn is_unread(stream: &TcpStream) -> bool {
    matches!(unread(stream), Ok(Unread::Bytes))
}

/// Whether anything has come that nobody has heard yet, an end included.
pub fn has_news(stream: &TcpStream) -> bool {
    !matches!(unread(stream), Ok(Unread::Nothing))
}

/// Reads what came on a connection before it broke: its last bytes may be an answer or a cancellation.
pub fn read_rest(stream: &TcpStream, buffer: &mut bytes::BytesMut) {
    let socket = socket2::SockRef::from(stream);
    let (mut part, mut most) = ([0; 4096], REST_BYTES);
    while most > 0 {
        match Read::read(&mut &*socket, &mut part) {
            Ok(0) => return,
            Ok(count) => {
                buffer.extend_from_slice(&part[..count]);
                most = most.saturating_sub(count);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
