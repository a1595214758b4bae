//! Messages between the planners of a fleet: datagrams of at most 256 bytes on loopback, accepted only from
//! listed addresses and from this fleet. All others are dropped and counted. Nothing is retransmitted here:
//! leases and budgets send a new message if they still need one that was lost.

pub mod codec;

use super::hub::{DatagramCounts, Hub};
use crate::decide::budgets::PeerMessage;
use crate::decide::fleet::settings::FleetSettings;
use crate::decide::fleet::{Incarnation, Member};
use crate::state::Input;
use codec::{Malformed, MAX_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;

/// Count. Capacity of the queue of outgoing batches, each of messages to one planner. Further batches are
/// dropped, as a network would drop them.
pub const QUEUE: usize = 4096;
/// Count. Datagrams that are processed before the task yields to others.
const YIELD_AFTER: usize = 32;

/// Sends and receives peer messages for as long as the program runs.
pub async fn serve(
    hub: Arc<Hub>,
    socket: UdpSocket,
    (settings, incarnation): (FleetSettings, Incarnation),
    mut queue: Receiver<(Member, Vec<PeerMessage>)>,
) {
    let digest = settings.digest();
    let own = settings.plan.place.0;
    let listed = settings.planners.iter().enumerate().map(|(at, (_, address))| (*address, at as Member));
    let listed: BTreeMap<SocketAddr, Member> = listed.collect();
    let mut bytes = [0; MAX_BYTES + 1];
    let mut processed = 0;
    loop {
        tokio::select! {
            biased;
            outgoing = queue.recv() => {
                let Some((to, messages)) = outgoing else { return };
                let Some((_, address)) = settings.planners.get(usize::from(to)) else { continue };
                for datagram in codec::write(digest, own, incarnation, &messages) {
                    // If the buffer is full or the other planner is down, the datagram counts as lost.
                    if socket.try_send_to(&datagram, *address).is_ok() {
                        let mut inner = hub.lock();
                        inner.peer_counts.sent.0 += 1;
                        inner.peer_counts.sent.1 += datagram.len() as u64;
                    }
                }
            }
            received = socket.recv_from(&mut bytes) => {
                // An error reports a closed port: the planner to which a datagram was sent is down.
                if let Ok((length, from)) = received {
                    receive(&hub, digest, &bytes[..length], listed.get(&from).copied());
                }
                processed += 1;
                if processed >= YIELD_AFTER {
                    processed = 0;
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

fn receive(hub: &Hub, digest: u64, bytes: &[u8], from: Option<Member>) {
    let mut inner = hub.lock();
    inner.peer_counts.received.0 += 1;
    inner.peer_counts.received.1 += bytes.len() as u64;
    match codec::read(digest, bytes) {
        Ok(datagram) if from == Some(datagram.from) => {
            hub.apply_in(
                &mut inner,
                Input::Peer { from: (datagram.from, datagram.incarnation), messages: datagram.messages },
            );
        }
        Ok(_) => inner.peer_counts.unlisted += 1,
        Err(why) => count_dropped(&mut inner.peer_counts, why),
    }
}

/// Counts a dropped datagram by the reason.
fn count_dropped(counts: &mut DatagramCounts, why: Malformed) {
    match why {
        Malformed::Check => counts.other += 1,
        Malformed::Version(_) => counts.version += 1,
        Malformed::Length(_) | Malformed::Messages => counts.unreadable += 1,
    }
}
