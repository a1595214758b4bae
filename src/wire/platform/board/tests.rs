use super::*;

/// Guards against a warning every second: the board's beat is an object, where its page tells of a number.
#[test]
fn a_beat_is_a_number_bare_or_named() {
    for line in ["41", "{\"rev\":41}"] {
        assert!(matches!(read(line.as_bytes()), Ok(Line::Beat(41))), "{line}");
    }
    let event = br#"{"rev":41,"pool":{"reset":false,"instances":[]}}"#;
    assert!(matches!(read(event), Ok(Line::Event(event)) if event.rev == 41));
    assert!(read(b"{\"rev\":").is_err());
}
