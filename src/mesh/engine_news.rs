//! What an agent tells of its engine.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::TargetVersion;

/// What an agent tells of its engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineNews {
    /// Run of the agent.
    pub incarnation: u64,
    /// Milliseconds since the epoch by the clock of its host.
    pub clock_ms: u64,
    /// Number of these news.
    pub number: u64,
    /// The engine's state.
    pub facts: AgentReport,
    /// Changes of the parts that the engine holds.
    pub parts: Vec<CachedPartChange>,
    /// The engine holds nothing but `parts`.
    pub is_whole: bool,
    /// Number of the next change.
    pub next_part: u64,
    /// Weights versions that the agent knows to be wanted and the entry did
    /// not name.
    pub wanted: Vec<TargetVersion>,
}
