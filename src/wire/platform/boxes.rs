//! One long-lived connection to each box, and the watch over boxes that fall silent.

mod dial;
mod end;

use self::dial::{dial, DialBeside, Dialled, Dialling};
use self::end::{half_close, End};
use super::node::{self, take_line, Says, PROOF};
use crate::decide::links::{Need, VISIT_S};
use crate::decide::silence::looks::{Looks, LOOK_EVERY_S};
use crate::decide::silence::{is_lost, Dial, Signs, Step, Watch};
use crate::decide::spread::Draws;
use crate::placer::*;
use crate::state::Input;
use crate::wire::arrived::{read_arrived, Reached};
use crate::wire::errors::is_transient;
use crate::wire::hub::{seconds, Hub};
use crate::wire::outbox::{Written, BUFFERS_AGAIN};
use crate::wire::read_buffers::READ_BYTES;
use bytes::{Buf, BytesMut};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout};

/// What a box still says on a connection whose place another took is heard for so long at most.
const HEAR_OUT: Duration = Duration::from_millis(2000);
/// A connection that ends so soon after it came up is not dialled anew at once.
const SHORT: Duration = Duration::from_millis(50);
/// Waits between dials: the first, and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// After a connection broke, the next dial comes within so long where nothing waits for it.
const BROKEN: Duration = Duration::from_millis(250);
/// The first dials to machines for which nothing waits are spread over so long: all that the list names at once, by all
/// planners that start or hear of them at once.
const FIRST: Duration = Duration::from_millis(1000);

/// Starts a task for every machine that is to be connected.
pub async fn hold_links(
    hub: Arc<Hub>,
    mut wanted: mpsc::UnboundedReceiver<(MachineId, u64)>,
    dial: Duration,
) {
    while let Some((machine, life)) = wanted.recv().await {
        tokio::spawn(Link { hub: hub.clone(), machine, life, dial }.hold());
    }
}

/// Waits for so long, or until something is to be written.
async fn woken_within(wake: &Notify, span: Duration) {
    tokio::select! {
        () = sleep(span) => {}
        () = wake.notified() => {}
    }
}

/// What a connection leaves to be heard when it ends.
#[derive(Default)]
struct Unheard {
    /// What was read of it and is no whole line yet.
    buffer: BytesMut,
    /// The dial beside it that is under way.
    beside: DialBeside,
}

/// What wakes the task of a connection.
struct Wakes {
    /// Something waits to be written, or the connection is to end.
    write: Arc<Notify>,
    /// Something began for which the connection is looked at.
    look: Arc<Notify>,
}

#[derive(Clone)]
struct Link {
    hub: Arc<Hub>,
    machine: MachineId,
    life: u64,
    dial: Duration,
}

impl Link {
    /// Where the machine listens, until it leaves the list.
    fn address(&self) -> Option<(String, Wakes)> {
        let inner = self.hub.lock();
        let link = inner.nodes.get(&self.machine).filter(|l| l.life == self.life);
        link.map(|l| (l.address.clone(), Wakes { write: l.wake.clone(), look: l.look.clone() }))
    }

    fn tell(&self, input: Input) {
        self.hub.apply(input);
    }

    /// Books whether dials reach the machine, and tells how many no dial reaches now.
    fn is_silent(&self, silent: bool) -> usize {
        let mut inner = self.hub.lock();
        if silent && inner.nodes.contains_key(&self.machine) {
            inner.silent.insert(self.machine);
        } else {
            inner.silent.remove(&self.machine);
        }
        inner.silent.len()
    }

    /// Fails a probe that is out.
    fn fail_probe(&self, outcome: Outcome) {
        let probe = self.hub.lock().nodes.get_mut(&self.machine).and_then(|l| l.probe.take());
        if probe.is_some() {
            self.tell(Input::Probed { machine: self.machine, outcome, report: None });
        }
    }

    async fn hold(self) {
        let machine = self.machine;
        let mut draws = Draws::new(self.hub.seed(), self.life);
        let (mut wait, mut signs, mut reset) = (AGAIN.0, Signs::new(self.hub.now()), false);
        let mut swapped = None;
        if let Some((_, wakes)) = self.address() {
            // A set-up that waits does not wait for this.
            woken_within(&wakes.write, draws.part(FIRST)).await;
        }
        let mut given_back = None;
        while let Some((address, wakes)) = self.address() {
            let wake = &wakes.write;
            if !self.has_place(wake, &mut draws, given_back).await {
                continue;
            }
            let dialled = match swapped.take() {
                Some(stream) => Dialled::Up(stream),
                None => dial(address.clone(), self.dial).await,
            };
            if !matches!(dialled, Dialled::Up(_)) && self.address().is_none() {
                break; // What the dial says is of a machine that left, and no word of one that is back under its name.
            }
            let short = matches!(dialled, Dialled::Short);
            match dialled {
                Dialled::Up(stream) => {
                    let up = Instant::now();
                    self.is_silent(false);
                    let _ = stream.set_nodelay(true);
                    self.tell(Input::LinkUp { machine });
                    let mut unheard = Unheard::default();
                    let end =
                        self.talk(&stream, &address, &wakes, &mut draws, &mut unheard, &mut signs).await;
                    let Unheard { buffer, mut beside } = unheard;
                    if let Some(dialling) = beside.take() {
                        tokio::spawn(self.clone().hear_out_dialled(dialling));
                    }
                    let end = match end {
                        Ok(End::Swap(other)) => {
                            swapped = Some(other);
                            tokio::spawn(self.clone().hear_out(stream, buffer));
                            continue;
                        }
                        Ok(End::GivenBack) => {
                            // Nothing is open on it. The place is free once the descriptor is.
                            self.clone().hear_out(stream, buffer).await;
                            given_back = Some(self.hub.now());
                            self.hub.lock().yield_place(self.hub.now(), machine);
                            continue;
                        }
                        other => other,
                    };
                    reset = matches!(&end, Err(error) if error.kind() == io::ErrorKind::ConnectionReset);
                    // Its end gives up what is open on it, and only then may that go elsewhere.
                    let proved = self.bring_to_end(&stream, buffer, &end).await;
                    if let Err(error) = &end {
                        tracing::debug!(machine = machine.0, %error, proved, "the connection to a box broke");
                    }
                    self.hub.lock().counts.unproved_ends += u64::from(!proved);
                    if end.is_err() || !proved {
                        // What lies in the socket must not reach a box that comes back.
                        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                    drop(stream);
                    if self.address().is_none() {
                        // It left the list; should it be back already, that is another's to tell of.
                        return self.tell_departed(proved);
                    }
                    if let Some(link) = self.hub.lock().nodes.get_mut(&machine) {
                        link.outbox.reset();
                    }
                    self.fail_probe(Outcome::Lost);
                    self.tell(Input::LinkBroken { machine, proved });
                    if up.elapsed() > SHORT {
                        wait = AGAIN.0;
                        // What broke it may have broken the connections of all planners. A set-up does not wait.
                        if self.hub.lock().need(machine) != Need::Now {
                            woken_within(wake, draws.part(BROKEN)).await;
                        }
                        continue;
                    }
                }
                Dialled::Refused => {
                    signs.silent_dials = 0;
                    self.is_silent(false);
                    // A reset before it tells a process that died from one that drains and takes nobody new.
                    self.tell(if reset {
                        Input::MachineLost { machine, proved: true }
                    } else {
                        let quiet_s = self.hub.now() - signs.told;
                        Input::DialRefused { machine, quiet_s }
                    });
                }
                Dialled::Short => {
                    // What waits stays; a place that is of no use is given back for it.
                    tracing::debug!(machine = machine.0, "no descriptor, port or buffer is left for a box");
                    self.hub.lock().make_room();
                }
                Dialled::Silent => {
                    signs.silent_dials += 1;
                    self.tell(Input::DialFailed { machine });
                    if is_lost(signs.silent_dials, self.hub.now() - signs.sign, self.is_silent(true)) {
                        self.tell(Input::MachineLost { machine, proved: false });
                    }
                }
            }
            if !short {
                self.fail_probe(Outcome::ConnectFailed);
            }
            {
                // One that cannot be reached keeps nobody's place while it waits.
                let mut inner = self.hub.lock();
                if inner.places.is_short() {
                    inner.yield_place(self.hub.now(), machine);
                }
            }
            // Whatever it is that resets new connections must not have the planner dial without end.
            woken_within(wake, draws.half(wait)).await;
            wait = (wait * 2).min(AGAIN.1);
        }
        // No connection is up, and nothing is out on one.
        self.tell_departed(true);
    }

    /// Whether there is a place for the connection. Where there is none, waits until there may be one: at once where
    /// something is to be written, after a while where tasks stand.
    async fn has_place(&self, wake: &Notify, draws: &mut Draws, given_back: Option<Seconds>) -> bool {
        let (wait, had) = {
            let mut inner = self.hub.lock();
            let (now, need) = (self.hub.now(), inner.need(self.machine));
            let visit_in = given_back.map_or(0.0, |at| at + VISIT_S - now);
            if need == Need::Visit && visit_in > 0.0 && !inner.places.is_held(self.machine) {
                (visit_in * (0.75 + 0.25 * draws.draw()), false)
            } else {
                (VISIT_S, inner.want_place(now, self.machine, need))
            }
        };
        if !had {
            woken_within(wake, seconds(wait)).await;
        }
        had
    }

    /// Speaks on one connection until it ends, or until another that came up takes its place; keeps when its box last
    /// showed a sign, and how many dials in a row came to nothing since.
    async fn talk(
        &self,
        stream: &TcpStream,
        address: &str,
        wakes: &Wakes,
        draws: &mut Draws,
        unheard: &mut Unheard,
        signs: &mut Signs,
    ) -> io::Result<End> {
        let Unheard { buffer, beside } = unheard;
        let mut watch = Watch::new(self.hub.now());
        let (mut left, mut half_line_since) = (Vec::new(), None::<Seconds>);
        let mut looks = Looks::new(self.hub.now() + LOOK_EVERY_S * draws.draw());
        let mut look_at = None;
        let mut timer = pin!(sleep(Duration::ZERO));
        loop {
            *signs = watch.signs();
            if self.has_set_up() {
                // What the machine said before it closed the connection is heard, and no attempt leaves on one that is closed:
                // it never ran, and goes on the next.
                let unheard = buffer.len();
                let reached = read_arrived(stream, buffer);
                if buffer.len() > unheard {
                    self.hear_of(buffer, &mut watch, &mut half_line_since)?;
                }
                match reached {
                    Reached::Open => {}
                    Reached::End => return Ok(End::Closed),
                    Reached::Broken(error) => return Err(error),
                }
            }
            let at = (self.machine, self.life, address);
            let Some(written) = self.hub.write_out(at, stream, &mut left)? else { return Ok(End::Left) };
            if written == Written::Short {
                sleep(BUFFERS_AGAIN).await;
            }
            let open = {
                let mut inner = self.hub.lock();
                if inner.is_asked_back(self.hub.now(), self.machine) {
                    return Ok(End::GivenBack);
                }
                inner.open_on(self.machine, half_line_since)
            };
            let planned = looks.plan(self.hub.now(), open.due(&watch));
            if planned != look_at {
                if let Some(at) = planned {
                    timer.as_mut().reset(tokio::time::Instant::now() + seconds(at - self.hub.now()));
                }
                look_at = planned;
            }
            let interest = match written {
                Written::All => Interest::READABLE,
                Written::Blocked | Written::Short => Interest::READABLE | Interest::WRITABLE,
            };
            tokio::select! {
                () = wakes.write.notified() => self.hub.lock().places.used(self.hub.now(), self.machine),
                () = wakes.look.notified() => {}
                () = &mut timer, if look_at.is_some() => {
                    let now = self.hub.now();
                    looks.looked(now);
                    look_at = None;
                    let open = self.hub.lock().open_on(self.machine, half_line_since);
                    if open.is_line_lost(now) {
                        return Err(io::Error::new(io::ErrorKind::TimedOut, "half a line"));
                    }
                    if open.is_short {
                        self.hub.lock().press(now);
                    }
                    if open.is_test_late(now) {
                        self.fail_probe(Outcome::TimedOut);
                    }
                    match watch.look(now, open.holds_tasks, draws.draw()) {
                        Step::Dial => beside.begin(address, self.dial),
                        step => {
                            if let Some(end) = self.take_step(step, None, &watch, signs)? {
                                return Ok(end);
                            }
                        }
                    }
                }
                dialled = beside.ended() => {
                    let dial = dialled.kind();
                    if dial != Dial::Short {
                        self.is_silent(dial == Dial::Silent);
                    }
                    let is_open = self.hub.lock().is_open_at(self.machine);
                    let step = watch.dialled(self.hub.now(), dial, is_open);
                    if let Some(end) = self.take_step(step, dialled.up(), &watch, signs)? {
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
                            Ok(_) => self.hear_of(buffer, &mut watch, &mut half_line_since)?,
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

    /// Does what is due about a silent connection, with the one that came up beside it; tells how this one ends, should it.
    fn take_step(
        &self,
        step: Step,
        other: Option<TcpStream>,
        watch: &Watch,
        signs: &mut Signs,
    ) -> io::Result<Option<End>> {
        match step {
            Step::Wait | Step::Dial => {}
            Step::Swap => return Ok(Some(other.map_or(End::Closed, End::Swap))),
            Step::HearOut => {
                if let Some(other) = other {
                    tokio::spawn(self.clone().hear_out(other, BytesMut::new()));
                }
            }
            Step::Nudge => self.hub.lock().nudge_node(self.machine),
            Step::Lost => self.tell(Input::MachineLost { machine: self.machine, proved: false }),
            Step::Close => {
                *signs = watch.signs();
                // What is out there is given up with the connection; what stands may be waited for.
                let (dials, quiet_s) = (signs.silent_dials, self.hub.now() - signs.sign);
                if dials > 0 && is_lost(dials, quiet_s, self.is_silent(true)) {
                    self.tell(Input::MachineLost { machine: self.machine, proved: false });
                }
                return Err(io::Error::new(io::ErrorKind::TimedOut, "it brings nothing any more"));
            }
        }
        Ok(None)
    }

    /// Hears out the connection of a dial whose purpose is gone, should it come up: what a box owes comes on it.
    async fn hear_out_dialled(self, dialling: Dialling) {
        if let Dialled::Up(stream) = dialling.await {
            self.hear_out(stream, BytesMut::new()).await;
        }
    }

    /// Whether a set-up waits to leave.
    fn has_set_up(&self) -> bool {
        let inner = self.hub.lock();
        inner.nodes.get(&self.machine).is_some_and(|l| l.life == self.life && l.outbox.has_set_up())
    }

    /// Takes what has come on the connection in use.
    fn hear_of(
        &self,
        buffer: &mut BytesMut,
        watch: &mut Watch,
        half_line_since: &mut Option<Seconds>,
    ) -> io::Result<()> {
        self.hub.lock().places.used(self.hub.now(), self.machine);
        let of_task = self.hear(buffer)?;
        watch.heard(self.hub.now(), of_task);
        *half_line_since = (!buffer.is_empty()).then(|| self.hub.now());
        Ok(())
    }

    /// Takes what its box says on a connection beside the one in use, until the box ends it.
    async fn hear_out(self, stream: TcpStream, mut buffer: BytesMut) {
        // Nothing is open on it: the box sends what it owes, and closes.
        let end = half_close(&stream, &mut buffer, |buffer| self.hear(buffer).map(drop));
        let end = timeout(HEAR_OUT, end).await;
        tracing::debug!(machine = self.machine.0, ?end, "the former connection to a box ended");
    }

    /// Takes all whole lines that have come; tells whether one was about a task.
    fn hear(&self, buffer: &mut BytesMut) -> io::Result<bool> {
        let mut of_task = false;
        loop {
            let long = |e| io::Error::new(io::ErrorKind::InvalidData, format!("{e}"));
            let Some((length, line)) = take_line(buffer, node::MOST_BYTES).map_err(long)? else {
                return Ok(of_task);
            };
            match node::read(line) {
                Ok(says) => {
                    of_task |= matches!(says, Says::Running { .. } | Says::Stopped { .. });
                    self.take_in(says);
                }
                // Where one line is spoilt the next may be, too, and what it told is lost: what stands is told of
                // again on the next connection.
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
            buffer.advance(length);
        }
    }

    fn take_in(&self, says: Says) {
        let machine = self.machine;
        let mut inner = self.hub.lock();
        if matches!(says, Says::Checked { number, .. } if number & PROOF == 0) {
            let asked = inner.nodes.get_mut(&machine).and_then(|l| l.probe.take());
            if asked.is_none() {
                return; // It came after the probe was given up.
            }
        }
        let Some(input) = says.input(machine, inner.core.words()) else { return };
        self.hub.apply_in(&mut inner, input);
    }
}

#[cfg(test)]
mod tests;
