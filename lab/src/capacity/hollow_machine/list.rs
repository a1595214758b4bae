//! The server of the hollow machines' list: the list never changes, and its revision is sent every second.

use super::process::Shared;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time between two lines with the revision.
const REVISION_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts planners that watch the list.
pub async fn serve(fleet: Shared, listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(serve_watcher(fleet.clone(), stream));
    }
}

async fn serve_watcher(fleet: Shared, mut stream: TcpStream) -> io::Result<()> {
    let mut bytes = [0; 64];
    let mut ticker = tokio::time::interval(REVISION_INTERVAL);
    loop {
        tokio::select! {
            read = stream.read(&mut bytes) => match read? {
                0 => return Ok(()),
                length => fleet.lock().counts.list_in += length as u64,
            },
            _ = ticker.tick() => {
                let line = format!("{}\n", fleet.lock().plan.revision);
                stream.write_all(line.as_bytes()).await?;
                fleet.lock().counts.list_out += line.len() as u64;
            }
        }
    }
}
