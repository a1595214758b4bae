use super::*;
use crate::wire::hub::tests::{offered, offered_within};
use crate::wire::outbox::Tag;
use crate::wire::unread::{unread, Unread};
use std::io::Write;
use std::net::{Shutdown, TcpStream as Peer};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Both ends of a connection: the other's, and the planner's.
async fn pair() -> (Peer, Arc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = Peer::connect(listener.local_addr().expect("its address")).expect("up");
    let (stream, _) = listener.accept().await.expect("a connection");
    (peer, Arc::new(stream))
}

/// Waits until the planner's system has that of the peer; the planner itself has not looked.
fn until(stream: &TcpStream, there: Unread) {
    while unread(stream).expect("it is up") != there {
        std::thread::yield_now();
    }
}

/// Guards machines against attempts for clients that have left, or that have given them up in words which came and were not
/// read: the attempt is not written, though no other of the planner's tasks has run meanwhile.
#[tokio::test]
async fn nothing_leaves_before_its_owner_is_heard() {
    for way in ["close", "half-close", "cancel", "reset"] {
        let (hub, machine, owner) = offered("repeatable", 5.0);
        let (mut client, stream) = pair().await;
        let (mut at_machine, link) = pair().await;
        hub.lock().owners.get_mut(&owner).expect("a link").stream = Some(stream.clone());
        match way {
            "close" => drop(client),
            "half-close" => client.shutdown(Shutdown::Write).expect("half closed"),
            "cancel" => client.write_all(&[0, 9, 12]).expect("written"),
            _ => {
                socket2::SockRef::from(&client).set_linger(Some(std::time::Duration::ZERO)).expect("a reset");
                drop(client);
                while matches!(unread(&stream), Ok(Unread::Nothing)) {
                    std::thread::yield_now();
                }
            }
        }
        match way {
            "cancel" => until(&stream, Unread::Bytes),
            "reset" => {}
            _ => until(&stream, Unread::End),
        }
        let life = hub.lock().nodes[&machine].life;
        let waits = hub.write_out((machine, life, "a:1"), &*link, &mut Vec::new()).expect("it is up");
        assert_eq!(waits, Some(Waits { for_socket: false, for_news: true }), "{way}");
        // What else waits for that machine is not held up.
        let queued = hub.lock().nodes.get_mut(&machine).expect("a link").outbox.push(vec![b'x'], Tag::Plain);
        assert!(queued);
        let waits = hub.write_out((machine, life, "a:1"), &*link, &mut Vec::new()).expect("it is up");
        assert_eq!(waits, Some(Waits { for_socket: false, for_news: true }), "{way}");
        let mut came = [0];
        std::io::Read::read_exact(&mut at_machine, &mut came).expect("it came");
        assert_eq!(&came, b"x", "{way}: the first byte that left");
    }
}

/// Guards drains: where the list has something to say that nobody heard yet, nothing leaves for any machine.
#[tokio::test]
async fn nothing_leaves_before_the_list_is_heard() {
    let (hub, machine, _) = offered("repeatable", 5.0);
    let (mut board, stream) = pair().await;
    let (_at_machine, link) = pair().await;
    hub.lock().board = Some(stream.clone());
    let life = hub.lock().nodes[&machine].life;
    board.write_all(b"{").expect("written");
    until(&stream, Unread::Bytes);
    let waits = hub.write_out((machine, life, "a:1"), &*link, &mut Vec::new()).expect("it is up");
    assert_eq!(waits, Some(Waits { for_socket: false, for_news: true }));
    stream.readable().await.expect("it is up");
    stream.try_read(&mut [0; 9]).expect("it is heard");
    let waits = hub.write_out((machine, life, "a:1"), &*link, &mut Vec::new()).expect("it is up");
    assert_eq!(waits, Some(Waits::default()), "it has left");
}

/// Guards work that runs once: on a connection that its machine closed nothing leaves, so that it never ran.
#[tokio::test]
async fn nothing_leaves_on_a_connection_that_was_closed() {
    let (hub, machine, _) = offered("once", 5.0);
    let (at_machine, link) = pair().await;
    drop(at_machine);
    until(&link, Unread::End);
    let life = hub.lock().nodes[&machine].life;
    let written = hub.write_out((machine, life, "a:1"), &*link, &mut Vec::new()).expect("no error came");
    assert_eq!(written, None);
    assert!(!hub.lock().nodes[&machine].outbox.is_empty(), "it goes out on the next one");
    assert!(!hub.lock().core.is_open_at(machine), "and has not run");
}

/// Guards clients against a machine that does not read: what finds no room in its queue is not kept until it times out,
/// but ended at once; it never ran.
#[test]
fn what_finds_no_room_in_a_queue_is_ended_at_once() {
    // A set-up is longer than this, an answer to an owner is not.
    let (hub, machine, _) = offered_within("once", 5.0, 64);
    let inner = hub.lock();
    assert!(inner.nodes[&machine].outbox.is_empty(), "it is not queued");
    assert!(!inner.core.is_trying_at(machine), "and is not booked as if it were");
}
