//! Dials to machines, and the dial beside a connection that is in use.

use crate::decide::silence::Dial;
use crate::wire::errors::is_shortage;
use std::future::{pending, Future};
use std::io;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How a dial ended, with its connection.
pub enum Dialled {
    Up(TcpStream),
    /// Its host says that nobody listens there: the one error that proves anything.
    Refused,
    /// No connection came up, for whatever reason on the way.
    Silent,
    /// This planner has no descriptor, port or buffer left: no word of any machine.
    Short,
}

impl Dialled {
    /// What an error says of the machine.
    pub fn failed(error: &io::Error) -> Dialled {
        use io::ErrorKind::{
            AddrInUse, AddrNotAvailable, ConnectionRefused, Interrupted, OutOfMemory, PermissionDenied,
        };
        match error.kind() {
            ConnectionRefused => Dialled::Refused,
            AddrInUse | AddrNotAvailable | Interrupted | OutOfMemory | PermissionDenied => Dialled::Short,
            _ if is_shortage(error) => Dialled::Short,
            _ => Dialled::Silent,
        }
    }

    /// The connection, where one came up.
    pub fn up(self) -> Option<TcpStream> {
        match self {
            Dialled::Up(stream) => Some(stream),
            _ => None,
        }
    }

    /// How it ended, without its connection.
    pub fn kind(&self) -> Dial {
        match self {
            Dialled::Up(_) => Dial::Up,
            Dialled::Refused => Dial::Refused,
            Dialled::Silent => Dial::Silent,
            Dialled::Short => Dial::Short,
        }
    }
}

/// Dials an address; a connection that has not come up by then never will.
pub async fn dial(address: String, limit: Duration) -> Dialled {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Dialled::Up(stream),
        Ok(Err(error)) => Dialled::failed(&error),
        Err(_) => Dialled::Silent,
    }
}

/// A dial that is under way.
pub type Dialling = Pin<Box<dyn Future<Output = Dialled> + Send>>;

/// The dial beside a connection in use, where one is under way. The connection is served meanwhile: nothing that is to be
/// written on it waits for a dial that hangs.
#[derive(Default)]
pub struct DialBeside {
    dialling: Option<Dialling>,
}

impl DialBeside {
    /// Begins a dial, unless one is under way.
    pub fn begin(&mut self, address: &str, limit: Duration) {
        if self.dialling.is_none() {
            self.dialling = Some(Box::pin(dial(address.to_string(), limit)));
        }
    }

    /// Waits until the dial has ended, for good where none is under way. It goes on where the wait is dropped.
    pub async fn ended(&mut self) -> Dialled {
        let Some(dialling) = &mut self.dialling else { return pending().await };
        let dialled = dialling.await;
        self.dialling = None;
        dialled
    }

    /// The dial that is under way, for whoever goes on with it.
    pub fn take(&mut self) -> Option<Dialling> {
        self.dialling.take()
    }
}
