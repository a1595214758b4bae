//! A process of hollow machines, as the process that started it sees it.

use super::plan::{address, Counts, Plan, Ports};
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A running process of hollow machines; it ends when this is dropped.
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
            return Err(io::Error::other("the process of the hollow machines ended"));
        }
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl HollowMachines {
    /// Starts them; the program is that of the laboratory.
    ///
    /// # Errors
    /// If the process cannot be started or does not listen.
    pub fn start(laboratory: &Path, plan: &Plan) -> io::Result<HollowMachines> {
        let plan = serde_json::to_string(plan).map_err(io::Error::other)?;
        let mut command = Command::new(laboratory);
        command.args(["capacity", "hollow-machines", &plan]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let lacks = || io::Error::other("a pipe is missing");
        let to = child.stdin.take().ok_or_else(lacks)?;
        let from = BufReader::new(child.stdout.take().ok_or_else(lacks)?);
        let mut pipes = Pipes { to, from };
        let ports = pipes.read()?;
        Ok(HollowMachines { child, pipes: RefCell::new(pipes), ports })
    }

    /// The addresses of the first machines.
    pub fn addresses(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|machine| address(machine, self.ports.machines)).collect()
    }

    /// Where the machine list is.
    pub fn list(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.ports.list))
    }

    /// What they counted so far.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn counts(&self) -> io::Result<Counts> {
        let mut pipes = self.pipes.borrow_mut();
        writeln!(pipes.to, "counts")?;
        pipes.to.flush()?;
        pipes.read()
    }
}

impl Drop for HollowMachines {
    fn drop(&mut self) {
        // It holds no state that an orderly end would save.
        let _ = (self.child.kill(), self.child.wait());
    }
}
