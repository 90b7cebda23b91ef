//! Notices that this process has stood still.

use std::time::Duration;

use super::MonotonicTime;

/// Notices that this process has stood still, as when its host was suspended. What it
/// reads first after that arrived meanwhile and looks new.
#[derive(Debug)]
pub struct StallDetector {
    min_stall: Duration,
    grace: Duration,
    ran_at: Option<MonotonicTime>,
    catching_up_until: MonotonicTime,
}

impl StallDetector {
    /// Creates a detector. Runs that are at least `min_stall` apart are a stall, after
    /// which the process reads what has arrived for `grace`.
    pub fn new(min_stall: Duration, grace: Duration) -> Self {
        Self {
            min_stall,
            grace,
            ran_at: None,
            catching_up_until: MonotonicTime::ZERO,
        }
    }

    /// Records that the process runs; to be called at intervals well below the shortest
    /// stall.
    pub fn record_run(&mut self, now: MonotonicTime) {
        let ran_at = self.ran_at.replace(now);
        if ran_at.is_some_and(|at| now.since(at) >= self.min_stall) {
            self.catching_up_until = now + self.grace;
        }
    }

    /// Returns whether what is read now may have arrived during a stall.
    pub fn is_catching_up(&self, now: MonotonicTime) -> bool {
        now < self.catching_up_until
    }
}
