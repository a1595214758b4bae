//! The fault network: between the planners of a rig each pair's words go through a relay of ours, which drops, delays,
//! doubles and cuts as a schedule says. Everything stays on loopback addresses.

mod schedule;

pub use schedule::{Schedule, Step, Weather, What};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// Bytes. The longest datagram that is passed on.
const MOST_BYTES: usize = 2048;

/// Datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Datagrams that came to the relay.
    pub came: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Copies that were passed on.
    pub passed: u64,
}

struct State {
    weather: Weather,
    rng: Pcg64Mcg,
    /// Where each planner hears.
    targets: Vec<Option<SocketAddr>>,
    /// By planner that sent.
    counts: Vec<Passed>,
}

/// A running relay; it ends when it is dropped.
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
    /// A relay among so many planners, in fine weather.
    ///
    /// # Errors
    /// If sockets or a thread are not to be had.
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
        let (weather, rng) = (Weather::fine(planners), Pcg64Mcg::seed_from_u64(seed));
        let (targets, counts) = (vec![None; planners], vec![Passed::default(); planners]);
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

    /// Where a planner reaches another.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    /// Where a planner hears.
    pub fn target(&self, planner: usize, address: SocketAddr) {
        lock(&self.state).targets[planner] = Some(address);
    }

    /// Takes what a schedule says of words between planners.
    pub fn take(&self, what: &What) {
        lock(&self.state).weather.take(what);
    }

    /// What each planner sent so far.
    pub fn counts(&self) -> Vec<Passed> {
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
    let mut bytes = vec![0; MOST_BYTES];
    loop {
        // An error tells that a planner is not there.
        let Ok((length, source)) = here.recv_from(&mut bytes).await else { continue };
        let (target, ways) = {
            let mut guard = lock(&state);
            let State { weather, rng, targets, counts } = &mut *guard;
            if targets[from] != Some(source) {
                continue;
            }
            let ways = weather.ways(rng, from, to);
            counts[from].came += 1;
            counts[from].bytes += length as u64;
            counts[from].passed += ways.len() as u64;
            (targets[to], ways)
        };
        let Some(target) = target else { continue };
        for way in ways {
            if way.is_zero() {
                let _ = there.try_send_to(&bytes[..length], target);
                continue;
            }
            let (there, copy) = (there.clone(), bytes[..length].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(way).await;
                let _ = there.try_send_to(&copy, target);
            });
        }
    }
}

#[cfg(test)]
mod tests;
