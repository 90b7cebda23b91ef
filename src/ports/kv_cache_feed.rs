//! Feeds of changes to cached prompt parts.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::CachedPartChange;

/// Changes to the prompt parts that an engine or a KV cache store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvCacheChanges {
    /// Identifies the run of the holder; differs in each run.
    pub epoch: u64,
    /// Sequence number to request next.
    pub next_sequence: u64,
    /// Changes before the first of `changes` were lost.
    pub has_gap: bool,
    /// Parts that were added or removed.
    pub changes: Vec<CachedPartChange>,
}

/// Feeds of changes to the prompt parts that engines and KV cache stores hold.
pub trait KvCacheFeed: Send + Sync {
    /// Waits for changes from sequence number `from_sequence` on, for at most
    /// `wait`.
    fn read_changes(
        &self,
        holder: SocketAddr,
        from_sequence: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<KvCacheChanges, PortError>>;
}
