//! HTTP interfaces of the stand-ins for the platform's store and host list.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;
use serde_json::json;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;
use teaseldrum_lab::hosts::start_hosts;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn encode(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

fn call(store: &StoreHandle, path: &str, body: Value) -> Result<Value, ureq::Error> {
    let url = format!("http://{}{path}", store.address());
    let mut response = ureq::post(&url)
        .config()
        .timeout_global(Some(Duration::from_millis(500)))
        .build()
        .send_json(body)?;
    response.body_mut().read_json()
}

fn put(store: &StoreHandle, key: &str, value: &str) -> Result<Value, ureq::Error> {
    let body = json!({"key": encode(key), "value": encode(value)});
    call(store, "/v3/kv/put", body)
}

fn get(store: &StoreHandle, key: &str) -> Value {
    call(store, "/v3/kv/range", json!({"key": encode(key)})).expect("the store answers")
}

#[test]
fn store_txn_compares_mod_revision() {
    let store = start_store(any_port());
    put(&store, "a", "1").expect("the store answers");
    let revision = &get(&store, "a")["kvs"][0]["mod_revision"];
    let transaction = json!({
        "compare": [{"key": encode("a"), "target": "MOD", "mod_revision": revision}],
        "success": [{"request_put": {"key": encode("a"), "value": encode("2")}}],
    });
    let first = call(&store, "/v3/kv/txn", transaction.clone()).expect("the store answers");
    let second = call(&store, "/v3/kv/txn", transaction).expect("the store answers");
    assert_eq!(first["succeeded"], true);
    assert_eq!(second["succeeded"], Value::Null);
    assert_eq!(store.counts().txn, 2);
}

#[test]
fn store_drops_response_after_write() {
    let store = start_store(any_port());
    store.set_faults(StoreFaults {
        drop_responses: 1,
        ..StoreFaults::default()
    });
    assert!(put(&store, "a", "1").is_err());
    assert_eq!(get(&store, "a")["kvs"][0]["value"], encode("1"));
    assert!(put(&store, "a", "2").is_ok());
}

#[test]
fn store_faults_switch() {
    let store = start_store(any_port());
    let unavailable = StoreFaults {
        is_unavailable: true,
        ..StoreFaults::default()
    };
    store.set_faults(unavailable);
    assert!(put(&store, "a", "1").is_err());
    store.set_faults(StoreFaults {
        hangs: true,
        ..StoreFaults::default()
    });
    assert!(put(&store, "a", "1").is_err());
    store.set_faults(StoreFaults::default());
    assert_eq!(get(&store, "a")["count"], Value::Null);
    store.process().stop();
    assert!(put(&store, "a", "1").is_err());
}

#[test]
fn store_watch_reports_put_and_lease_expiry() {
    let store = start_store(any_port());
    let url = format!("http://{}/v3/watch", store.address());
    let body = json!({"create_request": {"key": encode("a")}});
    let response = ureq::post(&url).send_json(body).expect("the store answers");
    let mut lines = BufReader::new(response.into_body().into_reader()).lines();
    let mut next = || -> Value {
        let line = lines
            .next()
            .expect("the watch goes on")
            .expect("the watch is readable");
        serde_json::from_str(&line).expect("the message is JSON")
    };
    assert_eq!(next()["result"]["created"], true);
    assert_eq!(store.counts().waiting, 1);
    let lease = call(&store, "/v3/lease/grant", json!({"TTL": "1"})).expect("the store answers");
    let body = json!({"key": encode("a"), "value": encode("1"), "lease": lease["ID"]});
    call(&store, "/v3/kv/put", body).expect("the store answers");
    let put = next();
    assert_eq!(put["result"]["events"][0]["kv"]["value"], encode("1"));
    let deletion = next();
    assert_eq!(deletion["result"]["events"][0]["type"], "DELETE");
}

fn make_host() -> Host {
    Host {
        name: "s1".into(),
        role: HostRole::Agent,
        zone: "a".into(),
        pool: "drafting".into(),
        traffic: any_port(),
        peers: None,
        state: HostState::Live,
    }
}

#[test]
fn hosts_show_changes_after_lag() {
    let hosts = start_hosts(any_port(), Duration::from_millis(150));
    let read = || -> Value {
        let url = format!("http://{}/v1/hosts", hosts.address());
        let mut response = ureq::get(&url).call().expect("the host list answers");
        response.body_mut().read_json().expect("the list is JSON")
    };
    hosts.set_hosts(vec![make_host()]);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(read()["hosts"][0]["state"], "live");
    hosts.set_state("s1", HostState::Leaving);
    let mut states = vec![read()["hosts"][0]["state"].clone()];
    std::thread::sleep(Duration::from_millis(200));
    states.push(read()["hosts"][0]["state"].clone());
    assert_eq!(states[1], "leaving");
    assert_eq!(hosts.calls(), 3);
}

#[test]
fn hosts_hide_changes_within_lag() {
    let hosts = start_hosts(any_port(), Duration::from_secs(3_600));
    hosts.set_hosts(vec![make_host()]);
    let url = format!("http://{}/v1/hosts", hosts.address());
    let mut response = ureq::get(&url).call().expect("the host list answers");
    let list: Value = response.body_mut().read_json().expect("the list is JSON");
    assert_eq!(list, json!({"hosts": []}));
}
