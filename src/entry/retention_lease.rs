//! Grants the store leases that delete at-most-once records after their
//! retention.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::registry::LeaseId;
use crate::registry::Store;
use crate::registry::StoreError;

/// Number of leases granted within one retention period.
const LEASES_PER_RETENTION: u32 = 24;

const MAX_GRANT_ATTEMPTS: u32 = 3;

/// The lease that new records are written with. A lease is never renewed;
/// instead a new one is granted after each 1/24 of the retention period.
/// Records therefore expire one retention period after their last write, or up
/// to 1/24 of it later.
#[derive(Debug)]
pub struct RetentionLease {
    store: Store,
    retention: Duration,
    current: Option<(LeaseId, Instant)>,
    /// Set when the store refused a write, which it does for a lost lease; the
    /// next call grants a new lease.
    pub may_be_lost: Arc<AtomicBool>,
}

impl RetentionLease {
    /// Creates the state; the first lease is granted on demand.
    pub fn new(store: Store, retention: Duration) -> Self {
        Self {
            store,
            retention,
            current: None,
            may_be_lost: Arc::default(),
        }
    }

    /// Returns a lease that normally has at least the retention period left,
    /// and grants a new one if needed.
    ///
    /// # Errors
    ///
    /// The store granted no lease; no record was written.
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

    /// Grants a lease, with retries even after a lost response: an unused lease
    /// does no harm.
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
