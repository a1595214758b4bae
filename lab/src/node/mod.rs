//! The stand-in node. Its faults are drawn from a seed, or injected by a script or by calls. Each offer is
//! recorded in the ledger with the time of its arrival, even while the node hangs; so is each copy of a task.

mod connection;
mod ledger;
mod plan;
mod state;

pub use ledger::{Entry, Ledger, What};
pub use plan::{Act, Plan, Times};

use crate::Clock;
use state::State;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// State that the node's listener and connections share.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Number of resets and process deaths so far; a change resets all connections.
    epoch: watch::Sender<u64>,
    /// Number of closes so far; a change closes all connections.
    closes: watch::Sender<u64>,
    clock: Clock,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running node. Dropping it ends it.
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    acts: mpsc::UnboundedSender<Act>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node on a loopback address; with port 0 the system picks a free port.
    ///
    /// # Errors
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(address: &str, plan: Plan, clock: Clock) -> io::Result<Node> {
        let listener = TcpListener::bind(address)?;
        if !listener.local_addr()?.ip().is_loopback() {
            return Err(io::Error::other("a stand-in node listens on loopback addresses only"));
        }
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (epoch, closes) = (watch::Sender::new(0), watch::Sender::new(0));
        let shared = Arc::new(Shared { state: Mutex::new(State::new(plan)), epoch, closes, clock });
        let (acts, orders) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name(format!("node-{}", address.port()))
            .spawn(move || runtime.block_on(run(thread_shared, listener, address, orders)))?;
        Ok(Node { address, shared, acts, thread: Some(thread) })
    }

    /// The address on which the node listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault or change at once.
    pub fn act(&self, act: Act) {
        // The receiver exists as long as the node.
        let _ = self.acts.send(act);
    }

    /// A copy of the ledger so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.lock().ledger.clone()
    }

    /// Number of running tasks.
    pub fn running_tasks(&self) -> usize {
        self.shared.lock().running_tasks()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.act(Act::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    address: SocketAddr,
    mut orders: mpsc::UnboundedReceiver<Act>,
) {
    let mut listener = tokio::net::TcpListener::from_std(listener).ok();
    let script = shared.lock().plan.script.clone();
    let mut script = script.into_iter().peekable();
    let mut connections = 0;
    loop {
        let due = script.peek().map(|(at, _)| at.saturating_sub(shared.clock.now()));
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let act = tokio::select! {
            order = orders.recv() => order.unwrap_or(Act::End),
            () = tokio::time::sleep(due.unwrap_or(Duration::MAX)), if due.is_some() => {
                let Some((_, act)) = script.next() else { continue };
                act
            }
            accepted = accepted => {
                let Ok((stream, _)) = accepted else { continue };
                connections += 1;
                tokio::spawn(connection::serve(shared.clone(), stream, connections));
                continue;
            }
        };
        match act {
            Act::End => return,
            Act::Die => {
                listener = None;
                shared.lock().die(shared.clock.now());
                shared.epoch.send_modify(|epoch| *epoch += 1);
            }
            Act::Return => {
                // Binding fails if the port is still in use; the node then accepts no connections.
                listener = tokio::net::TcpListener::bind(address).await.ok();
                shared.lock().restart();
            }
            Act::StopListening => listener = None,
            Act::Listen => listener = tokio::net::TcpListener::bind(address).await.ok(),
            Act::Close => shared.closes.send_modify(|closes| *closes += 1),
            Act::Reset => shared.epoch.send_modify(|epoch| *epoch += 1),
            other => shared.lock().act(shared.clock.now(), other),
        }
    }
}
