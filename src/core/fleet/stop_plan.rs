//! Which calls an entry that stops still sends on.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Times of an entry's stop, and which calls it still sends on.
///
/// A response that is a stream can only be cut once it has begun, so that a stream which
/// may outlast the stop must go to another entry. Any other call has an answer by the end,
/// if only that its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when streams are sent on whose callers wait beyond the end.
    pub streams_until: MonotonicTime,
    /// When all calls must have their answers.
    pub ends_at: MonotonicTime,
}

impl StopPlan {
    /// Returns whether a call may be sent on, if its caller waits for `time_left` and its
    /// response is expected to be whole after `predicted_end`.
    pub fn allows_send(
        &self,
        is_stream: bool,
        time_left: Duration,
        predicted_end: Duration,
        now: MonotonicTime,
    ) -> bool {
        if now >= self.ends_at {
            return false;
        }
        let caller_leaves_first = now + time_left <= self.ends_at;
        if caller_leaves_first {
            return true;
        }
        let is_expected_to_end = now + predicted_end <= self.ends_at;
        is_expected_to_end && (!is_stream || now < self.streams_until)
    }
}
