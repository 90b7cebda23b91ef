//! One accepted revision, as the history keeps it.

use serde::Deserialize;
use serde::Serialize;

use super::RulesRecord;
use super::TextPatch;
use crate::core::Revision;

/// One accepted revision, as the history keeps it: instead of the whole text
/// the patch that leads back to the revision before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the revision.
    pub revision: Revision,
    /// Acceptance that made it.
    pub accept_id: String,
    /// Operator who accepted it.
    #[serde(rename = "who")]
    pub accepted_by: String,
    /// Reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// Milliseconds since the epoch on the operator's clock.
    pub accepted_at_ms: u64,
    /// Turns the text of this revision into that of the one before.
    pub undo: TextPatch,
}

impl HistoryEntry {
    /// Returns the entry of a record that follows `previous` text.
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
