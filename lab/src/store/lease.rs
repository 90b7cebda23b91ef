//! Leases of a store.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;

/// A lease; keys that hang on it go when it expires.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Time from a renewal to its expiry.
    pub ttl: Duration,
    /// When it expires unless renewed.
    pub expires: MonotonicTime,
}

impl Lease {
    /// Creates a lease that was granted now.
    pub fn new(ttl: Duration, now: MonotonicTime) -> Self {
        Self {
            ttl,
            expires: now + ttl,
        }
    }

    /// Renews the lease.
    pub fn renew(&mut self, now: MonotonicTime) {
        self.expires = now + self.ttl;
    }
}
