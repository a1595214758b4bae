//! What machines send: lines become inputs of the core, and confirm what was written. Connections that are not in use any
//! more are read to their end.

use super::dial::{Dialled, PendingDial};
use super::end::half_close;
use super::*;

/// How long a connection that was replaced by a newer one is still read, until the machine closes it.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);

impl LinkTask {
    /// Drains the connection of a dial that is no longer needed, if it comes up: a machine sends outstanding
    /// messages on each new connection, and they must not be lost.
    pub(super) async fn drain_dialled(self, pending_dial: PendingDial) {
        if let Dialled::Up(stream) = pending_dial.await {
            self.drain(stream, BytesMut::new(), DRAIN_TIMEOUT).await;
        }
    }

    /// Processes the lines received on the current connection, and updates its failure detection.
    pub(super) fn receive(
        &self,
        buffer: &mut BytesMut,
        watch: &mut Watch,
        partial_line_since: &mut Option<Seconds>,
    ) -> io::Result<()> {
        {
            let mut inner = self.hub.lock();
            let (now, arrived_at) = (self.hub.now(), self.hub.earliest_read());
            inner.slots.used(now, self.machine);
            if let Some(link) = inner.machine_links.get_mut(&self.machine) {
                link.unconfirmed.received(arrived_at);
            }
        }
        let about_task = self.process_lines(buffer)?;
        watch.record_received(self.hub.now(), about_task);
        *partial_line_since = (!buffer.is_empty()).then(|| self.hub.now());
        Ok(())
    }

    /// Processes what the machine sends on a connection other than the current one, until the machine closes
    /// it.
    pub(super) async fn drain(self, stream: TcpStream, mut buffer: BytesMut, limit: Duration) {
        // No attempt is open on it: the machine sends its outstanding messages and closes it.
        let end = half_close(&stream, &mut buffer, |buffer| self.process_lines(buffer).map(drop));
        let end = timeout(limit, end).await;
        tracing::debug!(machine = self.machine.0, ?end, "replaced connection to a machine ended");
        if !matches!(end, Ok(Ok(()))) {
            discard_unsent(&stream);
        }
    }

    /// How long the connection in use may still be read once it is replaced: a cancellation on it that is not
    /// confirmed must not be delivered later than it may be on a connection in use.
    pub(super) fn drain_timeout(&self) -> Duration {
        let cancelled_since = self.hub.lock().take_unconfirmed(self.machine).since();
        let confirm_by = cancelled_since.map(|since| since + self.confirm_within_s + CLOSING_S);
        confirm_by.map_or(DRAIN_TIMEOUT, |at| to_duration(at - self.hub.now()).min(DRAIN_TIMEOUT))
    }

    /// Processes all complete lines in the buffer; returns whether one of them was about a task.
    pub(super) fn process_lines(&self, buffer: &mut BytesMut) -> io::Result<bool> {
        let mut about_task = false;
        loop {
            let too_long =
                |e| io::Error::new(io::ErrorKind::InvalidData, format!("{e}: over {MAX_LINE_BYTES} bytes"));
            let Some((length, line)) = take_line(buffer, node::MAX_LINE_BYTES).map_err(too_long)? else {
                return Ok(about_task);
            };
            match node::read(line) {
                Ok(message) => {
                    about_task |=
                        matches!(message, MachineMessage::Running { .. } | MachineMessage::Stopped { .. });
                    self.apply_message(message);
                }
                // After one corrupt line the following ones cannot be trusted either, and its content is
                // lost. The connection is closed: the machine reports its running tasks again on the next
                // one.
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
            buffer.advance(length);
        }
    }

    /// Applies one message of the machine; drops the answer to a probe that has already failed.
    fn apply_message(&self, message: MachineMessage) {
        let machine = self.machine;
        let mut inner = self.hub.lock();
        if matches!(message, MachineMessage::Checked { number, .. } if number & FENCE_FLAG == 0) {
            let probe = inner.machine_links.get_mut(&machine).and_then(|l| l.probe.take());
            if probe.is_none() {
                return; // The probe has failed already, by its time-out for example.
            }
        }
        let Some(input) = message.input(machine, inner.core.vocabulary()) else { return };
        let answered_set_up = match input {
            Input::Bound { job, .. } | Input::Ended { job, .. } => inner.core.attempt_queued_at(machine, job),
            _ => None,
        };
        if let Some(link) = inner.machine_links.get_mut(&machine) {
            match input {
                Input::FenceAnswered { ask, .. } => link.unconfirmed.check_answered(ask),
                Input::Ended { job, .. } => link.unconfirmed.ended(job),
                _ => {}
            }
            if let Some(queued_at) = answered_set_up {
                link.unconfirmed.delivered(queued_at);
            }
        }
        self.hub.apply_in(&mut inner, input);
    }
}
