use super::*;

const ALLOWED: Allowed =
    Allowed { attempts: 2, window: Duration::from_secs(6), slack: Duration::from_millis(50) };

fn ledger(entries: &[(u64, u64, What)]) -> Ledger {
    let mut ledger = Ledger { node: "n".into(), ..Ledger::default() };
    entries
        .iter()
        .for_each(|(ms, job, what)| ledger.record(Duration::from_millis(*ms), *job, 1, what.clone()));
    ledger
}

fn ask(left_ms: u64) -> What {
    What::Ask { class: "keyed".into(), key: Some("k".into()), left_ms, body: String::new() }
}

/// Partial times are counted from the first start until the group is complete or its last member is stopped.
#[test]
fn partial_times_are_counted() {
    let of = |body: &str| {
        let mut parts = body.split(' ').map(|p| p.parse::<usize>().unwrap_or_default());
        Some((parts.next()? as u64, parts.next()?, parts.next()?))
    };
    let ask = |body: &str| What::Ask { class: "c".into(), key: None, left_ms: 900, body: body.into() };
    let complete = [
        ledger(&[(0, 1, ask("7 0 2")), (10, 1, What::Runs), (900, 1, What::Ended)]),
        ledger(&[(0, 2, ask("7 1 2")), (60, 2, What::Runs), (2000, 2, What::Ended)]),
    ];
    let verdict = groups(&complete, of, Duration::from_millis(50));
    assert_eq!((verdict.groups, verdict.partial), (1, vec![Duration::from_millis(50)]));
    let cut = [
        ledger(&[(0, 1, ask("7 0 2")), (10, 1, What::Runs), (1500, 1, What::Stopped), (1900, 1, What::Cut)]),
        ledger(&[(0, 2, ask("7 1 2")), (60, 2, What::Refused)]),
    ];
    assert_eq!(groups(&cut, of, Duration::ZERO).partial, [Duration::from_millis(1490)]);
    let twice = [
        ledger(&[(0, 1, ask("7 0 2")), (10, 1, What::Runs)]),
        ledger(&[(0, 2, ask("7 0 2")), (60, 2, What::Runs), (900, 2, What::Ended)]),
    ];
    assert_eq!(groups(&twice[..], of, Duration::ZERO).doubled.len(), 0, "the first ends with its ledger");
    let over = [
        ledger(&[(0, 1, ask("7 0 2")), (10, 1, What::Runs), (500, 1, What::Ended)]),
        ledger(&[(0, 2, ask("7 0 2")), (60, 2, What::Runs), (900, 2, What::Ended)]),
    ];
    assert_eq!(groups(&over, of, Duration::ZERO).doubled.len(), 1);
}

/// The auditor reports each broken rule, and nothing where all rules are kept.
#[test]
fn broken_rules_are_seen() {
    let quiet = [
        ledger(&[(0, 1, ask(1000)), (100, 1, What::Refused)]),
        ledger(&[(120, 1, ask(1000)), (1000, 1, What::Stopped)]),
    ];
    assert_eq!(audit(&quiet, ALLOWED).broken, Vec::<String>::new());
    let cases = [
        (
            vec![ledger(&[(0, 1, ask(1000))]), ledger(&[(500, 1, ask(1000)), (510, 1, What::Refused)])],
            "together",
        ),
        (vec![ledger(&[(0, 1, ask(100))]), ledger(&[(7000, 1, ask(100))])], "repeated after"),
        (vec![ledger(&[(0, 1, ask(1000))]), ledger(&[(500, 2, ask(10))])], "key k: attempts"),
        (
            vec![ledger(&[
                (0, 1, ask(9)),
                (10, 1, What::Refused),
                (20, 1, ask(9)),
                (30, 1, What::Refused),
                (40, 1, ask(9)),
            ])],
            "3 attempts",
        ),
    ];
    for (ledgers, wanted) in cases {
        let broken = audit(&ledgers, ALLOWED).broken;
        assert!(broken.iter().any(|b| b.contains(wanted)), "{wanted}: {broken:?}");
    }
}
