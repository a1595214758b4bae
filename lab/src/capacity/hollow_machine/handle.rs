//! Starts and queries a process of hollow machines.

use super::plan::{address, Counts, Plan, Ports};
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A running process of hollow machines; dropping this kills it.
pub struct HollowMachines {
    child: Child,
    pipes: RefCell<Pipes>,
    ports: Ports,
}

struct Pipes {
    to: ChildStdin,
    from: BufReader<ChildStdout>,
}

impl Pipes {
    fn read<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let mut line = String::new();
        if self.from.read_line(&mut line)? == 0 {
            return Err(io::Error::other("the hollow machines' process closed its standard output"));
        }
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl HollowMachines {
    /// Starts the process from the laboratory's program.
    ///
    /// # Errors
    /// If the process cannot be started or does not report its ports.
    pub fn start(lab_program: &Path, plan: &Plan) -> io::Result<HollowMachines> {
        let plan = serde_json::to_string(plan).map_err(io::Error::other)?;
        let mut command = Command::new(lab_program);
        command.args(["capacity", "hollow-machines", &plan]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let missing_pipe =
            || io::Error::other("the hollow machines' process has no pipe for standard input or output");
        let to = child.stdin.take().ok_or_else(missing_pipe)?;
        let from = BufReader::new(child.stdout.take().ok_or_else(missing_pipe)?);
        let mut pipes = Pipes { to, from };
        let ports = pipes.read()?;
        Ok(HollowMachines { child, pipes: RefCell::new(pipes), ports })
    }

    /// The addresses of the first machines.
    pub fn addresses(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|machine| address(machine, self.ports.machines)).collect()
    }

    /// The address of the machine list's server.
    pub fn list(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.ports.list))
    }

    /// The machines' counts since their start.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn counts(&self) -> io::Result<Counts> {
        let mut pipes = self.pipes.borrow_mut();
        writeln!(pipes.to, "counts")?;
        pipes.to.flush()?;
        pipes.read()
    }
}

impl Drop for HollowMachines {
    fn drop(&mut self) {
        // The process has no state to save, so it is killed without a shutdown.
        let _ = (self.child.kill(), self.child.wait());
    }
}
