//! Store keys of the rules and of their history, and the decoding of their
//! values, which are JSON.

use bytes::Bytes;

use crate::core::Revision;
use crate::core::config::HistoryEntry;
use crate::core::config::RulesRecord;
use crate::registry::KeyRange;
use crate::registry::KeyValue;

/// Key of the record of the newest accepted revision.
pub(super) const CURRENT_KEY: &[u8] = b"teaseldrum/rules/current";

/// Key of the newest accepted revision number alone, which is cheap to watch and
/// to poll.
pub(super) const NEWEST_REVISION_KEY: &[u8] = b"teaseldrum/rules/head";

/// Maximum number of revisions in the history.
const MAX_HISTORY_REVISIONS: u64 = 4_096;

const HISTORY_PREFIX: &str = "teaseldrum/rules/history/";

/// Returns the range that holds the newest record.
pub(super) fn current_range() -> KeyRange {
    KeyRange::Key(Bytes::from_static(CURRENT_KEY))
}

/// Returns the range that holds the newest revision number.
pub(super) fn newest_revision_range() -> KeyRange {
    KeyRange::Key(Bytes::from_static(NEWEST_REVISION_KEY))
}

/// Returns the range of all history entries.
pub(super) fn history_range() -> KeyRange {
    KeyRange::Prefix(HISTORY_PREFIX.into())
}

/// Returns the key of a revision's history entry. The number is zero-padded so
/// that keys sort in the order of revisions.
pub(super) fn history_key(revision: Revision) -> Bytes {
    format!("{HISTORY_PREFIX}{:020}", revision.0).into()
}

/// Returns the key of the history entry to delete when a revision is added;
/// `None` while the history is not full.
pub(super) fn expired_history_key(added: Revision) -> Option<Bytes> {
    let expired = added.0.checked_sub(MAX_HISTORY_REVISIONS)?;
    Some(history_key(Revision(expired)))
}

/// Decodes the record from the result of reading [`current_range`]; `None` if no
/// rules were ever accepted.
pub(super) fn decode_record(pairs: &[KeyValue]) -> Result<Option<RulesRecord>, serde_json::Error> {
    let Some(pair) = pairs.first() else {
        return Ok(None);
    };
    serde_json::from_slice(&pair.value).map(Some)
}

/// Decodes the revision from the result of reading [`newest_revision_range`];
/// revision 0 if no rules were ever accepted.
pub(super) fn decode_newest_revision(pairs: &[KeyValue]) -> Result<Revision, serde_json::Error> {
    let Some(pair) = pairs.first() else {
        return Ok(Revision::default());
    };
    serde_json::from_slice(&pair.value)
}

/// Decodes history entries, in the order of the pairs.
pub(super) fn decode_history(pairs: &[KeyValue]) -> Result<Vec<HistoryEntry>, serde_json::Error> {
    let entries = pairs.iter();
    entries
        .map(|pair| serde_json::from_slice(&pair.value))
        .collect()
}
