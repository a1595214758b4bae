use super::*;
use rand::{Rng, SeedableRng};

fn words() -> Vec<PeerMessage> {
    let (life, number) = (u64::MAX - 7, 9);
    let claim = Claim { slot: 1023, number, keep: true };
    let vote = Vote { slot: 3, life, number, given: true, wanted: false, free: Some(0) };
    let ask = Ask { life: 5, number: 2, wants: 70, holds: 3, total: 100, hold: 1_500_000 };
    let grant = Grant { life, number: 2, units: 12, span: 2_900_000, total: 100, hold: 0 };
    vec![
        PeerMessage::Claim(claim),
        PeerMessage::Vote(vote),
        PeerMessage::Ask(77, ask),
        PeerMessage::Grant(78, grant),
    ]
}

/// Guards words against their way: what is written is read, in datagrams that keep their bound.
#[test]
fn what_is_written_is_read() {
    let many: Vec<PeerMessage> = (0..40).flat_map(|_| words()).collect();
    let letters = write(1, 4, 5, &many);
    assert!(letters.len() > 8 && letters.iter().all(|l| l.len() <= MOST_BYTES));
    let read = letters.iter().flat_map(|l| read(1, l).expect("a letter").words);
    assert_eq!(read.collect::<Vec<_>>(), many);
    let absurd = Ask { life: 5, number: 1, wants: u64::MAX, holds: 0, total: 1, hold: 0 };
    let letter = read_one(&write(1, 4, 5, &[PeerMessage::Ask(1, absurd)])[0]);
    assert_eq!(letter.words, [PeerMessage::Ask(1, Ask { wants: u64::from(u32::MAX), ..absurd })]);
}

fn read_one(bytes: &[u8]) -> Letter {
    read(1, bytes).expect("a letter")
}

/// Guards shares against datagrams that are spoilt, cut off, of another fleet or version: none is taken, none panics.
#[test]
fn nothing_but_whole_letters_of_this_fleet_is_read() {
    let letter = write(1, 4, 5, &words()).remove(0);
    assert_eq!(read(2, &letter), Err(Malformed::Check));
    assert_eq!(read(1, &[&[9][..], &letter[1..]].concat()), Err(Malformed::Version(9)));
    for cut in 0..letter.len() {
        assert!(read(1, &letter[..cut]).is_err(), "{cut}");
    }
    for bit in 0..letter.len() * 8 {
        let mut spoilt = letter.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        assert!(read(1, &spoilt).is_err(), "bit {bit}");
    }
    // Words behind a good check that are none.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2_000 {
        let rest: Vec<u8> = (0..rng.gen_range(10..240)).map(|_| rng.gen_range(0..6)).collect();
        let bytes = [&[VERSION][..], &check(1, &rest).to_be_bytes(), &rest].concat();
        let _ = read(1, &bytes);
    }
}
