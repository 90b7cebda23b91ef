//! Keys and values of the rules in the platform's store.

use bytes::Bytes;

use crate::core::Revision;
use crate::core::config::HistoryEntry;
use crate::core::config::RulesRecord;
use crate::registry::KeyRange;
use crate::registry::KeyValue;

/// Record in force.
pub(super) const CURRENT_KEY: &[u8] = b"teaseldrum/rules/current";

/// Revision in force alone, which is cheap to watch and poll.
pub(super) const HEAD_KEY: &[u8] = b"teaseldrum/rules/head";

/// Revisions that the history keeps.
const MAX_HISTORY_REVISIONS: u64 = 4_096;

const HISTORY_PREFIX: &str = "teaseldrum/rules/history/";

/// Returns the range of the record in force.
pub(super) fn current_range() -> KeyRange {
    KeyRange::Key(Bytes::from_static(CURRENT_KEY))
}

/// Returns the range of the revision in force.
pub(super) fn head_range() -> KeyRange {
    KeyRange::Key(Bytes::from_static(HEAD_KEY))
}

/// Returns the range of all history entries.
pub(super) fn history_range() -> KeyRange {
    KeyRange::Prefix(HISTORY_PREFIX.into())
}

/// Returns the key of a revision's history entry; keys sort as revisions do.
pub(super) fn history_key(revision: Revision) -> Bytes {
    format!("{HISTORY_PREFIX}{:020}", revision.0).into()
}

/// Returns the key of the entry that goes when a revision is added.
pub(super) fn expired_history_key(added: Revision) -> Option<Bytes> {
    let expired = added.0.checked_sub(MAX_HISTORY_REVISIONS)?;
    Some(history_key(Revision(expired)))
}

/// Reads a record from the pairs found in its range.
pub(super) fn decode_record(pairs: &[KeyValue]) -> Result<Option<RulesRecord>, serde_json::Error> {
    let Some(pair) = pairs.first() else {
        return Ok(None);
    };
    serde_json::from_slice(&pair.value).map(Some)
}

/// Reads the revision from the pairs found in its range.
pub(super) fn decode_head(pairs: &[KeyValue]) -> Result<Revision, serde_json::Error> {
    let Some(pair) = pairs.first() else {
        return Ok(Revision::default());
    };
    serde_json::from_slice(&pair.value)
}

/// Reads history entries.
pub(super) fn decode_history(pairs: &[KeyValue]) -> Result<Vec<HistoryEntry>, serde_json::Error> {
    let entries = pairs.iter();
    entries
        .map(|pair| serde_json::from_slice(&pair.value))
        .collect()
}
