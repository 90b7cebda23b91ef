//! Metrics on the operator port of an entry after served and refused requests.
//! They must not contain API keys.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::loopback::allocate_address;

const API_KEY: &str = "secret-of-desk";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 250;

fn start_entry_with_operator_port(agent: SocketAddr, operator: SocketAddr) -> BackgroundServer {
    let rules = format!(
        "account desk rate 100000 burst 100000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
        KeyDigest::of_key(API_KEY.as_bytes())
    );
    start_entry_with(&json!({
        "name": "observed",
        "zone": "a",
        "rules_file": write_rules_file("observed", &rules),
        "servers": [server_settings("s1", "drafting", agent)],
        "listen": {"traffic": "127.0.0.1:0", "operator": operator},
        "traffic": {"threads": 1, "drain_linger_ms": 20},
    }))
}

fn post(entry: &BackgroundServer, key: &str) -> u16 {
    let url = format!("http://{}/v1/completions", entry.address);
    let prompt = "tonewood ".repeat(200);
    let body = json!({"prompt": prompt, "max_tokens": 2, "stream": true});
    let response = ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {key}"))
        .send(body.to_string());
    let mut response = response.expect("the entry answers");
    response
        .body_mut()
        .read_to_string()
        .expect("the response is complete");
    response.status().as_u16()
}

fn read_metrics(operator: SocketAddr) -> String {
    let url = format!("http://{operator}/metrics");
    let mut response = ureq::get(&url).call().expect("the operator port answers");
    response
        .body_mut()
        .read_to_string()
        .expect("the metrics are text")
}

/// Returns the value of the first line that starts with `name`, or zero.
fn read_metric(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

#[test]
fn metrics_after_requests() {
    let engine = start_model_engine(allocate_address(), EngineSettings::default());
    let agent = start_agent("s1", "drafting", engine.address());
    let operator = allocate_address();
    let entry = start_entry_with_operator_port(agent.address, operator);
    assert_eq!(post(&entry, API_KEY), 200);
    assert_eq!(post(&entry, API_KEY), 200);
    assert_eq!(post(&entry, "other"), 401);

    // The entry counts a response just after it has sent the last byte.
    let complete_count = r#"teaseldrum_answers_total{code="complete",outcome="ran"}"#;
    let is_counted = || read_metric(&read_metrics(operator), complete_count) >= 2.0;
    let counted = (0..MAX_POLLS).any(|_| {
        std::thread::sleep(POLL_INTERVAL);
        is_counted()
    });
    assert!(counted, "{}", read_metrics(operator));

    let metrics = read_metrics(operator);
    let unauthorized_count = r#"teaseldrum_answers_total{code="unauthorized",outcome="not-run"}"#;
    assert_eq!(read_metric(&metrics, unauthorized_count), 1.0);
    assert_eq!(
        read_metric(&metrics, "teaseldrum_first_token_seconds_count"),
        2.0
    );
    let prompt = read_metric(&metrics, "teaseldrum_prompt_tokens_total");
    let cached = read_metric(&metrics, "teaseldrum_cached_prompt_tokens_total");
    assert!(0.0 < cached && cached < prompt, "{cached} of {prompt}");
    assert!(!metrics.contains(API_KEY));
}
