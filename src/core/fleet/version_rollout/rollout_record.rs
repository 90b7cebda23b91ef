//! State of a rollout that outlasts its leader.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RolloutOrder;
use super::RolloutPhase;
use crate::core::fleet::Build;

/// State of a rollout as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Build that is to get the traffic.
    pub target: Build,
    /// Duration of the order, in milliseconds.
    pub duration_ms: u64,
    /// Wall-clock time of the order, in milliseconds since the Unix epoch.
    pub ordered_at_ms: u64,
    /// Phase of the rollout; never [`RolloutPhase::Closing`].
    pub phase: RolloutPhase,
    /// Upper bound of the calls to the new build that leaders have granted.
    pub granted_bound: u64,
    /// Requests that had reached the service; a lower bound.
    pub requests: u64,
    /// Targets of earlier orders that did not complete; their servers get nothing.
    pub given_up: Vec<Build>,
}

impl RolloutRecord {
    /// Creates the record of an order that is about to start.
    pub fn start(order: &RolloutOrder, ordered_at_ms: u64, given_up: Vec<Build>) -> Self {
        Self {
            target: order.target.clone(),
            duration_ms: as_ms(order.duration),
            ordered_at_ms,
            phase: RolloutPhase::Canary,
            granted_bound: 0,
            requests: 0,
            given_up,
        }
    }

    /// Returns whether this is the record of an order, or of an earlier write of it.
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.duration_ms == as_ms(order.duration)
    }

    /// Returns the record of an order that follows while this one is kept. The same
    /// target keeps its evidence; another one makes this target one that was given up,
    /// unless it completed.
    pub fn succeed(&self, order: &RolloutOrder, ordered_at_ms: u64) -> Self {
        if self.target == order.target && !self.phase.is_final() {
            return Self {
                duration_ms: as_ms(order.duration),
                ordered_at_ms,
                ..self.clone()
            };
        }
        let mut given_up = self.given_up.clone();
        if self.phase != RolloutPhase::Completed {
            given_up.push(self.target.clone());
        }
        given_up.retain(|build| *build != order.target);
        Self::start(order, ordered_at_ms, given_up)
    }
}

fn as_ms(duration: Option<Duration>) -> u64 {
    let ms = duration.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
