//! Configured service: a group of backend servers, or a KV cache store.

use std::net::SocketAddr;

/// A service that routes refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Name that routes and members refer to.
    pub name: String,
    /// Path at which its servers state their load, to everyone and at once.
    pub health_path: String,
    /// Maximum connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
    /// Set for a KV cache store, to which no calls are sent.
    pub kv_cache_store: Option<KvCacheStore>,
}

/// Capacity of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Size of the KV cache in memory, in tokens.
    pub capacity_tokens: u64,
    /// Size of the KV cache per token, in bytes.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link for KV cache transfers, in Mbit/s.
    pub link_mbps: f64,
}

/// A store that keeps KV cache outside the engines.
#[derive(Debug, Clone, PartialEq)]
pub struct KvCacheStore {
    /// Address for engines and for readers of its events.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
}
