//! Update of a process to a newer revision of the rules.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::RulesRecord;
use super::TextPatch;
use super::text_patch::PatchMismatch;
use crate::core::Revision;

/// Update to a newer revision of the rules: a patch if the receiver holds the
/// previous revision, the full record otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RulesUpdate {
    /// The full record.
    #[serde(rename = "Whole")]
    Full(RulesRecord),
    /// Revision that the patch applies to, the new record without its text, and
    /// the patch that makes the new text.
    Patch(Revision, RulesRecord, TextPatch),
}

/// Reason for which an update cannot be applied to the rules held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateError {
    /// The patch applies to this revision, which is not the one held.
    RevisionMismatch(Revision),
    /// The patch applies to another text of the same revision.
    TextMismatch,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RevisionMismatch(revision) => write!(
                f,
                "patch applies to revision {revision}, which is not the one held"
            ),
            Self::TextMismatch => PatchMismatch.fmt(f),
        }
    }
}

impl From<PatchMismatch> for UpdateError {
    fn from(_: PatchMismatch) -> Self {
        Self::TextMismatch
    }
}

impl RulesUpdate {
    /// Creates the update to `record` for a receiver that holds revision
    /// `held`. `previous` is the record before `record`, if still known.
    pub fn build(record: &RulesRecord, previous: Option<&RulesRecord>, held: Revision) -> Self {
        match previous {
            Some(previous) if previous.revision == held => {
                let patch = TextPatch::diff(&previous.text, &record.text);
                let metadata = RulesRecord {
                    text: String::new(),
                    ..record.clone()
                };
                Self::Patch(held, metadata, patch)
            }
            _ => Self::Full(record.clone()),
        }
    }

    /// Returns the new record, given the one that the receiver holds.
    ///
    /// # Errors
    ///
    /// The update is a patch that does not apply to the rules held.
    pub fn resolve(self, held: Option<&RulesRecord>) -> Result<RulesRecord, UpdateError> {
        match self {
            Self::Full(record) => Ok(record),
            Self::Patch(from, metadata, patch) => {
                let held = held.filter(|held| held.revision == from);
                let held = held.ok_or(UpdateError::RevisionMismatch(from))?;
                let text = patch.apply(&held.text)?;
                Ok(RulesRecord { text, ..metadata })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_record(revision: u64, text: &str) -> RulesRecord {
        RulesRecord {
            revision: Revision(revision),
            parent: Revision(revision - 1),
            accept_id: String::new(),
            accepted_by: "desk-operator".into(),
            reason: "test".into(),
            accepted_at_ms: 0,
            text: text.into(),
        }
    }

    #[test]
    fn build_patch_for_previous_revision() {
        let old = make_record(4, "pool a # the desk\n");
        let new = make_record(5, "pool a # the desk\npool b # the desk\n");
        let update = RulesUpdate::build(&new, Some(&old), Revision(4));
        assert!(matches!(update, RulesUpdate::Patch(..)));
        assert_eq!(update.resolve(Some(&old)), Ok(new));
    }

    #[test]
    fn build_full_for_older_revision() {
        let old = make_record(4, "pool a # the desk\n");
        let new = make_record(5, "pool b # the desk\n");
        let update = RulesUpdate::build(&new, Some(&old), Revision(3));
        assert_eq!(update.resolve(None), Ok(new));
    }

    #[test]
    fn resolve_patch_for_other_rules() {
        let old = make_record(4, "pool a # the desk\n");
        let new = make_record(5, "pool b # the desk\n");
        let update = RulesUpdate::build(&new, Some(&old), Revision(4));
        let result = update.clone().resolve(Some(&new));
        assert_eq!(result, Err(UpdateError::RevisionMismatch(Revision(4))));
        let other = make_record(4, "fool a # the desk\n");
        assert_eq!(update.resolve(Some(&other)), Err(UpdateError::TextMismatch));
    }
}
