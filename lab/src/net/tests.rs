use super::*;
use std::time::Duration;

/// A forwarded datagram arrives from the address that the receiver knows for the sender; datagrams across a
/// partition or from an unknown source are dropped.
#[test]
fn the_relay_forwards_or_drops_datagrams() {
    let net = Net::start(2, 1).expect("a relay");
    let ends: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    for (at, end) in ends.iter().enumerate() {
        net.set_target(at, end.local_addr().expect("an address"));
        end.set_read_timeout(Some(Duration::from_millis(300))).expect("set a read timeout");
    }
    let mut bytes = [0; 16];
    ends[0].send_to(b"a", net.address(0, 1)).expect("sent");
    assert_eq!(ends[1].recv_from(&mut bytes).expect("datagram received"), (1, net.address(1, 0)));
    net.apply(&Fault::Part { groups: vec![vec![0], vec![1]], one_way: false });
    ends[0].send_to(b"b", net.address(0, 1)).expect("sent");
    assert!(ends[1].recv_from(&mut bytes).is_err(), "partitioned");
    net.apply(&Fault::Heal);
    ends[1].send_to(b"c", net.address(0, 1)).expect("sent");
    assert!(ends[1].recv_from(&mut bytes).is_err(), "sent to the relay address of another planner");
    assert_eq!(net.counts()[0], Traffic { received: 2, bytes: 2, forwarded: 1 });
}
