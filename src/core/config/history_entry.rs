//! Entry of the history of accepted revisions.

use serde::Deserialize;
use serde::Serialize;

use super::RulesRecord;
use super::TextPatch;
use crate::core::Revision;

/// Entry of the history of accepted revisions. Instead of the whole text it
/// holds a patch back to the text of the previous revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the revision.
    pub revision: Revision,
    /// Identifier of the acceptance that made the revision.
    pub accept_id: String,
    /// Operator who accepted the revision.
    #[serde(rename = "who")]
    pub accepted_by: String,
    /// Reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time of acceptance on the operator's clock, in milliseconds since the
    /// Unix epoch.
    pub accepted_at_ms: u64,
    /// Turns the text of this revision into that of the previous one.
    pub undo: TextPatch,
}

impl HistoryEntry {
    /// Creates the entry of `record`; `previous` is the text of the previous
    /// revision.
    pub fn new(record: &RulesRecord, previous: &str) -> Self {
        Self {
            revision: record.revision,
            accept_id: record.accept_id.clone(),
            accepted_by: record.accepted_by.clone(),
            reason: record.reason.clone(),
            accepted_at_ms: record.accepted_at_ms,
            undo: TextPatch::diff(&record.text, previous),
        }
    }
}
