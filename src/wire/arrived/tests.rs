use super::*;
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpListener;

/// Both ends of a connection: the other's, and the planner's.
async fn pair() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("up");
    let (stream, _) = listener.accept().await.expect("a connection");
    (peer, stream)
}

/// Waits until the planner's system has so many bytes of the peer, at least; the planner itself has not looked.
fn until_there(stream: &TcpStream, bytes: usize) {
    let mut there = vec![std::mem::MaybeUninit::uninit(); bytes];
    while !matches!(socket2::SockRef::from(stream).peek(&mut there), Ok(count) if count >= bytes) {
        std::thread::yield_now();
    }
}

/// Guards answers that are the last thing before an end or a reset: they are read with it, though the runtime was not
/// asked whether there is anything to read.
#[tokio::test]
async fn what_came_before_an_end_is_read_with_it() {
    for reset in [false, true] {
        let (mut peer, stream) = pair().await;
        let mut buffer = BytesMut::new();
        assert!(matches!(read_arrived(&stream, &mut buffer), Reached::Open));
        peer.write_all(&[b'x'; 3 * PART_BYTES]).expect("written");
        until_there(&stream, 3 * PART_BYTES);
        if reset {
            socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a reset");
        }
        drop(peer);
        let reached = loop {
            match read_arrived(&stream, &mut buffer) {
                Reached::Open => std::thread::yield_now(),
                other => break other,
            }
        };
        assert_eq!(matches!(reached, Reached::Broken(_)), reset, "{reached:?}");
        assert_eq!(buffer.len(), 3 * PART_BYTES);
    }
}
