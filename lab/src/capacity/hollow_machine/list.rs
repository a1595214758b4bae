//! The machine list beside hollow machines: no change ever, and its number every second.

use super::process::Shared;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Between two numbers.
const BEAT: Duration = Duration::from_secs(1);

/// Takes planners that watch the list.
pub async fn serve(fleet: Shared, listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(watched(fleet.clone(), stream));
    }
}

async fn watched(fleet: Shared, mut stream: TcpStream) -> io::Result<()> {
    let mut bytes = [0; 64];
    let mut beats = tokio::time::interval(BEAT);
    loop {
        tokio::select! {
            read = stream.read(&mut bytes) => match read? {
                0 => return Ok(()),
                length => fleet.lock().counts.list_in += length as u64,
            },
            _ = beats.tick() => {
                let line = format!("{}\n", fleet.lock().plan.revision);
                stream.write_all(line.as_bytes()).await?;
                fleet.lock().counts.list_out += line.len() as u64;
            }
        }
    }
}
