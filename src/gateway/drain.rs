//! Course of a gateway's drain, from the stop signal to the cut of what still runs.

use std::sync::OnceLock;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::MonotonicTime;
use crate::core::fleet::StopPlan;

/// Course of a gateway's drain.
#[derive(Debug, Default)]
pub struct Drain {
    /// When the stop was requested, and its plan.
    begun: OnceLock<(Instant, StopPlan)>,
    is_over: watch::Sender<bool>,
}

impl Drain {
    /// Begins the drain at `now`; later calls change nothing.
    pub fn begin(&self, plan: StopPlan, now: MonotonicTime) {
        let unseen = now.since(plan.requested_at);
        let seen_at = Instant::now();
        let requested_at = seen_at.checked_sub(unseen).unwrap_or(seen_at);
        self.begun.get_or_init(|| (requested_at, plan));
    }

    /// Returns which calls are still sent on; `None` without a drain.
    pub fn plan(&self) -> Option<&StopPlan> {
        self.begun.get().map(|(_, plan)| plan)
    }

    /// Ends the drain: calls that still run get their last answers or are cut.
    pub fn end(&self) {
        self.is_over.send_replace(true);
    }

    /// Returns whether the drain has ended.
    pub fn is_over(&self) -> bool {
        *self.is_over.borrow()
    }

    /// Waits for the end of the drain.
    pub async fn wait_until_over(&self) {
        // The sender lives as long as the drain.
        let _ = self.is_over.subscribe().wait_for(|is_over| *is_over).await;
    }

    /// Returns the milliseconds from the request to stop to `at`, negative before it; 0
    /// without a drain.
    pub fn offset_ms(&self, at: Instant) -> i64 {
        let Some(&(requested_at, _)) = self.begun.get() else {
            return 0;
        };
        let after = at.saturating_duration_since(requested_at).as_millis() as i64;
        let before = requested_at.saturating_duration_since(at).as_millis() as i64;
        after - before
    }
}
