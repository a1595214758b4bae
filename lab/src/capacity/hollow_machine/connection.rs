//! One connection to a hollow machine: lines in, lines out, bytes counted.

use super::message::Line;
use super::process::Shared;
use super::state::Start;
use bytes::{Buf, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;

/// Bytes. The longest line that a planner may write.
const MOST_LINE: usize = 16 * 1024;
/// Bytes. Room for what is read at once.
const READ_BYTES: usize = 512;

/// Where a connection leads, and which one it is.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The machine's number.
    pub machine: usize,
    /// The connection's.
    pub connection: u64,
}

/// Speaks until the planner closes the connection.
pub async fn serve(fleet: Shared, stream: TcpStream, place: Place, is_first: bool) {
    // Why it ended is nobody's matter: what was open on it is given up either way.
    let _ = talk(&fleet, stream, place, is_first).await;
    fleet.lock().closed(place.machine, place.connection);
}

async fn talk(fleet: &Shared, mut stream: TcpStream, place: Place, is_first: bool) -> io::Result<()> {
    let (out, mut queue) = unbounded_channel::<Vec<u8>>();
    {
        let mut fleet = fleet.lock();
        fleet.open(place.machine, place.connection, out);
        if is_first {
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
                    // What is owed is written before the other end's close is answered.
                    while let Ok(line) = queue.try_recv() {
                        write(fleet, &mut stream, &line).await?;
                    }
                    return Ok(());
                }
                fleet.lock().counts.bytes_in += length as u64;
                let answers = hear(fleet, place, &mut buffer)?;
                write(fleet, &mut stream, &answers).await?;
                if buffer.is_empty() {
                    buffer = BytesMut::new(); // Idle connections keep no memory.
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

/// Takes all whole lines that have come, and gives what is answered at once.
fn hear(fleet: &Shared, place: Place, buffer: &mut BytesMut) -> io::Result<Vec<u8>> {
    let mut answers = Vec::new();
    while let Some(length) = buffer.iter().position(|byte| *byte == b'\n') {
        let line: Line<'_> = serde_json::from_slice(&buffer[..length]).map_err(io::Error::other)?;
        let answer = fleet.lock().hear(place.machine, place.connection, &line);
        answers.extend(answer.line.unwrap_or_default());
        if let Some(start) = answer.start {
            tokio::spawn(live(fleet.clone(), start));
        }
        buffer.advance(length + 1);
    }
    match buffer.len() < MOST_LINE {
        true => Ok(answers),
        false => Err(io::Error::other("a line that is too long")),
    }
}

/// The timer of a task: its start, and its end.
async fn live(fleet: Shared, start: Start) {
    let (start_ms, life_ms) = {
        let plan = &fleet.lock().plan;
        (plan.start_ms, plan.life_ms)
    };
    tokio::time::sleep(Duration::from_millis(start_ms)).await;
    if fleet.lock().started(start) {
        tokio::time::sleep(Duration::from_millis(life_ms)).await;
        fleet.lock().ended(start);
    }
}
