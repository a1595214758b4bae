//! The main loop of a process of hollow machines.

use super::connection::{self, ConnectionId};
use super::list;
use super::plan::{machine_at, Plan, Ports};
use super::state::Fleet;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4_096;
/// The network device of the listener, which is bound to all addresses: keeps other hosts from connecting.
const LOOPBACK_DEVICE: &[u8] = b"lo";

/// The state of all machines, shared by all connections.
#[derive(Clone)]
pub struct Shared(Arc<Mutex<Fleet>>);

impl Shared {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a listener on all addresses of the loopback device.
fn listen() -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind_device(Some(LOOPBACK_DEVICE))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Runs the hollow machines until standard input is closed.
///
/// # Errors
/// If the plan cannot be parsed or a port cannot be opened.
pub fn run(plan: &str) -> io::Result<()> {
    let plan: Plan = serde_json::from_str(plan).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let machines = TcpListener::from_std(listen()?)?;
        let list = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let ports = Ports { machines: machines.local_addr()?.port(), list: list.local_addr()?.port() };
        let fleet = Shared(Arc::new(Mutex::new(Fleet::new(plan, ports.machines))));
        let (end, ended) = tokio::sync::oneshot::channel::<io::Result<()>>();
        let counted = fleet.clone();
        std::thread::Builder::new()
            .name("counts".into())
            // The receiver is gone only when the process already ends.
            .spawn(move || drop(end.send(report_counts(&counted, ports))))?;
        tokio::select! {
            served = accept(fleet.clone(), machines) => served,
            served = list::serve(fleet, list) => served,
            ended = ended => ended.map_err(io::Error::other)?,
        }
    })
}

/// Writes the ports to standard output, then the counts for each line `counts` on standard input.
fn report_counts(fleet: &Shared, ports: Ports) -> io::Result<()> {
    let write_line = |line: String| {
        let mut out = io::stdout().lock();
        writeln!(out, "{line}")?;
        out.flush()
    };
    write_line(serde_json::to_string(&ports).map_err(io::Error::other)?)?;
    for line in io::stdin().lock().lines() {
        if line?.trim() == "counts" {
            let counts = fleet.lock().counts;
            write_line(serde_json::to_string(&counts).map_err(io::Error::other)?)?;
        }
    }
    Ok(())
}

async fn accept(fleet: Shared, listener: TcpListener) -> io::Result<()> {
    let (mut connection, mut reached) = (0, BTreeSet::new());
    loop {
        let (stream, _) = listener.accept().await?;
        let IpAddr::V4(local) = stream.local_addr()?.ip() else { continue };
        let Some(machine) = machine_at(local) else { continue };
        connection += 1;
        let is_first_contact = reached.insert(machine);
        tokio::spawn(connection::serve(
            fleet.clone(),
            stream,
            ConnectionId { machine, connection },
            is_first_contact,
        ));
    }
}
