//! Serves one connection to a hollow machine: reads the planner's lines, writes the answers and counts the
//! bytes.

use super::message::Line;
use super::process::Shared;
use super::state::TaskKey;
use bytes::{Buf, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

/// The longest line that a planner may write.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Free buffer space before each read.
const READ_BYTES: usize = 512;

/// Identifies a connection to a hollow machine.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionId {
    /// The machine's number.
    pub machine: usize,
    /// The connection's number, unique in the process.
    pub connection: u64,
}

/// Serves the connection until the planner closes it or it fails.
pub async fn serve(fleet: Shared, stream: TcpStream, connection_id: ConnectionId, is_first_contact: bool) {
    // The cause of the end does not matter: tasks that have not started are dropped either way.
    let _ = exchange_lines(&fleet, stream, connection_id, is_first_contact).await;
    fleet.lock().closed(connection_id.machine, connection_id.connection);
}

async fn exchange_lines(
    fleet: &Shared,
    mut stream: TcpStream,
    connection_id: ConnectionId,
    is_first_contact: bool,
) -> io::Result<()> {
    let (out, mut queue) = unbounded_channel::<Vec<u8>>();
    {
        let mut fleet = fleet.lock();
        fleet.open(connection_id.machine, connection_id.connection, out);
        if is_first_contact {
            fleet.reached();
        }
    }
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BYTES);
        tokio::select! {
            read = stream.read_buf(&mut buffer) => {
                let length = read?;
                if length == 0 {
                    // Queued lines are written before this end closes, too.
                    while let Ok(line) = queue.try_recv() {
                        write(fleet, &mut stream, &line).await?;
                    }
                    return Ok(());
                }
                fleet.lock().counts.bytes_in += length as u64;
                let answers = receive(fleet, connection_id, &mut buffer)?;
                write(fleet, &mut stream, &answers).await?;
                if buffer.is_empty() {
                    buffer = BytesMut::new(); // Idle connections hold no buffer.
                }
            }
            Some(line) = queue.recv() => write(fleet, &mut stream, &line).await?,
        }
    }
}

async fn write(fleet: &Shared, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    fleet.lock().counts.bytes_out += bytes.len() as u64;
    stream.write_all(bytes).await
}

/// Handles all complete lines in the buffer and returns the immediate answers.
fn receive(fleet: &Shared, connection_id: ConnectionId, buffer: &mut BytesMut) -> io::Result<Vec<u8>> {
    let mut answers = Vec::new();
    while let Some(length) = buffer.iter().position(|byte| *byte == b'\n') {
        let line: Line<'_> = serde_json::from_slice(&buffer[..length]).map_err(io::Error::other)?;
        let answer = fleet.lock().receive(connection_id.machine, connection_id.connection, &line);
        answers.extend(answer.line.unwrap_or_default());
        if let Some(task) = answer.start {
            tokio::spawn(run_task(fleet.clone(), task));
        }
        buffer.advance(length + 1);
    }
    match buffer.len() < MAX_LINE_BYTES {
        true => Ok(answers),
        false => Err(io::Error::other("planner sent a line of 16 KiB or more")),
    }
}

/// Starts and ends a task after the plan's delays.
async fn run_task(fleet: Shared, task: TaskKey) {
    let (start_ms, life_ms) = {
        let plan = &fleet.lock().plan;
        (plan.start_ms, plan.life_ms)
    };
    tokio::time::sleep(Duration::from_millis(start_ms)).await;
    if fleet.lock().started(task) {
        tokio::time::sleep(Duration::from_millis(life_ms)).await;
        fleet.lock().ended(task);
    }
}
