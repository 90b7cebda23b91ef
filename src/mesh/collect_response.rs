//! Updates about several engines that a collector passes on, in response to a
//! [`CollectRequest`](super::CollectRequest).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::CachedPartChange;
use crate::core::fleet::CollectedUpdate;
use crate::core::fleet::TargetVersion;

/// Response of a collector to a [`CollectRequest`](super::CollectRequest): what has
/// changed since its last response over this connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CollectResponse {
    /// Wall-clock time of the agent's host, in milliseconds since the Unix
    /// epoch.
    pub clock_ms: u64,
    /// Engines that were heard since the last response.
    pub engines: Vec<CollectedUpdate>,
    /// KV cache stores that were heard, or lost, since the last response.
    pub kv_cache_stores: Vec<StoreUpdate>,
    /// Target weights versions that the agent knows and the request did not
    /// name.
    pub targets: Vec<TargetVersion>,
}

/// What a collector knows of a KV cache store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Address of the store.
    pub address: SocketAddr,
    /// Whether it answers.
    pub is_reachable: bool,
    /// Whether the collector is among its readers.
    pub is_watched: bool,
    /// Changes of its parts; with `is_full_list`, all parts that it holds.
    pub kv_changes: Vec<CachedPartChange>,
    /// `kv_changes` lists all parts that the store holds, not only changes.
    pub is_full_list: bool,
}
