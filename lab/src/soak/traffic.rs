//! Callers of a soak, which make random calls and record what they observe. Each
//! keeps its connection until the connection ends.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;
use tokio::time::timeout;

use super::CallKind;
use super::CallRecord;
use crate::platform_stand_in::Caller;
use crate::platform_stand_in::ReceivedResponse;
use crate::platform_stand_in::encode_request;

/// Time after which a caller gives up a call, longer than the deadline that its
/// requests state.
const CALL_TIMEOUT: Duration = Duration::from_secs(7);

/// Mean pause between two calls of one caller, in milliseconds.
const MEAN_CALL_GAP_MS: u64 = 40;

/// Pause between two calls of a caller of a storm.
const STORM_CALL_GAP: Duration = Duration::from_millis(5);

/// One of this number of calls has a key that no configuration holds; its connection is
/// used again.
const CALLS_PER_UNKNOWN_KEY: u32 = 16;

/// Longest pause between the head and the body of a request, in milliseconds.
const MAX_BODY_PAUSE_MS: u64 = 30;

/// API key of the account that causes storms.
const STORM_KEY: &str = "key-other";

/// State that all callers share.
#[derive(Debug)]
pub struct Traffic {
    /// Traffic address and start count of each gateway.
    pub gateways: Vec<(std::net::SocketAddr, AtomicU32)>,
    /// Newest configuration version that was sent.
    pub newest_version: AtomicU64,
    /// Whether callers are to make no further calls.
    pub is_stopped: AtomicBool,
    /// Calls that have ended, as their callers observed them.
    pub calls: Mutex<Vec<CallRecord>>,
    /// Start of the soak, from which all times count.
    pub started_at: Instant,
}

impl Traffic {
    /// Returns the time since the start of the soak in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Makes and records calls until `is_stopped` is set.
    pub async fn run_caller(self: Arc<Self>, number: usize, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        // Apart from the other draws, so that seeds keep their calls.
        let mut form_rng = StdRng::seed_from_u64(!seed);
        let mut kept_connection: Option<(Caller, usize, u32)> = None;
        let mut count = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(
                rng.random_range(1..2 * MEAN_CALL_GAP_MS),
            ))
            .await;
            let gateway = rng.random_range(0..self.gateways.len());
            let connection = match kept_connection.take() {
                Some(kept) => Some(kept),
                None => self.connect(gateway).await,
            };
            let Some((mut caller, gateway, start_count)) = connection else {
                continue;
            };
            count += 1;
            let id = format!("s{number}-{count}");
            let (kind, mut bytes) = self.draw_call(&mut rng, &id);
            if form_rng.random_ratio(1, CALLS_PER_UNKNOWN_KEY) {
                let request = String::from_utf8_lossy(&bytes);
                bytes = request.replace("key-1", "key-unknown").into_bytes();
            }
            let body_pause = form_rng
                .random_bool(0.5)
                .then(|| Duration::from_millis(form_rng.random_range(0..MAX_BODY_PAUSE_MS)));
            let request = (kind, bytes.as_slice(), body_pause);
            let is_reusable = self
                .make_call(&mut caller, request, id, (gateway, start_count))
                .await;
            if is_reusable {
                kept_connection = Some((caller, gateway, start_count));
            }
        }
    }

    /// Makes and records calls of one account for `duration`, at one gateway, as fast as
    /// it answers.
    pub async fn run_storm_caller(self: Arc<Self>, number: u32, duration: Duration) {
        let end = Instant::now() + duration;
        let gateway = number as usize % self.gateways.len();
        let mut kept_connection: Option<(Caller, usize, u32)> = None;
        let mut count = 0;
        while Instant::now() < end {
            sleep(STORM_CALL_GAP).await;
            let connection = match kept_connection.take() {
                Some(kept) => Some(kept),
                None => self.connect(gateway).await,
            };
            let Some((mut caller, gateway, start_count)) = connection else {
                continue;
            };
            count += 1;
            let id = format!("storm{number}-{count}");
            let (kind, bytes) = if count % 2 == 0 {
                let bytes = encode_request("GET", "/look/", &id, "");
                (CallKind::Idempotent, bytes)
            } else {
                let bytes = encode_request("POST", "/book/", &id, "body");
                (CallKind::NonIdempotent, bytes)
            };
            let bytes = String::from_utf8_lossy(&bytes).replace("key-1", STORM_KEY);
            let is_reusable = self
                .make_call(
                    &mut caller,
                    (kind, bytes.as_bytes(), None),
                    id,
                    (gateway, start_count),
                )
                .await;
            if is_reusable {
                kept_connection = Some((caller, gateway, start_count));
            }
        }
    }

    /// Makes and records a call, with a pause between head and body if one is given.
    /// Returns whether its connection can be used again.
    async fn make_call(
        &self,
        caller: &mut Caller,
        (kind, bytes, body_pause): (CallKind, &[u8], Option<Duration>),
        id: String,
        gateway: (usize, u32),
    ) -> bool {
        let sent_at_ms = self.now_ms();
        let response = exchange(caller, bytes, body_pause).await;
        let record = CallRecord {
            id,
            kind,
            gateway,
            span_ms: (sent_at_ms, self.now_ms()),
            status: response.status,
            body: response.body,
            is_complete: response.is_complete,
        };
        let is_reusable = record.is_complete && !response.head.contains("connection: close");
        self.calls.lock().expect("no caller panicked").push(record);
        is_reusable
    }

    async fn connect(&self, gateway: usize) -> Option<(Caller, usize, u32)> {
        let (address, start_count) = &self.gateways[gateway];
        let starts_before = start_count.load(Ordering::Relaxed);
        let caller = Caller::try_connect(*address).await?;
        // If the gateway was restarted meanwhile, it is unknown which of its
        // processes took the connection.
        (starts_before == start_count.load(Ordering::Relaxed)).then_some((
            caller,
            gateway,
            starts_before,
        ))
    }

    fn draw_call(&self, rng: &mut StdRng, id: &str) -> (CallKind, Vec<u8>) {
        match rng.random_range(0..8) {
            0 | 1 => (
                CallKind::NonIdempotent,
                encode_request("POST", "/book/", id, "body"),
            ),
            2 | 3 => (
                CallKind::Idempotent,
                encode_request("GET", "/look/", id, ""),
            ),
            4 | 5 => (
                CallKind::ResumableStream,
                encode_request("POST", "/stream/", id, "body"),
            ),
            6 => (
                CallKind::NonResumableStream,
                encode_request("POST", "/whole/", id, "body"),
            ),
            _ => {
                let version = rng.random_range(1..=self.newest_version.load(Ordering::Relaxed));
                let path = format!("/v{version}/");
                (
                    CallKind::Probe(version),
                    encode_request("GET", &path, id, ""),
                )
            }
        }
    }
}

async fn exchange(
    caller: &mut Caller,
    bytes: &[u8],
    body_pause: Option<Duration>,
) -> ReceivedResponse {
    let call = async {
        let body_at = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        let (head, body) = bytes.split_at(body_at.map_or(bytes.len(), |end| end + 4));
        let is_sent = match body_pause {
            Some(pause) if !body.is_empty() => {
                let is_head_sent = caller.try_send(head).await;
                sleep(pause).await;
                // A refusal may have closed the connection before the body.
                caller.try_send(body).await || is_head_sent
            }
            _ => caller.try_send(bytes).await,
        };
        if is_sent {
            caller.read_response().await
        } else {
            no_response()
        }
    };
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| no_response())
}

fn no_response() -> ReceivedResponse {
    ReceivedResponse {
        status: 0,
        head: String::new(),
        body: String::new(),
        is_complete: false,
    }
}
