//! The output queue of one connection.
//!
//! Messages stay here until the socket takes them, so that a cancelled set-up can be withdrawn; only a
//! message of which a byte has been written must be completed.

use super::errors::is_shortage;
use super::platform::node::SetUp;
use crate::placer::{AttemptNo, RequestId, Seconds};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;

/// The destination of the bytes: a socket, or a test double that fails.
pub trait Sink {
    /// Writes as many bytes as it can without waiting, and returns how many.
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
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
}

/// A bounded queue of messages.
pub struct Outbox {
    messages: VecDeque<QueuedMessage>,
    /// Bytes of the first message that have been written.
    written: usize,
    /// Bytes of all queued messages.
    bytes: usize,
    /// Bytes. The capacity of the queue.
    max_bytes: usize,
}

impl Outbox {
    /// An empty queue that holds at most so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Outbox { messages: VecDeque::new(), written: 0, bytes: 0, max_bytes }
    }

    /// Adds a message; false where the reader is so slow that the queue is full.
    #[must_use]
    pub fn push(&mut self, bytes: Vec<u8>, tag: Tag) -> bool {
        self.push_message(QueuedMessage { bytes, tag, set_up: None })
    }

    /// Adds a set-up; false where the queue is full.
    #[must_use]
    pub fn push_set_up(&mut self, now: Seconds, set_up: SetUp) -> bool {
        let (bytes, tag) = (set_up.lines(now), Tag::Launch(set_up.job, set_up.attempt));
        self.push_message(QueuedMessage { bytes, tag, set_up: Some((set_up, now)) })
    }

    fn push_message(&mut self, message: QueuedMessage) -> bool {
        if self.bytes + message.bytes.len() > self.max_bytes {
            return false;
        }
        self.bytes += message.bytes.len();
        let tag = message.tag;
        if tag != Tag::ResendToMachine {
            self.messages.push_back(message);
            return true;
        }
        // A release goes to the machine first, after a message that is partly written and after earlier
        // releases.
        let partly_written = usize::from(self.written > 0);
        let others =
            self.messages.iter().skip(partly_written).take_while(|m| m.tag == Tag::ResendToMachine).count();
        self.messages.insert(partly_written + others, message);
        true
    }

    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
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
        self.bytes -= message.bytes.len();
        message.set_up.map(|(set_up, _)| set_up)
    }

    /// Encodes unwritten set-ups again, so that they state the time that is left now.
    pub fn reencode_set_ups(&mut self, now: Seconds) {
        let partly_written = usize::from(self.written > 0);
        for message in self.messages.iter_mut().skip(partly_written) {
            let Some((set_up, encoded_at)) = &mut message.set_up else { continue };
            if now - *encoded_at < REENCODE_AFTER_S {
                continue;
            }
            *encoded_at = now;
            self.bytes -= message.bytes.len();
            message.bytes = set_up.lines(now);
            self.bytes += message.bytes.len();
        }
    }

    /// Withdraws a set-up; false where it is not queued or its first byte has been written.
    pub fn withdraw(&mut self, job: RequestId) -> bool {
        self.remove_set_up(job).is_some()
    }

    /// Writes what the socket takes before the connection is closed; a set-up that is partly written is left
    /// incomplete.
    pub fn write_final(&mut self, stream: &impl Sink) -> io::Result<()> {
        let partial_set_up =
            self.written > 0 && self.messages.front().is_some_and(|m| matches!(m.tag, Tag::Launch(..)));
        if partial_set_up {
            return Ok(());
        }
        self.write(stream, &mut Vec::new()).map(|_| ())
    }

    /// Empties the queue after the connection ended for good, and returns the messages to be sent on another
    /// connection, a partly written one included.
    pub fn take_reroutable(&mut self) -> Vec<Vec<u8>> {
        (self.written, self.bytes) = (0, 0);
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
        self.bytes = self.messages.iter().map(|m| m.bytes.len()).sum();
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
            self.bytes -= front.bytes.len();
            self.written = 0;
            self.messages.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
