//! A planner that places tasks on shared machines: a [`Placer`] decides, and [`life`] runs it on
//! sockets.
//!
//! A [`Placer`] takes [`Event`]s, each with its time, and appends the [`Action`]s that the caller must carry
//! out, in order. It does no I/O and reads no clock; the same events give the same actions.
//!
//! ```
//! use burlhook::*;
//!
//! let class = Class {
//!     idempotency: Idempotency::Repeatable,
//!     deadline_s: 5.0,
//!     on_time_s: 1.0,
//!     late_share: 0.1,
//!     importance: 1.0,
//!     prompt_start_s: 8.0,
//!     spread: None,
//!     kind: None,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     kinds: vec![Kind { size: Room { cores: 32.0, memory: 64.0 } }],
//!     tenants: vec![],
//!     zone: None,
//!     placers: 2,
//!     ask_for_list: false,
//!     ask_every_s: 10.0,
//!     list_shows_room: true,
//!     cores_multiple: 1.0,
//!     memory_multiple: 1.0,
//!     confirms_running: false,
//!     reports: ReportSource::Probes,
//!     reports_used: false,
//!     probes: true,
//!     max_attempts: 4,
//!     cold_offer_limit: 50.0,
//!     cold_window_s: 3.0,
//!     warm_within_s: 18.0,
//!     tick_s: 0.002,
//!     over_share_worth: 0.1,
//!     cross_zone_price: 0.0,
//!     owner_wait_s: 3.0,
//! };
//! let mut placer = Placer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let machine = Entry {
//!     machine: MachineId(0),
//!     key: MachineKey(0x5eed),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     kind: Some(0),
//!     standing: Standing::Ready,
//!     free: Room { cores: 20.0, memory: 40.0 },
//!     started: 0.0,
//! };
//! placer.handle(100.0, Event::List { kind: ListKind::Persisted, entries: vec![machine] }, &mut actions);
//!
//! let task = Task {
//!     class: 0,
//!     tenant: None,
//!     service: ServiceId(7),
//!     room: Room { cores: 2.0, memory: 3.0 },
//!     deadline: 106.0,
//!     expected_runtime_s: None,
//!     limits: TaskLimits::default(),
//! };
//! placer.handle(101.0, Event::Submitted { request: RequestId(1), task }, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Bind { machine: MachineId(0), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![deny(missing_docs)]

pub mod decide;
pub mod document;
pub mod life;
mod placer;
pub mod simulation;
mod state;
pub mod vocabulary;
mod wire;

pub use placer::*;
