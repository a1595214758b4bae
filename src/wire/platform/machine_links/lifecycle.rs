//! The life of a link: dials, what becomes of a connection that came up, and back-off between dials.

use super::*;

/// What a link keeps from one connection to the next.
struct LinkProgress {
    draws: Draws,
    /// The next back-off.
    retry_delay: Duration,
    /// The machine's last signs of activity.
    signs: MachineActivity,
    /// How the last connection ended.
    former_connection: FormerConnection,
    /// A connection that replaces the former one.
    replacement: Option<TcpStream>,
    /// When the slot of the last connection was given back.
    given_back_at: Option<Seconds>,
}

/// What follows the end of a connection.
enum Next {
    /// Another connection, at once.
    Connect,
    /// Another connection, after the back-off.
    BackOff,
    /// Nothing: the machine left the list, and its last connection ended like this.
    Leave(ConnectionEnd),
}

impl LinkTask {
    /// Keeps a connection to the machine until it leaves the list.
    pub(super) async fn run(self) {
        let mut progress = LinkProgress {
            draws: Draws::new(self.hub.seed(), self.link_id),
            retry_delay: RETRY_DELAYS.0,
            signs: MachineActivity::new(self.hub.now()),
            former_connection: FormerConnection::NotReset,
            replacement: None,
            given_back_at: None,
        };
        if let Some((_, wakes)) = self.address() {
            // A queued set-up ends this wait.
            woken_within(&wakes.write, progress.draws.part(FIRST_DIAL_SPREAD)).await;
        }
        while let Some((address, wakes)) = self.address() {
            if !self.acquire_slot(&wakes.write, &mut progress).await {
                continue;
            }
            let dialled = match progress.replacement.take() {
                Some(stream) => Dialled::Up(stream),
                None => dial(address.clone(), self.dial).await,
            };
            if !matches!(dialled, Dialled::Up(_)) && self.address().is_none() {
                // The machine left the list during the dial. The result must not count against a machine that
                // has come back under the same name.
                break;
            }
            match dialled {
                Dialled::Up(stream) => {
                    let up = Instant::now();
                    let next = self.use_connection(stream, &address, &wakes, &mut progress).await;
                    match next {
                        Next::Connect => continue,
                        Next::BackOff if up.elapsed() > SHORT_LIVED => {
                            self.spread_redial(&wakes.write, &mut progress).await;
                            continue;
                        }
                        Next::BackOff => self.fail_probe(Outcome::ConnectFailed),
                        Next::Leave(end) => return self.report_departed(end),
                    }
                }
                failed => self.dial_failed(failed.kind(), &mut progress),
            }
            self.back_off(&wakes.write, &mut progress).await;
        }
        // No connection is up, so no attempt can be open on one.
        self.report_departed(ConnectionEnd::SeenByMachine);
    }

    /// Uses a connection until it ends.
    async fn use_connection(
        &self,
        stream: TcpStream,
        address: &str,
        wakes: &WakeSignals,
        progress: &mut LinkProgress,
    ) -> Next {
        progress.former_connection = FormerConnection::NotReset;
        self.record_unreachable(false);
        let _ = stream.set_nodelay(true);
        self.hub.lock().take_unconfirmed(self.machine);
        self.send_input(Input::LinkUp { machine: self.machine });
        let mut unprocessed = Unprocessed::default();
        let LinkProgress { draws, signs, .. } = progress;
        let end = self.serve_connection(&stream, address, wakes, draws, &mut unprocessed, signs).await;
        let Unprocessed { buffer, mut background_dial } = unprocessed;
        if let Some(pending_dial) = background_dial.take() {
            tokio::spawn(self.clone().drain_dialled(pending_dial));
        }
        match end {
            Ok(End::Swap(other)) => {
                progress.replacement = Some(other);
                let limit = self.drain_timeout();
                tokio::spawn(self.clone().drain(stream, buffer, limit));
                Next::Connect
            }
            Ok(End::GivenBack) => {
                // Nothing is open on the connection. Its slot is released after the descriptor has been closed.
                let limit = self.drain_timeout();
                self.clone().drain(stream, buffer, limit).await;
                progress.given_back_at = Some(self.hub.now());
                self.hub.lock().release_slot(self.hub.now(), self.machine);
                Next::Connect
            }
            end => self.end_connection(stream, buffer, end, progress).await,
        }
    }

    /// Closes a connection that ended, and reports its end.
    async fn end_connection(
        &self,
        stream: TcpStream,
        buffer: BytesMut,
        end: io::Result<End>,
        progress: &mut LinkProgress,
    ) -> Next {
        let machine = self.machine;
        progress.former_connection = match &end {
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => FormerConnection::Reset,
            _ => FormerConnection::NotReset,
        };
        // Closing the connection cancels the attempts open on it; only then may they be retried elsewhere.
        let seen = self.finish(&stream, buffer, &end).await;
        if let Err(error) = &end {
            tracing::debug!(machine = machine.0, %error, ?seen, "connection to a machine broke");
        }
        let is_unconfirmed = seen == ConnectionEnd::Unconfirmed;
        self.hub.lock().counts.unproved_ends += u64::from(is_unconfirmed);
        if end.is_err() || is_unconfirmed {
            discard_unsent(&stream);
        }
        drop(stream);
        if self.address().is_none() {
            // The machine left the list. If it is listed again, its new link reports on it.
            return Next::Leave(seen);
        }
        if let Some(link) = self.hub.lock().machine_links.get_mut(&machine) {
            link.outbox.reset();
        }
        self.fail_probe(Outcome::Lost);
        if !is_unconfirmed && matches!(end, Ok(End::Cancelled)) {
            self.send_input(Input::CloseAnswered { machine });
        }
        self.send_input(Input::LinkBroken { machine, end: seen });
        Next::BackOff
    }

    /// Waits before the redial after a connection that was in use for a while. The cause may have broken the
    /// connections of all planners at once, so the redial is spread at random. A set-up does not wait.
    async fn spread_redial(&self, wake: &Notify, progress: &mut LinkProgress) {
        progress.retry_delay = RETRY_DELAYS.0;
        if self.hub.lock().need(self.machine) != Need::Now {
            woken_within(wake, progress.draws.part(REDIAL_SPREAD)).await;
        }
    }

    /// Reports a dial that failed.
    fn dial_failed(&self, dial: Dial, progress: &mut LinkProgress) {
        let (machine, signs) = (self.machine, &mut progress.signs);
        match dial {
            Dial::Up => {}
            Dial::Refused => {
                signs.failed_dials = 0;
                self.record_unreachable(false);
                let now = self.hub.now();
                let dial = RefusedDial {
                    former_connection: progress.former_connection,
                    unreported_s: now - signs.last_task_report,
                    silent_s: now - signs.last_sign,
                    redial_s: self.redial_s(),
                };
                self.send_input(Input::DialRefused { machine, dial });
            }
            Dial::NoResources => {
                // The messages stay queued; an unused owner connection is closed to free resources.
                tracing::debug!(machine = machine.0, "no descriptor, port or buffer left to dial a machine");
                self.hub.lock().make_room();
                return;
            }
            Dial::Silent => {
                signs.failed_dials += 1;
                self.send_input(Input::DialFailed { machine });
                let silent_s = self.hub.now() - signs.last_sign;
                if is_lost(signs.failed_dials, silent_s, self.record_unreachable(true)) {
                    self.send_input(Input::MachineLost { machine });
                }
            }
        }
        self.fail_probe(Outcome::ConnectFailed);
    }

    /// Seconds within which the machine is dialled again: after the back-off, or, where connections go round, with its
    /// next visit.
    fn redial_s(&self) -> Seconds {
        let longest_back_off_s = RETRY_DELAYS.1.as_secs_f64();
        if self.hub.lock().slots.is_short() {
            VISIT_AFTER_S.max(longest_back_off_s)
        } else {
            longest_back_off_s
        }
    }

    /// Waits before the next dial, which keeps the planner from dialling in a tight loop where each new connection is
    /// reset.
    async fn back_off(&self, wake: &Notify, progress: &mut LinkProgress) {
        {
            // An unreachable machine does not occupy a slot during its back-off while others wait for one.
            let mut inner = self.hub.lock();
            if inner.slots.is_short() {
                inner.release_slot(self.hub.now(), self.machine);
            }
        }
        woken_within(wake, progress.draws.half(progress.retry_delay)).await;
        progress.retry_delay = (progress.retry_delay * 2).min(RETRY_DELAYS.1);
    }

    /// Requests a slot for the connection and returns whether it has one. If not, first waits until a slot is
    /// assigned or something is to be written, at most [`VISIT_AFTER_S`], because a machine with running
    /// tasks has to be visited regularly. A machine whose slot was given back is visited again only after
    /// about that time.
    async fn acquire_slot(&self, wake: &Notify, progress: &mut LinkProgress) -> bool {
        let (wait, has_slot) = {
            let mut inner = self.hub.lock();
            let (now, need) = (self.hub.now(), inner.need(self.machine));
            let visit_in = progress.given_back_at.map_or(0.0, |at| at + VISIT_AFTER_S - now);
            if need == Need::Visit && visit_in > 0.0 && !inner.slots.is_held(self.machine) {
                (visit_in * (0.75 + 0.25 * progress.draws.draw()), false)
            } else {
                (VISIT_AFTER_S, inner.want_slot(now, self.machine, need))
            }
        };
        if !has_slot {
            woken_within(wake, to_duration(wait)).await;
        }
        has_slot
    }
}
