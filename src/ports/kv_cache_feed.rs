//! Feeds of cached prompt parts.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::CachedPartChange;

/// Changes of the parts that an engine or a store of kept KV cache holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvCacheChanges {
    /// Differs in each run of the holder.
    pub epoch: u64,
    /// Number to ask for next.
    pub next_sequence: u64,
    /// Changes before the first of these are lost.
    pub has_gap: bool,
    /// The changes.
    pub changes: Vec<CachedPartChange>,
}

/// Feeds of cached prompt parts.
pub trait KvCacheFeed: Send + Sync {
    /// Waits for changes from number `since` on, for at most `wait`.
    fn read_changes(
        &self,
        holder: SocketAddr,
        from_sequence: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<KvCacheChanges, PortError>>;
}
