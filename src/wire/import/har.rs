//! HAR files of version 1.1 or 1.2. Only the fields that the mapping needs are read.

use super::{InvalidLine, Request};
use chrono::DateTime;
use serde::Deserialize;
use serde_json::Value;
use url::Url;

#[derive(Deserialize)]
struct Har {
    log: Log,
}

#[derive(Deserialize)]
struct Log {
    entries: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    started_date_time: String,
    #[serde(default)]
    time: f64,
    request: HarRequest,
    response: Option<HarResponse>,
}

#[derive(Deserialize)]
struct HarRequest {
    method: String,
    url: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HarResponse {
    content: Option<Content>,
    body_size: Option<i64>,
}

#[derive(Deserialize)]
struct Content {
    size: Option<i64>,
}

fn entry(number: usize, value: &Value) -> Result<Request, String> {
    let entry = Entry::deserialize(value).map_err(|e| e.to_string())?;
    let at = DateTime::parse_from_rfc3339(&entry.started_date_time);
    let at = at.map_err(|e| format!("startedDateTime {:?}: {e}", entry.started_date_time))?;
    let url = Url::parse(&entry.request.url).map_err(|e| format!("url {:?}: {e}", entry.request.url))?;
    let size = |r: HarResponse| r.content.and_then(|c| c.size).or(r.body_size);
    Ok(Request {
        number,
        at,
        method: entry.request.method.to_ascii_uppercase(),
        host: url.host_str().unwrap_or_default().to_string(),
        path: url.path().to_string(),
        took_ms: (entry.time >= 0.0).then_some(entry.time),
        // In HAR files, -1 means that the size is unknown.
        bytes: entry.response.and_then(size).and_then(|size| u64::try_from(size).ok()),
    })
}

/// Parses a file; invalid entries are returned with their numbers.
///
/// # Errors
/// If the file as a whole is not a HAR file.
pub fn read(text: &[u8]) -> Result<(Vec<Request>, Vec<InvalidLine>), String> {
    // Some programs write a byte order mark first.
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let har: Har = serde_json::from_slice(text).map_err(|e| format!("not a HAR file: {e}"))?;
    let (mut requests, mut invalid) = (Vec::new(), Vec::new());
    for (at, value) in har.log.entries.iter().enumerate() {
        match entry(at + 1, value) {
            Ok(request) => requests.push(request),
            Err(why) => invalid.push(InvalidLine { number: at + 1, why }),
        }
    }
    Ok((requests, invalid))
}
