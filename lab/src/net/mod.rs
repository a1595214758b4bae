//! The fault network: a UDP relay between each pair of an experiment's planners, which drops, delays,
//! duplicates and partitions as a schedule says. Everything stays on loopback addresses.

mod schedule;

pub use schedule::{Fault, Schedule, Step, Weather};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// The longest datagram that is relayed.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Traffic that one planner sent, counted by the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams received by the relay.
    pub received: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Copies that were forwarded.
    pub forwarded: u64,
}

struct State {
    weather: Weather,
    rng: Pcg64Mcg,
    /// The address on which each planner listens.
    targets: Vec<Option<SocketAddr>>,
    /// Traffic by sending planner.
    counts: Vec<Traffic>,
}

/// A running relay. Dropping it ends it.
pub struct Net {
    addresses: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Net {
    /// Starts a relay among `planners` planners, without faults.
    ///
    /// # Errors
    /// If a socket cannot be bound or the thread cannot be started.
    pub fn start(planners: usize, seed: u64) -> io::Result<Net> {
        let socket = |_| -> io::Result<UdpSocket> {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            Ok(socket)
        };
        let row = |_| (0..planners).map(socket).collect::<io::Result<Vec<_>>>();
        let sockets = (0..planners).map(row).collect::<io::Result<Vec<_>>>()?;
        let addresses = sockets
            .iter()
            .map(|row| row.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>())
            .collect::<io::Result<Vec<_>>>()?;
        let (weather, rng) = (Weather::without_faults(planners), Pcg64Mcg::seed_from_u64(seed));
        let (targets, counts) = (vec![None; planners], vec![Traffic::default(); planners]);
        let state = Arc::new(Mutex::new(State { weather, rng, targets, counts }));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (end, ended) = oneshot::channel();
        let shared = state.clone();
        let thread = std::thread::Builder::new().name("net".into()).spawn(move || {
            runtime.block_on(async move {
                let row = |row: Vec<UdpSocket>| -> Vec<Option<Arc<tokio::net::UdpSocket>>> {
                    row.into_iter().map(|s| tokio::net::UdpSocket::from_std(s).ok().map(Arc::new)).collect()
                };
                let sockets: Vec<Vec<_>> = sockets.into_iter().map(row).collect();
                for (from, row) in sockets.iter().enumerate() {
                    for (to, here) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                        if let (Some(here), Some(there)) = (here, &sockets[to][from]) {
                            tokio::spawn(relay(shared.clone(), here.clone(), there.clone(), (from, to)));
                        }
                    }
                }
                let _ = ended.await;
            });
        })?;
        Ok(Net { addresses, state, end: Some(end), thread: Some(thread) })
    }

    /// The relay's address at which planner `from` reaches planner `to`.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    /// Sets the address on which a planner listens.
    pub fn set_target(&self, planner: usize, address: SocketAddr) {
        lock(&self.state).targets[planner] = Some(address);
    }

    /// Applies a scheduled change to the traffic between planners; other faults are ignored.
    pub fn apply(&self, what: &Fault) {
        lock(&self.state).weather.apply(what);
    }

    /// Traffic of each planner so far.
    pub fn counts(&self) -> Vec<Traffic> {
        lock(&self.state).counts.clone()
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn relay(
    state: Arc<Mutex<State>>,
    here: Arc<tokio::net::UdpSocket>,
    there: Arc<tokio::net::UdpSocket>,
    (from, to): (usize, usize),
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error means that a planner's port is closed.
        let Ok((length, source)) = here.recv_from(&mut bytes).await else { continue };
        let (target, delays) = {
            let mut guard = lock(&state);
            let State { weather, rng, targets, counts } = &mut *guard;
            if targets[from] != Some(source) {
                continue;
            }
            let delays = weather.draw_delays(rng, from, to);
            counts[from].received += 1;
            counts[from].bytes += length as u64;
            counts[from].forwarded += delays.len() as u64;
            (targets[to], delays)
        };
        let Some(target) = target else { continue };
        for delay in delays {
            if delay.is_zero() {
                let _ = there.try_send_to(&bytes[..length], target);
                continue;
            }
            let (there, copy) = (there.clone(), bytes[..length].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = there.try_send_to(&copy, target);
            });
        }
    }
}

#[cfg(test)]
mod tests;
