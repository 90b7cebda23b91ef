//! The lease that ends records after their retention.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::registry::LeaseId;
use crate::registry::Store;
use crate::registry::StoreError;

/// Parts of the retention after which a new lease is taken.
const LEASES_PER_RETENTION: u32 = 24;

const MAX_GRANT_ATTEMPTS: u32 = 3;

/// The lease that ends records after their retention. It is never kept alive;
/// a new one is taken from time to time, so records outlast their last write
/// by the retention and at most a twenty-fourth part more.
#[derive(Debug)]
pub struct RetentionLease {
    store: Store,
    retention: Duration,
    current: Option<(LeaseId, Instant)>,
    /// Set when the store refused a write, perhaps because it lost the lease.
    pub may_be_lost: Arc<AtomicBool>,
}

impl RetentionLease {
    /// Creates it without a lease.
    pub fn new(store: Store, retention: Duration) -> Self {
        Self {
            store,
            retention,
            current: None,
            may_be_lost: Arc::default(),
        }
    }

    /// Returns a lease with at least the retention left, as a rule.
    ///
    /// # Errors
    ///
    /// No lease could be had; nothing was written.
    pub async fn get_or_grant(&mut self) -> Result<LeaseId, StoreError> {
        if self.may_be_lost.swap(false, Ordering::AcqRel) {
            self.current = None;
        }
        let renewal_period = self.retention / LEASES_PER_RETENTION;
        if let Some((lease, granted_at)) = self.current
            && granted_at.elapsed() < renewal_period
        {
            return Ok(lease);
        }
        let requested_at = Instant::now();
        let lease = self.grant(self.retention + renewal_period).await?;
        self.current = Some((lease, requested_at));
        Ok(lease)
    }

    /// Asks again after a lost answer: a lease that nobody uses does no harm.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut last_error = None;
        for _ in 0..MAX_GRANT_ATTEMPTS {
            match self.store.grant_lease(ttl).await {
                Ok(lease) => return Ok(lease),
                Err(e) => last_error = Some(e),
            }
        }
        let reason = last_error.map(|e| e.to_string()).unwrap_or_default();
        Err(StoreError::NotReached(reason))
    }
}
