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
    pub known_news: u64,
    /// Number of the next change of held parts that the entry needs.
    pub known_parts: u64,
    /// Name of the engine's present run, as the store lists it.
    pub engine: String,
    /// Weights versions that the operator has named.
    pub wanted: Vec<TargetVersion>,
    /// Place of the engine among those that change their weights, and their
    /// number.
    pub turn: (u64, u64),
}
