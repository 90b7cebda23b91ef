//! The first event of a stream must reach the caller before the engine sends the
//! second: neither the entry nor the agent may hold it back to fill a buffer.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;

use serde_json::json;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent_with;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;

const RULES: &str = "pool drafting model cedar # asked by the desk\n\
                     route /v1/ pool drafting open # asked by the desk\n";
const HOUR: Duration = Duration::from_secs(3_600);

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn first_event_arrives_before_second_is_sent() {
    let engine = start_scripted_engine(EngineScript {
        first_event_delay: Duration::ZERO,
        gap: HOUR,
        events: 2,
        sends_end_marker: true,
    });
    let traffic = json!({
        "threads": 1,
        "gap_timeout_ms": 3_600_000,
        "drain_linger_ms": 1,
        "drain_timeout_ms": 100,
    });
    let agent = start_agent_with(&json!({
        "name": "s1",
        "zone": "a",
        "pool": "drafting",
        "server": engine.address,
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": traffic,
    }));
    let entry = start_entry_with(&json!({
        "name": "first-event",
        "zone": "a",
        "rules_file": write_rules_file("first-event", RULES),
        "servers": [server_settings("s1", "drafting", agent.address)],
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": traffic,
    }));
    let url = format!("http://{}/v1/completions", entry.address);
    let response = ureq::post(&url)
        .config()
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .send(r#"{"prompt":"x","stream":true}"#)
        .expect("the entry answers");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let first = lines.find_map(|line| {
        let line = line.expect("the first event arrives in time");
        line.strip_prefix("data: ").map(String::from)
    });
    assert!(first.is_some_and(|data| data.contains("w0 ")));
}
