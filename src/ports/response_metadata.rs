//! Metadata that a backend server sends in the head of its response.

use bytes::Bytes;

use crate::core::WeightsVersion;
use crate::core::fleet::ReportedLoad;

/// Metadata from the status and the headers of a backend server's response.
/// Optional fields are none if the server does not state them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the call that the response is for.
    pub call_id: Option<Bytes>,
    /// The server states that it did not run the call, so another one may.
    pub is_not_run: bool,
    /// The server that answered is not the one that the call was for, or has
    /// other weights.
    pub is_misdirected: bool,
    /// Name of the server run that answered.
    pub server: Option<Bytes>,
    /// The response carries the header that marks it as the server's own.
    pub has_seal: bool,
    /// An intermediary has encoded the body.
    pub is_encoded: bool,
    /// Running and waiting calls at the server.
    pub load: Option<ReportedLoad>,
    /// Weights version loaded in the engine.
    pub weights_version: Option<WeightsVersion>,
}
