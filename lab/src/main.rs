//! The laboratory's command line.

use burlhook::decide::fleet::Terms;
use burlhook::document;
use burlhook_lab::capacity;
use burlhook_lab::load::End;
use burlhook_lab::net::Schedule;
use burlhook_lab::node::{Node, Plan};
use burlhook_lab::planner::Program;
use burlhook_lab::rigs::{brownout, budgets, demo, fleet, groups, reload};
use burlhook_lab::twin;
use burlhook_lab::Clock;
use clap::{Parser, Subcommand};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Stand-in nodes, load and rigs for burlhook.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A planner and five nodes on free ports, a short mix, and what became of each job. It ends by itself.
    Demo,
    /// One stand-in node, until it is ended.
    Node {
        /// Where it listens, on loopback.
        #[arg(default_value = "127.0.0.1:7001")]
        listen: String,
        /// Share of asks that it refuses.
        #[arg(long, default_value_t = 0.0)]
        refuse: f64,
        /// Seed of what is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Reloads under load; prints latency, memory and what the ledgers show.
    Reload {
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// The operators' file is the older program's TOML: no limits, no reloads of it.
        #[arg(long)]
        older: bool,
        /// Without limits in the file.
        #[arg(long)]
        plain: bool,
        /// Milliseconds between reloads; 0 for none.
        #[arg(long, default_value_t = 100)]
        every_ms: u64,
        /// Asks a second.
        #[arg(long, default_value_t = 400.0)]
        rate: f64,
        /// Seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Seed of nodes and load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A brown-out with and without a budget of further tries.
    Brownout {
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// Further tries for each first one.
        #[arg(long, default_value_t = 0.2)]
        budget: f64,
        /// Seeds, one run each.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Groups beside ordinary load on nodes that fail at random; partial times come from the nodes' ledgers.
    Groups {
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// Groups a second.
        #[arg(long, default_value_t = 4.0)]
        groups: f64,
        /// Seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Share of the fleet that ordinary load takes.
        #[arg(long, default_value_t = 0.3)]
        load: f64,
        /// Each member on its own, cut by hand.
        #[arg(long)]
        naive: bool,
        /// Nodes that do not fail.
        #[arg(long)]
        calm: bool,
        /// Seed of nodes, load and groups.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Planners over more machines than descriptors, or that share a fault: how late ends are told, and dials in step.
    Fleet {
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// Planners.
        #[arg(long, default_value_t = 1)]
        planners: usize,
        /// Machines.
        #[arg(long, default_value_t = 400)]
        nodes: usize,
        /// Descriptors of each planner.
        #[arg(long, default_value_t = 256)]
        sockets: u32,
        /// Planners that the settings tell of.
        #[arg(long, default_value_t = 16)]
        listed: u32,
        /// Asks a second, over all planners.
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// All connections to machines are reset at half of the time.
        #[arg(long)]
        reset: bool,
        /// Seed of nodes and load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Budgets of the whole fleet under faults; the machines' ledgers and the clients' logs decide.
    Budgets {
        /// The planner's program; this one's own planner if absent.
        #[arg(long)]
        planner: Option<PathBuf>,
        /// Planners.
        #[arg(long, default_value_t = 8)]
        planners: usize,
        /// Machines.
        #[arg(long, default_value_t = 20)]
        nodes: usize,
        /// Asks a second, over all planners.
        #[arg(long, default_value_t = 900.0)]
        rate: f64,
        /// Seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Of its part, what a planner may use without hearing anyone.
        #[arg(long, default_value_t = 0.5)]
        floor: f64,
        /// Milliseconds of a lease.
        #[arg(long, default_value_t = 3000)]
        lease_ms: u64,
        /// Planners that vote; 0 where everything is floor.
        #[arg(long, default_value_t = 3)]
        voters: usize,
        /// How budgets are set up.
        #[arg(long, value_enum, default_value = "fleet")]
        way: WayName,
        /// A schedule of faults in JSON5; drawn by the seed if absent.
        #[arg(long)]
        schedule: Option<PathBuf>,
        /// No faults at all.
        #[arg(long)]
        calm: bool,
        /// Seed of machines, load, network and faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The report as JSON.
        #[arg(long)]
        json: bool,
        /// Jobs in flight by tenths of a second, too.
        #[arg(long)]
        trace: bool,
    },
    /// The simulated twin of a fleet: drawn faults over many seeds, or how long parts are idle when planners go and come.
    Twin {
        /// Planners; drawn by each seed if absent.
        #[arg(long)]
        planners: Option<usize>,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many.
        #[arg(long, default_value_t = 100)]
        seeds: u64,
        /// Simulated seconds of each.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Milliseconds of a lease, for handovers.
        #[arg(long, default_value_t = 3000)]
        lease_ms: u64,
        /// How long parts are idle, instead of drawn faults.
        #[arg(long)]
        handovers: bool,
    },
    /// Scale tests: what each part costs as one size grows.
    Capacity {
        #[command(subcommand)]
        action: capacity::command::Action,
    },
    /// The planner itself, as the rigs start it.
    #[command(hide = true)]
    Planner {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        operators: Option<PathBuf>,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum WayName {
    /// Divided by the fleet.
    Fleet,
    /// An equal part at each planner, for good.
    Parts,
    /// The whole at each planner.
    Each,
}

fn print_budgets(report: &budgets::Report, as_json: bool, trace: bool) {
    if as_json {
        return println!("{}", report.json());
    }
    for (end, count) in &report.ends {
        println!("  {end:?} {count}");
    }
    println!("turned away and told when: {}; planners started: {}", report.told_when, report.starts);
    println!(
        "most in flight {}; used {:.3} of the jobs in flight, {:.3} of the rate; worst window {:.1}",
        report.most_in_flight, report.used.0, report.used.1, report.window
    );
    println!(
        "said by each planner: {:.1} datagrams, {:.0} bytes a second; CPU {:.0} ms for 1,000 asks",
        report.said.0, report.said.1, report.cpu_ms
    );
    for (at, (all, of)) in report.flight.iter().enumerate().filter(|_| trace) {
        let each: Vec<String> = of.iter().map(|n| format!("{n:.1}")).collect();
        println!("{:>6.1} s {all:>6.1}  {}", at as f64 / 10.0, each.join(" "));
    }
    println!("broken: {}", report.broken.len());
    report.broken.iter().take(10).for_each(|b| println!("  {b}"));
}

fn print_handovers(planners: usize, lease_ms: u64, seeds: u64) {
    let lease = lease_ms * 1_000;
    let terms = Terms { lease, ask_every: (lease / 60).clamp(20_000, 500_000), ..twin::TERMS };
    let all = twin::handovers(planners, terms, seeds);
    let show = |name: &str, mut times: Vec<Option<u64>>| {
        times.sort_unstable_by_key(|t| t.unwrap_or(u64::MAX));
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!("{name}: p50 {:?} p99 {:?} ms", at(0.5), at(0.99));
    };
    show("from a death to its part in use elsewhere", all.iter().map(|(used, _)| *used).collect());
    show("from a start to a fair part", all.iter().map(|(_, back)| *back).collect());
}

fn program(path: Option<PathBuf>) -> io::Result<Program> {
    Program::or_own(path)
}

fn print_fleet(report: &fleet::Report) {
    let asked: u64 = report.tallies.iter().map(|t| t.asked).sum();
    let twice: u64 = report.tallies.iter().map(|t| t.twice).sum();
    println!(
        "asked {asked} placed {} unanswered {} twice {twice}",
        report.count(End::Placed),
        report.count(End::Unanswered)
    );
    let late = [0.5, 0.99, 1.0].map(|share| report.late(share));
    println!("ends told after p50 {} p99 {} most {} ms; untold {}", late[0], late[1], late[2], report.untold);
    let ticks: u64 = report.used.iter().map(|u| u.cpu_ticks).sum();
    let peak = report.used.iter().map(|u| u.peak_kib).max().unwrap_or_default();
    println!("descriptors {} CPU {} ms peak {peak} KiB", report.descriptors, ticks * 10);
    println!("connections in 2 s and in the worst tenth: start {:?}, fault {:?}", report.start, report.fault);
}

fn print_reload(report: &reload::Report) {
    let reload::Report { tally, verdict, used, reloads, in_force } = report;
    let ms = |h: &hdrhistogram::Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    println!("asked {} answered {} twice {}", tally.asked, tally.answered(), tally.twice);
    for (end, count) in &tally.ends {
        println!("  {end:?} {count}");
    }
    let (p, t) = (&tally.placed_us, &tally.turned_us);
    println!("placed ms: p50 {:.1} p99 {:.1} max {:.1}", ms(p, 0.5), ms(p, 0.99), p.max() as f64 / 1e3);
    println!("turned away ms: p50 {:.1} p99 {:.1}, told when {}", ms(t, 0.5), ms(t, 0.99), tally.told_when);
    println!("planner: peak {} KiB, cpu {:.2} s", used.peak_kib, used.cpu_ticks as f64 / 100.0);
    println!("reloads {reloads}, generation {}", in_force["generation"]);
    println!("offers {} for {} jobs, most {} for one", verdict.asks, verdict.jobs, verdict.most_attempts);
    println!("broken rules: {}", verdict.broken.len());
    verdict.broken.iter().take(10).for_each(|b| println!("  {b}"));
}

fn run(command: Command) -> io::Result<bool> {
    match command {
        Command::Demo => Ok(demo::run(&program(None)?, &mut io::stdout())? == 0),
        Command::Node { listen, refuse, seed } => {
            let plan = Plan { name: listen.clone(), seed, refuse, ..Plan::default() };
            let node = Node::start(&listen, plan, Clock::start())?;
            println!("a stand-in node listens on {}", node.address());
            let mut shown = 0;
            loop {
                std::thread::sleep(Duration::from_millis(200));
                let ledger = node.ledger();
                for entry in &ledger.entries[shown..] {
                    println!("{:>9.3} {:016x} {:?}", entry.at.as_secs_f64(), entry.job, entry.what);
                }
                shown = ledger.entries.len();
            }
        }
        Command::Reload { planner, older, plain, every_ms, rate, seconds, seed } => {
            let mut program = program(planner)?;
            let mut options =
                reload::Options { rate, seed, span: Duration::from_secs(seconds), ..Default::default() };
            options.every = (every_ms > 0).then(|| Duration::from_millis(every_ms));
            if plain {
                (options.limits, options.every) = (false, None);
                options.rest = format!("{{ {} }}", options.rest);
            }
            if older {
                program.operators_flag = "--rest".into();
                (options.limits, options.every) = (false, None);
                options.rest = "listen = \"127.0.0.1:0\"\nmax_open_jobs = 20000\n".into();
            }
            println!("seed {seed}");
            let report = reload::run(&program, &options)?;
            print_reload(&report);
            Ok(report.verdict.broken.is_empty() && report.tally.count(End::Unanswered) == 0)
        }
        Command::Brownout { planner, budget, seeds } => {
            let program = program(planner)?;
            let mut well = true;
            for seed in 1..=seeds {
                for budget in [None, Some(budget)] {
                    let report =
                        brownout::run(&program, &brownout::Options { budget, seed, ..Default::default() })?;
                    println!(
                        "seed {seed} budget {budget:?}: offers {} ({} further), ran {}, placed {:.3} of all, \
                         broken rules {}",
                        report.asks,
                        report.further,
                        report.ran,
                        report.placed(),
                        report.verdict.broken.len()
                    );
                    well &= report.verdict.broken.is_empty();
                }
            }
            Ok(well)
        }
        Command::Fleet { planner, planners, nodes, sockets, listed, rate, seconds, reset, seed } => {
            let span = Duration::from_secs(seconds);
            let options = fleet::Options {
                planners,
                nodes,
                sockets,
                listed,
                rate,
                span,
                reset,
                seed,
                ..Default::default()
            };
            println!("seed {seed}");
            let report = fleet::run(&program(planner)?, &options)?;
            print_fleet(&report);
            Ok(report.untold == 0 && report.count(End::Unanswered) == 0)
        }
        Command::Budgets {
            planner,
            planners,
            nodes,
            rate,
            seconds,
            floor,
            lease_ms,
            voters,
            way,
            schedule,
            calm,
            seed,
            json,
            trace,
        } => {
            let span = Duration::from_secs(seconds);
            let schedule = match schedule {
                _ if calm => Schedule::default(),
                None => Schedule::drawn(seed, planners, nodes, span),
                Some(path) => {
                    let text = document::load(&path).map_err(|f| io::Error::other(f.to_string()))?;
                    let read = Schedule::read(&text, planners, nodes);
                    read.map_err(|f| io::Error::other(f.to_string()))?
                }
            };
            let way = match way {
                WayName::Fleet => budgets::Way::Fleet,
                WayName::Parts => budgets::Way::Parts,
                WayName::Each => budgets::Way::Each,
            };
            let options = budgets::Options {
                planners,
                nodes,
                rate,
                span,
                floor,
                lease_ms,
                voters,
                way,
                schedule,
                seed,
                ..Default::default()
            };
            if !json {
                println!("seed {seed}");
            }
            let report = budgets::run(&program(planner)?, &options)?;
            print_budgets(&report, json, trace);
            Ok(report.broken.is_empty())
        }
        Command::Twin { planners, seed, seeds, seconds, lease_ms, handovers } => {
            if handovers {
                print_handovers(planners.unwrap_or(8), lease_ms, seeds);
                return Ok(true);
            }
            let mut well = true;
            for seed in seed..seed + seeds {
                let mut twin = twin::Twin::new(twin::rough(seed, planners, seconds));
                twin.run(Duration::from_secs(seconds));
                if let Some(broken) = &twin.broken {
                    println!("seed {seed}: {broken}");
                    well = false;
                }
            }
            println!("{seeds} seeds of {seconds} s");
            Ok(well)
        }
        Command::Groups { planner, groups, seconds, load, naive, calm, seed } => {
            let (span, faults) = (Duration::from_secs(seconds), !calm);
            let options = groups::Options { groups, span, load, naive, faults, seed, ..Default::default() };
            println!("seed {seed}");
            let report = groups::run(&program(planner)?, &options)?;
            let h = &report.partial_ms;
            println!(
                "groups asked {} answers {:?} placed {:.3}",
                report.asked,
                report.answers,
                report.placed()
            );
            println!(
                "partial ms: {} times, p50 {} p99 {} greatest {}; over a second: {}",
                h.len(),
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.99),
                h.max(),
                report.over
            );
            println!("doubled members {}", report.groups.doubled.len());
            report.groups.doubled.iter().take(5).for_each(|b| println!("  {b}"));
            let (p, asked) = (&report.tally.placed_us, report.tally.asked);
            println!(
                "ordinary: asked {asked} placed {} ms p50 {:.1} p99 {:.1}; unanswered {}",
                report.tally.count(End::Placed),
                p.value_at_quantile(0.5) as f64 / 1e3,
                p.value_at_quantile(0.99) as f64 / 1e3,
                report.tally.count(End::Unanswered)
            );
            println!(
                "planner: peak {} KiB, cpu {:.2} s",
                report.used.peak_kib,
                report.used.cpu_ticks as f64 / 100.0
            );
            println!("broken rules: {}", report.verdict.broken.len());
            report.verdict.broken.iter().take(10).for_each(|b| println!("  {b}"));
            let unanswered = report.answers.contains_key(&0);
            let well =
                report.over == 0 && report.groups.doubled.is_empty() && report.verdict.broken.is_empty();
            Ok((well && !unanswered) || naive)
        }
        Command::Capacity { action } => capacity::command::run(action),
        Command::Planner { config, operators } => {
            burlhook::life::log();
            burlhook::life::serve(Some(config), operators).map_err(io::Error::other)?;
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("burlhook-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
