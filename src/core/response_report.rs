//! State that an agent reports to an entry with each response.

use serde::Deserialize;
use serde::Serialize;

use super::EngineIncarnation;
use super::LoadReport;
use super::ProcessIncarnation;
use super::RequestId;
use super::Revision;
use super::WeightsVersion;

/// State that an agent reports to an entry with each response, as JSON in one
/// header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseReport {
    /// Request that the response belongs to. An entry drops a response that
    /// belongs to another request than it sent.
    pub request: RequestId,
    /// Attempt that the response belongs to, from 1.
    pub attempt: u32,
    /// Highest revision of the rules that the agent has applied.
    pub revision: Revision,
    /// Incarnation of the agent.
    pub agent: ProcessIncarnation,
    /// Incarnation of the engine beside the agent; `None` until known.
    pub engine: Option<EngineIncarnation>,
    /// Version of the weights that the engine serves; `None` until known.
    pub weights: Option<WeightsVersion>,
    /// The backend server is draining and takes no new requests.
    pub leaving: bool,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Hybrid logical clock timestamp of the report; see the timeline.
    #[serde(default)]
    pub stamp: u64,
}
