//! Classification of errors of system calls on sockets.

use std::io;

/// ENOMEM, ENFILE, EMFILE and ENOBUFS; not all of them have an `ErrorKind`.
const SHORTAGES: [i32; 4] = [12, 23, 24, 105];

/// Whether this process or the system lacks memory, buffers or descriptors now, which says nothing about the
/// far end.
pub fn is_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| SHORTAGES.contains(&code))
}

/// Whether a read or write can be retried on the same socket.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || is_shortage(error)
}
