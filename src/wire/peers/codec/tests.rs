use super::*;
use rand::{Rng, SeedableRng};

fn messages() -> Vec<PeerMessage> {
    let (incarnation, number) = (u64::MAX - 7, 9);
    let claim = Claim { slot: 1023, number, keep: true };
    let vote = Vote { slot: 3, incarnation, number, given: true, wanted: false, free: Some(0) };
    let ask = Ask { incarnation: 5, number: 2, wants: 70, holds: 3, total: 100, hold: 1_500_000 };
    let grant = Grant { incarnation, number: 2, units: 12, span: 2_900_000, total: 100, hold: 0 };
    vec![
        PeerMessage::Claim(claim),
        PeerMessage::Vote(vote),
        PeerMessage::Ask(77, ask),
        PeerMessage::Grant(78, grant),
    ]
}

/// Encoded messages decode to the same messages, and no datagram exceeds the maximum length.
#[test]
fn encoded_messages_decode_to_the_same() {
    let many: Vec<PeerMessage> = (0..40).flat_map(|_| messages()).collect();
    let datagrams = write(1, 4, 5, &many);
    assert!(datagrams.len() > 8 && datagrams.iter().all(|d| d.len() <= MAX_BYTES));
    let read = datagrams.iter().flat_map(|d| read(1, d).expect("a valid datagram").messages);
    assert_eq!(read.collect::<Vec<_>>(), many);
    let too_large = Ask { incarnation: 5, number: 1, wants: u64::MAX, holds: 0, total: 1, hold: 0 };
    let datagram = read_one(&write(1, 4, 5, &[PeerMessage::Ask(1, too_large)])[0]);
    assert_eq!(datagram.messages, [PeerMessage::Ask(1, Ask { wants: u64::from(u32::MAX), ..too_large })]);
}

fn read_one(bytes: &[u8]) -> Datagram {
    read(1, bytes).expect("a valid datagram")
}

/// Datagrams that are corrupt, truncated, of another fleet or of another version are rejected, and none
/// panics.
#[test]
fn only_valid_datagrams_of_this_fleet_are_accepted() {
    let datagram = write(1, 4, 5, &messages()).remove(0);
    assert_eq!(read(2, &datagram), Err(Malformed::Check));
    assert_eq!(read(1, &[&[9][..], &datagram[1..]].concat()), Err(Malformed::Version(9)));
    for cut in 0..datagram.len() {
        assert!(read(1, &datagram[..cut]).is_err(), "{cut}");
    }
    for bit in 0..datagram.len() * 8 {
        let mut corrupt = datagram.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert!(read(1, &corrupt).is_err(), "bit {bit}");
    }
    // Random bytes after a valid check must not panic either.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2_000 {
        let rest: Vec<u8> = (0..rng.gen_range(10..240)).map(|_| rng.gen_range(0..6)).collect();
        let bytes = [&[VERSION][..], &check(1, &rest).to_be_bytes(), &rest].concat();
        let _ = read(1, &bytes);
    }
}
