//! Which calls an entry that stops still sends on.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Time for which a stopping entry still accepts connections: the load balancer checks
/// readiness once a second and needs two failed checks.
const LINGER: Duration = Duration::from_millis(2_400);

/// Part of the grace that is reserved for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time to write the answers of the calls that still run at the end.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Time that is left at least once a stop was seen, for answers to the calls that wait: a
/// process that runs has not been killed yet.
const MIN_TIME_LEFT: Duration = Duration::from_millis(400);

/// Times of an entry's stop, and which calls it still sends on.
///
/// A response that is a stream can only be cut once it has begun, so that a stream which
/// may outlast the stop must go to another entry. Any other call has an answer by the end,
/// if only that its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When the stop may have been requested at the earliest.
    pub requested_at: MonotonicTime,
    /// Until when streams are sent on whose callers wait beyond the end.
    pub streams_until: MonotonicTime,
    /// Until when connections are accepted.
    pub accepts_until: MonotonicTime,
    /// When all calls must have their answers.
    pub ends_at: MonotonicTime,
    /// When the process must exit.
    pub exits_at: MonotonicTime,
}

impl StopPlan {
    /// Plans a stop that was seen at `seen_at` and may have been requested since
    /// `requested_at`, of an entry that is killed `grace` after the request.
    ///
    /// Only the load balancer's time runs from when the stop was seen: it notices that the
    /// entry is no longer ready.
    pub fn new(requested_at: MonotonicTime, seen_at: MonotonicTime, grace: Duration) -> Self {
        let exits_at = requested_at + grace.saturating_sub(EXIT_MARGIN);
        let exits_at = exits_at.max(seen_at + MIN_TIME_LEFT);
        let ends_at = exits_at.saturating_sub(LAST_ANSWERS_TIME);
        Self {
            requested_at,
            streams_until: requested_at + LINGER,
            accepts_until: ends_at.min(seen_at + LINGER),
            ends_at,
            exits_at,
        }
    }

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
