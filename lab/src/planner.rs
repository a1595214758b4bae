//! A planner as a child process with its own files: started, reloaded, measured and stopped.

use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// The command that starts a planner.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Arguments before `--config`, such as the subcommand `serve`.
    pub arguments: Vec<String>,
    /// The flag that takes the path of the operators' file.
    pub operators_flag: String,
}

impl Program {
    /// The same command with a limit on file descriptors, set by `ulimit`.
    pub fn with_descriptor_limit(&self, descriptors: u32) -> Program {
        let path = self.path.to_string_lossy().into_owned();
        let mut arguments = vec!["-c".into(), format!("ulimit -n {descriptors}; exec \"$0\" \"$@\""), path];
        arguments.extend(self.arguments.iter().cloned());
        Program { path: "/bin/sh".into(), arguments, operators_flag: self.operators_flag.clone() }
    }

    /// The program at this path, or else the planner that is built into the running program.
    ///
    /// # Errors
    /// If the path of the running program is not available.
    pub fn or_own(path: Option<PathBuf>) -> io::Result<Program> {
        match path {
            Some(path) => Ok(Program::at(path)),
            None => {
                Ok(Program { arguments: vec!["planner".into()], ..Program::at(std::env::current_exe()?) })
            }
        }
    }

    /// The planner's program at this path.
    pub fn at(path: impl AsRef<Path>) -> Program {
        let (path, operators_flag) = (path.as_ref().to_path_buf(), "--operators".into());
        Program { path, arguments: vec!["serve".into()], operators_flag }
    }
}

/// A running planner. Dropping it kills the process.
pub struct Planner {
    child: Child,
    /// The address for owners' connections.
    pub owners: SocketAddr,
    /// The address of the REST front, if it has one.
    pub rest: Option<SocketAddr>,
    /// The time at which the process was started.
    pub spawned: SystemTime,
    /// The time from then until it listened.
    pub ready_after: Duration,
    config: PathBuf,
    operators: Option<PathBuf>,
}

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Peak resident memory in KiB.
    pub peak_kib: u64,
    /// CPU time of all threads, in clock ticks of 10 ms.
    pub cpu_ticks: u64,
}

/// A free loopback address for a planner that is restarted at the same address. The port lies outside of the
/// ephemeral range: otherwise a client that dials a stopped planner could get that very port as its local
/// port.
///
/// # Errors
/// If no port is free.
pub fn address() -> io::Result<SocketAddr> {
    const PORTS: std::ops::Range<u32> = 12_000..30_000;
    static COUNT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS.len() {
        let number = COUNT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id().wrapping_mul(61));
        let port = (PORTS.start + number % PORTS.len() as u32) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = std::net::TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok();
        if free {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port in 12000..30000 on 127.0.0.1"))
}

/// A unique path in the directory for temporary files.
fn temporary_file(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("burlhook-lab-{}-{number}-{name}", std::process::id()))
}

/// A configuration with the classes `stateless` and `keyed`, and nodes at these addresses, half of them in
/// each area.
pub fn config(nodes: &[SocketAddr], seed: u64) -> Value {
    let grade = |name: &str, effect: &str, importance: f64| {
        json!({"name": name, "deadline_s": 8.0, "group": "all", "idempotency": effect, "importance": importance,
            "late_share": 0.1, "on_time_s": 0.7, "repeat_window_s": 6.0})
    };
    let instance = |(at, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("node-{at}"), "hostPort": address.to_string(),
            "zone": if at % 2 == 0 { "hall-a" } else { "hall-b" }, "machineType": "std-48", "cell": at / 4,
            "lifecycle": "in_service", "weight": 1, "startedAtMs": 0, "free": [40, 80]})
    };
    let instances: Vec<Value> = nodes.iter().enumerate().map(instance).collect();
    json!({"name": "lab", "listen": "127.0.0.1:0", "seed": format!("{seed:x}"),
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"reset": true, "instances": instances}}]},
        "settings": {"areas": ["hall-a", "hall-b"], "zone": "hall-a", "kinds": ["std-48"], "n_instances": 1,
            "membership_mode": "push", "tick_s": 0.002,
            "family_info": {"apart_by": ["silent", "silent"], "class_kind": [-1, -1], "cold_bears": 70,
                "cores_multiple": 2, "free_by": "used", "mem_booking": 1.5, "memory_by_kind": [80],
                "prompt_start_s": [8, 12], "says_yes": "running", "shows_free": true, "size_cores": [40],
                "spread_most": [2, 2]},
            "grades": [grade("stateless", "repeatable", 1.0), grade("keyed", "by_key", 5.0)],
            "permissions": {"max_attempts": 4, "probes": true, "dial_timeout_s": 0.25},
            "report": {"fields": ["x0", "x1", "pending"], "source": "piggyback"},
            "rules": {"ask_every_s": 10, "fall_s": 2, "warm_within_s": 16}}})
}

impl Planner {
    /// Starts a planner with a configuration and an operators' file.
    ///
    /// # Errors
    /// If it cannot be started, or exits before it listens; the error then contains its log.
    pub fn start(program: &Program, config: &Value, operators: Option<&str>) -> io::Result<Planner> {
        let path = temporary_file("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&program.path);
        command
            .args(&program.arguments)
            .arg("--config")
            .arg(&path)
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        let file = operators.map(|text| (temporary_file("operators"), text));
        if let Some((file, text)) = &file {
            std::fs::write(file, text)?;
            command.arg(&program.operators_flag).arg(file);
        }
        let (spawned, from) = (SystemTime::now(), Instant::now());
        let mut child = command.spawn()?;
        let mut log = BufReader::new(
            child.stderr.take().ok_or_else(|| io::Error::other("the planner has no standard error"))?,
        );
        let has = |section: &str| operators.is_some_and(|text| text.contains(section));
        let wants_rest = has("rest:") || has("listen = ");
        let (mut owners, mut rest, mut log_text) = (None, None, String::new());
        while owners.is_none() || (wants_rest && rest.is_none()) {
            let mut line = String::new();
            if log.read_line(&mut line)? == 0 {
                let _ = child.wait();
                return Err(io::Error::other(format!(
                    "the planner exited before it listened: {}",
                    log_text.trim_end()
                )));
            }
            let address = line.trim().rsplit_once("address=").and_then(|(_, a)| a.parse().ok());
            if line.contains("listening for REST") {
                rest = address;
            } else if line.contains("listening") {
                owners = address;
            }
            log_text += &line;
        }
        let ready_after = from.elapsed();
        // The rest of the log is read and discarded, so that the planner never blocks on a full pipe.
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        let owners =
            owners.ok_or_else(|| io::Error::other("the planner did not log the address for owners"))?;
        let operators = file.map(|(file, _)| file);
        Ok(Planner { child, owners, rest, spawned, ready_after, config: path, operators })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given by its name without SIG.
    ///
    /// # Errors
    /// If the process does not exist.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status =
            Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill failed: the planner process does not exist"))
        }
    }

    /// Writes a new operators' file and makes the planner reload it.
    ///
    /// # Errors
    /// If the file cannot be written or the signal cannot be sent.
    pub fn reload(&self, operators: &str) -> io::Result<()> {
        let file = self
            .operators
            .as_ref()
            .ok_or_else(|| io::Error::other("the planner was started without an operators' file"))?;
        std::fs::write(file, operators)?;
        self.signal("HUP")
    }

    /// The REST front's answer to a GET request.
    ///
    /// # Errors
    /// If there is no REST front, or it cannot be reached.
    pub fn get(&self, path: &str) -> io::Result<Value> {
        let rest = self.rest.ok_or_else(|| io::Error::other("the planner has no REST front"))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let answer = runtime.block_on(crate::load::call(
            &crate::load::client(),
            "GET",
            rest,
            path,
            None,
            &Value::Null,
        ));
        answer
            .map(|(_, body)| body)
            .ok_or_else(|| io::Error::other("the REST front did not answer with JSON"))
    }

    /// Number of file descriptors that are open now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, |all| all.count())
    }

    /// Resources used so far.
    pub fn used(&self) -> Used {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let status = read("status").unwrap_or_default();
        let peak =
            status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or_default();
        Used { peak_kib: peak.unwrap_or_default(), cpu_ticks: ticks(11) + ticks(12) }
    }

    /// Stops the planner (SIGTERM) and waits until it has exited.
    ///
    /// # Errors
    /// If it does not exit in time, or exits with an error.
    pub fn stop(mut self, timeout: Duration) -> io::Result<()> {
        self.signal("TERM")?;
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            match self.child.try_wait()? {
                Some(status) if status.success() => return Ok(()),
                Some(status) => return Err(io::Error::other(format!("the planner exited with {status}"))),
                None => std::thread::sleep(Duration::from_millis(10)),
            }
        }
        Err(io::Error::other("the planner did not exit in time after SIGTERM"))
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.config));
        let _ = self.operators.as_ref().map(std::fs::remove_file);
    }
}
