//! What an entry tells and asks an agent.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::TargetVersion;

/// What an entry tells and asks an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObserveRequest {
    /// Run of the agent that the numbers below are of.
    pub incarnation: u64,
    /// Number of the news that the entry has.
    #[serde(rename = "known_news")]
    pub known_update: u64,
    /// Number of the next change of held parts that the entry needs.
    #[serde(rename = "known_parts")]
    pub next_kv_change: u64,
    /// Name of the engine's present run, as the store lists it.
    #[serde(rename = "engine")]
    pub engine_run: String,
    /// Weights versions that the operator has named.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
    /// Place of the engine among those that change their weights, and their
    /// number.
    #[serde(rename = "turn")]
    pub batch_position: (u64, u64),
}
