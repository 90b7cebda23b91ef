//! Rollouts that this gateway leads, for the reports of other entries.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use crate::core::MonotonicTime;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::RolloutLeader;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutReport;

/// Rollouts that this gateway leads, by service.
pub struct LedRollouts {
    leaders: Mutex<HashMap<String, LedRollout>>,
    /// Number of times at which there was a new order.
    pub order_count: watch::Sender<u64>,
}

/// Rollout that this gateway leads as long as it holds the claim.
#[derive(Debug)]
pub struct LedRollout {
    /// Decides about the rollout.
    pub leader: RolloutLeader,
    /// Claim of this gateway, as last known.
    pub claim: OrderClaim,
}

impl LedRollouts {
    /// Locks the rollouts. The guard must not be held across an await point.
    pub fn lock(&self) -> MutexGuard<'_, HashMap<String, LedRollout>> {
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the task that follows orders of a new one.
    pub fn announce_order(&self) {
        self.order_count.send_modify(|count| *count += 1);
    }

    /// Takes the report of an entry and returns its plan; `None` if this gateway does
    /// not lead the rollout, or no longer.
    pub fn answer(&self, report: RolloutReport, now: MonotonicTime) -> Option<RolloutPlan> {
        let mut leaders = self.lock();
        let led = leaders.get_mut(&report.service)?;
        led.claim.held_fence(now)?;
        led.leader.observe_report(report, now)
    }
}

impl Default for LedRollouts {
    fn default() -> Self {
        Self {
            leaders: Mutex::default(),
            order_count: watch::channel(0).0,
        }
    }
}

impl fmt::Debug for LedRollouts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LedRollouts").finish_non_exhaustive()
    }
}
