//! Limit of one run of a server, and this entry's share of it.

use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::fleet::quota::TokenBucket;

/// Time for which an unused share is kept for later calls.
const MAX_SAVED_TIME: Duration = Duration::from_millis(500);

/// Smallest limit that is enforced, in calls a second. A server that takes none at all
/// would never be seen to take calls again.
const MIN_CALLS_PER_S: f64 = 0.1;

/// Limit of one run, and the calls that this entry may send of it.
#[derive(Debug)]
pub(super) struct ServerLimit {
    /// Calls a second from all entries together; `None` once the run names no limit.
    pub calls_per_s: Option<f64>,
    /// When the run said so.
    pub observed_at: MonotonicTime,
    /// When `calls_per_s` last became another value.
    pub changed_at: MonotonicTime,
    /// This entry's part of `calls_per_s`.
    pub share: f64,
    /// Change of the shares for which `share` was computed; 0 if it has to be computed
    /// anew.
    pub generation: u64,
    /// Calls that this entry may send; fills at the rate `share`.
    saved_calls: TokenBucket,
}

impl ServerLimit {
    /// Creates the limit of a run that has just been named. Nothing may be sent yet.
    pub fn new(calls_per_s: Option<f64>, observed_at: MonotonicTime, now: MonotonicTime) -> Self {
        Self {
            calls_per_s: calls_per_s.map(|limit| limit.max(MIN_CALLS_PER_S)),
            observed_at,
            changed_at: now,
            share: 0.0,
            generation: 0,
            saved_calls: TokenBucket::new(0.0, 0.0, 0.0, now),
        }
    }

    /// Applies a later observation. Returns whether the limit became another one.
    pub fn update(
        &mut self,
        calls_per_s: Option<f64>,
        observed_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        self.observed_at = observed_at;
        let calls_per_s = calls_per_s.map(|limit| limit.max(MIN_CALLS_PER_S));
        if calls_per_s == self.calls_per_s {
            return false;
        }
        // Named anew after an end: what was saved before does not count.
        let share = self.calls_per_s.map_or(0.0, |_| self.share);
        self.set_share(share, 0, now);
        self.calls_per_s = calls_per_s;
        self.changed_at = now;
        true
    }

    /// Sets the share from now on. Without one, no saved call is left, so that none stay
    /// with entries whose shares went to others.
    pub fn set_share(&mut self, share: f64, generation: u64, now: MonotonicTime) {
        self.share = share;
        self.generation = generation;
        let capacity = if share > 0.0 {
            (share * MAX_SAVED_TIME.as_secs_f64()).max(1.0)
        } else {
            0.0
        };
        self.saved_calls.set_limits(share, capacity, now);
    }

    /// Returns whether this entry may send a call.
    pub fn allows_call(&self, now: MonotonicTime) -> bool {
        self.saved_calls.level(now) >= 1.0
    }

    /// Takes one call from what this entry may send.
    pub fn take_call(&mut self, now: MonotonicTime) {
        self.saved_calls.take(1.0, now);
    }

    /// Returns the time until this entry may send a call; `None` without a share.
    pub fn time_until_call(&self, now: MonotonicTime) -> Option<Duration> {
        (self.share > 0.0).then(|| self.saved_calls.time_until_available(1.0, now))
    }
}
