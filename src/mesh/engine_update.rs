//! Update that an agent sends about its engine, in response to an
//! [`ObserveRequest`](super::ObserveRequest).

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::TargetVersion;

/// Response of an agent to an [`ObserveRequest`](super::ObserveRequest): the
/// state of the agent and its engine, changes of the cached prompt parts, and
/// target weights versions.
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
    /// Prompt parts that the engine added to its KV cache or removed from it;
    /// with `is_full_list`, all parts that it holds.
    #[serde(rename = "parts")]
    pub kv_changes: Vec<CachedPartChange>,
    /// `kv_changes` lists all parts that the engine holds, not only the
    /// changes.
    #[serde(rename = "is_whole")]
    pub is_full_list: bool,
    /// Sequence number of the first change of cached parts after this update.
    #[serde(rename = "next_part")]
    pub next_kv_change: u64,
    /// Target weights versions that the agent knows and the request did not
    /// name.
    #[serde(rename = "wanted")]
    pub targets: Vec<TargetVersion>,
}
