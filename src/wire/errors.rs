//! What errors of system calls on a socket mean for it.

use std::io;

/// ENOMEM, ENFILE, EMFILE and ENOBUFS, of which not all have a kind of their own.
const SHORTAGES: [i32; 4] = [12, 23, 24, 105];

/// Whether this process or the system lacks memory, buffers or descriptors now: no word of the far end.
pub fn is_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

/// Whether a read or write may be tried again on the same socket.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || is_shortage(error)
}
