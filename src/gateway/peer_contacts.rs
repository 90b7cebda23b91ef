//! Which peers start the exchanges of state with this entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::context::GatewayContext;
use crate::core::MonotonicTime;

/// Exchanges that peers have started over open connections, by the peer's
/// address.
#[derive(Debug, Default)]
pub struct PeerContacts {
    contacted_at: Mutex<HashMap<SocketAddr, MonotonicTime>>,
    closed: Notify,
}

impl PeerContacts {
    /// Records an exchange that `peer` has started.
    pub fn record(&self, peer: SocketAddr, now: MonotonicTime) {
        self.lock().insert(peer, now);
    }

    /// Forgets a peer whose connection has closed.
    pub fn remove(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
        self.closed.notify_waiters();
    }

    /// Waits until the peer has started no exchange for `max_age`, or its
    /// connection has closed.
    pub async fn wait_until_lost(&self, cx: &GatewayContext, peer: SocketAddr, max_age: Duration) {
        loop {
            let closed = self.closed.notified();
            let Some(contacted_at) = self.lock().get(&peer).copied() else {
                return;
            };
            let age = cx.now().since(contacted_at);
            if age >= max_age {
                return;
            }
            // Several connections may close in the meantime, also of others.
            let _ = timeout(max_age - age, closed).await;
        }
    }

    /// Returns whether the peer has started an exchange within `max_age`.
    pub fn is_recent(&self, cx: &GatewayContext, peer: SocketAddr, max_age: Duration) -> bool {
        let contacted_at = self.lock().get(&peer).copied();
        contacted_at.is_some_and(|at| cx.now().since(at) < max_age)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, MonotonicTime>> {
        self.contacted_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
