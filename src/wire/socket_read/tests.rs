use super::*;
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpListener;

/// Both ends of a connection: the peer's, and the planner's.
async fn connected_pair() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = std::net::TcpStream::connect(listener.local_addr().expect("its address")).expect("up");
    let (stream, _) = listener.accept().await.expect("a connection");
    (peer, stream)
}

/// Waits until the socket holds at least so many unread bytes, without a poll by the runtime.
fn wait_until_unread(stream: &TcpStream, bytes: usize) {
    let mut unread = vec![std::mem::MaybeUninit::uninit(); bytes];
    while !matches!(socket2::SockRef::from(stream).peek(&mut unread), Ok(count) if count >= bytes) {
        std::thread::yield_now();
    }
}

/// Guards answers that arrive right before a close or a reset: they are read together with it, although the
/// runtime has not polled the socket.
#[tokio::test]
async fn bytes_before_a_close_are_read_with_it() {
    for reset in [false, true] {
        let (mut peer, stream) = connected_pair().await;
        let mut buffer = BytesMut::new();
        assert!(matches!(read_available(&stream, &mut buffer), ReadState::Open));
        peer.write_all(&[b'x'; 3 * CHUNK_BYTES]).expect("written");
        wait_until_unread(&stream, 3 * CHUNK_BYTES);
        if reset {
            socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a reset");
        }
        drop(peer);
        let read_state = loop {
            match read_available(&stream, &mut buffer) {
                ReadState::Open => std::thread::yield_now(),
                other => break other,
            }
        };
        assert_eq!(matches!(read_state, ReadState::Broken(_)), reset, "{read_state:?}");
        assert_eq!(buffer.len(), 3 * CHUNK_BYTES);
    }
}
