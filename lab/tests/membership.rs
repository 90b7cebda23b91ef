//! Backend servers join, move to another address and leave by the host list of
//! the platform, and the entry must route accordingly.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::deployment::start_entry_with;
use teaseldrum_lab::deployment::write_rules_file;
use teaseldrum_lab::engine::EngineScript;
use teaseldrum_lab::engine::start_scripted_engine;
use teaseldrum_lab::hosts::start_hosts;

const API_KEY: &str = "secret-of-desk";

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn make_host(name: &str, agent: &BackgroundServer) -> Host {
    Host {
        name: name.into(),
        role: HostRole::Agent,
        zone: "a".into(),
        pool: "drafting".into(),
        traffic: agent.address,
        peers: None,
        state: HostState::Live,
    }
}

fn start_engine_without_delay() -> BackgroundServer {
    start_scripted_engine(EngineScript {
        first_event_delay: Duration::ZERO,
        gap: Duration::ZERO,
        events: 1,
        sends_end_marker: true,
    })
}

fn start_listed_entry(hosts: SocketAddr) -> BackgroundServer {
    let rules = format!(
        "account desk rate 100000 burst 100000 # asked by the desk\n\
         key desk-1 account desk digest {} # asked by the desk\n\
         pool drafting model cedar # asked by the desk\n\
         route /v1/ pool drafting # asked by the desk\n",
        KeyDigest::of_key(API_KEY.as_bytes())
    );
    start_entry_with(&json!({
        "name": "membership",
        "zone": "a",
        "rules_file": write_rules_file("membership", &rules),
        "platform": {"hosts": hosts},
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20},
    }))
}

fn post(entry: &BackgroundServer) -> u16 {
    let url = format!("http://{}/v1/completions", entry.address);
    let response = ureq::post(&url)
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", &format!("Bearer {API_KEY}"))
        .send(r#"{"prompt":"x","max_tokens":1}"#);
    response.expect("the entry answers").status().as_u16()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn servers_join_move_and_leave_by_host_list() {
    let any_port = "127.0.0.1:0".parse().expect("the address is valid");
    let engine = start_engine_without_delay();
    let agent = start_agent("s1", "drafting", engine.address);
    let hosts = start_hosts(any_port, Duration::ZERO);
    let entry = start_listed_entry(hosts.address());
    assert_eq!(post(&entry), 503);

    hosts.set_hosts(vec![make_host("s1", &agent)]);
    wait_until("the server joins", || post(&entry) == 200);

    drop(agent);
    wait_until("the server is gone", || post(&entry) == 503);
    let moved_agent = start_agent("s1", "drafting", engine.address);
    hosts.set_hosts(vec![make_host("s1", &moved_agent)]);
    wait_until("the server moves", || post(&entry) == 200);

    hosts.set_state("s1", HostState::Leaving);
    wait_until("the server leaves", || post(&entry) == 503);
}
