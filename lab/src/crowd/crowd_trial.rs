//! Runs a crowd against a process and checks what its host and ordinary callers see.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Crowd;
use super::CrowdTarget;
use super::Misbehavior;
use super::ProcessWatch;
use crate::platform_stand_in::Caller;

/// Callers of each kind.
const CALLERS: usize = 20;

/// Time for which a crowd calls.
const CROWD_TIME: Duration = Duration::from_secs(8);

/// Ordinary calls while a crowd calls.
const ORDINARY_CALLS: usize = 8;

/// Time after which an ordinary caller tries again on a new connection.
const ORDINARY_PATIENCE: Duration = Duration::from_secs(2);

/// Bound on all waits for an ordinary response, so that a hang fails the test.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a process may use while a crowd calls it.
#[derive(Debug, Clone)]
pub struct CrowdTrial {
    /// Id of the process.
    pub pid: u32,
    /// Ports of its listeners, and of the servers that it calls. The bytes that it has not
    /// read of these connections count.
    pub listeners: Vec<u16>,
    /// See `listeners`.
    pub servers: Vec<u16>,
    /// Memory that it may take with the unread bytes, in megabytes of 1e6 bytes.
    pub memory_mb: u64,
    /// Descriptors that it may have open.
    pub descriptors: usize,
    /// Address and bytes of an ordinary request, to be answered with status 200.
    pub ordinary: (SocketAddr, Vec<u8>),
}

impl CrowdTrial {
    /// Runs a crowd of `kinds`.
    ///
    /// # Panics
    ///
    /// The process ends, takes more than it may, or does not answer ordinary callers
    /// beside the crowd or after it.
    pub async fn expect_bounded(&self, target: &CrowdTarget, kinds: &[Misbehavior]) {
        let watch = ProcessWatch::start(self.pid, self.listeners.clone(), self.servers.clone());
        let crowd = Crowd::start(target, kinds, CALLERS);
        let started_at = Instant::now();
        sleep(CROWD_TIME / 4).await;
        for call in 0..ORDINARY_CALLS {
            self.expect_served(&format!("call {call} beside the crowd"))
                .await;
        }
        sleep(CROWD_TIME.saturating_sub(started_at.elapsed())).await;
        let usage = watch.finish();
        drop(crowd);
        let usage = usage.expect("the process lives");
        println!("{kinds:?}: {usage:?}");
        self.expect_served("after the crowd").await;
        assert!(
            usage.memory_bytes() <= self.memory_mb * 1_000_000,
            "{usage:?}"
        );
        assert!(usage.descriptors <= self.descriptors, "{usage:?}");
    }

    /// Calls on new connections, until a response with status 200 arrives whole.
    ///
    /// # Panics
    ///
    /// None arrives within a minute.
    pub async fn expect_served(&self, what: &str) {
        let mut statuses = BTreeMap::new();
        let served = async {
            while let Some(failure) = self.call_once().await {
                *statuses.entry(failure).or_insert(0) += 1;
                sleep(POLL_INTERVAL).await;
            }
        };
        let is_served = timeout(HANG_TIMEOUT, served).await.is_ok();
        assert!(
            is_served,
            "an ordinary caller got no response: {what}, {statuses:?}"
        );
    }

    /// Returns what became of one call that was not served.
    async fn call_once(&self) -> Option<&'static str> {
        let (address, req) = &self.ordinary;
        let call = async {
            let mut caller = Caller::try_connect(*address).await?;
            let is_sent = caller.try_send(req).await;
            is_sent.then_some(caller.read_response().await)
        };
        let Ok(response) = timeout(ORDINARY_PATIENCE, call).await else {
            return Some("no response in time");
        };
        match response.map(|response| (response.status, response.is_complete)) {
            None => Some("not connected"),
            Some((200, true)) => None,
            Some((200, false)) => Some("response cut"),
            Some((503 | 429, _)) => Some("refused"),
            Some((0, _)) => Some("connection closed"),
            Some(_) => Some("another status"),
        }
    }
}
