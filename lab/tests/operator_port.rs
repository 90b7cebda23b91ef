//! Figures of an entry after real requests.

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

const KEY: &str = "secret-of-desk";
const STEP: Duration = Duration::from_millis(20);
const TRIES: u32 = 250;

fn start_observed_entry(agent: SocketAddr, operator: SocketAddr) -> BackgroundServer {
    let rules = format!(
        "account desk rate 100000 burst 100000 # asked by Asha\n\
         key desk-1 account desk digest {} # asked by Asha\n\
         pool drafting model cedar # asked by Asha\n\
         route /v1/ pool drafting # asked by Asha\n",
        KeyDigest::of_key(KEY.as_bytes())
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
    let answer = ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {key}"))
        .send(body.to_string());
    let mut answer = answer.expect("an answer");
    answer.body_mut().read_to_string().expect("a whole answer");
    answer.status().as_u16()
}

fn read_metrics(operator: SocketAddr) -> String {
    let url = format!("http://{operator}/metrics");
    let mut answer = ureq::get(&url).call().expect("an answer");
    answer.body_mut().read_to_string().expect("text")
}

/// Reads a figure by the beginning of its line.
fn find_figure(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

#[test]
fn metrics_after_requests() {
    let engine = start_model_engine(allocate_address(), EngineSettings::default());
    let agent = start_agent("s1", "drafting", engine.address());
    let operator = allocate_address();
    let entry = start_observed_entry(agent.address, operator);
    assert_eq!(post(&entry, KEY), 200);
    assert_eq!(post(&entry, KEY), 200);
    assert_eq!(post(&entry, "other"), 401);

    // An answer is counted just after its last byte went out.
    let complete = r#"teaseldrum_answers_total{code="complete",outcome="ran"}"#;
    let is_counted = || find_figure(&read_metrics(operator), complete) >= 2.0;
    let counted = (0..TRIES).any(|_| {
        std::thread::sleep(STEP);
        is_counted()
    });
    assert!(counted, "{}", read_metrics(operator));

    let text = read_metrics(operator);
    let refused = r#"teaseldrum_answers_total{code="unauthorized",outcome="not-run"}"#;
    assert_eq!(find_figure(&text, refused), 1.0);
    assert_eq!(
        find_figure(&text, "teaseldrum_first_token_seconds_count"),
        2.0
    );
    let prompt = find_figure(&text, "teaseldrum_prompt_tokens_total");
    let cached = find_figure(&text, "teaseldrum_cached_prompt_tokens_total");
    assert!(0.0 < cached && cached < prompt, "{cached} of {prompt}");
    assert!(!text.contains(KEY));
}
