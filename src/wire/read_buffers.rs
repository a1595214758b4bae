//! A pool of read buffers for all connections. A connection borrows a buffer for a read and keeps it only
//! while it holds an incomplete line, so an idle connection holds none.

use bytes::BytesMut;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes. Most that one read takes.
pub const READ_BYTES: usize = 16 * 1024;
/// Count. Most unused buffers that the pool keeps; more are allocated on demand.
const MAX_POOLED: usize = 4;

/// The pool: buffers that no connection holds.
#[derive(Debug, Default)]
pub struct ReadBuffers(Mutex<Vec<BytesMut>>);

impl ReadBuffers {
    /// An empty buffer with room for a read.
    pub fn lend(&self) -> BytesMut {
        self.pool().pop().unwrap_or_else(|| BytesMut::with_capacity(READ_BYTES))
    }

    /// Returns a buffer to the pool; its content is discarded.
    pub fn give_back(&self, mut buffer: BytesMut) {
        buffer.clear();
        buffer.reserve(READ_BYTES);
        let mut pool = self.pool();
        // A buffer that has grown for a long line is freed.
        if pool.len() < MAX_POOLED && buffer.capacity() <= READ_BYTES {
            pool.push(buffer);
        }
    }

    fn pool(&self) -> MutexGuard<'_, Vec<BytesMut>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
