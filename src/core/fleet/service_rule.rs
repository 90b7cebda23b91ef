//! One service of a configuration.

use std::net::SocketAddr;

/// One service of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Name that routes and members refer to.
    pub name: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// What its engines hold; none for a plain service.
    pub engine: Option<EngineRule>,
    /// The service is a store of kept KV cache, not a place to send calls to.
    pub kv_cache_store: Option<KvCacheStore>,
}

/// What the engines of a service hold.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV cache in memory.
    pub capacity_tokens: u64,
    /// Bytes of KV cache for each token.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link for KV cache, in Mbit/s.
    pub link_mbps: f64,
}

/// A store of kept KV cache.
#[derive(Debug, Clone, PartialEq)]
pub struct KvCacheStore {
    /// Where engines and readers of its events reach it.
    pub address: SocketAddr,
    /// Availability zone that it stands in.
    pub zone: String,
}
