//! Requests from a caller through entry and agent to an engine and back,
//! including a broken stream and a server that has gone.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;

use teaseldrum::core::KeyDigest;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;

const API_KEY: &str = "secret-of-desk";

/// Running servers. Fields drop in this order, the entry first.
struct Deployment {
    entry: BackgroundServer,
    _agent: BackgroundServer,
    _engine: BackgroundServer,
}

fn make_script() -> EngineScript {
    EngineScript {
        first_event_delay: Duration::from_millis(20),
        gap: Duration::from_millis(5),
        events: 5,
        sends_end_marker: true,
    }
}

fn start_deployment(name: &str, script: EngineScript) -> Deployment {
    let rules = format!(
        "account desk rate 1000 burst 1000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
        KeyDigest::of_key(API_KEY.as_bytes())
    );
    let engine = start_scripted_engine(script);
    let agent = start_agent("s1", "drafting", engine.address);
    let server = server_settings("s1", "drafting", agent.address);
    let entry = start_entry(name, &rules, &[server]);
    Deployment {
        entry,
        _agent: agent,
        _engine: engine,
    }
}

fn post(deployment: &Deployment, key: &str, body: &str) -> http::Response<ureq::Body> {
    let url = format!("http://{}/v1/completions", deployment.entry.address);
    ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {key}"))
        .header("content-type", "application/json")
        .send(body)
        .expect("the entry answers")
}

fn read_data_lines(response: http::Response<ureq::Body>) -> Vec<String> {
    BufReader::new(response.into_body().into_reader())
        .lines()
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(String::from))
        .collect()
}

#[test]
fn whole_path_streamed() {
    let deployment = start_deployment("streamed", make_script());
    let response = post(&deployment, API_KEY, r#"{"prompt":"x","stream":true}"#);
    assert_eq!(response.status(), 200);
    let lines = read_data_lines(response);
    assert_eq!(lines.len(), 6);
    assert!(lines[0].contains("w0"));
    assert_eq!(lines[5], "[DONE]");
}

#[test]
fn whole_path_not_streamed() {
    let deployment = start_deployment("whole", make_script());
    let mut response = post(&deployment, API_KEY, r#"{"prompt":"x"}"#);
    assert_eq!(response.headers()["x-teaseldrum-outcome"], "ran");
    let body = response
        .body_mut()
        .read_to_string()
        .expect("the body is text");
    assert!(body.contains("word"));
}

#[test]
fn whole_path_unknown_key() {
    let deployment = start_deployment("unknown", make_script());
    let mut response = post(&deployment, "other", r#"{"prompt":"x"}"#);
    assert_eq!(response.status(), 401);
    assert_eq!(response.headers()["x-teaseldrum-outcome"], "not-run");
    let body = response
        .body_mut()
        .read_to_string()
        .expect("the body is text");
    assert!(body.contains("unauthorized"));
}

#[test]
fn whole_path_stream_without_end() {
    let script = EngineScript {
        sends_end_marker: false,
        ..make_script()
    };
    let deployment = start_deployment("cut", script);
    let response = post(&deployment, API_KEY, r#"{"prompt":"x","stream":true}"#);
    let lines = read_data_lines(response);
    let last = lines.last().expect("the stream has data lines");
    assert!(last.contains("answer-cut"), "{last}");
}

#[test]
fn whole_path_server_gone() {
    let mut deployment = start_deployment("gone", make_script());
    let other_engine = start_scripted_engine(make_script());
    drop(std::mem::replace(&mut deployment._engine, other_engine));
    let response = post(&deployment, API_KEY, r#"{"prompt":"x"}"#);
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["x-teaseldrum-outcome"], "not-run");
}
