//! Words between the planners of a fleet: datagrams of at most 256 bytes on loopback, from listed addresses and of this
//! fleet alone. Anything else is dropped and counted. Whatever is lost is said again by who needs it, so nothing here is.

pub mod words;

use super::hub::{DatagramCounts, Hub};
use crate::decide::budgets::PeerMessage;
use crate::decide::fleet::settings::FleetSettings;
use crate::decide::fleet::{Incarnation, Member};
use crate::state::Input;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;
use words::{Malformed, MOST_BYTES};

/// Count. Words to others that wait to be sent, by planner; more are dropped, as a network would.
pub const QUEUE: usize = 4096;
/// Count. Datagrams that are taken in one after the other before other tasks have their turn.
const IN_A_ROW: usize = 32;

/// Says and hears words for as long as the program runs.
pub async fn serve(
    hub: Arc<Hub>,
    socket: UdpSocket,
    (settings, life): (FleetSettings, Incarnation),
    mut queue: Receiver<(Member, Vec<PeerMessage>)>,
) {
    let digest = settings.digest();
    let me = settings.plan.place.0;
    let listed = settings.planners.iter().enumerate().map(|(at, (_, address))| (*address, at as Member));
    let listed: BTreeMap<SocketAddr, Member> = listed.collect();
    let mut bytes = [0; MOST_BYTES + 1];
    let mut in_a_row = 0;
    loop {
        tokio::select! {
            biased;
            said = queue.recv() => {
                let Some((to, words)) = said else { return };
                let Some((_, address)) = settings.planners.get(usize::from(to)) else { continue };
                for letter in words::write(digest, me, life, &words) {
                    // A full buffer or a planner that is not there: as good as lost on the way.
                    if socket.try_send_to(&letter, *address).is_ok() {
                        let mut inner = hub.lock();
                        inner.peer_counts.sent.0 += 1;
                        inner.peer_counts.sent.1 += letter.len() as u64;
                    }
                }
            }
            came = socket.recv_from(&mut bytes) => {
                // An error tells that a planner is not there.
                if let Ok((length, from)) = came {
                    take_in(&hub, digest, &bytes[..length], listed.get(&from).copied());
                }
                in_a_row += 1;
                if in_a_row >= IN_A_ROW {
                    in_a_row = 0;
                    tokio::task::yield_now().await;
                }
            }
        }
    }
}

fn take_in(hub: &Hub, digest: u64, bytes: &[u8], from: Option<Member>) {
    let mut inner = hub.lock();
    inner.peer_counts.received.0 += 1;
    inner.peer_counts.received.1 += bytes.len() as u64;
    match words::read(digest, bytes) {
        Ok(letter) if from == Some(letter.from) => {
            hub.apply_in(&mut inner, Input::Peer { from: (letter.from, letter.life), words: letter.words });
        }
        Ok(_) => inner.peer_counts.unlisted += 1,
        Err(why) => count_dropped(&mut inner.peer_counts, why),
    }
}

/// Counts a datagram that could not be read by why.
fn count_dropped(counts: &mut DatagramCounts, why: Malformed) {
    match why {
        Malformed::Check => counts.other += 1,
        Malformed::Version(_) => counts.version += 1,
        Malformed::Length(_) | Malformed::Words => counts.unreadable += 1,
    }
}
