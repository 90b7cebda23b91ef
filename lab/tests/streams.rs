//! Streams that lose their connections, between entry and agent and between
//! agent and engine.

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

const RULES: &str = "pool drafting model cedar # asked by Asha\n\
    route /v1/ pool drafting open # asked by Asha\n";

/// Tokens of a short answer.
const SHORT: u64 = 30;

/// Tokens of an answer that runs while a test acts.
const LONG: u64 = 400;

struct Deployment {
    entry: BackgroundServer,
    link: Link,
    _agent: BackgroundServer,
    engine: EngineHandle,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn start_deployment(name: &str) -> Deployment {
    start_before(
        name,
        start_model_engine(any_port(), EngineSettings::default()),
    )
}

fn start_before(name: &str, engine: EngineHandle) -> Deployment {
    let agent = start_agent(engine.address());
    let link = start_link(agent.address);
    let path = std::env::temp_dir().join(format!("streams-{}-{name}.rules", std::process::id()));
    std::fs::write(&path, RULES).expect("temporary file");
    let value = json!({
        "name": name,
        "zone": "a",
        "rules_file": path,
        "servers": [{"name": "s1", "pool": "drafting", "zone": "a", "address": link.address()}],
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "drain_timeout_ms": 500,
            "gap_timeout_ms": 1_200},
    });
    let settings = EntrySettings::parse(&value).expect("valid settings");
    let entry = BackgroundServer::start(move |stop, ready| {
        serve_entry(settings, stop, ready).expect("it starts")
    });
    Deployment {
        entry,
        link,
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
    let settings = AgentSettings::parse(&value).expect("valid settings");
    BackgroundServer::start(move |stop, ready| {
        serve_agent(settings, stop, ready).expect("it starts")
    })
}

fn request(entry: SocketAddr, tokens: u64) -> impl Iterator<Item = String> {
    let body = json!({"prompt": "a long file", "stream": true, "max_tokens": tokens});
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .send(body.to_string())
        .expect("an answer");
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    lines
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(String::from))
}

/// Checks that a stream is whole: every token once and in order, the usage
/// and the end marker.
fn assert_whole(lines: &[String], tokens: u64) {
    let last = lines.last().expect("some lines");
    assert_eq!(last, "[DONE]");
    assert_eq!(lines.len() as u64, tokens + 2);
    for (number, line) in lines.iter().take(lines.len() - 2).enumerate() {
        assert!(line.contains(&format!("\"w{number} \"")), "{line}");
    }
}

fn assert_cut(lines: &[String]) {
    let last = lines.last().expect("some lines");
    assert!(last.contains("answer-cut"), "{last}");
}

/// Starts a long stream, acts after its first event and returns all of it.
fn act_within(deployment: &Deployment, act: impl FnOnce()) -> Vec<String> {
    let mut lines = request(deployment.entry.address, LONG);
    let mut read = vec![lines.next().expect("a first event")];
    act();
    read.extend(lines);
    read
}

#[test]
fn stream_engine_connection_breaks() {
    let deployment = start_deployment("breaks");
    deployment.engine.set_faults(EngineFaults {
        break_after_events: Some(12),
        ..EngineFaults::default()
    });
    let lines: Vec<String> = request(deployment.entry.address, SHORT).collect();
    assert_whole(&lines, SHORT);
    assert!(deployment.engine.counts().resumed >= 2);
}

#[test]
fn stream_engine_connection_silent() {
    let deployment = start_deployment("engine-silent");
    let process = deployment.engine.process().clone();
    let lines = act_within(&deployment, || process.freeze_connections());
    assert_whole(&lines, LONG);
}

#[test]
fn stream_agent_connection_breaks() {
    let deployment = start_deployment("agent-breaks");
    let lines = act_within(&deployment, || deployment.link.cut());
    assert_whole(&lines, LONG);
    assert_eq!(deployment.engine.counts().began, 1);
}

#[test]
fn stream_agent_connection_silent() {
    let deployment = start_deployment("agent-silent");
    let lines = act_within(&deployment, || deployment.link.freeze());
    assert_whole(&lines, LONG);
    assert_eq!(deployment.engine.counts().began, 1);
}

#[test]
fn stream_other_generation_never_mixed_in() {
    let deployment = start_deployment("splices");
    deployment.engine.set_faults(EngineFaults {
        break_after_events: Some(12),
        resumes_other_generation: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = request(deployment.entry.address, SHORT).collect();
    assert_cut(&lines);
    assert_eq!(lines.len(), 13);
}

#[test]
fn stream_engine_crashes() {
    let deployment = start_deployment("crashes");
    let lines = act_within(&deployment, || {
        deployment.engine.crash();
        deployment.engine.restart();
    });
    assert_cut(&lines);
}

#[test]
fn stream_without_end() {
    let deployment = start_deployment("endless");
    deployment.engine.set_faults(EngineFaults {
        omits_end_marker: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = request(deployment.entry.address, SHORT).collect();
    assert_cut(&lines);
}

#[test]
fn stream_crossed_answer() {
    let deployment = start_deployment("crossed");
    deployment.engine.set_faults(EngineFaults {
        wrong_request_id: true,
        ..EngineFaults::default()
    });
    let lines: Vec<String> = request(deployment.entry.address, SHORT).collect();
    assert!(lines.is_empty(), "{lines:?}");
}

#[test]
fn stream_caller_goes_away() {
    let settings = EngineSettings {
        orphan_timeout: Duration::from_secs(600),
        ..EngineSettings::default()
    };
    let deployment = start_before("caller-gone", start_model_engine(any_port(), settings));
    let mut lines = request(deployment.entry.address, 100_000);
    lines.next().expect("a first event");
    assert_eq!(deployment.engine.active_requests(), 1);
    drop(lines);
    let began = Instant::now();
    while deployment.engine.active_requests() > 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "still running");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn pool_of_silent_connections_recovers() {
    let deployment = start_deployment("pool");
    let streams: Vec<_> = (0..8)
        .map(|_| {
            let entry = deployment.entry.address;
            thread::spawn(move || request(entry, SHORT).collect::<Vec<_>>())
        })
        .collect();
    for stream in streams {
        assert_whole(&stream.join().expect("no panic"), SHORT);
    }
    deployment.link.freeze();
    deployment.engine.process().freeze_connections();
    for _ in 0..3 {
        let lines: Vec<String> = request(deployment.entry.address, SHORT).collect();
        assert_whole(&lines, SHORT);
    }
}
