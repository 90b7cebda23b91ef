//! Right of an entry to order an engine whose agent has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;

use super::context::GatewayContext;
use super::probe_port::PortProbe;
use super::probe_port::probe_port;
use crate::core::MonotonicTime;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::OrderTenure;
use crate::sidecar::OrderRight;

/// Time to connect to an agent; a process that is there accepts within a round
/// trip, and a host without one refuses as soon.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Right of this entry to order one engine: held while the engine answers and its
/// agent's address refuses connections, under fencing tokens of the group's claim.
pub struct SubstituteRight {
    cx: Arc<GatewayContext>,
    agent: SocketAddr,
    claim: Arc<Mutex<OrderClaim>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tenure: OrderTenure,
    is_agent_back: bool,
}

impl SubstituteRight {
    /// Creates the right to replace the agent at `agent`, without evidence that it has
    /// ended.
    pub fn new(cx: Arc<GatewayContext>, agent: SocketAddr, claim: Arc<Mutex<OrderClaim>>) -> Self {
        let state = State {
            tenure: OrderTenure::of_entry(),
            is_agent_back: false,
        };
        Self {
            cx,
            agent,
            claim,
            state: Mutex::new(state),
        }
    }

    /// Returns whether the agent has accepted a connection.
    pub fn is_agent_back(&self) -> bool {
        self.lock().is_agent_back
    }

    /// Returns when the current term began.
    pub fn term_began_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.lock().tenure.began_at(now)
    }

    async fn probe(&self) -> PortProbe {
        let probe = probe_port(self.agent, CONNECT_TIMEOUT).await;
        if probe == PortProbe::Accepted {
            let mut state = self.lock();
            state.tenure.end();
            state.is_agent_back = true;
        }
        probe
    }

    fn lock_claim(&self) -> MutexGuard<'_, OrderClaim> {
        self.claim.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OrderRight for SubstituteRight {
    fn check(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {
            if self.probe().await == PortProbe::Refused {
                self.lock().tenure.confirm(self.cx.now());
            }
        })
    }

    fn time_until_order(&self) -> Option<Duration> {
        let now = self.cx.now();
        let state = self.lock();
        Some(
            state
                .tenure
                .earliest_claimed_order(&self.lock_claim(), now)?
                .since(now),
        )
    }

    fn find_fence(&self, target_revision: u64) -> BoxFuture<'_, Option<u64>> {
        Box::pin(async move {
            // The agent may have started since the engine was read.
            if self.probe().await != PortProbe::Refused {
                return None;
            }
            let now = self.cx.now();
            let mut state = self.lock();
            let claim = self.lock_claim();
            state.tenure.claimed_fence(&claim, target_revision, now)
        })
    }

    fn record_fenced(&self) {
        self.lock().tenure.restart(self.cx.now());
    }
}
