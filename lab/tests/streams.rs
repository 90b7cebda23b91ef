//! Streams whose connections break or go silent, between entry and agent and
//! between agent and engine. A stream is either resumed without a lost or
//! repeated token, or ends with an error.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::entry::serve_entry;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::EntrySettings;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::engine::EngineFaults;
use teaseldrum_lab::engine::EngineHandle;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::link::Link;
use teaseldrum_lab::link::start_link;

const RULES: &str = "pool drafting model cedar # asked by the desk\n\
    route /v1/ pool drafting open # asked by the desk\n";

/// Tokens of a short response.
const SHORT_TOKENS: u64 = 30;

/// Tokens of a response that is still streaming while a test causes a fault.
const LONG_TOKENS: u64 = 400;

/// One entry, one agent and one engine, with links between entry and agent and between
/// agent and engine whose connections a test can cut or freeze.
struct Deployment {
    entry: BackgroundServer,
    link: Link,
    engine_link: Link,
    _agent: BackgroundServer,
    engine: EngineHandle,
}

fn loopback_any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn start_deployment(name: &str) -> Deployment {
    start_deployment_with(
        name,
        start_model_engine(loopback_any_port(), EngineSettings::default()),
    )
}

fn start_deployment_with(name: &str, engine: EngineHandle) -> Deployment {
    let engine_link = start_link(engine.address());
    let agent = start_agent(engine_link.address());
    let link = start_link(agent.address);
    let path = std::env::temp_dir().join(format!("streams-{}-{name}.rules", std::process::id()));
    std::fs::write(&path, RULES).expect("the rules file is written");
    let value = json!({
        "name": name,
        "zone": "a",
        "rules_file": path,
        "servers": [{"name": "s1", "pool": "drafting", "zone": "a", "address": link.address()}],
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "drain_timeout_ms": 500,
            "answer_timeout_ms": 1_200, "gap_timeout_ms": 1_200},
    });
    let settings = EntrySettings::parse(&value).expect("the settings are valid");
    let entry = BackgroundServer::start(move |stop, ready| {
        serve_entry(settings, stop, ready).expect("the entry starts")
    });
    Deployment {
        entry,
        link,
        engine_link,
        _agent: agent,
        engine,
    }
}

fn start_agent(server: SocketAddr) -> BackgroundServer {
    let value = json!({
        "name": "s1",
        "zone": "a",
        "pool": "drafting",
        "server": server,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "drain_timeout_ms": 500,
            "gap_timeout_ms": 200},
    });
    let settings = AgentSettings::parse(&value).expect("the settings are valid");
    BackgroundServer::start(move |stop, ready| {
        serve_agent(settings, stop, ready).expect("the agent starts")
    })
}

/// Sends one streamed request and returns the data of the events as they
/// arrive.
fn send_request(entry: SocketAddr, tokens: u64) -> impl Iterator<Item = String> {
    let body = json!({"prompt": "a long file", "stream": true, "max_tokens": tokens});
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .send(body.to_string())
        .expect("the entry responds");
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    lines
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(String::from))
}

/// Checks that a stream is complete: every token once and in order, the usage
/// and the end marker.
fn assert_complete(lines: &[String], tokens: u64) {
    let last = lines.last().expect("the stream is not empty");
    assert_eq!(last, "[DONE]");
    assert_eq!(lines.len() as u64, tokens + 2);
    for (number, line) in lines.iter().take(lines.len() - 2).enumerate() {
        assert!(line.contains(&format!("\"w{number} \"")), "{line}");
    }
}

/// Checks that a stream ends with the error of an incomplete response.
fn assert_cut(lines: &[String]) {
    let last = lines.last().expect("the stream is not empty");
    assert!(last.contains("answer-cut"), "{last}");
}

/// Starts a long stream, runs `action` after its first event and returns all
/// events.
fn stream_while(deployment: &Deployment, action: impl FnOnce()) -> Vec<String> {
    let mut lines = send_request(deployment.entry.address, LONG_TOKENS);
    let mut received = vec![lines.next().expect("the first event arrives")];
    action();
    received.extend(lines);
    received
}

#[test]
fn stream_engine_connection_breaks() {
    let deployment = start_deployment("breaks");
    deployment.engine.set_faults(EngineFaults {
        break_after_events: Some(12),
        ..EngineFaults::default()
    });
    let lines: Vec<String> = send_request(deployment.entry.address, SHORT_TOKENS).collect();
    assert_complete(&lines, SHORT_TOKENS);
    assert!(deployment.engine.counts().resumed >= 2);
}

#[test]
fn stream_engine_connection_silent() {
    let deployment = start_deployment("engine-silent");
    let process = deployment.engine.process().clone();
    let lines = stream_while(&deployment, || process.freeze_connections());
    assert_complete(&lines, LONG_TOKENS);
}

#[test]
fn stream_agent_connection_breaks() {
    let deployment = start_deployment("agent-breaks");
    let lines = stream_while(&deployment, || deployment.link.cut());
    assert_complete(&lines, LONG_TOKENS);
    assert_eq!(deployment.engine.counts().began, 1);
}

#[test]
fn stream_agent_connection_silent() {
    let deployment = start_deployment("agent-silent");
    let lines = stream_while(&deployment, || deployment.link.freeze());
    assert_complete(&lines, LONG_TOKENS);
    assert_eq!(deployment.engine.counts().began, 1);
}

/// Guards against a stream that ends since the agent's host stands still: longer than the
/// entry waits for bytes, and for an answer to its attempt to resume.
#[test]
fn stream_agent_host_stands_still_goes_on() {
    let deployment = start_deployment("agent-host-still");
    let lines = stream_while(&deployment, || {
        deployment.link.pause();
        thread::sleep(Duration::from_millis(4_500));
        deployment.link.resume();
    });
    assert_complete(&lines, LONG_TOKENS);
    assert_eq!(deployment.engine.counts().began, 1);
}

/// Guards against a stream that ends since its engine is silent and answers no attempt to
/// resume it, although it goes on later over the connection that it has.
#[test]
fn stream_engine_stands_still_goes_on() {
    let deployment = start_deployment("engine-still");
    let lines = stream_while(&deployment, || {
        deployment.engine_link.pause();
        thread::sleep(Duration::from_millis(1_500));
        deployment.engine_link.resume();
    });
    assert_complete(&lines, LONG_TOKENS);
    assert_eq!(deployment.engine.counts().began, 1);
}

/// Guards against a request that is given up since the agent's host stands still before its
/// response has begun, although no other server is left to try.
#[test]
fn stream_agent_host_stands_still_before_begin_goes_on() {
    let deployment = start_deployment("agent-host-still-first");
    let before = send_request(deployment.entry.address, SHORT_TOKENS);
    assert_complete(&before.collect::<Vec<_>>(), SHORT_TOKENS);
    deployment.link.pause();
    let entry = deployment.entry.address;
    let caller = thread::spawn(move || send_request(entry, SHORT_TOKENS).collect::<Vec<_>>());
    thread::sleep(Duration::from_millis(4_500));
    deployment.link.resume();
    let lines = caller.join().expect("the caller thread did not panic");
    assert_complete(&lines, SHORT_TOKENS);
}

/// When the engine resumes with events of another generation, the stream must
/// end with an error after the 12 events that arrived before.
#[test]
fn stream_resumed_with_other_generation() {
    let deployment = start_deployment("splices");
    deployment.engine.set_faults(EngineFaults {
        break_after_events: Some(12),
        resumes_other_generation: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = send_request(deployment.entry.address, SHORT_TOKENS).collect();
    assert_cut(&lines);
    assert_eq!(lines.len(), 13);
}

/// A restarted engine has lost the generation, so the stream cannot be resumed.
#[test]
fn stream_engine_crashes() {
    let deployment = start_deployment("crashes");
    let lines = stream_while(&deployment, || {
        deployment.engine.crash();
        deployment.engine.restart();
    });
    assert_cut(&lines);
}

#[test]
fn stream_without_end_marker() {
    let deployment = start_deployment("endless");
    deployment.engine.set_faults(EngineFaults {
        omits_end_marker: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = send_request(deployment.entry.address, SHORT_TOKENS).collect();
    assert_cut(&lines);
}

/// Nothing of a response that names another request may reach the caller.
#[test]
fn stream_response_for_other_request() {
    let deployment = start_deployment("crossed");
    deployment.engine.set_faults(EngineFaults {
        wrong_request_id: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = send_request(deployment.entry.address, SHORT_TOKENS).collect();
    assert!(lines.is_empty(), "{lines:?}");
}

/// The agent must cancel the request when the caller disconnects: the engine
/// alone would continue the generation for 600 s.
#[test]
fn stream_caller_disconnects() {
    let settings = EngineSettings {
        orphan_timeout: Duration::from_secs(600),
        ..EngineSettings::default()
    };
    let deployment = start_deployment_with(
        "caller-gone",
        start_model_engine(loopback_any_port(), settings),
    );
    let mut lines = send_request(deployment.entry.address, 100_000);
    lines.next().expect("the first event arrives");
    assert_eq!(deployment.engine.active_requests(), 1);
    drop(lines);
    let started_at = Instant::now();
    while deployment.engine.active_requests() > 0 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "the engine still runs the request"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Requests must succeed although all idle connections, between entry and agent
/// and between agent and engine, have gone silent without being closed.
#[test]
fn stream_pool_connections_silent() {
    let deployment = start_deployment("pool");
    let streams: Vec<_> = (0..8)
        .map(|_| {
            let entry = deployment.entry.address;
            thread::spawn(move || send_request(entry, SHORT_TOKENS).collect::<Vec<_>>())
        })
        .collect();
    for stream in streams {
        assert_complete(
            &stream.join().expect("the caller thread did not panic"),
            SHORT_TOKENS,
        );
    }
    deployment.link.freeze();
    deployment.engine.process().freeze_connections();
    for _ in 0..3 {
        let lines: Vec<String> = send_request(deployment.entry.address, SHORT_TOKENS).collect();
        assert_complete(&lines, SHORT_TOKENS);
    }
}
