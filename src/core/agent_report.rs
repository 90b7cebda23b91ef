//! What an agent tells an entry with each answer.

use serde::Deserialize;
use serde::Serialize;

use super::EngineIncarnation;
use super::LoadReport;
use super::ProcessIncarnation;
use super::RequestId;
use super::Revision;
use super::WeightsVersion;

/// What an agent tells an entry with each answer; it travels as JSON in one
/// header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Request that the answer belongs to; an entry drops a crossed answer.
    pub request: RequestId,
    /// Attempt that the answer belongs to.
    pub attempt: u32,
    /// Highest rules revision the agent has applied.
    pub revision: Revision,
    /// Run of the agent.
    pub agent: ProcessIncarnation,
    /// Run of the engine beside the agent, once known.
    pub engine: Option<EngineIncarnation>,
    /// Weights that the engine serves, once known.
    pub weights: Option<WeightsVersion>,
    /// The backend server takes no new work.
    pub leaving: bool,
    /// How busy the backend server is.
    pub load: LoadReport,
    /// Time line stamp of the report.
    #[serde(default)]
    pub stamp: u64,
}
