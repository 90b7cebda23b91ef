//! What an agent tells of its engine.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::TargetVersion;

/// What an agent tells of its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Run of the agent.
    pub incarnation: u64,
    /// Milliseconds since the epoch by the clock of its host.
    pub clock_ms: u64,
    /// Number of these news.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The engine's state.
    #[serde(rename = "facts")]
    pub report: AgentReport,
    /// Changes of the parts that the engine holds.
    #[serde(rename = "parts")]
    pub kv_changes: Vec<CachedPartChange>,
    /// The engine holds nothing but `parts`.
    #[serde(rename = "is_whole")]
    pub is_full_list: bool,
    /// Number of the next change.
    #[serde(rename = "next_part")]
    pub next_kv_change: u64,
    /// Weights versions that the agent knows to be wanted and the entry did
    /// not name.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
}
