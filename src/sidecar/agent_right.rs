//! Right of the agent beside an engine to order it.

use std::future::ready;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;

use super::order_right::OrderRight;
use crate::clock::Clock;
use crate::core::fleet::OrderTenure;

/// Right of the agent beside an engine: held while entries are in contact with it,
/// under fencing tokens that they get from the store.
#[derive(Debug)]
pub struct AgentRight {
    clock: Clock,
    tenure: Mutex<OrderTenure>,
}

impl AgentRight {
    /// Creates the state of an agent that no entry has contacted; `incarnation` is
    /// random.
    pub fn new(incarnation: u64) -> Self {
        Self {
            clock: Clock::start(),
            tenure: Mutex::new(OrderTenure::of_agent(incarnation)),
        }
    }

    /// Records that an entry, or a collector on its behalf, is in contact with the agent.
    pub fn record_contact(&self) {
        self.lock().confirm(self.clock.now());
    }

    /// Returns the term for which a fencing token is needed before the first order.
    pub fn term_without_fence(&self) -> Option<u64> {
        self.lock().term_without_fence(self.clock.now())
    }

    /// Records a fencing token that an entry got from the store in the term `term`.
    pub fn record_fence(&self, term: u64, fence: u64) {
        self.lock().record_fence(term, fence);
    }

    fn lock(&self) -> MutexGuard<'_, OrderTenure> {
        self.tenure.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OrderRight for AgentRight {
    fn check(&self) -> BoxFuture<'_, ()> {
        Box::pin(ready(()))
    }

    fn time_until_order(&self) -> Option<Duration> {
        let now = self.clock.now();
        Some(self.lock().earliest_order(now)?.since(now))
    }

    fn find_fence(&self, target_revision: u64) -> BoxFuture<'_, Option<u64>> {
        let fence = self.lock().order_fence(target_revision, self.clock.now());
        Box::pin(ready(fence))
    }

    fn record_fenced(&self) {
        self.lock().restart(self.clock.now());
    }
}
