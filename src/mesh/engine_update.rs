//! Update that an agent sends about its engine.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::TargetVersion;

/// State of an engine and changes to its cached prompt parts, sent by its agent
/// to an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// Identifies the run of the agent.
    pub incarnation: u64,
    /// Wall-clock time of the agent's host, in milliseconds since the Unix
    /// epoch.
    pub clock_ms: u64,
    /// Sequence number of the update within the agent's run.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// State of the agent and its engine.
    #[serde(rename = "facts")]
    pub report: AgentReport,
    /// Prompt parts that the engine added or removed.
    #[serde(rename = "parts")]
    pub kv_changes: Vec<CachedPartChange>,
    /// `kv_changes` lists all parts that the engine holds, not only the
    /// changes.
    #[serde(rename = "is_whole")]
    pub is_full_list: bool,
    /// Sequence number of the next change of cached parts.
    #[serde(rename = "next_part")]
    pub next_kv_change: u64,
    /// Target weights versions that the agent knows and the entry's request did
    /// not name.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
}
