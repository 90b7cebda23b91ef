//! Updates about several engines that a collector passes on, in response to a
//! [`CollectRequest`](super::CollectRequest).

use serde::Deserialize;
use serde::Serialize;

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
    /// Target weights versions that the agent knows and the request did not
    /// name.
    pub targets: Vec<TargetVersion>,
}
