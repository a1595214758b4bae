//! Access logs in the common and the combined format, as pure functions on bytes.
//!
//! `host ident user [time] "METHOD path protocol" status bytes`, and in the combined format
//! also `"referer" "user agent"`. Both formats are parsed alike.

use super::{InvalidLine, Request};
use chrono::DateTime;
use winnow::combinator::{alt, delimited, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{any, none_of, take_till, take_while};

type Result<T> = std::result::Result<T, ErrMode<ContextError>>;

fn field<'a>(input: &mut &'a [u8]) -> Result<&'a [u8]> {
    take_till(1.., b' ').parse_next(input)
}

fn quoted(input: &mut &[u8]) -> Result<Vec<u8>> {
    let escaped = preceded(b'\\', any);
    delimited(b'"', repeat(0.., alt((escaped, none_of([b'"', b'\\'])))), b'"').parse_next(input)
}

struct Parts<'a> {
    time: &'a [u8],
    request: Vec<u8>,
    bytes: &'a [u8],
}

fn parts<'a>(input: &mut &'a [u8]) -> Result<Parts<'a>> {
    (field, b' ', field, b' ', field, b' ').void().parse_next(input)?;
    let time = delimited(b'[', take_till(1.., b']'), b']').parse_next(input)?;
    let request = preceded(b' ', quoted).parse_next(input)?;
    let status = take_while(3..=3, |b: u8| b.is_ascii_digit());
    let bytes = preceded((b' ', status, b' '), take_while(1.., |b: u8| b.is_ascii_digit() || b == b'-'));
    let bytes = { bytes }.parse_next(input)?;
    opt((b' ', quoted, b' ', quoted)).void().parse_next(input)?;
    Ok(Parts { time, request, bytes })
}

fn line(number: usize, bytes: &[u8]) -> std::result::Result<Request, String> {
    let parts =
        parts.parse(bytes).map_err(|e| format!("not an access log line, from byte {}", e.offset() + 1))?;
    let time = String::from_utf8_lossy(parts.time);
    let at = DateTime::parse_from_str(&time, "%d/%b/%Y:%H:%M:%S %z");
    let at = at.map_err(|e| format!("time {time:?}: {e}"))?;
    let request = String::from_utf8_lossy(&parts.request).into_owned();
    let mut fields = request.split(' ');
    let (Some(method), Some(path)) = (fields.next().filter(|m| !m.is_empty()), fields.next()) else {
        return Err(format!("request {request:?} has no method and path"));
    };
    if !method.bytes().all(|b| b.is_ascii_uppercase()) {
        return Err(format!("request {request:?} has no method"));
    }
    let bytes = std::str::from_utf8(parts.bytes).ok().and_then(|b| b.parse().ok());
    let (method, path) = (method.to_string(), path.to_string());
    Ok(Request { number, at, method, host: String::new(), path, took_ms: None, bytes })
}

/// Parses a log; invalid lines are returned with their numbers.
pub fn read(log: &[u8]) -> (Vec<Request>, Vec<InvalidLine>) {
    let (mut requests, mut invalid) = (Vec::new(), Vec::new());
    for (at, bytes) in log.split(|&b| b == b'\n').enumerate() {
        let bytes = bytes.strip_suffix(b"\r").unwrap_or(bytes);
        if bytes.is_empty() {
            continue;
        }
        match line(at + 1, bytes) {
            Ok(request) => requests.push(request),
            Err(why) => invalid.push(InvalidLine { number: at + 1, why }),
        }
    }
    (requests, invalid)
}
