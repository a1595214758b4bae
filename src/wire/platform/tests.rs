use super::{discovery, node, owner};
use crate::wire::import::access_log;
use rand::{Rng, SeedableRng};

/// Guards against a panic, which ends the program, on malformed bytes: each reader returns an error instead.
#[test]
fn no_bytes_make_a_reader_panic() {
    let valid_inputs: [&[u8]; 5] = [
        b"\x00\x5f\x01\x00\x00\x00\x00\x00\x00\x00\x01\x03\x00\x09stateless\x04\x00\x045000\x07\x00\x01c\x08\x00)cores:1;\
memory:2;service:00000000000000aa\x12\x00\x10GET /run there\r\n",
        br#"{"kind":"stop","uid":"0000000000000001","meta":{"note":"nq","load":"x0:1;x1:2"},"reason":34}"#,
        br#"{"rev":2,"pool":{"reset":true,"instances":[{"instanceId":"b","hostPort":"a:1","lifecycle":"x"}]}}"#,
        br#"10.0.0.1 - - [24/Dec/2025:08:00:00 +0100] "GET /run HTTP/1.1" 200 512 "-" "a \"b\"""#,
        b"41",
    ];
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let (mut read, mut refused) = (0, 0);
    for round in 0..20_000 {
        let mut bytes = valid_inputs[round % valid_inputs.len()].to_vec();
        for _ in 0..rng.gen_range(0..4) {
            let at = rng.gen_range(0..bytes.len());
            bytes[at] = rng.gen();
        }
        bytes.truncate(rng.gen_range(0..=2 * bytes.len()));
        let set_up =
            owner::take(&bytes).map(|taken| taken.map(|(_, m)| (m.cause().is_ok(), m.set_up().is_ok())));
        let valid = [
            matches!(set_up, Ok(Some((_, true)))),
            node::read(&bytes).is_ok(),
            discovery::read(&bytes).is_ok(),
            !access_log::read(&bytes).0.is_empty(),
        ];
        read += valid.iter().filter(|w| **w).count();
        refused += valid.iter().filter(|w| !**w).count();
    }
    assert!(read > 3_000 && refused > 3_000, "too few inputs of one kind: {read} valid, {refused} malformed");
}
