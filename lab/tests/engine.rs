//! HTTP interface of the model engine stand-in: cache, streams, cancellation,
//! block transfer, orders and faults.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use teaseldrum_lab::engine::EngineFaults;
use teaseldrum_lab::engine::EngineHandle;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_model_engine;

/// Size of a prompt of 40 blocks, each of 64 tokens of 4 bytes.
const PROMPT_BYTES: usize = 40 * 256;

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for reading a response body.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn start_engine() -> EngineHandle {
    start_model_engine(any_port(), make_settings())
}

fn make_settings() -> EngineSettings {
    EngineSettings {
        event_lag: Duration::ZERO,
        load_lag: Duration::ZERO,
        orphan_timeout: Duration::from_millis(50),
        ..EngineSettings::default()
    }
}

fn post(engine: &EngineHandle, path: &str, body: Value) -> http::Response<ureq::Body> {
    let url = format!("http://{}{path}", engine.address());
    ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .timeout_recv_body(Some(READ_TIMEOUT))
        .build()
        .header("x-request-id", "r1")
        .send_json(body)
        .expect("the engine answers")
}

fn get(engine: &EngineHandle, target: &str) -> http::Response<ureq::Body> {
    let url = format!("http://{}{target}", engine.address());
    ureq::get(&url).call().expect("the engine answers")
}

fn complete_prompt(engine: &EngineHandle, salt: &str) -> u64 {
    let body = json!({
        "prompt": "x".repeat(PROMPT_BYTES),
        "max_tokens": 2,
        "cache_salt": salt,
    });
    let mut response = post(engine, "/v1/completions", body);
    let response: Value = response
        .body_mut()
        .read_json()
        .expect("the response is JSON");
    let details = &response["usage"]["prompt_tokens_details"];
    details["cached_tokens"]
        .as_u64()
        .expect("the count is a number")
}

fn start_stream(engine: &EngineHandle, max_tokens: u32) -> http::Response<ureq::Body> {
    let body = json!({"prompt": "x", "max_tokens": max_tokens, "stream": true});
    post(engine, "/v1/completions", body)
}

fn read_data(response: http::Response<ureq::Body>) -> Vec<String> {
    BufReader::new(response.into_body().into_reader())
        .lines()
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(String::from))
        .collect()
}

fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for the engine"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn engine_cache_is_separate_by_salt() {
    let engine = start_engine();
    assert_eq!(complete_prompt(&engine, "1"), 0);
    assert!(complete_prompt(&engine, "1") > 2_400);
    assert_eq!(complete_prompt(&engine, "2"), 0);
}

#[test]
fn engine_restart_has_empty_cache() {
    let engine = start_engine();
    complete_prompt(&engine, "1");
    let first_incarnation = engine.incarnation();
    engine.crash();
    engine.restart();
    wait_until(|| {
        let url = format!("http://{}/state", engine.address());
        ureq::get(&url).call().is_ok()
    });
    assert_ne!(engine.incarnation(), first_incarnation);
    assert_eq!(complete_prompt(&engine, "1"), 0);
}

#[test]
fn engine_stream_with_usage_and_end() {
    let engine = start_engine();
    let lines = read_data(start_stream(&engine, 3));
    assert_eq!(lines.len(), 5);
    assert!(lines[0].contains("w0 "));
    assert!(lines[3].contains("completion_tokens"));
    assert_eq!(lines[4], "[DONE]");
}

#[test]
fn engine_resume_continues_stream() {
    let engine = start_engine();
    engine.set_faults(EngineFaults {
        break_after_events: Some(2),
        ..EngineFaults::default()
    });
    let before_break = read_data(start_stream(&engine, 4));
    engine.set_faults(EngineFaults::default());
    let resumed = read_data(get(&engine, "/resume?request_id=r1&after=1"));
    assert_eq!(before_break.len(), 2);
    assert!(resumed[0].contains("w2 "), "{resumed:?}");
    assert_eq!(resumed.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(engine.counts().began, 1);
}

#[test]
fn engine_cancel_by_request() {
    let engine = start_engine();
    let stream = start_stream(&engine, 100_000);
    let mut response = post(&engine, "/cancel", json!({"request_id": "r1"}));
    let response: Value = response
        .body_mut()
        .read_json()
        .expect("the response is JSON");
    assert_eq!(response["cancelled"], true);
    drop(stream);
    assert_eq!(engine.active_requests(), 0);
}

#[test]
fn engine_cancels_request_without_reader() {
    let engine = start_engine();
    drop(start_stream(&engine, 100_000));
    wait_until(|| engine.active_requests() == 0);
    assert_eq!(engine.counts().cancelled, 1);
}

#[test]
fn engine_cache_events_show_dropped_event() {
    let engine = start_engine();
    engine.drop_cache_events(1);
    complete_prompt(&engine, "1");
    let mut response = get(&engine, "/cache_events?after=0");
    let events: Value = response
        .body_mut()
        .read_json()
        .expect("the response is JSON");
    assert_eq!(events["first"], 1);
    let stored = events["events"][0]["stored"]
        .as_array()
        .expect("the field is a list");
    assert!(!stored.is_empty());
    assert!(events["events"][0]["parent"].is_u64());
}

#[test]
fn engine_exports_and_imports_blocks() {
    let engine = start_engine();
    complete_prompt(&engine, "1");
    let mut response = get(&engine, "/cache_events?after=0");
    let events: Value = response
        .body_mut()
        .read_json()
        .expect("the response is JSON");
    let blocks: Vec<Value> = events["events"]
        .as_array()
        .expect("the field is a list")
        .iter()
        .flat_map(|event| event["stored"].as_array().cloned().unwrap_or_default())
        .collect();
    let mut exported = post(&engine, "/kv/export", json!({"blocks": blocks}));
    let exported: Value = exported
        .body_mut()
        .read_json()
        .expect("the response is JSON");
    let other = start_engine();
    post(&other, "/kv/import", exported);
    assert_eq!(other.cached_block_count(), 40);
    assert!(complete_prompt(&other, "1") > 2_400);
}

#[test]
fn engine_orders_stale_fencing_refused() {
    let engine = start_engine();
    let post_order = |version: u64, fencing: u64| {
        let body = json!({"kind": "load_weights", "version": version, "fencing": fencing});
        post(&engine, "/orders", body).status().as_u16()
    };
    assert_eq!(post_order(2, 7), 200);
    assert_eq!(post_order(3, 6), 409);
    assert_eq!(engine.weights_version(), 2);
    let settings = EngineSettings {
        enforces_fencing: false,
        ..make_settings()
    };
    let engine_without_fencing = start_model_engine(any_port(), settings);
    for fencing in [7, 6] {
        let body = json!({"kind": "change_role", "role": "decode", "fencing": fencing});
        assert_eq!(post(&engine_without_fencing, "/orders", body).status(), 200);
    }
    assert_eq!(engine_without_fencing.counts().orders, 2);
}

#[test]
fn engine_frozen_connection_is_silent() {
    let engine = start_engine();
    let response = start_stream(&engine, 30);
    engine.process().freeze_connections();
    wait_until(|| engine.counts().ended == 1);
    let lines = read_data(response);
    assert_ne!(lines.last().map(String::as_str), Some("[DONE]"));
    let new_stream = read_data(start_stream(&engine, 1));
    assert_eq!(new_stream.last().map(String::as_str), Some("[DONE]"));
}
