//! What a backend server says of its answer.

use bytes::Bytes;

use crate::core::WeightsVersion;
use crate::core::fleet::ReportedLoad;

/// What a backend server says of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Identity of the call that it answers.
    pub call_id: Option<Bytes>,
    /// The server states that it did not run the call.
    pub is_not_run: bool,
    /// The server that answers is not the one that the call was for, or has
    /// other weights.
    pub is_misdirected: bool,
    /// Name of the run that answers, where it says so.
    pub server: Option<Bytes>,
    /// The answer bears the server's mark of authenticity.
    pub has_seal: bool,
    /// Something on the way has encoded the body.
    pub is_encoded: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// Weights version of the engine.
    pub weights_version: Option<WeightsVersion>,
}
