//! Client accounts through entry, agent and backend server: refusal beyond rate
//! and burst, removal of keys from forwarded requests, and relayed streams.

use std::io::BufRead;
use std::io::BufReader;
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
use teaseldrum_lab::service::ServiceHandle;
use teaseldrum_lab::service::start_service;

const API_KEY: &str = "secret-of-desk";

/// Entry, agent and backend server, in the order in which they stop.
struct Deployment<B> {
    entry: BackgroundServer,
    _agent: BackgroundServer,
    backend: B,
}

fn format_rules(pool: &str) -> String {
    format!(
        "account desk rate 1 burst 1000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool {pool} # asked by the desk\n\
         route / pool p # asked by the desk\n",
        KeyDigest::of_key(API_KEY.as_bytes())
    )
}

fn start_deployment<B>(
    name: &str,
    pool: &str,
    share: &Value,
    server: std::net::SocketAddr,
    backend: B,
) -> Deployment<B> {
    let agent = start_agent("s1", "p", server);
    let entry = start_entry_with(&json!({
        "name": name,
        "zone": "a",
        "rules_file": write_rules_file(name, &format_rules(pool)),
        "servers": [server_settings("s1", "p", agent.address)],
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20},
        "share": share,
    }));
    Deployment {
        entry,
        _agent: agent,
        backend,
    }
}

fn start_with_engine(name: &str, share: &Value) -> Deployment<BackgroundServer> {
    let script = EngineScript {
        first_event_delay: Duration::from_millis(1),
        gap: Duration::from_millis(1),
        events: 3,
        sends_end_marker: true,
    };
    let engine = start_scripted_engine(script);
    let address = engine.address;
    start_deployment(name, "p model cedar", share, address, engine)
}

fn start_with_service(name: &str) -> Deployment<ServiceHandle> {
    let service = start_service("127.0.0.1:0".parse().expect("the address is valid"));
    let address = service.address();
    start_deployment(name, "p", &json!({"sole": true}), address, service)
}

fn post<B>(deployment: &Deployment<B>, target: &str, body: &str) -> http::Response<ureq::Body> {
    ureq::post(format!("http://{}{target}", deployment.entry.address))
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {API_KEY}"))
        .header("x-api-key", API_KEY)
        .header("x-teaseldrum-envelope", "{}")
        .send(body)
        .expect("the entry answers")
}

/// Repeats a request until the limiter holds slots and their buckets have
/// refilled enough.
fn post_until_admitted(deployment: &Deployment<BackgroundServer>, body: &str) {
    for _ in 0..50 {
        if post(deployment, "/v1/completions", body).status() == 200 {
            return;
        }
    }
    panic!("no request was admitted in 50 attempts");
}

#[test]
fn accounts_request_beyond_rate() {
    let deployment = start_with_engine("beyond", &json!({"sole": true}));
    post_until_admitted(&deployment, r#"{"prompt":"x","max_tokens":1}"#);
    let response = post(
        &deployment,
        "/v1/completions",
        r#"{"prompt":"x","max_tokens":900}"#,
    );
    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["x-teaseldrum-outcome"], "not-run");
    let wait = response.headers()["retry-after"]
        .to_str()
        .expect("retry-after is text");
    assert!(wait.parse::<u64>().expect("retry-after is in seconds") >= 1);
}

#[test]
fn accounts_request_without_share() {
    let deployment = start_with_engine("shareless", &json!({"sole": false}));
    let response = post(
        &deployment,
        "/v1/completions",
        r#"{"prompt":"x","max_tokens":1}"#,
    );
    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["x-teaseldrum-outcome"], "not-run");
}

#[test]
fn accounts_request_beyond_burst() {
    let deployment = start_with_engine("burst", &json!({"sole": true}));
    let response = post(
        &deployment,
        "/v1/completions",
        r#"{"prompt":"x","max_tokens":2000}"#,
    );
    assert_eq!(response.status(), 429);
    assert!(response.headers().get("retry-after").is_none());
}

#[test]
fn accounts_key_is_not_forwarded_to_service() {
    let deployment = start_with_service("unseen");
    let target = format!("/orders?x=1&key={API_KEY}&api_key={API_KEY}");
    let mut status = 0;
    for _ in 0..50 {
        status = post(&deployment, &target, "ab").status().as_u16();
        if status != 429 {
            break;
        }
    }
    assert_ne!(status, 429);
    let header_names = deployment.backend.received_headers();
    assert!(!header_names.is_empty());
    for name in &header_names {
        let is_internal = name.starts_with("x-teaseldrum-");
        let is_credential = ["authorization", "x-api-key", "cookie"].contains(&name.as_str());
        assert!(!is_internal && !is_credential, "{name}");
    }
}

#[test]
fn accounts_stream_is_relayed() {
    let deployment = start_with_engine("stream", &json!({"sole": true}));
    let body = r#"{"prompt":"x","max_tokens":1,"stream":true}"#;
    post_until_admitted(&deployment, body);
    let response = post(&deployment, "/v1/completions", body);
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    let last = lines
        .map_while(Result::ok)
        .filter(|line| !line.is_empty())
        .last();
    assert!(last.is_some());
}
