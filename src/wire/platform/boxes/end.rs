//! The end of a connection to a machine, and what it proves: what was open on it is given up once the machine has ended it,
//! too. A connection that only this planner has ended may not be heard of where the network is cut.

use super::Link;
use crate::wire::arrived::read_some;
use bytes::BytesMut;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// So long a machine has to end a connection that this planner has ended: as long as it has for any test.
const MACHINE_ENDS: Duration = Duration::from_millis(1000);

/// How a connection ended without an error.
pub enum End {
    /// Its machine ended it.
    Closed,
    /// Its machine left the list, or listens elsewhere.
    Left,
    /// Another that came up takes its place.
    Swap(TcpStream),
    /// Its descriptor is wanted for another machine.
    GivenBack,
}

/// What an error says of the far end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FarEnd {
    /// Its host knows nothing of the connection: its process ended it, or is gone.
    Ended,
    /// Nothing is known, and nothing more will come.
    Unknown,
    /// The connection may be up: this planner ends it.
    Up,
}

impl FarEnd {
    /// What an error of a read or write, or of this planner's own, says.
    pub fn after(error: &io::Error) -> FarEnd {
        use ErrorKind::{
            BrokenPipe, ConnectionAborted, ConnectionReset, HostUnreachable, NetworkDown, NetworkUnreachable,
            NotConnected, TimedOut,
        };
        match error.kind() {
            ConnectionReset | BrokenPipe => FarEnd::Ended,
            ConnectionAborted | HostUnreachable | NetworkDown | NetworkUnreachable | NotConnected => {
                FarEnd::Unknown
            }
            // Without a code of the system it is this planner that waited long enough.
            TimedOut if error.raw_os_error().is_some() => FarEnd::Unknown,
            _ => FarEnd::Up,
        }
    }
}

/// Ends a connection from this side, and has what comes heard until its machine has ended it, too, or it cannot be heard.
pub async fn half_close(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    mut hear: impl FnMut(&mut BytesMut) -> io::Result<()>,
) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)?;
    while read_some(stream, buffer).await? > 0 {
        hear(buffer)?;
    }
    Ok(())
}

impl Link {
    /// Brings a connection to its end; tells whether its machine has ended it, too, which shows that it gave up what was
    /// open on it.
    pub(super) async fn bring_to_end(
        &self,
        stream: &TcpStream,
        mut buffer: BytesMut,
        end: &io::Result<End>,
    ) -> bool {
        let far_end = match end {
            Ok(End::Closed) => FarEnd::Ended,
            Ok(_) => FarEnd::Up,
            Err(error) => FarEnd::after(error),
        };
        if far_end != FarEnd::Up {
            return far_end == FarEnd::Ended;
        }
        let left = self.hub.lock().write_last(self.life, stream);
        if !left && !self.hub.lock().core.is_open_at(self.machine) {
            return true; // Nothing is open on it.
        }
        // What follows a line that cannot be read is of no use.
        let mut is_heard = !matches!(end, Err(error) if error.kind() == ErrorKind::InvalidData);
        let hear = |buffer: &mut BytesMut| {
            is_heard = is_heard && self.hear(buffer).is_ok();
            if !is_heard {
                buffer.clear();
            }
            Ok(())
        };
        match timeout(MACHINE_ENDS, half_close(stream, &mut buffer, hear)).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => FarEnd::after(&error) == FarEnd::Ended,
            Err(_) => false,
        }
    }

    /// Tells that the connection to a machine that left the list has ended.
    pub(super) fn tell_departed(&self, proved: bool) {
        let leaving = self.hub.lock().take_leaving(self.life);
        if let Some(leaving) = leaving {
            self.tell(crate::state::Input::Departed { departure: leaving.departure, proved });
        }
    }
}
