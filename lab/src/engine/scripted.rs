//! Engine stand-in that sends the events of a fixed script.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;
use teaseldrum::http::ChannelBody;
use teaseldrum::http::HttpBody;
use teaseldrum::http::ServerLimits;
use teaseldrum::http::full_body;
use teaseldrum::http::read_body;
use teaseldrum::http::serve;
use teaseldrum::http::write_event;
use teaseldrum::threads::build_runtime;
use teaseldrum::threads::open_listener;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::background_server::BackgroundServer;
use crate::clock::now_micros;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Schedule of the responses of a scripted engine.
#[derive(Debug, Clone)]
pub struct EngineScript {
    /// Time from a request to the first event, or to the response if it is not
    /// streamed.
    pub first_event_delay: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// Number of events of a stream before its end marker, or the `max_tokens`
    /// of the request if that is less.
    pub events: u64,
    /// Streams end with the `[DONE]` marker.
    pub sends_end_marker: bool,
}

/// Starts a scripted engine on a free loopback port.
///
/// # Panics
///
/// Panics if no loopback port is free.
pub fn start_scripted_engine(script: EngineScript) -> BackgroundServer {
    BackgroundServer::start(move |stop, ready| {
        let any_port = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = open_listener(any_port).expect("a loopback port is free");
        ready(listener.local_addr().expect("the listener has an address"));
        let runtime = build_runtime().expect("the runtime starts");
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener).expect("the listener joins the runtime");
            let handle = move |req, _| handle_request(script.clone(), req);
            serve(listener, make_limits(), handle, stop).await;
        });
    })
}

fn make_limits() -> ServerLimits {
    ServerLimits {
        max_connections: 4_096,
        max_head_bytes: 65_536,
        head_timeout: READ_TIMEOUT,
        dead_peer_timeout: READ_TIMEOUT,
        drain_timeout: Duration::from_millis(200),
        reader: None,
    }
}

async fn handle_request(script: EngineScript, req: Request<Incoming>) -> Response<HttpBody> {
    let body = read_body(req.into_body(), MAX_BODY_BYTES, READ_TIMEOUT).await;
    let fields: serde_json::Value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok())
        .unwrap_or_default();
    let events = fields["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let script = EngineScript {
        events: script.events.min(events),
        ..script
    };
    if fields["stream"] == true {
        return stream_response(script);
    }
    sleep_unless_zero(script.first_event_delay).await;
    let response_body = json!({"object": "text_completion", "choices": [{"text": "word"}]});
    let mut response = Response::new(full_body(response_body.to_string()));
    set_content_type(&mut response, "application/json");
    response
}

fn stream_response(script: EngineScript) -> Response<HttpBody> {
    let (tx, body) = ChannelBody::new(8);
    tokio::spawn(async move {
        sleep_unless_zero(script.first_event_delay).await;
        for index in 0..script.events {
            if index > 0 {
                sleep_unless_zero(script.gap).await;
            }
            if !tx.send(make_token_event(index)).await {
                return;
            }
        }
        if script.sends_end_marker {
            tx.send(write_event("", "", "[DONE]")).await;
        }
    });
    let mut response = Response::new(body.boxed_unsync());
    set_content_type(&mut response, "text/event-stream");
    response
}

/// Sleeps, but returns at once for no time: a timer would take a millisecond.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

fn make_token_event(index: u64) -> Bytes {
    let data = json!({
        "choices": [{"text": format!("w{index} ")}],
        "sent_us": now_micros(),
    });
    write_event(&index.to_string(), "", &data.to_string())
}

fn set_content_type(response: &mut Response<HttpBody>, content_type: &'static str) {
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
}
