//! Start and stop: the command line, the configuration, signals, and the phases from start to exit.

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

/// Time between looks at a draining planner.
const LOOK: Duration = Duration::from_millis(20);

/// Why a file is refused that has another fleet than the one in force.
const FLEET_STAYS: &str = "the section \"fleet\" changes with a restart alone";

/// A phase of the program's life.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Reads its configuration and opens its sockets.
    Starting,
    /// Takes and answers.
    Serving,
    /// Told to read its configuration anew; what is in flight goes on.
    Reloading,
    /// Told to stop: takes what still comes, answers what it took.
    Draining { since: Instant },
    /// Nothing is owed any more.
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

/// The program from start to exit.
struct Life {
    phase: Phase,
    config: Config,
    /// The operators' file in force, where one is named.
    operators: Option<Operators>,
    /// Where the notice board is; a reload moves it.
    board: watch::Sender<Source>,
    /// The turns of the runtime's thread.
    turns: Arc<Turns>,
}

/// The signals that the program heeds from its first moment on.
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

/// Has log lines go to standard error; `BURLHOOK_LOG` says which.
pub fn log() {
    let filter = EnvFilter::try_from_env("BURLHOOK_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
}

/// Runs a planner until it is told to stop.
///
/// # Errors
/// What keeps it from starting.
pub fn serve(config: Option<PathBuf>, operators: Option<PathBuf>) -> Result<(), ConfigError> {
    let config = Config::load(config)?;
    let operators = operators.map(|path| operators_of(&config, &path)).transpose()?;
    let turns = Arc::new(Turns::default());
    let (parks, unparks) = (turns.clone(), turns.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || parks.park())
        .on_thread_unpark(move || unparks.unpark())
        .build();
    let board = watch::Sender::new(config.source());
    let mut life = Life { phase: Phase::Starting, config, operators, board, turns };
    let runtime = runtime.map_err(ConfigError::Runtime)?;
    let counts = runtime.block_on(life.live())?;
    // Between the last look at the sockets and their end nothing is waited for, a log neither.
    drop(runtime);
    log_counts(counts);
    life.enter(Phase::Stopped);
    Ok(())
}

/// Looks the files over without serving them; gives what is worth a word.
///
/// # Errors
/// What is wrong with them.
pub fn check(config: Option<PathBuf>, operators: Option<PathBuf>) -> Result<Vec<String>, ConfigError> {
    let config = Config::load(config)?;
    let operators = operators.map(|path| operators_of(&config, &path)).transpose()?;
    core_of(&config, operators.as_ref())?;
    Ok(operators.map(|o| o.told).unwrap_or_default())
}

/// The settings that a configuration holds.
fn settings_of(config: &Config) -> Result<(Settings, Vocabulary), ConfigError> {
    let (settings, words) = vocabulary::settings(&config.settings).map_err(ConfigError::Settings)?;
    settings.check().map_err(|e| ConfigError::Settings(e.to_string()))?;
    Ok((settings, words))
}

fn operators_of(config: &Config, path: &Path) -> Result<Operators, ConfigError> {
    let (settings, words) = settings_of(config)?;
    Ok(operators::load(path, &settings, &words)?)
}

/// A core with the settings that the configuration holds.
fn core_of(config: &Config, operators: Option<&Operators>) -> Result<Core, ConfigError> {
    let (settings, words) = settings_of(config)?;
    // Where nobody can look, nothing is kept for looking at.
    let (waiting_bytes, standing) = config.limits.jobs();
    let nothing = CoreBounds { waiting_bytes, standing, history: 0, over: 0, over_s: 0.0 };
    let rest = operators.and_then(|o| o.rest.as_ref());
    let keep = rest.map_or(nothing, |rest| CoreBounds {
        history: rest.history,
        over: rest.keep_over,
        over_s: rest.keep_over_s,
        ..nothing
    });
    Core::new(settings, words, config.seed, keep).map_err(|e| ConfigError::Settings(e.to_string()))
}

/// Puts what an operators' file says in force for what comes from now on.
fn take(hub: &Hub, operators: &Operators) {
    let (table, digest) = (operators.limits.clone(), operators.digest.clone());
    hub.apply(Input::Limits { table, digest });
    hub.apply(Input::GroupSettings(operators.groups.clone()));
}

/// Logs what befell attempts and their connections so far.
fn log_counts(counts: Counts) {
    let Counts { unheard_attempts, unproved_ends, held_set_ups, cut_short } = counts;
    tracing::info!(unheard_attempts, unproved_ends, held_set_ups, cut_short, "counts");
}

/// Has all other tasks take what has come for them by now, connections that nobody accepted yet included.
async fn hear_arrived() {
    // The runtime looks at its sockets before it goes on here ...
    tokio::task::yield_now().await;
    // ... and whoever it woke then stands in its queue before this.
    let _ = tokio::spawn(async {}).await;
}

impl Life {
    fn enter(&mut self, phase: Phase) {
        tracing::info!(from = %self.phase, to = %phase, "phase");
        self.phase = phase;
    }

    async fn live(&mut self) -> Result<Counts, ConfigError> {
        let mut signals = Signals::new().map_err(ConfigError::Runtime)?;
        let hub = self.start().await?;
        self.let_go_of_known();
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

    /// Reads both files anew; each is taken or refused alone, and one that cannot be used changes nothing. Of the
    /// configuration, the notice board may have moved, and limits on connections may differ; of the operators' file, the
    /// limits hold for the jobs that come from now on. What the program was started with for good, its settings,
    /// address and REST front, stays.
    fn reload(&mut self, hub: &Hub) {
        match Config::load(Some(self.config.path.clone())).and_then(|new| core_of(&new, None).map(|_| new)) {
            Err(error) => {
                tracing::error!(%error, "the new configuration cannot be used; the old one stays in force")
            }
            Ok(new) => {
                hub.lock().set_bounds(new.limits.bounds());
                self.board.send_replace(new.source());
            }
        }
        let Some(old) = &self.operators else { return };
        // Checked against the settings that are in force, not those of a new configuration.
        match operators_of(&self.config, &old.path) {
            Err(error) => {
                tracing::error!(%error, "the new operators' file cannot be used; the old one stays in force");
                let why = match error {
                    ConfigError::Operators(faults) => faults.lines(),
                    other => vec![other.to_string()],
                };
                hub.apply(Input::LimitsRefused { why });
            }
            Ok(new) if new.fleet != old.fleet => {
                tracing::error!(
                    "the new operators' file cannot be used; the old one stays in force: {FLEET_STAYS}"
                );
                hub.apply(Input::LimitsRefused { why: vec![FLEET_STAYS.into()] });
            }
            Ok(new) => {
                let restart = new.rest != old.rest;
                let routes = new.limits.model().routes.len();
                tracing::info!(
                    digest = new.digest,
                    routes,
                    restart,
                    told = new.told.join("; "),
                    "operators' file"
                );
                take(hub, &new);
                // The front goes on as it was started; a change of its section is told until the restart.
                self.operators = Some(Operators { rest: old.rest.clone(), ..new });
            }
        }
    }

    /// Opens the sockets and starts the tasks.
    async fn start(&self) -> Result<Arc<Hub>, ConfigError> {
        let config = &self.config;
        let core = core_of(config, self.operators.as_ref())?;
        let (hub, wanted) = Hub::new(core, config.limits.bounds(), self.turns.clone());
        if let Some(operators) = &self.operators {
            for told in &operators.told {
                tracing::warn!("{told}");
            }
            self.join(&hub, operators).await?;
            take(&hub, operators);
        }
        tokio::spawn(hub.clone().run_alarms());
        tokio::spawn(platform::run_machine_links(hub.clone(), wanted, config.dial()));
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

    /// Lets go of the machines that the configuration knew, which are taken in.
    fn let_go_of_known(&mut self) {
        self.config.known = Arc::default();
        self.board.send_if_modified(|source| {
            source.known = Arc::default();
            false
        });
    }

    /// Takes part in the fleet that the operators' file names.
    async fn join(&self, hub: &Arc<Hub>, operators: &Operators) -> Result<(), ConfigError> {
        let Some(fleet) = operators.fleet.clone() else { return Ok(()) };
        let bind = |e| ConfigError::Listen(fleet.listen.to_string(), e);
        let socket = UdpSocket::bind(fleet.listen).await.map_err(bind)?;
        let address = socket.local_addr().map_err(bind)?;
        // No seed of a configuration may make two lives alike.
        let life = rand::random();
        let (queue, said) = mpsc::channel(peers::QUEUE);
        hub.lock().peers = Some(queue);
        hub.apply(Input::Join { plan: fleet.plan.clone(), life });
        let planners = fleet.planners.len();
        tracing::info!(fleet = fleet.name, planners, %address, "hears planners");
        tokio::spawn(peers::serve(hub.clone(), socket, (fleet, life), said));
        Ok(())
    }

    /// Answers what was taken and what still comes, then returns. A further interrupt has all of it answered at once.
    async fn drain(&mut self, hub: &Hub, signals: &mut Signals) {
        let since = Instant::now();
        self.enter(Phase::Draining { since });
        let mut times = {
            let mut inner = hub.lock();
            inner.draining = true;
            let deadlines = inner.core.settings().classes.iter().map(|c| c.deadline_s);
            Timeline::new(deadlines.fold(0.0, f64::max))
        };
        let told_at = hub.now();
        hub.apply(Input::Draining { until: told_at + times.answers_by_s() });
        let (mut busy, mut listens) = (since, true);
        loop {
            if listens && !times.takes_connections(since.elapsed().as_secs_f64()) {
                listens = false;
                hub.stop_listening.notify_one();
            }
            if !hub.lock().is_quiet(hub.now()) {
                busy = Instant::now();
            }
            match times.step(since.elapsed().as_secs_f64(), busy.elapsed().as_secs_f64()) {
                Step::Wait => {}
                Step::EndIfQuiet => {
                    // After a pause of the process this may be the first to run.
                    hear_arrived().await;
                    if hub.lock().is_quiet(hub.now()) {
                        return;
                    }
                    busy = Instant::now();
                }
                Step::End => {
                    let open = hub.lock().core.pending();
                    tracing::warn!(open, "the planner ends, as it may be killed now");
                    return;
                }
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                _ = signals.interrupts.recv() => {
                    times.hasten(since.elapsed().as_secs_f64());
                    hub.apply(Input::Draining { until: hub.now() });
                }
                // The board may move while the planner drains, too.
                _ = signals.hups.recv() => self.reload(hub),
            }
        }
    }
}
