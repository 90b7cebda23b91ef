//! Seeds that are asked for their state before a gateway serves with the store's.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum wait for the seeds. Seeds that run answer within it also on busy hosts, and
/// those that do not run refuse the connection. A seed whose host is dark or was replaced
/// does neither, and must not delay a restarted gateway for longer.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Seeds that have neither answered nor refused a connection since the start.
///
/// The store may have been restored from a copy in which servers that have left are
/// ready, and in which withdrawn keys are valid. Peers that saw the later state keep it.
#[derive(Debug)]
pub struct StartInquiry(watch::Sender<HashSet<SocketAddr>>);

impl StartInquiry {
    /// Creates the inquiry of the entry whose own peer address is `own`.
    pub fn new(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let others = seeds.iter().copied().filter(|seed| *seed != own);
        Self(watch::channel(others.collect()).0)
    }

    /// Returns whether some seed has not been heard yet.
    pub fn is_pending(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    /// Returns whether the seed at `address` has not been heard yet.
    pub fn awaits(&self, address: SocketAddr) -> bool {
        self.0.borrow().contains(&address)
    }

    /// Records that a peer has answered, or cannot be reached.
    pub fn record_heard(&self, address: SocketAddr) {
        self.0.send_if_modified(|seeds| seeds.remove(&address));
    }

    /// Waits until all seeds have been heard, or for [`MAX_WAIT`], which ends the inquiry.
    pub async fn wait(&self) {
        let mut seeds = self.0.subscribe();
        if timeout(MAX_WAIT, seeds.wait_for(HashSet::is_empty))
            .await
            .is_err()
        {
            log::info!("peers: not heard at the start seeds={:?}", self.0.borrow());
            self.0.send_replace(HashSet::new());
        }
    }
}
