//! Keeps one long-lived connection to each machine: dials and redials it, writes what is queued for the
//! machine, applies what it sends, and watches machines that fall silent.

mod dial;
mod end;
mod lifecycle;
mod messages;

use self::dial::{dial, BackgroundDial, Dialled};
use self::end::{End, MACHINE_CLOSE_TIMEOUT};
use self::messages::DRAIN_TIMEOUT;
use super::node::{self, take_line, MachineMessage, FENCE_FLAG, MAX_LINE_BYTES};
use crate::decide::cancellations::confirm_within_s;
use crate::decide::links::{Need, VISIT_AFTER_S};
use crate::decide::machine_loss::{ConnectionEnd, FormerConnection, RefusedDial};
use crate::decide::silence::checks::{CheckSchedule, Open, CHECK_INTERVAL_S};
use crate::decide::silence::{is_lost, Dial, MachineActivity, Step, Watch};
use crate::decide::spread::Draws;
use crate::placer::*;
use crate::state::Input;
use crate::wire::errors::is_transient;
use crate::wire::hub::{to_duration, Hub, Inner};
use crate::wire::outbox::{Written, NO_BUFFER_RETRY};
use crate::wire::read_buffers::READ_BYTES;
use crate::wire::socket_read::{read_available, ReadState};
use bytes::{Buf, BytesMut};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// A connection that ends this soon after it came up counts as short-lived: the next dial waits for the
/// back-off.
const SHORT_LIVED: Duration = Duration::from_millis(50);
/// Back-off between dials: the first delay, and the longest.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// After a connection broke, the next dial is spread at random over this time, unless a set-up waits for it.
const REDIAL_SPREAD: Duration = Duration::from_millis(250);
/// The first dial to a machine is spread at random over this time, unless something waits to be written:
/// otherwise all planners that start, or receive a list, at the same time would dial every machine on it at
/// once.
const FIRST_DIAL_SPREAD: Duration = Duration::from_millis(1000);

/// Seconds. The most that may pass from when a connection is found to be of no more use until it has ended: the interval
/// between two checks, and the time for the machine to close it.
const CLOSING_S: Seconds = CHECK_INTERVAL_S + MACHINE_CLOSE_TIMEOUT.as_millis() as f64 / 1e3;

/// Starts a link task for each machine that the hub wants connected; `dial` is the time limit of a dial.
pub async fn run_machine_links(
    hub: Arc<Hub>,
    mut wanted: mpsc::UnboundedReceiver<(MachineId, u64)>,
    dial: Duration,
) {
    let confirm_within_s = confirm_within_s(hub.lock().core.settings().owner_wait_s, CLOSING_S);
    while let Some((machine, link_id)) = wanted.recv().await {
        tokio::spawn(LinkTask { hub: hub.clone(), machine, link_id, dial, confirm_within_s }.run());
    }
}

/// Waits for `span`, or until `wake` is notified, which means that something is to be written.
async fn woken_within(wake: &Notify, span: Duration) {
    tokio::select! {
        () = sleep(span) => {}
        () = wake.notified() => {}
    }
}

/// Has the end of a connection, also one by the end of this process, discard what is unsent in its socket, so that it
/// cannot reach the machine later.
fn discard_unsent(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "unsent bytes to a machine cannot be discarded");
    }
}

/// What is still to be processed when a connection ends.
#[derive(Default)]
struct Unprocessed {
    /// Bytes that were read and do not form a complete line yet.
    buffer: BytesMut,
    /// The dial to the same machine that runs while the connection is in use, if any.
    background_dial: BackgroundDial,
}

/// The signals that wake a link task.
struct WakeSignals {
    /// Something is to be written, or the connection is to be closed.
    write: Arc<Notify>,
    /// The next periodic check of the connection may be due earlier.
    check: Arc<Notify>,
}

/// The link task: keeps the connection to one machine.
#[derive(Clone)]
struct LinkTask {
    hub: Arc<Hub>,
    machine: MachineId,
    link_id: u64,
    dial: Duration,
    /// Time for the machine to confirm a cancellation.
    confirm_within_s: Seconds,
}

impl LinkTask {
    /// The address of the machine and the wake signals of its link; none once the machine has left the list.
    fn address(&self) -> Option<(String, WakeSignals)> {
        let inner = self.hub.lock();
        let link = inner.machine_links.get(&self.machine).filter(|l| l.link_id == self.link_id);
        link.map(|l| (l.address.clone(), WakeSignals { write: l.wake.clone(), check: l.check_wake.clone() }))
    }

    fn send_input(&self, input: Input) {
        self.hub.apply(input);
    }

    /// Records whether the machine leaves dials unanswered; returns how many machines do so now.
    fn record_unreachable(&self, silent: bool) -> usize {
        let mut inner = self.hub.lock();
        if silent && inner.machine_links.contains_key(&self.machine) {
            inner.unreachable.insert(self.machine);
        } else {
            inner.unreachable.remove(&self.machine);
        }
        inner.unreachable.len()
    }

    /// Fails the probe that is in flight, if any.
    fn fail_probe(&self, outcome: Outcome) {
        let probe = self.hub.lock().machine_links.get_mut(&self.machine).and_then(|l| l.probe.take());
        if probe.is_some() {
            self.send_input(Input::Probed { machine: self.machine, outcome, report: None });
        }
    }

    /// Reads and writes one connection until it ends or a newer one replaces it. Keeps `signs` up to date:
    /// when the machine last gave a sign of life, and how many dials in a row have failed since.
    async fn serve_connection(
        &self,
        stream: &TcpStream,
        address: &str,
        wakes: &WakeSignals,
        draws: &mut Draws,
        unprocessed: &mut Unprocessed,
        signs: &mut MachineActivity,
    ) -> io::Result<End> {
        let Unprocessed { buffer, background_dial } = unprocessed;
        let mut watch = Watch::new(self.hub.now());
        let (mut sent, mut partial_line_since) = (Vec::new(), None::<Seconds>);
        let mut checks = CheckSchedule::new(self.hub.now() + CHECK_INTERVAL_S * draws.draw());
        let (mut check_at, mut discards_unsent) = (None, false);
        let mut timer = pin!(sleep(Duration::ZERO));
        loop {
            *signs = watch.signs();
            if self.has_unsent_set_up() {
                // Reads everything that has arrived before a set-up is written, so that no attempt is written
                // to a connection that the machine has already closed: it could not run, and is written to
                // the next connection instead.
                let buffered = buffer.len();
                let read_state = read_available(stream, buffer);
                if buffer.len() > buffered {
                    self.receive(buffer, &mut watch, &mut partial_line_since)?;
                }
                match read_state {
                    ReadState::Open => {}
                    ReadState::End => return Ok(End::Closed),
                    ReadState::Broken(error) => return Err(error),
                }
            }
            let at = (self.machine, self.link_id, address);
            let Some(written) = self.hub.flush_to_machine(at, stream, &mut sent)? else {
                return Ok(End::Left);
            };
            if written == Written::NoBuffers {
                sleep(NO_BUFFER_RETRY).await;
            }
            let open = {
                let mut inner = self.hub.lock();
                if inner.must_give_back(self.hub.now(), self.machine) {
                    return Ok(End::GivenBack);
                }
                if inner.must_end_for_cancellation(self.machine) {
                    return Ok(End::Cancelled);
                }
                self.open_in(&inner, partial_line_since)
            };
            if open.confirm_by.is_some() != discards_unsent {
                // The process may end at any time, and its sockets with it.
                discards_unsent = !discards_unsent;
                let linger = discards_unsent.then_some(Duration::ZERO);
                socket2::SockRef::from(stream).set_linger(linger)?;
            }
            let planned = checks.plan(self.hub.now(), open.due(&watch));
            if planned != check_at {
                if let Some(at) = planned {
                    timer.as_mut().reset(tokio::time::Instant::now() + to_duration(at - self.hub.now()));
                }
                check_at = planned;
            }
            let interest = match written {
                Written::All => Interest::READABLE,
                Written::Blocked | Written::NoBuffers => Interest::READABLE | Interest::WRITABLE,
            };
            tokio::select! {
                () = wakes.write.notified() => self.hub.lock().slots.used(self.hub.now(), self.machine),
                () = wakes.check.notified() => {}
                () = &mut timer, if check_at.is_some() => {
                    let now = self.hub.now();
                    checks.record_check(now);
                    check_at = None;
                    let open = self.open_on(partial_line_since);
                    if open.is_line_lost(now) {
                        return Err(io::Error::new(
                            io::ErrorKind::TimedOut,
                            "the rest of a line did not arrive in time",
                        ));
                    }
                    if open.is_cancellation_late(now) {
                        return Err(io::Error::new(
                            io::ErrorKind::TimedOut,
                            "the machine did not confirm a cancellation in time",
                        ));
                    }
                    if open.is_short {
                        self.hub.lock().reclaim_slots(now);
                    }
                    if open.is_probe_late(now) {
                        self.fail_probe(Outcome::TimedOut);
                    }
                    match watch.check(now, open.holds_tasks, draws.draw()) {
                        Step::Dial => background_dial.begin(address, self.dial),
                        step => {
                            if let Some(end) = self.apply_step(step, None, &watch, signs)? {
                                return Ok(end);
                            }
                        }
                    }
                }
                dialled = background_dial.ended() => {
                    let dial = dialled.kind();
                    if dial != Dial::NoResources {
                        self.record_unreachable(dial == Dial::Silent);
                    }
                    let is_open = self.hub.lock().has_open_work_at(self.machine);
                    let step = watch.dialled(self.hub.now(), dial, is_open);
                    if let Some(end) = self.apply_step(step, dialled.up(), &watch, signs)? {
                        return Ok(end);
                    }
                }
                ready = stream.ready(interest) => {
                    if ready?.is_readable() {
                        if buffer.is_empty() {
                            *buffer = self.hub.read_buffers.lend();
                        } else {
                            buffer.reserve(READ_BYTES);
                        }
                        match stream.try_read_buf(buffer) {
                            Ok(0) => return Ok(End::Closed),
                            Ok(_) => self.receive(buffer, &mut watch, &mut partial_line_since)?,
                            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                            Err(error) if is_transient(&error) => {}
                            Err(error) => return Err(error),
                        }
                        if buffer.is_empty() {
                            self.hub.read_buffers.give_back(std::mem::take(buffer));
                        }
                    }
                }
            }
        }
    }

    /// The state of the connection that its periodic check depends on.
    fn open_on(&self, partial_line_since: Option<Seconds>) -> Open {
        self.open_in(&self.hub.lock(), partial_line_since)
    }

    /// As [`LinkTask::open_on`], for a caller that holds the lock.
    fn open_in(&self, inner: &Inner, partial_line_since: Option<Seconds>) -> Open {
        let cancelled_since = inner.unconfirmed_since(self.machine);
        let confirm_by = cancelled_since.map(|since| since + self.confirm_within_s);
        Open { confirm_by, ..inner.open_on(self.machine, partial_line_since) }
    }

    /// Carries out a step of the failure detection for a silent connection; `other` is the connection that a
    /// background dial has opened. Returns how the current connection ends, if it does.
    fn apply_step(
        &self,
        step: Step,
        other: Option<TcpStream>,
        watch: &Watch,
        signs: &mut MachineActivity,
    ) -> io::Result<Option<End>> {
        match step {
            Step::Wait | Step::Dial => {}
            Step::Swap => return Ok(Some(other.map_or(End::Closed, End::Swap))),
            Step::ReadNewToEnd => {
                if let Some(other) = other {
                    tokio::spawn(self.clone().drain(other, BytesMut::new(), DRAIN_TIMEOUT));
                }
            }
            Step::ProvokeReset => self.hub.lock().provoke_reset(self.machine),
            Step::Lost => self.send_input(Input::MachineLost { machine: self.machine }),
            Step::Close => {
                *signs = watch.signs();
                // Closing the connection abandons its open attempts. Running tasks are still waited for,
                // unless the machine counts as lost.
                let (dials, quiet_s) = (signs.failed_dials, self.hub.now() - signs.last_sign);
                if dials > 0 && is_lost(dials, quiet_s, self.record_unreachable(true)) {
                    self.send_input(Input::MachineLost { machine: self.machine });
                }
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the machine is silent: connection closed",
                ));
            }
        }
        Ok(None)
    }

    /// Whether a set-up is queued of which nothing has been written.
    fn has_unsent_set_up(&self) -> bool {
        let inner = self.hub.lock();
        inner
            .machine_links
            .get(&self.machine)
            .is_some_and(|l| l.link_id == self.link_id && l.outbox.has_unsent_set_up())
    }
}

#[cfg(test)]
mod tests;
