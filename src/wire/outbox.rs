//! What waits to be written to one connection.
//!
//! Messages stay here whole until the socket takes them, so that a set-up which was given up can be taken
//! back; only the one whose first byte has left must be completed.

use super::errors::is_shortage;
use super::platform::node::SetUp;
use crate::placer::{AttemptNo, RequestId, Seconds};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;

/// Where bytes go: a socket, or one that a test makes fail.
pub trait Sink {
    /// Takes what it can now.
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
}

impl Sink for TcpStream {
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        TcpStream::try_write_vectored(self, slices)
    }
}

/// Wait before a write that found no buffer is tried again.
pub const BUFFERS_AGAIN: Duration = Duration::from_millis(5);

/// How far a write came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Nothing waits.
    All,
    /// The rest waits until the socket takes more.
    Blocked,
    /// The system lacks buffers: the rest waits, and the socket does not tell until when.
    Short,
}

/// Seconds. A set-up whose time was written down longer ago is written down anew before it leaves.
const STALE_S: Seconds = 0.01;
/// Count. Messages that are handed to the socket at once.
const COALESCED: usize = 32;

/// What a message is to those who may take it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    /// Only of use on this connection.
    Plain,
    /// A set-up; it may be taken back until its first byte leaves.
    Launch(RequestId, AttemptNo),
    /// Due also on the next connection, should this one break.
    Kept,
    /// Due on another connection of the same owner, should this one end; it stays behind what was queued before.
    Due,
}

struct Parcel {
    bytes: Vec<u8>,
    tag: Tag,
    /// The set-up that it is, and when its bytes were made.
    set_up: Option<(SetUp, Seconds)>,
}

/// A bounded queue of messages.
pub struct Outbox {
    parcels: VecDeque<Parcel>,
    /// Bytes of the first message that have left.
    written: usize,
    bytes: usize,
    most: usize,
}

impl Outbox {
    pub fn new(most: usize) -> Self {
        Outbox { parcels: VecDeque::new(), written: 0, bytes: 0, most }
    }

    /// Adds a message; false where the reader is so slow that the queue is full.
    #[must_use]
    pub fn push(&mut self, bytes: Vec<u8>, tag: Tag) -> bool {
        self.push_parcel(Parcel { bytes, tag, set_up: None })
    }

    /// Adds a set-up; false where the queue is full.
    #[must_use]
    pub fn push_set_up(&mut self, now: Seconds, set_up: SetUp) -> bool {
        let (bytes, tag) = (set_up.lines(now), Tag::Launch(set_up.job, set_up.attempt));
        self.push_parcel(Parcel { bytes, tag, set_up: Some((set_up, now)) })
    }

    fn push_parcel(&mut self, parcel: Parcel) -> bool {
        if self.bytes + parcel.bytes.len() > self.most {
            return false;
        }
        self.bytes += parcel.bytes.len();
        let tag = parcel.tag;
        if tag != Tag::Kept {
            self.parcels.push_back(parcel);
            return true;
        }
        // An order to cut is what its machine hears first, after what has begun to leave and after others like it.
        let begun = usize::from(self.written > 0);
        let others = self.parcels.iter().skip(begun).take_while(|p| p.tag == Tag::Kept).count();
        self.parcels.insert(begun + others, parcel);
        true
    }

    pub fn is_empty(&self) -> bool {
        self.parcels.is_empty()
    }

    /// Whether a set-up waits of which nothing has left.
    pub fn has_set_up(&self) -> bool {
        self.unsent().next().is_some()
    }

    /// The set-ups that wait and have not begun to leave.
    pub fn unsent(&self) -> impl Iterator<Item = RequestId> + '_ {
        let begun = usize::from(self.written > 0);
        self.parcels.iter().skip(begun).filter_map(|p| p.set_up.as_ref()).map(|(set_up, _)| set_up.job)
    }

    /// Takes a set-up out that has not begun to leave.
    pub fn take_out(&mut self, job: RequestId) -> Option<SetUp> {
        let begun = usize::from(self.written > 0);
        let is_it = |p: &Parcel| p.set_up.as_ref().is_some_and(|(set_up, _)| set_up.job == job);
        let at = self.parcels.iter().skip(begun).position(is_it)?;
        let parcel = self.parcels.remove(begun + at)?;
        self.bytes -= parcel.bytes.len();
        parcel.set_up.map(|(set_up, _)| set_up)
    }

    /// Has the set-ups that wait and have not begun to leave tell what is left of their time now.
    pub fn renew(&mut self, now: Seconds) {
        let begun = usize::from(self.written > 0);
        for parcel in self.parcels.iter_mut().skip(begun) {
            let Some((set_up, made_at)) = &mut parcel.set_up else { continue };
            if now - *made_at < STALE_S {
                continue;
            }
            *made_at = now;
            self.bytes -= parcel.bytes.len();
            parcel.bytes = set_up.lines(now);
            self.bytes += parcel.bytes.len();
        }
    }

    /// Takes a set-up back; false where its first byte has left.
    pub fn take_back(&mut self, job: RequestId) -> bool {
        self.take_out(job).is_some()
    }

    /// Writes what it can of what waits, before the connection is ended; what a set-up has begun is left half.
    pub fn write_last(&mut self, stream: &impl Sink) -> io::Result<()> {
        let half_set_up =
            self.written > 0 && self.parcels.front().is_some_and(|p| matches!(p.tag, Tag::Launch(..)));
        if half_set_up {
            return Ok(());
        }
        self.write(stream, &mut Vec::new()).map(|_| ())
    }

    /// After the connection ended for good: what is due elsewhere, also where only a part of it was written.
    pub fn take_due(&mut self) -> Vec<Vec<u8>> {
        (self.written, self.bytes) = (0, 0);
        let due = self.parcels.drain(..).filter(|p| p.tag == Tag::Due);
        due.map(|p| p.bytes).collect()
    }

    /// After the connection broke: drops what was meant for it alone, and starts whole messages anew.
    pub fn reset(&mut self) {
        if self.written > 0 && self.parcels.front().is_some_and(|p| p.tag != Tag::Kept) {
            self.parcels.pop_front();
        }
        self.written = 0;
        self.parcels.retain(|p| p.tag != Tag::Plain);
        self.bytes = self.parcels.iter().map(|p| p.bytes.len()).sum();
    }

    /// Writes what the socket takes now, and tells which set-ups began to leave, also where an error follows.
    pub fn write(
        &mut self,
        stream: &impl Sink,
        left: &mut Vec<(RequestId, AttemptNo)>,
    ) -> io::Result<Written> {
        while !self.parcels.is_empty() {
            let mut from = self.written;
            let rest = |p: &'_ Parcel| std::mem::take(&mut from)..p.bytes.len();
            let ranges: Vec<_> = self.parcels.iter().take(COALESCED).map(rest).collect();
            let slices: Vec<IoSlice<'_>> =
                self.parcels.iter().zip(ranges).map(|(p, range)| IoSlice::new(&p.bytes[range])).collect();
            match stream.try_write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count, left),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Written::Blocked),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_shortage(&e) => return Ok(Written::Short),
                Err(e) => return Err(e),
            }
        }
        Ok(Written::All)
    }

    fn advance(&mut self, mut count: usize, left: &mut Vec<(RequestId, AttemptNo)>) {
        while count > 0 {
            let Some(front) = self.parcels.front() else { return };
            if let (0, Tag::Launch(job, attempt)) = (self.written, front.tag) {
                left.push((job, attempt));
            }
            let rest = front.bytes.len() - self.written;
            if count < rest {
                self.written += count;
                return;
            }
            count -= rest;
            self.bytes -= front.bytes.len();
            self.written = 0;
            self.parcels.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
