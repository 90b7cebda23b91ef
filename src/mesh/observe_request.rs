//! Request of an entry for an update from an agent.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::TargetVersion;

/// Sends an agent the target versions and asks for an update about its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObserveRequest {
    /// Incarnation of the agent that `known_update` and `next_kv_change` belong to.
    pub incarnation: u64,
    /// Sequence number of the last update that the entry received.
    #[serde(rename = "known_news")]
    pub known_update: u64,
    /// Sequence number of the next change of cached parts that the entry needs.
    #[serde(rename = "known_parts")]
    pub next_kv_change: u64,
    /// Name of the engine's current run, as listed in the store.
    #[serde(rename = "engine")]
    pub engine_run: String,
    /// Target weights versions set by the operator.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
    /// Position of the engine among those that change weights, and their
    /// number.
    #[serde(rename = "turn")]
    pub batch_position: (u64, u64),
}
