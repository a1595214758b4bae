//! Standing tasks that a planner is handed as after a restart: set-ups that name the machine which holds the task.

use crate::load::{message, parameter};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Types of messages.
const SET_UP: u8 = 1;
const TEST: u8 = 52;
const TESTED: u8 = 53;
/// Codes of parameters.
const CLASS: u8 = 3;
const WAIT: u8 = 4;
const NAME: u8 = 7;
const FIGURES: u8 = 8;
const CAUSE: u8 = 17;

/// Within so long all tasks are taken in.
const PATIENCE: Duration = Duration::from_secs(60);
/// Ids of these tasks follow this one; asks have others.
const IDS_AFTER: u64 = 1 << 48;

/// Tasks that stand; the client's connection is open as long as this is kept.
pub struct Standing {
    _client: TcpStream,
    /// From the first set-up until all were taken in.
    pub taken_in: Duration,
}

fn set_up(task: usize, machines: usize) -> Vec<u8> {
    let id = IDS_AFTER + task as u64;
    let figures = format!("cores:1;memory:2;service:{:016x};at:node-{}", task % 64, task % machines);
    let parameters = [
        parameter(CLASS, "stateless"),
        parameter(WAIT, "5000"),
        parameter(NAME, &format!("{id:016x}")),
        parameter(FIGURES, &figures),
    ];
    message(SET_UP, id, &parameters.concat())
}

/// Hands a planner tasks that stand, evenly over its machines, and waits until it has taken them in: a test behind them
/// on the same connection is answered after them.
///
/// # Errors
/// If the planner cannot be reached, or does not take them in in time.
pub fn hand_over(to: SocketAddr, tasks: usize, machines: usize) -> io::Result<Standing> {
    let mut client = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    client.set_read_timeout(Some(PATIENCE))?;
    client.set_write_timeout(Some(PATIENCE))?;
    let mut messages: Vec<u8> = (0..tasks).flat_map(|task| set_up(task, machines)).collect();
    messages.extend(message(TEST, IDS_AFTER - 1, &[CAUSE, 0, 1, 0]));
    let from = Instant::now();
    client.write_all(&messages)?;
    // Tasks that stand want no answer, so the test's is the only one.
    let mut length = [0; 2];
    client.read_exact(&mut length)?;
    let mut said = vec![0; usize::from(u16::from_be_bytes(length))];
    client.read_exact(&mut said)?;
    match said.first() {
        Some(&TESTED) => Ok(Standing { _client: client, taken_in: from.elapsed() }),
        kind => Err(io::Error::other(format!("a message of type {kind:?}, not the test's answer"))),
    }
}
