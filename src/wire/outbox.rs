//! The output queue of one connection.
//!
//! Messages stay here until the socket takes them, so that a cancelled set-up can be withdrawn; only a
//! message of which a byte has been written must be completed.

mod budget;

pub use budget::QueueBudget;

use super::errors::is_shortage;
use super::platform::node::SetUp;
use crate::placer::{AttemptNo, RequestId, Seconds};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Bytes of memory that a queued message takes besides its content.
const MESSAGE_OVERHEAD: usize = std::mem::size_of::<QueuedMessage>();

/// The destination of the bytes: a socket, or a test double that fails.
pub trait Sink {
    /// Writes as many bytes as it can without waiting, and returns how many.
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
}

/// A socket that is written by system calls alone. The runtime reports a socket as blocked until it has polled it, also
/// where the socket would take more.
pub struct DirectSink<'a>(pub &'a TcpStream);

impl Sink for DirectSink<'_> {
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        socket2::SockRef::from(self.0).send_vectored(slices)
    }
}

impl Sink for TcpStream {
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        TcpStream::try_write_vectored(self, slices)
    }
}

/// Wait before a write is retried that failed because the system had no buffer.
pub const NO_BUFFER_RETRY: Duration = Duration::from_millis(5);

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Everything was written.
    All,
    /// The rest waits until the socket is writable.
    Blocked,
    /// The system has no buffer: the rest waits, and the socket does not signal when to retry.
    NoBuffers,
}

/// Seconds. A set-up that was encoded longer ago is encoded again before it is written, with the time that is
/// left now.
const REENCODE_AFTER_S: Seconds = 0.01;
/// Count. Most messages that one system call writes.
const MAX_COALESCED: usize = 32;

/// How a message is treated when it is cancelled or its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    /// Dropped with the connection.
    Plain,
    /// A set-up: it can be withdrawn until its first byte is written.
    Launch(RequestId, AttemptNo),
    /// Sent on the next connection to the same machine if this one breaks, and before other messages.
    ResendToMachine,
    /// Sent on another connection of the same owner if this one ends; it keeps its place in the queue.
    Reroute,
}

/// A queued message.
struct QueuedMessage {
    bytes: Vec<u8>,
    tag: Tag,
    /// The set-up that the message carries, and when it was encoded.
    set_up: Option<(SetUp, Seconds)>,
    /// The time after which the message must not be written any more, if there is one.
    write_by: Option<Seconds>,
}

impl QueuedMessage {
    /// Bytes of memory that the message takes.
    fn size(&self) -> usize {
        self.bytes.len() + MESSAGE_OVERHEAD
    }
}

/// A bounded queue of messages.
pub struct Outbox {
    messages: VecDeque<QueuedMessage>,
    /// Bytes of the first message that have been written.
    written: usize,
    /// Bytes of memory that all queued messages take.
    bytes: usize,
    /// Bytes that this queue may always hold.
    reserve: usize,
    /// The memory from which it borrows more.
    budget: Arc<QueueBudget>,
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.budget.change(self.borrowed(), 0);
    }
}

impl Outbox {
    /// An empty queue that may always hold `reserve` bytes, and more as far as the budget allows.
    pub fn new(reserve: usize, budget: Arc<QueueBudget>) -> Self {
        Outbox { messages: VecDeque::new(), written: 0, bytes: 0, reserve, budget }
    }

    /// Bytes that the queue holds beyond its reserve.
    pub fn borrowed(&self) -> usize {
        self.bytes.saturating_sub(self.reserve)
    }

    /// Whether a message of so many bytes fits into the queue.
    pub fn has_room(&self, length: usize) -> bool {
        let needed = (self.bytes + length + MESSAGE_OVERHEAD).saturating_sub(self.reserve);
        needed.saturating_sub(self.borrowed()) <= self.budget.available()
    }

    fn set_bytes(&mut self, bytes: usize) {
        let borrowed = self.borrowed();
        self.bytes = bytes;
        self.budget.change(borrowed, self.borrowed());
    }

    /// Adds a message, also where there is no room for it.
    pub fn push(&mut self, bytes: Vec<u8>, tag: Tag) {
        self.insert(QueuedMessage { bytes, tag, set_up: None, write_by: None });
    }

    /// Adds a message for this connection alone that is not written later than `write_by`.
    pub fn push_until(&mut self, bytes: Vec<u8>, write_by: Seconds) {
        self.insert(QueuedMessage { bytes, tag: Tag::Plain, set_up: None, write_by: Some(write_by) });
    }

    /// Drops the messages of which nothing has been written and whose time to be written has passed.
    pub fn drop_late(&mut self, now: Seconds) {
        let mut is_partly_written = self.written > 0;
        self.messages.retain(|message| {
            std::mem::take(&mut is_partly_written) || message.write_by.is_none_or(|at| now <= at)
        });
        self.set_bytes(self.messages.iter().map(QueuedMessage::size).sum());
    }

    /// Adds a set-up; false where the queue has no room for it.
    #[must_use]
    pub fn push_set_up(&mut self, now: Seconds, set_up: SetUp) -> bool {
        let (bytes, tag) = (set_up.lines(now), Tag::Launch(set_up.job, set_up.attempt));
        let has_room = self.has_room(bytes.len());
        if has_room {
            self.insert(QueuedMessage { bytes, tag, set_up: Some((set_up, now)), write_by: None });
        }
        has_room
    }

    fn insert(&mut self, message: QueuedMessage) {
        self.set_bytes(self.bytes + message.size());
        let tag = message.tag;
        if tag != Tag::ResendToMachine {
            return self.messages.push_back(message);
        }
        // A release goes to the machine first, after a message that is partly written and after earlier
        // releases.
        let partly_written = usize::from(self.written > 0);
        let others =
            self.messages.iter().skip(partly_written).take_while(|m| m.tag == Tag::ResendToMachine).count();
        self.messages.insert(partly_written + others, message);
    }

    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Bytes of memory that are queued, less what was written of the first message; falls with every byte that the
    /// socket takes.
    pub fn unwritten(&self) -> usize {
        self.bytes - self.written
    }

    /// Drops what cannot be sent on another connection, as this one is about to be closed; nothing may be written on
    /// it any more.
    pub fn drop_unroutable(&mut self) {
        self.written = 0;
        self.messages.retain(|m| m.tag == Tag::Reroute);
        self.set_bytes(self.messages.iter().map(QueuedMessage::size).sum());
    }

    /// Whether a set-up is queued of which nothing has been written.
    pub fn has_unsent_set_up(&self) -> bool {
        self.unsent().next().is_some()
    }

    /// The jobs of the queued set-ups of which nothing has been written.
    pub fn unsent(&self) -> impl Iterator<Item = RequestId> + '_ {
        let partly_written = usize::from(self.written > 0);
        self.messages
            .iter()
            .skip(partly_written)
            .filter_map(|m| m.set_up.as_ref())
            .map(|(set_up, _)| set_up.job)
    }

    /// Removes and returns a set-up of which nothing has been written.
    pub fn remove_set_up(&mut self, job: RequestId) -> Option<SetUp> {
        let partly_written = usize::from(self.written > 0);
        let is_it = |m: &QueuedMessage| m.set_up.as_ref().is_some_and(|(set_up, _)| set_up.job == job);
        let at = self.messages.iter().skip(partly_written).position(is_it)?;
        let message = self.messages.remove(partly_written + at)?;
        self.set_bytes(self.bytes - message.size());
        message.set_up.map(|(set_up, _)| set_up)
    }

    /// Encodes unwritten set-ups again, so that they state the time that is left now.
    pub fn reencode_set_ups(&mut self, now: Seconds) {
        let partly_written = usize::from(self.written > 0);
        let mut bytes = self.bytes;
        for message in self.messages.iter_mut().skip(partly_written) {
            let Some((set_up, encoded_at)) = &mut message.set_up else { continue };
            if now - *encoded_at < REENCODE_AFTER_S {
                continue;
            }
            *encoded_at = now;
            let lines = set_up.lines(now);
            bytes = bytes - message.bytes.len() + lines.len();
            message.bytes = lines;
        }
        self.set_bytes(bytes);
    }

    /// Withdraws a set-up; false where it is not queued or its first byte has been written.
    pub fn withdraw(&mut self, job: RequestId) -> bool {
        self.remove_set_up(job).is_some()
    }

    /// Whether the time has passed in which the rest of a partly written message had to be written.
    pub fn has_late_rest(&self, now: Seconds) -> bool {
        let first = self.messages.front().filter(|_| self.written > 0);
        first.is_some_and(|first| first.write_by.is_some_and(|at| now > at))
    }

    /// Writes what the socket takes before the connection is closed; a set-up, or a message with a time limit, that is
    /// partly written is left incomplete.
    pub fn write_final(&mut self, stream: &impl Sink) -> io::Result<()> {
        let is_left = |m: &QueuedMessage| matches!(m.tag, Tag::Launch(..)) || m.write_by.is_some();
        if self.written > 0 && self.messages.front().is_some_and(is_left) {
            return Ok(());
        }
        self.write(stream, &mut Vec::new()).map(|_| ())
    }

    /// Empties the queue after the connection ended for good, and returns the messages to be sent on another
    /// connection, a partly written one included.
    pub fn take_reroutable(&mut self) -> Vec<Vec<u8>> {
        self.written = 0;
        self.set_bytes(0);
        let reroutable = self.messages.drain(..).filter(|m| m.tag == Tag::Reroute);
        reroutable.map(|m| m.bytes).collect()
    }

    /// Prepares the queue for the next connection after this one broke: drops messages that were meant for it
    /// alone, and a partly written one unless it is to be sent again in full.
    pub fn reset(&mut self) {
        if self.written > 0 && self.messages.front().is_some_and(|m| m.tag != Tag::ResendToMachine) {
            self.messages.pop_front();
        }
        self.written = 0;
        self.messages.retain(|m| m.tag != Tag::Plain);
        self.set_bytes(self.messages.iter().map(QueuedMessage::size).sum());
    }

    /// Writes what the socket takes now. Adds to `sent` the set-ups whose first byte was written, also if an
    /// error follows.
    pub fn write(
        &mut self,
        stream: &impl Sink,
        sent: &mut Vec<(RequestId, AttemptNo)>,
    ) -> io::Result<Written> {
        while !self.messages.is_empty() {
            let mut from = self.written;
            let rest = |m: &'_ QueuedMessage| std::mem::take(&mut from)..m.bytes.len();
            let ranges: Vec<_> = self.messages.iter().take(MAX_COALESCED).map(rest).collect();
            let slices: Vec<IoSlice<'_>> =
                self.messages.iter().zip(ranges).map(|(m, range)| IoSlice::new(&m.bytes[range])).collect();
            match stream.try_write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count, sent),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Written::Blocked),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_shortage(&e) => return Ok(Written::NoBuffers),
                Err(e) => return Err(e),
            }
        }
        Ok(Written::All)
    }

    /// Removes so many written bytes from the front of the queue.
    fn advance(&mut self, mut count: usize, sent: &mut Vec<(RequestId, AttemptNo)>) {
        while count > 0 {
            let Some(front) = self.messages.front() else { return };
            if let (0, Tag::Launch(job, attempt)) = (self.written, front.tag) {
                sent.push((job, attempt));
            }
            let rest = front.bytes.len() - self.written;
            if count < rest {
                self.written += count;
                return;
            }
            count -= rest;
            let size = front.size();
            self.set_bytes(self.bytes - size);
            self.written = 0;
            self.messages.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
