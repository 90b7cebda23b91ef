//! Callers of a soak: each keeps its connection until it ends.

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
use crate::platform_stand_in::Answer;
use crate::platform_stand_in::Caller;
use crate::platform_stand_in::request;

/// Longest wait of a caller, beyond the time that it states in its requests.
const MOST_WAIT: Duration = Duration::from_secs(7);

/// Mean pause between two calls of one caller.
const MEAN_PAUSE_MS: u64 = 40;

/// What callers share.
#[derive(Debug)]
pub struct Traffic {
    /// Gateways: where each takes calls, and its starts.
    pub gateways: Vec<(std::net::SocketAddr, AtomicU32)>,
    /// Newest configuration sent.
    pub version: AtomicU64,
    /// No further calls are to be made.
    pub is_over: AtomicBool,
    /// What was seen.
    pub calls: Mutex<Vec<CallRecord>>,
    /// Start of the soak.
    pub begun_at: Instant,
}

impl Traffic {
    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.begun_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Calls until told to stop.
    pub async fn call_on(self: Arc<Self>, number: usize, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut kept: Option<(Caller, usize, u32)> = None;
        let mut count = 0;
        while !self.is_over.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(
                rng.random_range(1..2 * MEAN_PAUSE_MS),
            ))
            .await;
            let gateway = rng.random_range(0..self.gateways.len());
            let connection = match kept.take() {
                Some(kept) => Some(kept),
                None => self.connect(gateway).await,
            };
            let Some((mut caller, gateway, starts)) = connection else {
                continue;
            };
            count += 1;
            let id = format!("s{number}-{count}");
            let (kind, bytes) = self.draw_call(&mut rng, &id);
            let sent_at = self.now_ms();
            let answer = exchange(&mut caller, &bytes).await;
            let record = CallRecord {
                id,
                kind,
                gateway: (gateway, starts),
                span_ms: (sent_at, self.now_ms()),
                status: answer.status,
                body: answer.body,
                is_whole: answer.is_whole,
            };
            let is_kept = record.is_whole && !answer.head.contains("connection: close");
            self.calls.lock().expect("a lock").push(record);
            if is_kept {
                kept = Some((caller, gateway, starts));
            }
        }
    }

    async fn connect(&self, gateway: usize) -> Option<(Caller, usize, u32)> {
        let (address, starts) = &self.gateways[gateway];
        let before = starts.load(Ordering::Relaxed);
        let caller = Caller::try_connect(*address).await?;
        // A connection to a run that has ended meanwhile is of no known run.
        (before == starts.load(Ordering::Relaxed)).then_some((caller, gateway, before))
    }

    fn draw_call(&self, rng: &mut StdRng, id: &str) -> (CallKind, Vec<u8>) {
        match rng.random_range(0..8) {
            0 | 1 => (
                CallKind::NonIdempotent,
                request("POST", "/book/", id, "body"),
            ),
            2 | 3 => (CallKind::Idempotent, request("GET", "/look/", id, "")),
            4 | 5 => (
                CallKind::ResumableStream,
                request("POST", "/stream/", id, "body"),
            ),
            6 => (
                CallKind::NonResumableStream,
                request("POST", "/whole/", id, "body"),
            ),
            _ => {
                let version = rng.random_range(1..=self.version.load(Ordering::Relaxed));
                let path = format!("/v{version}/");
                (CallKind::Probe(version), request("GET", &path, id, ""))
            }
        }
    }
}

async fn exchange(caller: &mut Caller, bytes: &[u8]) -> Answer {
    let asked = async {
        if caller.try_send(bytes).await {
            caller.read_answer().await
        } else {
            no_answer()
        }
    };
    timeout(MOST_WAIT, asked)
        .await
        .unwrap_or_else(|_| no_answer())
}

fn no_answer() -> Answer {
    Answer {
        status: 0,
        head: String::new(),
        body: String::new(),
        is_whole: false,
    }
}
