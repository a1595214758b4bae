//! Hands a planner standing tasks, as clients do after its restart. A standing task already runs on a
//! machine; its set-up message names that machine.

use crate::load::{message, parameter};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Message types of the platform protocol: a set-up, a health check, and the answer to one.
const SET_UP: u8 = 1;
const HEALTH_CHECK: u8 = 52;
const HEALTH_CHECK_ANSWER: u8 = 53;
/// Parameter codes of the platform protocol.
const CLASS: u8 = 3;
const WAIT: u8 = 4;
const NAME: u8 = 7;
const FIGURES: u8 = 8;
const CAUSE: u8 = 17;

/// The longest time for the planner to accept all tasks.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);
/// The first id of these tasks; requests of the load have lower ids.
const IDS_AFTER: u64 = 1 << 48;

/// Standing tasks that a planner has accepted; the client's connection stays open until this is dropped.
pub struct StandingTasks {
    _client: TcpStream,
    /// From the first set-up until the planner had accepted all.
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

/// Hands a planner standing tasks, evenly over its machines, and waits until it has accepted them: it answers
/// a health check that is sent after them on the same connection only once it has handled them.
///
/// # Errors
/// If the planner cannot be connected to or does not answer in time.
pub fn hand_over(to: SocketAddr, tasks: usize, machines: usize) -> io::Result<StandingTasks> {
    let mut client = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    client.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    client.set_write_timeout(Some(HANDOVER_TIMEOUT))?;
    let mut messages: Vec<u8> = (0..tasks).flat_map(|task| set_up(task, machines)).collect();
    messages.extend(message(HEALTH_CHECK, IDS_AFTER - 1, &[CAUSE, 0, 1, 0]));
    let from = Instant::now();
    client.write_all(&messages)?;
    // Set-ups of standing tasks are not answered, so the first answer is that to the health check.
    let mut length = [0; 2];
    client.read_exact(&mut length)?;
    let mut answer = vec![0; usize::from(u16::from_be_bytes(length))];
    client.read_exact(&mut answer)?;
    match answer.first() {
        Some(&HEALTH_CHECK_ANSWER) => Ok(StandingTasks { _client: client, taken_in: from.elapsed() }),
        kind => Err(io::Error::other(format!(
            "planner answered with message type {kind:?} instead of the health check answer ({HEALTH_CHECK_ANSWER})"
        ))),
    }
}
