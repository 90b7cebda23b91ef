//! Claims to the right to order engines, kept in the store.

use std::time::Duration;

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::ClaimGrant;

/// Acquires and keeps claims. At most one process holds the claim to a group of
/// engines at a time.
pub trait OrderClaims: Send + Sync {
    /// Claims the group named `group` for `holder`, for `ttl` unless renewed.
    /// Returns `None` if another process holds it.
    fn acquire<'a>(
        &'a self,
        group: &'a str,
        holder: &'a str,
        ttl: Duration,
    ) -> BoxFuture<'a, Result<Option<ClaimGrant>, PortError>>;

    /// Replaces the claim `held` and returns the new fencing token, which is
    /// higher; `None` if the claim has ended.
    fn refresh<'a>(
        &'a self,
        group: &'a str,
        holder: &'a str,
        held: ClaimGrant,
    ) -> BoxFuture<'a, Result<Option<u64>, PortError>>;

    /// Writes to the store on behalf of the agents of `group`, and returns the revision.
    /// As a fencing token it is above those of all claims granted before, and no claim
    /// gets the same.
    fn issue_fence<'a>(&'a self, group: &'a str) -> BoxFuture<'a, Result<u64, PortError>>;

    /// Renews the lease of the claim `held` and returns whether it still existed.
    fn renew(&self, held: ClaimGrant) -> BoxFuture<'_, Result<bool, PortError>>;

    /// Returns whether the claim was granted before the newest restore of the store that
    /// is known, which may have lost it.
    fn predates_restore(&self, held: ClaimGrant) -> bool;

    /// Ends a lease and with it the claim.
    fn release(&self, lease: u64) -> BoxFuture<'_, Result<(), PortError>>;
}
