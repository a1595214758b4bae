//! Read buffers that connections share: one is lent for a read, and is kept by a connection only as long as a line that
//! is not whole lies in it. A connection on which nothing comes holds none.

use bytes::BytesMut;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes that are read at once.
pub const READ_BYTES: usize = 16 * 1024;
/// Count. Buffers that are kept for the next read; more are lent where more are asked for.
const MOST_KEPT: usize = 4;

/// The buffers that nobody holds.
#[derive(Debug, Default)]
pub struct ReadBuffers(Mutex<Vec<BytesMut>>);

impl ReadBuffers {
    /// An empty buffer with room for a read.
    pub fn lend(&self) -> BytesMut {
        self.kept().pop().unwrap_or_else(|| BytesMut::with_capacity(READ_BYTES))
    }

    /// Takes a buffer back, with whatever is still in it.
    pub fn give_back(&self, mut buffer: BytesMut) {
        buffer.clear();
        buffer.reserve(READ_BYTES);
        let mut kept = self.kept();
        // One that a long line made grow is let go.
        if kept.len() < MOST_KEPT && buffer.capacity() <= READ_BYTES {
            kept.push(buffer);
        }
    }

    fn kept(&self) -> MutexGuard<'_, Vec<BytesMut>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
