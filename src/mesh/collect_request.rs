//! Request of an entry for updates about several engines from one agent.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;
use crate::core::fleet::TargetVersion;

/// Sends an agent the target versions and asks it to follow the
/// agents of other engines and to pass their updates on. The responses over one connection build on each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CollectRequest {
    /// Engines to follow from now on; `None` for those of the last request.
    pub engines: Option<Vec<FollowedEngine>>,
    /// KV cache stores to follow from now on; ignored without `engines`.
    pub kv_cache_stores: Vec<SocketAddr>,
    /// Target weights versions set by the operator.
    pub targets: Vec<TargetVersion>,
}

/// An engine whose updates are to be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedEngine {
    /// Name of the engine's current run, as listed in the store.
    pub name: ServerName,
    /// Address of the agent beside it.
    pub agent: SocketAddr,
    /// Position of the engine among those that change weights, and their
    /// number.
    pub batch_position: (u64, u64),
}
