//! Answer of an entry to a message about shares.

use serde::Deserialize;
use serde::Serialize;

use crate::core::ProcessIncarnation;
use crate::core::limit::ShareMessage;

/// Answer of an entry to a message about shares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReply {
    /// Run of the entry that answers.
    #[serde(rename = "run")]
    pub incarnation: ProcessIncarnation,
    /// Messages that can be sent at once; others follow as calls.
    pub messages: Vec<ShareMessage>,
}
