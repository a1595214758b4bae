//! Tests of the parser and the readers with invalid texts.

use super::*;

fn faults(text: &str, read: impl Fn(&Section<'_>)) -> Vec<String> {
    let text = Text::new("f", text);
    let sink = Sink::default();
    match parse(&text) {
        Err(faults) => faults.lines(),
        Ok(root) => {
            let section = Item::root(&root, &sink).section().expect("an object");
            read(&section);
            section.close(|_| None);
            Faults::new(&text, sink.take()).lines()
        }
    }
}

/// All faults of a file must be reported, each at the right position.
#[test]
fn all_faults_are_reported_in_the_order_of_the_text() {
    let text = "{\n  // ä remark\n  a: 0,\n  'b': NaN, c: 1e999, d: 0x10, d: 2,\n  lissen: '',\n}";
    let reported = faults(text, |s| {
        for name in ["d", "c", "b", "a"] {
            s.get(name).and_then(|i| i.millis(1e3));
        }
        s.get("listen");
    });
    assert_eq!(
        reported,
        [
            "f:3:6: a: is 0; above 0 and up to 1000 ms is allowed",
            "f:4:8: b: is not a number",
            "f:4:16: c: is infinite, or too large for a number",
            "f:4:32: d: is named twice",
            "f:5:3: lissen: \"lissen\" is not known; did you mean \"listen\"?",
        ]
    );
}

/// A truncated text, as read while a program still writes the file, must not parse.
#[test]
fn every_truncated_text_is_rejected() {
    let complete = "{rest: {listen: \"a\", n: [1, 2.5, -3]}, x: null}";
    for cut in 0..complete.len() {
        assert!(parse(&Text::new("f", &complete[..cut])).is_err(), "{cut}");
    }
    assert!(parse(&Text::new("f", complete)).is_ok());
    assert!(parse(&Text::new("f", "[".repeat(100_000))).is_err(), "nested too deeply");
}
