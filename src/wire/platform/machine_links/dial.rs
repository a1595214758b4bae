//! Dials to machines, and the dial that runs in the background while a connection is in use.

use crate::decide::silence::Dial;
use crate::wire::errors::is_shortage;
use std::future::{pending, Future};
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The result of a dial.
pub enum Dialled {
    /// The connection.
    Up(TcpStream),
    /// The host answered that nothing listens on the port. It proves that nothing was begun by this dial, and nothing
    /// of the tasks that run at the machine.
    Refused,
    /// No connection came up: the time ran out, or the network or host failed. It proves nothing about the
    /// machine.
    Silent,
    /// This planner has no descriptor, port or buffer left, which says nothing about the machine.
    NoResources,
}

impl Dialled {
    /// Classifies the error of a dial.
    pub fn failed(error: &io::Error) -> Dialled {
        use io::ErrorKind::{
            AddrInUse, AddrNotAvailable, ConnectionRefused, Interrupted, OutOfMemory, PermissionDenied,
        };
        match error.kind() {
            ConnectionRefused => Dialled::Refused,
            AddrInUse | AddrNotAvailable | Interrupted | OutOfMemory | PermissionDenied => {
                Dialled::NoResources
            }
            _ if is_shortage(error) => Dialled::NoResources,
            _ => Dialled::Silent,
        }
    }

    /// The connection, if the dial succeeded.
    pub fn up(self) -> Option<TcpStream> {
        match self {
            Dialled::Up(stream) => Some(stream),
            _ => None,
        }
    }

    /// The result without its connection, for the failure detection.
    pub fn kind(&self) -> Dial {
        match self {
            Dialled::Up(_) => Dial::Up,
            Dialled::Refused => Dial::Refused,
            Dialled::Silent => Dial::Silent,
            Dialled::NoResources => Dial::NoResources,
        }
    }
}

/// Dials an address; a connection that is not up within `limit` counts as failed.
pub async fn dial(address: String, limit: Duration) -> Dialled {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Dialled::Up(stream),
        Ok(Err(error)) => Dialled::failed(&error),
        Err(_) => Dialled::Silent,
    }
}

/// A dial that is under way.
pub type PendingDial = Pin<Box<dyn Future<Output = Dialled> + Send>>;

/// The dial that runs while a connection to the same machine is in use, if any. The connection is served
/// meanwhile: no write waits for a dial that hangs.
#[derive(Default)]
pub struct BackgroundDial {
    pending_dial: Option<PendingDial>,
}

impl BackgroundDial {
    /// Begins a dial, unless one is under way.
    pub fn begin(&mut self, address: &str, limit: Duration) {
        if self.pending_dial.is_none() {
            self.pending_dial = Some(Box::pin(dial(address.to_string(), limit)));
        }
    }

    /// Waits for the result of the dial, or forever if none is under way. Dropping this future does not
    /// cancel the dial.
    pub async fn ended(&mut self) -> Dialled {
        let Some(pending_dial) = &mut self.pending_dial else { return pending().await };
        let dialled = pending_dial.await;
        self.pending_dial = None;
        dialled
    }

    /// Takes the dial that is under way, for a caller that continues it.
    pub fn take(&mut self) -> Option<PendingDial> {
        self.pending_dial.take()
    }
}
