use super::*;

/// Guards what stands and what is out against errors that prove nothing: only a host that says that nobody listens
/// proves that a process is gone, and what this planner lacks is no word of a machine at all.
#[test]
fn only_a_refused_connection_proves_anything() {
    let told = |code: i32| match Dialled::failed(&io::Error::from_raw_os_error(code)) {
        Dialled::Up(_) => "up",
        Dialled::Refused => "refused",
        Dialled::Silent => "silent",
        Dialled::Short => "short",
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
    for (code, what) in codes {
        assert_eq!(told(code), what, "error {code}");
    }
}
