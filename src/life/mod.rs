//! The running program: command line, configuration, signals, reloads, and the phases from start to exit.

pub mod cli;
mod config;
pub(crate) mod operators;

use crate::decide::shutdown::{Step, Timeline};
use crate::placer::Settings;
use crate::state::{Core, CoreBounds, Input};
use crate::vocabulary::{self, Vocabulary};
use crate::wire::hub::{Counts, Hub, Turns};
use crate::wire::platform::{EventTiming, Source};
use crate::wire::{peers, platform, rest};
use config::{Config, ConfigError};
use operators::Operators;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tracing_subscriber::EnvFilter;

/// Interval at which a draining planner checks whether it can end.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Count. Task turns between two polls of the sockets while tasks are ready: a client that keeps one task ready, such as
/// by pipelined requests, must not delay what arrives on all other sockets by many of its turns.
const SOCKET_POLL_INTERVAL: u32 = 4;

/// The reason for which a reload rejects an operators' file whose fleet differs from the one in force.
const FLEET_NEEDS_RESTART: &str = "the section \"fleet\" changes with a restart alone";

/// A phase of the program between start and exit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Reads its configuration and opens its sockets.
    Starting,
    /// Accepts jobs and answers them.
    Serving,
    /// Reads its configuration again after SIGHUP; jobs in flight go on.
    Reloading,
    /// Stops after SIGTERM or SIGINT: still accepts jobs for a while, and answers all that it has accepted.
    Draining { since: Instant },
    /// All accepted jobs are answered, or the time for draining is over.
    Stopped,
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Reloading => "reloading",
            Phase::Draining { .. } => "draining",
            Phase::Stopped => "stopped",
        })
    }
}

/// The running program, from start to exit.
struct Daemon {
    phase: Phase,
    config: Config,
    /// The operators' file in force, if the command line names one.
    operators: Option<Operators>,
    /// The address of the notice board, which streams the machine list; a reload can change it.
    board: watch::Sender<Source>,
    /// Records when the runtime's thread parks and wakes, which bounds for how long the bytes that it reads
    /// have been unread.
    turns: Arc<Turns>,
}

/// The signals that the program handles, from before its sockets open.
struct Signals {
    terms: Signal,
    interrupts: Signal,
    hups: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terms: signal(SignalKind::terminate())?,
            interrupts: signal(SignalKind::interrupt())?,
            hups: signal(SignalKind::hangup())?,
        })
    }
}

/// Writes log lines to standard error, filtered by `BURLHOOK_LOG`.
pub fn log() {
    let filter = EnvFilter::try_from_env("BURLHOOK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
}

/// Runs a planner until SIGTERM or SIGINT.
///
/// # Errors
/// If the planner cannot start.
pub fn serve(config: Option<PathBuf>, operators: Option<PathBuf>) -> Result<(), ConfigError> {
    let config = Config::load(config)?;
    let operators = operators.map(|path| load_operators(&config, &path)).transpose()?;
    let turns = Arc::new(Turns::default());
    let (parks, unparks) = (turns.clone(), turns.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(SOCKET_POLL_INTERVAL)
        .on_thread_park(move || parks.park())
        .on_thread_unpark(move || unparks.unpark())
        .build();
    let board = watch::Sender::new(config.source());
    let mut daemon = Daemon { phase: Phase::Starting, config, operators, board, turns };
    let runtime = runtime.map_err(ConfigError::Runtime)?;
    let counts = runtime.block_on(daemon.run())?;
    // The sockets close right after the last check of them: nothing blocks in between, not even a log line.
    // Input that arrived in a longer gap would be lost without an answer.
    drop(runtime);
    log_counts(counts);
    daemon.enter(Phase::Stopped);
    Ok(())
}

/// Checks the files without serving them; returns notes on parts that are valid but probably not intended.
///
/// # Errors
/// The faults of the files.
pub fn check(config: Option<PathBuf>, operators: Option<PathBuf>) -> Result<Vec<String>, ConfigError> {
    let config = Config::load(config)?;
    let operators = operators.map(|path| load_operators(&config, &path)).transpose()?;
    build_core(&config, operators.as_ref())?;
    Ok(operators.map(|o| o.notes).unwrap_or_default())
}

/// The settings of a configuration, and the vocabulary of their names.
fn parse_settings(config: &Config) -> Result<(Settings, Vocabulary), ConfigError> {
    let (settings, vocabulary) = vocabulary::settings(&config.settings).map_err(ConfigError::Settings)?;
    settings.check().map_err(|e| ConfigError::Settings(e.to_string()))?;
    Ok((settings, vocabulary))
}

fn load_operators(config: &Config, path: &Path) -> Result<Operators, ConfigError> {
    let (settings, vocabulary) = parse_settings(config)?;
    Ok(operators::load(path, &settings, &vocabulary)?)
}

/// A core with the settings of the configuration.
fn build_core(config: &Config, operators: Option<&Operators>) -> Result<Core, ConfigError> {
    let (settings, vocabulary) = parse_settings(config)?;
    // Without the REST API nobody can read the history or jobs that are over, so none are kept.
    let (waiting_bytes, standing) = config.limits.jobs();
    let nothing = CoreBounds { waiting_bytes, standing, history: 0, over: 0, over_s: 0.0 };
    let rest = operators.and_then(|o| o.rest.as_ref());
    let keep = rest.map_or(nothing, |rest| CoreBounds {
        history: rest.history,
        over: rest.keep_over,
        over_s: rest.keep_over_s,
        ..nothing
    });
    Core::new(settings, vocabulary, config.seed, keep).map_err(|e| ConfigError::Settings(e.to_string()))
}

/// Applies an operators' file to all jobs and groups that are submitted from now on.
fn apply_operators(hub: &Hub, operators: &Operators) {
    let (table, digest) = (operators.limits.clone(), operators.digest.clone());
    hub.apply(Input::Limits { table, digest });
    hub.apply(Input::GroupSettings(operators.groups.clone()));
}

/// Logs the counts of rare events of attempts and their connections so far.
fn log_counts(counts: Counts) {
    let Counts { unheard_attempts, unproved_ends, held_set_ups, cut_short, closed_unread } = counts;
    tracing::info!(unheard_attempts, unproved_ends, held_set_ups, cut_short, closed_unread, "counts");
}

/// Lets all other tasks process the input that has arrived by now, including connections not accepted yet.
async fn process_arrived_input() {
    // The runtime polls its sockets before it resumes this task ...
    tokio::task::yield_now().await;
    // ... and the tasks that it then wakes are queued before the one spawned here.
    let _ = tokio::spawn(async {}).await;
}

impl Daemon {
    fn enter(&mut self, phase: Phase) {
        tracing::info!(from = %self.phase, to = %phase, "phase");
        self.phase = phase;
    }

    async fn run(&mut self) -> Result<Counts, ConfigError> {
        let mut signals = Signals::new().map_err(ConfigError::Runtime)?;
        let hub = self.start().await?;
        self.drop_known_events();
        self.enter(Phase::Serving);
        loop {
            tokio::select! {
                _ = signals.terms.recv() => break,
                _ = signals.interrupts.recv() => break,
                _ = signals.hups.recv() => {
                    self.enter(Phase::Reloading);
                    log_counts(hub.lock().counts);
                    self.reload(&hub);
                    self.enter(Phase::Serving);
                }
            }
        }
        self.drain(&hub, &mut signals).await;
        let counts = hub.lock().counts;
        Ok(counts)
    }

    /// Reads both files again. Each is accepted or rejected by itself, and a rejected one changes nothing. Of
    /// the configuration, the notice board's address and the limits on connections take effect; of the
    /// operators' file, the limits and group settings apply to jobs submitted from now on. The settings, the
    /// listen address and the REST API stay as they were at the start.
    fn reload(&mut self, hub: &Hub) {
        match Config::load(Some(self.config.path.clone())).and_then(|new| build_core(&new, None).map(|_| new))
        {
            Err(error) => {
                tracing::error!(%error, "the new configuration was rejected; the old one stays in force")
            }
            Ok(new) => {
                hub.lock().set_bounds(new.limits.bounds());
                self.board.send_replace(new.source());
            }
        }
        let Some(old) = &self.operators else { return };
        // The file is checked against the settings in force, not those of a new configuration.
        match load_operators(&self.config, &old.path) {
            Err(error) => {
                tracing::error!(%error, "the new operators' file was rejected; the old one stays in force");
                let why = match error {
                    ConfigError::Operators(faults) => faults.lines(),
                    other => vec![other.to_string()],
                };
                hub.apply(Input::LimitsRefused { why });
            }
            Ok(new) if new.fleet != old.fleet => {
                tracing::error!(
                    "the new operators' file was rejected; the old one stays in force: {FLEET_NEEDS_RESTART}"
                );
                hub.apply(Input::LimitsRefused { why: vec![FLEET_NEEDS_RESTART.into()] });
            }
            Ok(new) => {
                let restart = new.rest != old.rest;
                let routes = new.limits.model().routes.len();
                tracing::info!(
                    digest = new.digest,
                    routes,
                    restart,
                    told = new.notes.join("; "),
                    "operators' file"
                );
                apply_operators(hub, &new);
                // The REST API keeps the options of the start. The old options stay recorded, so that each
                // reload until the restart logs that the section differs.
                self.operators = Some(Operators { rest: old.rest.clone(), ..new });
            }
        }
    }

    /// Opens the sockets and spawns the tasks.
    async fn start(&self) -> Result<Arc<Hub>, ConfigError> {
        let config = &self.config;
        let core = build_core(config, self.operators.as_ref())?;
        let (hub, wanted) = Hub::new(core, config.limits.bounds(), self.turns.clone());
        if let Some(operators) = &self.operators {
            for note in &operators.notes {
                tracing::warn!("{note}");
            }
            self.join_fleet(&hub, operators).await?;
            apply_operators(&hub, operators);
        }
        tokio::spawn(hub.clone().run_alarms());
        tokio::spawn(platform::run_machine_links(hub.clone(), wanted, config.dial_timeout()));
        for (at, event) in config.known.notices.iter().enumerate() {
            platform::apply_event(
                &hub,
                event,
                if at == 0 { EventTiming::FromConfig } else { EventTiming::Earlier },
            );
        }
        tokio::spawn(platform::follow_machine_list(hub.clone(), self.board.subscribe(), config.known.rev));
        let bind = |e| ConfigError::Listen(config.listen.clone(), e);
        let listener = TcpListener::bind(&config.listen).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        tokio::spawn(platform::serve(hub.clone(), listener));
        tracing::info!(name = config.name, %address, "listening");
        if let Some(options) = self.operators.as_ref().and_then(|o| o.rest.clone()) {
            let bind = |e| ConfigError::Listen(options.listen.clone(), e);
            let listener = TcpListener::bind(&options.listen).await.map_err(bind)?;
            let address = listener.local_addr().map_err(bind)?;
            tracing::info!(%address, "listening for REST");
            tokio::spawn(rest::serve(hub.clone(), listener, options));
        }
        Ok(hub)
    }

    /// Frees the machine list of the configuration once the hub has applied it.
    fn drop_known_events(&mut self) {
        self.config.known = Arc::default();
        self.board.send_if_modified(|source| {
            source.known = Arc::default();
            false
        });
    }

    /// Joins the fleet of the operators' file, if it has one.
    async fn join_fleet(&self, hub: &Arc<Hub>, operators: &Operators) -> Result<(), ConfigError> {
        let Some(fleet) = operators.fleet.clone() else { return Ok(()) };
        let bind = |e| ConfigError::Listen(fleet.listen.to_string(), e);
        let socket = UdpSocket::bind(fleet.listen).await.map_err(bind)?;
        let address = socket.local_addr().map_err(bind)?;
        // Two incarnations must never be equal, so the configuration's seed is not used.
        let incarnation = rand::random();
        let (queue, outgoing) = mpsc::channel(peers::QUEUE);
        hub.lock().peers = Some(queue);
        hub.apply(Input::Join { plan: fleet.plan.clone(), incarnation });
        let planners = fleet.planners.len();
        tracing::info!(fleet = fleet.name, planners, %address, "receiving peer messages");
        tokio::spawn(peers::serve(hub.clone(), socket, (fleet, incarnation), outgoing));
        Ok(())
    }

    /// Answers accepted jobs and those that still arrive, then returns. A SIGINT that arrives meanwhile makes
    /// the planner answer all of them at once.
    async fn drain(&mut self, hub: &Hub, signals: &mut Signals) {
        let since = Instant::now();
        self.enter(Phase::Draining { since });
        let mut timeline = {
            let mut inner = hub.lock();
            inner.draining = true;
            let deadlines = inner.core.settings().classes.iter().map(|c| c.deadline_s);
            Timeline::new(deadlines.fold(0.0, f64::max))
        };
        let drains_from = hub.now();
        hub.apply(Input::Draining { until: drains_from + timeline.answers_by_s() });
        let (mut last_busy, mut is_listening) = (since, true);
        loop {
            if is_listening && !timeline.takes_connections(since.elapsed().as_secs_f64()) {
                is_listening = false;
                hub.stop_listening.notify_one();
            }
            if !hub.lock().is_quiet(hub.now()) {
                last_busy = Instant::now();
            }
            match timeline.step(since.elapsed().as_secs_f64(), last_busy.elapsed().as_secs_f64()) {
                Step::Wait => {}
                Step::EndIfQuiet => {
                    // After a pause of the process this task may run before those that have input to process.
                    process_arrived_input().await;
                    if hub.lock().is_quiet(hub.now()) {
                        return;
                    }
                    last_busy = Instant::now();
                }
                // The platform may soon kill the process.
                Step::End => {
                    let open = hub.lock().core.pending();
                    tracing::warn!(
                        open,
                        "the planner exits with unanswered jobs, as the time for draining is over"
                    );
                    return;
                }
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL) => {}
                _ = signals.interrupts.recv() => {
                    timeline.hasten(since.elapsed().as_secs_f64());
                    hub.apply(Input::Draining { until: hub.now() });
                }
                // The address of the notice board may change while the planner drains, too.
                _ = signals.hups.recv() => self.reload(hub),
            }
        }
    }
}
