//! Windows of evidence that entries send each other.

use std::collections::HashMap;
use std::time::Duration;

use super::SpeedNotice;
use super::SpeedUpdate;
use crate::core::MonotonicTime;

/// Time after which the windows of an entry that is not heard are forgotten.
const SENDER_EXPIRY: Duration = Duration::from_secs(120);

/// This entry's latest window of evidence, and which windows of others it has.
#[derive(Debug, Default)]
pub(in crate::core::fleet) struct SpeedEvidence {
    latest: SpeedUpdate,
    closed_at: Option<MonotonicTime>,
    received: HashMap<String, (u64, MonotonicTime)>,
}

impl SpeedEvidence {
    /// Returns whether the latest window is older than `length`.
    pub fn is_window_over(&self, length: Duration, now: MonotonicTime) -> bool {
        self.closed_at.is_none_or(|at| now.since(at) >= length)
    }

    /// Replaces the latest window. The number also rises over restarts of this process,
    /// since it starts from the wall clock.
    pub fn close_window(&mut self, notices: Vec<SpeedNotice>, clock_ms: u64, now: MonotonicTime) {
        self.closed_at = Some(now);
        self.latest = SpeedUpdate {
            window: clock_ms.max(self.latest.window + 1),
            notices,
        };
    }

    /// Returns the latest window unless it is empty or older than `send_time`.
    pub fn latest(&self, send_time: Duration, now: MonotonicTime) -> Option<SpeedUpdate> {
        let is_recent = self.closed_at.is_some_and(|at| now.since(at) <= send_time);
        (is_recent && !self.latest.notices.is_empty()).then(|| self.latest.clone())
    }

    /// Returns whether a window of another entry is new, and records it.
    pub fn accept_window(&mut self, sender: &str, window: u64, now: MonotonicTime) -> bool {
        self.received
            .retain(|_, (_, heard_at)| now.since(*heard_at) < SENDER_EXPIRY);
        let known = self.received.get(sender).map(|(window, _)| *window);
        if known.is_some_and(|known| known >= window) {
            return false;
        }
        self.received.insert(sender.into(), (window, now));
        true
    }
}
