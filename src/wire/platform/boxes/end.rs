//! The end of a connection to a machine, and what it proves: what was open on it is given up once the machine has ended it,
//! too. A connection that only this planner has ended may not be heard of where the network is cut.

use super::{Link, READ_BYTES};
use crate::wire::errors::is_transient;
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

impl Link {
    /// Brings a connection to its end; tells whether its machine has ended it, too, which shows that it gave up what was
    /// open on it.
    pub(super) async fn bring_to_end(
        &self,
        stream: &TcpStream,
        buffer: BytesMut,
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
        let is_spoilt = matches!(end, Err(error) if error.kind() == ErrorKind::InvalidData);
        let ended = self.end_and_wait(stream, (!is_spoilt).then_some(buffer));
        timeout(MACHINE_ENDS, ended).await.unwrap_or(false)
    }

    /// Ends a connection from this side, and waits until its machine has, too; hears what comes until then where there is a
    /// buffer for it.
    async fn end_and_wait(&self, stream: &TcpStream, mut heard: Option<BytesMut>) -> bool {
        if socket2::SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
            return false;
        }
        let mut unused = BytesMut::new();
        loop {
            if stream.readable().await.is_err() {
                return false;
            }
            let buffer = heard.as_mut().unwrap_or(&mut unused);
            buffer.reserve(READ_BYTES);
            match stream.try_read_buf(buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock || is_transient(&error) => {}
                Err(error) => return FarEnd::after(&error) == FarEnd::Ended,
            }
            unused.clear();
            heard = heard.and_then(|mut buffer| self.hear(&mut buffer).is_ok().then_some(buffer));
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
