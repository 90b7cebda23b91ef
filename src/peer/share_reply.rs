//! Response of an entry to a message of another entry's rate limiter.

use serde::Deserialize;
use serde::Serialize;

use crate::core::ProcessIncarnation;
use crate::core::limit::ShareMessage;

/// Response of an entry to a message of another entry's rate limiter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Incarnation of the entry that responds.
    #[serde(rename = "run")]
    pub incarnation: ProcessIncarnation,
    /// Messages that are ready now; later ones are sent as calls of their own.
    pub messages: Vec<ShareMessage>,
}
