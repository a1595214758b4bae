//! A small HTTP client for planners on loopback.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{header, Request};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use url::{Host, Url};

/// Bytes. The largest body of a response.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request to a planner.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub url: String,
    pub key: Option<String>,
    pub body: Option<Vec<u8>>,
}

/// A planner's response.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub location: Option<String>,
    pub body: Bytes,
}

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{0}")]
    Address(String),
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("cannot read the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Parses a planner's URL, which must be on loopback, and returns its address with it.
pub fn loopback(url: &str) -> Result<(String, Url), String> {
    let parsed = Url::parse(url).map_err(|e| format!("{url:?}: {e}"))?;
    let is_loopback = match parsed.host() {
        Some(Host::Ipv4(ip)) => ip.is_loopback(),
        Some(Host::Ipv6(ip)) => ip.is_loopback(),
        Some(Host::Domain(name)) => name == "localhost",
        None => false,
    };
    if parsed.scheme() != "http" || !is_loopback {
        return Err(format!("{url:?}: only http URLs with a loopback address are allowed"));
    }
    let host = parsed.host_str().unwrap_or_default();
    let address = format!("{host}:{}", parsed.port_or_known_default().unwrap_or(80));
    Ok((address, parsed))
}

/// Sends a request on a new connection.
pub async fn call(call: Call) -> Result<Reply, CallError> {
    let (address, url) = loopback(&call.url).map_err(CallError::Address)?;
    let stream = TcpStream::connect(&address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let path = url.query().map_or(url.path().to_string(), |q| format!("{}?{q}", url.path()));
    let mut request = Request::builder().method(call.method).uri(path).header(header::HOST, &address);
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    if call.body.is_some() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let request = request.body(Full::new(Bytes::from(call.body.unwrap_or_default())))?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let location = response.headers().get(header::LOCATION).and_then(|l| l.to_str().ok()).map(str::to_string);
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(CallError::Body)?
        .to_bytes();
    connection.abort();
    Ok(Reply { status, location, body })
}
