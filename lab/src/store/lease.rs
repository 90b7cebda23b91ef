//! Expiry of the leases of a store.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;

/// Lease. The store deletes its keys when it expires.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Time from a renewal to the expiry.
    pub ttl: Duration,
    /// Time of expiry unless renewed.
    pub expires_at: MonotonicTime,
}

impl Lease {
    /// Creates a lease that is granted at `now`.
    pub fn new(ttl: Duration, now: MonotonicTime) -> Self {
        Self {
            ttl,
            expires_at: now + ttl,
        }
    }

    /// Renews the lease for its whole time to live from `now`.
    pub fn renew(&mut self, now: MonotonicTime) {
        self.expires_at = now + self.ttl;
    }
}
