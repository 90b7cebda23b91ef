//! Reads the requests and writes the responses of stand-ins.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use teaseldrum::http::HttpBody;
use teaseldrum::http::full_body;
use teaseldrum::http::read_body;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a request handler after which the connection closes without a
/// response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionDropped;

impl std::fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection dropped")
    }
}

impl std::error::Error for ConnectionDropped {}

/// Result of a request handler of a stand-in.
pub type StandInResult = Result<Response<HttpBody>, ConnectionDropped>;

/// Reads the body of a request as JSON; an empty body counts as an empty
/// object. Returns `None` if the body is malformed, too large or late.
pub async fn read_json<T: DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .ok()?;
    let json: &[u8] = if body.is_empty() { b"{}" } else { &body };
    serde_json::from_slice(json).ok()
}

/// Builds a JSON response.
///
/// # Panics
///
/// Panics if the value cannot be serialized.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<HttpBody> {
    let text = serde_json::to_string(value).expect("the value serializes");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
