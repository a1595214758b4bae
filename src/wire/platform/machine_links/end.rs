//! The end of a connection to a machine, and what it proves. Once the machine has closed its side as well, it
//! has cancelled the attempts that were open on the connection. Where only this planner has closed it, the
//! machine may not know: a network partition can keep the close from reaching it.

use super::LinkTask;
use crate::decide::machine_loss::ConnectionEnd;
use crate::wire::socket_read::read_some;
use bytes::BytesMut;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a machine has to close a connection after this planner has closed its side: as long as it has to
/// answer a probe (`PROBE_TIMEOUT_S`).
pub(super) const MACHINE_CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// How a connection ended without an error.
pub enum End {
    /// The machine closed it.
    Closed,
    /// The machine left the list, or its address has changed.
    Left,
    /// A newer connection to the same machine replaces it.
    Swap(TcpStream),
    /// Its descriptor is needed for the connection to another machine.
    GivenBack,
    /// Its end takes the place of an order to cancel an attempt.
    Cancelled,
}

/// What an error proves about the far end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FarEnd {
    /// The far host no longer has the connection: the process closed it or has died.
    Ended,
    /// The state of the far end is unknown, and the connection cannot be used any more.
    Unknown,
    /// The connection may still be up, and this planner has to close it.
    Up,
}

impl FarEnd {
    /// Classifies an error of a read or write, or one that this planner raised itself.
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
            // Without an OS error code it is a time-out of this planner.
            TimedOut if error.raw_os_error().is_some() => FarEnd::Unknown,
            _ => FarEnd::Up,
        }
    }

    /// Whether the machine has seen the end of the connection.
    fn connection_end(self) -> ConnectionEnd {
        match self {
            FarEnd::Ended => ConnectionEnd::SeenByMachine,
            FarEnd::Unknown | FarEnd::Up => ConnectionEnd::Unconfirmed,
        }
    }
}

/// Closes the write side of a connection, and passes what arrives to `on_data` until the machine closes it,
/// too, or an error occurs.
pub async fn half_close(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    mut on_data: impl FnMut(&mut BytesMut) -> io::Result<()>,
) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)?;
    while read_some(stream, buffer).await? > 0 {
        on_data(buffer)?;
    }
    Ok(())
}

impl LinkTask {
    /// Whether an attempt is open on the connection, or a cancellation is not confirmed there.
    fn is_anything_open(&self) -> bool {
        let inner = self.hub.lock();
        inner.core.has_open_attempt_at(self.machine) || !inner.is_all_confirmed(self.machine)
    }

    /// Closes a connection; returns whether the machine is known to have closed it, too.
    pub(super) async fn finish(
        &self,
        stream: &TcpStream,
        mut buffer: BytesMut,
        end: &io::Result<End>,
    ) -> ConnectionEnd {
        let far_end = match end {
            Ok(End::Closed) => FarEnd::Ended,
            Ok(_) => FarEnd::Up,
            Err(error) => FarEnd::after(error),
        };
        if far_end != FarEnd::Up {
            return far_end.connection_end();
        }
        let has_left_list = self.hub.lock().write_final(self.link_id, stream);
        if !has_left_list && !self.is_anything_open() {
            return ConnectionEnd::SeenByMachine;
        }
        // Nothing that follows a corrupt line can be used.
        let mut is_intact = !matches!(end, Err(error) if error.kind() == ErrorKind::InvalidData);
        let on_data = |buffer: &mut BytesMut| {
            is_intact = is_intact && self.process_lines(buffer).is_ok();
            if !is_intact {
                buffer.clear();
            }
            Ok(())
        };
        match timeout(MACHINE_CLOSE_TIMEOUT, half_close(stream, &mut buffer, on_data)).await {
            Ok(Ok(())) => ConnectionEnd::SeenByMachine,
            Ok(Err(error)) => FarEnd::after(&error).connection_end(),
            Err(_) => ConnectionEnd::Unconfirmed,
        }
    }

    /// Reports to the core that the connection to a machine that left the list has ended.
    pub(super) fn report_departed(&self, end: ConnectionEnd) {
        let departed = self.hub.lock().take_departed(self.link_id);
        if let Some(departed) = departed {
            self.send_input(crate::state::Input::Departed { departure: departed.departure, end });
        }
    }
}
