//! Compares the time to first token through entry and agent with that of calling
//! the engine directly, while many other streams are open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use serde_json::Value;
use serde_json::json;
use teaseldrum::core::KeyDigest;
use teaseldrum::http::Client;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::EventStream;
use teaseldrum::http::full_body;
use teaseldrum::threads::build_runtime;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::background_server::BackgroundServer;
use crate::clock::now_micros;
use crate::deployment::server_settings;
use crate::deployment::start_agent_with;
use crate::deployment::start_entry_with;
use crate::deployment::write_rules_file;
use crate::engine::EngineScript;
use crate::engine::start_scripted_engine;

const OPEN_STREAMS: usize = 300;
/// Events of each open stream, enough to outlast the measured requests.
const OPEN_STREAM_EVENTS: u64 = 10_000;
/// Time between opening two of the streams.
const STREAM_OPEN_INTERVAL: Duration = Duration::from_millis(5);
const REQUESTS_PER_SECOND: u64 = 50;
const WARM_UP_REQUESTS: u64 = 100;
const MEASURED_REQUESTS: u64 = 1_000;
const PROMPT_BYTES: usize = 24 * 1024;
/// Every timeout of the clients, long enough never to shape a figure.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const SCRIPT: EngineScript = EngineScript {
    first_event_delay: Duration::ZERO,
    gap: Duration::from_millis(100),
    events: OPEN_STREAM_EVENTS,
    sends_end_marker: true,
};
const API_KEY: &str = "key-of-the-bench";

/// Measures the time to first token that entry and agent add. The seed is not
/// used.
///
/// # Panics
///
/// Panics if a request or an open stream fails.
pub fn run(_seed: u64) -> Value {
    let engine = start_scripted_engine(SCRIPT);
    let deployment = Deployment::start(engine.address);
    let entry = deployment.entry.address;
    let open_streams = OpenStreams::start(entry);
    eprintln!("overhead: {OPEN_STREAMS} streams are open.");
    let runtime = build_runtime().expect("runtime can be built");
    let times = runtime.block_on(measure_both_paths(engine.address, entry));
    let lags = open_streams.stop();
    let added = |quantile: f64| {
        let via_entry = times.via_entry.value_at_quantile(quantile);
        let direct = times.direct.value_at_quantile(quantile);
        via_entry.saturating_sub(direct)
    };
    json!({
        "bench": "overhead",
        "open_streams": OPEN_STREAMS,
        "requests_per_second": REQUESTS_PER_SECOND,
        "requests": MEASURED_REQUESTS,
        "prompt_bytes": PROMPT_BYTES,
        "added_ttft_p50_us": added(0.50),
        "added_ttft_p95_us": added(0.95),
        "added_ttft_p99_us": added(0.99),
        "direct_ttft_p50_us": times.direct.value_at_quantile(0.50),
        "direct_ttft_p95_us": times.direct.value_at_quantile(0.95),
        "through_ttft_p50_us": times.via_entry.value_at_quantile(0.50),
        "through_ttft_p95_us": times.via_entry.value_at_quantile(0.95),
        "first_event_lag_max_us": lags.first.max(),
        "event_lag_p50_us": lags.all.value_at_quantile(0.50),
        "event_lag_p99_us": lags.all.value_at_quantile(0.99),
        "events": lags.all.len(),
    })
}

/// An entry and an agent in front of one engine. They stop when this is dropped.
struct Deployment {
    entry: BackgroundServer,
    _agent: BackgroundServer,
}

impl Deployment {
    fn start(engine: SocketAddr) -> Self {
        let digest = KeyDigest::of_key(API_KEY.as_bytes());
        let rules = format!(
            "account bench rate 100000000 burst 1000000000 # asked by the bench\n\
             key bench-1 account bench digest {digest} # asked by the bench\n\
             pool drafting model cedar # asked by the bench\n\
             route /v1/ pool drafting # asked by the bench\n"
        );
        let agent = start_agent_with(&json!({
            "name": "overhead",
            "zone": "a",
            "pool": "drafting",
            "server": engine,
            "listen": {"traffic": "127.0.0.1:0"},
            "traffic": {"drain_linger_ms": 20},
        }));
        let entry = start_entry_with(&json!({
            "name": "overhead",
            "zone": "a",
            "rules_file": write_rules_file("overhead", &rules),
            "servers": [server_settings("overhead", "drafting", agent.address)],
            "listen": {"traffic": "127.0.0.1:0"},
            "traffic": {"drain_linger_ms": 20},
        }));
        Self {
            entry,
            _agent: agent,
        }
    }
}

fn make_client() -> Client {
    Client::new(ClientTimeouts {
        connect: CLIENT_TIMEOUT,
        head: CLIENT_TIMEOUT,
        read: CLIENT_TIMEOUT,
        idle: CLIENT_TIMEOUT,
    })
}

fn make_request(address: SocketAddr, max_tokens: u64) -> Request<Bytes> {
    let body =
        json!({"prompt": "x".repeat(PROMPT_BYTES), "stream": true, "max_tokens": max_tokens});
    Request::post("/v1/completions")
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("content-type", "application/json")
        .body(body.to_string().into())
        .expect("valid request")
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// Times to the first event, in microseconds.
struct FirstTokenTimes {
    direct: Histogram<u64>,
    via_entry: Histogram<u64>,
}

/// Sends requests alternately to the engine and through the entry, and measures
/// each after the warm-up.
async fn measure_both_paths(engine: SocketAddr, entry: SocketAddr) -> FirstTokenTimes {
    let client = make_client();
    let mut times = FirstTokenTimes {
        direct: make_histogram(),
        via_entry: make_histogram(),
    };
    let mut ticks = interval(Duration::from_secs(1) / REQUESTS_PER_SECOND as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for number in 0..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        ticks.tick().await;
        let direct = measure_first_event(&client, engine, number).await;
        let via_entry = measure_first_event(&client, entry, number).await;
        if number >= WARM_UP_REQUESTS {
            times.direct.saturating_record(direct);
            times.via_entry.saturating_record(via_entry);
        }
    }
    times
}

/// Sends one request, reads its stream to the end and returns the time to the
/// first event in microseconds.
async fn measure_first_event(client: &Client, address: SocketAddr, number: u64) -> u64 {
    let name = number.to_ne_bytes();
    let req = make_request(address, 1);
    let build = || req.clone().map(full_body);
    let started_at = now_micros();
    let sent = client.send_named(address, &name, build).await;
    let mut exchange = sent.expect("response arrives");
    // Neither side sends a response twice.
    exchange.allow_reuse();
    let mut events = EventStream::new(exchange);
    events
        .next()
        .await
        .expect("stream is readable")
        .expect("stream has an event");
    let elapsed = now_micros() - started_at;
    while events.next().await.expect("stream is readable").is_some() {}
    elapsed
}

/// Time from the engine sending an event until the caller received it, in
/// microseconds.
#[derive(Debug)]
struct EventLags {
    /// First event of each stream.
    first: Histogram<u64>,
    /// All events of all streams.
    all: Histogram<u64>,
}

/// Streams that stay open during the measurement, read on a thread of their own.
struct OpenStreams {
    stop: watch::Sender<bool>,
    thread: thread::JoinHandle<()>,
    lags: Arc<Mutex<EventLags>>,
}

impl OpenStreams {
    /// Opens the streams and returns once each has received an event.
    fn start(entry: SocketAddr) -> Self {
        let lags = Arc::new(Mutex::new(EventLags {
            first: make_histogram(),
            all: make_histogram(),
        }));
        let (stop, stop_receiver) = watch::channel(false);
        let stream_lags = Arc::clone(&lags);
        let thread = thread::spawn(move || {
            let runtime = build_runtime().expect("runtime can be built");
            runtime.block_on(read_streams(entry, stream_lags, stop_receiver));
        });
        let opened = || lags.lock().map_or(0, |lags| lags.first.len());
        while opened() < OPEN_STREAMS as u64 {
            assert!(!thread.is_finished(), "the open streams failed");
            thread::sleep(Duration::from_millis(10));
        }
        Self { stop, thread, lags }
    }

    fn stop(self) -> EventLags {
        self.stop.send_replace(true);
        self.thread
            .join()
            .expect("open streams last until they are stopped");
        let lags = Arc::into_inner(self.lags).expect("streams dropped their shares of the lags");
        lags.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_streams(
    entry: SocketAddr,
    lags: Arc<Mutex<EventLags>>,
    mut stop: watch::Receiver<bool>,
) {
    let client = make_client();
    let mut streams = JoinSet::new();
    for _ in 0..OPEN_STREAMS {
        streams.spawn(read_stream(client.clone(), entry, Arc::clone(&lags)));
        sleep(STREAM_OPEN_INTERVAL).await;
    }
    tokio::select! {
        _ = stop.wait_for(|stopped| *stopped) => {}
        Some(ended) = streams.join_next() => panic!("an open stream ended early: {ended:?}"),
    }
}

async fn read_stream(client: Client, entry: SocketAddr, lags: Arc<Mutex<EventLags>>) {
    let req = make_request(entry, OPEN_STREAM_EVENTS);
    let exchange = client.send(entry, req.map(full_body)).await;
    let mut events = EventStream::new(exchange.expect("response arrives"));
    let mut is_first = true;
    while let Some(event) = events.next().await.expect("stream is readable") {
        let data: Value = serde_json::from_str(&event.data).expect("event data is JSON");
        let sent = data["sent_us"]
            .as_u64()
            .expect("event has the time it was sent");
        let micros = now_micros().saturating_sub(sent);
        let mut lags = lags.lock().expect("no other stream panicked");
        lags.all.saturating_record(micros);
        if is_first {
            lags.first.saturating_record(micros);
            is_first = false;
        }
    }
}
