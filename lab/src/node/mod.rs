//! The stand-in node. Its faults are drawn by seed or ordered by script and by call; every ask and every copy is booked
//! in its ledger with the time at which its bytes came, also while it hangs.

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

/// What all parts of a node share.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Counts the lives of its process: a connection of an earlier one is reset.
    life: watch::Sender<u64>,
    clock: Clock,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running node. It ends when it is dropped.
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    acts: mpsc::UnboundedSender<Act>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node on a loopback address; port 0 has the system pick one.
    ///
    /// # Errors
    /// If the address is not to be had or no thread can be started.
    pub fn start(address: &str, plan: Plan, clock: Clock) -> io::Result<Node> {
        let listener = TcpListener::bind(address)?;
        if !listener.local_addr()?.ip().is_loopback() {
            return Err(io::Error::other("only loopback addresses are listened on"));
        }
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared =
            Arc::new(Shared { state: Mutex::new(State::new(plan)), life: watch::Sender::new(0), clock });
        let (acts, orders) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let of_thread = shared.clone();
        let thread = std::thread::Builder::new()
            .name(format!("node-{}", address.port()))
            .spawn(move || runtime.block_on(live(of_thread, listener, address, orders)))?;
        Ok(Node { address, shared, acts, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Orders something at once.
    pub fn act(&self, act: Act) {
        // The receiver lives as long as the node.
        let _ = self.acts.send(act);
    }

    /// All that was booked so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.lock().ledger.clone()
    }

    /// Tasks that stand.
    pub fn standing(&self) -> usize {
        self.shared.lock().standing()
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

async fn live(
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
                shared.life.send_modify(|life| *life += 1);
            }
            Act::Return => {
                // Its port may take a moment to come free.
                listener = tokio::net::TcpListener::bind(address).await.ok();
                shared.lock().come_back();
            }
            Act::Reset => shared.life.send_modify(|life| *life += 1),
            other => shared.lock().act(shared.clock.now(), other),
        }
    }
}
