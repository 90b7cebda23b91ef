//! What a process answers to a peer that tells its revision.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Revision;
use crate::core::config::RulesRecord;

/// What a process answers to a peer that tells its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionReply {
    /// Revision in force in the answering process.
    pub revision: Revision,
    /// Its rules, if they are newer than the caller's.
    pub newer: Option<RulesRecord>,
}
