//! Size limits that keep the placer readable for an audit.

use std::fs;

#[test]
fn the_module_is_short() {
    let text =
        fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/placer/rules.rs")).expect("the module");
    let lines = text.lines().count();
    assert!(lines <= 940, "{lines} lines");
    assert!(lines > 100, "read the wrong file?");
}

#[test]
fn no_line_is_long() {
    for file in ["placer/rules.rs", "placer/records.rs", "placer/interface.rs", "lib.rs"] {
        let text =
            fs::read_to_string(format!("{}/src/{file}", env!("CARGO_MANIFEST_DIR"))).expect("a source");
        for (at, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}:{}", at + 1);
        }
    }
}
