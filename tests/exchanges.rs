//! Runs the scripts in `tests/exchanges` against the program and compares the transcripts with recorded ones.

mod exchange;

#[test]
fn exchanges_go_as_recorded() {
    insta::glob!("exchanges/*.txt", |path| {
        let script = std::fs::read_to_string(path).expect("a script");
        insta::with_settings!({prepend_module_to_snapshot => false, omit_expression => true}, {
            insta::assert_snapshot!(exchange::play(&script));
        });
    });
}
