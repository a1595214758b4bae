use super::*;
use std::time::Duration;

/// Guards the rigs: what goes through arrives under the address that its receiver knows for the sender, what is cut
/// does not, and strangers are passed by.
#[test]
fn words_go_through_the_relay_or_not() {
    let net = Net::start(2, 1).expect("a relay");
    let ends: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    for (at, end) in ends.iter().enumerate() {
        net.target(at, end.local_addr().expect("an address"));
        end.set_read_timeout(Some(Duration::from_millis(300))).expect("a time");
    }
    let mut bytes = [0; 16];
    ends[0].send_to(b"a", net.address(0, 1)).expect("sent");
    assert_eq!(ends[1].recv_from(&mut bytes).expect("it comes"), (1, net.address(1, 0)));
    net.take(&What::Part { groups: vec![vec![0], vec![1]], one_way: false });
    ends[0].send_to(b"b", net.address(0, 1)).expect("sent");
    assert!(ends[1].recv_from(&mut bytes).is_err(), "cut");
    net.take(&What::Heal);
    ends[1].send_to(b"c", net.address(0, 1)).expect("sent");
    assert!(ends[1].recv_from(&mut bytes).is_err(), "a stranger on another's way");
    assert_eq!(net.counts()[0], Passed { came: 2, bytes: 2, passed: 1 });
}
