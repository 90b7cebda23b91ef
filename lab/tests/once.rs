//! Requests that may run at most once, sent through entries and an agent to a
//! service that counts its runs, under faults of the store, the service and the
//! caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use teaseldrum::entry::serve_entry;
use teaseldrum::settings::EntrySettings;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::deployment::server_settings;
use teaseldrum_lab::deployment::start_agent;
use teaseldrum_lab::stand_in::ConnectionDropped;
use teaseldrum_lab::stand_in::ProcessControl;
use teaseldrum_lab::stand_in::StandInResult;
use teaseldrum_lab::stand_in::json_response;
use teaseldrum_lab::stand_in::start_stand_in;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;
use tokio::time::sleep;

const RULES: &str = "pool booking # asked by the desk\n\
    route /orders pool booking open once # asked by the desk\n";

/// Service that counts how often it ran each operation, by idempotency key.
#[derive(Debug, Clone, Default)]
struct RunCounter {
    inner: Arc<Mutex<RunCounterState>>,
}

#[derive(Debug, Default)]
struct RunCounterState {
    runs: HashMap<String, u32>,
    /// Time before the service answers.
    delay: Duration,
    /// The service closes the connection instead of answering.
    drops_answers: bool,
}

impl RunCounter {
    fn change(&self, change: impl FnOnce(&mut RunCounterState)) {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn runs(&self, key: &str) -> u32 {
        let state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.get(key).copied().unwrap_or(0)
    }

    async fn answer(self, req: Request<Incoming>) -> StandInResult {
        let key = req.headers().get("idempotency-key");
        let key = key.and_then(|key| key.to_str().ok()).unwrap_or("none");
        let key = String::from(key);
        let (run, delay, drops) = {
            let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            let run = state.runs.entry(key.clone()).or_default();
            *run += 1;
            (*run, state.delay, state.drops_answers)
        };
        sleep(delay).await;
        if drops {
            return Err(ConnectionDropped);
        }
        Ok(json_response(
            StatusCode::OK,
            &json!({"key": key, "run": run}),
        ))
    }
}

struct Deployment {
    entries: Vec<BackgroundServer>,
    _agent: BackgroundServer,
    _service: BackgroundServer,
    service_process: ProcessControl,
    run_counter: RunCounter,
    store: StoreHandle,
}

/// Response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CallerAnswer {
    status: u16,
    outcome: String,
    body: String,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn start_deployment(name: &str, entries: usize) -> Deployment {
    let run_counter = RunCounter::default();
    let process = ProcessControl::new();
    let store = start_store(any_port());
    let counter = run_counter.clone();
    let service = start_stand_in(any_port(), process.clone(), move |req| {
        counter.clone().answer(req)
    });
    let agent = start_agent("s1", "booking", service.address);
    let server = server_settings("s1", "booking", agent.address);
    let entries = (0..entries)
        .map(|number| start_entry(&format!("{name}-{number}"), &server, store.address()))
        .collect();
    Deployment {
        entries,
        _agent: agent,
        _service: service,
        service_process: process,
        run_counter,
        store,
    }
}

fn start_entry(name: &str, server: &Value, store: SocketAddr) -> BackgroundServer {
    let path = std::env::temp_dir().join(format!("once-{}-{name}.rules", std::process::id()));
    std::fs::write(&path, RULES).expect("the rules file can be written");
    let value = json!({
        "name": name,
        "zone": "a",
        "rules_file": path,
        "servers": [server],
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 2, "drain_linger_ms": 20, "drain_timeout_ms": 500},
        "platform": {"store": [store], "call_timeout_ms": 200},
        "share": {"sole": true},
    });
    let settings = EntrySettings::parse(&value).expect("the settings are valid");
    BackgroundServer::start(move |stop, ready| {
        serve_entry(settings, stop, ready).expect("the entry starts")
    })
}

fn post(entry: SocketAddr, key: &str, body: &str) -> CallerAnswer {
    let response = ureq::post(format!("http://{entry}/orders"))
        .config()
        .http_status_as_error(false)
        .build()
        .header("idempotency-key", key)
        .send(body)
        .expect("the entry answers");
    let outcome = response.headers().get("x-teaseldrum-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or_default().into();
    let status = response.status().as_u16();
    let mut response = response;
    let body = response
        .body_mut()
        .read_to_string()
        .expect("the body is text");
    CallerAnswer {
        status,
        outcome,
        body,
    }
}

impl Deployment {
    fn post(&self, entry: usize, key: &str, body: &str) -> CallerAnswer {
        post(self.entries[entry].address, key, body)
    }
}

#[test]
fn once_repeat_through_other_entry() {
    let deployment = start_deployment("repeat", 2);
    let first = deployment.post(0, "k1", "order");
    let second = deployment.post(1, "k1", "order");
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.outcome, "ran");
    assert_eq!(second, first);
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_concurrent_requests_run_once() {
    let deployment = start_deployment("many", 2);
    deployment
        .run_counter
        .change(|state| state.delay = Duration::from_millis(200));
    let calls: Vec<_> = (0..8)
        .map(|index| {
            let entry = deployment.entries[index % 2].address;
            thread::spawn(move || post(entry, "k1", "order"))
        })
        .collect();
    let answers: Vec<CallerAnswer> = calls
        .into_iter()
        .map(|call| call.join().expect("the call does not panic"))
        .collect();
    assert!(answers.iter().all(|answer| answer == &answers[0]));
    assert_eq!(answers[0].outcome, "ran");
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_key_reused_for_other_request() {
    let deployment = start_deployment("digest", 1);
    deployment.post(0, "k1", "order");
    let other = deployment.post(0, "k1", "another order");
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_without_key() {
    let deployment = start_deployment("keyless", 1);
    let answer = deployment.post(0, "", "order");
    assert_eq!((answer.status, answer.outcome.as_str()), (400, "not-run"));
}

#[test]
fn once_store_down() {
    let deployment = start_deployment("down", 1);
    deployment.store.process().stop();
    let refused = deployment.post(0, "k1", "order");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert_eq!(deployment.run_counter.runs("k1"), 0);
    deployment.store.process().restart(1);
    assert_eq!(deployment.post(0, "k1", "order").outcome, "ran");
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_store_not_answering() {
    let deployment = start_deployment("silent", 1);
    deployment.store.set_faults(StoreFaults {
        hangs: true,
        ..StoreFaults::default()
    });
    let refused = deployment.post(0, "k1", "order");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert_eq!(deployment.run_counter.runs("k1"), 0);
    deployment.store.set_faults(StoreFaults::default());
    assert_eq!(deployment.post(0, "k1", "order").outcome, "ran");
}

#[test]
fn once_store_connections_frozen() {
    let deployment = start_deployment("frozen", 1);
    deployment.post(0, "k1", "order");
    deployment.store.process().freeze_connections();
    assert_eq!(deployment.post(0, "k2", "order").outcome, "ran");
    assert_eq!(deployment.run_counter.runs("k2"), 1);
}

#[test]
fn once_store_answers_lost() {
    let deployment = start_deployment("losing", 1);
    deployment.post(0, "warm", "order");
    deployment.store.set_faults(StoreFaults {
        drop_responses: 2,
        ..StoreFaults::default()
    });
    let answer = deployment.post(0, "k1", "order");
    assert_eq!(answer.outcome, "ran", "{answer:?}");
    assert_eq!(deployment.post(0, "k1", "order"), answer);
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_service_answer_lost() {
    let deployment = start_deployment("unknown", 2);
    deployment
        .run_counter
        .change(|state| state.drops_answers = true);
    let first = deployment.post(0, "k1", "order");
    assert_eq!((first.status, first.outcome.as_str()), (502, "unknown"));
    deployment
        .run_counter
        .change(|state| state.drops_answers = false);
    let repeat = deployment.post(1, "k1", "order");
    assert_eq!((repeat.status, repeat.outcome.as_str()), (409, "unknown"));
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_service_unreachable() {
    let deployment = start_deployment("unreached", 1);
    deployment.service_process.stop();
    let refused = deployment.post(0, "k1", "order");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    deployment.service_process.restart(1);
    let answer = deployment.post(0, "k1", "order");
    assert_eq!(answer.outcome, "ran", "{answer:?}");
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}

#[test]
fn once_caller_disconnects() {
    let deployment = start_deployment("disconnected", 2);
    deployment
        .run_counter
        .change(|state| state.delay = Duration::from_millis(300));
    let disconnected = ureq::post(format!("http://{}/orders", deployment.entries[0].address))
        .config()
        .timeout_global(Some(Duration::from_millis(100)))
        .build()
        .header("idempotency-key", "k1")
        .send("order");
    assert!(disconnected.is_err());
    let repeat = deployment.post(1, "k1", "order");
    assert_eq!(repeat.outcome, "ran", "{repeat:?}");
    assert_eq!(deployment.run_counter.runs("k1"), 1);
}
