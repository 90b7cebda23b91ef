//! Whether the reader of a connection still reads.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Tracks whether a reader takes what is written for it. Any byte that it takes
/// counts, so that a reader that is slow but steady is not seen as stopped.
#[derive(Debug, Clone, Copy)]
pub struct ReaderProgress {
    timeout: Duration,
    blocked_since: Option<MonotonicTime>,
}

impl ReaderProgress {
    /// Creates the state of a reader that is seen as stopped once it has taken nothing
    /// for `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            blocked_since: None,
        }
    }

    /// Records that bytes were taken, or that there are none to take.
    pub fn record_progress(&mut self) {
        self.blocked_since = None;
    }

    /// Records that bytes wait for the reader.
    pub fn record_blocked(&mut self, now: MonotonicTime) {
        self.blocked_since.get_or_insert(now);
    }

    /// Returns the time until the reader is seen as stopped if it takes nothing, or
    /// `None` if nothing waits for it.
    pub fn time_left(&self, now: MonotonicTime) -> Option<Duration> {
        let since = self.blocked_since?;
        Some(self.timeout.saturating_sub(now.since(since)))
    }

    /// Returns whether the reader has stopped reading.
    pub fn has_stopped(&self, now: MonotonicTime) -> bool {
        self.time_left(now).is_some_and(|left| left.is_zero())
    }
}
