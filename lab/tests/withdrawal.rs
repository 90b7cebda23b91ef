//! Keys that are withdrawn while their callers are connected.

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
use teaseldrum_lab::deployment::describe_server;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_engine;
use teaseldrum_lab::loopback::take_address;
use teaseldrum_lab::running::Running;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

const KEY: &str = "secret-of-desk";
const OTHER_KEY: &str = "secret-of-shop";
const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(20);

/// Entry, agent, engine and store, in the order in which they stop.
struct Deployment {
    entry: Running,
    _agent: Running,
    _engine: Running,
    store: StoreHandle,
}

fn start_deployment() -> Deployment {
    // Longer than the whole test: only a withdrawal ends such a stream early.
    let engine = start_engine(EngineScript {
        first_event: Duration::ZERO,
        gap: Duration::from_millis(20),
        events: 100_000,
        sends_end: true,
    });
    let agent = start_agent("s1", "drafting", engine.address);
    let store = start_store(take_address());
    let entry = start_entry_with(&json!({
        "name": "withdrawal",
        "zone": "a",
        "servers": [describe_server("s1", "drafting", agent.address)],
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
        "account desk rate 100000000 burst 100000000 # asked by Asha\n\
         account shop rate 100000000 burst 100000000 # asked by Asha\n\
         pool drafting model cedar # asked by Asha\n\
         route /v1/ pool drafting # asked by Asha\n",
    );
    let other = KeyDigest::of_key(OTHER_KEY.as_bytes());
    text += &format!("key shop-1 account shop digest {other} # asked by Asha\n");
    if with_key {
        let digest = KeyDigest::of_key(KEY.as_bytes());
        text += &format!("key desk-1 account desk digest {digest} # asked by Asha\n");
    }
    text
}

fn accept(store: SocketAddr, parent: u64, text: String) {
    let mut section = Section::new("", json!({"store": [store]}));
    let store = BlockingStore::new(&PlatformSettings::read(&mut section));
    let proposal = Proposal {
        accept_id: format!("after {parent}"),
        parent: Revision(parent),
        text,
        accepted_by: "Asha".into(),
        reason: "test".into(),
    };
    accept_rules(&store, &proposal).expect("accepted");
}

fn post(entry: &Running, key: &str) -> http::Response<ureq::Body> {
    let url = format!("http://{}/v1/completions", entry.address);
    ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {key}"))
        .send(r#"{"prompt":"x","max_tokens":100000,"stream":true}"#)
        .expect("an answer")
}

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < PATIENCE, "not met: {what}");
        std::thread::sleep(STEP);
    }
}

/// Reads lines until one that holds `text`; false if the stream ends first.
fn read_until(lines: &mut impl Iterator<Item = String>, text: &str) -> bool {
    let begin = Instant::now();
    lines
        .take_while(|_| begin.elapsed() < PATIENCE)
        .any(|line| line.contains(text))
}

fn read_lines(response: http::Response<ureq::Body>) -> impl Iterator<Item = String> {
    let body = BufReader::new(response.into_body().into_reader());
    body.lines().map_while(Result::ok)
}

#[test]
fn withdrawn_key_ends_running_stream() {
    let deployment = start_deployment();
    let store = deployment.store.address();
    accept(store, 0, make_rules(true));
    wait_until("the key opens", || {
        post(&deployment.entry, KEY).status() == 200
    });
    let mut stream = read_lines(post(&deployment.entry, KEY));
    let mut other = read_lines(post(&deployment.entry, OTHER_KEY));
    assert!(read_until(&mut stream, "w0"));
    assert!(read_until(&mut other, "w0"));

    accept(store, 1, make_rules(false));
    assert!(read_until(&mut stream, "key-withdrawn"));
    assert_eq!(stream.next().as_deref(), Some(""));
    assert_eq!(stream.next(), None);
    assert_eq!(post(&deployment.entry, KEY).status(), 401);
    assert!(read_until(&mut other, "data: {"));
    assert_eq!(post(&deployment.entry, OTHER_KEY).status(), 200);
}
