use super::*;

/// Guards running tasks and open attempts against being abandoned after errors that prove nothing. Only a
/// refused connection proves that no process listens; a shortage in this planner says nothing about the
/// machine.
#[test]
fn only_a_refused_connection_proves_anything() {
    let classify = |code: i32| match Dialled::failed(&io::Error::from_raw_os_error(code)) {
        Dialled::Up(_) => "up",
        Dialled::Refused => "refused",
        Dialled::Silent => "silent",
        Dialled::NoResources => "short",
    };
    let codes = [
        (111, "refused"), // ECONNREFUSED
        (104, "silent"),  // ECONNRESET
        (110, "silent"),  // ETIMEDOUT
        (113, "silent"),  // EHOSTUNREACH
        (101, "silent"),  // ENETUNREACH
        (24, "short"),    // EMFILE
        (23, "short"),    // ENFILE
        (105, "short"),   // ENOBUFS
        (4, "short"),     // EINTR
        (12, "short"),    // ENOMEM
        (99, "short"),    // EADDRNOTAVAIL
        (98, "short"),    // EADDRINUSE
    ];
    for (code, expected) in codes {
        assert_eq!(classify(code), expected, "error {code}");
    }
}
