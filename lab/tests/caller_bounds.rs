//! Callers that are slow, oversized, malformed or half-open must get the right
//! refusal or be disconnected, and must not keep the entry from serving others.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;

const API_KEY: &str = "secret-of-desk";

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const MAX_CONNECTIONS: usize = 4;

/// Running servers. Fields drop in this order, the entry first.
struct Deployment {
    entry: BackgroundServer,
    _agent: BackgroundServer,
    _engine: BackgroundServer,
}

fn start_deployment(name: &str, traffic: Value) -> Deployment {
    start_deployment_with_gap(name, traffic, Duration::ZERO)
}

/// Starts a deployment whose engine takes `gap` before each of two events.
fn start_deployment_with_gap(name: &str, traffic: Value, gap: Duration) -> Deployment {
    let engine = start_scripted_engine(EngineScript {
        first_event_delay: gap,
        gap,
        events: 2,
        sends_end_marker: true,
    });
    let agent = start_agent("s1", "drafting", engine.address);
    let rules = format!(
        "account desk rate 1000000 burst 9000000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
        KeyDigest::of_key(API_KEY.as_bytes())
    );
    let entry = start_entry_with(&json!({
        "name": name,
        "zone": "a",
        "rules_file": write_rules_file(name, &rules),
        "servers": [server_settings("s1", "drafting", agent.address)],
        "listen": {"traffic": "127.0.0.1:0"},
        "max_prompt_bytes": 64,
        "max_buffered_bytes": 8_192,
        "traffic": traffic,
    }));
    Deployment {
        entry,
        _agent: agent,
        _engine: engine,
    }
}

fn make_traffic_settings() -> Value {
    json!({
        "threads": 1,
        "max_connections": MAX_CONNECTIONS,
        "max_head_bytes": 8_192,
        "max_body_bytes": 4_096,
        "head_timeout_ms": 300,
        "body_timeout_ms": 300,
        "drain_linger_ms": 1,
    })
}

fn connect(deployment: &Deployment) -> TcpStream {
    let stream =
        TcpStream::connect(deployment.entry.address).expect("the entry accepts a connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("the read timeout can be set");
    stream
}

fn make_request_head(length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads until the entry closes the connection.
fn read_until_closed(mut stream: TcpStream) -> String {
    let mut buf = Vec::new();
    if let Err(e) = stream.read_to_end(&mut buf) {
        // The entry may reset the connection after its response.
        assert_eq!(
            e.kind(),
            ErrorKind::ConnectionReset,
            "the entry did not close the connection in time"
        );
    }
    String::from_utf8_lossy(&buf).into_owned()
}

fn post(deployment: &Deployment, body: &str) -> String {
    let mut stream = connect(deployment);
    let message = make_request_head(body.len()) + body;
    stream
        .write_all(message.as_bytes())
        .expect("the request can be sent");
    read_until_closed(stream)
}

fn assert_serves(deployment: &Deployment) {
    let response = post(deployment, r#"{"prompt":"x"}"#);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[track_caller]
fn assert_refused(response: &str, status: u16, code: &str) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
    assert!(
        response.contains("x-teaseldrum-outcome: not-run"),
        "{response}"
    );
    assert!(
        response.contains(&format!("\"code\":\"{code}\"")),
        "{response}"
    );
}

#[test]
fn caller_head_too_large() {
    let deployment = start_deployment("head-large", make_traffic_settings());
    let mut stream = connect(&deployment);
    let head = format!("GET / HTTP/1.1\r\nx-large: {}\r\n\r\n", "x".repeat(20_000));
    // The entry may close the connection before the whole head is sent.
    let _ = stream.write_all(head.as_bytes());
    let response = read_until_closed(stream);
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_serves(&deployment);
}

#[test]
fn caller_head_malformed() {
    let deployment = start_deployment("head-malformed", make_traffic_settings());
    let mut stream = connect(&deployment);
    stream
        .write_all(b"nonsense\r\n\r\n")
        .expect("the request can be sent");
    let response = read_until_closed(stream);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert_serves(&deployment);
}

#[test]
fn caller_head_slow_is_closed() {
    let deployment = start_deployment("head-slow", make_traffic_settings());
    let mut stream = connect(&deployment);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost:")
        .expect("the request can be sent");
    assert_eq!(read_until_closed(stream), "");
    assert_serves(&deployment);
}

#[test]
fn caller_silent_is_closed() {
    let deployment = start_deployment("silent", make_traffic_settings());
    assert_eq!(read_until_closed(connect(&deployment)), "");
    assert_serves(&deployment);
}

#[test]
fn caller_body_too_large() {
    let deployment = start_deployment("body-large", make_traffic_settings());
    let mut stream = connect(&deployment);
    stream
        .write_all(make_request_head(5_000).as_bytes())
        .expect("the request can be sent");
    assert_refused(&read_until_closed(stream), 413, "body-too-large");
    assert_serves(&deployment);
}

#[test]
fn caller_chunked_body_too_large() {
    let deployment = start_deployment("chunked-large", make_traffic_settings());
    let mut stream = connect(&deployment);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n1400\r\n{}\r\n",
        "x".repeat(0x1400)
    );
    stream
        .write_all(head.as_bytes())
        .expect("the request can be sent");
    assert_refused(&read_until_closed(stream), 413, "body-too-large");
}

#[test]
fn caller_body_slow() {
    let deployment = start_deployment("body-slow", make_traffic_settings());
    let mut stream = connect(&deployment);
    let head = make_request_head(100) + "{";
    stream
        .write_all(head.as_bytes())
        .expect("the request can be sent");
    assert_refused(&read_until_closed(stream), 408, "body-too-slow");
    assert_serves(&deployment);
}

#[test]
fn caller_body_malformed() {
    let deployment = start_deployment("body-malformed", make_traffic_settings());
    for body in ["{\"prompt\":", "[1]", "\u{0}"] {
        assert_refused(&post(&deployment, body), 400, "bad-request");
    }
}

#[test]
fn caller_prompt_too_long() {
    let deployment = start_deployment("prompt-long", make_traffic_settings());
    let body = format!(r#"{{"prompt":"{}"}}"#, "x".repeat(65));
    assert_refused(&post(&deployment, &body), 413, "prompt-too-long");
    assert_serves(&deployment);
}

#[test]
fn caller_bodies_over_shared_buffer() {
    let mut traffic = make_traffic_settings();
    traffic["body_timeout_ms"] = 20_000.into();
    let deployment = start_deployment("bodies", traffic);
    let partial_request = make_request_head(4_096) + &"x".repeat(4_000);
    let mut stalled_callers: Vec<TcpStream> = (0..2).map(|_| connect(&deployment)).collect();
    for stream in &mut stalled_callers {
        stream
            .write_all(partial_request.as_bytes())
            .expect("the request can be sent");
    }
    let refusal = loop {
        let response = post(&deployment, &format!("[{}]", "1,".repeat(300)));
        if !response.contains("bad-request") {
            break response;
        }
    };
    assert_refused(&refusal, 503, "overloaded");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    drop(stalled_callers);
    let body = r#"{"prompt":"x"}"#;
    while !post(&deployment, body).starts_with("HTTP/1.1 200") {}
}

/// A new connection takes the place of one without a request; the others stay.
#[test]
fn caller_connections_over_limit_close_an_idle_one() {
    let mut traffic = make_traffic_settings();
    traffic["head_timeout_ms"] = 20_000.into();
    let deployment = start_deployment("idle-connections", traffic);
    let idle_connections: Vec<TcpStream> =
        (0..MAX_CONNECTIONS).map(|_| connect(&deployment)).collect();
    assert_serves(&deployment);
    let open = idle_connections.into_iter().filter(|mut stream| {
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("the read timeout can be set");
        // Nothing is sent: the read ends early only if the entry has closed.
        stream.read(&mut [0]).is_err()
    });
    assert_eq!(open.count(), MAX_CONNECTIONS - 1);
}

/// No connection is closed whose request is handled: a new one waits until one ends.
#[test]
fn caller_connections_over_limit_wait_for_those_at_work() {
    let traffic = make_traffic_settings();
    let gap = Duration::from_millis(1_500);
    let deployment = start_deployment_with_gap("connections", traffic, gap);
    let body = r#"{"prompt":"x","stream":true}"#;
    let message = make_request_head(body.len()) + body;
    let mut connections: Vec<TcpStream> = (0..=MAX_CONNECTIONS)
        .map(|_| {
            let mut stream = connect(&deployment);
            stream
                .write_all(message.as_bytes())
                .expect("the request can be sent");
            stream
        })
        .collect();
    let mut waiting_connection = connections.pop().expect("there is one more");
    waiting_connection
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("the read timeout can be set");
    assert!(
        waiting_connection.read(&mut [0]).is_err(),
        "the connection beyond the limit was served"
    );
    waiting_connection
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("the read timeout can be set");
    for stream in connections {
        let response = read_until_closed(stream);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("[DONE]"), "{response}");
    }
    assert!(read_until_closed(waiting_connection).starts_with("HTTP/1.1 200"));
}
