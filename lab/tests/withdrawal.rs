//! An API key that is withdrawn while its caller reads a stream: that stream must
//! end with an error, and streams of other keys must continue.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use teaseldrum::config::Proposal;
use teaseldrum::config::accept_rules;
use teaseldrum::core::KeyDigest;
use teaseldrum::core::Revision;
use teaseldrum::registry::BlockingStore;
use teaseldrum::settings::PlatformSettings;
use teaseldrum::settings::Section;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;
use teaseldrum_lab::loopback::allocate_address;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

const API_KEY: &str = "secret-of-desk";
const OTHER_API_KEY: &str = "secret-of-shop";

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running servers. Fields drop in this order, the entry first.
struct Deployment {
    entry: BackgroundServer,
    _agent: BackgroundServer,
    _engine: BackgroundServer,
    store: StoreHandle,
}

fn start_deployment() -> Deployment {
    // The stream lasts longer than the test, so only the withdrawal can end it.
    let engine = start_scripted_engine(EngineScript {
        first_event_delay: Duration::ZERO,
        gap: Duration::from_millis(20),
        events: 100_000,
        sends_end_marker: true,
    });
    let agent = start_agent("s1", "drafting", engine.address);
    let store = start_store(allocate_address());
    let entry = start_entry_with(&json!({
        "name": "withdrawal",
        "zone": "a",
        "servers": [server_settings("s1", "drafting", agent.address)],
        "platform": {"store": [store.address()]},
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "drain_timeout_ms": 500},
    }));
    Deployment {
        entry,
        _agent: agent,
        _engine: engine,
        store,
    }
}

fn make_rules(with_key: bool) -> String {
    let mut text = String::from(
        "account desk rate 100000000 burst 100000000 # asked by the desk\n\
         account shop rate 100000000 burst 100000000 # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
    );
    let other_digest = KeyDigest::of_key(OTHER_API_KEY.as_bytes());
    text += &format!("key shop-1 account shop digest {other_digest} # asked by the desk\n");
    if with_key {
        let digest = KeyDigest::of_key(API_KEY.as_bytes());
        text += &format!("key desk-1 account desk digest {digest} # asked by the desk\n");
    }
    text
}

fn accept_rules_text(store: SocketAddr, parent: u64, text: String) {
    let mut section = Section::new("", json!({"store": [store]}));
    let store = BlockingStore::new(&PlatformSettings::read(&mut section));
    let proposal = Proposal {
        accept_id: format!("after {parent}"),
        parent: Revision(parent),
        text,
        accepted_by: "desk-operator".into(),
        reason: "test".into(),
    };
    accept_rules(&store, &proposal).expect("the rules are accepted");
}

fn post(entry: &BackgroundServer, key: &str) -> http::Response<ureq::Body> {
    let url = format!("http://{}/v1/completions", entry.address);
    ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {key}"))
        .send(r#"{"prompt":"x","max_tokens":100000,"stream":true}"#)
        .expect("the entry answers")
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads lines until one contains `text`. Returns false if the stream ends or
/// the wait times out first.
fn read_until(lines: &mut impl Iterator<Item = String>, text: &str) -> bool {
    let started_at = Instant::now();
    lines
        .take_while(|_| started_at.elapsed() < WAIT_TIMEOUT)
        .any(|line| line.contains(text))
}

fn read_lines(response: http::Response<ureq::Body>) -> impl Iterator<Item = String> {
    let body = BufReader::new(response.into_body().into_reader());
    body.lines().map_while(Result::ok)
}

#[test]
fn withdrawn_key_ends_its_stream_only() {
    let deployment = start_deployment();
    let store = deployment.store.address();
    accept_rules_text(store, 0, make_rules(true));
    wait_until("the key opens", || {
        post(&deployment.entry, API_KEY).status() == 200
    });
    let mut stream = read_lines(post(&deployment.entry, API_KEY));
    let mut other_stream = read_lines(post(&deployment.entry, OTHER_API_KEY));
    assert!(read_until(&mut stream, "w0"));
    assert!(read_until(&mut other_stream, "w0"));

    accept_rules_text(store, 1, make_rules(false));
    assert!(read_until(&mut stream, "key-withdrawn"));
    assert_eq!(stream.next().as_deref(), Some(""));
    assert_eq!(stream.next(), None);
    assert_eq!(post(&deployment.entry, API_KEY).status(), 401);
    assert!(read_until(&mut other_stream, "data: {"));
    assert_eq!(post(&deployment.entry, OTHER_API_KEY).status(), 200);
}
