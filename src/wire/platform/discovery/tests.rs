use super::*;

/// Guards against a rejected heartbeat every second: the service sends an object, although its documentation
/// says a number.
#[test]
fn a_heartbeat_is_a_bare_or_a_named_number() {
    for line in ["41", "{\"rev\":41}"] {
        assert!(matches!(read(line.as_bytes()), Ok(Line::Heartbeat(41))), "{line}");
    }
    let event = br#"{"rev":41,"pool":{"reset":false,"instances":[]}}"#;
    assert!(matches!(read(event), Ok(Line::Event(event)) if event.rev == 41));
    assert!(read(b"{\"rev\":").is_err());
}
