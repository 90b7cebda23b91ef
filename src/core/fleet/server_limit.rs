//! Limit of one run of a server, and this entry's share of it.

use std::time::Duration;

use crate::core::MonotonicTime;

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
    /// This entry's part of `calls_per_s`, and the generation of entries for which it
    /// was computed.
    pub share: (f64, u64),
    saved_calls: f64,
    saved_at: MonotonicTime,
}

impl ServerLimit {
    /// Creates the limit of a run that has just been named. Nothing may be sent yet.
    pub fn new(calls_per_s: Option<f64>, observed_at: MonotonicTime, now: MonotonicTime) -> Self {
        Self {
            calls_per_s: calls_per_s.map(|limit| limit.max(MIN_CALLS_PER_S)),
            observed_at,
            changed_at: now,
            share: (0.0, 0),
            saved_calls: 0.0,
            saved_at: now,
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
        let kept_share = if self.calls_per_s.is_some() {
            self.share.0
        } else {
            0.0
        };
        self.set_share((kept_share, 0), now);
        self.calls_per_s = calls_per_s;
        self.changed_at = now;
        true
    }

    /// Sets the share from now on.
    pub fn set_share(&mut self, share: (f64, u64), now: MonotonicTime) {
        self.saved_calls = self.available_calls(now);
        self.saved_at = now;
        self.share = share;
        self.saved_calls = self.saved_calls.min(self.capacity());
    }

    /// Returns how many calls this entry may send at once.
    pub fn available_calls(&self, now: MonotonicTime) -> f64 {
        let earned = now.since(self.saved_at).as_secs_f64() * self.share.0;
        (self.saved_calls + earned).min(self.capacity())
    }

    /// Takes one call from what this entry may send.
    pub fn take_call(&mut self, now: MonotonicTime) {
        self.saved_calls = self.available_calls(now) - 1.0;
        self.saved_at = now;
    }

    /// Returns the time until this entry may send a call; `None` without a share.
    pub fn time_until_call(&self, now: MonotonicTime) -> Option<Duration> {
        let missing = (1.0 - self.available_calls(now)).max(0.0);
        (self.share.0 > 0.0).then(|| Duration::from_secs_f64(missing / self.share.0))
    }

    /// Returns how many calls may be saved; none without a share, so that no calls stay
    /// with entries whose share goes to others.
    fn capacity(&self) -> f64 {
        if self.share.0 > 0.0 {
            (self.share.0 * MAX_SAVED_TIME.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }
}
